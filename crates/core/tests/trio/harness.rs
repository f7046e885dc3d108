//! Three replicas on a wire that loses nothing, one of which may be away.

use std::time::Duration;

use wheelmast_core::process::control::log::ReplicaId;
use wheelmast_core::process::control::message::{
    ProposalEnd, ReplicaAction, ReplicaInput, ReplicaMessage, ReplicaTiming,
};
use wheelmast_core::process::control::replica::{ReplicaMachine, ReplicaRules, ReplicaStart};

use crate::disk::Disk;

pub(crate) const REPLICAS: [ReplicaId; 3] = [1, 2, 3];
/// Time that a message takes, at most.
pub(crate) const STEP: Duration = Duration::from_millis(20);

/// What was sent, as far as a test asks.
#[derive(Debug, Default)]
pub(crate) struct SentCount {
    /// Bytes of entries in the largest message.
    pub(crate) largest: usize,
    /// Whole states sent to a replica that was away.
    pub(crate) wasted: usize,
    /// Messages.
    pub(crate) messages: usize,
    /// Reads and proposals that were confirmed.
    pub(crate) confirmed: usize,
}

pub(crate) struct Trio {
    pub(crate) replicas: Vec<(ReplicaMachine, Disk)>,
    pub(crate) away: Option<usize>,
    /// A replica that runs, and whose messages both ways are lost.
    pub(crate) cut: Option<usize>,
    pub(crate) now: Duration,
    pub(crate) sent: SentCount,
    wire: Vec<(ReplicaId, ReplicaId, ReplicaMessage)>,
}

impl Trio {
    pub(crate) fn new(seed: u64) -> Trio {
        let replicas = REPLICAS.map(|id| {
            let disk = Disk::default();
            (start(id, &disk, seed, Duration::ZERO), disk)
        });
        Trio {
            replicas: replicas.into(),
            away: None,
            cut: None,
            now: Duration::ZERO,
            sent: SentCount::default(),
            wire: Vec::new(),
        }
    }

    /// Ends all and starts them at once with what their disks hold.
    pub(crate) fn restart(&mut self, seed: u64) {
        self.wire.clear();
        for (machine, disk) in &mut self.replicas {
            *machine = start(machine.id(), disk, seed, self.now);
        }
    }

    pub(crate) fn step(&mut self, place: usize, input: ReplicaInput) {
        let mut out = Vec::new();
        let (machine, disk) = &mut self.replicas[place];
        machine.step(self.now, input, &mut out);
        let from = machine.id();
        out.iter().for_each(|action| disk.persist_action(action));
        for action in out {
            match action {
                ReplicaAction::Send { to, message } => self.send(from, to, message),
                ReplicaAction::End {
                    end: ProposalEnd::Done(_),
                    ..
                } => self.sent.confirmed += 1,
                _ => {}
            }
        }
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: ReplicaMessage) {
        self.sent.messages += 1;
        let is_away = self.away.is_some_and(|away| REPLICAS[away] == to);
        match &message {
            ReplicaMessage::Append { entries, .. } => {
                let bytes = entries.iter().map(|entry| entry.command.bytes()).sum();
                self.sent.largest = self.sent.largest.max(bytes);
            }
            ReplicaMessage::Snapshot { .. } if is_away => self.sent.wasted += 1,
            _ => {}
        }
        let is_cut = self
            .cut
            .is_some_and(|cut| [from, to].contains(&REPLICAS[cut]));
        if !is_away && !is_cut {
            self.wire.push((from, to, message));
        }
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for (from, to, message) in std::mem::take(&mut self.wire) {
                let place = REPLICAS.iter().position(|id| *id == to).unwrap();
                self.step(place, ReplicaInput::Message { from, message });
            }
            for place in 0..REPLICAS.len() {
                if Some(place) != self.away {
                    self.step(place, ReplicaInput::Wake);
                }
            }
        }
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        let mut replicas = self.replicas.iter();
        replicas.position(|(machine, _)| machine.is_leader())
    }
}

fn start(id: ReplicaId, disk: &Disk, seed: u64, now: Duration) -> ReplicaMachine {
    let start = ReplicaStart {
        id,
        members: REPLICAS.to_vec(),
        size: 0,
        hard: disk.hard,
        snapshot: (disk.place, disk.state.clone()),
        entries: disk.entries.clone(),
        commit: disk.commit,
        timing: ReplicaTiming::default(),
        rules: ReplicaRules::default(),
        seed: seed * 100 + id,
    };
    ReplicaMachine::new(start, now)
}
