//! State that an entry holds for each upstream server.
//!
//! The state combines what the server announced, the outcomes of the entry's own
//! attempts and the server's load reports. The entry uses the state to estimate how
//! long the server would take to answer a request sent now. Other entries, to which
//! this entry may relay requests, are represented in the same way.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::forward::backlog::ServerBacklog;
use crate::process::forward::cold::{SendWindow, ASSUMED_COLD_TIME};
use crate::process::forward::connection_places::{OpeningBackoff, ServerPlaces};
use crate::process::forward::decay::DecayingRate;
use crate::process::forward::directory::ServerLifecycle;
use crate::process::forward::expectation::ExpectationBasis;
use crate::process::forward::input::LoadReport;
use crate::process::forward::place::DomainProximity;
use crate::process::forward::region_set::RegionKey;
use crate::process::forward::slowness::{ServerSlowness, SlownessEstimate, SlownessStrategy};
use crate::process::forward::stall::StallPredictor;

/// Time in which the failure rate halves without attempts. Servers that failed get fewer
/// requests or none, so their rate could not fall otherwise.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(10);
/// First back-off after a server could not be reached. It doubles with each further
/// failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest back-off.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Factor by which a server is slower while it is cold (just started).
const COLD_SLOWDOWN: f64 = 1.6;
/// Back-off after proof that a server ended. Servers are back after some seconds, as new
/// incarnations, which have a state of their own.
const ENDED_BACKOFF: Duration = Duration::from_secs(1);
/// Age at which a load report is ignored. The weight of a report decreases linearly
/// until then.
const MAX_LOAD_REPORT_AGE: Duration = Duration::from_millis(400);
/// Round-trip time that is assumed before the first measurement.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(1);

/// An attempt that a server has not answered yet.
#[derive(Debug, Clone, Copy)]
pub struct OutstandingAttempt {
    /// Key of the attempt.
    pub attempt: SlotKey,
    /// When the attempt was sent.
    pub sent_at: Duration,
    /// Whether this is a canary attempt: its request is suspected of crashing servers.
    pub is_canary: bool,
}

/// State of one incarnation of a server, as seen by this entry.
#[derive(Debug)]
pub struct ServerState {
    /// Id of the server.
    pub id: Arc<str>,
    /// Start time of the server's incarnation, in Unix milliseconds; 0 if not
    /// announced.
    pub born: u64,
    /// Upstream (service) that the server belongs to.
    pub upstream: UpstreamKey,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub domain: Box<str>,
    /// Proximity of the server's failure domain to this entry.
    pub proximity: DomainProximity,
    /// Region of the server.
    pub region: RegionKey,
    /// Software version of the server.
    pub version: Box<str>,
    /// Whether the server's version was rolled back, so that it gets no requests.
    pub is_rolled_back: bool,
    /// Whether the operator took the server's failure domain out of use.
    pub is_evacuated: bool,
    /// Lifecycle state of the server: ready, draining or gone.
    pub standing: ServerLifecycle,
    /// Whether the control group reported the server's lease as expired.
    pub expired: bool,
    /// Service of another server that announced itself at the same address later, if there
    /// is one: this server has most likely left.
    pub displaced_by: Option<UpstreamKey>,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// When the server stops being cold, according to its announcement.
    pub warm_at: Duration,
    /// Until when the server is treated as cold without having announced so, because
    /// its caches may have gone cold during an interruption.
    pub assumed_cold_until: Duration,
    /// Requests that this entry sent to the server in about the last second. They
    /// limit the request rate while the server is cold.
    pub cold: SendWindow,
    /// Unanswered attempts, oldest first.
    pub outstanding: Vec<OutstandingAttempt>,
    /// Number of idle connections to the server.
    pub idle: u32,
    /// Number of all connections to the server: idle, in use, and being opened.
    pub open: u32,
    /// Connections that this entry may have open to the server, if connections to its
    /// service are scarce.
    pub places: ServerPlaces,
    /// Back-off from opening connections, after the server reset a new one.
    pub opening_backoff: OpeningBackoff,
    /// Estimate of how slow the server is relative to its peers.
    pub slowness_estimate: ServerSlowness,
    /// Prediction of the server's stalls: short periods in which it answers nothing,
    /// such as garbage collections.
    pub stall_predictor: StallPredictor,
    /// Fraction of recent attempts that failed.
    pub failure_rate: DecayingRate,
    /// Until when the server gets no requests, after a failure to reach it.
    pub backoff_until: Duration,
    /// Whether there is proof that the server ended, and no answer since.
    pub is_known_ended: bool,
    /// When the server last answered.
    pub answered_at: Duration,
    /// Estimate of the work queued at the server by all entries together.
    pub backlog: ServerBacklog,
    /// Shortest connect time so far, which approximates the network round trip.
    round_trip: Duration,
    /// Number of back-offs since the last answer.
    backoffs: u32,
    /// Last load report and when it arrived.
    load: Option<(LoadReport, Duration)>,
}

