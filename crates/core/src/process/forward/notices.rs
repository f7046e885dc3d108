//! The servers that an entry knows: what is heard of them, and whether they are
//! in use.

use std::net::SocketAddr;
use std::time::Duration;

use crate::arena::ServerKey;
use crate::process::forward::answer::ForwardAction;
use crate::process::forward::directory::{NoticeEffect, ServerNotice, ServerStanding};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::pace::ServerSlowness;
use crate::process::forward::place::PlaceStep;
use crate::process::forward::server::ServerState;

impl ForwardMachine {
    /// Takes what a server says of itself, or what is said of it.
    pub(super) fn notice(
        &mut self,
        notice: ServerNotice,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let id = notice.id.clone();
        let effect = self.directory.apply(notice, now);
        if matches!(effect, NoticeEffect::Stale | NoticeEffect::Foreign) {
            return;
        }
        let Some(record) = self.directory.get(&id) else {
            return;
        };
        let known = record.notice.clone();
        if let Some(server) = self.server_ids.get(&id).copied() {
            let state = &mut self.servers[server];
            if known.born <= state.born {
                state.warm_at = now + Duration::from_millis(known.cold_ms);
                return self.set_standing(server, known.standing, out);
            }
            // It started again under its id, and knows nothing of before.
            self.server_ids.remove(&id);
            self.set_standing(server, ServerStanding::Gone, out);
        }
        let Some(address) = known.address else {
            return;
        };
        if known.standing != ServerStanding::Ready {
            return;
        }
        self.add_server(known, address, now, out);
    }

    fn add_server(
        &mut self,
        notice: ServerNotice,
        address: SocketAddr,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        // Whoever had the address before is gone, most likely: which of two
        // lifetimes is the later one nobody says, and an entry that has just
        // started hears of them in any order. The one that is not there says so
        // when it is asked.
        let former = self.servers.iter_mut().find(|(_, server)| {
            server.address == address && server.standing != ServerStanding::Gone
        });
        let former = former.map(|(former, state)| {
            state.silent = true;
            (former, state.upstream)
        });
        let upstream = self.upstream(&notice.service);
        match former {
            Some((former, same)) if same == upstream => out.push(ForwardAction::Close(former)),
            Some((former, _)) => self.set_standing(former, ServerStanding::Gone, out),
            None => {}
        }
        let mut state = ServerState::new(notice.id.clone().into(), upstream, address);
        state.place = self.place_of(&notice.domain);
        state.region = self.options.regions.region_of(&notice.domain);
        state.evacuated = self.evacuated.contains(&notice.domain);
        state.domain = notice.domain;
        state.version = notice.version;
        state.slots = notice.slots;
        state.pace = ServerSlowness::new(self.options.pace);
        state.born = notice.born;
        state.warm_at = now + Duration::from_millis(notice.cold_ms);
        let server = self.servers.push(state);
        self.server_ids.insert(notice.id, server);
        self.bar_version(server);
        self.upstreams[upstream].servers.push(server);
        self.serve_waiting(upstream, now, out);
    }

    /// Takes the word of whoever is at a server's address that it is another
    /// one.
    pub(super) fn set_replaced(&mut self, server: ServerKey, out: &mut Vec<ForwardAction>) {
        let address = self.servers[server].address;
        self.set_standing(server, ServerStanding::Gone, out);
        for (_, other) in self.servers.iter_mut() {
            if other.address == address && other.standing != ServerStanding::Gone {
                other.silent = false;
            }
        }
    }

    /// Returns how far off a failure domain is.
    pub fn place_of(&self, domain: &str) -> PlaceStep {
        self.options.regions.step(&self.options.domain, domain)
    }

    /// Takes over that a server leaves; it never comes back in its lifetime.
    pub(super) fn set_standing(
        &mut self,
        server: ServerKey,
        standing: ServerStanding,
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
        out.push(ForwardAction::Close(server));
    }

    /// Takes over whether the control group hears a server.
    pub(super) fn set_silent(&mut self, id: &str, silent: bool, now: Duration) {
        if let Some(server) = self.server_ids.get(id) {
            let state = &mut self.servers[*server];
            if state.silent && !silent {
                state.doubt_warmth(now);
            }
            state.silent = silent;
        }
    }

    /// Takes over which failure domains are out of use. What their servers have
    /// is finished there. Entries there go on as they do: it is the servers
    /// that are to get nothing.
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
            let evacuated = domains.contains(&server.domain);
            if server.evacuated && !evacuated {
                server.doubt_warmth(now);
                if !returned.contains(&server.upstream) {
                    returned.push(server.upstream);
                }
            }
            server.evacuated = evacuated;
            if evacuated {
                out.push(ForwardAction::Close(key));
            }
        }
        self.evacuated = domains;
        for upstream in returned {
            self.serve_waiting(upstream, now, out);
        }
    }

    /// Returns the failure domains that are out of use.
    pub fn evacuated(&self) -> &[Box<str>] {
        &self.evacuated
    }
}
