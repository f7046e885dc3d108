//! Upstream servers: renewals end at the homes, changes go to everybody.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use xxhash_rust::xxh3::xxh3_64;

use crate::process::gossip::homes::homes_of;
use crate::process::gossip::machine::{GossipAction, GossipMachine, QueuedUpdate, ServerHold};
use crate::process::gossip::message::{GossipPurpose, ServerOrder, ServerUpdate};
use crate::process::news::UpstreamAnnouncement;
use crate::process::roster::MAX_ROSTER_SERVERS;

/// Buckets of the digest of servers.
const BUCKETS: u64 = 64;
/// Most updates sent in answer to one digest.
const REPAIR: usize = 64;

impl GossipMachine {
    /// Takes the announcement of a server here: its homes hear of it, and if
    /// it changes something, everybody does.
    pub(super) fn announced(
        &mut self,
        news: UpstreamAnnouncement,
        now: Duration,
        out: &mut Vec<GossipAction>,
    ) {
        let homes: Vec<SocketAddr> = {
            let names = homes_of(&news.name, self.names());
            let others = self.others();
            others
                .filter(|member| names.contains(&member.name.as_str()))
                .map(|member| member.address)
                .collect()
        };
        for home in homes {
            let renewal = GossipPurpose::Renewal(Box::new(news.clone()));
            self.send(home, renewal, out);
        }
        self.renewed(news, now, out);
    }

    /// Takes a renewal: of a server here, or handed on by another member.
    pub(super) fn renewed(
        &mut self,
        news: UpstreamAnnouncement,
        now: Duration,
        out: &mut Vec<GossipAction>,
    ) {
        let update = ServerUpdate {
            news,
            expired: false,
        };
        let Some(hold) = self.servers.get_mut(&*update.news.name) else {
            return self.learn_server(update, now, out);
        };
        if update.order() <= hold.update.order() {
            return;
        }
        hold.renewed = now;
        if is_change(&hold.update, &update) {
            return self.learn_server(update, now, out);
        }
        out.push(GossipAction::Server(update.news.clone()));
        hold.update = update;
    }

    /// Takes a change of a server, if it is newer than what is known.
    pub(super) fn learn_server(
        &mut self,
        update: ServerUpdate,
        now: Duration,
        out: &mut Vec<GossipAction>,
    ) {
        let name = update.news.name.to_string();
        let is_full = self.servers.len() >= MAX_ROSTER_SERVERS;
        match self.servers.get_mut(&name) {
            Some(hold) if update.order() <= hold.update.order() => {
                // Others took as a change what was none here; from now on the
                // digests are made of the same order.
                hold.changed = hold.changed.max(update.order());
                if update.expired && !hold.update.expired {
                    // An old word that the lease ran out, of a server that was
                    // renewed since: say so again.
                    hold.changed = hold.update.order();
                    let current = hold.update.clone();
                    self.queue_server(current);
                }
                return;
            }
            None if is_full => return,
            _ => {}
        }
        let hold = ServerHold {
            changed: update.order(),
            update: update.clone(),
            renewed: now,
            is_home: false,
            members_seen: 0,
        };
        let action = if update.expired {
            GossipAction::Expired(name.clone())
        } else {
            GossipAction::Server(update.news.clone())
        };
        self.servers.insert(name, hold);
        out.push(action);
        self.queue_server(update);
    }

    fn queue_server(&mut self, update: ServerUpdate) {
        self.server_queue
            .retain(|queued| queued.update.news.name != update.news.name);
        let left = self.repeats();
        self.server_queue.push(QueuedUpdate { update, left });
    }

    /// As a home, tells everybody of leases that ran out; for all others,
    /// renews what their homes vouch for by being there.
    pub(super) fn look_at_leases(&mut self, now: Duration, out: &mut Vec<GossipAction>) {
        self.work_out_homes(now);
        let mut expired = Vec::new();
        let mut vouched = Vec::new();
        for (name, hold) in &self.servers {
            if hold.update.expired || !hold.update.news.phase.takes_work() {
                continue;
            }
            if !hold.is_home {
                vouched.push(name.clone());
            } else if now >= hold.renewed + hold.update.news.lease {
                expired.push(hold.update.news.clone());
            }
        }
        for news in expired {
            let update = ServerUpdate {
                news,
                expired: true,
            };
            self.learn_server(update, now, out);
        }
        if !vouched.is_empty() {
            out.push(GossipAction::Vouch(vouched));
        }
    }

    /// Works out of which servers this instance is a home. Ranking all members
    /// for all servers is dear, so it is done only after a change of either.
    fn work_out_homes(&mut self, now: Duration) {
        let changes = self.member_changes;
        let is_stale = |hold: &ServerHold| hold.members_seen != changes;
        if !self.servers.values().any(is_stale) {
            return;
        }
        let names: Vec<String> = self.names().map(str::to_string).collect();
        let own = self.own.name.as_str();
        for (name, hold) in &mut self.servers {
            if hold.members_seen != changes {
                let homes = homes_of(name, names.iter().map(String::as_str));
                let was_home = hold.is_home;
                hold.is_home = homes.contains(&own);
                if hold.is_home && !was_home {
                    // Renewals went to other homes so far: a whole lease is
                    // given for the first to arrive here.
                    hold.renewed = now;
                }
                hold.members_seen = changes;
            }
        }
    }

