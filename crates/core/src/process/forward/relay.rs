//! Asking another entry for the shards that stand nearer to it.
//!
//! An entry would fetch each part of a far shard by itself. Another entry next
//! to these shards fetches and merges them, and its one answer is a fraction of
//! these bytes over the same way. Should it fail, the shards are asked from
//! here.

use std::time::Duration;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::forward::answer::{AttemptCause, ForwardAction};
use crate::process::forward::call::PartStatus;
use crate::process::forward::choose::{ExpectedTimes, ServerChoice};
use crate::process::forward::directory::ServerStanding;
use crate::process::forward::input::{BundleAnswer, EntryPeer, RelayOrder};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::send::AttemptSend;
use crate::process::forward::server::ServerState;

/// Fewest far shards that are asked for together.
const LEAST_BUNDLE: usize = 3;
/// Most entries that are asked for one request.
const MOST_BUNDLES: usize = 2;
/// Time that an entry is late before it is given up, as a part of the
/// objective.
const LATE_TIME: f64 = 0.5;
/// Longest time to expect of an entry that is asked, as a part of the
/// objective.
const WORTH_ASKING: f64 = 0.6;
/// Time that the way back and the merge of a bundle are given.
const BUNDLE_MARGIN: Duration = Duration::from_millis(3);

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

    /// Asks other entries for the shards that have no server near this one.
    pub(super) fn send_bundles(
        &mut self,
        call: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        if !state.gathers || self.peer_domains.is_empty() || state.plan.aim <= now {
            return;
        }
        let own = self.options.domain.clone();
        let mut far: Vec<usize> = (0..state.parts.len())
            .filter(|part| !self.has_server_in(state.parts[*part].upstream, &own))
            .collect();
        for _ in 0..MOST_BUNDLES {
            let Some((choice, parts)) = self.find_bundle(call, &far, now) else {
                return;
            };
            far.retain(|part| !parts.contains(part));
            self.send_bundle(call, choice, parts, now, out);
        }
    }

    /// Finds the domain with entries that has most of the far shards.
    fn find_bundle(
        &mut self,
        call: SlotKey,
        far: &[usize],
        now: Duration,
    ) -> Option<(ServerChoice, Vec<usize>)> {
        let state = self.calls.get(call)?;
        let times = ExpectedTimes {
            typical: self.timings[self.relay_timing].typical(state.rule()),
            objective: state.rule().objective(),
        };
        let upstreams: Vec<UpstreamKey> = state.parts.iter().map(|part| part.upstream).collect();
        let mut best: Option<(ServerChoice, Vec<usize>)> = None;
        for (domain, upstream) in self.peer_domains.clone() {
            let parts: Vec<usize> = far
                .iter()
                .copied()
                .filter(|part| self.has_server_in(upstreams[*part], &domain))
                .collect();
            let Ok(choice) = self.choose(upstream, &[], times, now) else {
                continue;
            };
            let rests = now < self.servers[choice.server].rest_until;
            let is_slow = choice.expected > times.objective.mul_f64(WORTH_ASKING);
            if parts.len() < LEAST_BUNDLE || rests || is_slow {
                continue;
            }
            let is_better = best.as_ref().is_none_or(|(other, most)| {
                (parts.len(), other.expected) > (most.len(), choice.expected)
            });
            if is_better {
                best = Some((choice, parts));
            }
        }
        best
    }

    /// Tells whether a service has a server in a domain that takes work and
    /// answers.
    fn has_server_in(&self, upstream: UpstreamKey, domain: &str) -> bool {
        let mut servers = self.upstreams[upstream].servers.iter();
        servers.any(|server| {
            let state = &self.servers[*server];
            *state.domain == *domain && !state.silent
        })
    }

    fn send_bundle(
        &mut self,
        call: SlotKey,
        choice: ServerChoice,
        parts: Vec<usize>,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let way = self.servers[choice.server].way();
        let shards = parts.iter().map(|part| {
            let upstream = state.parts[*part].upstream;
            self.upstreams[upstream].name.clone()
        });
        let relay = RelayOrder {
            version: state.table.version(),
            answer_in: state.plan.aim.saturating_sub(now + way + BUNDLE_MARGIN),
            shards: shards.collect(),
        };
        let send = AttemptSend {
            cause: AttemptCause::Relay,
            choice,
            timing: self.relay_timing,
            patience: state.plan.aim - now + state.rule().objective().mul_f64(LATE_TIME),
            runs: state.rule().attempts,
            relay: Some(relay),
            parts,
        };
        self.send_attempt(call, send, now, out);
    }

    /// Gives up an entry that has not answered in time, with the parts it was
    /// asked for: it may have sent them to as many servers as the route allows.
    /// Returns whether the part waited for an entry.
    pub(super) fn drop_silent_relay(
        &mut self,
        call: SlotKey,
        part: usize,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) -> bool {
        let Some(state) = self.calls.get_mut(call) else {
            return false;
        };
        let Some(key) = state.parts[part].attempts.last().copied() else {
            return false;
        };
        let Some(attempt) = self.attempts.get_mut(key) else {
            return false;
        };
        if attempt.cause != AttemptCause::Relay {
            return false;
        }
        attempt.call = None;
        self.servers[attempt.server].rest(now);
        for part in attempt.parts.clone() {
            state.parts[part].attempts.clear();
            if state.parts[part].is_open() {
                state.parts[part].status = PartStatus::Missing;
                state.missing += 1;
            }
        }
        out.push(ForwardAction::Cancel(key));
        true
    }

    /// Takes the parts that another entry gathered. Their records are merged
    /// and cannot be taken apart: a part among them that came otherwise in the
    /// meantime is taken from the bundle instead.
    pub(super) fn take_bundle(&mut self, call: SlotKey, parts: &[usize], bundle: &BundleAnswer) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let mut body = bundle.body.clone();
        for (shard, stamp) in &bundle.parts {
            let place = parts.iter().copied().find(|part| {
                let upstream = state.parts[*part].upstream;
                self.upstreams[upstream].name == *shard
            });
            let Some(place) = place else {
                continue;
            };
            match state.parts[place].status {
                PartStatus::Answered { .. } => {}
                PartStatus::Missing => {
                    state.missing -= 1;
                    state.answered += 1;
                }
                PartStatus::Open => state.answered += 1,
            }
            state.parts[place].status = PartStatus::Answered {
                stamp: stamp.clone(),
                body: std::mem::take(&mut body),
            };
        }
    }
}

fn peer_id(peer: &EntryPeer) -> Box<str> {
    format!("{}#{:x}", peer.instance, peer.lifetime).into()
}
