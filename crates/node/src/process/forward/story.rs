//! What was decided about each request, for the log.
//!
//! Lines of a request are kept until it ends. A plain success is told in full
//! only now and then; whatever was not plain always is.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use wheelmast_core::process::forward::answer::{AttemptCause, ForwardDecision, ForwardEvent};
use wheelmast_core::process::input::CallTag;

use crate::process::forward::measure::EntryMeasures;

/// One in so many partial or late gathered answers is told in full; the others
/// tell their end.
const PARTIAL_EVERY: u64 = 10;
/// Lines kept of a request.
const KEPT_LINES: usize = 160;
/// Lines told in a second, at most.
const LINES_PER_SECOND: f64 = 400.0;
/// Lines on servers that broke off, in a second, at most: apart from the
/// others, which are most when servers end.
const BROKEN_PER_SECOND: f64 = 40.0;

#[derive(Debug, Default)]
struct RequestStory {
    id: Box<str>,
    decisions: Vec<(Duration, ForwardDecision)>,
    is_plain: bool,
}

impl RequestStory {
    /// Tells whether it ended with parts: all of them but late, or not all.
    fn is_gathered(&self) -> bool {
        matches!(
            self.decisions.last(),
            Some((_, ForwardDecision::End { outcome, .. })) if ["partial", "whole"].contains(outcome)
        )
    }

    /// Tells whether another entry asked for it.
    fn is_relayed(&self) -> bool {
        let first = self.decisions.first();
        matches!(
            first,
            Some((_, ForwardDecision::Admit { relayed: true, .. }))
        )
    }

    /// Returns what the story is about.
    fn subject(&self) -> StorySubject {
        let mut subject = StorySubject::default();
        if self.is_plain {
            return subject;
        }
        for (_, decision) in &self.decisions {
            match decision {
                ForwardDecision::End { left_out, .. } => subject.left_out.clone_from(left_out),
                ForwardDecision::Slow { service, .. }
                | ForwardDecision::Lost { service, .. }
                | ForwardDecision::Reroute { service, .. }
                | ForwardDecision::Abandon { service, .. } => {
                    subject.services.push(service.clone());
                }
                _ => {}
            }
        }
        subject.services.extend(subject.left_out.iter().cloned());
        subject
    }

    /// Drops all but the end, which names what was left out.
    fn keep_end(&mut self) {
        let last = self.decisions.len().saturating_sub(1);
        self.decisions.drain(..last);
    }
}

/// The services that a story is about.
#[derive(Debug, Default)]
struct StorySubject {
    /// Those left out of the answer.
    left_out: Vec<Arc<str>>,
    /// These, and those with an attempt that was slow, lost or abandoned.
    /// Empty for all.
    services: Vec<Arc<str>>,
}

impl StorySubject {
    /// Tells whether a decision says something about it: first sends to the
    /// others do not, nor that an attempt for what was left out is abandoned.
    fn concerns(&self, decision: &ForwardDecision) -> bool {
        match decision {
            ForwardDecision::Send { service, cause, .. } if *cause == AttemptCause::First => {
                self.services.is_empty() || self.services.contains(service)
            }
            ForwardDecision::Abandon { service, .. } => !self.left_out.contains(service),
            _ => true,
        }
    }
}

/// The stories of the requests at work.
#[derive(Debug)]
pub struct StoryBook {
    /// The metrics of the requests that ended.
    pub measures: EntryMeasures,
    stories: HashMap<CallTag, RequestStory>,
    /// One in so many plain successes is told in full.
    plain_every: u32,
    plain: u64,
    partial: u64,
    stories_left: LineAllowance,
    broken_left: LineAllowance,
    dropped: u64,
    dropped_ever: u64,
}

impl StoryBook {
    /// Returns a book that tells one in `plain_every` plain successes.
    pub fn new(plain_every: u32) -> StoryBook {
        StoryBook {
            measures: EntryMeasures::default(),
            stories: HashMap::new(),
            plain_every: plain_every.max(1),
            plain: 0,
            partial: 0,
            stories_left: LineAllowance::new(LINES_PER_SECOND),
            broken_left: LineAllowance::new(BROKEN_PER_SECOND),
            dropped: 0,
            dropped_ever: 0,
        }
    }