    /// Offers a digest to a random member, or to a seed if there is none.
    pub(super) fn offer_digest(&mut self, out: &mut Vec<GossipAction>) {
        let seed = self.seeds.choose(&mut self.rng).copied();
        // Seeds are asked now and then, so that two halves of a group that
        // took each other for dead find together again.
        let member = self.some_members(1).first().copied();
        let purpose = GossipPurpose::Digest {
            members: self.member_digest(),
            servers: self.server_digests(),
        };
        for to in [member, seed].into_iter().flatten() {
            self.send(to, purpose.clone(), out);
        }
    }

    /// Answers a digest with what is known in the buckets that differ.
    pub(super) fn answer_digest(
        &mut self,
        to: SocketAddr,
        members: u64,
        servers: &[u64],
        out: &mut Vec<GossipAction>,
    ) {
        let own = self.server_digests();
        let differs =
            |bucket: &u16| servers.get(usize::from(*bucket)) != own.get(usize::from(*bucket));
        let buckets: Vec<u16> = (0..BUCKETS as u16).filter(differs).collect();
        let same_members = members == self.member_digest();
        if same_members && buckets.is_empty() {
            return;
        }
        let servers = self.known_in(&buckets);
        let members = if same_members {
            Vec::new()
        } else {
            let records = self.members.values();
            records.map(|record| record.news.clone()).collect()
        };
        let purpose = GossipPurpose::Known {
            members,
            buckets,
            servers,
        };
        self.send(to, purpose, out);
    }

    /// Sends what the other side lacks, and says what it has and we do not by
    /// offering the digest back.
    pub(super) fn send_newer(
        &mut self,
        to: SocketAddr,
        buckets: &[u16],
        known: &[(u64, ServerOrder)],
        out: &mut Vec<GossipAction>,
    ) {
        let theirs: std::collections::HashMap<u64, ServerOrder> = known.iter().copied().collect();
        let mut newer: Vec<ServerUpdate> = Vec::new();
        let mut lacks = theirs.len();
        for (name, hold) in &self.servers {
            let hash = xxh3_64(name.as_bytes());
            if !buckets.contains(&bucket_of(hash)) {
                continue;
            }
            match theirs.get(&hash) {
                Some(order) if *order >= hold.changed => {
                    lacks -= usize::from(*order == hold.changed);
                }
                Some(_) => {
                    lacks -= 1;
                    newer.push(hold.update.clone());
                }
                None => newer.push(hold.update.clone()),
            }
        }
        newer.truncate(REPAIR);
        if !newer.is_empty() {
            out.push(GossipAction::Send {
                to,
                message: super::message::GossipMessage {
                    from: self.own.clone(),
                    purpose: GossipPurpose::Updates,
                    members: Vec::new(),
                    servers: newer,
                },
            });
        }
        if lacks > 0 {
            let purpose = GossipPurpose::Known {
                members: Vec::new(),
                buckets: buckets.to_vec(),
                servers: self.known_in(buckets),
            };
            self.send(to, purpose, out);
        }
    }

    fn known_in(&self, buckets: &[u16]) -> Vec<(u64, ServerOrder)> {
        let holds = self.servers.iter();
        holds
            .map(|(name, hold)| (xxh3_64(name.as_bytes()), hold.changed))
            .filter(|(hash, _)| buckets.contains(&bucket_of(*hash)))
            .collect()
    }

    fn member_digest(&self) -> u64 {
        let others = self.members.values().map(|record| &record.news);
        let there = others.chain([&self.own]).filter(|news| news.is_there());
        let hashes = there.map(|news| {
            let text = format!("{}/{}", news.name, news.incarnation);
            xxh3_64(text.as_bytes())
        });
        hashes.fold(0, |sum, hash| sum ^ hash)
    }

    fn server_digests(&self) -> Vec<u64> {
        let mut digests = vec![0; BUCKETS as usize];
        for (name, hold) in &self.servers {
            let hash = xxh3_64(name.as_bytes());
            let (incarnation, sequence, expired) = hold.changed;
            let text = format!("{name}/{incarnation}/{sequence}/{expired}");
            digests[usize::from(bucket_of(hash))] ^= xxh3_64(text.as_bytes());
        }
        digests
    }
}

fn bucket_of(hash: u64) -> u16 {
    (hash % BUCKETS) as u16
}

/// Tells whether a renewal changes what everybody must know.
fn is_change(known: &ServerUpdate, update: &ServerUpdate) -> bool {
    let (old, new) = (&known.news, &update.news);
    known.expired
        || old.phase != new.phase
        || old.held != new.held
        || old.incarnation != new.incarnation
        || old.address != new.address
}
