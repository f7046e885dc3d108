//! Which entry of a failure domain a shard falls to, where many shards are divided
//! among the entries.

use crate::arena::{ServerKey, UpstreamKey};
use crate::process::forward::bundle::{DIVIDE_ABOVE, SHARE};
use crate::process::forward::extra::ExtraView;
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

    /// Finds out which shards fall to this entry among those of its failure
    /// domain that are known. Before it has heard of them none does.
    pub(super) fn find_held(&mut self) {
        let own_domain = &self.options.domain;
        let mut domains = self.peer_domains.iter();
        let entries = domains.find(|(name, _)| name == own_domain);
        let others: Vec<ServerKey> = entries
            .map(|(_, entries)| self.upstreams[*entries].servers.clone())
            .unwrap_or_default();
        let (own, servers) = (&self.options.own, &self.servers);
        let is_held = |key: &str| {
            let rank_of = |id: &str| rank(key, id);
            let own_rank = rank_of(own);
            let mut others = others.iter();
            others.all(|other| rank_of(&servers[*other].id) < own_rank)
        };
        let knows_peers = self.knows_peers;
        let mut last: Option<(Box<str>, bool)> = None;
        for (_, upstream) in self.upstreams.iter_mut() {
            let Some(key) = &upstream.share_key else {
                continue;
            };
            let holds = match &last {
                Some((known, holds)) if known == key => *holds,
                _ => knows_peers && is_held(key),
            };
            upstream.holds = holds;
            last = Some((key.clone(), holds));
        }
    }

    /// Returns what is known of those that share a service's bound on extra load.
    pub(super) fn extra_view(&self, upstream: UpstreamKey) -> ExtraView {
        let state = &self.upstreams[upstream];
        let domains = self.options.regions.domain_count();
        let is_divided = state.share_key.is_some() && domains > 0;
        ExtraView {
            entries: self.entries,
            domains: domains as u32,
            holds: is_divided.then_some(state.holds),
        }
    }
}