impl ServerState {
    /// Returns the state of a server that has not been sent any request yet.
    pub fn new(id: Arc<str>, upstream: UpstreamKey, address: SocketAddr) -> ServerState {
        ServerState {
            id,
            born: 0,
            upstream,
            address,
            domain: "".into(),
            proximity: DomainProximity::Elsewhere,
            region: RegionKey::UNKNOWN,
            version: "".into(),
            is_rolled_back: false,
            is_evacuated: false,
            standing: ServerLifecycle::Ready,
            expired: false,
            displaced_by: None,
            slots: 1,
            warm_at: Duration::ZERO,
            assumed_cold_until: Duration::ZERO,
            cold: SendWindow::default(),
            outstanding: Vec::new(),
            idle: 0,
            open: 0,
            places: ServerPlaces::default(),
            opening_backoff: OpeningBackoff::default(),
            slowness_estimate: ServerSlowness::new(SlownessStrategy::default()),
            stall_predictor: StallPredictor::default(),
            failure_rate: DecayingRate::new(FAILURE_HALF_LIFE),
            backoff_until: Duration::ZERO,
            is_known_ended: false,
            answered_at: Duration::ZERO,
            backlog: ServerBacklog::default(),
            round_trip: INITIAL_ROUND_TRIP,
            backoffs: 0,
            load: None,
        }
    }

    /// Returns the round-trip time to the server, or the assumed time if no round trip
    /// was measured.
    pub fn round_trip(&self) -> Duration {
        self.round_trip
    }

    /// Returns the round-trip time to the server, if it was measured.
    pub fn measured_round_trip(&self) -> Option<Duration> {
        (self.round_trip != INITIAL_ROUND_TRIP).then_some(self.round_trip)
    }

    /// Records that a connection was established in `took`, and updates the round-trip
    /// time.
    pub fn record_connection(&mut self, took: Duration) {
        self.round_trip = if self.round_trip == INITIAL_ROUND_TRIP {
            took
        } else {
            self.round_trip.min(took)
        };
    }

    /// Records that the server answered after `service_time`, which excludes the
    /// network round trip and the wait in the server's queue. `typical` is the median
    /// service time of the request's route. Ends any back-off.
    pub fn record_answer(&mut self, service_time: Duration, typical: Duration, now: Duration) {
        self.answered_at = now;
        self.is_known_ended = false;
        self.backoffs = 0;
        self.backoff_until = Duration::ZERO;
        let ratio = service_time.as_secs_f64() / typical.as_secs_f64().max(1e-4);
        self.slowness_estimate.record_ratio(ratio, now);
    }

    /// Returns how many times as long as its peers the server takes for a request.
    pub fn slowness(&self, now: Duration) -> f64 {
        self.slowness_estimate.slowness(now)
    }

