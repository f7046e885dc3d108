//! Handling of server announcements, lease reports and evacuations by an entry.
//!
//! Keeps the set of usable servers of each upstream up to date: adds new and restarted
//! servers, removes those that left or were replaced, and marks those whose lease
//! expired or whose failure domain was taken out of use.

use std::net::SocketAddr;
use std::time::Duration;

use crate::arena::{ServerKey, UpstreamKey};
use crate::process::forward::answer::ForwardAction;
use crate::process::forward::directory::{AnnouncementEffect, ServerAnnouncement, ServerLifecycle};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::place::DomainProximity;
use crate::process::forward::server::ServerState;
use crate::process::forward::server_end::evidence::EndEvidence;
use crate::process::forward::slowness::ServerSlowness;

impl ForwardMachine {
    /// Handles an announcement of a server, received directly or through a control
    /// instance.
    pub(super) fn handle_announcement(
        &mut self,
        announcement: ServerAnnouncement,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let id = announcement.id.clone();
        let effect = self.directory.apply(announcement, now);
        if matches!(
            effect,
            AnnouncementEffect::Stale | AnnouncementEffect::Conflicting
        ) {
            return;
        }
        let Some(record) = self.directory.get(&id) else {
            return;
        };
        let known = record.announcement.clone();
        if let Some(server) = self.servers_by_id.get(&id).copied() {
            let state = &mut self.servers[server];
            if known.born <= state.born {
                state.warm_at = now + Duration::from_millis(known.cold_ms);
                if known.standing != ServerLifecycle::Gone {
                    self.record_server_announced(server, now, out);
                }
                return self.advance_lifecycle(server, known.standing, out);
            }
            // The server restarted under the same id, so the state of its former
            // incarnation no longer applies.
            self.servers_by_id.remove(&id);
            self.record_server_end(server, EndEvidence::Replaced, now, out);
            self.advance_lifecycle(server, ServerLifecycle::Gone, out);
        }
        let Some(address) = known.address else {
            return;
        };
        if known.standing != ServerLifecycle::Ready {
            return;
        }
        self.add_server(known, address, now, out);
    }

    /// Adds a server and starts requests that were waiting for one. Servers known under the
    /// same address are marked as displaced.
    fn add_server(
        &mut self,
        announcement: ServerAnnouncement,
        address: SocketAddr,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let upstream = self.find_or_add_upstream(&announcement.service);
        self.displace_servers(address, upstream, now, out);
        let mut state = ServerState::new(announcement.id.clone().into(), upstream, address);
        state.proximity = self.proximity_of(&announcement.domain);
        state.region = self.options.regions.region_of(&announcement.domain);
        state.is_evacuated = self.evacuated.contains(&announcement.domain);
        state.domain = announcement.domain;
        state.version = announcement.version;
        state.slots = announcement.slots;
        state.slowness_estimate = ServerSlowness::new(self.options.slowness);
        state.born = announcement.born;
        state.warm_at = now + Duration::from_millis(announcement.cold_ms);
        let server = self.servers.push(state);
        self.servers_by_id.insert(announcement.id, server);
        self.update_rolled_back(server);
        self.upstreams[upstream].servers.push(server);
        self.retry_waiting_parts(upstream, now, out);
    }

    /// Marks the servers known under an address as displaced by a server of a service: they
    /// have most likely left.
    ///
    /// This is not certain: announcements do not show which of two servers is the later one,
    /// and an entry that has just started receives them in any order. A displaced server
    /// counts again once it answers, or once the one that displaced it has left or has an
    /// expired lease, or another server answers in its place.
    fn displace_servers(
        &mut self,
        address: SocketAddr,
        service: UpstreamKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let former = self.servers.iter_mut().filter(|(_, server)| {
            server.address == address
                && server.standing != ServerLifecycle::Gone
                && server.displaced_by.is_none()
        });
        let former = former.map(|(key, server)| {
            server.displaced_by = Some(service);
            key
        });
        let former: Vec<ServerKey> = former.collect();
        for server in former {
            self.record_server_end(server, EndEvidence::Replaced, now, out);
            out.push(ForwardAction::CloseIdle(server));
        }
    }

