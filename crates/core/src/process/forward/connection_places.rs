//! State for the use of assigned connections: the views of the list of entries that were
//! recently in force, and the back-off from servers that reset new connections.

use std::time::Duration;

use crate::process::forward::connection_subset::{
    reserve_connections, shared_connections, EntryView, ServerSite,
};

/// Time after a change of the list of entries before gained connections are used. By then
/// the entries that lose these connections have received the same change.
pub const GAIN_DELAY: Duration = Duration::from_millis(500);
/// Time without contact to the control group after which this entry may be missing from
/// the other entries' lists. The control group closes the connection of an entry that has
/// not acknowledged anything for 1.5 s, and ignores a control instance after 2 s without a
/// message.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of replaced views that are kept. While the list changes more often
/// within [`GAIN_DELAY`], the oldest of them are forgotten early.
const MAX_REPLACED_VIEWS: usize = 8;
/// First back-off from opening connections to a server that has reset a new connection.
const INITIAL_OPENING_BACKOFF: Duration = Duration::from_millis(100);
/// Longest such back-off.
const MAX_OPENING_BACKOFF: Duration = Duration::from_secs(2);

/// A view of the list of entries, with the entry's contact to the control group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlaceView {
    /// The list of entries.
    pub entries: EntryView,
    /// Whether the entry is in contact with the control group. Without contact the other
    /// entries may have divided this entry's places among themselves, so it uses only the
    /// reserve for entries without contact.
    pub in_contact: bool,
}

impl PlaceView {
    /// Returns the ids of the entries of the local domain that have a place at one of these
    /// servers with this limit.
    pub fn entries_with_place<'a>(
        &self,
        servers: impl Iterator<Item = ServerSite<'a>>,
        limit: u32,
    ) -> Vec<Box<str>> {
        let servers: Vec<ServerSite<'a>> = servers.collect();
        self.entries.holders(&servers, self.budget(limit))
    }

    /// Returns how many connections to a server with this limit are assigned by rank.
    fn budget(&self, limit: u32) -> u32 {
        if self.in_contact {
            shared_connections(limit)
        } else {
            reserve_connections(limit)
        }
    }

    /// Returns the number of connections to a server with this limit.
    fn connections(&self, server: &ServerSite<'_>, limit: u32) -> u32 {
        self.entries.connections(server, self.budget(limit))
    }
}

/// Connections that this entry may have open to one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerPlaces {
    /// Number of connections that may be used now.
    pub usable: u32,
    /// Whether the number will rise after [`GAIN_DELAY`].
    pub is_rising: bool,
}

/// The view in force and those that it replaced less than [`GAIN_DELAY`] ago.
///
/// A place is usable if the entry has it in all of these views: a lost place is lost at
/// once, and a gained one is usable after the delay. The first view has no predecessor, so
/// an entry that has just started uses its places at once.
#[derive(Debug, Default)]
pub struct ViewHistory {
    current: Option<PlaceView>,
    /// Since when the current view is in force.
    current_since: Duration,
    /// Replaced views and when they were replaced, oldest first.
    replaced: Vec<(PlaceView, Duration)>,
    /// Number of changes of `current` and `replaced`.
    generation: u64,
}

impl ViewHistory {
    /// Returns the view in force, if there is one.
    pub fn current(&self) -> Option<&PlaceView> {
        self.current.as_ref()
    }

    /// Returns a number that grows whenever the places may change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether all changes of the view took effect.
    pub fn is_settled(&self) -> bool {
        self.replaced.is_empty()
    }

    /// Puts a view in force. Returns whether it differs from the one before.
    pub fn set(&mut self, view: PlaceView, now: Duration) -> bool {
        self.remove_expired(now);
        if self.current.as_ref() == Some(&view) {
            return false;
        }
        let former = self.current.replace(view);
        // A view that was replaced in the step in which it was set was never used.
        if let Some(former) = former.filter(|_| self.current_since < now) {
            if self.replaced.len() == MAX_REPLACED_VIEWS {
                self.replaced.remove(0);
            }
            self.replaced.push((former, now));
        }
        self.current_since = now;
        self.generation += 1;
        true
    }

