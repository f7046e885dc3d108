//! Registry of all suspect requests, in bounded memory.
//!
//! [`SuspectRegistry`] holds one [`SuspectRecord`] for each request, grouped by the
//! request's content, and derives from the records whether a request may be sent.

use std::collections::HashMap;
use std::time::Duration;

use crate::process::forward::suspect::record::{
    ServerCrash, SuspectRecord, CANARY_CRASHES_TO_QUARANTINE, CRASHES_TO_QUARANTINE,
};
use crate::request::mark::{ContentFingerprint, RequestFingerprint};

/// Maximum number of requests in the registry. A record takes about 150 bytes, so that all
/// of them stay under 1 MB and fit into one message.
const MAX_REQUESTS: usize = 4096;
/// Maximum number of callers that are tracked for the same content.
const MAX_CALLERS_PER_CONTENT: usize = 16;
/// Time after the last change of a record for which it is kept.
const RETENTION: Duration = Duration::from_secs(3600);
/// Time allowed for the canary attempts of the entry that observed the crashes. After
/// this time a request with enough crashes is quarantined without canary attempts.
const CANARY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time from the last crash until the next trial of a quarantined request, by the number of
/// trials that failed. The last one applies to all further trials.
const TRIAL_DELAYS: [Duration; 4] = [
    Duration::from_secs(5),
    Duration::from_secs(120),
    Duration::from_secs(600),
    Duration::from_secs(3600),
];
/// Minimum time from the beginning of a trial until the next one, unless the trial has a result.
const MIN_TRIAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after a crash during which the last canary attempt is assumed to be running, if the
/// request is one crash short of a quarantine and its earlier canary attempts failed. A
/// caller that retries at another entry arrives there before the report of the last
/// attempt.
const LAST_CANARY_TIMEOUT: Duration = Duration::from_millis(120);
/// Number of servers that must crash under the same content, sent by several callers,
/// before the content is quarantined for all callers.
const CRASHES_TO_QUARANTINE_CONTENT: usize = 4;

/// Whether a request may be sent to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectStatus {
    /// The request may be sent: no crashes count against it.
    Clear,
    /// Servers crashed under the request: it is sent to one server as a canary attempt
    /// before others get it.
    Suspect,
    /// Enough servers crashed under the request for a quarantine, and one entry is making
    /// the canary attempts. The other entries refuse the request until these have ended.
    CanaryRunning,
    /// No server gets the request, until its next trial is due.
    Quarantined,
}

/// A suspect request in the registry.
#[derive(Debug)]
struct TrackedSuspect {
    record: SuspectRecord,
    /// When the record last changed.
    updated_at: Duration,
}

/// The requests under which servers crashed, by content.
#[derive(Debug, Default)]
pub struct SuspectRegistry {
    /// For each content, one entry for each caller that sent it.
    contents: HashMap<ContentFingerprint, Vec<TrackedSuspect>>,
    /// Number of requests in `contents`.
    count: usize,
    /// Contents of which this entry has begun a trial that has no result yet, and until when
    /// the result is awaited.
    trials: HashMap<ContentFingerprint, Duration>,
}

impl SuspectRegistry {
    /// Returns the number of requests in the registry.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether the registry holds no requests.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Iterates over all records.
    pub fn records(&self) -> impl Iterator<Item = &SuspectRecord> {
        let tracked = self.contents.values().flatten();
        tracked.map(|tracked| &tracked.record)
    }

    /// Returns the record of a request.
    pub fn record(&self, mark: RequestFingerprint) -> Option<&SuspectRecord> {
        Some(&self.find(mark)?.record)
    }

    /// Returns the number of quarantined requests.
    pub fn count_quarantined(&self, now: Duration) -> usize {
        let records = self.records();
        let quarantined =
            records.filter(|record| self.status_of(record.mark, now) == SuspectStatus::Quarantined);
        quarantined.count()
    }

