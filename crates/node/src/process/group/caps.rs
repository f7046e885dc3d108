//! Usage caps: tokens from the leader, and for the entries that this instance is
//! the source of.

use std::rc::Rc;
use std::time::Duration;

use wheelmast_core::process::cap::{CapAsk, CapGrant};
use wheelmast_core::version::workspace::UsageCap;
use wheelmast_wire::group::{GroupAsk, GroupTell};

use crate::process::group::node::GroupNode;

/// Longest time to wait for the leader's word before this instance gives out
/// what it may without it.
const LEADER_TIMEOUT: Duration = Duration::from_millis(120);
/// When a caller should come back if the leader could not be asked.
const RETRY_AFTER_MS: u32 = 300;

impl GroupNode {
    /// Takes over the caps of the route table in force.
    pub fn apply_caps(&self, caps: &[(Box<str>, UsageCap)]) {
        let now = self.now();
        let instances = self.count_control_instances();
        let bound = self.settings.caps;
        let mut state = self.state.borrow_mut();
        state.cap_owner.set_caps(caps.iter().cloned(), &bound, now);
        state
            .cap_stock
            .set_caps(caps.iter().cloned(), instances, now);
    }

    /// Returns the number of control instances known, this one among them.
    fn count_control_instances(&self) -> u32 {
        self.state.borrow().links.len() as u32 + 1
    }

    /// Answers an entry: from the stock, else by the leader's word, else within
    /// what this instance may give out without it.
    pub async fn grant_caps(self: &Rc<Self>, asks: Vec<CapAsk>) -> Vec<CapGrant> {
        let mut grants = Vec::with_capacity(asks.len());
        let mut unmet_requests = Vec::new();
        {
            let now = self.now();
            let mut state = self.state.borrow_mut();
            for (position, ask) in asks.iter().enumerate() {
                let tokens = state.cap_stock.take(&ask.workspace, ask.waiting, now);
                grants.push(CapGrant {
                    tokens,
                    retry_ms: 0,
                });
                let waiting = ask.waiting - tokens;
                if waiting > 0 {
                    unmet_requests.push((
                        position,
                        CapAsk {
                            waiting,
                            ..ask.clone()
                        },
                    ));
                }
            }
        }
        self.caps_used.notify_one();
        if unmet_requests.is_empty() {
            return grants;
        }
        let requests = unmet_requests.iter().map(|(_, ask)| ask.clone()).collect();
        let reply = self.request_from_leader(requests).await;
        for (index, (position, ask)) in unmet_requests.iter().enumerate() {
            let granted = match reply.as_ref().and_then(|reply| reply.get(index)) {
                Some(granted) => *granted,
                None => self.grant_minimum(ask),
            };
            grants[*position].tokens += granted.tokens;
            grants[*position].retry_ms = granted.retry_ms;
        }
        grants
    }

    fn grant_minimum(&self, ask: &CapAsk) -> CapGrant {
        let (now, instances) = (self.now(), self.count_control_instances());
        let stock = &mut self.state.borrow_mut().cap_stock;
        let tokens = stock.take_floor(&ask.workspace, ask.waiting, instances, now);
        let workspace = &*ask.workspace;
        tracing::info!(target: "group", workspace, tokens, waiting = ask.waiting, "cap: granted without the leader");
        CapGrant {
            tokens,
            retry_ms: RETRY_AFTER_MS,
        }
    }

    async fn request_from_leader(self: &Rc<Self>, asks: Vec<CapAsk>) -> Option<Vec<CapGrant>> {
        let request = self.request_leader(GroupAsk::Caps(asks));
        match tokio::time::timeout(LEADER_TIMEOUT, request).await {
            Ok(GroupTell::Caps(grants)) => Some(grants),
            _ => None,
        }
    }

    /// Grants tokens, if this instance leads.
    pub fn grant_as_leader(&self, asks: &[CapAsk]) -> GroupTell {
        if !self.is_leader() {
            return GroupTell::Unknown;
        }
        let now = self.now();
        let owner = &mut self.state.borrow_mut().cap_owner;
        let grants = asks.iter().map(|ask| owner.grant(ask, now));
        GroupTell::Caps(grants.collect())
    }

    /// Keeps tokens of the workspaces that are asked for in stock, until the
    /// instance ends.
    pub async fn refill_cap_stock(self: Rc<Self>) {
        loop {
            self.caps_used.notified().await;
            let shortages = {
                let (now, instances) = (self.now(), self.count_control_instances());
                self.state.borrow().cap_stock.lacks(instances, now)
            };
            if shortages.is_empty() {
                continue;
            }
            let Some(grants) = self.request_from_leader(shortages.clone()).await else {
                continue;
            };
            let stock = &mut self.state.borrow_mut().cap_stock;
            for (ask, grant) in shortages.iter().zip(grants) {
                stock.add(&ask.workspace, grant.tokens);
            }
        }
    }
}
