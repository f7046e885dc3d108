//! An upstream server as an entry knows it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::forward::backlog::ServerBacklog;
use crate::process::forward::cold::{SendWindow, ASSUMED_COLD_TIME};
use crate::process::forward::directory::ServerStanding;
use crate::process::forward::expectation::ExpectationBasis;
use crate::process::forward::home::RegionKey;
use crate::process::forward::input::LoadReport;
use crate::process::forward::pace::{ServerSlowness, SlownessEstimate, SlownessStrategy};
use crate::process::forward::pause::StallPredictor;
use crate::process::forward::place::PlaceStep;

/// Weight of a new sample in the moving average of failures.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Time that a server which could not be reached is left alone, at first.
const FIRST_REST: Duration = Duration::from_millis(250);
/// Longest such time.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// How much slower a server is after its start.
const COLD_FACTOR: f64 = 1.6;
/// Age at which a load report says nothing any more.
const LOAD_AGE: Duration = Duration::from_millis(400);
/// Way to a server and back before it was measured.
const FIRST_WAY: Duration = Duration::from_millis(1);

/// An attempt that a server has not answered.
#[derive(Debug, Clone, Copy)]
pub struct OutstandingAttempt {
    /// The attempt.
    pub attempt: SlotKey,
    /// When it was sent.
    pub sent_at: Duration,
    /// Whether the server may end under it.
    pub on_trial: bool,
}

/// What an entry knows of a server.
#[derive(Debug)]
pub struct ServerState {
    /// Identity of its lifetime.
    pub id: Arc<str>,
    /// When it started, in Unix milliseconds; 0 if it does not say.
    pub born: u64,
    /// Its service.
    pub upstream: UpstreamKey,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Box<str>,
    /// How far off it is.
    pub place: PlaceStep,
    /// Its region.
    pub region: RegionKey,
    /// Version of its software.
    pub version: Box<str>,
    /// Whether its version was rolled back.
    pub barred: bool,
    /// Whether its failure domain was taken out of use.
    pub evacuated: bool,
    /// Whether it takes work.
    pub standing: ServerStanding,
    /// Whether the control group no longer hears it.
    pub silent: bool,
    /// Requests it works on at once.
    pub slots: u32,
    /// When it is warm.
    pub warm_at: Duration,
    /// Until when it is taken for cold all the same, as it may have become so.
    pub doubt_until: Duration,
    /// What this entry sent it in the last second.
    pub cold: SendWindow,
    /// Attempts outstanding, oldest first.
    pub outstanding: Vec<OutstandingAttempt>,
    /// Idle connections to it.
    pub idle: u32,
    /// How fast it is against its peers.
    pub pace: ServerSlowness,
    /// When it pauses.
    pub pauses: StallPredictor,
    /// Fraction of failures among the last answers.
    pub failing: f64,
    /// Until when it is left alone.
    pub rest_until: Duration,
    /// When it last answered.
    pub answered_at: Duration,
    /// Work that waits there, sent by whatever entry.
    pub backlog: ServerBacklog,
    way: Duration,
    rests: u32,
    load: Option<(LoadReport, Duration)>,
}

impl ServerState {
    /// Returns a server that was not asked yet.
    pub fn new(id: Arc<str>, upstream: UpstreamKey, address: SocketAddr) -> ServerState {
        ServerState {
            id,
            born: 0,
            upstream,
            address,
            domain: "".into(),
            place: PlaceStep::Elsewhere,
            region: RegionKey::UNKNOWN,
            version: "".into(),
            barred: false,
            evacuated: false,
            standing: ServerStanding::Ready,
            silent: false,
            slots: 1,
            warm_at: Duration::ZERO,
            doubt_until: Duration::ZERO,
            cold: SendWindow::default(),
            outstanding: Vec::new(),
            idle: 0,
            pace: ServerSlowness::new(SlownessStrategy::default()),
            pauses: StallPredictor::default(),
            failing: 0.0,
            rest_until: Duration::ZERO,
            answered_at: Duration::ZERO,
            backlog: ServerBacklog::default(),
            way: FIRST_WAY,
            rests: 0,
            load: None,
        }
    }

    /// Returns the time to the server and back.
    pub fn way(&self) -> Duration {
        self.way
    }

    /// Returns the time to the server and back, if it was measured.
    pub fn known_way(&self) -> Option<Duration> {
        (self.way != FIRST_WAY).then_some(self.way)
    }

    /// Takes note of a connection made.
    pub fn connected(&mut self, took: Duration) {
        self.way = if self.way == FIRST_WAY {
            took
        } else {
            self.way.min(took)
        };
    }

