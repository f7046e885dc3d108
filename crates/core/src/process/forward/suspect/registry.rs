//! All requests under which servers ended, in bounded memory.

use std::collections::HashMap;
use std::time::Duration;

use crate::process::forward::suspect::record::{ServerCrash, SuspectRecord, CRASHES_TO_QUARANTINE};
use crate::request::mark::{ContentFingerprint, RequestFingerprint};

/// Most requests that are remembered: some 150 bytes each, so that all are under
/// 1 MB, and go in one message.
const MOST_REQUESTS: usize = 4096;
/// Most callers of one content that are told apart.
const MOST_CALLERS: usize = 16;
/// Time after the last news of a request in which it is remembered.
const KEEP_TIME: Duration = Duration::from_secs(3600);
/// Time in which the entry that saw the ends puts the request on trial. After it
/// a request that ended enough servers is kept from all without one.
const TRIAL_TIME: Duration = Duration::from_millis(1500);
/// Time after all but one of the ends, all of them under trials, in which the last
/// trial is under way: a caller that comes again elsewhere is there before the
/// news of it.
const TRIAL_STEP: Duration = Duration::from_millis(120);
/// Servers that end under one content, asked by several callers, until it is
/// kept from all servers whoever asks.
const CONTENT_ENDS: usize = 4;

/// How a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectStatus {
    /// Nothing speaks against it.
    Clear,
    /// Servers ended under it: one server tries it before others get it.
    Suspect,
    /// Enough servers ended under it, and one entry is trying it: the others
    /// wait for what comes of that.
    CanaryRunning,
    /// No server gets it.
    Quarantined,
}

#[derive(Debug)]
struct KnownSuspect {
    record: SuspectRecord,
    /// When there was news of it.
    told_at: Duration,
}

/// The requests under which servers ended.
#[derive(Debug, Default)]
pub struct SuspectRegistry {
    contents: HashMap<ContentFingerprint, Vec<KnownSuspect>>,
    count: usize,
}

impl SuspectRegistry {
    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Tells whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Iterates over all that is remembered.
    pub fn records(&self) -> impl Iterator<Item = &SuspectRecord> {
        let known = self.contents.values().flatten();
        known.map(|known| &known.record)
    }

    /// Returns what is known of a request.
    pub fn record(&self, mark: RequestFingerprint) -> Option<&SuspectRecord> {
        Some(&self.find(mark)?.record)
    }

    /// Returns the number of requests that no server gets.
    pub fn count_quarantined(&self, now: Duration) -> usize {
        let records = self.records();
        let kept =
            records.filter(|record| self.status_of(record.mark, now) == SuspectStatus::Quarantined);
        kept.count()
    }

    /// Returns how a request stands.
    pub fn status_of(&self, mark: RequestFingerprint, now: Duration) -> SuspectStatus {
        let Some(alike) = self.contents.get(&mark.content) else {
            return SuspectStatus::Clear;
        };
        let own = alike.iter().find(|known| known.record.mark == mark);
        if let Some(known) = own.filter(|known| known.record.has_enough_crashes()) {
            let is_over = now >= known.told_at + TRIAL_TIME;
            return if known.record.has_failed_canaries() || is_over {
                SuspectStatus::Quarantined
            } else {
                SuspectStatus::CanaryRunning
            };
        }
        let is_being_tried = own.is_some_and(|known| {
            let is_last = known.record.ends.len() + 1 == CRASHES_TO_QUARANTINE;
            is_last && known.record.has_failed_canaries() && now < known.told_at + TRIAL_STEP
        });
        if is_being_tried {
            return SuspectStatus::CanaryRunning;
        }
        if is_content_at_fault(alike) {
            return SuspectStatus::Quarantined;
        }
        let has_ended = |known: &KnownSuspect| !known.record.ends.is_empty();
        let has_run = own.is_some_and(|known| known.record.round > 0);
        let by_others = alike.iter().any(|known| known.record.has_enough_crashes());
        if own.is_some_and(has_ended) || (by_others && !has_run) {
            return SuspectStatus::Suspect;
        }
        SuspectStatus::Clear
    }

