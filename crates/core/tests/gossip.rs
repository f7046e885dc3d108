//! Members and servers spread over a lossy network.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wheelmast_core::prelude::*;
use wheelmast_core::process::gossip::homes::{homes_of, HOME_COUNT};
use wheelmast_core::process::gossip::machine::{GossipAction, GossipInput, GossipMachine};
use wheelmast_core::process::gossip::member::{MemberNews, MemberStanding};
use wheelmast_core::process::gossip::message::GossipMessage;

/// Time between two steps of the test's clock.
const TICK: Duration = Duration::from_millis(10);

struct Net {
    machines: Vec<Option<GossipMachine>>,
    wire: Vec<(usize, SocketAddr, GossipMessage)>,
    rng: SmallRng,
    loss: f64,
    now: Duration,
    cut: HashSet<usize>,
    sent: u64,
    /// What each instance was told of each server last.
    told: Vec<BTreeMap<String, ServerPhase>>,
    vouched: Vec<HashSet<String>>,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (node / 250) as u8, (node % 250) as u8 + 1], 7403))
}

fn own(node: usize, incarnation: u64) -> MemberNews {
    MemberNews {
        name: format!("n{node}"),
        address: address(node),
        domain: format!("d{}", node % 3),
        incarnation,
        standing: MemberStanding::Alive,
    }
}

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

impl Net {
    /// Starts `count` instances; all but the first know the first as seed.
    fn new(count: usize, loss: f64, seed: u64) -> Net {
        let mut net = Net {
            machines: (0..count).map(|_| None).collect(),
            wire: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            loss,
            now: Duration::ZERO,
            cut: HashSet::new(),
            sent: 0,
            told: vec![BTreeMap::new(); count],
            vouched: vec![HashSet::new(); count],
        };
        (0..count).for_each(|node| net.start(node, 1));
        net
    }

    fn start(&mut self, node: usize, incarnation: u64) {
        let seeds = vec![address(usize::from(node == 0)), address(0)];
        let seeds = seeds.into_iter().filter(|seed| *seed != address(node));
        let seed = self.rng.random();
        let machine = GossipMachine::new(own(node, incarnation), seeds.collect(), seed, self.now);
        self.machines[node] = Some(machine);
    }

