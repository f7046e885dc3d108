//! What members cost each other while nothing happens, by count.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wheelmast_core::prelude::{HeldSnapshot, ServerPhase, SnapshotId, UpstreamAnnouncement};
use wheelmast_core::process::gossip::machine::{GossipAction, GossipInput, GossipMachine};
use wheelmast_core::process::gossip::member::{MemberLifecycle, MemberState};
use wheelmast_core::process::gossip::message::GossipMessage;
use wheelmast_wire::peer::{encode, PeerRequest};

/// Time between two steps of the clock.
const TICK: Duration = Duration::from_millis(25);
/// Longest time the members get to settle.
const SETTLE_TIME: Duration = Duration::from_secs(240);
/// Time that is measured.
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// Time between two announcements of a server.
const RENEW_TIME: Duration = Duration::from_secs(1);

/// What one member costs in a second.
#[derive(Debug, Clone, Copy)]
pub struct GossipLoad {
    /// Messages sent.
    pub messages: f64,
    /// Bytes sent, as encoded, without the transport's own.
    pub bytes: f64,
    /// Processor time of the decisions and the encoding, as a part of a core.
    pub core_percent: f64,
}

/// Members joined by a network that loses nothing.
struct QuietNet {
    machines: Vec<GossipMachine>,
    places: HashMap<SocketAddr, usize>,
    wire: Vec<(SocketAddr, GossipMessage)>,
    now: Duration,
    messages: u64,
    bytes: u64,
    counts: bool,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (node / 250) as u8, (node % 250) as u8 + 1], 7403))
}

fn news(server: usize, sequence: u64) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        name: format!("kiln-watch-{server}").into(),
        upstream: "kiln-watch".into(),
        domain: format!("domain-{}", server % 6).into(),
        address: ([127, 0, 0, 1], 7400).into(),
        incarnation: 1_700_000_000,
        sequence,
        phase: ServerPhase::Serving,
        held: vec![HeldSnapshot {
            snapshot: SnapshotId {
                epoch: 1,
                version: 100,
            },
            shard: 7,
            shards: 120,
        }],
        slots: 2,
        connections: 25,
        load: 0.5,
        lease: Duration::from_secs(5),
    }
}

impl QuietNet {
    fn new(members: usize) -> QuietNet {
        let machines = (0..members).map(|node| {
            let own = MemberState {
                name: format!("instance-{node}"),
                address: address(node),
                domain: format!("domain-{}", node % 6),
                incarnation: 1_700_000_000_000,
                standing: MemberLifecycle::Alive,
            };
            let seeds = (0..3).filter(|seed| *seed != node).map(address).collect();
            GossipMachine::new(own, seeds, node as u64, Duration::ZERO)
        });
        QuietNet {
            machines: machines.collect(),
            places: (0..members).map(|node| (address(node), node)).collect(),
            wire: Vec::new(),
            now: Duration::ZERO,
            messages: 0,
            bytes: 0,
            counts: false,
        }
    }

    fn input(&mut self, node: usize, input: GossipInput) -> anyhow::Result<()> {
        let mut out = Vec::new();
        self.machines[node].step(self.now, input, &mut out);
        for action in out {
            let GossipAction::Send { to, message } = action else {
                continue;
            };
            if self.counts {
                let request = PeerRequest::Gossip(Box::new(message.clone()));
                self.messages += 1;
                self.bytes += encode(&request)?.len() as u64;
            }
            self.wire.push((to, message));
        }
        Ok(())
    }

    fn tick(&mut self) -> anyhow::Result<()> {
        self.now += TICK;
        for (to, message) in std::mem::take(&mut self.wire) {
            if let Some(node) = self.places.get(&to).copied() {
                self.input(node, GossipInput::Message(message))?;
            }
        }
        for node in 0..self.machines.len() {
            if self.machines[node].next_wake() <= self.now {
                self.input(node, GossipInput::Wake)?;
            }
        }
        Ok(())
    }

    /// Runs for a time while each server announces itself somewhere.
    fn run(&mut self, time: Duration, servers: usize, rng: &mut SmallRng) -> anyhow::Result<()> {
        let until = self.now + time;
        let ticks = RENEW_TIME.as_millis() / TICK.as_millis();
        let mut tick = 0;
        while self.now < until {
            for server in (tick % ticks as usize..servers).step_by(ticks as usize) {
                let node = rng.random_range(0..self.machines.len());
                let sequence = self.now.as_millis() as u64;
                self.input(node, GossipInput::Announced(news(server, sequence)))?;
            }
            self.tick()?;
            tick += 1;
        }
        Ok(())
    }
}

impl QuietNet {
    /// Runs until all know all and nothing is left to be told.
    fn settle(&mut self, servers: usize, rng: &mut SmallRng) -> anyhow::Result<()> {
        let until = self.now + SETTLE_TIME;
        while self.now < until {
            self.run(RENEW_TIME, servers, rng)?;
            let members = self.machines.len();
            let is_settled = |machine: &GossipMachine| {
                machine.others().count() + 1 == members
                    && machine.server_count() == servers
                    && machine.is_queue_empty()
            };
            if self.machines.iter().all(is_settled) {
                return Ok(());
            }
        }
        anyhow::bail!("could not settle {} members", self.machines.len())
    }
}

/// Measures the load of a member among others while nothing changes.
///
/// # Errors
///
/// Fails if a message cannot be encoded, or the members do not find each
/// other.
pub fn measure_gossip(members: usize, servers: usize) -> anyhow::Result<GossipLoad> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut net = QuietNet::new(members);
    net.settle(0, &mut rng)?;
    net.settle(servers, &mut rng)?;
    net.counts = true;
    let begin = Instant::now();
    net.run(MEASURED_TIME, servers, &mut rng)?;
    let spent = begin.elapsed().as_secs_f64();
    let seconds = MEASURED_TIME.as_secs_f64() * members as f64;
    Ok(GossipLoad {
        messages: net.messages as f64 / seconds,
        bytes: net.bytes as f64 / seconds,
        core_percent: spent / seconds * 100.0,
    })
}
