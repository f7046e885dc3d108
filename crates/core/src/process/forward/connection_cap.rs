//! Limits the connections of this entry to each server.
//!
//! If a server accepts at least one connection from each entry, every entry gets an equal
//! share. Otherwise connections are scarce, and
//! [`crate::process::forward::connection_subset`] assigns them to a subset of the entries.

use std::time::Duration;

use crate::arena::{ServerKey, SlotKey, UpstreamKey};
use crate::process::forward::answer::{ForwardAction, ForwardDecision};
use crate::process::forward::bundle::MAX_RELAY_CONNECTIONS;
use crate::process::forward::connection_subset::{ServerSite, SHARED_CONNECTION_USE};
use crate::process::forward::input::ConnectionLimit;
use crate::process::forward::machine::{ForwardMachine, ForwardTimer};
use crate::process::forward::place::DomainProximity;
use crate::process::forward::reply::NO_CALL;

/// Number of outstanding requests per slot that an entry may have at a server of its own
/// failure domain. A server's slots are the requests that it processes at once.
const REQUESTS_PER_SLOT: usize = 2;

/// Whether a request can be sent to a server under the limit on connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionRoom {
    /// An idle connection can be used, or a new one opened.
    Available,
    /// All connections are in use. Later one may be free, or another may be opened.
    Full,
    /// This entry has no place at the server.
    NoPlace,
}

impl ForwardMachine {
    /// Returns whether a service's servers accept fewer connections than one from each
    /// entry, and entries divide them. Always false until the list of entries is known.
    pub(super) fn is_scarce(&self, upstream: UpstreamKey) -> bool {
        self.options.connection_subsets
            && !self.upstreams[upstream].is_entry
            && self.views.current().is_some()
            && self.equal_share(upstream) == 0
    }

    /// Returns an equal share of a server's connections for each entry, rounded down.
    fn equal_share(&self, upstream: UpstreamKey) -> usize {
        let used = f64::from(self.upstreams[upstream].connections) * SHARED_CONNECTION_USE;
        (used / f64::from(self.entry_count.max(1))) as usize
    }

    /// Returns the maximum number of connections from this entry to a server: this
    /// entry's share of the server's limit, which all entries share. If connections to the
    /// service are scarce, the number is that of the last `refresh_places`.
    ///
    /// A server gets most requests from the entries of its own failure domain, and if
    /// there are many entries, from the one that owns its shard. These entries may
    /// therefore keep all slots of the server busy and queue as many requests again.
    pub fn connection_cap(&self, server: ServerKey) -> usize {
        let state = &self.servers[server];
        let upstream = &self.upstreams[state.upstream];
        if upstream.is_entry {
            return MAX_RELAY_CONNECTIONS;
        }
        if self.is_scarce(state.upstream) {
            return state.places.usable as usize;
        }
        let equal_share = self.equal_share(state.upstream);
        if state.proximity != DomainProximity::Domain {
            return equal_share.max(1);
        }
        let used = f64::from(upstream.connections) * SHARED_CONNECTION_USE;
        let domain_share = (used / f64::from(self.domain_entry_count)) as usize;
        let slot_limit = state.slots as usize * REQUESTS_PER_SLOT;
        equal_share.max(domain_share.min(slot_limit)).max(1)
    }

    /// Returns whether a request can be sent to a server under the limit on connections.
    pub(super) fn connection_room(&self, server: ServerKey, now: Duration) -> ConnectionRoom {
        let state = &self.servers[server];
        let cap = self.connection_cap(server);
        let outstanding = state.outstanding.len();
        let would_open = state.idle == 0;
        if !self.is_scarce(state.upstream) {
            let is_full = outstanding >= cap || (would_open && outstanding >= state.slots as usize);
            return if is_full {
                ConnectionRoom::Full
            } else {
                ConnectionRoom::Available
            };
        }
        if cap == 0 && !state.places.is_rising {
            return ConnectionRoom::NoPlace;
        }
        // The pool reports changes only after a step, so attempts of this step are not yet
        // counted as open connections.
        let used = outstanding + state.idle as usize;
        // A connection that is neither used nor idle is about to be either closed or idle,
        // and the pool reports it next.
        let is_changing = state.open as usize > used;
        let may_open = used < cap && !is_changing && state.opening_backoff.allows_opening(now);
        if outstanding >= cap || (would_open && !may_open) {
            return ConnectionRoom::Full;
        }
        ConnectionRoom::Available
    }

    /// Returns whether this entry may have connections to a server of a service. True if the
    /// service has no server in the local failure domain: its parts are sent in bundles.
    pub(super) fn has_any_place(&self, upstream: UpstreamKey) -> bool {
        if !self.is_scarce(upstream) {
            return true;
        }
        let servers = self.upstreams[upstream].servers.iter();
        let servers = servers.map(|server| &self.servers[*server]);
        let (mut has_near, mut has_place) = (false, false);
        for server in servers {
            has_near |= server.proximity == DomainProximity::Domain;
            has_place |= server.places.usable > 0 || server.places.is_rising;
        }
        has_place || !has_near
    }

