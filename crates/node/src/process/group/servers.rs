//! Servers that announce themselves, and who hears of it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use wheelmast_core::process::forward::directory::{
    AnnouncementEffect, AnnouncementPosition, ServerAnnouncement, ServerLifecycle, ServerObserver,
};
use wheelmast_wire::group::GroupMessage;

use crate::process::group::disk::DiskOrder;
use crate::process::group::node::GroupNode;
use crate::process::group::state::KeepWait;
use crate::process::store::remembered::encode_records;

/// Longest time to wait until others hold that a server leaves.
const KEEP_TIME: Duration = Duration::from_millis(600);
/// Time between two log lines on announcements that were refused.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);

impl GroupNode {
    /// Returns all that is known of servers; of two lifetimes at an address the
    /// later one stands behind.
    pub fn all_notices(&self) -> Vec<ServerAnnouncement> {
        self.lacking_notices(&[])
    }

    /// Returns what is known of servers, in the same order, but for the parts of
    /// them that have one of these digests.
    pub fn lacking_notices(&self, digests: &[u64]) -> Vec<ServerAnnouncement> {
        let state = self.state.borrow();
        let records = state.directory.records_to_sync(digests).into_iter();
        records.map(|record| record.announcement.clone()).collect()
    }

    /// Returns the servers that were heard to leave in the last `time`.
    pub fn late_leavers(&self, time: Duration) -> Vec<ServerAnnouncement> {
        let now = self.now();
        let state = self.state.borrow();
        let leavers = state.directory.iter().filter(|record| {
            record.announcement.standing != ServerLifecycle::Ready
                && now < record.last_seen_at + time
        });
        leavers
            .map(|record| record.announcement.lifecycle_only())
            .collect()
    }

