//! Usage caps: a request of a capped workspace (a customer) costs a token. The leader
//! of the control group owns the tokens. Each control instance holds a small stock,
//! fetched from the leader, for the entries that request tokens from this instance.

use std::rc::Rc;
use std::time::Duration;

use wheelmast_core::process::cap::{TokenGrant, TokenRequest};
use wheelmast_core::version::workspace::UsageCap;
use wheelmast_wire::group::{LeaderReply, LeaderRequest};

use crate::process::group::node::GroupNode;

/// Longest wait for the leader's answer. After it, this instance grants only the small
/// number of tokens that it may give out without the leader.
const LEADER_TIMEOUT: Duration = Duration::from_millis(120);
/// Time after which a caller should retry if the leader did not answer, in
/// milliseconds.
const RETRY_AFTER_MS: u32 = 300;

impl GroupNode {
    /// Applies the usage caps of the route table in force.
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

    /// Returns the number of known control instances, including this one.
    fn count_control_instances(&self) -> u32 {
        self.state.borrow().links.len() as u32 + 1
    }

    /// Grants tokens to an entry. They come from the stock of this instance first, then
    /// from the leader. If the leader does not answer, they come from the small amount
    /// that this instance may give out without the leader.
    pub async fn grant_caps(self: &Rc<Self>, asks: Vec<TokenRequest>) -> Vec<TokenGrant> {
        let mut grants = Vec::with_capacity(asks.len());
        let mut unmet_requests = Vec::new();
        {
            let now = self.now();
            let mut state = self.state.borrow_mut();
            for (position, ask) in asks.iter().enumerate() {
                let tokens = state.cap_stock.take(&ask.workspace, ask.waiting, now);
                grants.push(TokenGrant {
                    tokens,
                    retry_ms: 0,
                });
                let waiting = ask.waiting - tokens;
                if waiting > 0 {
                    unmet_requests.push((
                        position,
                        TokenRequest {
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

    /// Grants what this instance may give out without the leader.
    fn grant_minimum(&self, ask: &TokenRequest) -> TokenGrant {
        let (now, instances) = (self.now(), self.count_control_instances());
        let stock = &mut self.state.borrow_mut().cap_stock;
        let tokens = stock.take_leaderless(&ask.workspace, ask.waiting, instances, now);
        let workspace = &*ask.workspace;
        tracing::info!(target: "group", workspace, tokens, waiting = ask.waiting, "cap: granted without the leader");
        TokenGrant {
            tokens,
            retry_ms: RETRY_AFTER_MS,
        }
    }

    /// Requests tokens from the leader. Returns `None` if no answer arrives in time.
    async fn request_from_leader(
        self: &Rc<Self>,
        asks: Vec<TokenRequest>,
    ) -> Option<Vec<TokenGrant>> {
        let request = self.request_leader(LeaderRequest::Caps(asks));
        match tokio::time::timeout(LEADER_TIMEOUT, request).await {
            Ok(LeaderReply::Caps(grants)) => Some(grants),
            _ => None,
        }
    }

    /// Grants tokens if this instance is the leader; returns [`LeaderReply::Unknown`]
    /// otherwise.
    pub fn grant_as_leader(&self, asks: &[TokenRequest]) -> LeaderReply {
        if !self.is_leader() {
            return LeaderReply::Unknown;
        }
        let now = self.now();
        let owner = &mut self.state.borrow_mut().cap_owner;
        let grants = asks.iter().map(|ask| owner.grant(ask, now));
        LeaderReply::Caps(grants.collect())
    }

    /// Refills the stock with tokens from the leader whenever an entry has requested
    /// tokens, until the instance ends.
    pub async fn refill_cap_stock(self: Rc<Self>) {
        loop {
            self.caps_used.notified().await;
            let shortages = {
                let (now, instances) = (self.now(), self.count_control_instances());
                self.state.borrow().cap_stock.shortages(instances, now)
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
