//! Plans the bundles of a request. A bundle is several shards of one request that are
//! sent to another entry in one message.
//!
//! Far shards (without a usable server in the local failure domain): an entry near
//! these shards queries and merges them, so that one merged answer crosses the network
//! instead of many larger ones.
//!
//! Many near shards: querying all of them would keep an entry on a small machine busy
//! for most of the objective, so the shards are divided among the entries of the local
//! failure domain. Rendezvous hashing assigns a shard to the same entry each time. That
//! entry has warm connections to the shard's servers and detects early which of them
//! are stalled.
//!
//! If the other entry refuses a bundle, the shards are sent to servers directly.

use std::time::Duration;

use crate::arena::{ServerKey, SlotKey, UpstreamKey};
use crate::process::forward::answer::ForwardAction;
use crate::process::forward::choose::ServerChoice;
use crate::process::forward::directory::ServerLifecycle;
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::place::DomainProximity;
use crate::process::forward::region_set::RegionSet;
use crate::process::rendezvous::rank;

/// Minimum number of far shards in a bundle.
const MIN_BUNDLE_SHARDS: usize = 3;
/// Maximum number of bundles for far shards per request, each to another failure domain.
const MAX_FAR_BUNDLES: usize = 4;
/// Number of near shards above which they are divided among the local domain's entries.
pub(super) const MAX_UNDIVIDED_SHARDS: usize = 24;
/// Number of consecutive shards of a route that are assigned to one entry as a group.
pub(super) const SHARD_GROUP_SIZE: usize = 12;
/// Step to which round-trip times are rounded down before they are compared, as a
/// fraction of the route's objective.
const RTT_STEP_FRACTION: f64 = 0.05;
/// Maximum number of connections to another entry.
pub(super) const MAX_RELAY_CONNECTIONS: usize = 64;

/// A bundle that is to be sent: the chosen entry and the parts to send there.
#[derive(Debug)]
pub(super) struct BundlePlan {
    /// The entry that receives the bundle.
    pub(super) choice: ServerChoice,
    /// Indexes of the parts in the request.
    pub(super) parts: Vec<usize>,
    /// Whether the receiving entry may divide the parts among the entries of its domain.
    pub(super) may_divide: bool,
}

impl ForwardMachine {
    /// Sends bundles of unsent parts to other entries: near parts if there are more than
    /// [`MAX_UNDIVIDED_SHARDS`], and far parts if this request was not itself relayed.
    pub(super) fn send_bundles(
        &mut self,
        call: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        if !state.is_scatter_gather
            || self.peer_domains.is_empty()
            || state.deadlines.soft_deadline <= now
        {
            return;
        }
        let (is_relayed, may_divide, regions) =
            (state.is_relayed, state.may_divide, state.allowed_regions);
        let domain = self.options.domain.clone();
        let (near, mut far): (Vec<usize>, Vec<usize>) = (0..state.parts.len())
            .filter(|part| state.parts[*part].is_open() && state.parts[*part].arrivals == 0)
            .partition(|part| self.has_server_in(state.parts[*part].upstream, &domain, regions));
        let mut plans = Vec::new();
        if may_divide && near.len() > MAX_UNDIVIDED_SHARDS {
            plans.extend(self.plan_near_bundles(call, &near, now));
        }
        for _ in 0..MAX_FAR_BUNDLES {
            let plan = self
                .plan_far_bundle(call, &far, now)
                .filter(|_| !is_relayed);
            let Some(plan) = plan else {
                break;
            };
            far.retain(|part| !plan.parts.contains(part));
            plans.push(plan);
        }
        for plan in plans {
            self.send_bundle(call, plan, now, out);
        }
    }

