//! Log of the decisions about each request.
//!
//! The decisions about a request are buffered and written when the request ends.
//! Requests that succeed without incident are logged only at a sampled rate, others
//! whenever possible. Rate limits bound the number of lines per second.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use wheelmast_core::process::forward::answer::{AttemptCause, ForwardDecision, ForwardEvent};
use wheelmast_core::process::input::CallTag;

use crate::process::forward::measure::EntryMetrics;
use crate::process::forward::share_log::summary_age_ms;

/// One in this many partial or late merged answers is logged in full; for the others
/// only the final line is written, or none if another entry relayed the request.
const PARTIAL_LOG_INTERVAL: u64 = 10;
/// Maximum number of decisions buffered for a request, besides the last.
const MAX_LINES_PER_REQUEST: usize = 160;
/// Maximum number of log lines per second for ended requests.
const MAX_LINES_PER_SECOND: f64 = 400.0;
/// Maximum number of log lines per second about servers whose connection broke or was
/// reset over a limit. They have a limit of their own, because the other lines are most
/// numerous when servers crash.
const MAX_BROKEN_LINES_PER_SECOND: f64 = 40.0;

/// Buffered decisions about one request.
#[derive(Debug, Default)]
struct RequestLog {
    id: Box<str>,
    decisions: Vec<(Duration, ForwardDecision)>,
    /// Whether all decisions so far are normal for a request without incident.
    is_routine: bool,
}

impl RequestLog {
    /// Returns whether the request was answered with the merged parts of several
    /// shards, of all shards or of only some.
    fn is_merged_answer(&self) -> bool {
        matches!(
            self.decisions.last(),
            Some((_, ForwardDecision::End { outcome, .. })) if ["partial", "whole"].contains(outcome)
        )
    }

    /// Returns whether another entry relayed the request here.
    fn is_relayed(&self) -> bool {
        let first = self.decisions.first();
        matches!(
            first,
            Some((_, ForwardDecision::Admit { relayed: true, .. }))
        )
    }

    /// Returns the services that the log lines of the request are limited to.
    fn relevant_services(&self) -> RelevantServices {
        let mut relevant = RelevantServices::default();
        if self.is_routine {
            return relevant;
        }
        for (_, decision) in &self.decisions {
            match decision {
                ForwardDecision::End { left_out, .. } => relevant.omitted.clone_from(left_out),
                ForwardDecision::Slow { service, .. }
                | ForwardDecision::Lost { service, .. }
                | ForwardDecision::Reroute { service, .. }
                | ForwardDecision::Abandon { service, .. } => {
                    relevant.services.push(service.clone());
                }
                _ => {}
            }
        }
        relevant.services.extend(relevant.omitted.iter().cloned());
        relevant
    }

    /// Drops all decisions but the last, which names the omitted shards.
    fn drop_all_but_end(&mut self) {
        let last = self.decisions.len().saturating_sub(1);
        self.decisions.drain(..last);
    }
}

/// Services that the log lines of a request are limited to.
#[derive(Debug, Default)]
struct RelevantServices {
    /// Services of the shards omitted from the answer.
    omitted: Vec<Arc<str>>,
    /// The omitted services, and the services with an attempt that was slow, lost,
    /// rerouted or abandoned. Empty if the lines are not limited.
    services: Vec<Arc<str>>,
}

impl RelevantServices {
    /// Returns whether a decision is to be logged. First sends to other services are
    /// not, nor is the abandonment of attempts for omitted shards.
    fn is_relevant(&self, decision: &ForwardDecision) -> bool {
        match decision {
            ForwardDecision::Send { service, cause, .. } if *cause == AttemptCause::First => {
                self.services.is_empty() || self.services.contains(service)
            }
            ForwardDecision::Abandon { service, .. } => !self.omitted.contains(service),
            _ => true,
        }
    }
}

/// Writes the decisions about requests to the log, and keeps the metrics of ended
/// requests.
#[derive(Debug)]
pub struct DecisionLog {
    /// Metrics of the ended requests.
    pub metrics: EntryMetrics,
    /// Buffered decisions of the requests in flight.
    requests: HashMap<CallTag, RequestLog>,
    /// One in this many requests that succeed without incident is logged in full.
    routine_log_interval: u32,
    /// Number of requests that succeeded without incident.
    routine_count: u64,
    /// Number of partial or late merged answers.
    partial_count: u64,
    /// Limit of the lines about ended requests.
    request_lines_limit: LineRateLimit,
    /// Limit of the lines that are logged at once.
    broken_lines_limit: LineRateLimit,
    /// Lines dropped by the rate limits since the log last reported them.
    unreported_dropped: u64,
    /// Lines dropped by the rate limits since the start.
    dropped_total: u64,
}

