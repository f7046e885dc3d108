//! Dissemination of upstream servers' announcements and leases.
//!
//! An announcement that changes nothing but the lease (a renewal) goes only to the
//! server's lease trackers. A change goes to all members, and digests of hash
//! buckets find and repair changes that a member missed.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64;

use crate::process::gossip::lease_tracker::select_lease_trackers;
use crate::process::gossip::machine::{GossipAction, GossipMachine, KnownServer, QueuedUpdate};
use crate::process::gossip::message::{GossipPurpose, ServerUpdate, UpdateVersion};
use crate::process::news::UpstreamAnnouncement;
use crate::process::roster::MAX_ROSTER_SERVERS;

/// Number of hash buckets in the digest of the servers.
const DIGEST_BUCKETS: u64 = 64;
/// Maximum number of updates sent in reply to one list of versions.
const MAX_REPAIR_UPDATES: usize = 64;

impl GossipMachine {
    /// Handles an announcement that a server sent to this instance: forwards it to
    /// the server's lease trackers, and to all members if it is a change.
    pub(super) fn handle_announcement(
        &mut self,
        announcement: UpstreamAnnouncement,
        now: Duration,
        out: &mut Vec<GossipAction>,
    ) {
        let trackers: Vec<SocketAddr> = {
            let names = select_lease_trackers(&announcement.name, self.active_names());
            let others = self.others();
            others
                .filter(|member| names.contains(&member.name.as_str()))
                .map(|member| member.address)
                .collect()
        };
        for tracker in trackers {
            let renewal = GossipPurpose::Renewal(Box::new(announcement.clone()));
            self.send(tracker, renewal, out);
        }
        self.handle_renewal(announcement, now, out);
    }

    /// Handles an announcement, received from the server or forwarded by another
    /// member: renews the lease, and disseminates the announcement if it is a
    /// change.
    pub(super) fn handle_renewal(
        &mut self,
        announcement: UpstreamAnnouncement,
        now: Duration,
        out: &mut Vec<GossipAction>,
    ) {
        let update = ServerUpdate {
            news: announcement,
            expired: false,
        };
        let Some(server) = self.servers.get_mut(&*update.news.name) else {
            return self.apply_server_update(update, now, out);
        };
        if update.version() <= server.update.version() {
            return;
        }
        server.renewed_at = now;
        if must_disseminate(&server.update, &update) {
            return self.apply_server_update(update, now, out);
        }
        out.push(GossipAction::ServerAnnounced(update.news.clone()));
        server.update = update;
    }

    /// Records a change of a server if it is newer than the known state, and
    /// disseminates it.
    pub(super) fn apply_server_update(
        &mut self,
        update: ServerUpdate,
        now: Duration,
        out: &mut Vec<GossipAction>,
    ) {
        let name = update.news.name.to_string();
        let is_full = self.servers.len() >= MAX_ROSTER_SERVERS;
        match self.servers.get_mut(&name) {
            Some(server) if update.version() <= server.update.version() => {
                // This instance recorded the same or a newer announcement as a
                // plain renewal, but other members disseminated this one as a
                // change. Digests must be computed from the same version.
                server.disseminated_version = server.disseminated_version.max(update.version());
                if update.expired && !server.update.expired {
                    // The expiry report is outdated, because the server's lease has
                    // been renewed since. Disseminate the current state to correct
                    // members that believe the report.
                    server.disseminated_version = server.update.version();
                    let current = server.update.clone();
                    self.queue_server_update(current);
                }
                return;
            }
            None if is_full => return,
            _ => {}
        }
        let server = KnownServer {
            disseminated_version: update.version(),
            update: update.clone(),
            renewed_at: now,
            is_lease_tracker: false,
            tracked_at_version: 0,
        };
        let action = if update.expired {
            GossipAction::Expired(name.clone())
        } else {
            GossipAction::ServerAnnounced(update.news.clone())
        };
        self.servers.insert(name, server);
        out.push(action);
        self.queue_server_update(update);
    }

