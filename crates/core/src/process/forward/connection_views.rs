//! Updates this entry's view of the list of entries, from which its places at the servers of
//! services with scarce connections follow, and its contact with the control group.

use std::time::Duration;

use crate::arena::{ServerKey, UpstreamKey};
use crate::process::forward::answer::{ForwardAction, ForwardDecision};
use crate::process::forward::connection_places::{PlaceView, CONTACT_TIMEOUT, GAIN_DELAY};
use crate::process::forward::connection_subset::EntryView;
use crate::process::forward::directory::ServerLifecycle;
use crate::process::forward::input::EntryPeer;
use crate::process::forward::machine::{ForwardMachine, ForwardTimer};
use crate::process::forward::reply::NO_CALL;

/// The places of this entry at the servers of scarce services.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlaceTotals {
    /// Number of servers at which this entry has a place.
    pub servers: u32,
    /// Number of places at these servers.
    pub places: u32,
}

impl ForwardMachine {
    /// Recomputes the places after a new route table, which may change connection limits and
    /// the owners of shards.
    pub(super) fn update_places_for_table(&mut self, now: Duration, out: &mut Vec<ForwardAction>) {
        for (_, upstream) in self.upstreams.iter_mut() {
            upstream.places_key = None;
        }
        if self.has_scarce_service() {
            self.timers
                .set(now + CONTACT_TIMEOUT, ForwardTimer::ContactCheck);
        }
        self.close_lost_places(now, out);
    }

    /// Puts a new list of entries in force. An entry that is missing from the list, because
    /// it is leaving or the control group takes it for lost, keeps its places under the last
    /// list that named it: all entries may leave at the same time.
    pub(super) fn update_entry_view(
        &mut self,
        peers: &[EntryPeer],
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let ids: Vec<Box<str>> = peers.iter().map(EntryPeer::id).collect();
        let is_listed = ids.contains(&self.options.local_id);
        if self.was_listed && !is_listed {
            return;
        }
        self.was_listed |= is_listed;
        let known = ids.iter().zip(peers);
        let entries = EntryView::new(
            &self.options.local_id,
            &self.options.domain,
            self.entry_count,
            known.map(|(id, peer)| (&**id, &*peer.domain)),
        );
        if self.views.current().is_none() {
            self.first_listed_at = now;
        }
        let in_contact = self.has_contact(now);
        self.set_view(
            PlaceView {
                entries,
                in_contact,
            },
            now,
            out,
        );
    }

    /// Applies a new number of entries.
    pub(super) fn set_entry_count(
        &mut self,
        entries: u32,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        self.entry_count = entries.max(1);
        if let Some(view) = self.views.current() {
            let view = PlaceView {
                entries: view.entries.with_entries(self.entry_count),
                in_contact: view.in_contact,
            };
            self.set_view(view, now, out);
        }
    }

    /// Records a contact with the control group.
    pub(super) fn record_contact(&mut self, now: Duration, out: &mut Vec<ForwardAction>) {
        self.control_seen_at = now;
        self.review_contact(now, out);
        if self.has_scarce_service() {
            self.timers
                .set(now + CONTACT_TIMEOUT, ForwardTimer::ContactCheck);
        }
    }

    /// Updates whether this entry counts as in contact with the control group.
    pub(super) fn review_contact(&mut self, now: Duration, out: &mut Vec<ForwardAction>) {
        let in_contact = self.has_contact(now);
        if let Some(view) = self.views.current() {
            let entries = view.entries.clone();
            self.set_view(
                PlaceView {
                    entries,
                    in_contact,
                },
                now,
                out,
            );
        }
    }

    /// Returns whether this entry was recently in contact with the control group. The time
    /// is counted from the first list, which arrives before the first status message.
    fn has_contact(&self, now: Duration) -> bool {
        now < self.control_seen_at.max(self.first_listed_at) + CONTACT_TIMEOUT
    }

    fn has_scarce_service(&self) -> bool {
        let mut upstreams = self.upstreams.iter();
        upstreams.any(|(upstream, _)| self.is_scarce(upstream))
    }

    /// Puts a view in force, and closes idle connections of lost places if it is a new one.
    fn set_view(&mut self, view: PlaceView, now: Duration, out: &mut Vec<ForwardAction>) {
        if !self.views.set(view, now) || !self.has_scarce_service() {
            return;
        }
        self.timers
            .set(now + GAIN_DELAY, ForwardTimer::PlacesSettled);
        self.timers
            .set(now + CONTACT_TIMEOUT, ForwardTimer::ContactCheck);
        self.close_lost_places(now, out);
    }

    /// Closes the idle connections to servers at which this entry has more connections than
    /// places.
    fn close_lost_places(&mut self, now: Duration, out: &mut Vec<ForwardAction>) {
        let connected = self.servers.iter().filter(|(_, server)| server.open > 0);
        let connected: Vec<ServerKey> = connected.map(|(server, _)| server).collect();
        for server in connected {
            self.refresh_places(self.servers[server].upstream, now);
            self.close_if_over_places(server, out);
        }
    }

    /// Closes the idle connections to a server if there are more connections than places.
    pub(super) fn close_if_over_places(&mut self, server: ServerKey, out: &mut Vec<ForwardAction>) {
        let state = &self.servers[server];
        let is_over = state.open > state.places.usable && state.idle > 0;
        if is_over && self.is_scarce(state.upstream) {
            out.push(ForwardAction::CloseIdle(server));
            // They count as open until the pool reports that they are closed.
            self.servers[server].idle = 0;
        }
    }

    /// Handles the time at which gained places become usable: sends waiting parts, and
    /// records the places for the log.
    pub(super) fn handle_settled_places(&mut self, now: Duration, out: &mut Vec<ForwardAction>) {
        self.views.remove_expired(now);
        let scarce = self.upstreams.iter().map(|(upstream, _)| upstream);
        let scarce: Vec<UpstreamKey> = scarce
            .filter(|upstream| self.is_scarce(*upstream))
            .collect();
        for upstream in &scarce {
            if !self.upstreams[*upstream].waiting.is_empty() {
                self.retry_waiting_parts(*upstream, now, out);
            }
        }
        if !self.views.is_settled() {
            // Another change follows, and another timer with it.
            return;
        }
        for upstream in &scarce {
            self.refresh_places(*upstream, now);
        }
        let totals = self.place_totals();
        let Some(view) = self
            .views
            .current()
            .filter(|_| totals != self.logged_places)
        else {
            return;
        };
        let (entries, in_contact) = (view.entries.entries(), view.in_contact);
        let former = std::mem::replace(&mut self.logged_places, totals);
        self.record_decision(NO_CALL, out, || ForwardDecision::PlacesChanged {
            entries,
            in_contact,
            places: totals,
            former,
        });
    }

    /// Returns the number of places of this entry at the servers of scarce services, as far
    /// as they were computed.
    pub fn place_totals(&self) -> PlaceTotals {
        let mut totals = PlaceTotals::default();
        for (_, server) in self.servers.iter() {
            let is_counted = server.places.usable > 0
                && server.standing == ServerLifecycle::Ready
                && self.is_scarce(server.upstream);
            if is_counted {
                totals.servers += 1;
                totals.places += server.places.usable;
            }
        }
        totals
    }

    /// Returns the number of open connections to servers, without those to other entries.
    pub fn open_connections(&self) -> u32 {
        let servers = self.servers.iter();
        let servers = servers.filter(|(_, server)| !self.upstreams[server.upstream].is_entry);
        servers.map(|(_, server)| server.open).sum()
    }
}
