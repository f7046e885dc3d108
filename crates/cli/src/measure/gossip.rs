//! Measures the gossip load of a member in the steady state: messages, bytes and
//! processor time per second. The members' state machines run on a simulated clock,
//! connected by a simulated network.

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

/// Step of the simulated clock.
const TICK: Duration = Duration::from_millis(25);
/// Simulated time limit for the members to converge.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(240);
/// Simulated time over which the load is measured.
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// Interval between two announcements of the same server.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Mean load of one member per second.
#[derive(Debug, Clone, Copy)]
pub struct GossipLoad {
    /// Messages sent per second.
    pub messages: f64,
    /// Encoded bytes sent per second, without the overhead of the transport.
    pub bytes: f64,
    /// Processor time of the decisions and the encoding, in percent of a core.
    pub core_percent: f64,
}

/// Simulated network that connects the members and loses no message.
struct LosslessNetwork {
    machines: Vec<GossipMachine>,
    indices_by_address: HashMap<SocketAddr, usize>,
    messages_in_flight: Vec<(SocketAddr, GossipMessage)>,
    now: Duration,
    messages: u64,
    bytes: u64,
    is_counting: bool,
}

/// Returns the address of a member.
fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (node / 250) as u8, (node % 250) as u8 + 1], 7403))
}

/// Returns an announcement of a server.
fn build_announcement(server: usize, sequence: u64) -> UpstreamAnnouncement {
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

impl LosslessNetwork {
    /// Creates the members; up to three of them are the seeds of all others.
    fn new(members: usize) -> LosslessNetwork {
        let machines = (0..members).map(|node| {
            let local_member = MemberState {
                name: format!("instance-{node}"),
                address: address(node),
                domain: format!("domain-{}", node % 6),
                incarnation: 1_700_000_000_000,
                standing: MemberLifecycle::Alive,
            };
            let seeds = (0..3).filter(|seed| *seed != node).map(address).collect();
            GossipMachine::new(local_member, seeds, node as u64, Duration::ZERO)
        });
        LosslessNetwork {
            machines: machines.collect(),
            indices_by_address: (0..members).map(|node| (address(node), node)).collect(),
            messages_in_flight: Vec::new(),
            now: Duration::ZERO,
            messages: 0,
            bytes: 0,
            is_counting: false,
        }
    }

    /// Passes an input to a member's state machine and puts the messages that it
    /// sends on the network.
    fn step_machine(&mut self, node: usize, step_machine: GossipInput) -> anyhow::Result<()> {
        let mut out = Vec::new();
        self.machines[node].step(self.now, step_machine, &mut out);
        for action in out {
            let GossipAction::Send { to, message } = action else {
                continue;
            };
            if self.is_counting {
                let request = PeerRequest::Gossip(Box::new(message.clone()));
                self.messages += 1;
                self.bytes += encode(&request)?.len() as u64;
            }
            self.messages_in_flight.push((to, message));
        }
        Ok(())
    }

    /// Advances the clock by one step: delivers the messages in flight and wakes
    /// the members whose timers are due.
    fn tick(&mut self) -> anyhow::Result<()> {
        self.now += TICK;
        for (to, message) in std::mem::take(&mut self.messages_in_flight) {
            if let Some(node) = self.indices_by_address.get(&to).copied() {
                self.step_machine(node, GossipInput::Message(message))?;
            }
        }
        for node in 0..self.machines.len() {
            if self.machines[node].next_wake() <= self.now {
                self.step_machine(node, GossipInput::Wake)?;
            }
        }
        Ok(())
    }

    /// Runs the members for `time`. Each server announces itself to a random member
    /// once per `ANNOUNCE_INTERVAL`.
    fn run(&mut self, time: Duration, servers: usize, rng: &mut SmallRng) -> anyhow::Result<()> {
        let until = self.now + time;
        let ticks = ANNOUNCE_INTERVAL.as_millis() / TICK.as_millis();
        let mut tick = 0;
        while self.now < until {
            for server in (tick % ticks as usize..servers).step_by(ticks as usize) {
                let node = rng.random_range(0..self.machines.len());
                let sequence = self.now.as_millis() as u64;
                self.step_machine(
                    node,
                    GossipInput::Announced(build_announcement(server, sequence)),
                )?;
            }
            self.tick()?;
            tick += 1;
        }
        Ok(())
    }
}

impl LosslessNetwork {
    /// Runs the members until they have converged: each one knows all members and
    /// all servers and has no queued updates.
    fn wait_until_converged(&mut self, servers: usize, rng: &mut SmallRng) -> anyhow::Result<()> {
        let until = self.now + CONVERGENCE_TIMEOUT;
        while self.now < until {
            self.run(ANNOUNCE_INTERVAL, servers, rng)?;
            let members = self.machines.len();
            let has_converged = |machine: &GossipMachine| {
                machine.others().count() + 1 == members
                    && machine.server_count() == servers
                    && machine.is_queue_empty()
            };
            if self.machines.iter().all(has_converged) {
                return Ok(());
            }
        }
        anyhow::bail!("could not settle {} members", self.machines.len())
    }
}

/// Measures the gossip load of a member in a group of `members` members that know
/// `servers` servers, while neither set changes.
///
/// # Errors
///
/// Fails if a message cannot be encoded, or if the members do not converge within
/// `CONVERGENCE_TIMEOUT`.
pub fn measure_gossip(members: usize, servers: usize) -> anyhow::Result<GossipLoad> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut network = LosslessNetwork::new(members);
    network.wait_until_converged(0, &mut rng)?;
    network.wait_until_converged(servers, &mut rng)?;
    network.is_counting = true;
    let begin = Instant::now();
    network.run(MEASURED_TIME, servers, &mut rng)?;
    let elapsed_s = begin.elapsed().as_secs_f64();
    let member_seconds = MEASURED_TIME.as_secs_f64() * members as f64;
    Ok(GossipLoad {
        messages: network.messages as f64 / member_seconds,
        bytes: network.bytes as f64 / member_seconds,
        core_percent: elapsed_s / member_seconds * 100.0,
    })
}
