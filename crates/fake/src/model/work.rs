//! What happens at the servers of a play: requests come, wait, are worked off or
//! dropped.

use std::time::Duration;

use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use wheelmast_core::arena::SlotKey;
use wheelmast_core::process::forward::input::AttemptResult;

use crate::model::event::PlayEvent;
use crate::model::play::PlayState;
use crate::model::server::JobKey;
use crate::model::told::{rejection, success, DOMAINS};

impl PlayState<'_> {
    pub(super) fn reach(&mut self, job: JobKey) {
        let place = self.jobs[job].server;
        if self.servers[place].is_down(self.now) {
            self.jobs[job].is_over = true;
            let back = self.jobs[job].way;
            return self.plan_end(job, back, AttemptResult::Broken);
        }
        let is_cut = self.entries[self.jobs[job].entry].is_cut(self.now);
        if is_cut || self.jobs[job].is_closed || self.servers[place].is_dark(self.now) {
            return;
        }
        self.tally.arrivals += 1;
        self.note_arrival(job);
        let shard = place / DOMAINS.len();
        let sent = self.sent.entry((self.jobs[job].call, shard)).or_default();
        *sent += 1;
        if *sent > 1 {
            self.tally.extras += 1;
            self.bound.extra(shard, self.now);
        }
        let sheds = self.servers[place].sheds(self.now);
        let is_shed = sheds > 0.0 && self.rng.random_bool(sheds);
        if is_shed || !(self.servers[place].has_slot() || self.servers[place].has_room()) {
            self.jobs[job].is_over = true;
            let load = self.servers[place].load();
            let back = self.jobs[job].way;
            return self.plan_end(job, back, rejection(load));
        }
        if self.servers[place].has_slot() {
            return self.begin_work(job);
        }
        self.servers[place].queue.push_back(job);
    }

    fn begin_work(&mut self, job: JobKey) {
        let state = &mut self.jobs[job];
        state.begun = Some(self.now);
        if let Some((_, ran)) = self.tries.get_mut(&state.call) {
            *ran = true;
        }
        let shard = state.server / DOMAINS.len();
        *self.runs.entry((state.call, shard)).or_default() += 1;
        let server = &mut self.servers[state.server];
        server.running += 1;
        let mean = self.spec.kinds[state.kind].work.as_secs_f64();
        let slowness = server.slowness(self.now);
        let spread = self.spec.work_spread;
        // The mean of the distribution is one.
        let factor = LogNormal::new(-spread * spread / 2.0, spread)
            .map_or(1.0, |factor| factor.sample(&mut self.rng));
        let work = Duration::from_secs_f64(mean * slowness * factor);
        if self.plan_crash(job) {
            return;
        }
        let takes = self.servers[self.jobs[job].server].with_pauses(work, self.now);
        self.events
            .push(self.now + takes, PlayEvent::Finish { job });
    }

    pub(super) fn finish_job(&mut self, job: JobKey) {
        if self.jobs[job].is_over {
            return;
        }
        self.leave_slot(job);
        let state = &self.jobs[job];
        let (place, back, is_closed) = (state.server, state.way, state.is_closed);
        let load = self.servers[place].load();
        let id = self.servers[place].id.clone();
        let loses = self.servers[place].loses(self.now);
        let is_lost = loses > 0.0 && self.rng.random_bool(loses);
        if !is_closed && !self.servers[place].is_dark(self.now) {
            let end = if is_lost {
                AttemptResult::Broken
            } else {
                success(&id, load)
            };
            self.plan_end(job, back, end);
        }
        self.next_job(place);
    }

    /// Frees a job's slot and counts the time that it was taken.
    pub(super) fn leave_slot(&mut self, job: JobKey) {
        let state = &mut self.jobs[job];
        state.is_over = true;
        self.servers[state.server].running -= 1;
        let took = self.now - state.begun.unwrap_or(self.now);
        self.tally.busy += took;
        if self.tries.contains_key(&state.call) {
            *self.work.entry(state.call).or_default() += took;
        } else {
            self.tally.wasted += took;
        }
    }

    fn next_job(&mut self, place: usize) {
        while self.servers[place].has_slot() {
            let Some(job) = self.servers[place].queue.pop_front() else {
                return;
            };
            if !self.jobs[job].is_closed {
                self.begin_work(job);
            }
        }
    }

    /// Closes an attempt's connection: its server drops it.
    pub(super) fn cancel(&mut self, entry: usize, attempt: SlotKey) {
        let Some((job, _)) = self.entries[entry].jobs.get(&attempt).copied() else {
            return self.cancel_relay(entry, attempt);
        };
        self.jobs[job].is_closed = true;
        if self.jobs[job].begun.is_some() && !self.jobs[job].is_over {
            self.leave_slot(job);
            let place = self.jobs[job].server;
            self.next_job(place);
        }
        self.plan_end(job, Duration::ZERO, AttemptResult::Broken);
    }
}
