//! Faults that can be told to a deployment while it is asked.

use std::sync::Arc;
use std::time::Duration;

use wheelmast_core::prelude::HeldSnapshot;

use crate::server::FakeServer;
use crate::world::FakeWorld;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// One server of each searched upstream is 25 times slower.
    Straggler,
    /// One server in ten vanishes.
    LostReplica,
    /// One server in ten leaves.
    Drain,
    /// One server in ten comes back cold.
    Cold,
    /// One server in ten refuses half of its work.
    Shed,
    /// The slow servers report no load.
    LyingHealth,
    /// One server in ten gives replies to the wrong attempt.
    Crossed,
    /// Index versions change under load.
    Roll,
    /// Searched upstreams are cut into another number of shards.
    Repartition,
    /// An instance is restarted by its graceful way.
    RestartEntry,
    /// A failure domain is cut off from the others.
    CutDomain,
    /// One server in ten answers from a snapshot it was not asked for.
    WrongSnapshot,
    /// One server in ten answers from another shard.
    WrongShard,
    /// Every server breaks off one subquery in twenty after it ran.
    Broken,
}

/// All faults with their names.
pub const FAULTS: &[(&str, FaultKind)] = &[
    ("straggler", FaultKind::Straggler),
    ("lost-replica", FaultKind::LostReplica),
    ("drain", FaultKind::Drain),
    ("cold", FaultKind::Cold),
    ("shed", FaultKind::Shed),
    ("lying-health", FaultKind::LyingHealth),
    ("crossed", FaultKind::Crossed),
    ("roll", FaultKind::Roll),
    ("repartition", FaultKind::Repartition),
    ("restart-entry", FaultKind::RestartEntry),
    ("cut-domain", FaultKind::CutDomain),
    ("wrong-snapshot", FaultKind::WrongSnapshot),
    ("wrong-shard", FaultKind::WrongShard),
    ("broken", FaultKind::Broken),
];

/// Returns the fault of this name.
pub fn fault_by_name(name: &str) -> Option<FaultKind> {
    let mut faults = FAULTS.iter();
    faults
        .find(|(known, _)| *known == name)
        .map(|(_, kind)| *kind)
}

/// One server in this many is struck by a fault.
const STRUCK: usize = 10;
/// Factor on the time of a straggler.
const STRAGGLER_SLOWNESS: f64 = 25.0;
/// Time a server stays cold.
const COLD_PERIOD: Duration = Duration::from_secs(3);
/// Time between two servers of a group taking a new index version.
const ROLL_STEP: Duration = Duration::from_millis(15);
/// Time an old partitioning stays beside the new one.
const EPOCH_OVERLAP: Duration = Duration::from_millis(500);
/// Shards by which a repartition shrinks an upstream.
const EPOCH_SHRINK: u32 = 4;
/// Versions a server holds at a time.
const HELD_VERSIONS: usize = 2;

/// Begins a fault. [`FaultKind::RestartEntry`] is not of the servers and does
/// nothing here.
pub fn begin(world: &FakeWorld, fault: FaultKind) {
    match fault {
        FaultKind::Straggler => strike_first(world, |server| {
            server.behave(|behaviour| behaviour.slowness = STRAGGLER_SLOWNESS);
        }),
        FaultKind::LyingHealth => strike_first(world, |server| {
            server.behave(|behaviour| {
                behaviour.slowness = STRAGGLER_SLOWNESS;
                behaviour.lies = true;
            });
        }),
        FaultKind::LostReplica => strike(world, 1, |server| {
            server.behave(|behaviour| behaviour.dead = true);
        }),
        FaultKind::Drain => strike(world, 3, |server| server.drain()),
        FaultKind::Cold => strike(world, 5, |server| server.restart_cold(COLD_PERIOD)),
        FaultKind::Shed => strike(world, 7, |server| {
            server.behave(|behaviour| behaviour.shed = 0.5);
        }),
        FaultKind::Crossed => strike(world, 9, |server| {
            server.behave(|behaviour| behaviour.crossed = 0.2);
        }),
        FaultKind::WrongSnapshot => strike(world, 2, |server| {
            server.behave(|behaviour| behaviour.wrong_snapshot = 0.2);
        }),
        FaultKind::WrongShard => strike(world, 4, |server| {
            server.behave(|behaviour| behaviour.wrong_shard = 0.2);
        }),
        FaultKind::Broken => world.servers.iter().for_each(|server| {
            server.behave(|behaviour| behaviour.broken = 0.05);
        }),
        FaultKind::CutDomain => world.network.cut(world.deployment.domains[2]),
        FaultKind::Roll => {
            tokio::spawn(roll(world.servers.clone()));
        }
        FaultKind::Repartition => {
            tokio::spawn(repartition(world.servers.clone()));
        }
        FaultKind::RestartEntry => {}
    }
}

/// Ends a fault that passes.
pub fn end(world: &FakeWorld, fault: FaultKind) {
    match fault {
        FaultKind::CutDomain => world.network.heal(),
        FaultKind::Drain => strike(world, 3, |server| server.restart_cold(COLD_PERIOD)),
        FaultKind::LostReplica => strike(world, 1, |server| server.restart_cold(COLD_PERIOD)),
        _ => {}
    }
}

fn strike(world: &FakeWorld, first: usize, act: impl Fn(&FakeServer)) {
    for server in world.servers.iter().skip(first).step_by(STRUCK) {
        act(server);
    }
}

fn strike_first(world: &FakeWorld, act: impl Fn(&FakeServer)) {
    for upstream in &world.deployment.upstreams {
        if let Some(server) = world.upstream(upstream.name).first() {
            act(server);
        }
    }
}

/// Gives each server the next index version, one after the other, and retires
/// the oldest.
async fn roll(servers: Vec<Arc<FakeServer>>) {
    loop {
        for server in &servers {
            take_version(server);
            tokio::time::sleep(ROLL_STEP).await;
        }
    }
}

fn take_version(server: &FakeServer) {
    let mut state = server.state();
    let Some(newest) = state.held.first().copied() else {
        return;
    };
    let mut next = newest;
    next.snapshot.version += 1;
    state.held.insert(0, next);
    state.held.truncate(HELD_VERSIONS);
}

/// Cuts the searched upstreams into fewer shards: both partitionings stand
/// side by side for a time, then the old one is retired.
async fn repartition(servers: Vec<Arc<FakeServer>>) {
    let mut places: std::collections::HashMap<&str, u32> = std::collections::HashMap::new();
    for server in &servers {
        let place = places.entry(server.shape.upstream).or_default();
        add_epoch(server, *place);
        *place += 1;
    }
    tokio::time::sleep(EPOCH_OVERLAP).await;
    for server in &servers {
        let mut state = server.state();
        let newest = state.held.iter().map(|held| held.snapshot.epoch).max();
        state
            .held
            .retain(|held| Some(held.snapshot.epoch) == newest);
    }
}

fn add_epoch(server: &FakeServer, place: u32) {
    let mut state = server.state();
    let Some(newest) = state.held.first().copied() else {
        return;
    };
    if newest.shards <= EPOCH_SHRINK {
        return;
    }
    let shards = newest.shards - EPOCH_SHRINK;
    let mut next = HeldSnapshot {
        snapshot: newest.snapshot,
        shard: place % shards,
        shards,
    };
    next.snapshot.epoch += 1;
    state.held.insert(0, next);
}