    /// Ends the displacement of the servers at an address if no server claims it any more.
    fn restore_displaced(&mut self, address: SocketAddr) {
        let is_claimed = self.servers.iter().any(|(_, server)| {
            server.address == address
                && server.standing != ServerLifecycle::Gone
                && !server.is_lapsed()
        });
        if is_claimed {
            return;
        }
        for (_, server) in self.servers.iter_mut() {
            if server.address == address {
                server.displaced_by = None;
            }
        }
    }

    /// Records that a server answered, which shows that it runs at its address.
    pub(super) fn record_identity(
        &mut self,
        server: ServerKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let state = &self.servers[server];
        if state.displaced_by.is_none() {
            return;
        }
        let (address, upstream) = (state.address, state.upstream);
        self.displace_servers(address, upstream, now, out);
        self.servers[server].displaced_by = None;
    }

    /// Handles a reply from a server's address which says that another server runs
    /// there now. Marks the server as gone.
    pub(super) fn mark_replaced(
        &mut self,
        server: ServerKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        self.record_server_end(server, EndEvidence::Replaced, now, out);
        self.advance_lifecycle(server, ServerLifecycle::Gone, out);
    }

    /// Returns the proximity of a failure domain to this entry: the same domain, the same
    /// region or elsewhere.
    pub fn proximity_of(&self, domain: &str) -> DomainProximity {
        self.options.regions.proximity(&self.options.domain, domain)
    }

    /// Moves a server to a later lifecycle state, stops using it and closes its idle
    /// connections. Does nothing if the state is not later: an incarnation never
    /// becomes ready again.
    pub(super) fn advance_lifecycle(
        &mut self,
        server: ServerKey,
        standing: ServerLifecycle,
        out: &mut Vec<ForwardAction>,
    ) {
        let state = &mut self.servers[server];
        if standing <= state.standing {
            return;
        }
        state.standing = standing;
        let upstream = state.upstream;
        let servers = &mut self.upstreams[upstream].servers;
        servers.retain(|other| *other != server);
        out.push(ForwardAction::CloseIdle(server));
        if standing == ServerLifecycle::Gone {
            self.restore_displaced(self.servers[server].address);
        }
    }

    /// Records whether the control group considers a server's lease expired. A server
    /// whose lease is valid again is treated as cold for a while.
    pub(super) fn set_expired(
        &mut self,
        id: &str,
        expired: bool,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if let Some(server) = self.servers_by_id.get(id).copied() {
            let state = &mut self.servers[server];
            if state.expired && !expired {
                state.assume_cold(now);
            }
            state.expired = expired;
            if expired {
                self.restore_displaced(self.servers[server].address);
                self.record_server_end(server, EndEvidence::LeaseExpired, now, out);
            }
        }
    }

    /// Records which failure domains are evacuated, that is, taken out of use by the
    /// operator. Servers there finish the requests that they have and get no new
    /// ones. Entries there are not affected.
    pub(super) fn set_evacuated(
        &mut self,
        domains: Vec<Box<str>>,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let mut returned = Vec::new();
        for (key, server) in self.servers.iter_mut() {
            if self.upstreams[server.upstream].is_entry {
                continue;
            }
            let is_evacuated = domains.contains(&server.domain);
            if server.is_evacuated && !is_evacuated {
                server.assume_cold(now);
                if !returned.contains(&server.upstream) {
                    returned.push(server.upstream);
                }
            }
            server.is_evacuated = is_evacuated;
            if is_evacuated {
                out.push(ForwardAction::CloseIdle(key));
            }
        }
        self.evacuated = domains;
        for upstream in returned {
            self.retry_waiting_parts(upstream, now, out);
        }
    }

    /// Returns the failure domains that are evacuated.
    pub fn evacuated_domains(&self) -> &[Box<str>] {
        &self.evacuated
    }
}