    /// Takes note that a server broke off while it had a request. Returns what
    /// is known then, if that is news.
    pub fn note_end(
        &mut self,
        mark: RequestFingerprint,
        end: ServerCrash,
        now: Duration,
    ) -> Option<SuspectRecord> {
        let known = self.known(mark, now);
        if !known.record.add(end) {
            return None;
        }
        known.told_at = now;
        Some(known.record.clone())
    }

    /// Takes note that a server ran a request to an end. Returns what is known
    /// then, if that is news.
    pub fn note_run(&mut self, mark: RequestFingerprint, now: Duration) -> Option<SuspectRecord> {
        let alike = self.contents.get_mut(&mark.content)?;
        let own = alike.iter_mut().find(|known| known.record.mark == mark);
        let Some(known) = own else {
            // Another caller's request of the same content ended servers; this
            // one need not be tried again.
            let known = self.known(mark, now);
            known.record.clear();
            return Some(known.record.clone());
        };
        if known.record.ends.is_empty() {
            return None;
        }
        known.record.clear();
        known.told_at = now;
        Some(known.record.clone())
    }

    /// Takes over what another instance knows of a request. Returns whether
    /// that is news.
    pub fn merge(&mut self, record: &SuspectRecord, now: Duration) -> bool {
        let is_new = self.find(record.mark).is_none();
        let known = self.known(record.mark, now);
        let is_news = known.record.merge(record);
        if is_news {
            known.told_at = now;
        }
        is_news || is_new
    }

    fn find(&self, mark: RequestFingerprint) -> Option<&KnownSuspect> {
        let alike = self.contents.get(&mark.content)?;
        alike.iter().find(|known| known.record.mark == mark)
    }

    /// Returns what is known of a request, after making room for it if it is
    /// new.
    fn known(&mut self, mark: RequestFingerprint, now: Duration) -> &mut KnownSuspect {
        if self.find(mark).is_none() {
            self.make_room(mark.content, now);
            self.count += 1;
            let alike = self.contents.entry(mark.content).or_default();
            alike.push(KnownSuspect {
                record: SuspectRecord::new(mark),
                told_at: now,
            });
        }
        let alike = self.contents.entry(mark.content).or_default();
        let place = alike.iter().position(|known| known.record.mark == mark);
        &mut alike[place.unwrap_or(0)]
    }

    /// Forgets what is old, and what speaks least against anybody, until there
    /// is room for one more request.
    fn make_room(&mut self, content: ContentFingerprint, now: Duration) {
        if self.contents.get(&content).map_or(0, Vec::len) >= MOST_CALLERS {
            self.forget_least(Some(content));
        }
        if self.count < MOST_REQUESTS {
            return;
        }
        for alike in self.contents.values_mut() {
            alike.retain(|known| now < known.told_at + KEEP_TIME);
        }
        self.contents.retain(|_, alike| !alike.is_empty());
        self.count = self.contents.values().map(Vec::len).sum();
        if self.count >= MOST_REQUESTS {
            self.forget_least(None);
        }
    }

    /// Forgets the request with the fewest ends, and of these the one that was
    /// told longest ago; of one content, or of all.
    fn forget_least(&mut self, content: Option<ContentFingerprint>) {
        let contents = self.contents.iter();
        let contents = contents.filter(|(name, _)| content.is_none_or(|only| only == **name));
        let known = contents.flat_map(|(_, alike)| alike);
        let least = known.min_by_key(|known| (known.record.ends.len(), known.told_at));
        let Some(mark) = least.map(|known| known.record.mark) else {
            return;
        };
        if let Some(alike) = self.contents.get_mut(&mark.content) {
            alike.retain(|known| known.record.mark != mark);
            self.count -= 1;
            if alike.is_empty() {
                self.contents.remove(&mark.content);
            }
        }
    }
}

/// Tells whether servers end under a content whoever asks: under several callers
/// and under none of them has a server run it to an end.
fn is_content_at_fault(alike: &[KnownSuspect]) -> bool {
    let ended = alike.iter().filter(|known| !known.record.ends.is_empty());
    let callers = ended.clone().count();
    let ends: usize = ended.map(|known| known.record.ends.len()).sum();
    let has_run = alike.iter().any(|known| known.record.round > 0);
    callers > 1 && ends >= CONTENT_ENDS && !has_run
}