    /// Takes note of an answer after `work`, where `typical` was expected.
    pub fn answered(&mut self, work: Duration, typical: Duration, now: Duration) {
        self.answered_at = now;
        self.rests = 0;
        self.rest_until = Duration::ZERO;
        let ratio = work.as_secs_f64() / typical.as_secs_f64().max(1e-4);
        self.pace.answered(ratio, now);
    }

    /// Returns its time for a request against that of its peers.
    pub fn slowness(&self, now: Duration) -> f64 {
        self.pace.slowness(now)
    }

    /// Takes note of whether an answer was of use.
    pub fn judged(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.failing += SAMPLE_WEIGHT * (sample - self.failing);
    }

    /// Leaves the server alone for a while; longer each time.
    pub fn rest(&mut self, now: Duration) {
        self.rest_at_least(Duration::ZERO, now);
    }

    /// Leaves the server alone for `least` or longer.
    pub fn rest_at_least(&mut self, least: Duration, now: Duration) {
        let rest = FIRST_REST * 2u32.saturating_pow(self.rests.min(8));
        self.rests += 1;
        self.rest_until = now + rest.min(LONGEST_REST).max(least);
    }

    /// Takes a load report.
    pub fn loaded(&mut self, load: LoadReport, now: Duration) {
        self.load = Some((load, now));
    }

    /// Removes an attempt from those outstanding.
    pub fn settle(&mut self, attempt: SlotKey) {
        self.outstanding.retain(|other| other.attempt != attempt);
    }

    /// Returns for how long the oldest attempt has gone without any answer.
    pub fn stall(&self, now: Duration) -> Duration {
        let oldest = self.outstanding.first();
        let since = oldest.map_or(now, |oldest| oldest.sent_at.max(self.answered_at));
        now.saturating_sub(since)
    }

    /// Tells whether it has been still for longer than its work explains.
    pub fn is_still(&self, typical: Duration, now: Duration) -> bool {
        self.stall(now) > typical.mul_f64(self.slowness(now)) * 2 + self.way
    }

    /// Takes it for cold for a moment, until it would have said so.
    pub fn doubt_warmth(&mut self, now: Duration) {
        self.doubt_until = now + ASSUMED_COLD_TIME;
    }

    /// Tells whether it is cold, or may be.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.warm_at || now < self.doubt_until
    }

    /// Returns the time that it works on a request which takes `typical` at its
    /// peers.
    pub fn work(&self, typical: Duration, now: Duration) -> Duration {
        let work = typical.mul_f64(self.slowness(now));
        if now < self.warm_at {
            return work.mul_f64(COLD_FACTOR);
        }
        work
    }

    /// Returns the time to an answer that its work and what waits there
    /// explain. A pause is not counted: what is asked meanwhile costs nothing.
    pub fn expect_loaded(&self, typical: Duration, now: Duration) -> Duration {
        self.way + self.work(typical, now) + self.backlog.expected_wait(now)
    }

    /// Returns the time to expect for a request that takes `typical` at an
    /// idle server of the service, where servers pause at `interval`.
    pub fn expect(&self, typical: Duration, interval: Option<Duration>, now: Duration) -> Duration {
        let work = self.work(typical, now);
        let slots = f64::from(self.slots.max(1));
        let ahead = self.ahead(now);
        let queue = (ahead + 1.0 - slots).max(0.0) / slots;
        let stall = self.stall(now);
        let patience = work * 2 + self.way;
        // A server that has been still for longer than its work explains is
        // likely to stay so for as long again.
        let pause = if stall > patience {
            stall
        } else {
            Duration::ZERO
        };
        let foretold = self
            .pauses
            .expected_wait(now + self.way / 2, work, interval);
        self.way + work + work.mul_f64(queue) + pause.max(foretold)
    }

    /// Returns what the expectation of a request sent now is made of.
    pub fn basis(&self, expected: Duration, now: Duration) -> ExpectationBasis {
        let slots = f64::from(self.slots.max(1));
        ExpectationBasis {
            expected,
            queue: (self.ahead(now) + 1.0 - slots).max(0.0),
            slowness: self.slowness(now),
            age: now.saturating_sub(self.answered_at),
        }
    }

    /// Returns how many requests are ahead of a new one.
    fn ahead(&self, now: Duration) -> f64 {
        let own = self.outstanding.len() as f64;
        match self.load {
            Some((load, at)) if now < at + LOAD_AGE => {
                let age = (now - at).as_secs_f64() / LOAD_AGE.as_secs_f64();
                // The report counts the request that it came with.
                let told = f64::from((load.running + load.waiting).saturating_sub(1));
                own.max(own * 0.5 + told * (1.0 - age))
            }
            _ => own,
        }
    }
}