impl DecisionLog {
    /// Returns a log that writes one in `routine_log_interval` requests that succeed
    /// without incident.
    pub fn new(routine_log_interval: u32) -> DecisionLog {
        DecisionLog {
            metrics: EntryMetrics::default(),
            requests: HashMap::new(),
            routine_log_interval: routine_log_interval.max(1),
            routine_count: 0,
            partial_count: 0,
            request_lines_limit: LineRateLimit::new(MAX_LINES_PER_SECOND),
            broken_lines_limit: LineRateLimit::new(MAX_BROKEN_LINES_PER_SECOND),
            unreported_dropped: 0,
            dropped_total: 0,
        }
    }

    /// Starts to buffer the decisions about a request.
    pub fn begin_request(&mut self, call: CallTag, id: &str) {
        let request_log = RequestLog {
            id: id.into(),
            decisions: Vec::with_capacity(24),
            is_routine: true,
        };
        self.requests.insert(call, request_log);
    }

    /// Records a decision, and writes the request's lines if the request has ended.
    pub fn record(&mut self, event: ForwardEvent) {
        if let ForwardDecision::BreakVerdict { verdict, after, .. } = &event.decision {
            self.metrics.record_break_verdict(verdict.label(), *after);
        }
        if is_logged_at_once(&event.decision) {
            return self.log_at_once(&event);
        }
        let Some(request_log) = self.requests.get_mut(&event.call) else {
            return;
        };
        let is_end = matches!(event.decision, ForwardDecision::End { .. });
        request_log.is_routine &= is_routine(&event.decision);
        if request_log.decisions.len() < MAX_LINES_PER_REQUEST || is_end {
            request_log.decisions.push((event.at, event.decision));
        }
        if is_end {
            self.end_request(event.call, event.at);
        }
    }

    /// Returns the number of lines that the rate limits dropped since the start.
    pub fn lines_dropped(&self) -> u64 {
        self.dropped_total
    }

    /// Records the outcome and answer time of an ended request in the metrics.
    fn record_metrics(&mut self, decisions: &[(Duration, ForwardDecision)]) {
        let route = match decisions.first() {
            Some((_, ForwardDecision::Admit { route, .. })) => route,
            _ => "none",
        };
        if let Some((_, ForwardDecision::End { outcome, after, .. })) = decisions.last() {
            self.metrics.record_answer(route, outcome, *after);
        }
    }

    /// Removes an ended request, and writes its lines unless they are sampled out or
    /// over the rate limit.
    fn end_request(&mut self, call: CallTag, now: Duration) {
        let Some(mut request_log) = self.requests.remove(&call) else {
            return;
        };
        self.record_metrics(&request_log.decisions);
        if request_log.is_routine {
            self.routine_count += 1;
            if !self
                .routine_count
                .is_multiple_of(u64::from(self.routine_log_interval))
            {
                return;
            }
        }
        if !request_log.is_routine && request_log.is_merged_answer() {
            self.partial_count += 1;
            if self.partial_count % PARTIAL_LOG_INTERVAL != 1 {
                if request_log.is_relayed() {
                    // The entry that relayed the request logs the omitted shards.
                    return;
                }
                request_log.drop_all_but_end();
            }
        }
        if !self
            .request_lines_limit
            .try_consume(request_log.decisions.len(), now)
        {
            self.unreported_dropped += request_log.decisions.len() as u64;
            self.dropped_total += request_log.decisions.len() as u64;
            return;
        }
        let unreported_dropped = std::mem::take(&mut self.unreported_dropped);
        if unreported_dropped > 0 {
            tracing::warn!(target: "entry", lines = unreported_dropped, "log: lines dropped");
        }
        // All lines are written at the end of the request; `at_ms` gives the time of
        // the decision since the arrival.
        let arrived_at = request_log
            .decisions
            .first()
            .map_or(Duration::ZERO, |(at, _)| *at);
        let relevant = request_log.relevant_services();
        for (at, decision) in &request_log.decisions {
            if relevant.is_relevant(decision) {
                write_decision(&request_log.id, millis(*at - arrived_at), decision);
            }
        }
    }

    /// Writes a decision that concerns a server or all servers at once: the other lines of
    /// its request are written late or not at all.
    fn log_at_once(&mut self, event: &ForwardEvent) {
        if !self.broken_lines_limit.try_consume(1, event.at) {
            self.unreported_dropped += 1;
            self.dropped_total += 1;
            return;
        }
        let request_log = self.requests.get(&event.call);
        write_decision(
            request_log.map_or("", |request_log| &request_log.id),
            0.0,
            &event.decision,
        );
    }
}

/// Token bucket that limits log lines: the bucket holds the lines of one second.
#[derive(Debug)]
struct LineRateLimit {
    per_second: f64,
    /// Number of lines that may be written now.
    left: f64,
    /// Time of the last call of `try_consume`.
    refilled_at: Duration,
}

