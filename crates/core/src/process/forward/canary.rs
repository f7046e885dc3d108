//! Limits how many servers a suspect request (one under which servers crash) can crash.
//!
//! Once a server crashes, the request's shards are sent to no other servers until one
//! server has completed the request. If more crash, the outstanding attempts are cancelled
//! and single servers get the request one after the other, as a canary (J. Dean and L. A.
//! Barroso, "The Tail at Scale", 2013). If the canaries crash as well, the request is
//! quarantined: no server gets it. If one answers, the request proceeds as usual.

use std::time::Duration;

use rand::Rng;

use crate::arena::SlotKey;
use crate::process::forward::answer::{AttemptCause, ForwardAction, ForwardFailure};
use crate::process::forward::call::CallState;
use crate::process::forward::choose::SelectionFailure;
use crate::process::forward::hedge::RECHECK_INTERVAL;
use crate::process::forward::input::ForwardCall;
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::suspect::record::{
    SuspectRecord, CANARY_CRASHES_TO_QUARANTINE, CRASHES_TO_QUARANTINE,
};
use crate::process::forward::suspect::registry::SuspectStatus;
use crate::request::mark::RequestFingerprint;

/// Which requests are sent to one server as a canary before other servers get them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CanaryStrategy {
    /// None: a request that crashes servers is sent on to others.
    Never,
    /// Requests under which servers crashed before.
    Suspects,
    /// The same requests as `Suspects`, and during an alert every scatter-gather request
    /// (one that is sent to several shards). An alert is raised while servers crash and a
    /// lost entry may know which request is the cause.
    #[default]
    Alert,
    /// Every scatter-gather request.
    All,
}

/// Evidence that a running request crashes servers.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallSuspicion {
    /// Servers that crashed under the request, as seen here or reported by other entries.
    pub crashes: usize,
    /// Of these, servers that crashed here during a canary attempt.
    pub canary_crashes: usize,
    /// Broken attempts that count as crashes until it is known whether their server ended.
    pub undecided: usize,
    /// Of these, canary attempts.
    pub undecided_canaries: usize,
    /// Whether the request must start with a canary attempt: servers crashed under it
    /// before it arrived, or the [`CanaryStrategy`] requires one.
    pub starts_with_canary: bool,
    /// Whether a server completed the request, which clears it of suspicion.
    pub has_run: bool,
    /// Number of failed trials of the request before this one, if the request is a trial: it
    /// is quarantined, and is sent to one server to find out whether it still crashes servers.
    pub trial: Option<u32>,
}

impl CallSuspicion {
    /// Counts a broken attempt as a crash until it is decided.
    pub fn count_undecided(&mut self, is_canary: bool) {
        self.undecided += 1;
        self.undecided_canaries += usize::from(is_canary);
    }

    /// Stops counting an undecided break.
    pub fn uncount_undecided(&mut self, is_canary: bool) {
        self.undecided = self.undecided.saturating_sub(1);
        let canaries = usize::from(is_canary);
        self.undecided_canaries = self.undecided_canaries.saturating_sub(canaries);
    }

    /// Returns the number of servers that crashed or may have.
    fn possible_crashes(&self) -> usize {
        self.crashes + self.undecided
    }

    /// Returns whether the request will be quarantined if the undecided breaks turn out
    /// to be crashes. It then gets no further canary before these are decided.
    fn awaits_quarantine(&self) -> bool {
        let canaries = self.canary_crashes + self.undecided_canaries;
        let has_enough_crashes = self.possible_crashes() >= CRASHES_TO_QUARANTINE
            && canaries >= CANARY_CRASHES_TO_QUARANTINE;
        self.undecided > 0 && (self.trial.is_some() || has_enough_crashes)
    }
}

/// Refusal of a new request as suspect.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectRefusal {
    pub(super) failure: ForwardFailure,
    /// Time until the next trial of the request is due.
    pub(super) retry_in: Duration,
}

/// Why a request may not be sent to all shards at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallHold {
    /// It may.
    Free,
    /// It is not known yet whether servers ended under it.
    Verdict,
    /// Servers ended under it, or it must start with a canary attempt.
    Canary,
}

impl CallState {
    /// Returns whether and why a scatter-gather request that no server has completed may
    /// be sent to only one server at a time.
    pub(super) fn hold(&self) -> CallHold {
        let suspicion = &self.suspicion;
        if !self.is_scatter_gather || suspicion.has_run {
            CallHold::Free
        } else if suspicion.starts_with_canary || suspicion.crashes > 0 {
            CallHold::Canary
        } else if suspicion.undecided > 0 {
            CallHold::Verdict
        } else {
            CallHold::Free
        }
    }

    /// Returns whether the request may be sent to only one server at a time.
    pub(super) fn needs_canary(&self) -> bool {
        self.hold() != CallHold::Free
    }
}

