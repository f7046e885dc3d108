//! Assigns the connections that a server accepts to the entries, for services whose
//! servers accept fewer connections than there are entries.
//!
//! Every entry computes its own number of connections from the list of entries, without
//! messages. An entry knows all entries of its own failure domain, but only some of the
//! other domains ([`super::roll`]). The connections are therefore first divided among the
//! domains, by the number of entries and of domains alone, which every entry knows. Each
//! domain's part is then divided by rendezvous hashing among the entries of that domain.
//! If all entries have the same list, the sum over all entries never exceeds the budget.

use std::cmp::Reverse;

use crate::process::rendezvous::{hash_name, rank, rank_hashes};

/// Fraction of a server's connection limit that all entries together may use.
pub const SHARED_CONNECTION_USE: f64 = 0.85;
/// Connections per slot that the owner of a server's shard gets: enough to keep all slots
/// busy and to queue as many requests again.
const OWNER_CONNECTIONS_PER_SLOT: u32 = 2;
/// Size that the server's failure domain is assumed to have, relative to the mean size of
/// a domain. Domains differ in size, and the entries of the server's own domain send most
/// of its requests, so each of them should get a place.
const NEAR_DOMAIN_SIZE: f64 = 1.25;

/// Returns how many of a server's connections are assigned to the entries by rank. At
/// least one, so that a server with a limit of one connection can be used.
pub fn shared_connections(limit: u32) -> u32 {
    ((f64::from(limit) * SHARED_CONNECTION_USE) as u32).max(1)
}

/// Returns the size of each of the two reserves: one for entries that have no place at any
/// server of a service, one for entries without contact to the control group.
pub fn reserve_connections(limit: u32) -> u32 {
    limit.saturating_sub(shared_connections(limit)) / 2
}

/// Returns how many connections of `budget` the owner of the server's shard gets. At most
/// half, so that other entries can send retries and hedges to the server.
fn owner_connections(slots: u32, budget: u32) -> u32 {
    let wanted = slots.max(1).saturating_mul(OWNER_CONNECTIONS_PER_SLOT);
    wanted.min((budget / 2).max(1)).min(budget)
}

/// Properties of a server that the assignment depends on.
#[derive(Debug, Clone, Copy)]
pub struct ServerSite<'a> {
    /// Hash of the server's id.
    pub id_hash: u64,
    /// Hash of the server's failure domain.
    pub domain_hash: u64,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Key by which the owner of the server's shard is selected in its failure domain.
    pub owner_key: &'a str,
}

impl<'a> ServerSite<'a> {
    /// Returns the site of a server.
    pub fn new(id: &str, domain: &str, slots: u32, owner_key: &'a str) -> ServerSite<'a> {
        ServerSite {
            id_hash: hash_name(id),
            domain_hash: hash_name(domain),
            slots,
            owner_key,
        }
    }
}

/// An entry of the local failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
struct NearEntry {
    id: Box<str>,
    id_hash: u64,
}

/// What one entry knows of the list of entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryView {
    /// Number of all entries.
    entries: u32,
    /// Entries of the local failure domain, this one included, sorted by id.
    near: Vec<NearEntry>,
    /// Index in `near` of this entry.
    local: usize,
    /// Hash of the local failure domain.
    local_domain: u64,
    /// Hashes of all failure domains with entries, sorted and without duplicates.
    domains: Vec<u64>,
}

impl EntryView {
    /// Returns the view of the entry `local_id`. `known` holds the ids and failure domains
    /// of the known entries: all of the local domain, and at least one of each other
    /// domain with entries. `entries` is the number of all entries.
    pub fn new<'a>(
        local_id: &str,
        local_domain: &str,
        entries: u32,
        known: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> EntryView {
        let mut ids = vec![Box::<str>::from(local_id)];
        let mut domains = vec![hash_name(local_domain)];
        for (id, domain) in known {
            if domain == local_domain {
                ids.push(id.into());
            } else {
                domains.push(hash_name(domain));
            }
        }
        ids.sort_unstable();
        ids.dedup();
        domains.sort_unstable();
        domains.dedup();
        EntryView {
            entries,
            local: ids.partition_point(|id| **id < *local_id),
            near: ids
                .into_iter()
                .map(|id| NearEntry {
                    id_hash: hash_name(&id),
                    id,
                })
                .collect(),
            local_domain: hash_name(local_domain),
            domains,
        }
    }

    /// Returns the same view with another number of entries.
    pub fn with_entries(&self, entries: u32) -> EntryView {
        EntryView {
            entries,
            ..self.clone()
        }
    }

    /// Returns the number of all entries.
    pub fn entries(&self) -> u32 {
        self.entries
    }

    /// Returns how many of `budget` connections to a server this entry gets.
    pub fn connections(&self, server: &ServerSite<'_>, budget: u32) -> u32 {
        self.connections_of(self.local, server, budget)
    }

    /// Returns how many of `budget` connections to a server an entry of the local domain
    /// gets. In each domain the owner of the server's shard comes first, as the other
    /// entries of its domain leave most requests for the shard to it.
    fn connections_of(&self, entry: usize, server: &ServerSite<'_>, budget: u32) -> u32 {
        let owner_part = owner_connections(server.slots, budget);
        let near_part = self.near_part(server, budget, owner_part);
        let (owner_part, part) = if server.domain_hash == self.local_domain {
            (owner_part, near_part)
        } else {
            let part = self.domain_quota(server, budget - near_part, true);
            (part.min(1), part)
        };
        let owner = self.owner_of(server.owner_key);
        if entry == owner {
            return owner_part;
        }
        u32::from(self.is_among_highest(entry, server, owner, part - owner_part))
    }