    /// Queues an update for dissemination in place of an older one about the same
    /// server.
    fn queue_server_update(&mut self, update: ServerUpdate) {
        self.server_queue
            .retain(|queued| queued.update.news.name != update.news.name);
        let remaining_sends = self.sends_per_update();
        self.server_queue.push(QueuedUpdate {
            update,
            remaining_sends,
        });
    }

    /// Disseminates the expiry of leases that this instance tracks, and requests
    /// the renewal of all other leases at the entry: their trackers would have
    /// reported an expiry.
    pub(super) fn check_leases(&mut self, now: Duration, out: &mut Vec<GossipAction>) {
        self.update_tracked_leases(now);
        let mut expired = Vec::new();
        let mut trusted_names = Vec::new();
        for (name, server) in &self.servers {
            if server.update.expired || !server.update.news.phase.takes_work() {
                continue;
            }
            if !server.is_lease_tracker {
                trusted_names.push(name.clone());
            } else if now >= server.renewed_at + server.update.news.lease {
                expired.push(server.update.news.clone());
            }
        }
        for announcement in expired {
            let update = ServerUpdate {
                news: announcement,
                expired: true,
            };
            self.apply_server_update(update, now, out);
        }
        if !trusted_names.is_empty() {
            out.push(GossipAction::Vouch(trusted_names));
        }
    }

    /// Determines the servers whose leases this instance tracks. Ranking all
    /// members for all servers is expensive, so it happens only for new servers
    /// and after membership changes.
    fn update_tracked_leases(&mut self, now: Duration) {
        let membership_version = self.membership_version;
        let is_stale = |server: &KnownServer| server.tracked_at_version != membership_version;
        if !self.servers.values().any(is_stale) {
            return;
        }
        let names: Vec<String> = self.active_names().map(str::to_string).collect();
        let local_name = self.local_member.name.as_str();
        for (name, server) in &mut self.servers {
            if server.tracked_at_version != membership_version {
                let trackers = select_lease_trackers(name, names.iter().map(String::as_str));
                let was_tracker = server.is_lease_tracker;
                server.is_lease_tracker = trackers.contains(&local_name);
                if server.is_lease_tracker && !was_tracker {
                    // Renewals went to other trackers so far. The lease restarts
                    // here, so that the first renewal has time to arrive.
                    server.renewed_at = now;
                }
                server.tracked_at_version = membership_version;
            }
        }
    }

    /// Sends a digest of the local state to a random active member and to a random
    /// seed.
    pub(super) fn send_digest(&mut self, out: &mut Vec<GossipAction>) {
        let seed = self.seeds.choose(&mut self.rng).copied();
        // The seed may belong to the other side of a healed partition. Without
        // messages to seeds, two parts that declared each other dead would never
        // merge again.
        let member = self.random_members(1).first().copied();
        let purpose = GossipPurpose::Digest {
            members: self.member_digest(),
            servers: self.server_digests(),
        };
        for to in [member, seed].into_iter().flatten() {
            self.send(to, purpose.clone(), out);
        }
    }

    /// Replies to a digest with the versions of the servers in the buckets that
    /// differ, and with all members if the member digests differ.
    pub(super) fn reply_to_digest(
        &mut self,
        to: SocketAddr,
        members: u64,
        servers: &[u64],
        out: &mut Vec<GossipAction>,
    ) {
        let local_digests = self.server_digests();
        let differs = |bucket: &u16| {
            servers.get(usize::from(*bucket)) != local_digests.get(usize::from(*bucket))
        };
        let buckets: Vec<u16> = (0..DIGEST_BUCKETS as u16).filter(differs).collect();
        let same_members = members == self.member_digest();
        if same_members && buckets.is_empty() {
            return;
        }
        let servers = self.versions_in_buckets(&buckets);
        let members = if same_members {
            Vec::new()
        } else {
            let records = self.members.values();
            records.map(|record| record.state.clone()).collect()
        };
        let purpose = GossipPurpose::Known {
            members,
            buckets,
            servers,
        };
        self.send(to, purpose, out);
    }

