//! Failure detection by direct and indirect probes, suspicion and refutation
//! (SWIM).

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;

use crate::process::gossip::machine::{GossipAction, GossipMachine, MAX_MEMBERS, PROBE_INTERVAL};
use crate::process::gossip::member::{MemberLifecycle, MemberRecord, MemberState};
use crate::process::gossip::message::GossipPurpose;

/// Time in which a member must acknowledge a direct probe before other members
/// are asked to probe it.
const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of random members asked to probe a member indirectly.
const INDIRECT_PROBERS: usize = 3;
/// Number of probe intervals that a suspect has to refute the suspicion, for each
/// doubling of the group's size.
const SUSPICION_INTERVALS: u32 = 2;
/// Maximum number of pending probes made for other members; the oldest is dropped
/// beyond that.
const MAX_INDIRECT_PROBES: usize = 64;

/// A probe that has not been acknowledged yet.
#[derive(Debug, Clone)]
pub(super) struct PendingProbe {
    pub(super) number: u64,
    target: MemberState,
    started_at: Duration,
    /// Whether other members have been asked to probe the target.
    is_indirect: bool,
}

/// A probe made on behalf of another member.
#[derive(Debug, Clone, Copy)]
pub(super) struct IndirectProbe {
    /// Number of this instance's probe.
    number: u64,
    /// Address of the member that asked for the probe.
    requester: SocketAddr,
    /// Number of the requester's probe, which the acknowledgement returns.
    requester_probe: u64,
}

impl GossipMachine {
    /// Suspects the target of the last probe if that is still unacknowledged, and
    /// probes the next member.
    pub(super) fn start_next_probe(&mut self, now: Duration, out: &mut Vec<GossipAction>) {
        if let Some(probe) = self.pending_probe.take() {
            self.suspect(probe.target, now, out);
        }
        self.declare_dead(now, out);
        let Some(target) = self.next_target() else {
            return self.ping_seeds(out);
        };
        self.last_probe_number += 1;
        self.pending_probe = Some(PendingProbe {
            number: self.last_probe_number,
            target: target.clone(),
            started_at: now,
            is_indirect: false,
        });
        let probe = self.last_probe_number;
        self.send(target.address, GossipPurpose::Ping { probe }, out);
    }

    /// Asks other members to probe a member that did not acknowledge a direct
    /// probe within [`DIRECT_PROBE_TIMEOUT`].
    pub(super) fn send_indirect_probes(&mut self, now: Duration, out: &mut Vec<GossipAction>) {
        let Some(probe) = &mut self.pending_probe else {
            return;
        };
        if probe.is_indirect || now < probe.started_at + DIRECT_PROBE_TIMEOUT {
            return;
        }
        probe.is_indirect = true;
        let (number, target) = (probe.number, probe.target.address);
        for to in self.random_members(INDIRECT_PROBERS) {
            if to != target {
                let purpose = GossipPurpose::PingFor {
                    probe: number,
                    target,
                };
                self.send(to, purpose, out);
            }
        }
    }

    /// Handles the acknowledgement of a probe, and forwards it to the requester if
    /// the probe was made for another member.
    pub(super) fn handle_ack(&mut self, number: u64, out: &mut Vec<GossipAction>) {
        if self
            .pending_probe
            .as_ref()
            .is_some_and(|probe| probe.number == number)
        {
            self.pending_probe = None;
        }
        let index = self
            .indirect_probes
            .iter()
            .position(|indirect| indirect.number == number);
        if let Some(indirect) = index.map(|index| self.indirect_probes.remove(index)) {
            let probe = indirect.requester_probe;
            self.send(indirect.requester, GossipPurpose::Ack { probe }, out);
        }
    }

