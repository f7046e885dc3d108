//! Requests that end the servers which run them, in a play.

use std::time::Duration;

use rand::Rng;
use wheelmast_core::process::forward::answer::ForwardFailure;
use wheelmast_core::process::forward::directory::ServerAnnouncement;
use wheelmast_core::process::forward::input::{AttemptResult, EntryPeer, ForwardInput};
use wheelmast_core::process::forward::roll::select_known_peers;
use wheelmast_core::process::forward::suspect::record::SuspectRecord;
use wheelmast_core::request::mark::{CallerFingerprint, ContentFingerprint, RequestFingerprint};

use crate::model::caller::ModelCaller;
use crate::model::event::PlayEvent;
use crate::model::play::PlayState;
use crate::model::server::JobKey;
use crate::model::told::{notice_of, peers_of};

/// Where the marks of these requests begin: no other has such a one.
const FIRST_MARK: u128 = 1 << 100;
/// Time after the third end in which all entries should have heard.
const SPREAD_TIME: Duration = Duration::from_secs(4);
/// Servers that end before it counts.
const FREE_ENDS: usize = 3;

impl PlayState<'_> {
    /// Lets these requests come, each at several entries at once.
    pub(super) fn deadly_comes(&mut self, turn: usize) {
        let Some(spec) = &self.spec.deadly else {
            return;
        };
        let which = turn % spec.count.max(1);
        let caller = (turn / spec.count.max(1)) % spec.callers.max(1);
        let mark = RequestFingerprint {
            content: ContentFingerprint(FIRST_MARK + which as u128),
            caller: CallerFingerprint(caller as u64),
        };
        let limit = self.spec.kinds[spec.kind].limit;
        let able: Vec<usize> = (0..self.entries.len())
            .filter(|entry| !self.entries[*entry].is_cut(self.now))
            .collect();
        if let Some(muted) = spec.muted.filter(|_| turn == 1) {
            // By now the others have heard that it is lost.
            self.lose_peer(muted);
        }
        let Some(spec) = &self.spec.deadly else {
            return;
        };
        let first = self.rng.random_range(0..able.len());
        for number in 0..spec.entries {
            let mut state = ModelCaller::new(spec.kind, mark, self.now, limit);
            state.deadly = Some(which);
            self.callers.push(state);
            let mut entry = able[(first + number) % able.len()];
            if let Some(muted) = spec.muted {
                let others = able.iter().filter(|other| **other != muted);
                let others: Vec<usize> = others.copied().collect();
                entry = others[(first + number) % others.len()];
                if turn == 0 {
                    entry = muted;
                }
            }
            self.try_at(self.callers.len() - 1, entry);
        }
    }

    /// Tells all entries but one that this one is no longer there.
    fn lose_peer(&mut self, lost: usize) {
        let peers = peers_of(self.spec);
        let gone = peers[lost].id();
        let others: Vec<EntryPeer> = peers
            .iter()
            .filter(|peer| peer.id() != gone)
            .cloned()
            .collect();
        for entry in (0..peers.len()).filter(|entry| *entry != lost) {
            let view = select_known_peers(&peers[entry], &others)
                .into_iter()
                .cloned()
                .collect();
            self.step(entry, ForwardInput::Peers(view));
        }
    }

    /// Returns which of these requests a job is of, if it is of one.
    fn deadly_of(&self, job: JobKey) -> Option<usize> {
        let (caller, _) = self.tries.get(&self.jobs[job].call)?;
        self.callers[*caller].deadly
    }

    pub(super) fn note_arrival(&mut self, job: JobKey) {
        if let Some(which) = self.deadly_of(job) {
            self.deadly.entry(which).or_default().push(self.now);
        }
    }

    /// Plans that a server ends under a job that it has begun, if it will.
    pub(super) fn plan_crash(&mut self, job: JobKey) -> bool {
        let Some(spec) = &self.spec.deadly else {
            return false;
        };
        let Some(which) = self.deadly_of(job) else {
            return false;
        };
        self.jobs[job].deadly = Some(which);
        let after = spec.after.mul_f64(0.5 + self.rng.random::<f64>());
        self.events.push(self.now + after, PlayEvent::Crash { job });
        true
    }

    /// Ends a server under a job, unless its connection was closed before: all
    /// that it has breaks off.
    pub(super) fn crash(&mut self, job: JobKey) {
        let Some(spec) = &self.spec.deadly else {
            return;
        };
        let place = self.jobs[job].server;
        if self.jobs[job].is_over {
            return;
        }
        if let Some(which) = self.jobs[job].deadly {
            self.crashes.entry(which).or_default().push(self.now);
        }
        self.tally.ends += 1;
        self.servers[place].down_until = self.now + spec.down;
        let lost = (0..self.jobs.len()).filter(|other| {
            let state = &self.jobs[*other];
            let is_there = state.begun.is_some() || self.servers[place].queue.contains(other);
            state.server == place && !state.is_over && is_there
        });
        for other in lost.collect::<Vec<JobKey>>() {
            if self.jobs[other].begun.is_some() {
                self.leave_slot(other);
            }
            self.jobs[other].is_over = true;
            if !self.jobs[other].is_closed {
                let back = self.jobs[other].way;
                self.plan_end(other, back, AttemptResult::Broken);
            }
        }
        self.servers[place].queue.clear();
        self.close_idle_of(place);
        let back_at = self.servers[place].down_until;
        self.events
            .push(back_at, PlayEvent::Revive { server: place });
    }

    /// Lets a server begin another lifetime, of which all entries hear.
    pub(super) fn revive(&mut self, server: usize) {
        let former = ServerAnnouncement::gone(&self.servers[server].id, 0);
        self.servers[server].begin_life();
        let id = self.servers[server].id.as_str().into();
        self.server_places.insert(id, server);
        let notice = notice_of(server, &self.servers[server], self.spec.slots);
        for entry in 0..self.entries.len() {
            self.step(entry, ForwardInput::Announcement(former.clone()));
            self.step(entry, ForwardInput::Announcement(notice.clone()));
        }
    }

    /// Passes on what an entry knows of a request under which servers ended.
    pub(super) fn tell_suspect(&mut self, teller: usize, record: SuspectRecord) {
        self.tally.suspect_reports += 1;
        let muted = self.spec.deadly.as_ref().and_then(|spec| spec.muted);
        if muted == Some(teller) {
            return;
        }
        // One that is cut off tells when it no longer is.
        let cuts = self.entries[teller].cuts.iter();
        let mut cuts = cuts.filter(|(from, until)| (*from..*until).contains(&self.now));
        let told_at = cuts.next().map_or(self.now, |(_, until)| *until);
        let others = (0..self.entries.len()).filter(|entry| *entry != teller);
        for entry in others.filter(|entry| muted != Some(*entry)) {
            let is_near = self.entries[entry].domain == self.entries[teller].domain;
            let way = if is_near {
                self.spec.near_way
            } else {
                self.spec.far_way / 2
            };
            let records = vec![record.clone()];
            let event = PlayEvent::Suspects { entry, records };
            self.events.push(told_at + way, event);
        }
    }

    /// Tells an entry, or keeps it for the time when it is no longer cut off.
    pub(super) fn hear_suspects(&mut self, entry: usize, records: Vec<SuspectRecord>) {
        let cuts = self.entries[entry].cuts.iter();
        let mut cuts = cuts.filter(|(from, until)| (*from..*until).contains(&self.now));
        if let Some((_, until)) = cuts.next().copied() {
            let event = PlayEvent::Suspects { entry, records };
            return self.events.push(until, event);
        }
        self.step(entry, ForwardInput::Suspects(records));
    }

    /// Takes note of a harmless request that was kept from servers.
    pub(super) fn note_barred(&mut self, caller: usize, failure: ForwardFailure) {
        let state = &self.callers[caller];
        let is_last = state.tries_left == 0;
        if state.deadly.is_none() && failure.is_suspect_refusal() && is_last {
            self.tally.mistaken += 1;
        }
    }

    /// Returns how often one of these requests came to servers later than all
    /// should know it, at most.
    pub(super) fn count_late(&self) -> u32 {
        let late = self.crashes.iter().map(|(which, crashes)| {
            let third = crashes.get(FREE_ENDS - 1);
            let known = third.map_or(Duration::MAX, |third| *third + SPREAD_TIME);
            let arrivals = self.deadly.get(which).into_iter().flatten();
            arrivals.filter(|at| **at > known).count() as u32
        });
        late.max().unwrap_or(0)
    }
}