    /// Returns whether a request may be sent to servers.
    pub fn status_of(&self, mark: RequestFingerprint, now: Duration) -> SuspectStatus {
        let Some(same_content) = self.contents.get(&mark.content) else {
            return SuspectStatus::Clear;
        };
        let same_request = same_content
            .iter()
            .find(|tracked| tracked.record.mark == mark);
        if let Some(tracked) = same_request.filter(|tracked| tracked.record.has_enough_crashes()) {
            let has_timed_out = now >= tracked.updated_at + CANARY_TIMEOUT;
            return if self.is_trial_running(mark, now) {
                SuspectStatus::CanaryRunning
            } else if tracked.record.has_failed_canaries() || has_timed_out {
                SuspectStatus::Quarantined
            } else {
                SuspectStatus::CanaryRunning
            };
        }
        let is_last_canary_running = same_request.is_some_and(|tracked| {
            let lacks_one = tracked.record.crash_count() + 1 == CRASHES_TO_QUARANTINE;
            lacks_one
                && tracked.record.has_failed_canaries()
                && now < tracked.updated_at + LAST_CANARY_TIMEOUT
        });
        if is_last_canary_running {
            return SuspectStatus::CanaryRunning;
        }
        if is_content_at_fault(same_content) {
            return if self.is_trial_running(mark, now) {
                SuspectStatus::CanaryRunning
            } else {
                SuspectStatus::Quarantined
            };
        }
        let has_crashes = |tracked: &TrackedSuspect| tracked.record.crash_count() > 0;
        let has_completed = same_request.is_some_and(|tracked| tracked.record.round > 0);
        let is_harmful_elsewhere = same_content
            .iter()
            .any(|tracked| tracked.record.has_enough_crashes());
        if same_request.is_some_and(has_crashes) || (is_harmful_elsewhere && !has_completed) {
            return SuspectStatus::Suspect;
        }
        SuspectStatus::Clear
    }

    /// Returns from when on a quarantined request may be sent to one server as a trial, or
    /// `None` if no crashes of its content are known.
    ///
    /// A quarantine without canary attempts is not based on evidence about the request alone:
    /// all servers of its service may have crashed for another reason, so that none was left
    /// for a canary attempt.
    pub fn next_trial_at(&self, mark: RequestFingerprint) -> Option<Duration> {
        let same_content = self.contents.get(&mark.content)?.iter();
        let crashed = same_content.filter(|tracked| tracked.record.crash_count() > 0);
        let crashed_at = crashed.clone().map(|tracked| tracked.updated_at).max()?;
        let canary_crashes = crashed.map(|tracked| tracked.record.canary_crash_count());
        let failed_trials = self.failed_trials(mark);
        let is_untried =
            failed_trials == 0 && canary_crashes.sum::<usize>() < CANARY_CRASHES_TO_QUARANTINE;
        let delay = if is_untried {
            CANARY_TIMEOUT
        } else {
            TRIAL_DELAYS[(failed_trials as usize).min(TRIAL_DELAYS.len() - 1)]
        };
        Some(crashed_at + delay)
    }

    /// Returns the number of failed trials of a request's content.
    pub fn failed_trials(&self, mark: RequestFingerprint) -> u32 {
        let same_content = self.contents.get(&mark.content).into_iter().flatten();
        let failed = same_content.map(|tracked| tracked.record.failed_trials());
        failed.max().unwrap_or(0)
    }

    /// Records that a trial of a request begins, which may last until `deadline`.
    pub fn begin_trial(&mut self, mark: RequestFingerprint, deadline: Duration, now: Duration) {
        self.trials.retain(|_, until| now < *until);
        let until = deadline.max(now + MIN_TRIAL_TIMEOUT);
        self.trials.insert(mark.content, until);
    }

    /// Records that no server ran the request of a trial: the trial may be repeated at once.
    pub fn withdraw_trial(&mut self, mark: RequestFingerprint) {
        self.trials.remove(&mark.content);
    }

    /// Records that the connection of a request's trial broke, although the server did not
    /// end. Returns the request's record if the record changed.
    pub fn record_broken_trial(
        &mut self,
        mark: RequestFingerprint,
        now: Duration,
    ) -> Option<SuspectRecord> {
        self.trials.remove(&mark.content);
        let failed_trials = self.failed_trials(mark) + 1;
        let tracked = self.find_or_insert(mark, now);
        if !tracked.record.raise_failed_trials(failed_trials) {
            return None;
        }
        tracked.updated_at = now;
        Some(tracked.record.clone())
    }

    /// Records that a server crashed while it was running a request, in a trial of the
    /// request if `is_trial` is set. Returns the request's record if the record changed.
    pub fn record_crash(
        &mut self,
        mark: RequestFingerprint,
        crash: ServerCrash,
        is_trial: bool,
        now: Duration,
    ) -> Option<SuspectRecord> {
        let failed_trials = self.failed_trials(mark) + u32::from(is_trial);
        if is_trial {
            self.trials.remove(&mark.content);
        }
        let tracked = self.find_or_insert(mark, now);
        let mut has_changed = tracked.record.add(crash);
        if is_trial {
            has_changed |= tracked.record.raise_failed_trials(failed_trials);
        }
        if !has_changed {
            return None;
        }
        tracked.updated_at = now;
        Some(tracked.record.clone())
    }

