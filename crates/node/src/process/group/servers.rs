//! Servers and their announcements: applies them to the directory, renews and expires
//! leases, and shares the changes with other control instances and with entries. A
//! control instance observes the servers that announce themselves to it directly.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use wheelmast_core::process::forward::directory::{
    AnnouncementEffect, AnnouncementPosition, ServerAnnouncement, ServerLifecycle, ServerObserver,
};
use wheelmast_wire::group::GroupMessage;

use crate::process::group::disk::DiskWrite;
use crate::process::group::node::GroupNode;
use crate::process::store::remembered::encode_records;

/// Shortest time between two log lines on refused announcements.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

impl GroupNode {
    /// Returns the announcements of all known servers. If two incarnations share an
    /// address, the later one comes last.
    pub fn list_announcements(&self) -> Vec<ServerAnnouncement> {
        self.list_missing_announcements(&[])
    }

    /// Returns the announcements of all known servers, in the same order as
    /// [`GroupNode::list_announcements`], without the buckets of the directory that
    /// have one of these digests.
    pub fn list_missing_announcements(&self, digests: &[u64]) -> Vec<ServerAnnouncement> {
        let state = self.state.borrow();
        let records = state.directory.records_to_sync(digests).into_iter();
        records.map(|record| record.announcement.clone()).collect()
    }

    /// Returns, in short form, the servers that announced within the last `time` that
    /// they leave.
    pub fn list_recent_leavers(&self, time: Duration) -> Vec<ServerAnnouncement> {
        let now = self.now();
        let state = self.state.borrow();
        let recent_leavers = state.directory.iter().filter(|record| {
            record.announcement.standing != ServerLifecycle::Ready
                && now < record.last_seen_at + time
        });
        recent_leavers
            .map(|record| record.announcement.lifecycle_only())
            .collect()
    }

    /// Applies an announcement to the directory and sends the resulting changes to
    /// entries.
    pub fn apply_announcement(&self, announcement: ServerAnnouncement) -> AnnouncementEffect {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let id = announcement.id.clone();
        let was_expired = state
            .directory
            .get(&id)
            .is_some_and(|record| record.expired);
        let effect = state.directory.apply(announcement, now);
        if effect != AnnouncementEffect::Changed {
            return effect;
        }
        state.servers_changed = true;
        let Some(record) = state.directory.get(&id) else {
            return effect;
        };
        let announcement = record.announcement.clone();
        tracing::info!(target: "group", server = %id, service = %announcement.service, standing = ?announcement.standing, sequence = announcement.sequence, "server: changed");
        if announcement.standing != ServerLifecycle::Ready {
            state.departures_recorded += 1;
            self.departures_to_persist.notify_one();
            state.send_to_urgent_subscribers(GroupMessage::Notices(vec![
                announcement.lifecycle_only()
            ]));
        }
        state.send_to_full_subscribers(GroupMessage::Notices(vec![announcement]));
        if was_expired {
            state.send_to_full_subscribers(GroupMessage::LeaseExpiry(vec![(id, false)]));
        }
        effect
    }

    /// Returns the address to which a server of a failure domain should announce itself
    /// next: the control instance of that domain, so that heartbeats stay within it.
    /// Returns `None` if this instance is in that domain, or if none there is in
    /// contact.
    pub fn next_announce_address(&self, domain: &str) -> Option<SocketAddr> {
        if *domain == *self.settings.domain {
            return None;
        }
        self.state.borrow().find_call_address(domain, self.now())
    }

