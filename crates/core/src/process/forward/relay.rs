//! Passing a gathered request on to an entry that stands nearer to the shards.
//!
//! An entry without shards in its own failure domain would fetch every part
//! from afar. One answer of an entry there is a fraction of these bytes, and
//! takes the same way. Should that entry fail, the shards are asked from here.

use std::time::Duration;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::forward::answer::{AttemptCause, ForwardAction};
use crate::process::forward::call::PartState;
use crate::process::forward::choose::{ExpectedTimes, ServerChoice};
use crate::process::forward::directory::ServerStanding;
use crate::process::forward::input::{EntryPeer, ForwardCall};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::server::ServerState;
use crate::version::route_table::{RouteRule, RouteTarget};

/// Fraction of the shards that must be in another domain for a request to be
/// passed on there.
const FAR_SHARE: f64 = 0.9;
/// Fraction of the shards in the own domain from which on it is not.
const NEAR_SHARE: f64 = 0.5;
/// Part of the objective after which an entry that has answered nothing since
/// is given up.
const GIVE_UP: f64 = 0.5;

impl ForwardMachine {
    /// Takes over the entries that take requests.
    pub(super) fn set_peers(&mut self, peers: Vec<EntryPeer>, out: &mut Vec<ForwardAction>) {
        let known = self.peer_domains.iter();
        let known: Vec<UpstreamKey> = known.map(|(_, upstream)| *upstream).collect();
        let mut wanted = Vec::with_capacity(peers.len());
        for peer in &peers {
            if peer.domain == self.options.domain {
                continue;
            }
            let id = peer_id(peer);
            if !self.server_ids.contains_key(&id) {
                self.add_peer(peer, id.clone());
            }
            wanted.push(id);
        }
        for upstream in known {
            for server in self.upstreams[upstream].servers.clone() {
                if !wanted.contains(&self.servers[server].id) {
                    self.server_ids.remove(&self.servers[server].id.clone());
                    self.set_standing(server, ServerStanding::Gone, out);
                }
            }
        }
    }

    fn add_peer(&mut self, peer: &EntryPeer, id: Box<str>) {
        let upstream = self.peer_domain(&peer.domain);
        let mut state = ServerState::new(id.clone(), upstream, peer.address);
        state.domain = peer.domain.clone();
        state.slots = 1024;
        let server = self.servers.push(state);
        self.server_ids.insert(id, server);
        self.upstreams[upstream].servers.push(server);
    }

    fn peer_domain(&mut self, domain: &str) -> UpstreamKey {
        let found = self.peer_domains.iter().find(|(name, _)| **name == *domain);
        if let Some((_, upstream)) = found {
            return *upstream;
        }
        let upstream = self.upstream(&format!("entries of {domain}"));
        self.upstreams[upstream].is_entry = true;
        self.peer_domains.push((domain.into(), upstream));
        upstream
    }

    /// Finds an entry to pass a request on to, if that is worth it.
    pub(super) fn find_relay(
        &mut self,
        call: &ForwardCall,
        rule: &RouteRule,
        now: Duration,
    ) -> Option<ServerChoice> {
        let RouteTarget::Gather(names) = &rule.target else {
            return None;
        };
        if call.relayed.is_some() || self.peer_domains.is_empty() {
            return None;
        }
        let shards: Vec<UpstreamKey> = names.iter().map(|name| self.upstream(name)).collect();
        let near = self.share_in(&shards, &self.options.domain);
        if near >= NEAR_SHARE {
            return None;
        }
        let domains = self.peer_domains.clone();
        let good = domains
            .into_iter()
            .filter(|(domain, _)| self.share_in(&shards, domain) >= FAR_SHARE);
        let good: Vec<UpstreamKey> = good.map(|(_, upstream)| upstream).collect();
        let times = ExpectedTimes {
            typical: self.timings[self.relay_timing].typical(rule),
            objective: rule.objective(),
        };
        let choices = good
            .into_iter()
            .filter_map(|upstream| self.choose(upstream, &[], times, now).ok());
        let best = choices.min_by_key(|choice| choice.expected)?;
        let server = &self.servers[best.server];
        (now >= server.rest_until).then_some(best)
    }

    /// Returns the fraction of the shards that have a server in a domain.
    fn share_in(&self, shards: &[UpstreamKey], domain: &str) -> f64 {
        let with = shards.iter().filter(|shard| {
            let mut servers = self.upstreams[**shard].servers.iter();
            servers.any(|server| *self.servers[*server].domain == *domain)
        });
        with.count() as f64 / shards.len().max(1) as f64
    }

    pub(super) fn send_relay(
        &mut self,
        call: SlotKey,
        choice: ServerChoice,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        self.send_to(call, 0, AttemptCause::Relay, choice, now, out);
        if let Some(state) = self.calls.get_mut(call) {
            let wait = state.rule().objective().mul_f64(GIVE_UP);
            state.parts[0].hedge_at = now + wait;
        }
    }

    /// Gives up an entry that has answered nothing for too long.
    pub(super) fn sweep_relay(
        &mut self,
        call: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let wait = state.rule().objective().mul_f64(GIVE_UP);
        let attempt = state.parts[0].attempts.first().copied();
        let server = attempt.and_then(|attempt| self.attempts.get(attempt));
        let Some(server) = server.map(|attempt| attempt.server) else {
            return;
        };
        if self.servers[server].stall(now) >= wait {
            self.servers[server].rest(now);
            return self.scatter_after_relay(call, now, out);
        }
        state.parts[0].hedge_at = now + wait / 4;
        self.plan_sweep(call, now);
    }

    /// Asks the shards from here after an entry failed to.
    pub(super) fn scatter_after_relay(
        &mut self,
        call: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let may_have_run = state.parts[0].runs > 0;
        let attempts = std::mem::take(&mut state.parts[0].attempts);
        let rule = state.rule().clone();
        state.relays = false;
        state.gathers = true;
        for attempt in attempts {
            if let Some(attempt) = self.attempts.get_mut(attempt) {
                attempt.call = None;
            }
            out.push(ForwardAction::Cancel(attempt));
        }
        let upstreams = self.targets(&rule);
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        state.parts = upstreams.into_iter().map(PartState::new).collect();
        for part in 0..state.parts.len() {
            self.send_once_more(call, part, may_have_run, now, out);
        }
        self.plan_sweep(call, now);
        self.check_end(call, now, out);
    }

    fn send_once_more(
        &mut self,
        call: SlotKey,
        part: usize,
        may_have_run: bool,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        if may_have_run {
            state.parts[part].arrivals = 1;
            state.parts[part].runs = 1;
        }
        if self.afford(call, part, now, out) {
            return self.send_first(call, part, now, out);
        }
        self.miss(call, part);
    }
}

fn peer_id(peer: &EntryPeer) -> Box<str> {
    format!("{}#{:x}", peer.instance, peer.lifetime).into()
}