    fn input(&mut self, node: usize, input: GossipInput) {
        let Some(machine) = &mut self.machines[node] else {
            return;
        };
        let mut out = Vec::new();
        machine.step(self.now, input, &mut out);
        for action in out {
            match action {
                GossipAction::Send { to, message } => {
                    self.sent += 1;
                    if !self.rng.random_bool(self.loss) {
                        self.wire.push((node, to, message));
                    }
                }
                GossipAction::Server(news) => {
                    self.told[node].insert(news.name.to_string(), news.phase);
                }
                GossipAction::Expired(name) => {
                    self.told[node].insert(name, ServerPhase::Left);
                }
                GossipAction::Vouch(names) => self.vouched[node].extend(names),
                GossipAction::Member(_) => {}
            }
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        for (from, to, message) in std::mem::take(&mut self.wire) {
            let to = (0..self.machines.len()).find(|node| address(*node) == to);
            let Some(to) = to else { continue };
            if self.cut.contains(&from) == self.cut.contains(&to) {
                self.input(to, GossipInput::Message(message));
            }
        }
        for node in 0..self.machines.len() {
            let due = self.machines[node]
                .as_ref()
                .is_some_and(|machine| machine.next_wake() <= self.now);
            if due {
                self.input(node, GossipInput::Wake);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.tick();
        }
    }

    /// Runs until `done`, at most `time`; returns the time it took.
    fn run_until(&mut self, time: Duration, done: impl Fn(&Net) -> bool) -> Option<Duration> {
        let begin = self.now;
        while self.now < begin + time {
            self.tick();
            if done(self) {
                return Some(self.now - begin);
            }
        }
        None
    }

    fn there(&self, node: usize) -> usize {
        let machine = self.machines[node].as_ref();
        machine.map_or(0, |machine| machine.others().count())
    }

    fn all_know(&self, count: usize) -> bool {
        let running = (0..self.machines.len()).filter(|node| self.machines[*node].is_some());
        running.into_iter().all(|node| self.there(node) == count)
    }

    fn all_told(&self, name: &str, phase: ServerPhase) -> bool {
        let mut told = self.told.iter();
        told.all(|told| told.get(name) == Some(&phase))
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn all_members_find_each_other_and_none_is_taken_for_dead() {
    for seed in 0..20 {
        let mut net = Net::new(7, 0.2, seed);
        let took = net.run_until(seconds(10), |net| net.all_know(6));
        assert!(took.is_some(), "seed {seed}");
        net.run(seconds(60));
        assert!(net.all_know(6), "seed {seed}");
    }
}

#[test]
fn a_drain_announced_at_one_instance_is_known_to_all_within_three_seconds() {
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
            let mut net = Net::new(case.members, 0.2, seed);
            net.run_until(seconds(30), |net| net.all_know(case.members - 1));
            let serving = server("s", 1, ServerPhase::Serving);
            net.input(1, GossipInput::Announced(serving));
            // Within its lease, which is not renewed here.
            let took = net.run_until(seconds(2), |net| net.all_told("s", ServerPhase::Serving));
            assert!(took.is_some(), "{} members, seed {seed}", case.members);
            let draining = server("s", 2, ServerPhase::Draining);
            net.input(2, GossipInput::Announced(draining));
            let took = net.run_until(seconds(3), |net| net.all_told("s", ServerPhase::Draining));
            assert!(took.is_some(), "{} members, seed {seed}", case.members);
        }
    }
}

#[test]
fn a_server_that_is_not_renewed_is_given_up_by_all_and_vouched_for_before() {
    let mut net = Net::new(7, 0.1, 3);
    net.run_until(seconds(10), |net| net.all_know(6));
    for sequence in 1..20 {
        let news = server("s", sequence, ServerPhase::Serving);
        net.input(4, GossipInput::Announced(news));
        net.run(Duration::from_millis(500));
    }
    let vouching = net.vouched.iter().filter(|names| names.contains("s"));
    assert_eq!(vouching.count(), 7 - HOME_COUNT);
    assert!(net.all_told("s", ServerPhase::Serving));
    let took = net.run_until(seconds(6), |net| net.all_told("s", ServerPhase::Left));
    assert!(took.is_some());
}

#[test]
fn a_change_of_members_ends_no_lease() {
    for seed in 0..10 {
        let mut net = Net::new(7, 0.1, seed);
        net.run_until(seconds(10), |net| net.all_know(6));
        let mut left = 0;
        for sequence in 1..80 {
            match sequence {
                20 => net.machines[2] = None,
                40 => net.machines[5] = None,
                _ => {}
            }
            for name in ["s", "t", "u", "v", "w"] {
                let news = server(name, sequence, ServerPhase::Serving);
                net.input(4, GossipInput::Announced(news));
            }
            net.run(Duration::from_millis(500));
            for told in [&net.told[0], &net.told[4], &net.told[6]] {
                let gone = told.values().filter(|phase| **phase == ServerPhase::Left);
                left += gone.count();
            }
        }
        assert_eq!(left, 0, "seed {seed}");
    }
}

#[test]
fn a_lost_member_is_noticed_and_comes_back_with_a_new_incarnation() {
    for seed in 0..10 {
        let mut net = Net::new(7, 0.2, seed);
        net.run_until(seconds(10), |net| net.all_know(6));
        net.machines[3] = None;
        let took = net.run_until(seconds(20), |net| net.all_know(5));
        assert!(took.is_some(), "seed {seed}");
        net.start(3, 2);
        let took = net.run_until(seconds(20), |net| net.all_know(6));
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn a_member_that_leaves_is_gone_at_once() {
    let mut net = Net::new(7, 0.0, 1);
    net.run_until(seconds(10), |net| net.all_know(6));
    net.input(5, GossipInput::Leave);
    net.tick();
    net.machines[5] = None;
    assert!(net.all_know(5));
}

#[test]
fn a_cut_off_part_goes_on_alone_and_finds_the_others_again() {
    for seed in 0..10 {
        let mut net = Net::new(7, 0.1, seed);
        net.run_until(seconds(10), |net| net.all_know(6));
        net.cut = HashSet::from([4, 5, 6]);
        net.run(seconds(20));
        for node in 0..7 {
            let expected = if node < 4 { 3 } else { 2 };
            assert_eq!(net.there(node), expected, "seed {seed}, n{node}");
        }
        // Each part takes up servers of its own meanwhile.
        net.input(
            1,
            GossipInput::Announced(server("a", 1, ServerPhase::Draining)),
        );
        net.input(
            5,
            GossipInput::Announced(server("b", 1, ServerPhase::Draining)),
        );
        net.run(seconds(3));
        net.cut.clear();
        let took = net.run_until(seconds(30), |net| {
            net.all_know(6)
                && net.all_told("a", ServerPhase::Draining)
                && net.all_told("b", ServerPhase::Draining)
        });
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn idle_messages_do_not_grow_with_the_members() {
    for count in [7, 50, 150] {
        let mut net = Net::new(count, 0.0, 1);
        net.run_until(seconds(60), |net| net.all_know(count - 1));
        net.run(seconds(20));
        net.sent = 0;
        net.run(seconds(20));
        let rate = net.sent as f64 / 20.0 / count as f64;
        // Two probes a second with their answers, a digest to a member and
        // one to a seed.
        assert!(rate <= 6.5, "{count} members: {rate} messages a second");
        let remembered = net.machines[0].as_ref().map(GossipMachine::remembered);
        assert_eq!(remembered, Some(count - 1));
    }
}

#[test]
fn a_member_that_goes_moves_only_its_own_servers() {
    let names: Vec<String> = (0..20).map(|node| format!("n{node}")).collect();
    let all = |without: &str| -> Vec<Vec<String>> {
        let members: Vec<&str> = names
            .iter()
            .map(String::as_str)
            .filter(|name| *name != without)
            .collect();
        let servers = (0..500).map(|server| {
            let homes = homes_of(&format!("s{server}"), members.iter().copied());
            homes.into_iter().map(str::to_string).collect()
        });
        servers.collect()
    };
    let (before, after) = (all(""), all("n7"));
    for (before, after) in before.iter().zip(&after) {
        let kept = before.iter().filter(|home| after.contains(home)).count();
        let had = usize::from(before.contains(&"n7".to_string()));
        assert_eq!(kept, HOME_COUNT - had);
    }
}

#[test]
fn what_does_not_change_is_not_told_again() {
    let mut net = Net::new(7, 0.0, 1);
    net.run_until(seconds(10), |net| net.all_know(6));
    let quiet = |net: &Net| {
        let mut machines = net.machines.iter().flatten();
        machines.all(GossipMachine::is_quiet)
    };
    let mut calm = 0;
    for sequence in 1..60 {
        for number in 0..20 {
            let news = server(&format!("s{number}"), sequence, ServerPhase::Serving);
            let node = net.rng.random_range(0..7);
            net.input(node, GossipInput::Announced(news));
        }
        net.run(seconds(1));
        calm += usize::from(quiet(&net));
    }
    assert!(calm > 40, "{calm}");
}