    /// Returns why an announcement made at this instance cannot come from the server
    /// that its id names, or `None` if there is no conflict.
    pub fn find_conflict(&self, announcement: &ServerAnnouncement) -> Option<&'static str> {
        let state = self.state.borrow();
        let known = &state.directory.get(&announcement.id)?.announcement;
        if announcement.address.is_some() && announcement.born == 0 && known.born != 0 {
            return Some("it does not say when the server started");
        }
        announcement
            .conflicts_with(known)
            .then_some("the server is another one by what it said before")
    }

    /// Returns whether an announcement does not say which incarnation of its server it is
    /// from, although the server's announcements do.
    pub fn lacks_start_time(&self, announcement: &ServerAnnouncement) -> bool {
        let state = self.state.borrow();
        let known = state.directory.get(&announcement.id);
        announcement.born == 0 && known.is_some_and(|known| known.announcement.born != 0)
    }

    /// Counts a refused announcement and logs it, at most once per log interval, since
    /// a faulty sender may send many.
    pub fn record_refusal(&self, id: &str, reason: &str) {
        self.state.borrow_mut().announcements_refused += 1;
        let now = self.now();
        if self
            .refusal_logged_at
            .get()
            .is_some_and(|logged_at| now < logged_at + REFUSAL_LOG_INTERVAL)
        {
            return;
        }
        self.refusal_logged_at.set(Some(now));
        tracing::warn!(target: "group", server = id, reason, "server: announcement refused");
    }

    /// Handles an announcement that a server made at this instance. Returns whether it
    /// may be acknowledged. A server's departure must be on the disks of this instance and
    /// of enough other ones to survive a restart of all and the loss of some. The announcement
    /// of a live server must be able to reach enough other instances, which would
    /// otherwise consider its lease expired.
    pub async fn handle_announcement(self: &Rc<Self>, announcement: ServerAnnouncement) -> bool {
        let (id, position) = (announcement.id.clone(), announcement.position());
        let is_leaving = announcement.standing != ServerLifecycle::Ready;
        let effect = self.apply_announcement(announcement.clone());
        let is_new = matches!(
            effect,
            AnnouncementEffect::Changed | AnnouncementEffect::Renewed
        );
        if is_new && !is_leaving && self.state.borrow_mut().directory.observe_locally(&id) {
            self.state.borrow_mut().unsent_renewals.insert(id, position);
        }
        if is_leaving {
            return self.store_departure(announcement).await;
        }
        if effect == AnnouncementEffect::Changed {
            let message = GroupMessage::Notices(vec![announcement]);
            self.state.borrow().send_to_control(&message);
        }
        let contacts = self.state.borrow().count_contacts(self.now());
        contacts >= self.settings.tolerate
    }

    /// Sends other control instances the servers that this one has started to observe
    /// since the last such message.
    pub fn send_renewals(&self) {
        let mut state = self.state.borrow_mut();
        if state.unsent_renewals.is_empty() {
            return;
        }
        let renewals = std::mem::take(&mut state.unsent_renewals);
        let message = GroupMessage::Renewals {
            whole: false,
            servers: renewals.into_iter().collect(),
        };
        state.send_to_control(&message);
    }

    /// Returns a message with all servers that this instance observes.
    pub fn build_full_renewals(&self) -> GroupMessage {
        let state = self.state.borrow();
        let observed = state.directory.observed();
        GroupMessage::Renewals {
            whole: true,
            servers: observed
                .map(|(id, position)| (id.into(), position))
                .collect(),
        }
    }

    /// Applies the list of servers that another control instance observes. Returns the
    /// ids of servers that are unknown here, because their announcement was missed.
    pub fn apply_renewals(
        &self,
        peer: SocketAddr,
        whole: bool,
        servers: Vec<(Box<str>, AnnouncementPosition)>,
    ) -> Vec<Box<str>> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let directory = &mut state.directory;
        let unknown_ids = servers.iter();
        let unknown_ids =
            unknown_ids.filter(|(id, position)| !directory.knows_incarnation(id, *position));
        let unknown_ids: Vec<Box<str>> = unknown_ids.map(|(id, _)| id.clone()).collect();
        if !unknown_ids.is_empty() {
            state.servers_missed += unknown_ids.len() as u64;
            tracing::warn!(target: "group", %peer, servers = unknown_ids.len(), "server: heard by another instance, not known here");
        }
        for (id, position) in &servers {
            directory.renew_lease(id, *position, now);
            directory.observe_at_peer(id, peer);
        }
        if whole {
            let ids = servers.into_iter().map(|(id, _)| id).collect();
            directory.retain_observed_at_peer(peer, &ids, now);
        }
        unknown_ids
    }

    /// Returns the announcements of those servers among `ids` that are ready for
    /// requests.
    pub fn find_ready_announcements(&self, ids: &[Box<str>]) -> Vec<ServerAnnouncement> {
        let state = self.state.borrow();
        let records = ids.iter().filter_map(|id| state.directory.get(id));
        let announcements = records.map(|record| &record.announcement);
        let announcements =
            announcements.filter(|announcement| announcement.standing == ServerLifecycle::Ready);
        announcements.cloned().collect()
    }

    /// Applies another control instance's report that leases of servers it observes
    /// have expired.
    pub fn apply_lapsed(&self, peer: SocketAddr, servers: &[(Box<str>, AnnouncementPosition)]) {
        let mut state = self.state.borrow_mut();
        let directory = &mut state.directory;
        let lapsed = servers.iter();
        let lapsed =
            lapsed.filter(|(id, position)| directory.record_peer_expiry(id, *position, peer));
        let lapsed: Vec<_> = lapsed.map(|(id, _)| (id.clone(), true)).collect();
        if lapsed.is_empty() {
            return;
        }
        state.servers_changed = true;
        state.send_to_full_subscribers(GroupMessage::LeaseExpiry(lapsed));
    }

    /// Writes the live servers to disk if servers came or went since the last write.
    pub fn persist_servers(&self) {
        let mut state = self.state.borrow_mut();
        if !std::mem::take(&mut state.servers_changed) {
            return;
        }
        let confirmed_alive: Vec<&ServerAnnouncement> = state.directory.confirmed_alive().collect();
        let Ok(servers) = encode_records(&confirmed_alive) else {
            return;
        };
        let write = DiskWrite {
            servers: Some(servers),
            ..state.new_disk_write()
        };
        // If the queue is full, the disk stalls, and this copy would be outdated when
        // written.
        let _ = self.disk.try_send(write);
    }

    /// Restores the servers that were known before a restart.
    pub fn restore_servers(&self, servers: Vec<ServerAnnouncement>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        tracing::info!(target: "group", servers = servers.len(), "server: remembered");
        for announcement in servers {
            state.directory.remember(announcement, now);
        }
    }

    /// Expires the leases of servers without recent announcements and reports that to
    /// entries. Reports the servers observed here to other control instances too. Does
    /// nothing without contact to a quorum, because the renewals then cannot arrive
    /// here.
    pub fn expire_servers(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.count_contacts(now) < self.settings.tolerate {
            return;
        }
        let state = &mut *state;
        let last_contacts = &state.last_contacts;
        let peer_last_contact = |peer: &SocketAddr| last_contacts.get(peer).copied();
        let expired = state
            .directory
            .expire_leases(now, self.settings.lease, peer_last_contact);
        if expired.is_empty() {
            return;
        }
        state.servers_changed = true;
        for id in &expired {
            tracing::warn!(target: "group", server = %id, "server: silent");
        }
        let locally_observed = expired.iter().filter_map(|id| {
            let record = state.directory.get(id)?;
            (record.observer == ServerObserver::Local)
                .then(|| (id.clone(), record.announcement.position()))
        });
        let lapsed = GroupMessage::Lapsed(locally_observed.collect());
        state.send_to_control(&lapsed);
        let expired = expired.into_iter().map(|id| (id, true)).collect();
        state.send_to_full_subscribers(GroupMessage::LeaseExpiry(expired));
    }
}
