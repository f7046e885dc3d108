//! The other entries, and what becomes of the parts that they are asked for.
//! Which these are is planned in [`crate::process::forward::bundle`].

use std::time::Duration;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::forward::answer::{AttemptCause, ForwardAction};
use crate::process::forward::bundle::BundlePlan;
use crate::process::forward::call::PartStatus;
use crate::process::forward::directory::ServerStanding;
use crate::process::forward::input::{BundleAnswer, EntryPeer, RelayOrder};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::send::AttemptSend;
use crate::process::forward::server::ServerState;

/// Time that an entry is late before it is given up, as a part of the
/// objective.
const LATE_TIME: f64 = 0.5;
/// Least time that an entry which was silent is left alone: each request that
/// asks it loses its share, and the control group drops it by then if it is
/// gone.
pub(super) const SILENT_REST: Duration = Duration::from_secs(3);
/// Time that the way back and the merge of a bundle are given.
const BUNDLE_MARGIN: Duration = Duration::from_millis(7);

impl ForwardMachine {
    /// Takes over the entries that take requests.
    pub(super) fn set_peers(&mut self, peers: Vec<EntryPeer>, out: &mut Vec<ForwardAction>) {
        let near = peers
            .iter()
            .filter(|peer| peer.domain == self.options.domain);
        self.near_entries = (near.count() as u32).max(1);
        let known = self.peer_domains.iter();
        let known: Vec<UpstreamKey> = known.map(|(_, upstream)| *upstream).collect();
        let mut wanted = Vec::with_capacity(peers.len());
        for peer in &peers {
            let id = peer.id();
            if id == self.options.own {
                continue;
            }
            if !self.server_ids.contains_key(&id) {
                self.add_peer(peer, id.clone());
            }
            wanted.push(id);
        }
        for upstream in known {
            for server in self.upstreams[upstream].servers.clone() {
                let id = self.servers[server].id.clone();
                if !wanted.iter().any(|other| **other == *id) {
                    self.server_ids.remove(&*id);
                    self.set_standing(server, ServerStanding::Gone, out);
                }
            }
        }
    }

    fn add_peer(&mut self, peer: &EntryPeer, id: Box<str>) {
        let upstream = self.peer_domain(&peer.domain);
        let mut state = ServerState::new(id.clone().into(), upstream, peer.address);
        state.domain = peer.domain.clone();
        state.is_near = peer.domain == self.options.domain;
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

    pub(super) fn send_bundle(
        &mut self,
        call: SlotKey,
        plan: BundlePlan,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let BundlePlan {
            choice,
            parts,
            divides,
        } = plan;
        let way = self.servers[choice.server].way();
        let shards = parts.iter().map(|part| {
            let upstream = state.parts[*part].upstream;
            self.upstreams[upstream].name.clone()
        });
        let relay = RelayOrder {
            version: state.table.version(),
            answer_in: state.plan.aim.saturating_sub(now + way + BUNDLE_MARGIN),
            divides,
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
        let (server, sent_at) = (attempt.server, attempt.sent_at);
        self.servers[server].rest_at_least(SILENT_REST, now);
        for part in attempt.parts.clone() {
            state.parts[part].attempts.clear();
            if state.parts[part].is_open() {
                state.parts[part].status = PartStatus::Missing;
                state.missing += 1;
            }
        }
        out.push(ForwardAction::Cancel(key));
        self.close_if_silent(server, sent_at, out);
        true
    }

    /// Takes the parts that another entry gathered. Their records are merged
    /// and cannot be taken apart: a part among them that came otherwise in the
    /// meantime is taken from the bundle instead.
    pub(super) fn take_bundle(
        &mut self,
        call: SlotKey,
        parts: &[usize],
        bundle: &BundleAnswer,
        now: Duration,
    ) {
        for part in parts {
            let Some(state) = self.calls.get(call) else {
                return;
            };
            let upstream = state.parts[*part].upstream;
            let name = &*self.upstreams[upstream].name;
            let is_in = bundle.parts.iter().any(|(shard, _)| **shard == *name);
            self.bundled(upstream, is_in, now);
        }
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let mut body = bundle.body.clone();
        for (shard, stamp) in &bundle.parts {
            let place = parts.iter().copied().find(|part| {
                let upstream = state.parts[*part].upstream;
                *self.upstreams[upstream].name == **shard
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