    /// Records that a server completed a request without a crash. Returns the request's
    /// record if the record changed.
    pub fn record_completion(
        &mut self,
        mark: RequestFingerprint,
        now: Duration,
    ) -> Option<SuspectRecord> {
        self.trials.remove(&mark.content);
        let same_content = self.contents.get_mut(&mark.content)?;
        let same_request = same_content
            .iter_mut()
            .find(|tracked| tracked.record.mark == mark);
        let Some(tracked) = same_request else {
            // Servers crashed under another caller's request with the same content. The
            // completion shows that this caller's request needs no further canary attempts.
            let tracked = self.find_or_insert(mark, now);
            tracked.record.start_round();
            return Some(tracked.record.clone());
        };
        if tracked.record.crash_count() == 0 {
            return None;
        }
        tracked.record.start_round();
        tracked.updated_at = now;
        Some(tracked.record.clone())
    }

    /// Merges a record received from another instance. Returns whether the registry
    /// changed.
    pub fn merge(&mut self, record: &SuspectRecord, now: Duration) -> bool {
        let is_new = self.find(record.mark).is_none();
        let tracked = self.find_or_insert(record.mark, now);
        let has_changed = tracked.record.merge(record);
        if has_changed {
            tracked.updated_at = now;
        }
        has_changed || is_new
    }

    fn is_trial_running(&self, mark: RequestFingerprint, now: Duration) -> bool {
        let until = self.trials.get(&mark.content);
        until.is_some_and(|until| now < *until)
    }

    fn find(&self, mark: RequestFingerprint) -> Option<&TrackedSuspect> {
        let same_content = self.contents.get(&mark.content)?;
        same_content
            .iter()
            .find(|tracked| tracked.record.mark == mark)
    }

    /// Returns the registry's entry for a request. Inserts an empty one if there is none,
    /// after evicting another if the registry is full.
    fn find_or_insert(&mut self, mark: RequestFingerprint, now: Duration) -> &mut TrackedSuspect {
        if self.find(mark).is_none() {
            self.evict_if_full(mark.content, now);
            self.count += 1;
            let same_content = self.contents.entry(mark.content).or_default();
            same_content.push(TrackedSuspect {
                record: SuspectRecord::new(mark),
                updated_at: now,
            });
        }
        let same_content = self.contents.entry(mark.content).or_default();
        let index = same_content
            .iter()
            .position(|tracked| tracked.record.mark == mark);
        &mut same_content[index.unwrap_or(0)]
    }

    /// Evicts requests until there is capacity for one more with this content: first the
    /// expired ones, then the one with the fewest crashes.
    fn evict_if_full(&mut self, content: ContentFingerprint, now: Duration) {
        if self.contents.get(&content).map_or(0, Vec::len) >= MAX_CALLERS_PER_CONTENT {
            self.evict_least_harmful(Some(content));
        }
        if self.count < MAX_REQUESTS {
            return;
        }
        for same_content in self.contents.values_mut() {
            same_content.retain(|tracked| now < tracked.updated_at + RETENTION);
        }
        self.contents
            .retain(|_, same_content| !same_content.is_empty());
        self.count = self.contents.values().map(Vec::len).sum();
        if self.count >= MAX_REQUESTS {
            self.evict_least_harmful(None);
        }
    }

    /// Evicts the request with the fewest crashes, and among several the one that was
    /// updated longest ago. Considers only requests with this content if one is given.
    fn evict_least_harmful(&mut self, content: Option<ContentFingerprint>) {
        let contents = self.contents.iter();
        let contents = contents.filter(|(key, _)| content.is_none_or(|only| only == **key));
        let tracked = contents.flat_map(|(_, same_content)| same_content);
        let least =
            tracked.min_by_key(|tracked| (tracked.record.crash_count(), tracked.updated_at));
        let Some(mark) = least.map(|tracked| tracked.record.mark) else {
            return;
        };
        if let Some(same_content) = self.contents.get_mut(&mark.content) {
            same_content.retain(|tracked| tracked.record.mark != mark);
            self.count -= 1;
            if same_content.is_empty() {
                self.contents.remove(&mark.content);
            }
        }
    }
}

/// Returns whether servers crash under a content whoever sends it: they crashed for several
/// callers, and no server completed the content for any caller.
fn is_content_at_fault(same_content: &[TrackedSuspect]) -> bool {
    let crashed = same_content
        .iter()
        .filter(|tracked| tracked.record.crash_count() > 0);
    let callers = crashed.clone().count();
    let crashes: usize = crashed.map(|tracked| tracked.record.crash_count()).sum();
    let has_completed = same_content.iter().any(|tracked| tracked.record.round > 0);
    callers > 1 && crashes >= CRASHES_TO_QUARANTINE_CONTENT && !has_completed
}