    /// Returns the ids of the entries of the local domain, other than this one, that get a
    /// connection of `budget` to one of these servers.
    pub fn holders(&self, servers: &[ServerSite<'_>], budget: u32) -> Vec<Box<str>> {
        let has_place = |entry: &usize| {
            let mut servers = servers.iter();
            servers.any(|server| self.connections_of(*entry, server, budget) > 0)
        };
        let others = (0..self.near.len()).filter(|entry| *entry != self.local);
        let holders = others.filter(has_place);
        holders.map(|entry| self.near[entry].id.clone()).collect()
    }

    /// Returns the part of `budget` for the entries of the server's own domain.
    fn near_part(&self, server: &ServerSite<'_>, budget: u32, owner_part: u32) -> u32 {
        if self.domains.binary_search(&server.domain_hash).is_err() {
            return 0;
        }
        if self.domains.len() == 1 {
            return budget;
        }
        let mean = f64::from(self.entries) / self.domains.len() as f64;
        let others = (mean * NEAR_DOMAIN_SIZE).ceil() as u32;
        // The owner of the shard in each other domain sends retries and hedges here.
        let other_owners = (self.domains.len() as u32 - 1).min(budget - owner_part);
        owner_part.saturating_add(others).min(budget - other_owners)
    }

    /// Returns the local domain's part of `total` connections to a server, which are
    /// divided equally among the domains, or among those other than the server's. The
    /// remainder goes to the domains that rank highest for the server.
    fn domain_quota(&self, server: &ServerSite<'_>, total: u32, excludes_own: bool) -> u32 {
        let is_sharing = |domain: &&u64| !excludes_own || **domain != server.domain_hash;
        let sharing = || self.domains.iter().filter(is_sharing);
        let count = sharing().count() as u32;
        if count == 0 {
            return 0;
        }
        let order = |domain: u64| (rank_hashes(server.id_hash, domain), domain);
        let local_order = order(self.local_domain);
        let higher = sharing().filter(|domain| order(**domain) > local_order);
        total / count + u32::from((higher.count() as u32) < total % count)
    }

    /// Returns whether an entry is among the first `quota` entries of the local domain for a
    /// server, not counting the owner of its shard.
    ///
    /// In the server's own domain the entries come in the order in which they are asked for
    /// the shard: if the owner is unresponsive, the next one gets its requests. In other
    /// domains each server has an order of its own, so that few entries have no place at any
    /// server of a shard.
    fn is_among_highest(
        &self,
        entry: usize,
        server: &ServerSite<'_>,
        owner: usize,
        quota: u32,
    ) -> bool {
        let is_own = server.domain_hash == self.local_domain;
        let order = |entry: usize| {
            if is_own {
                (rank(server.owner_key, &self.near[entry].id), entry)
            } else {
                self.server_order(entry, server)
            }
        };
        let local_order = order(entry);
        let others = (0..self.near.len()).filter(|other| *other != owner);
        let higher = others.filter(|other| order(*other) > local_order);
        (higher.count() as u32) < quota
    }

    /// Returns the position of an entry of the local domain in the order of the ranks for a
    /// server.
    fn server_order(&self, entry: usize, server: &ServerSite<'_>) -> (u64, usize) {
        let rank = rank_hashes(server.id_hash, self.near[entry].id_hash);
        (rank, entry)
    }

    /// Returns the entry of the local domain that owns a key.
    fn owner_of(&self, key: &str) -> usize {
        let entries = 0..self.near.len();
        let owner = entries.max_by_key(|entry| rank(key, &self.near[*entry].id));
        owner.unwrap_or(self.local)
    }

    /// Returns the index of the server of a service at which this entry gets one
    /// connection out of `reserve` connections at each server, because it gets none of the
    /// `budget` at any of them: the server that this entry ranks highest for, among those
    /// with a part of the reserve for the local domain. Returns `None` if this entry has a
    /// place, or if that part is used up by entries that rank higher.
    pub fn reserve_server(
        &self,
        servers: &[ServerSite<'_>],
        budget: u32,
        reserve: u32,
    ) -> Option<usize> {
        let is_placeless = |entry: usize| {
            let mut servers = servers.iter();
            servers.all(|server| self.connections_of(entry, server, budget) == 0)
        };
        if !is_placeless(self.local) {
            return None;
        }
        let quotas: Vec<u32> = servers
            .iter()
            .map(|server| self.domain_quota(server, reserve, false))
            .collect();
        let highest_of = |entry: usize| {
            let with_quota = (0..servers.len()).filter(|server| quotas[*server] > 0);
            with_quota.max_by_key(|server| self.server_order(entry, &servers[*server]))
        };
        let highest = highest_of(self.local)?;
        let local_order = self.server_order(self.local, &servers[highest]);
        let higher = (0..self.near.len()).filter(|other| {
            self.server_order(*other, &servers[highest]) > local_order
                && highest_of(*other) == Some(highest)
                && is_placeless(*other)
        });
        ((higher.count() as u32) < quotas[highest]).then_some(highest)
    }

    /// Returns the index of the server that this entry ranks highest for, with those of the
    /// local domain first.
    pub fn highest_server(&self, servers: &[ServerSite<'_>]) -> Option<usize> {
        (0..servers.len()).max_by_key(|index| {
            let server = &servers[*index];
            let is_near = server.domain_hash == self.local_domain;
            (
                is_near,
                self.server_order(self.local, server),
                Reverse(*index),
            )
        })
    }
}
