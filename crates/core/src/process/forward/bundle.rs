//! Planning which parts of a request other entries are asked for.
//!
//! Far shards: an entry would fetch each part by itself. Another entry next to
//! these shards fetches and merges them, and its one answer is a fraction of
//! these bytes over the same way.
//!
//! Many near shards: an entry of a small machine would be busy with the parts
//! for most of the objective. It divides them among the entries of its domain.
//! The same shards always fall to the same entry, which so has warm connections
//! to their servers and sees early which of them stand still.
//!
//! Should an entry refuse, the shards are asked from here.

use std::time::Duration;

use crate::arena::{ServerKey, SlotKey, UpstreamKey};
use crate::process::forward::answer::ForwardAction;
use crate::process::forward::choose::ServerChoice;
use crate::process::forward::directory::ServerStanding;
use crate::process::forward::home::HomeSet;
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::place::PlaceStep;
use crate::process::rendezvous::rank;

/// Fewest far shards that are asked for together.
const LEAST_BUNDLE: usize = 3;
/// Most domains whose entries are asked for one request.
const MOST_BUNDLES: usize = 4;
/// Near shards above which they are divided.
pub(super) const DIVIDE_ABOVE: usize = 24;
/// Shards of a route that fall to one entry together.
pub(super) const SHARE: usize = 12;
/// Ways that differ by less than this part of the objective count as equal.
const WAY_STEP: f64 = 0.05;
/// Connections to another entry, at most.
pub(super) const RELAY_CONNECTIONS: usize = 64;

/// Parts for one other entry.
#[derive(Debug)]
pub(super) struct BundlePlan {
    pub(super) choice: ServerChoice,
    pub(super) parts: Vec<usize>,
    /// Whether the entry may divide them further.
    pub(super) divides: bool,
}

impl ForwardMachine {
    /// Asks other entries for parts, where that is better than to ask for them
    /// from here.
    pub(super) fn send_bundles(
        &mut self,
        call: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        if !state.gathers || self.peer_domains.is_empty() || state.plan.soft_deadline <= now {
            return;
        }
        let (relayed, divides, homes) = (state.relayed, state.divides, state.homes);
        let own = self.options.domain.clone();
        let (near, mut far): (Vec<usize>, Vec<usize>) = (0..state.parts.len())
            .filter(|part| state.parts[*part].is_open() && state.parts[*part].arrivals == 0)
            .partition(|part| self.has_server_in(state.parts[*part].upstream, &own, homes));
        let mut plans = Vec::new();
        if divides && near.len() > DIVIDE_ABOVE {
            plans.extend(self.divide(call, &near, now));
        }
        for _ in 0..MOST_BUNDLES {
            let plan = self.find_bundle(call, &far, now).filter(|_| !relayed);
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

    /// Divides near shards among the entries of this domain.
    fn divide(&self, call: SlotKey, near: &[usize], now: Duration) -> Vec<BundlePlan> {
        let Some(state) = self.calls.get(call) else {
            return Vec::new();
        };
        let mut domains = self.peer_domains.iter();
        let Some((_, entries)) = domains.find(|(name, _)| *name == self.options.domain) else {
            return Vec::new();
        };
        let names = state.gathered();
        let mut shares = vec![Vec::new(); names.len().div_ceil(SHARE)];
        // The parts stand in the order of the route's services.
        let mut place = 0;
        for part in near {
            let name = &*self.upstreams[state.parts[*part].upstream].name;
            while names.get(place).is_some_and(|other| other != name) {
                place += 1;
            }
            if place < names.len() {
                shares[place / SHARE].push(*part);
            }
        }
        let shares = shares.into_iter().enumerate();
        let plans = shares.filter_map(|(index, parts)| {
            let key = &names[index * SHARE];
            let choice = self.entry_for(*entries, key, true, state.homes, &[], now)?;
            (!parts.is_empty()).then_some(BundlePlan {
                choice,
                parts,
                divides: false,
            })
        });
        plans.collect()
    }

    /// Finds the nearest domain with entries that has far shards, and of
    /// domains that are as near the one that has most. Ways alone do not tell:
    /// one that was never taken is not known, and looks short.
    fn find_bundle(&self, call: SlotKey, far: &[usize], now: Duration) -> Option<BundlePlan> {
        let state = self.calls.get(call)?;
        let step = state.rule().objective().mul_f64(WAY_STEP).as_secs_f64();
        let mut best: Option<((PlaceStep, u64, usize, Duration), BundlePlan)> = None;
        for (domain, entries) in &self.peer_domains {
            if *domain == self.options.domain {
                continue;
            }
            let parts: Vec<usize> = far
                .iter()
                .copied()
                .filter(|part| self.has_server_in(state.parts[*part].upstream, domain, state.homes))
                .collect();
            let own = &self.options.own;
            let choice = self.entry_for(*entries, own, false, state.homes, &[], now);
            let Some(choice) = choice else {
                continue;
            };
            if parts.len() < LEAST_BUNDLE {
                continue;
            }
            let way = (choice.expected.as_secs_f64() / step.max(1e-6)) as u64;
            let place = self.place_of(domain);
            let rank = (place, way, usize::MAX - parts.len(), choice.expected);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                let plan = BundlePlan {
                    choice,
                    parts,
                    divides: true,
                };
                best = Some((rank, plan));
            }
        }
        best.map(|(_, plan)| plan)
    }

    /// Returns the entry of a domain to which `key` falls, but for those in
    /// `without`, with the way there as the time to expect. None if that is
    /// this entry, where it `counts` among them, or if all are silent.
    pub(super) fn entry_for(
        &self,
        entries: UpstreamKey,
        key: &str,
        counts: bool,
        homes: HomeSet,
        without: &[ServerKey],
        now: Duration,
    ) -> Option<ServerChoice> {
        let typical = self.timings[self.relay_timing].median_relay_time();
        let rank = |id: &str| rank(key, id);
        let servers = &self.upstreams[entries].servers;
        let able = servers.iter().filter(|server| {
            let state = &self.servers[**server];
            state.standing == ServerStanding::Ready
                && now >= state.rest_until
                && !without.contains(server)
                && homes.allows(state)
                && state.outstanding.len() < RELAY_CONNECTIONS
                && !state.is_still(typical, now)
        });
        let best = able.max_by_key(|server| rank(&self.servers[**server].id))?;
        let state = &self.servers[*best];
        if counts && rank(&self.options.own) > rank(&state.id) {
            return None;
        }
        Some(ServerChoice {
            server: homes.permit(*best, state)?,
            expected: state.way(),
            candidates: servers.len(),
        })
    }

    /// Tells whether a service has a server in a domain that takes work, answers
    /// and may be asked.
    pub(super) fn has_server_in(
        &self,
        upstream: UpstreamKey,
        domain: &str,
        homes: HomeSet,
    ) -> bool {
        let mut servers = self.upstreams[upstream].servers.iter();
        servers.any(|server| {
            let state = &self.servers[*server];
            *state.domain == *domain && !state.silent && homes.allows(state)
        })
    }
}