impl ForwardMachine {
    /// Returns the status of a request according to the recorded crashes. The trial of a
    /// quarantined request may proceed until it or another trial fails.
    pub(super) fn suspect_status(&self, state: &CallState, now: Duration) -> SuspectStatus {
        let status = self.suspects.status_of(state.mark, now);
        let failed_trials = self.suspects.failed_trials(state.mark);
        if status > SuspectStatus::Suspect && state.suspicion.trial == Some(failed_trials) {
            return SuspectStatus::Suspect;
        }
        status
    }

    /// Decides whether a new request may be sent to servers, if it is quarantined or another
    /// entry is making canary attempts with it: begins a trial of the request, or returns the
    /// refusal.
    pub(super) fn check_suspect(
        &mut self,
        state: &mut CallState,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) -> Result<(), SuspectRefusal> {
        match self.suspect_status(state, now) {
            SuspectStatus::Suspect | SuspectStatus::Clear => Ok(()),
            SuspectStatus::CanaryRunning => Err(SuspectRefusal {
                failure: ForwardFailure::AwaitingCanary,
                retry_in: Duration::ZERO,
            }),
            SuspectStatus::Quarantined => {
                let trial_at = self.suspects.next_trial_at(state.mark).unwrap_or(now);
                if !state.is_relayed && self.has_trial_turn(state.mark, trial_at, now) {
                    self.begin_trial(state, now, out);
                    return Ok(());
                }
                Err(SuspectRefusal {
                    failure: ForwardFailure::Quarantined,
                    retry_in: trial_at.saturating_sub(now),
                })
            }
        }
    }

    /// Returns the evidence against a request at its arrival, and whether the request must
    /// start with a canary attempt.
    pub(super) fn initial_suspicion(&self, call: &ForwardCall, now: Duration) -> CallSuspicion {
        let strategy_requires = call.relayed.is_none()
            && match self.options.canary {
                CanaryStrategy::Never | CanaryStrategy::Suspects => false,
                CanaryStrategy::Alert => self.crash_watch.is_alert(now),
                CanaryStrategy::All => true,
            };
        let is_suspect = self.suspects.status_of(call.mark, now) != SuspectStatus::Clear;
        CallSuspicion {
            starts_with_canary: strategy_requires || is_suspect,
            ..CallSuspicion::default()
        }
    }

    /// Returns the crash record of a request.
    pub fn suspect_record(&self, mark: RequestFingerprint) -> Option<&SuspectRecord> {
        self.suspects.record(mark)
    }

    /// Iterates over the crash records of all suspect requests.
    pub fn suspect_records(&self) -> impl Iterator<Item = &SuspectRecord> {
        self.suspects.records()
    }

    /// Returns the number of requests with a crash record, and the number of those that are
    /// quarantined.
    pub fn suspect_counts(&self, now: Duration) -> (usize, usize) {
        (self.suspects.len(), self.suspects.count_quarantined(now))
    }

    /// Decides how a suspect request continues after its evidence or its attempts have
    /// changed: fails it, cancels its attempts, or sends a canary. Returns whether the
    /// caller must schedule another review.
    pub(super) fn review_suspect(
        &mut self,
        call: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) -> bool {
        let Some(state) = self.calls.get(call) else {
            return false;
        };
        let status = self.suspect_status(state, now);
        if state.suspicion.has_run {
            return false;
        }
        if status == SuspectStatus::Quarantined {
            self.fail_quarantined(call, now, out);
            return false;
        }
        if !state.needs_canary() {
            return false;
        }
        if state.suspicion.possible_crashes() >= CRASHES_TO_QUARANTINE {
            self.cancel_attempts(call, false, out);
        }
        let is_idle = self.calls.get(call).is_some_and(|state| {
            let mut parts = state.parts.iter();
            parts.all(|part| part.attempts.is_empty())
        });
        let awaits_quarantine = self
            .calls
            .get(call)
            .is_some_and(|state| state.suspicion.awaits_quarantine());
        is_idle && !awaits_quarantine && self.send_canary(call, now, out)
    }

    /// Fails a quarantined request and cancels all of its attempts.
    fn fail_quarantined(&mut self, call: SlotKey, now: Duration, out: &mut Vec<ForwardAction>) {
        self.cancel_attempts(call, true, out);
        let has_run = self.calls.get(call).is_some_and(CallState::may_have_run);
        let failure = if has_run {
            ForwardFailure::ServersCrashed
        } else {
            ForwardFailure::Quarantined
        };
        self.end_failed(call, failure, now, out);
    }