    /// Begins the story of a request.
    pub fn begin(&mut self, call: CallTag, id: &str) {
        let story = RequestStory {
            id: id.into(),
            decisions: Vec::with_capacity(24),
            is_plain: true,
        };
        self.stories.insert(call, story);
    }

    /// Takes a decision.
    pub fn take(&mut self, event: ForwardEvent) {
        if matches!(event.decision, ForwardDecision::ServerBrokeOff { .. }) {
            return self.tell_broken(&event);
        }
        let Some(story) = self.stories.get_mut(&event.call) else {
            return;
        };
        let is_end = matches!(event.decision, ForwardDecision::End { .. });
        story.is_plain &= is_plain(&event.decision);
        if story.decisions.len() < KEPT_LINES || is_end {
            story.decisions.push((event.at, event.decision));
        }
        if is_end {
            self.end(event.call, event.at);
        }
    }

    /// Returns the number of lines that were not told.
    pub fn lines_dropped(&self) -> u64 {
        self.dropped_ever
    }

    fn measure(&mut self, decisions: &[(Duration, ForwardDecision)]) {
        let route = match decisions.first() {
            Some((_, ForwardDecision::Admit { route, .. })) => route,
            _ => "none",
        };
        if let Some((_, ForwardDecision::End { outcome, after, .. })) = decisions.last() {
            self.measures.ended(route, outcome, *after);
        }
    }

    fn end(&mut self, call: CallTag, now: Duration) {
        let Some(mut story) = self.stories.remove(&call) else {
            return;
        };
        self.measure(&story.decisions);
        if story.is_plain {
            self.plain += 1;
            if !self.plain.is_multiple_of(u64::from(self.plain_every)) {
                return;
            }
        }
        if !story.is_plain && story.is_gathered() {
            self.partial += 1;
            if self.partial % PARTIAL_EVERY != 1 {
                if story.is_relayed() {
                    // The entry that asked tells what is left out.
                    return;
                }
                story.keep_end();
            }
        }
        if !self.stories_left.take(story.decisions.len(), now) {
            self.dropped += story.decisions.len() as u64;
            self.dropped_ever += story.decisions.len() as u64;
            return;
        }
        let dropped = std::mem::take(&mut self.dropped);
        if dropped > 0 {
            tracing::warn!(target: "entry", lines = dropped, "log: lines dropped");
        }
        // Lines are written when a request ends; each says how long after its
        // arrival the decision was made.
        let arrived = story
            .decisions
            .first()
            .map_or(Duration::ZERO, |(at, _)| *at);
        let subject = story.subject();
        for (at, decision) in &story.decisions {
            if subject.concerns(decision) {
                tell(&story.id, millis(*at - arrived), decision);
            }
        }
    }

    /// Tells at once that a server broke off: the story may be told late, or not
    /// at all.
    fn tell_broken(&mut self, event: &ForwardEvent) {
        if !self.broken_left.take(1, event.at) {
            self.dropped += 1;
            self.dropped_ever += 1;
            return;
        }
        let story = self.stories.get(&event.call);
        tell(story.map_or("", |story| &story.id), 0.0, &event.decision);
    }
}

/// Lines that may be told: as many as come in a second, and no more at once.
#[derive(Debug)]
struct LineAllowance {
    per_second: f64,
    left: f64,
    /// When it was last asked.
    at: Duration,
}

impl LineAllowance {
    fn new(per_second: f64) -> LineAllowance {
        LineAllowance {
            per_second,
            left: per_second,
            at: Duration::ZERO,
        }
    }

    /// Takes so many lines out, if they are there.
    fn take(&mut self, lines: usize, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        self.left = (self.left + elapsed * self.per_second).min(self.per_second);
        if self.left < lines as f64 {
            return false;
        }
        self.left -= lines as f64;
        true
    }
}