    /// Probes `target` on behalf of another member.
    pub(super) fn handle_indirect_probe(
        &mut self,
        requester: SocketAddr,
        requester_probe: u64,
        target: SocketAddr,
        out: &mut Vec<GossipAction>,
    ) {
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            self.indirect_probes.remove(0);
        }
        self.last_probe_number += 1;
        let number = self.last_probe_number;
        self.indirect_probes.push(IndirectProbe {
            number,
            requester,
            requester_probe,
        });
        self.send(target, GossipPurpose::Ping { probe: number }, out);
    }

    /// Records the state of a member if it overrides the known one, and
    /// disseminates it.
    pub(super) fn apply_member_state(
        &mut self,
        state: MemberState,
        now: Duration,
        out: &mut Vec<GossipAction>,
    ) {
        if state.name == self.local_member.name {
            return self.refute(&state);
        }
        let known = self.members.get(&state.name);
        let is_newer = known.is_none_or(|record| state.overrides(&record.state));
        if !is_newer || (known.is_none() && self.members.len() >= MAX_MEMBERS) {
            return;
        }
        if known.is_none() && !state.is_active() {
            // The other members need no update about a departed member that this
            // instance never saw active.
            return self.store_member(state, now);
        }
        self.store_member(state.clone(), now);
        self.queue_member_update(state.clone());
        out.push(GossipAction::MemberChanged(state));
    }

    /// Stores the state of a member, and raises the membership version if the set
    /// of active members changes.
    fn store_member(&mut self, state: MemberState, now: Duration) {
        let name = state.name.clone();
        let was_active = self
            .members
            .get(&name)
            .is_some_and(|old| old.state.is_active());
        if was_active != state.is_active() {
            self.membership_version += 1;
        }
        self.members.insert(
            name,
            MemberRecord {
                state,
                recorded_at: now,
            },
        );
    }

    /// Refutes a report that this instance is suspect, dead or has left: raises the
    /// instance's incarnation above the reported one and disseminates its state.
    fn refute(&mut self, report: &MemberState) {
        let is_false_report = report.standing != MemberLifecycle::Alive;
        let is_leaving = self.local_member.standing == MemberLifecycle::Left;
        if is_false_report && !is_leaving && report.incarnation >= self.local_member.incarnation {
            self.local_member.incarnation = report.incarnation + 1;
            self.queue_member_update(self.local_member.clone());
        }
    }

    /// Marks a member as suspect and disseminates the suspicion.
    fn suspect(&mut self, target: MemberState, now: Duration, out: &mut Vec<GossipAction>) {
        let state = MemberState {
            standing: MemberLifecycle::Suspect,
            ..target
        };
        self.apply_member_state(state, now, out);
    }

    /// Declares the suspects dead that did not refute the suspicion in time.
    fn declare_dead(&mut self, now: Duration, out: &mut Vec<GossipAction>) {
        let members = self.members.len() as u32 + 1;
        let doublings = u32::BITS - members.leading_zeros();
        let suspicion_timeout = PROBE_INTERVAL * SUSPICION_INTERVALS * doublings.max(2);
        let overdue_suspects = self.members.values().filter(|record| {
            record.state.standing == MemberLifecycle::Suspect
                && now >= record.recorded_at + suspicion_timeout
        });
        let dead: Vec<MemberState> = overdue_suspects
            .map(|record| record.state.clone())
            .collect();
        for state in dead {
            let state = MemberState {
                standing: MemberLifecycle::Dead,
                ..state
            };
            self.apply_member_state(state, now, out);
        }
    }

    /// Returns the next active member to probe. Each round probes all members in a
    /// new random order, so that every member is probed within two rounds at most.
    fn next_target(&mut self) -> Option<MemberState> {
        loop {
            if self.probe_round.is_empty() {
                self.probe_round = self.others().map(|member| member.name.clone()).collect();
                self.probe_round.shuffle(&mut self.rng);
            }
            let name = self.probe_round.pop()?;
            let record = self.members.get(&name);
            if let Some(record) = record.filter(|record| record.state.is_active()) {
                return Some(record.state.clone());
            }
        }
    }

    /// Sends a ping to every seed, used while no other member is known.
    fn ping_seeds(&mut self, out: &mut Vec<GossipAction>) {
        for seed in self.seeds.clone() {
            self.last_probe_number += 1;
            let probe = self.last_probe_number;
            self.send(seed, GossipPurpose::Ping { probe }, out);
        }
    }
}