    /// Cancels a request's attempts by closing their connections at once; a server drops
    /// requests that it has not started. Canary attempts continue unless
    /// `includes_canaries` is set.
    fn cancel_attempts(
        &mut self,
        call: SlotKey,
        includes_canaries: bool,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        for part in &mut state.parts {
            let attempts = &mut self.attempts;
            part.attempts.retain(|key| {
                let Some(attempt) = attempts.get_mut(*key) else {
                    return false;
                };
                if attempt.is_canary && !includes_canaries {
                    return true;
                }
                if !attempt.is_cancelled {
                    attempt.call = None;
                    attempt.is_cancelled = true;
                    out.push(ForwardAction::Cancel(*key));
                }
                false
            });
        }
    }

    /// Sends one part of a request without outstanding attempts to one server, as a
    /// canary. Returns whether the caller must schedule another review.
    fn send_canary(&mut self, call: SlotKey, now: Duration, out: &mut Vec<ForwardAction>) -> bool {
        let Some(state) = self.calls.get(call) else {
            return false;
        };
        if now >= state.deadlines.hard_deadline {
            return false;
        }
        let candidates = (0..state.parts.len()).filter(|part| {
            let part = &state.parts[*part];
            part.is_open() && part.runs < state.attempts
        });
        // Prefers the shard with the most servers that were not tried, because that shard
        // loses the smallest part of its capacity if a server crashes. Among equal shards
        // the choice is random, as canaries of several requests would otherwise run on one
        // server and crash together.
        let mut candidates: Vec<usize> = candidates.collect();
        if !candidates.is_empty() {
            let first = self.rng.random_range(0..candidates.len());
            candidates.rotate_left(first);
        }
        candidates.sort_by_key(|part| {
            let servers = self.upstreams[state.parts[*part].upstream].servers.len();
            usize::MAX - servers.saturating_sub(state.parts[*part].tried.len())
        });
        let mut may_wait = false;
        for part in candidates {
            match self.choose_server_for(call, part, now) {
                Ok(choice) if self.try_spend_budget(call, part, now, out) => {
                    let cause = self.attempt_cause(call, part);
                    self.send_part_to(call, part, cause, choice, now, out);
                    return true;
                }
                Ok(_) | Err(SelectionFailure::Full) => may_wait = true,
                Err(SelectionFailure::NoServer) => {}
            }
        }
        if may_wait {
            self.schedule_review(call, now + RECHECK_INTERVAL);
        } else {
            self.end_unanswered(call, now, out);
        }
        may_wait
    }

    /// Schedules the next review of a request, through the hedge timer of its first open
    /// part.
    fn schedule_review(&mut self, call: SlotKey, at: Duration) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let mut parts = state.parts.iter_mut();
        if let Some(part) = parts.find(|part| part.is_open()) {
            part.hedge_at = at;
        }
    }

    /// Returns whether a request must not be retried in the usual way, as it needs a canary
    /// or is quarantined.
    pub(super) fn is_restricted(&self, call: SlotKey, now: Duration) -> bool {
        let Some(state) = self.calls.get(call) else {
            return false;
        };
        let is_quarantined = self.suspect_status(state, now) == SuspectStatus::Quarantined;
        state.needs_canary() || (is_quarantined && !state.suspicion.has_run)
    }

    /// Returns whether a part must wait for the outcome of another part's canary attempt.
    pub(super) fn awaits_canary(&self, call: SlotKey, part: usize) -> bool {
        let Some(state) = self.calls.get(call).filter(|state| state.needs_canary()) else {
            return false;
        };
        // If the canary is slow to answer and no server has crashed yet, the same part may be
        // hedged.
        let attempts = state.parts[part].attempts.iter();
        let mut attempts = attempts.filter_map(|attempt| self.attempts.get(*attempt));
        state.suspicion.possible_crashes() > 0 || !attempts.any(|attempt| attempt.is_canary)
    }

    /// Sends all parts that were held back while the request needed a canary.
    pub(super) fn send_remaining_parts(
        &mut self,
        call: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if let Some(state) = self.calls.get_mut(call) {
            // All parts were counted towards the extra-load budget of this entry when the
            // request arrived, so no other entry may count them again.
            state.credits_budget = false;
        }
        self.send_bundles(call, now, out);
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        for part in &mut state.parts {
            // No hedge was scheduled for the part while the request needed a canary.
            part.hedge_at = part.hedge_at.min(now + RECHECK_INTERVAL);
        }
        self.send_unsent_parts(call, now, out);
    }

    /// Sends the parts of a request that are open and not outstanding, as first attempts
    /// or as retries.
    pub(super) fn send_unsent_parts(
        &mut self,
        call: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        for part in 0..state.parts.len() {
            let is_unsent = self.calls.get(call).is_some_and(|state| {
                let part = &state.parts[part];
                part.is_open() && part.attempts.is_empty() && !part.is_queued
            });
            if !is_unsent {
                continue;
            }
            match self.attempt_cause(call, part) {
                AttemptCause::First => self.send_first_attempt(call, part, now, out),
                _ => self.retry_part(call, part, now, out),
            }
        }
        self.schedule_sweep(call, now);
    }
}
