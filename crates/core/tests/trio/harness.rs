//! A simulated group of three replicas with a network that loses no messages.
//! A test may stop or isolate one replica.

use std::time::Duration;

use wheelmast_core::process::control::log::ReplicaId;
use wheelmast_core::process::control::message::{
    ProposalResult, ReplicaAction, ReplicaInput, ReplicaMessage, ReplicaTiming,
};
use wheelmast_core::process::control::replica::{ReplicaMachine, ReplicaStart, SafetyChecks};

use crate::disk::Disk;

/// Identities of the replicas; tests refer to a replica by its index here.
pub(crate) const REPLICA_IDS: [ReplicaId; 3] = [1, 2, 3];
/// Simulated time between two deliveries; a message is delivered in the next
/// step.
pub(crate) const STEP: Duration = Duration::from_millis(20);

/// Counts of the traffic and the results since the start of the simulation.
#[derive(Debug, Default)]
pub(crate) struct TrafficStats {
    /// Largest total size of the entries in one message, in bytes.
    pub(crate) max_entry_bytes: usize,
    /// Number of snapshots sent to the stopped replica.
    pub(crate) snapshots_to_stopped: usize,
    /// Number of messages sent.
    pub(crate) messages: usize,
    /// Number of reads and proposals reported as done.
    pub(crate) completed: usize,
}

/// The simulated group.
pub(crate) struct ReplicaTrio {
    pub(crate) replicas: Vec<(ReplicaMachine, Disk)>,
    /// Index of a replica that does not run and receives no messages.
    pub(crate) stopped: Option<usize>,
    /// Index of a replica that runs but whose messages are lost both ways.
    pub(crate) isolated: Option<usize>,
    pub(crate) now: Duration,
    pub(crate) traffic: TrafficStats,
    /// Messages to be delivered in the next step: sender, receiver, message.
    in_flight: Vec<(ReplicaId, ReplicaId, ReplicaMessage)>,
}

impl ReplicaTrio {
    pub(crate) fn new(seed: u64) -> ReplicaTrio {
        let replicas = REPLICA_IDS.map(|id| {
            let disk = Disk::default();
            (start_replica(id, &disk, seed, Duration::ZERO), disk)
        });
        ReplicaTrio {
            replicas: replicas.into(),
            stopped: None,
            isolated: None,
            now: Duration::ZERO,
            traffic: TrafficStats::default(),
            in_flight: Vec::new(),
        }
    }

    /// Restarts all replicas at once from their disks and drops all messages.
    pub(crate) fn restart(&mut self, seed: u64) {
        self.in_flight.clear();
        for (machine, disk) in &mut self.replicas {
            *machine = start_replica(machine.id(), disk, seed, self.now);
        }
    }

    /// Passes one input to a replica, writes its persistence actions to its
    /// disk, and sends its messages.
    pub(crate) fn step(&mut self, index: usize, input: ReplicaInput) {
        let mut out = Vec::new();
        let (machine, disk) = &mut self.replicas[index];
        machine.step(self.now, input, &mut out);
        let from = machine.id();
        out.iter().for_each(|action| disk.persist_action(action));
        for action in out {
            match action {
                ReplicaAction::Send { to, message } => self.send(from, to, message),
                ReplicaAction::Complete {
                    result: ProposalResult::Done(_),
                    ..
                } => self.traffic.completed += 1,
                _ => {}
            }
        }
    }

    /// Counts a message and queues it, unless the receiver is stopped or one side
    /// is isolated.
    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: ReplicaMessage) {
        self.traffic.messages += 1;
        let is_stopped = self
            .stopped
            .is_some_and(|stopped| REPLICA_IDS[stopped] == to);
        match &message {
            ReplicaMessage::Append { entries, .. } => {
                let bytes = entries.iter().map(|entry| entry.command.bytes()).sum();
                self.traffic.max_entry_bytes = self.traffic.max_entry_bytes.max(bytes);
            }
            ReplicaMessage::Snapshot { .. } if is_stopped => self.traffic.snapshots_to_stopped += 1,
            _ => {}
        }
        let is_isolated = self
            .isolated
            .is_some_and(|isolated| [from, to].contains(&REPLICA_IDS[isolated]));
        if !is_stopped && !is_isolated {
            self.in_flight.push((from, to, message));
        }
    }

    /// Runs the simulation for `time`, in steps of [`STEP`].
    pub(crate) fn run(&mut self, time: Duration) {
        let deadline = self.now + time;
        while self.now < deadline {
            self.now += STEP;
            for (from, to, message) in std::mem::take(&mut self.in_flight) {
                let index = REPLICA_IDS.iter().position(|id| *id == to).unwrap();
                self.step(index, ReplicaInput::Message { from, message });
            }
            for index in 0..REPLICA_IDS.len() {
                if Some(index) != self.stopped {
                    self.step(index, ReplicaInput::Wake);
                }
            }
        }
    }

    /// Returns the index of a replica that leads.
    pub(crate) fn leader(&self) -> Option<usize> {
        let mut replicas = self.replicas.iter();
        replicas.position(|(machine, _)| machine.is_leader())
    }
}

/// Creates a replica from the state on its disk.
fn start_replica(id: ReplicaId, disk: &Disk, seed: u64, now: Duration) -> ReplicaMachine {
    let start = ReplicaStart {
        id,
        members: REPLICA_IDS.to_vec(),
        target_size: 0,
        hard_state: disk.hard_state,
        snapshot: (disk.place, disk.state.clone()),
        entries: disk.entries.clone(),
        commit: disk.commit,
        timing: ReplicaTiming::default(),
        safety_checks: SafetyChecks::default(),
        seed: seed * 100 + id,
    };
    ReplicaMachine::new(start, now)
}
