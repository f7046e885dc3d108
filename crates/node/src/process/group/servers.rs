//! Servers that announce themselves, and who hears of it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use wheelmast_core::process::forward::directory::{
    AnnouncementEffect, AnnouncementPosition, ServerAnnouncement, ServerLifecycle, ServerObserver,
};
use wheelmast_wire::group::GroupMessage;

use crate::process::group::disk::DiskWrite;
use crate::process::group::node::GroupNode;
use crate::process::group::state::ReplicationWait;
use crate::process::store::remembered::encode_records;

/// Longest time to wait until others hold that a server leaves.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between two log lines on announcements that were refused.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

impl GroupNode {
    /// Returns all that is known of servers; of two lifetimes at an address the
    /// later one stands behind.
    pub fn list_announcements(&self) -> Vec<ServerAnnouncement> {
        self.list_missing_announcements(&[])
    }

    /// Returns what is known of servers, in the same order, but for the parts of
    /// them that have one of these digests.
    pub fn list_missing_announcements(&self, digests: &[u64]) -> Vec<ServerAnnouncement> {
        let state = self.state.borrow();
        let records = state.directory.records_to_sync(digests).into_iter();
        records.map(|record| record.notice.clone()).collect()
    }

    /// Returns the servers that were heard to leave in the last `time`.
    pub fn list_recent_leavers(&self, time: Duration) -> Vec<ServerAnnouncement> {
        let now = self.now();
        let state = self.state.borrow();
        let recent_leavers = state.directory.iter().filter(|record| {
            record.notice.standing != ServerLifecycle::Ready && now < record.last_seen_at + time
        });
        recent_leavers
            .map(|record| record.notice.lifecycle_only())
            .collect()
    }

    /// Takes news of a server and tells the entries what they change.
    pub fn apply_announcement(&self, notice: ServerAnnouncement) -> AnnouncementEffect {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let id = notice.id.clone();
        let was_expired = state
            .directory
            .get(&id)
            .is_some_and(|record| record.expired);
        let effect = state.directory.apply(notice, now);
        if effect != AnnouncementEffect::Changed {
            return effect;
        }
        state.servers_changed = true;
        let Some(record) = state.directory.get(&id) else {
            return effect;
        };
        let notice = record.notice.clone();
        tracing::info!(target: "group", server = %id, service = %notice.service, standing = ?notice.standing, sequence = notice.sequence, "server: changed");
        if notice.standing != ServerLifecycle::Ready {
            state.send_to_urgent_subscribers(GroupMessage::Notices(vec![notice.lifecycle_only()]));
        }
        state.send_to_full_subscribers(GroupMessage::Notices(vec![notice]));
        if was_expired {
            state.send_to_full_subscribers(GroupMessage::Silent(vec![(id, false)]));
        }
        effect
    }

    /// Returns where a server of a failure domain should announce itself next:
    /// at the control instance there, so that its heartbeats cross no border.
    /// None if that is this one, or if there is none.
    pub fn next_announce_address(&self, domain: &str) -> Option<SocketAddr> {
        if *domain == *self.settings.domain {
            return None;
        }
        self.state.borrow().find_call_address(domain, self.now())
    }