fn is_plain(decision: &ForwardDecision) -> bool {
    match decision {
        ForwardDecision::Admit { .. } => true,
        ForwardDecision::Send { cause, .. } => *cause != AttemptCause::Retry,
        ForwardDecision::End { outcome, late, .. } => {
            !late && matches!(*outcome, "whole" | "served")
        }
        ForwardDecision::Slow { .. } | ForwardDecision::Abandon { .. } => true,
        ForwardDecision::Lost { .. }
        | ForwardDecision::ServerBrokeOff { .. }
        | ForwardDecision::OmitShards { .. }
        | ForwardDecision::Reroute { .. }
        | ForwardDecision::NoServer { .. }
        | ForwardDecision::BudgetSpent { .. } => false,
    }
}

fn tell(request: &str, at_ms: f64, decision: &ForwardDecision) {
    match decision {
        ForwardDecision::Admit {
            route,
            version,
            time_left,
            mark,
            relayed,
        } => {
            let time_left_ms = millis(*time_left);
            tracing::info!(target: "entry", request, at_ms, %route, table_version = version, time_left_ms, %mark, relayed, "route: admitted");
        }
        ForwardDecision::Send {
            service,
            instance,
            cause,
            place,
            expected,
            candidates,
            outstanding,
        } => {
            let expected_ms = millis(*expected);
            let (cause, place) = (cause_word(*cause), place.label());
            tracing::info!(target: "entry", request, at_ms, %service, server = %instance, cause, place, expected_ms, candidates, outstanding, "route: sent");
        }
        ForwardDecision::Lost {
            service,
            instance,
            reason,
            after,
        } => {
            let after_ms = millis(*after);
            tracing::info!(target: "entry", request, at_ms, %service, server = %instance, reason, after_ms, "route: attempt lost");
        }
        ForwardDecision::ServerBrokeOff {
            mark,
            service,
            instance,
            after,
            beside,
        } => {
            let after_ms = millis(*after);
            tracing::warn!(target: "entry", request, %mark, %service, server = %instance, after_ms, beside, "route: server broke off");
        }
        ForwardDecision::OmitShards { services } => {
            let services = services.join(", ");
            tracing::info!(target: "entry", request, at_ms, services, "route: shards not asked");
        }
        ForwardDecision::Reroute {
            service,
            instance,
            after,
            parts,
        } => {
            let after_ms = millis(*after);
            tracing::info!(target: "entry", request, at_ms, %service, server = %instance, after_ms, parts, "route: late entry asked around");
        }
        ForwardDecision::NoServer { service, servers } => {
            tracing::info!(target: "entry", request, at_ms, %service, servers, "route: no server to ask");
        }
        ForwardDecision::BudgetSpent { service } => {
            tracing::info!(target: "entry", request, at_ms, %service, "route: repeat not affordable");
        }
        ForwardDecision::End {
            outcome,
            parts,
            missing,
            left_out,
            after,
            sends,
            late,
        } => {
            let left_out = left_out.join(", ");
            let after_ms = millis(*after);
            tracing::info!(target: "entry", request, at_ms, outcome, late, parts, missing, left_out, after_ms, sends, "route: ended");
        }
        ForwardDecision::Slow {
            service,
            instance,
            after,
            load,
        } => {
            let after_ms = millis(*after);
            let (running, waiting) = load.map_or((None, None), |load| {
                (Some(load.running), Some(load.waiting))
            });
            tracing::info!(target: "entry", request, at_ms, %service, server = %instance, after_ms, running, waiting, "route: slow answer");
        }
        ForwardDecision::Abandon {
            service,
            instance,
            after,
            closes_in,
        } => {
            let (after_ms, closes_in_ms) = (millis(*after), millis(*closes_in));
            tracing::info!(target: "entry", request, at_ms, %service, server = %instance, after_ms, closes_in_ms, "route: attempt abandoned");
        }
    }
}

fn cause_word(cause: AttemptCause) -> &'static str {
    match cause {
        AttemptCause::First => "first",
        AttemptCause::Retry => "retry",
        AttemptCause::Hedge => "hedge",
        AttemptCause::Relay => "relay",
    }
}

fn millis(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e4).round() / 10.0
}
