//! The other entries, and what becomes of the parts that they are asked for.
//! Which these are is planned in [`crate::process::forward::bundle`]; what is
//! done about an entry that is late, in [`crate::process::forward::around`].

use std::collections::HashSet;
use std::time::Duration;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::forward::answer::{AttemptCause, ForwardAction};
use crate::process::forward::bundle::BundlePlan;
use crate::process::forward::call::PartStatus;
use crate::process::forward::directory::ServerStanding;
use crate::process::forward::input::{BundleAnswer, EntryPeer, RelayOrder};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::place::PlaceStep;
use crate::process::forward::send::AttemptSend;
use crate::process::forward::server::ServerState;

/// Least time that an entry which was silent is left alone: each request that
/// asks it loses its share, and the control group drops it by then if it is
/// gone.
pub(super) const SILENT_REST: Duration = Duration::from_secs(3);
/// Time that the way back and the merge of a bundle are given.
const BUNDLE_MARGIN: Duration = Duration::from_millis(5);

impl ForwardMachine {
    /// Takes over the entries that take requests.
    pub(super) fn set_peers(
        &mut self,
        peers: Vec<EntryPeer>,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let near = peers
            .iter()
            .filter(|peer| peer.domain == self.options.domain);
        self.knows_peers = true;
        self.near_entries = (near.count() as u32).max(1);
        let known = self.peer_domains.iter();
        let known: Vec<UpstreamKey> = known.map(|(_, upstream)| *upstream).collect();
        let mut wanted = HashSet::with_capacity(peers.len());
        for peer in &peers {
            let id = peer.id();
            if id == self.options.own {
                continue;
            }
            if !self.server_ids.contains_key(&id) {
                self.add_peer(peer, id.clone());
                if !known.is_empty() {
                    // It takes requests that came to the others so far.
                    self.shifts_until = now + self.options.extra.window;
                }
            }
            wanted.insert(id);
        }
        for upstream in known {
            for server in self.upstreams[upstream].servers.clone() {
                let id = self.servers[server].id.clone();
                if !wanted.contains(&*id) {
                    self.server_ids.remove(&*id);
                    self.end_watch.record_lost_entry(now);
                    self.set_standing(server, ServerStanding::Gone, out);
                }
            }
        }
        self.find_held();
    }

    fn add_peer(&mut self, peer: &EntryPeer, id: Box<str>) {
        let upstream = self.peer_domain(&peer.domain);
        let mut state = ServerState::new(id.clone().into(), upstream, peer.address);
        state.domain = peer.domain.clone();
        state.place = self.place_of(&peer.domain);
        state.region = self.options.regions.region_of(&peer.domain);
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
        let entry = &self.servers[choice.server.key()];
        let way = entry.way();
        // Within a failure domain ways are short.
        let is_near = entry.place == PlaceStep::Domain;
        let known_way = entry.known_way().or(is_near.then_some(way));
        let loan = ForwardMachine::loan(state, &parts, known_way, now);
        let shards = parts.iter().map(|part| {
            let upstream = state.parts[*part].upstream;
            self.upstreams[upstream].name.clone()
        });
        let relay = RelayOrder {
            version: state.table.version(),
            answer_by: state.plan.aim.saturating_sub(way + BUNDLE_MARGIN),
            attempts: loan.attempts,
            earns: state.earns && parts.iter().all(|part| state.parts[*part].arrivals == 0),
            divides,
            workspace: state.workspace.clone(),
            shards: shards.collect(),
        };
        let send = AttemptSend {
            cause: AttemptCause::Relay,
            choice,
            timing: self.relay_timing,
            patience: loan.due.saturating_sub(now),
            runs: loan.attempts,
            relay: Some(relay),
            parts,
        };
        self.send_attempt(call, send, now, out);
    }

    /// Takes the parts that another entry gathered. Their records are merged
    /// and cannot be taken apart: a part among them that a server answered in
    /// the meantime is taken from the bundle instead. Of two bundles that have
    /// a part in common, the one that brings more is taken.
    pub(super) fn take_bundle(
        &mut self,
        call: SlotKey,
        attempt: SlotKey,
        parts: &[usize],
        bundle: &BundleAnswer,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let mut places = Vec::with_capacity(bundle.parts.len());
        for (shard, stamp) in &bundle.parts {
            let place = parts.iter().copied().find(|part| {
                let upstream = state.parts[*part].upstream;
                *self.upstreams[upstream].name == **shard
            });
            places.extend(place.map(|place| (place, stamp)));
        }
        let taken: Vec<usize> = places.iter().map(|(place, _)| *place).collect();
        if !state.make_way(&taken) {
            return;
        }
        let mut body = bundle.body.clone();
        for (place, stamp) in places {
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
                bundle: Some(attempt),
            };
        }
    }
}
