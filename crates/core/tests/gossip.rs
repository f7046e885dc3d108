//! Tests of membership and of the dissemination of server announcements among
//! instances in a simulated lossy network.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wheelmast_core::prelude::*;
use wheelmast_core::process::gossip::lease_tracker::{select_lease_trackers, LEASE_TRACKER_COUNT};
use wheelmast_core::process::gossip::machine::{GossipAction, GossipInput, GossipMachine};
use wheelmast_core::process::gossip::member::{MemberLifecycle, MemberState};
use wheelmast_core::process::gossip::message::GossipMessage;

/// Step of the simulated clock.
const TICK: Duration = Duration::from_millis(10);

/// Instances that exchange gossip messages over a simulated network.
struct SimulatedNetwork {
    /// Machines of the instances; `None` for a stopped instance.
    machines: Vec<Option<GossipMachine>>,
    /// Messages with sender and destination, delivered in the next step.
    in_transit: Vec<(usize, SocketAddr, GossipMessage)>,
    rng: SmallRng,
    /// Fraction of the messages that are lost (0 to 1).
    loss_rate: f64,
    now: Duration,
    /// Instances that a partition separates from the others.
    minority: HashSet<usize>,
    sent_count: u64,
    /// Phase that each instance last reported for each server; an expired lease
    /// counts as [`ServerPhase::Left`].
    reported_phases: Vec<BTreeMap<String, ServerPhase>>,
    /// Servers whose leases each instance renewed on behalf of their lease trackers.
    renewed_names: Vec<HashSet<String>>,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (node / 250) as u8, (node % 250) as u8 + 1], 7403))
}

/// Returns the initial state of the member with this number.
fn member(node: usize, incarnation: u64) -> MemberState {
    MemberState {
        name: format!("n{node}"),
        address: address(node),
        domain: format!("d{}", node % 3),
        incarnation,
        standing: MemberLifecycle::Alive,
    }
}

/// Returns an announcement of a server.
fn server(name: &str, sequence: u64, phase: ServerPhase) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        name: name.into(),
        upstream: "u".into(),
        domain: "d0".into(),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 1,
        sequence,
        phase,
        held: Vec::new(),
        slots: 2,
        connections: 25,
        load: 0.0,
        lease: Duration::from_millis(2500),
    }
}

impl SimulatedNetwork {
    /// Starts `count` instances. All others know the first one as their seed, and
    /// the first one knows the second.
    fn new(count: usize, loss_rate: f64, seed: u64) -> SimulatedNetwork {
        let mut network = SimulatedNetwork {
            machines: (0..count).map(|_| None).collect(),
            in_transit: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            loss_rate,
            now: Duration::ZERO,
            minority: HashSet::new(),
            sent_count: 0,
            reported_phases: vec![BTreeMap::new(); count],
            renewed_names: vec![HashSet::new(); count],
        };
        (0..count).for_each(|node| network.start(node, 1));
        network
    }

    fn start(&mut self, node: usize, incarnation: u64) {
        let seeds = vec![address(usize::from(node == 0)), address(0)];
        let seeds = seeds.into_iter().filter(|seed| *seed != address(node));
        let seed = self.rng.random();
        let machine =
            GossipMachine::new(member(node, incarnation), seeds.collect(), seed, self.now);
        self.machines[node] = Some(machine);
    }

    /// Passes an input to an instance and carries out the resulting actions.
    fn input(&mut self, node: usize, input: GossipInput) {
        let Some(machine) = &mut self.machines[node] else {
            return;
        };
        let mut out = Vec::new();
        machine.step(self.now, input, &mut out);
        for action in out {
            match action {
                GossipAction::Send { to, message } => {
                    self.sent_count += 1;
                    if !self.rng.random_bool(self.loss_rate) {
                        self.in_transit.push((node, to, message));
                    }
                }
                GossipAction::ServerAnnounced(news) => {
                    self.reported_phases[node].insert(news.name.to_string(), news.phase);
                }
                GossipAction::Expired(name) => {
                    self.reported_phases[node].insert(name, ServerPhase::Left);
                }
                GossipAction::Vouch(names) => self.renewed_names[node].extend(names),
                GossipAction::MemberChanged(_) => {}
            }
        }
    }