    /// Takes news of a server and tells the entries what they change.
    pub fn take_notice(&self, announcement: ServerAnnouncement) -> AnnouncementEffect {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let id = announcement.id.clone();
        let was_silent = state
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
            state.tell_urgent(GroupMessage::Notices(vec![announcement.lifecycle_only()]));
        }
        state.tell_whole(GroupMessage::Notices(vec![announcement]));
        if was_silent {
            state.tell_whole(GroupMessage::LeaseExpiry(vec![(id, false)]));
        }
        effect
    }

    /// Returns where a server of a failure domain should announce itself next:
    /// at the control instance there, so that its heartbeats cross no border.
    /// None if that is this one, or if there is none.
    pub fn next_place(&self, domain: &str) -> Option<SocketAddr> {
        if *domain == *self.settings.domain {
            return None;
        }
        self.state.borrow().calls_in(domain, self.now())
    }

    /// Returns what speaks against an announcement made here, if it is none of
    /// the server that it names.
    pub fn doubt_announcement(&self, announcement: &ServerAnnouncement) -> Option<&'static str> {
        let state = self.state.borrow();
        let known = &state.directory.get(&announcement.id)?.announcement;
        if announcement.address.is_some() && announcement.born == 0 && known.born != 0 {
            return Some("it does not say when the server started");
        }
        announcement
            .conflicts_with(known)
            .then_some("the server is another one by what it said before")
    }

    /// Counts what was taken for no announcement, and logs it at times: another
    /// writer may send many.
    pub fn refuse_announcement(&self, id: &str, reason: &str) {
        self.state.borrow_mut().announcements_refused += 1;
        let now = self.now();
        if self
            .refusal_told
            .get()
            .is_some_and(|told| now < told + REFUSAL_PAUSE)
        {
            return;
        }
        self.refusal_told.set(Some(now));
        tracing::warn!(target: "group", server = id, reason, "server: announcement refused");
    }

    /// Takes an announcement made here. Returns whether it may be
    /// acknowledged: that a server leaves must outlast this instance, and that
    /// it lives must come to the others, or they would take it for silent.
    pub async fn take_announcement(self: &Rc<Self>, announcement: ServerAnnouncement) -> bool {
        let (id, position) = (announcement.id.clone(), announcement.position());
        let leaves = announcement.standing != ServerLifecycle::Ready;
        let effect = self.take_notice(announcement.clone());
        let is_news = matches!(
            effect,
            AnnouncementEffect::Changed | AnnouncementEffect::Renewed
        );
        if is_news && !leaves && self.state.borrow_mut().directory.observe_locally(&id) {
            self.state.borrow_mut().renewals.insert(id, position);
        }
        if leaves {
            return self.keep_leaving(announcement).await;
        }
        if effect == AnnouncementEffect::Changed {
            let message = GroupMessage::Notices(vec![announcement]);
            self.state.borrow().tell_control(&message);
        }
        let contacts = self.state.borrow().count_contacts(self.now());
        contacts >= self.settings.tolerate
    }

    async fn keep_leaving(self: &Rc<Self>, announcement: ServerAnnouncement) -> bool {
        let missing = self.settings.tolerate;
        if missing == 0 {
            return true;
        }
        let tag = self.next_tag();
        let (done, receiver) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            state.keeps.insert(tag, KeepWait { missing, done });
            let announcement = Box::new(announcement);
            state.tell_control(&GroupMessage::Keep { tag, announcement });
        }
        let observed = tokio::time::timeout(KEEP_TIME, receiver).await;
        self.state.borrow_mut().keeps.remove(&tag);
        matches!(observed, Ok(Ok(())))
    }

    /// Takes another instance's word that it holds news.
    pub fn count_keep(&self, tag: u64) {
        let mut state = self.state.borrow_mut();
        let Some(wait) = state.keeps.get_mut(&tag) else {
            return;
        };
        wait.missing -= 1;
        if wait.missing > 0 {
            return;
        }
        if let Some(wait) = state.keeps.remove(&tag) {
            // The server may have given up.
            let _ = wait.done.send(());
        }
    }

    /// Tells the other control instances which servers this one hears now and did
    /// not before.
    pub fn tell_renewals(&self) {
        let mut state = self.state.borrow_mut();
        if state.renewals.is_empty() {
            return;
        }
        let renewals = std::mem::take(&mut state.renewals);
        let message = GroupMessage::Renewals {
            whole: false,
            servers: renewals.into_iter().collect(),
        };
        state.tell_control(&message);
    }

    /// Returns all servers that this instance hears.
    pub fn whole_renewals(&self) -> GroupMessage {
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
    pub fn take_renewals(
        &self,
        peer: SocketAddr,
        whole: bool,
        servers: Vec<(Box<str>, AnnouncementPosition)>,
    ) -> Vec<Box<str>> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let directory = &mut state.directory;
        let missed = servers.iter();
        let missed = missed.filter(|(id, position)| !directory.knows_incarnation(id, *position));
        let missed: Vec<Box<str>> = missed.map(|(id, _)| id.clone()).collect();
        if !missed.is_empty() {
            state.servers_missed += missed.len() as u64;
            tracing::warn!(target: "group", %peer, servers = missed.len(), "server: heard by another instance, not known here");
        }
        for (id, position) in &servers {
            directory.renew_lease(id, *position, now);
            directory.observe_at_peer(id, peer);
        }
        if whole {
            let ids = servers.into_iter().map(|(id, _)| id).collect();
            directory.retain_observed_at_peer(peer, &ids, now);
        }
        missed
    }

    /// Returns the notices of the servers with these ids that take work.
    pub fn notices_of(&self, ids: &[Box<str>]) -> Vec<ServerAnnouncement> {
        let state = self.state.borrow();
        let records = ids.iter().filter_map(|id| state.directory.get(id));
        let notices = records.map(|record| &record.announcement);
        let notices =
            notices.filter(|announcement| announcement.standing == ServerLifecycle::Ready);
        notices.cloned().collect()
    }

    /// Takes another control instance's word that servers are silent.
    pub fn take_lapsed(&self, peer: SocketAddr, servers: &[(Box<str>, AnnouncementPosition)]) {
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
        state.tell_whole(GroupMessage::LeaseExpiry(lapsed));
    }

    /// Has the disk keep which servers live, if that changed.
    pub fn keep_servers(&self) {
        let mut state = self.state.borrow_mut();
        if !std::mem::take(&mut state.servers_changed) {
            return;
        }
        let confirmed_alive: Vec<&ServerAnnouncement> = state.directory.confirmed_alive().collect();
        let Ok(servers) = encode_records(&confirmed_alive) else {
            return;
        };
        let order = DiskOrder {
            servers: Some(servers),
            ..state.disk_order()
        };
        // A full line: its disk stalls, and what it keeps would be old.
        let _ = self.disk.try_send(order);
    }

    /// Takes the servers that were known before a restart.
    pub fn remember(&self, servers: Vec<ServerAnnouncement>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        tracing::info!(target: "group", servers = servers.len(), "server: remembered");
        for announcement in servers {
            state.directory.remember(announcement, now);
        }
    }

    /// Tells the entries which servers are silent. An instance that is out of
    /// contact with a quorum knows nothing about that.
    pub fn sweep_servers(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.count_contacts(now) < self.settings.tolerate {
            return;
        }
        let state = &mut *state;
        let contacts = &state.contacts;
        let heard_peer = |peer: &SocketAddr| contacts.get(peer).copied();
        let expired = state
            .directory
            .expire_leases(now, self.settings.lease, heard_peer);
        if expired.is_empty() {
            return;
        }
        state.servers_changed = true;
        for id in &expired {
            tracing::warn!(target: "group", server = %id, "server: silent");
        }
        let own = expired.iter().filter_map(|id| {
            let record = state.directory.get(id)?;
            (record.observer == ServerObserver::Local)
                .then(|| (id.clone(), record.announcement.position()))
        });
        let lapsed = GroupMessage::Lapsed(own.collect());
        state.tell_control(&lapsed);
        let expired = expired.into_iter().map(|id| (id, true)).collect();
        state.tell_whole(GroupMessage::LeaseExpiry(expired));
    }
}
