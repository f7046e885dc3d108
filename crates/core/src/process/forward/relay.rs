//! Tracks the other entries, sends relays to them and accepts their merged answers. A
//! relay is a request, or some of the request's shards, that is sent to another entry.
//!
//! [`crate::process::forward::bundle`] plans which parts are relayed;
//! [`crate::process::forward::reroute`] handles entries that do not acknowledge a relay.

use std::collections::HashSet;
use std::time::Duration;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::forward::answer::{AttemptCause, ForwardAction};
use crate::process::forward::bundle::BundlePlan;
use crate::process::forward::call::PartStatus;
use crate::process::forward::directory::ServerLifecycle;
use crate::process::forward::input::{BundleAnswer, EntryPeer, RelayOrder};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::place::DomainProximity;
use crate::process::forward::send::AttemptPlan;
use crate::process::forward::server::ServerState;

/// Minimum time for which an unresponsive entry gets no relays. Each request relayed to
/// an unresponsive entry loses the relayed shards; by the end of this time the control
/// group has removed the entry if it has failed.
pub(super) const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(3);
/// Time reserved for the merge of a bundle and for returning the answer, in addition to
/// the round-trip time.
const BUNDLE_RETURN_MARGIN: Duration = Duration::from_millis(5);

impl ForwardMachine {
    /// Replaces the set of known entries: adds new ones, marks missing ones as gone and
    /// recomputes which shards this entry owns.
    pub(super) fn set_peers(
        &mut self,
        peers: Vec<EntryPeer>,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let near_peers = peers
            .iter()
            .filter(|peer| peer.domain == self.options.domain);
        self.knows_peers = true;
        self.domain_entry_count = (near_peers.count() as u32).max(1);
        let known_domains = self.peer_domains.iter();
        let known_domains: Vec<UpstreamKey> =
            known_domains.map(|(_, upstream)| *upstream).collect();
        let mut current_ids = HashSet::with_capacity(peers.len());
        for peer in &peers {
            let id = peer.id();
            if id == self.options.local_id {
                continue;
            }
            if !self.servers_by_id.contains_key(&id) {
                self.add_peer(peer, id.clone());
            }
            current_ids.insert(id);
        }
        for upstream in known_domains {
            for server in self.upstreams[upstream].servers.clone() {
                let id = self.servers[server].id.clone();
                if !current_ids.contains(&*id) {
                    self.servers_by_id.remove(&*id);
                    self.crash_watch.record_lost_entry(now);
                    self.advance_lifecycle(server, ServerLifecycle::Gone, out);
                }
            }
        }
        self.update_owned_shards();
        self.update_entry_view(&peers, now, out);
    }

    /// Adds another entry to the servers, under the upstream of its failure domain.
    fn add_peer(&mut self, peer: &EntryPeer, id: Box<str>) {
        let upstream = self.find_or_add_peer_domain(&peer.domain);
        let mut state = ServerState::new(id.clone().into(), upstream, peer.address);
        state.domain = peer.domain.clone();
        state.proximity = self.proximity_of(&peer.domain);
        state.region = self.options.regions.region_of(&peer.domain);
        state.slots = 1024;
        let server = self.servers.push(state);
        self.servers_by_id.insert(id, server);
        self.upstreams[upstream].servers.push(server);
    }

    /// Returns the upstream that stands for the entries of a failure domain, and adds one
    /// if the domain is new.
    fn find_or_add_peer_domain(&mut self, domain: &str) -> UpstreamKey {
        let found = self.peer_domains.iter().find(|(name, _)| **name == *domain);
        if let Some((_, upstream)) = found {
            return *upstream;
        }
        let upstream = self.find_or_add_upstream(&format!("entries of {domain}"));
        self.upstreams[upstream].is_entry = true;
        self.peer_domains.push((domain.into(), upstream));
        upstream
    }

    /// Sends a bundle to the planned entry, with the attempt allowance for its parts and
    /// the time by which the answer must be sent.
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
            may_divide,
        } = plan;
        let entry = &self.servers[choice.server.key()];
        let round_trip = entry.round_trip();
        // Within a failure domain the round trip is short, so the assumed round-trip time
        // is good enough if none was measured.
        let is_near = entry.proximity == DomainProximity::Domain;
        let known_rtt = entry
            .measured_round_trip()
            .or(is_near.then_some(round_trip));
        let allowance = ForwardMachine::compute_allowance(state, &parts, known_rtt, now);
        let shards = parts.iter().map(|part| {
            let upstream = state.parts[*part].upstream;
            self.upstreams[upstream].name.clone()
        });
        let order = RelayOrder {
            version: state.table.version(),
            answer_by: state
                .deadlines
                .soft_deadline
                .saturating_sub(round_trip + BUNDLE_RETURN_MARGIN),
            attempts: allowance.attempts,
            credits_budget: state.credits_budget
                && parts.iter().all(|part| state.parts[*part].arrivals == 0),
            may_divide,
            workspace: state.workspace.clone(),
            top: Some(state.top),
            homes: self.options.regions.names_of(state.allowed_regions),
            shards: shards.collect(),
        };
        let plan = AttemptPlan {
            cause: AttemptCause::Relay,
            choice,
            timing: self.relay_timing,
            check_after: allowance.ack_due.saturating_sub(now),
            runs: allowance.attempts,
            relay: Some(order),
            parts,
        };
        self.send_attempt(call, plan, now, out);
    }

    /// Accepts the merged answer of another entry to a bundle. The merged records cannot
    /// be separated by part, so for a part that a server has answered in the meantime, the
    /// bundle's records replace the server's. If the bundle shares parts with an earlier
    /// one, the new bundle is accepted only if the request gains more parts than it loses.
    pub(super) fn accept_bundle(
        &mut self,
        call: SlotKey,
        attempt: SlotKey,
        parts: &[usize],
        bundle: &BundleAnswer,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let mut stamped_parts = Vec::with_capacity(bundle.parts.len());
        for (shard, stamp) in &bundle.parts {
            let index = parts.iter().copied().find(|part| {
                let upstream = state.parts[*part].upstream;
                *self.upstreams[upstream].name == **shard
            });
            stamped_parts.extend(index.map(|index| (index, stamp)));
        }
        let indexes: Vec<usize> = stamped_parts.iter().map(|(index, _)| *index).collect();
        if !state.displace_bundles(&indexes) {
            return;
        }
        let mut body = bundle.body.clone();
        for (index, stamp) in stamped_parts {
            match state.parts[index].status {
                PartStatus::Answered { .. } => {}
                PartStatus::Missing => {
                    state.missing -= 1;
                    state.answered += 1;
                }
                PartStatus::Open => state.answered += 1,
            }
            state.parts[index].status = PartStatus::Answered {
                stamp: stamp.clone(),
                body: std::mem::take(&mut body),
                bundle: Some(attempt),
            };
        }
    }
}
