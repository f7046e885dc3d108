//! Connections of entries to servers: how many are open, which a server's end closes,
//! and those that are opened to find out whether a server is alive.

use std::time::Duration;

use wheelmast_core::arena::ServerKey;
use wheelmast_core::process::forward::input::ForwardInput;

use crate::model::event::PlayEvent;
use crate::model::play::{PlayState, OPEN_TIME};

impl PlayState<'_> {
    /// Returns the time from an entry to a server and back.
    pub(super) fn round_trip(&self, entry: usize, place: usize) -> Duration {
        if self.servers[place].domain == self.entries[entry].domain {
            self.spec.near_way
        } else {
            self.spec.far_way
        }
    }

    /// Reports the number of connections to a server to the entry's machine.
    pub(super) fn report_connections(&mut self, entry: usize, server: ServerKey) {
        let state = &self.entries[entry];
        let idle = state.idle.get(&server).copied().unwrap_or(0);
        let open = state.open.get(&server).copied().unwrap_or(0);
        self.step(entry, ForwardInput::Connections { server, idle, open });
    }

    /// Closes connections of an entry to a server: `count` that were in use or opening,
    /// or its idle ones.
    pub(super) fn close_connections(&mut self, entry: usize, server: ServerKey, count: u32) {
        let open = self.entries[entry].open.entry(server).or_default();
        *open = open.saturating_sub(count);
        self.report_connections(entry, server);
    }

    /// Lets the end of a server close the idle connections of all entries to it.
    pub(super) fn close_idle_of(&mut self, place: usize) {
        for entry in 0..self.entries.len() {
            let Some(server) = self.entries[entry].keys.get(&place).copied() else {
                continue;
            };
            let at = self.now + self.round_trip(entry, place) / 2;
            self.events
                .push(at, PlayEvent::IdleClosed { entry, server });
        }
    }

    /// Closes the idle connections of an entry to a server that ended.
    pub(super) fn idle_closed(&mut self, entry: usize, server: ServerKey) {
        let idle = self.entries[entry].idle.remove(&server).unwrap_or(0);
        if idle > 0 {
            self.close_connections(entry, server, idle);
        }
    }

    /// Opens a connection to a server for an entry, in place of a broken one.
    pub(super) fn open_connection(&mut self, entry: usize, server: ServerKey) {
        let state = &self.entries[entry];
        let place = state.keys.iter().find(|(_, key)| **key == server);
        let Some(place) = place.map(|(place, _)| *place) else {
            return;
        };
        *self.entries[entry].open.entry(server).or_default() += 1;
        // A host refuses a connection without the work of accepting it.
        let mut takes = self.round_trip(entry, place);
        if !self.servers[place].is_down(self.now) {
            takes += self.spec.handshake;
        }
        let event = PlayEvent::Opened {
            entry,
            server,
            place,
            takes,
        };
        self.events.push(self.now + takes, event);
        self.report_connections(entry, server);
    }

    /// A connection that an entry opened is accepted or refused, or nothing comes back.
    pub(super) fn connection_opened(
        &mut self,
        entry: usize,
        server: ServerKey,
        place: usize,
        takes: Duration,
    ) {
        let is_silent =
            self.entries[entry].is_cut(self.now) || self.servers[place].is_dark(self.now);
        if is_silent && takes < OPEN_TIME {
            let event = PlayEvent::Opened {
                entry,
                server,
                place,
                takes: OPEN_TIME,
            };
            return self.events.push(self.now + OPEN_TIME - takes, event);
        }
        if is_silent {
            return self.close_connections(entry, server, 1);
        }
        if self.servers[place].is_down(self.now) {
            let took = takes;
            self.step(entry, ForwardInput::ConnectionRefused { server, took });
            return self.close_connections(entry, server, 1);
        }
        *self.entries[entry].idle.entry(server).or_default() += 1;
        self.step(
            entry,
            ForwardInput::Connected {
                server,
                took: takes,
            },
        );
        self.report_connections(entry, server);
    }
}