    /// Recomputes this entry's places at the servers of a scarce service, if the list of
    /// entries or the usable servers have changed since they were computed.
    pub(super) fn refresh_places(&mut self, upstream: UpstreamKey, now: Duration) {
        if !self.is_scarce(upstream) {
            return;
        }
        self.views.remove_expired(now);
        let state = &self.upstreams[upstream];
        let servers = state.servers.iter().map(|server| {
            let state = &self.servers[*server];
            let is_in_use = !state.is_lapsed() && !state.is_evacuated && !state.is_rolled_back;
            (*server, is_in_use)
        });
        let key = (self.views.generation(), state.connections);
        if state.places_key == Some(key) && servers.clone().eq(state.places_servers.iter().copied())
        {
            return;
        }
        let servers: Vec<(ServerKey, bool)> = servers.collect();
        let sites = servers.iter().map(|(server, _)| self.server_site(*server));
        let sites: Vec<ServerSite<'_>> = sites.collect();
        let in_use: Vec<bool> = servers.iter().map(|(_, is_in_use)| *is_in_use).collect();
        let places = self.views.places(&sites, &in_use, state.connections);
        for ((server, _), places) in servers.iter().zip(places) {
            self.servers[*server].places = places;
        }
        let state = &mut self.upstreams[upstream];
        state.places_key = Some(key);
        state.places_servers = servers;
    }

    /// Returns what the assignment of connections to a server depends on.
    pub(super) fn server_site(&self, server: ServerKey) -> ServerSite<'_> {
        let state = &self.servers[server];
        let upstream = &self.upstreams[state.upstream];
        let owner_key = upstream.group_key.as_deref().unwrap_or(&upstream.name);
        ServerSite::new(&state.id, &state.domain, state.slots, owner_key)
    }

    /// Handles a report of the pool about the connections to a server. Where connections are
    /// scarce, sends parts that waited for a connection and closes those of lost places.
    pub(super) fn record_connections(
        &mut self,
        server: ServerKey,
        idle: u32,
        open: u32,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let state = &mut self.servers[server];
        state.idle = idle;
        state.open = open;
        let upstream = state.upstream;
        if !self.is_scarce(upstream) {
            return;
        }
        self.refresh_places(upstream, now);
        self.close_if_over_places(server, out);
        let has_room = self.connection_room(server, now) == ConnectionRoom::Available;
        if has_room && !self.upstreams[upstream].waiting.is_empty() {
            self.retry_waiting_parts(upstream, now, out);
        }
    }

    /// Counts the connection that the pool opens for an attempt if none is idle, and returns
    /// the maximum number of connections to the server if connections are scarce.
    pub(super) fn count_connection(&mut self, server: ServerKey) -> Option<u32> {
        if !self.is_scarce(self.servers[server].upstream) {
            return None;
        }
        let cap = self.connection_cap(server) as u32;
        let state = &mut self.servers[server];
        if state.idle == 0 {
            state.open += 1;
        }
        Some(cap)
    }

    /// Handles a report of the pool that no connection could be opened for an attempt. The
    /// result of the attempt follows as a separate input.
    pub(super) fn handle_connection_limit(
        &mut self,
        attempt: SlotKey,
        limit: ConnectionLimit,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };
        state.met_limit = true;
        let (server, call) = (state.server, state.call);
        if limit == ConnectionLimit::Entry {
            return;
        }
        self.counters.connection_resets += 1;
        let open = self.servers[server].open;
        let Some(backoff) = self.servers[server].opening_backoff.record_reset(now) else {
            return;
        };
        self.timers
            .set(now + backoff, ForwardTimer::OpeningAllowed(server));
        let tag = call.and_then(|call| self.calls.get(call));
        let tag = tag.map_or(NO_CALL, |call| call.tag);
        self.record_decision(tag, out, || {
            let (service, instance) = self.server_names(server);
            ForwardDecision::ServerAtLimit {
                service,
                instance,
                open,
                backoff,
            }
        });
    }

    /// Handles the end of a back-off from opening connections to a server.
    pub(super) fn handle_opening_allowed(
        &mut self,
        server: ServerKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let upstream = self.servers[server].upstream;
        if !self.upstreams[upstream].waiting.is_empty() {
            self.retry_waiting_parts(upstream, now, out);
        }
    }

    /// Returns the extra-load budget that a repeated attempt took, because no connection to
    /// its server could be opened: it arrived at no server. Makes the server available for
    /// the part again.
    pub(super) fn undo_unopened_attempt(
        &mut self,
        call: SlotKey,
        part: usize,
        server: ServerKey,
        now: Duration,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let part = &mut state.parts[part];
        part.tried.retain(|tried| *tried != server);
        if part.arrivals > 0 {
            let budget = &mut self.upstreams[part.upstream].budget;
            budget.return_extra(&self.options.extra, now);
        }
    }
}