impl LineRateLimit {
    fn new(per_second: f64) -> LineRateLimit {
        LineRateLimit {
            per_second,
            left: per_second,
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes this number of lines out of the bucket. Returns false, and takes none, if
    /// the bucket holds fewer.
    fn try_consume(&mut self, lines: usize, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.left = (self.left + elapsed * self.per_second).min(self.per_second);
        if self.left < lines as f64 {
            return false;
        }
        self.left -= lines as f64;
        true
    }
}

/// Returns whether a decision is logged at once and not at the end of its request.
fn is_logged_at_once(decision: &ForwardDecision) -> bool {
    matches!(
        decision,
        ForwardDecision::ServerBrokeOff { .. }
            | ForwardDecision::BreakVerdict { .. }
            | ForwardDecision::ServerAtLimit { .. }
            | ForwardDecision::PlacesChanged { .. }
            | ForwardDecision::Trial { .. }
    )
}

/// Returns whether a decision is normal for a request that succeeds without incident.
fn is_routine(decision: &ForwardDecision) -> bool {
    match decision {
        ForwardDecision::Admit { .. } => true,
        ForwardDecision::Send { cause, .. } => *cause != AttemptCause::Retry,
        ForwardDecision::End { outcome, late, .. } => {
            !late && matches!(*outcome, "whole" | "served")
        }
        ForwardDecision::Slow { .. }
        | ForwardDecision::Abandon { .. }
        | ForwardDecision::RankLimited { .. } => true,
        ForwardDecision::Lost { .. }
        | ForwardDecision::ServerBrokeOff { .. }
        | ForwardDecision::BreakVerdict { .. }
        | ForwardDecision::ServerAtLimit { .. }
        | ForwardDecision::PlacesChanged { .. }
        | ForwardDecision::OmitShards { .. }
        | ForwardDecision::Reroute { .. }
        | ForwardDecision::NoServer { .. }
        | ForwardDecision::Trial { .. }
        | ForwardDecision::BudgetSpent { .. }
        | ForwardDecision::OverShare { .. } => false,
    }
}

/// Writes the log line of a decision, `at_ms` milliseconds after the request arrived.
fn write_decision(request: &str, at_ms: f64, decision: &ForwardDecision) {
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
            let (cause, place) = (cause_label(*cause), place.label());
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
        ForwardDecision::BreakVerdict {
            service,
            instance,
            verdict,
            evidence,
            breaks,
            others,
            after,
        } => {
            let after_ms = millis(*after);
            let (verdict, evidence) = (verdict.label(), evidence.label());
            tracing::info!(target: "entry", request, %service, server = %instance, verdict, evidence, breaks, others, after_ms, "server_end: decided");
        }
        ForwardDecision::RankLimited {
            outcome,
            rank,
            level,
            service,
            parts,
            admitted_fraction,
            credit,
        } => {
            let (admitted_fraction, credit) = (hundredths(*admitted_fraction), hundredths(*credit));
            tracing::info!(target: "entry", request, at_ms, outcome, rank, level, %service, parts, admitted_fraction, credit, "route: limited by rank");
        }
        ForwardDecision::ServerAtLimit {
            service,
            instance,
            open,
            backoff,
        } => {
            let backoff_ms = millis(*backoff);
            tracing::warn!(target: "entry", request, %service, server = %instance, open, backoff_ms, "connection: reset over the server's limit");
        }
        ForwardDecision::PlacesChanged {
            entries,
            in_contact,
            places,
            former,
        } => {
            tracing::info!(target: "entry", entries, in_contact, servers = places.servers, places = places.places, former_servers = former.servers, former_places = former.places, "connection: places changed");
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
        ForwardDecision::Trial {
            mark,
            failed_trials,
        } => {
            tracing::info!(target: "entry", request, at_ms, %mark, failed_trials, "request: trial of a quarantined request");
        }
        ForwardDecision::BudgetSpent { service } => {
            tracing::info!(target: "entry", request, at_ms, %service, "route: repeat not affordable");
        }
        ForwardDecision::OverShare { workspace, limit } => {
            let (fraction, basis) = (limit.fraction, limit.basis.label());
            let age_ms = summary_age_ms(limit.basis);
            tracing::info!(target: "entry", request, at_ms, %workspace, fraction, basis, age_ms, "route: workspace over its share");
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

/// Returns a number rounded to two decimal places, for the log.
fn hundredths(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}

/// Returns the label of a cause in the log.
fn cause_label(cause: AttemptCause) -> &'static str {
    match cause {
        AttemptCause::First => "first",
        AttemptCause::Retry => "retry",
        AttemptCause::Hedge => "hedge",
        AttemptCause::Relay => "relay",
    }
}

/// Returns a duration in milliseconds, rounded to a tenth.
fn millis(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e4).round() / 10.0
}