    /// Divides near shards into groups of [`SHARD_GROUP_SIZE`] and plans a bundle for
    /// each group that is assigned to another entry of the local failure domain.
    fn plan_near_bundles(&self, call: SlotKey, near: &[usize], now: Duration) -> Vec<BundlePlan> {
        let Some(state) = self.calls.get(call) else {
            return Vec::new();
        };
        let mut domains = self.peer_domains.iter();
        let Some((_, entries)) = domains.find(|(name, _)| *name == self.options.domain) else {
            return Vec::new();
        };
        let names = state.gathered_services();
        let mut groups = vec![Vec::new(); names.len().div_ceil(SHARD_GROUP_SIZE)];
        // The parts are in the order of the route's services.
        let mut service_index = 0;
        for part in near {
            let name = &*self.upstreams[state.parts[*part].upstream].name;
            while names.get(service_index).is_some_and(|other| other != name) {
                service_index += 1;
            }
            if service_index < names.len() {
                groups[service_index / SHARD_GROUP_SIZE].push(*part);
            }
        }
        let groups = groups.into_iter().enumerate();
        let plans = groups.filter_map(|(index, parts)| {
            let key = &names[index * SHARD_GROUP_SIZE];
            let choice = self.select_entry(*entries, key, true, state.allowed_regions, &[], now)?;
            (!parts.is_empty()).then_some(BundlePlan {
                choice,
                parts,
                may_divide: false,
            })
        });
        plans.collect()
    }

    /// Plans a bundle of far parts for an entry of the nearest failure domain that has
    /// both an available entry and servers of at least [`MIN_BUNDLE_SHARDS`] of these
    /// parts. Compares domains by proximity, then by rounded round-trip time, then by the
    /// number of parts. The round-trip time alone is not enough: until it is measured,
    /// a short default is assumed.
    fn plan_far_bundle(&self, call: SlotKey, far: &[usize], now: Duration) -> Option<BundlePlan> {
        let state = self.calls.get(call)?;
        let step = state
            .rule()
            .objective()
            .mul_f64(RTT_STEP_FRACTION)
            .as_secs_f64();
        let mut best: Option<((DomainProximity, u64, usize, Duration), BundlePlan)> = None;
        for (domain, entries) in &self.peer_domains {
            if *domain == self.options.domain {
                continue;
            }
            let parts: Vec<usize> = far
                .iter()
                .copied()
                .filter(|part| {
                    self.has_server_in(state.parts[*part].upstream, domain, state.allowed_regions)
                })
                .collect();
            let local_id = &self.options.local_id;
            let choice =
                self.select_entry(*entries, local_id, false, state.allowed_regions, &[], now);
            let Some(choice) = choice else {
                continue;
            };
            if parts.len() < MIN_BUNDLE_SHARDS {
                continue;
            }
            let round_trip = (choice.expected.as_secs_f64() / step.max(1e-6)) as u64;
            let proximity = self.proximity_of(domain);
            let rank = (
                proximity,
                round_trip,
                usize::MAX - parts.len(),
                choice.expected,
            );
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                let plan = BundlePlan {
                    choice,
                    parts,
                    may_divide: true,
                };
                best = Some((rank, plan));
            }
        }
        best.map(|(_, plan)| plan)
    }

    /// Selects the available entry of a failure domain that ranks highest for `key` by
    /// rendezvous hashing, except those in `excluded`. The choice's expected time is the
    /// round-trip time. Returns `None` if no entry is available, or if this entry ranks
    /// highest and `includes_self` is set.
    pub(super) fn select_entry(
        &self,
        entries: UpstreamKey,
        key: &str,
        includes_self: bool,
        regions: RegionSet,
        excluded: &[ServerKey],
        now: Duration,
    ) -> Option<ServerChoice> {
        let typical = self.timings[self.relay_timing].median_relay_time();
        let rank = |id: &str| rank(key, id);
        let servers = &self.upstreams[entries].servers;
        let available = servers.iter().filter(|server| {
            let state = &self.servers[**server];
            state.standing == ServerLifecycle::Ready
                && now >= state.backoff_until
                && !excluded.contains(server)
                && regions.allows(state)
                && state.outstanding.len() < MAX_RELAY_CONNECTIONS
                && !state.is_stalled(typical, now)
        });
        let best = available.max_by_key(|server| rank(&self.servers[**server].id))?;
        let state = &self.servers[*best];
        if includes_self && rank(&self.options.local_id) > rank(&state.id) {
            return None;
        }
        Some(ServerChoice {
            server: regions.permit(*best, state)?,
            expected: state.round_trip(),
            candidates: servers.len(),
        })
    }

    /// Returns whether a service has a server in this failure domain whose lease has not
    /// expired and that the request may be sent to.
    pub(super) fn has_server_in(
        &self,
        upstream: UpstreamKey,
        domain: &str,
        regions: RegionSet,
    ) -> bool {
        let mut servers = self.upstreams[upstream].servers.iter();
        servers.any(|server| {
            let state = &self.servers[*server];
            *state.domain == *domain && !state.is_lapsed() && regions.allows(state)
        })
    }
}