    /// Advances the clock by one step: delivers messages and runs due timers.
    fn tick(&mut self) {
        self.now += TICK;
        for (from, to, message) in std::mem::take(&mut self.in_transit) {
            let to = (0..self.machines.len()).find(|node| address(*node) == to);
            let Some(to) = to else { continue };
            if self.minority.contains(&from) == self.minority.contains(&to) {
                self.input(to, GossipInput::Message(message));
            }
        }
        for node in 0..self.machines.len() {
            let is_due = self.machines[node]
                .as_ref()
                .is_some_and(|machine| machine.next_wake() <= self.now);
            if is_due {
                self.input(node, GossipInput::Wake);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until `done` returns true, and returns the time that this took, or `None`
    /// if it took longer than `time`.
    fn run_until(
        &mut self,
        time: Duration,
        done: impl Fn(&SimulatedNetwork) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now < start + time {
            self.tick();
            if done(self) {
                return Some(self.now - start);
            }
        }
        None
    }

    /// Returns the number of other members that an instance considers active.
    fn active_peer_count(&self, node: usize) -> usize {
        let machine = self.machines[node].as_ref();
        machine.map_or(0, |machine| machine.others().count())
    }

    /// Returns whether every running instance sees exactly `count` active peers.
    fn all_see_peers(&self, count: usize) -> bool {
        let running = (0..self.machines.len()).filter(|node| self.machines[*node].is_some());
        running
            .into_iter()
            .all(|node| self.active_peer_count(node) == count)
    }

    /// Returns whether every instance last reported this phase for the server.
    fn all_report_phase(&self, name: &str, phase: ServerPhase) -> bool {
        let mut all_phases = self.reported_phases.iter();
        all_phases.all(|phases| phases.get(name) == Some(&phase))
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn all_members_find_each_other_and_none_is_declared_dead() {
    for seed in 0..20 {
        let mut network = SimulatedNetwork::new(7, 0.2, seed);
        let took = network.run_until(seconds(10), |network| network.all_see_peers(6));
        assert!(took.is_some(), "seed {seed}");
        network.run(seconds(60));
        assert!(network.all_see_peers(6), "seed {seed}");
    }
}

#[test]
fn a_drain_announced_to_one_instance_reaches_all_within_three_seconds() {
    struct DrainCase {
        members: usize,
        seeds: u64,
    }
    let cases = [
        DrainCase {
            members: 7,
            seeds: 200,
        },
        DrainCase {
            members: 50,
            seeds: 10,
        },
    ];
    for case in cases {
        for seed in 0..case.seeds {
            let mut network = SimulatedNetwork::new(case.members, 0.2, seed);
            network.run_until(seconds(30), |network| {
                network.all_see_peers(case.members - 1)
            });
            let serving = server("s", 1, ServerPhase::Serving);
            network.input(1, GossipInput::Announced(serving));
            // The lease is not renewed here, so all instances must report the
            // server before the lease expires.
            let took = network.run_until(seconds(2), |network| {
                network.all_report_phase("s", ServerPhase::Serving)
            });
            assert!(took.is_some(), "{} members, seed {seed}", case.members);
            let draining = server("s", 2, ServerPhase::Draining);
            network.input(2, GossipInput::Announced(draining));
            let took = network.run_until(seconds(3), |network| {
                network.all_report_phase("s", ServerPhase::Draining)
            });
            assert!(took.is_some(), "{} members, seed {seed}", case.members);
        }
    }
}

#[test]
fn a_lease_that_is_not_renewed_expires_at_all_members() {
    let mut network = SimulatedNetwork::new(7, 0.1, 3);
    network.run_until(seconds(10), |network| network.all_see_peers(6));
    for sequence in 1..20 {
        let news = server("s", sequence, ServerPhase::Serving);
        network.input(4, GossipInput::Announced(news));
        network.run(Duration::from_millis(500));
    }
    let renewing = network
        .renewed_names
        .iter()
        .filter(|names| names.contains("s"));
    assert_eq!(renewing.count(), 7 - LEASE_TRACKER_COUNT);
    assert!(network.all_report_phase("s", ServerPhase::Serving));
    let took = network.run_until(seconds(6), |network| {
        network.all_report_phase("s", ServerPhase::Left)
    });
    assert!(took.is_some());
}

#[test]
fn membership_changes_expire_no_lease() {
    for seed in 0..10 {
        let mut network = SimulatedNetwork::new(7, 0.1, seed);
        network.run_until(seconds(10), |network| network.all_see_peers(6));
        let mut expired_count = 0;
        for sequence in 1..80 {
            match sequence {
                20 => network.machines[2] = None,
                40 => network.machines[5] = None,
                _ => {}
            }
            for name in ["s", "t", "u", "v", "w"] {
                let news = server(name, sequence, ServerPhase::Serving);
                network.input(4, GossipInput::Announced(news));
            }
            network.run(Duration::from_millis(500));
            for phases in [
                &network.reported_phases[0],
                &network.reported_phases[4],
                &network.reported_phases[6],
            ] {
                let gone = phases.values().filter(|phase| **phase == ServerPhase::Left);
                expired_count += gone.count();
            }
        }
        assert_eq!(expired_count, 0, "seed {seed}");
    }
}

#[test]
fn a_lost_member_is_detected_and_rejoins_with_a_new_incarnation() {
    for seed in 0..10 {
        let mut network = SimulatedNetwork::new(7, 0.2, seed);
        network.run_until(seconds(10), |network| network.all_see_peers(6));
        network.machines[3] = None;
        let took = network.run_until(seconds(20), |network| network.all_see_peers(5));
        assert!(took.is_some(), "seed {seed}");
        network.start(3, 2);
        let took = network.run_until(seconds(20), |network| network.all_see_peers(6));
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn a_leaving_member_is_removed_at_once() {
    let mut network = SimulatedNetwork::new(7, 0.0, 1);
    network.run_until(seconds(10), |network| network.all_see_peers(6));
    network.input(5, GossipInput::Leave);
    network.tick();
    network.machines[5] = None;
    assert!(network.all_see_peers(5));
}

#[test]
fn a_partitioned_group_merges_again() {
    for seed in 0..10 {
        let mut network = SimulatedNetwork::new(7, 0.1, seed);
        network.run_until(seconds(10), |network| network.all_see_peers(6));
        network.minority = HashSet::from([4, 5, 6]);
        network.run(seconds(20));
        for node in 0..7 {
            let expected = if node < 4 { 3 } else { 2 };
            assert_eq!(
                network.active_peer_count(node),
                expected,
                "seed {seed}, n{node}"
            );
        }
        // Each side of the partition receives the announcement of a server that the
        // other side does not see.
        network.input(
            1,
            GossipInput::Announced(server("a", 1, ServerPhase::Draining)),
        );
        network.input(
            5,
            GossipInput::Announced(server("b", 1, ServerPhase::Draining)),
        );
        network.run(seconds(3));
        network.minority.clear();
        let took = network.run_until(seconds(30), |network| {
            network.all_see_peers(6)
                && network.all_report_phase("a", ServerPhase::Draining)
                && network.all_report_phase("b", ServerPhase::Draining)
        });
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn idle_message_rate_does_not_grow_with_the_group() {
    for count in [7, 50, 150] {
        let mut network = SimulatedNetwork::new(count, 0.0, 1);
        network.run_until(seconds(60), |network| network.all_see_peers(count - 1));
        network.run(seconds(20));
        network.sent_count = 0;
        network.run(seconds(20));
        let rate = network.sent_count as f64 / 20.0 / count as f64;
        // Per second: two probes with their acknowledgements, a digest to a member
        // and a digest to a seed.
        assert!(rate <= 6.5, "{count} members: {rate} messages a second");
        let member_count = network.machines[0]
            .as_ref()
            .map(GossipMachine::member_count);
        assert_eq!(member_count, Some(count - 1));
    }
}

#[test]
fn a_removed_member_changes_only_its_own_lease_trackers() {
    let names: Vec<String> = (0..20).map(|node| format!("n{node}")).collect();
    let trackers_without = |without: &str| -> Vec<Vec<String>> {
        let members: Vec<&str> = names
            .iter()
            .map(String::as_str)
            .filter(|name| *name != without)
            .collect();
        let servers = (0..500).map(|server| {
            let trackers = select_lease_trackers(&format!("s{server}"), members.iter().copied());
            trackers.into_iter().map(str::to_string).collect()
        });
        servers.collect()
    };
    let (before, after) = (trackers_without(""), trackers_without("n7"));
    for (before, after) in before.iter().zip(&after) {
        let kept_count = before
            .iter()
            .filter(|tracker| after.contains(tracker))
            .count();
        let had_member = usize::from(before.contains(&"n7".to_string()));
        assert_eq!(kept_count, LEASE_TRACKER_COUNT - had_member);
    }
}

#[test]
fn plain_renewals_are_not_disseminated() {
    let mut network = SimulatedNetwork::new(7, 0.0, 1);
    network.run_until(seconds(10), |network| network.all_see_peers(6));
    let are_queues_empty = |network: &SimulatedNetwork| {
        let mut machines = network.machines.iter().flatten();
        machines.all(GossipMachine::is_queue_empty)
    };
    let mut empty_rounds = 0;
    for sequence in 1..60 {
        for number in 0..20 {
            let news = server(&format!("s{number}"), sequence, ServerPhase::Serving);
            let node = network.rng.random_range(0..7);
            network.input(node, GossipInput::Announced(news));
        }
        network.run(seconds(1));
        empty_rounds += usize::from(are_queues_empty(&network));
    }
    assert!(empty_rounds > 40, "{empty_rounds}");
}
