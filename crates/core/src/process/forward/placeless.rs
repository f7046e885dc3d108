//! Relays parts for which this entry has no place at any server to another entry of the
//! local failure domain that has one.
//!
//! Most parts are divided among the entries of the domain in advance, and the entry that
//! owns a shard always has a place. A part arrives here if the owner is unresponsive or
//! refused the part, or if a route has too few shards to be divided.

use std::time::Duration;

use crate::arena::{ServerKey, SlotKey};
use crate::process::forward::answer::ForwardAction;
use crate::process::forward::bundle::{BundlePlan, MAX_UNDIVIDED_SHARDS};
use crate::process::forward::call::CallState;
use crate::process::forward::choose::ServerChoice;
use crate::process::forward::directory::ServerLifecycle;
use crate::process::forward::machine::ForwardMachine;
use crate::process::rendezvous::rank;

impl ForwardMachine {
    /// Returns whether parts of a new request can be relayed to the other entries of the
    /// local failure domain.
    pub(super) fn may_relay_nearby(&self, state: &CallState, now: Duration) -> bool {
        let domain = &self.options.domain;
        state.is_scatter_gather
            && state.may_divide
            && state.deadlines.soft_deadline > now
            && self.peer_domains.iter().any(|(name, _)| name == domain)
    }

    /// Relays a part without a place here to another entry of the local failure domain that
    /// has one, with other such parts of the request for which that entry has a place too.
    /// Returns whether the part was sent.
    pub(super) fn relay_placeless_part(
        &mut self,
        call: SlotKey,
        part: usize,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) -> bool {
        let Some(state) = self.calls.get(call) else {
            return false;
        };
        if !self.may_relay_nearby(state, now)
            || state.needs_canary()
            || !self.is_placeless(state, part)
        {
            return false;
        }
        let others = (0..state.parts.len()).filter(|other| *other != part);
        let others = others.filter(|other| self.is_placeless(state, *other));
        let parts: Vec<usize> = std::iter::once(part)
            .chain(others.take(MAX_UNDIVIDED_SHARDS - 1))
            .collect();
        let holders: Vec<Vec<Box<str>>> = parts
            .iter()
            .map(|part| self.entries_with_place(state, *part))
            .collect();
        let Some(choice) = self.choose_entry_with_place(state, part, &holders, now) else {
            return false;
        };
        let id = self.servers[choice.server.key()].id.clone();
        let held = parts.iter().zip(&holders);
        let held = held.filter(|(_, holders)| holders.iter().any(|holder| **holder == *id));
        let held: Vec<usize> = held.map(|(part, _)| *part).collect();
        let parts = held.into_iter();
        let parts: Vec<usize> = parts
            .filter(|part| self.try_spend_budget(call, *part, now, out))
            .collect();
        let is_sent = parts.contains(&part);
        if !parts.is_empty() {
            let plan = BundlePlan {
                choice,
                parts,
                may_divide: false,
            };
            self.send_bundle(call, plan, now, out);
            self.schedule_sweep(call, now);
        }
        is_sent
    }

    /// Returns whether a part is to be sent and this entry has no place at a server that was
    /// not tried for it.
    fn is_placeless(&self, state: &CallState, part: usize) -> bool {
        let part_state = &state.parts[part];
        let is_sendable = part_state.is_open()
            && !part_state.is_queued
            && !part_state.attempts.is_full()
            && part_state.runs < state.attempts
            && (part_state.attempts.is_empty() || self.has_only_overdue_relays(part_state));
        if !is_sendable || !self.is_scarce(part_state.upstream) {
            return false;
        }
        let mut servers = self.untried_servers(state, part);
        servers.all(|server| {
            let places = self.servers[server].places;
            places.usable == 0 && !places.is_rising
        })
    }

    /// Iterates over the servers that may be sent a part and were not tried for it.
    fn untried_servers<'a>(
        &'a self,
        state: &'a CallState,
        part: usize,
    ) -> impl Iterator<Item = ServerKey> + 'a {
        let part = &state.parts[part];
        let servers = self.upstreams[part.upstream].servers.iter().copied();
        servers.filter(|server| {
            let server_state = &self.servers[*server];
            server_state.standing == ServerLifecycle::Ready
                && !server_state.is_lapsed()
                && !part.tried.contains(server)
                && state.allowed_regions.allows(server_state)
        })
    }

    /// Returns the ids of the entries of the local domain that have a place at a server that
    /// was not tried for a part.
    fn entries_with_place(&self, state: &CallState, part: usize) -> Vec<Box<str>> {
        let upstream = state.parts[part].upstream;
        let Some(view) = self.views.current() else {
            return Vec::new();
        };
        let servers = self.untried_servers(state, part);
        let sites = servers.map(|server| self.server_site(server));
        view.entries_with_place(sites, self.upstreams[upstream].connections)
    }

    /// Chooses an available entry that has a place for the part `part`, the one with places
    /// for most of the parts that `holders` lists the entries of; `holders` begins with those
    /// of `part`. Of several, the one that is asked first for the part's shard.
    fn choose_entry_with_place(
        &self,
        state: &CallState,
        part: usize,
        holders: &[Vec<Box<str>>],
        now: Duration,
    ) -> Option<ServerChoice> {
        let first = holders.first()?;
        let upstream = &self.upstreams[state.parts[part].upstream];
        let owner_key = upstream.group_key.as_deref().unwrap_or(&upstream.name);
        let mut domains = self.peer_domains.iter();
        let (_, entries) = domains.find(|(name, _)| *name == self.options.domain)?;
        let typical = self.timings[self.relay_timing].median_relay_time();
        let attempts = state.parts[part].attempts.iter();
        let asked: Vec<ServerKey> = attempts
            .filter_map(|attempt| self.attempts.get(*attempt))
            .map(|attempt| attempt.server)
            .collect();
        let entries = self.upstreams[*entries].servers.iter();
        let available = entries.filter(|entry| {
            let entry_state = &self.servers[**entry];
            now >= entry_state.backoff_until
                && !asked.contains(entry)
                && !entry_state.is_stalled(typical, now)
                && first.iter().any(|holder| **holder == *entry_state.id)
        });
        let available: Vec<ServerKey> = available.copied().collect();
        let best = available.iter().max_by_key(|entry| {
            let id = &self.servers[**entry].id;
            let held = holders
                .iter()
                .filter(|holders| holders.iter().any(|holder| **holder == **id));
            (held.count(), rank(owner_key, id))
        })?;
        let entry_state = &self.servers[*best];
        Some(ServerChoice {
            server: state.allowed_regions.permit(*best, entry_state)?,
            expected: entry_state.round_trip(),
            candidates: available.len(),
        })
    }
}
