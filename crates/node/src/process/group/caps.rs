//! Usage caps: tokens from the leader, and for the entries that this instance is
//! the source of.

use std::rc::Rc;
use std::time::Duration;

use wheelmast_core::process::cap::{TokenGrant, TokenRequest};
use wheelmast_core::version::workspace::UsageCap;
use wheelmast_wire::group::{LeaderReply, LeaderRequest};

use crate::process::group::node::GroupNode;

/// Longest time to wait for the leader's word before this instance gives out
/// what it may without it.
const LEADER_TIME: Duration = Duration::from_millis(120);
/// When a caller should come back if the leader could not be asked.
const COME_BACK_MS: u32 = 300;

impl GroupNode {
    /// Takes over the caps of the route table in force.
    pub fn adopt_caps(&self, caps: &[(Box<str>, UsageCap)]) {
        let now = self.now();
        let instances = self.control_instances();
        let bound = self.settings.caps;
        let mut state = self.state.borrow_mut();
        state.cap_owner.set_caps(caps.iter().cloned(), &bound, now);
        state
            .cap_stock
            .set_caps(caps.iter().cloned(), instances, now);
    }

    /// Returns the number of control instances known, this one among them.
    fn control_instances(&self) -> u32 {
        self.state.borrow().links.len() as u32 + 1
    }

    /// Answers an entry: from the stock, else by the leader's word, else within
    /// what this instance may give out without it.
    pub async fn grant_caps(self: &Rc<Self>, asks: Vec<TokenRequest>) -> Vec<TokenGrant> {
        let mut grants = Vec::with_capacity(asks.len());
        let mut lacking = Vec::new();
        {
            let now = self.now();
            let mut state = self.state.borrow_mut();
            for (place, ask) in asks.iter().enumerate() {
                let tokens = state.cap_stock.take(&ask.workspace, ask.waiting, now);
                grants.push(TokenGrant {
                    tokens,
                    retry_ms: 0,
                });
                let waiting = ask.waiting - tokens;
                if waiting > 0 {
                    lacking.push((
                        place,
                        TokenRequest {
                            waiting,
                            ..ask.clone()
                        },
                    ));
                }
            }
        }
        self.caps_used.notify_one();
        if lacking.is_empty() {
            return grants;
        }
        let questions = lacking.iter().map(|(_, ask)| ask.clone()).collect();
        let told = self.ask_owner(questions).await;
        for (number, (place, ask)) in lacking.iter().enumerate() {
            let granted = match told.as_ref().and_then(|told| told.get(number)) {
                Some(granted) => *granted,
                None => self.grant_floor(ask),
            };
            grants[*place].tokens += granted.tokens;
            grants[*place].retry_ms = granted.retry_ms;
        }
        grants
    }

    fn grant_floor(&self, ask: &TokenRequest) -> TokenGrant {
        let (now, instances) = (self.now(), self.control_instances());
        let stock = &mut self.state.borrow_mut().cap_stock;
        let tokens = stock.take_leaderless(&ask.workspace, ask.waiting, instances, now);
        let workspace = &*ask.workspace;
        tracing::info!(target: "group", workspace, tokens, waiting = ask.waiting, "cap: granted without the leader");
        TokenGrant {
            tokens,
            retry_ms: COME_BACK_MS,
        }
    }

    async fn ask_owner(self: &Rc<Self>, asks: Vec<TokenRequest>) -> Option<Vec<TokenGrant>> {
        let asked = self.ask_leader(LeaderRequest::Caps(asks));
        match tokio::time::timeout(LEADER_TIME, asked).await {
            Ok(LeaderReply::Caps(grants)) => Some(grants),
            _ => None,
        }
    }

    /// Grants tokens, if this instance leads.
    pub fn grant_here(&self, asks: &[TokenRequest]) -> LeaderReply {
        if !self.leads() {
            return LeaderReply::Unknown;
        }
        let now = self.now();
        let owner = &mut self.state.borrow_mut().cap_owner;
        let grants = asks.iter().map(|ask| owner.grant(ask, now));
        LeaderReply::Caps(grants.collect())
    }

    /// Keeps tokens of the workspaces that are asked for in stock, until the
    /// instance ends.
    pub async fn keep_caps(self: Rc<Self>) {
        loop {
            self.caps_used.notified().await;
            let shortages = {
                let (now, instances) = (self.now(), self.control_instances());
                self.state.borrow().cap_stock.shortages(instances, now)
            };
            if shortages.is_empty() {
                continue;
            }
            let Some(grants) = self.ask_owner(shortages.clone()).await else {
                continue;
            };
            let stock = &mut self.state.borrow_mut().cap_stock;
            for (ask, grant) in shortages.iter().zip(grants) {
                stock.add(&ask.workspace, grant.tokens);
            }
        }
    }
}