    /// Records whether an attempt failed, and updates the failure rate.
    pub fn record_outcome(&mut self, failed: bool, now: Duration) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate.add(sample, now);
    }

    /// Backs off from the server: sends it no requests for a while. Each back-off
    /// without an answer in between is longer than the last.
    pub fn back_off(&mut self, now: Duration) {
        self.back_off_at_least(Duration::ZERO, now);
    }

    /// Backs off from the server for `least` or longer.
    pub fn back_off_at_least(&mut self, least: Duration, now: Duration) {
        let back_off = INITIAL_BACKOFF * 2u32.saturating_pow(self.backoffs.min(8));
        self.backoffs += 1;
        self.backoff_until = now + back_off.min(MAX_BACKOFF).max(least);
    }

    /// Records proof that the server ended.
    pub fn mark_ended(&mut self, now: Duration) {
        self.is_known_ended = true;
        self.back_off_at_least(ENDED_BACKOFF, now);
    }

    /// Returns whether the server is known to have ended, so that it gets no requests. A
    /// request may test it after the back-off.
    pub fn is_ended(&self, now: Duration) -> bool {
        self.is_known_ended && now < self.backoff_until
    }

    /// Returns whether the server has most likely ended without a word.
    pub fn is_lapsed(&self) -> bool {
        self.expired || self.displaced_by.is_some()
    }

    /// Records a load report of the server.
    pub fn record_load(&mut self, load: LoadReport, now: Duration) {
        self.load = Some((load, now));
    }

    /// Removes an attempt from the outstanding ones, as it has ended.
    pub fn remove_attempt(&mut self, attempt: SlotKey) {
        self.outstanding.retain(|other| other.attempt != attempt);
    }

    /// Returns how long the oldest outstanding attempt has been waiting without any
    /// answer from the server; zero if nothing is outstanding.
    pub fn unanswered_time(&self, now: Duration) -> Duration {
        let oldest = self.outstanding.first();
        let since = oldest.map_or(now, |oldest| oldest.sent_at.max(self.answered_at));
        now.saturating_sub(since)
    }

    /// Returns whether the server has been unresponsive for longer than its expected
    /// service time explains.
    pub fn is_stalled(&self, typical: Duration, now: Duration) -> bool {
        self.unanswered_time(now) > typical.mul_f64(self.slowness(now)) * 2 + self.round_trip
    }

    /// Treats the server as cold until its next announcement, which says whether the
    /// server is cold, must have arrived.
    pub fn assume_cold(&mut self, now: Duration) {
        self.assumed_cold_until = now + ASSUMED_COLD_TIME;
    }

    /// Returns whether the server is cold or treated as cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.warm_at || now < self.assumed_cold_until
    }

    /// Returns the expected service time of a request that takes `typical` at the
    /// server's peers.
    pub fn expected_service_time(&self, typical: Duration, now: Duration) -> Duration {
        let service_time = typical.mul_f64(self.slowness(now));
        if now < self.warm_at {
            return service_time.mul_f64(COLD_SLOWDOWN);
        }
        service_time
    }

    /// Returns the expected response time as the sum of the round trip, the service
    /// time and the wait for the server's backlog. Stalls are not
    /// included, because a request that is sent during a stall costs nothing.
    pub fn expected_time_without_stalls(&self, typical: Duration, now: Duration) -> Duration {
        self.round_trip + self.expected_service_time(typical, now) + self.backlog.expected_wait(now)
    }

    /// Returns the expected response time of a request that takes `typical` at an idle
    /// server of the service. Includes the queue at this server and its current
    /// or predicted stall; `interval` is the time between stalls, if known.
    pub fn expected_response_time(
        &self,
        typical: Duration,
        interval: Option<Duration>,
        now: Duration,
    ) -> Duration {
        let service_time = self.expected_service_time(typical, now);
        let slots = f64::from(self.slots.max(1));
        let ahead = self.queue_ahead(now);
        let queue = (ahead + 1.0 - slots).max(0.0) / slots;
        let unanswered = self.unanswered_time(now);
        let stall_threshold = service_time * 2 + self.round_trip;
        // A server that has been unresponsive for longer than its service time explains
        // is likely to stay unresponsive for as long again.
        let current_stall = if unanswered > stall_threshold {
            unanswered
        } else {
            Duration::ZERO
        };
        let predicted_stall =
            self.stall_predictor
                .expected_wait(now + self.round_trip / 2, service_time, interval);
        self.round_trip
            + service_time
            + service_time.mul_f64(queue)
            + current_stall.max(predicted_stall)
    }

    /// Returns the expected response time of a request sent now, with the inputs that
    /// it was estimated from. The accuracy of the estimate is measured per combination
    /// of these inputs.
    pub fn expectation_basis(&self, expected: Duration, now: Duration) -> ExpectationBasis {
        let slots = f64::from(self.slots.max(1));
        ExpectationBasis {
            expected,
            queue: (self.queue_ahead(now) + 1.0 - slots).max(0.0),
            slowness: self.slowness(now),
            age: now.saturating_sub(self.answered_at),
        }
    }

    /// Returns the estimated number of requests at the server ahead of a new one, from
    /// the entry's own outstanding attempts and the last load report.
    fn queue_ahead(&self, now: Duration) -> f64 {
        let local = self.outstanding.len() as f64;
        match self.load {
            Some((load, at)) if now < at + MAX_LOAD_REPORT_AGE => {
                let age = (now - at).as_secs_f64() / MAX_LOAD_REPORT_AGE.as_secs_f64();
                // The report includes the request whose answer carried it.
                let reported = f64::from((load.running + load.waiting).saturating_sub(1));
                local.max(local * 0.5 + reported * (1.0 - age))
            }
            _ => local,
        }
    }
}