    /// Removes the views that were replaced at least [`GAIN_DELAY`] ago.
    pub fn remove_expired(&mut self, now: Duration) {
        let count = self.replaced.len();
        self.replaced
            .retain(|(_, replaced_at)| now < *replaced_at + GAIN_DELAY);
        if self.replaced.len() != count {
            self.generation += 1;
        }
    }

    /// Returns the places at the servers of a service, in the order of `servers`. `limit`
    /// is the connection limit of each server, and `in_use` tells which of them get
    /// requests: their lease is valid and they are not taken out of use.
    ///
    /// An entry without a usable place at any server in use gets one out of a reserve, see
    /// [`EntryView::reserve_server`]. The bound of the reserve does not apply while the
    /// entry waits for gained places or has no contact to the control group: such entries
    /// are few, or the other entries cannot reach the servers either, and nothing may be
    /// refused only because the control group is unavailable.
    pub fn places(
        &self,
        servers: &[ServerSite<'_>],
        in_use: &[bool],
        limit: u32,
    ) -> Vec<ServerPlaces> {
        let Some(current) = &self.current else {
            return vec![ServerPlaces::default(); servers.len()];
        };
        let places = servers.iter().map(|server| {
            let target = current.connections(server, limit);
            let replaced = self.replaced.iter();
            let earlier = replaced.map(|(view, _)| view.connections(server, limit));
            let usable = earlier.fold(target, u32::min);
            ServerPlaces {
                usable,
                is_rising: usable < target,
            }
        });
        let mut places: Vec<ServerPlaces> = places.collect();
        let candidates: Vec<usize> = (0..servers.len()).filter(|index| in_use[*index]).collect();
        if candidates.iter().any(|index| places[*index].usable > 0) {
            return places;
        }
        let is_waiting = candidates.iter().any(|index| places[*index].is_rising);
        let sites: Vec<ServerSite<'_>> = candidates.iter().map(|index| servers[*index]).collect();
        let chosen = if is_waiting || !current.in_contact {
            current.entries.highest_server(&sites)
        } else {
            let (shared, reserve) = (shared_connections(limit), reserve_connections(limit));
            current.entries.reserve_server(&sites, shared, reserve)
        };
        if let Some(chosen) = chosen {
            places[candidates[chosen]].usable = 1;
        }
        places
    }
}

/// Back-off from opening connections to a server that is at its limit.
///
/// A server accepts fewer connections than configured while its queue is long, and resets
/// those beyond. An entry that went on to open connections would only cause more resets.
#[derive(Debug, Clone, Copy, Default)]
pub struct OpeningBackoff {
    until: Duration,
    /// Number of back-offs since the server last accepted a connection.
    resets: u32,
}

impl OpeningBackoff {
    /// Records that the server reset a new connection, and returns the length of the
    /// back-off that begins. Returns `None` during a back-off: connections that were opened
    /// together are reset together, which is one sign of the limit and not several.
    pub fn record_reset(&mut self, now: Duration) -> Option<Duration> {
        if now < self.until {
            return None;
        }
        let factor = 2_u32.saturating_pow(self.resets.min(8));
        let length = (INITIAL_OPENING_BACKOFF * factor).min(MAX_OPENING_BACKOFF);
        self.resets += 1;
        self.until = now + length;
        Some(length)
    }

    /// Records an answer on a connection that was opened for a request sent at `sent_at`. The
    /// next back-off is short again if the connection was opened after the last one. An
    /// answer on an older connection does not show that the server accepts new ones: with
    /// such answers taken as a sign, each of them was followed by another reset.
    pub fn record_accepted(&mut self, sent_at: Duration) {
        if sent_at >= self.until {
            *self = OpeningBackoff::default();
        }
    }

    /// Returns whether a connection may be opened.
    pub fn allows_opening(&self, now: Duration) -> bool {
        now >= self.until
    }
}
