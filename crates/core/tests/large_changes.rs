//! Tables of hundreds of kilobytes in quick succession, with a replica away:
//! what waits and what is kept stays small.

#[path = "support/disk.rs"]
mod disk;

use std::time::Duration;

use disk::Disk;
use wheelmast_core::process::control::log::ReplicaId;
use wheelmast_core::process::control::message::{
    ReplicaAction, ReplicaInput, ReplicaMessage, ReplicaTiming,
};
use wheelmast_core::process::control::replica::{ReplicaMachine, ReplicaRules, ReplicaStart};
use wheelmast_core::process::control::state::ControlCommand;

/// Bytes of one table.
const TABLE: usize = 400 * 1024;
/// Most bytes of entries in one message.
const MESSAGE: usize = 1024 * 1024;
/// Most bytes of entries that a replica holds.
const HELD: usize = 6 * 1024 * 1024;
const REPLICAS: [ReplicaId; 3] = [1, 2, 3];
const STEP: Duration = Duration::from_millis(20);

struct Group {
    replicas: Vec<(ReplicaMachine, Disk)>,
    away: Option<usize>,
    now: Duration,
    wire: Vec<(ReplicaId, ReplicaId, ReplicaMessage)>,
    largest: usize,
    /// Bytes of states sent to a replica that was away.
    wasted: usize,
}

impl Group {
    fn new() -> Group {
        let replicas = REPLICAS.map(|id| {
            let disk = Disk::default();
            let start = ReplicaStart {
                id,
                members: REPLICAS.to_vec(),
                size: 0,
                hard: disk.hard,
                snapshot: (disk.place, disk.state.clone()),
                entries: Vec::new(),
                commit: 0,
                timing: ReplicaTiming::default(),
                rules: ReplicaRules::default(),
                seed: id,
            };
            (ReplicaMachine::new(start, Duration::ZERO), disk)
        });
        Group {
            replicas: replicas.into(),
            away: None,
            now: Duration::ZERO,
            wire: Vec::new(),
            largest: 0,
            wasted: 0,
        }
    }

    fn step(&mut self, place: usize, input: ReplicaInput) {
        let mut out = Vec::new();
        let (machine, disk) = &mut self.replicas[place];
        machine.step(self.now, input, &mut out);
        let from = machine.id();
        out.iter().for_each(|action| disk.keep(action));
        for action in out {
            if let ReplicaAction::Send { to, message } = action {
                self.send(from, to, message);
            }
        }
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: ReplicaMessage) {
        let is_away = self.away.is_some_and(|away| REPLICAS[away] == to);
        match &message {
            ReplicaMessage::Append { entries, .. } => {
                let bytes = entries.iter().map(|entry| entry.command.bytes()).sum();
                self.largest = self.largest.max(bytes);
            }
            ReplicaMessage::Snapshot { .. } if is_away => self.wasted += TABLE,
            _ => {}
        }
        if !is_away {
            self.wire.push((from, to, message));
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for place in 0..REPLICAS.len() {
                if Some(place) != self.away {
                    self.step(place, ReplicaInput::Wake);
                }
            }
            while !self.wire.is_empty() {
                for (from, to, message) in std::mem::take(&mut self.wire) {
                    let place = REPLICAS.iter().position(|id| *id == to).unwrap();
                    self.step(place, ReplicaInput::Message { from, message });
                }
            }
        }
    }

    fn leader(&self) -> usize {
        let mut replicas = self.replicas.iter();
        replicas
            .position(|(machine, _)| machine.is_leader())
            .unwrap()
    }

    fn change(&mut self, version: u64) {
        let command = ControlCommand::Route {
            version,
            base: None,
            text: vec![version as u8; TABLE],
        };
        let leader = self.leader();
        let input = ReplicaInput::Propose {
            tag: version,
            command,
        };
        self.step(leader, input);
        self.run(STEP);
    }

    fn held(&self) -> usize {
        let disks = self.replicas.iter().map(|(_, disk)| {
            let entries = disk.entries.iter();
            entries.map(|entry| entry.command.bytes()).sum()
        });
        disks.max().unwrap_or(0)
    }
}

#[test]
fn many_large_tables_stay_small_in_messages_and_logs() {
    let mut group = Group::new();
    group.run(Duration::from_secs(3));
    let away = (group.leader() + 1) % REPLICAS.len();
    group.away = Some(away);
    let mut held = 0;
    for version in 1..=40 {
        group.change(version);
        held = held.max(group.held());
    }
    assert!(held <= HELD, "{held} bytes of entries were held");

    // It stays away for long, and then lacks what was compacted.
    group.run(Duration::from_secs(10));
    let wasted = group.wasted / TABLE;
    assert!(wasted <= 20, "{wasted} states went to a replica in 10 s");
    group.away = None;
    group.run(Duration::from_secs(3));
    for version in 41..=44 {
        group.change(version);
    }
    group.run(Duration::from_secs(1));
    let largest = group.largest;
    assert!(largest <= MESSAGE, "a message of {largest} bytes");
    for (machine, _) in &group.replicas {
        assert_eq!(machine.state().route_version(), 44);
    }
}

#[test]
fn a_replica_that_lacks_a_few_large_tables_gets_them_in_pieces() {
    let mut group = Group::new();
    group.run(Duration::from_secs(3));
    let away = (group.leader() + 1) % REPLICAS.len();
    group.away = Some(away);
    for version in 1..=8 {
        group.change(version);
    }
    group.away = None;
    group.run(Duration::from_secs(3));
    let largest = group.largest;
    assert!(largest <= MESSAGE, "a message of {largest} bytes");
    let (machine, _) = &group.replicas[away];
    assert_eq!(machine.state().route_version(), 8);
}
