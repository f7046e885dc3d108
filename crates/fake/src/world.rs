//! A whole deployment of fake servers.

use std::net::IpAddr;
use std::sync::Arc;

use wheelmast_core::prelude::{HeldSnapshot, SnapshotId};

use crate::announcer::{announce_at, AnnounceTarget};
use crate::deployment::{FakeDeployment, FakeUpstream};
use crate::ledger::FakeLedger;
use crate::network::FakeNetwork;
use crate::server::{FakeServer, FakeShape};

/// The snapshot that all servers hold at the start.
pub const FIRST_SNAPSHOT: SnapshotId = SnapshotId {
    epoch: 1,
    version: 100,
};

/// A deployment of fake servers.
#[derive(Debug)]
pub struct FakeWorld {
    /// The deployment.
    pub deployment: FakeDeployment,
    /// All servers.
    pub servers: Vec<Arc<FakeServer>>,
    /// What they did.
    pub ledger: Arc<FakeLedger>,
    /// Cuts between failure domains.
    pub network: Arc<FakeNetwork>,
}

impl FakeWorld {
    /// Starts all servers of a deployment. Must be called on a tokio runtime,
    /// which the servers then live on.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be had.
    pub async fn start(deployment: FakeDeployment) -> anyhow::Result<FakeWorld> {
        let ledger = Arc::new(FakeLedger::default());
        let network = Arc::new(FakeNetwork::default());
        let mut servers = Vec::new();
        for upstream in &deployment.upstreams {
            for index in 0..upstream.shards * upstream.replicas {
                let shape = shape_of(&deployment, upstream, index);
                let held = vec![HeldSnapshot {
                    snapshot: FIRST_SNAPSHOT,
                    shard: index / upstream.replicas,
                    shards: upstream.shards,
                }];
                let server =
                    FakeServer::start(shape, held, ledger.clone(), network.clone()).await?;
                servers.push(server);
            }
        }
        Ok(FakeWorld {
            deployment,
            servers,
            ledger,
            network,
        })
    }

    /// Announces all servers at an instance until the runtime ends.
    pub fn announce_at(&self, target: AnnounceTarget, domain: &str) {
        self.network.place(target.source, domain);
        tokio::spawn(announce_at(self.servers.clone(), target));
    }

    /// Returns the servers of an upstream.
    pub fn upstream(&self, name: &str) -> Vec<Arc<FakeServer>> {
        let servers = self.servers.iter();
        servers
            .filter(|server| server.shape.upstream == name)
            .cloned()
            .collect()
    }

    /// Returns the best coverage (0 to 1) that the live servers of an upstream
    /// allow to an instance at `address`.
    pub fn live_coverage(&self, upstream: &str, address: IpAddr) -> f64 {
        let mut groups: Vec<bool> = Vec::new();
        for server in self.upstream(upstream) {
            let held = server.state().held.first().copied();
            let Some(held) = held else { continue };
            if groups.len() < held.shards as usize {
                groups.resize(held.shards as usize, false);
            }
            groups[held.shard as usize] |= server.is_live(address);
        }
        let live = groups.iter().filter(|live| **live).count();
        live as f64 / groups.len().max(1) as f64
    }
}

fn shape_of(deployment: &FakeDeployment, upstream: &FakeUpstream, index: u32) -> FakeShape {
    let group = index / upstream.replicas;
    let replica = index % upstream.replicas;
    let domain = (group + replica) as usize % deployment.domains.len();
    FakeShape {
        name: format!("{}-{}-{}", upstream.name, group, replica),
        upstream: upstream.name,
        domain: deployment.domains[domain],
        slots: upstream.slots,
        connections: upstream.connections,
        connect_cost: upstream.connect_cost,
        median: upstream.median,
    }
}
