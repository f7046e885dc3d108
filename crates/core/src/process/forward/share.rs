//! Which entry of a failure domain a shard falls to, where many shards are divided
//! among the entries.

use std::collections::HashMap;

use crate::arena::UpstreamKey;
use crate::process::forward::bundle::{DIVIDE_ABOVE, SHARE};
use crate::process::forward::extra::BudgetSharing;
use crate::process::forward::machine::ForwardMachine;
use crate::process::rendezvous::rank;
use crate::version::route_table::{RouteTable, RouteTarget};

impl ForwardMachine {
    /// Takes over what the shards of a table are divided by. A service that was a
    /// shard stays one: while some entries have the new table and others not, equal
    /// parts beside holders' parts would exceed the bound.
    pub(super) fn find_shares(&mut self, table: &RouteTable) {
        for route in table.routes() {
            let RouteTarget::Gather(names) = &route.target else {
                continue;
            };
            if names.len() <= DIVIDE_ABOVE {
                continue;
            }
            for share in names.chunks(SHARE) {
                for name in share {
                    let upstream = self.upstream(name);
                    let known = &mut self.upstreams[upstream].share_key;
                    known.get_or_insert_with(|| share[0].as_str().into());
                }
            }
        }
        self.find_held();
    }

    /// Finds out which shards fall to this entry.
    pub(super) fn find_held(&mut self) {
        let mut held: HashMap<Box<str>, bool> = HashMap::new();
        for (_, upstream) in self.upstreams.iter() {
            let Some(key) = &upstream.share_key else {
                continue;
            };
            if !held.contains_key(key) {
                held.insert(key.clone(), self.falls_here(key));
            }
        }
        for (_, upstream) in self.upstreams.iter_mut() {
            let key = upstream.share_key.as_ref();
            upstream.holds = key.is_some_and(|key| held.get(key) == Some(&true));
        }
    }

    /// Tells whether a key falls to this entry among those of its failure domain
    /// that are known. Before it has heard of them none does.
    pub(super) fn falls_here(&self, key: &str) -> bool {
        if !self.knows_peers {
            return false;
        }
        let own = rank(key, &self.options.own);
        let mut domains = self.peer_domains.iter();
        let Some((_, entries)) = domains.find(|(name, _)| *name == self.options.domain) else {
            return true;
        };
        let mut others = self.upstreams[*entries].servers.iter();
        others.all(|other| rank(key, &self.servers[*other].id) < own)
    }

    /// Returns what is known of those that share a service's bound on extra load.
    pub(super) fn extra_view(&self, upstream: UpstreamKey) -> BudgetSharing {
        let state = &self.upstreams[upstream];
        let domains = self.options.regions.domain_count();
        let is_divided = state.share_key.is_some() && domains > 0;
        BudgetSharing {
            entries: self.entries,
            domains: domains as u32,
            holds: is_divided.then_some(state.holds),
        }
    }
}