    /// Returns what speaks against an announcement made here, if it is none of
    /// the server that it names.
    pub fn find_conflict(&self, notice: &ServerAnnouncement) -> Option<&'static str> {
        let state = self.state.borrow();
        let known = &state.directory.get(&notice.id)?.notice;
        if notice.address.is_some() && notice.born == 0 && known.born != 0 {
            return Some("it does not say when the server started");
        }
        notice
            .conflicts_with(known)
            .then_some("the server is another one by what it said before")
    }

    /// Counts what was taken for no announcement, and logs it at times: another
    /// writer may send many.
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

    /// Takes an announcement made here. Returns whether it may be
    /// acknowledged: that a server leaves must outlast this instance, and that
    /// it lives must come to the others, or they would take it for silent.
    pub async fn handle_announcement(self: &Rc<Self>, notice: ServerAnnouncement) -> bool {
        let (id, position) = (notice.id.clone(), notice.position());
        let is_leaving = notice.standing != ServerLifecycle::Ready;
        let effect = self.apply_announcement(notice.clone());
        let is_new = matches!(
            effect,
            AnnouncementEffect::Changed | AnnouncementEffect::Renewed
        );
        if is_new && !is_leaving && self.state.borrow_mut().directory.observe_locally(&id) {
            self.state.borrow_mut().unsent_renewals.insert(id, position);
        }
        if is_leaving {
            return self.replicate_leave(notice).await;
        }
        if effect == AnnouncementEffect::Changed {
            let message = GroupMessage::Notices(vec![notice]);
            self.state.borrow().send_to_control(&message);
        }
        let last_contacts = self.state.borrow().count_contacts(self.now());
        last_contacts >= self.settings.tolerate
    }

    async fn replicate_leave(self: &Rc<Self>, notice: ServerAnnouncement) -> bool {
        let missing_acks = self.settings.tolerate;
        if missing_acks == 0 {
            return true;
        }
        let tag = self.next_tag();
        let (completed, receiver) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            state.pending_replications.insert(
                tag,
                ReplicationWait {
                    missing_acks,
                    completed,
                },
            );
            let notice = Box::new(notice);
            state.send_to_control(&GroupMessage::Keep { tag, notice });
        }
        let replicated = tokio::time::timeout(REPLICATION_TIMEOUT, receiver).await;
        self.state.borrow_mut().pending_replications.remove(&tag);
        matches!(replicated, Ok(Ok(())))
    }

    /// Takes another instance's word that it holds news.
    pub fn record_replication_ack(&self, tag: u64) {
        let mut state = self.state.borrow_mut();
        let Some(wait) = state.pending_replications.get_mut(&tag) else {
            return;
        };
        wait.missing_acks -= 1;
        if wait.missing_acks > 0 {
            return;
        }
        if let Some(wait) = state.pending_replications.remove(&tag) {
            // The server may have given up.
            let _ = wait.completed.send(());
        }
    }

    /// Tells the other control instances which servers this one hears now and did
    /// not before.
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

    /// Returns all servers that this instance hears.
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

    /// Takes over which servers another control instance hears. Returns those of
    /// which nothing is known here, as their notice was missed.
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

    /// Returns the notices of the servers with these ids that take work.
    pub fn find_ready_announcements(&self, ids: &[Box<str>]) -> Vec<ServerAnnouncement> {
        let state = self.state.borrow();
        let records = ids.iter().filter_map(|id| state.directory.get(id));
        let notices = records.map(|record| &record.notice);
        let notices = notices.filter(|notice| notice.standing == ServerLifecycle::Ready);
        notices.cloned().collect()
    }

    /// Takes another control instance's word that servers are silent.
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
        state.send_to_full_subscribers(GroupMessage::Silent(lapsed));
    }

    /// Has the disk keep which servers live, if that changed.
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
        // A full line: its disk stalls, and what it keeps would be old.
        let _ = self.disk.try_send(write);
    }

    /// Takes the servers that were known before a restart.
    pub fn restore_servers(&self, servers: Vec<ServerAnnouncement>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        tracing::info!(target: "group", servers = servers.len(), "server: remembered");
        for notice in servers {
            state.directory.remember(notice, now);
        }
    }

    /// Tells the entries which servers are silent. An instance that is out of
    /// contact with a quorum knows nothing about that.
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
                .then(|| (id.clone(), record.notice.position()))
        });
        let lapsed = GroupMessage::Lapsed(locally_observed.collect());
        state.send_to_control(&lapsed);
        let expired = expired.into_iter().map(|id| (id, true)).collect();
        state.send_to_full_subscribers(GroupMessage::Silent(expired));
    }
}
