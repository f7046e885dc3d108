//! Determines which entry of a failure domain owns a shard, for routes whose shards are
//! divided among the entries. Consecutive shards of a route form a group; rendezvous
//! hashing of the group's key over the entries of the domain selects the owner.

use std::collections::HashMap;

use crate::arena::UpstreamKey;
use crate::process::forward::bundle::{MAX_UNDIVIDED_SHARDS, SHARD_GROUP_SIZE};
use crate::process::forward::extra::BudgetSharing;
use crate::process::forward::machine::ForwardMachine;
use crate::process::rendezvous::rank;
use crate::version::route_table::{RouteTable, RouteTarget};

impl ForwardMachine {
    /// Assigns the shards of each divided route in a route table to groups, and records
    /// the group's key with each shard. A shard keeps its first key even if a later table
    /// no longer divides the route. Otherwise, while entries have different tables, some
    /// would use an equal part of the extra-load allowance and others an owner's part,
    /// which together exceed the bound.
    pub(super) fn assign_shard_groups(&mut self, table: &RouteTable) {
        for route in table.routes() {
            let RouteTarget::Gather(names) = &route.target else {
                continue;
            };
            if names.len() <= MAX_UNDIVIDED_SHARDS {
                continue;
            }
            for group in names.chunks(SHARD_GROUP_SIZE) {
                for name in group {
                    let upstream = self.find_or_add_upstream(name);
                    let group_key = &mut self.upstreams[upstream].group_key;
                    group_key.get_or_insert_with(|| group[0].as_str().into());
                }
            }
        }
        self.update_owned_shards();
    }

    /// Recomputes for each divided shard whether this entry is the owner.
    pub(super) fn update_owned_shards(&mut self) {
        let mut owned_keys: HashMap<Box<str>, bool> = HashMap::new();
        for (_, upstream) in self.upstreams.iter() {
            let Some(key) = &upstream.group_key else {
                continue;
            };
            if !owned_keys.contains_key(key) {
                owned_keys.insert(key.clone(), self.is_owner_of(key));
            }
        }
        for (_, upstream) in self.upstreams.iter_mut() {
            let key = upstream.group_key.as_ref();
            upstream.owns_shard = key.is_some_and(|key| owned_keys.get(key) == Some(&true));
        }
    }

    /// Returns whether this entry owns a key, that is, ranks highest for the key among the
    /// known entries of its failure domain. False until this entry has received the list
    /// of entries.
    pub(super) fn is_owner_of(&self, key: &str) -> bool {
        if !self.knows_peers {
            return false;
        }
        let local_rank = rank(key, &self.options.local_id);
        let mut domains = self.peer_domains.iter();
        let Some((_, entries)) = domains.find(|(name, _)| *name == self.options.domain) else {
            return true;
        };
        let mut others = self.upstreams[*entries].servers.iter();
        others.all(|other| rank(key, &self.servers[*other].id) < local_rank)
    }

    /// Returns how many entries and failure domains share a service's bound on extra load,
    /// and whether this entry owns the shard if the service is a divided one.
    pub(super) fn budget_sharing(&self, upstream: UpstreamKey) -> BudgetSharing {
        let state = &self.upstreams[upstream];
        let domains = self.options.regions.domain_count();
        let is_divided = state.group_key.is_some() && domains > 0;
        BudgetSharing {
            entries: self.entry_count,
            domains: domains as u32,
            owns_shard: is_divided.then_some(state.owns_shard),
        }
    }
}
