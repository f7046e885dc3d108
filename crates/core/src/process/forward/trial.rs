//! Trials of quarantined requests: after some time such a request is sent to one server, to
//! find out whether it still crashes servers.
//!
//! [`SuspectRegistry::next_trial_at`] decides when a trial is due, and the entries take turns to
//! begin one.
//!
//! [`SuspectRegistry::next_trial_at`]: crate::process::forward::suspect::registry::SuspectRegistry::next_trial_at

use std::time::Duration;

use crate::process::forward::answer::{ForwardAction, ForwardDecision};
use crate::process::forward::call::CallState;
use crate::process::forward::machine::ForwardMachine;
use crate::process::rendezvous::rank;
use crate::request::mark::RequestFingerprint;

/// Time in which each entry has one turn to begin a trial.
const TRIAL_CYCLE: Duration = Duration::from_secs(4);
/// Minimum length of a turn. The other entries hear of a crash within this time.
const MIN_TRIAL_TURN: Duration = Duration::from_millis(150);
/// Maximum length of the cycle, however many entries there are.
const MAX_TRIAL_CYCLE: Duration = Duration::from_secs(8);

impl ForwardMachine {
    /// Returns whether this entry may begin a trial of a quarantined request that is due since
    /// `trial_at`. The entries take turns, so that a request which still crashes servers does
    /// not crash one for each entry.
    pub(super) fn has_trial_turn(
        &self,
        mark: RequestFingerprint,
        trial_at: Duration,
        now: Duration,
    ) -> bool {
        let Some(elapsed) = now.checked_sub(trial_at) else {
            return false;
        };
        let key = format!("{:x}/{}", mark.content.0, self.suspects.failed_trials(mark));
        let local_rank = rank(&key, &self.options.local_id);
        let domains = self.peer_domains.iter();
        let peers = domains.flat_map(|(_, entries)| &self.upstreams[*entries].servers);
        let peer_ranks = peers.map(|peer| rank(&key, &self.servers[*peer].id));
        let peer_ranks: Vec<u64> = peer_ranks.collect();
        let position = peer_ranks.iter().filter(|peer| **peer > local_rank).count() as u128;
        let turns = self.entry_count.max(peer_ranks.len() as u32 + 1);
        let turn_time = (TRIAL_CYCLE / turns).max(MIN_TRIAL_TURN);
        let turn_time = turn_time.min(MAX_TRIAL_CYCLE / turns);
        elapsed.as_nanos() / turn_time.as_nanos().max(1) % u128::from(turns) == position
    }

    /// Lets a quarantined request be sent to one server.
    pub(super) fn begin_trial(
        &mut self,
        state: &mut CallState,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let failed_trials = self.suspects.failed_trials(state.mark);
        self.suspects
            .begin_trial(state.mark, state.deadlines.hard_deadline, now);
        state.suspicion.trial = Some(failed_trials);
        state.suspicion.starts_with_canary = true;
        state.attempts = 1;
        self.counters.trials += 1;
        self.record_decision(state.tag, out, || ForwardDecision::Trial {
            mark: state.mark,
            failed_trials,
        });
    }

    /// Lets another trial of a request begin at once if the request ended as a trial that no
    /// server began.
    pub(super) fn withdraw_unrun_trial(&mut self, state: &CallState) {
        if state.suspicion.trial.is_some() && !state.may_have_run() {
            self.suspects.withdraw_trial(state.mark);
        }
    }
}
