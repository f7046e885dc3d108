//! Asking other entries for parts of a request.
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

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::forward::answer::{AttemptCause, ForwardAction};
use crate::process::forward::call::PartStatus;
use crate::process::forward::choose::ServerChoice;
use crate::process::forward::directory::ServerStanding;
use crate::process::forward::input::{BundleAnswer, EntryPeer, RelayOrder};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::send::AttemptSend;
use crate::process::forward::server::ServerState;
use crate::process::rendezvous::rank;

/// Fewest far shards that are asked for together.
const LEAST_BUNDLE: usize = 3;
/// Most domains whose entries are asked for one request.
const MOST_BUNDLES: usize = 4;
/// Time that an entry is late before it is given up, as a part of the
/// objective.
const LATE_TIME: f64 = 0.5;
/// Time that the way back and the merge of a bundle are given.
const BUNDLE_MARGIN: Duration = Duration::from_millis(7);
/// Near shards above which they are divided.
const DIVIDE_ABOVE: usize = 24;
/// Shards of a route that fall to one entry together.
const SHARE: usize = 12;
/// Ways that differ by less than this part of the objective count as equal.
const WAY_STEP: f64 = 0.05;
/// Connections to another entry, at most.
pub(super) const RELAY_CONNECTIONS: usize = 64;

/// Parts for one other entry.
#[derive(Debug)]
struct BundlePlan {
    choice: ServerChoice,
    parts: Vec<usize>,
    /// Whether the entry may divide them further.
    divides: bool,
}

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
        if !state.gathers || self.peer_domains.is_empty() || state.plan.aim <= now {
            return;
        }
        let (relayed, divides) = (state.relayed, state.divides);
        let own = self.options.domain.clone();
        let (near, mut far): (Vec<usize>, Vec<usize>) = (0..state.parts.len())
            .partition(|part| self.has_server_in(state.parts[*part].upstream, &own));
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
            let choice = self.entry_for(*entries, &names[index * SHARE], true, now)?;
            (!parts.is_empty()).then_some(BundlePlan {
                choice,
                parts,
                divides: false,
            })
        });
        plans.collect()
    }

    /// Finds the nearest domain with entries that has far shards, and of
    /// domains that are as near the one that has most.
    fn find_bundle(&self, call: SlotKey, far: &[usize], now: Duration) -> Option<BundlePlan> {
        let state = self.calls.get(call)?;
        let step = state.rule().objective().mul_f64(WAY_STEP).as_secs_f64();
        let mut best: Option<((u64, usize, Duration), BundlePlan)> = None;
        for (domain, entries) in &self.peer_domains {
            if *domain == self.options.domain {
                continue;
            }
            let parts: Vec<usize> = far
                .iter()
                .copied()
                .filter(|part| self.has_server_in(state.parts[*part].upstream, domain))
                .collect();
            let Some(choice) = self.entry_for(*entries, &self.options.own, false, now) else {
                continue;
            };
            if parts.len() < LEAST_BUNDLE {
                continue;
            }
            let way = (choice.expected.as_secs_f64() / step.max(1e-6)) as u64;
            let rank = (way, usize::MAX - parts.len(), choice.expected);
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

    /// Returns the entry of a domain to which `key` falls, with the way there
    /// as the time to expect. None if that is this entry, where it `counts`
    /// among them, or if all are silent.
    fn entry_for(
        &self,
        entries: UpstreamKey,
        key: &str,
        counts: bool,
        now: Duration,
    ) -> Option<ServerChoice> {
        let typical = self.timings[self.relay_timing].relay();
        let rank = |id: &str| rank(key, id);
        let servers = &self.upstreams[entries].servers;
        let able = servers.iter().filter(|server| {
            let state = &self.servers[**server];
            state.standing == ServerStanding::Ready
                && now >= state.rest_until
                && state.outstanding.len() < RELAY_CONNECTIONS
                && !state.is_still(typical, now)
        });
        let best = able.max_by_key(|server| rank(&self.servers[**server].id))?;
        let state = &self.servers[*best];
        if counts && rank(&self.options.own) > rank(&state.id) {
            return None;
        }
        Some(ServerChoice {
            server: *best,
            expected: state.way(),
            candidates: servers.len(),
        })
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
        self.servers[server].rest(now);
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
    pub(super) fn take_bundle(&mut self, call: SlotKey, parts: &[usize], bundle: &BundleAnswer) {
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