    /// Sends the updates that the other member misses. If that member has newer
    /// versions, replies with the local versions, so that it sends them.
    pub(super) fn send_missing_updates(
        &mut self,
        to: SocketAddr,
        buckets: &[u16],
        known: &[(u64, UpdateVersion)],
        out: &mut Vec<GossipAction>,
    ) {
        let remote_versions: std::collections::HashMap<u64, UpdateVersion> =
            known.iter().copied().collect();
        let mut newer: Vec<ServerUpdate> = Vec::new();
        let mut newer_remote_count = remote_versions.len();
        for (name, server) in &self.servers {
            let hash = xxh3_64(name.as_bytes());
            if !buckets.contains(&bucket_of(hash)) {
                continue;
            }
            match remote_versions.get(&hash) {
                Some(version) if *version >= server.disseminated_version => {
                    newer_remote_count -= usize::from(*version == server.disseminated_version);
                }
                Some(_) => {
                    newer_remote_count -= 1;
                    newer.push(server.update.clone());
                }
                None => newer.push(server.update.clone()),
            }
        }
        newer.truncate(MAX_REPAIR_UPDATES);
        if !newer.is_empty() {
            out.push(GossipAction::Send {
                to,
                message: super::message::GossipMessage {
                    from: self.local_member.clone(),
                    purpose: GossipPurpose::Updates,
                    members: Vec::new(),
                    servers: newer,
                },
            });
        }
        if newer_remote_count > 0 {
            let purpose = GossipPurpose::Known {
                members: Vec::new(),
                buckets: buckets.to_vec(),
                servers: self.versions_in_buckets(buckets),
            };
            self.send(to, purpose, out);
        }
    }

    /// Returns the name hashes and disseminated versions of the servers in
    /// `buckets`.
    fn versions_in_buckets(&self, buckets: &[u16]) -> Vec<(u64, UpdateVersion)> {
        let servers = self.servers.iter();
        servers
            .map(|(name, server)| (xxh3_64(name.as_bytes()), server.disseminated_version))
            .filter(|(hash, _)| buckets.contains(&bucket_of(*hash)))
            .collect()
    }

    /// Returns a digest of the names and incarnations of all active members.
    fn member_digest(&self) -> u64 {
        let others = self.members.values().map(|record| &record.state);
        let active = others
            .chain([&self.local_member])
            .filter(|state| state.is_active());
        let hashes = active.map(|state| {
            let text = format!("{}/{}", state.name, state.incarnation);
            xxh3_64(text.as_bytes())
        });
        hashes.fold(0, |sum, hash| sum ^ hash)
    }

    /// Returns a digest of the servers' disseminated versions for each bucket.
    fn server_digests(&self) -> Vec<u64> {
        let mut digests = vec![0; DIGEST_BUCKETS as usize];
        for (name, server) in &self.servers {
            let hash = xxh3_64(name.as_bytes());
            let (incarnation, sequence, expired) = server.disseminated_version;
            let text = format!("{name}/{incarnation}/{sequence}/{expired}");
            digests[usize::from(bucket_of(hash))] ^= xxh3_64(text.as_bytes());
        }
        digests
    }
}

/// Returns the digest bucket of a server by the hash of its name.
fn bucket_of(hash: u64) -> u16 {
    (hash % DIGEST_BUCKETS) as u16
}

/// Returns whether `update` changes a property that all members must know, so that
/// it is more than a renewal of the lease.
fn must_disseminate(known: &ServerUpdate, update: &ServerUpdate) -> bool {
    let (old, new) = (&known.news, &update.news);
    known.expired
        || old.phase != new.phase
        || old.held != new.held
        || old.incarnation != new.incarnation
        || old.address != new.address
}
