//! A server: slots, a queue, and what faults do to it.

use std::collections::VecDeque;
use std::time::Duration;

use wheelmast_core::arena::SlotKey;
use wheelmast_core::process::forward::input::LoadReport;
use wheelmast_core::process::input::CallTag;

use crate::model::spec::{PauseSpec, ServerEffect};

/// Place of a job among all of a play.
pub(super) type JobKey = usize;

/// A request on its way to a server, or there.
#[derive(Debug)]
pub(super) struct ServerJob {
    pub(super) entry: usize,
    pub(super) attempt: SlotKey,
    pub(super) call: CallTag,
    pub(super) server: usize,
    /// Kind of the caller's request.
    pub(super) kind: usize,
    /// Time there, or back.
    pub(super) way: Duration,
    /// When work began.
    pub(super) begun: Option<Duration>,
    /// Whether its connection was closed.
    pub(super) is_closed: bool,
    /// Whether it ended at its server.
    pub(super) is_over: bool,
    /// Which of the requests that end servers it is of, once begun.
    pub(super) deadly: Option<usize>,
}

/// A server and its faults.
#[derive(Debug)]
pub(super) struct ModelServer {
    pub(super) id: String,
    /// Place of its failure domain.
    pub(super) domain: usize,
    pub(super) faults: Vec<(Duration, Duration, ServerEffect)>,
    /// Until when it is away, and how often it has been.
    pub(super) down_until: Duration,
    pub(super) lives: u32,
    /// Its pauses, with the time of the first one.
    pub(super) pauses: Option<(PauseSpec, Duration)>,
    slots: u32,
    room: usize,
    pub(super) running: u32,
    pub(super) queue: VecDeque<JobKey>,
}

impl ModelServer {
    pub(super) fn new(id: String, domain: usize, slots: u32, room: usize) -> ModelServer {
        ModelServer {
            id,
            domain,
            faults: Vec::new(),
            down_until: Duration::ZERO,
            lives: 0,
            pauses: None,
            slots,
            room,
            running: 0,
            queue: VecDeque::new(),
        }
    }

    fn effects(&self, now: Duration) -> impl Iterator<Item = ServerEffect> + '_ {
        let live = self
            .faults
            .iter()
            .filter(move |(from, until, _)| (*from..*until).contains(&now));
        live.map(|(_, _, effect)| *effect)
    }

    pub(super) fn is_dark(&self, now: Duration) -> bool {
        self.effects(now).any(|effect| effect == ServerEffect::Dark)
    }

    /// Tells whether it has ended and is not back yet.
    pub(super) fn is_down(&self, now: Duration) -> bool {
        now < self.down_until
    }

    /// Begins another lifetime, which has nothing to do yet.
    pub(super) fn begin_life(&mut self) {
        self.lives += 1;
        let name = self.id.split('#').next().unwrap_or_default();
        self.id = format!("{name}#{}", self.lives);
    }

    /// Returns the fraction of requests that it rejects.
    pub(super) fn sheds(&self, now: Duration) -> f64 {
        let parts = self.effects(now).map(|effect| match effect {
            ServerEffect::Shed(part) => part,
            ServerEffect::Slow(_) | ServerEffect::Dark | ServerEffect::Lose(_) => 0.0,
        });
        parts.fold(0.0, f64::max)
    }

    /// Returns the fraction of the answers that it loses.
    pub(super) fn loses(&self, now: Duration) -> f64 {
        let parts = self.effects(now).map(|effect| match effect {
            ServerEffect::Lose(part) => part,
            ServerEffect::Slow(_) | ServerEffect::Shed(_) | ServerEffect::Dark => 0.0,
        });
        parts.fold(0.0, f64::max)
    }

    /// Returns how many times as long its work takes.
    pub(super) fn slowness(&self, now: Duration) -> f64 {
        let parts = self.effects(now).map(|effect| match effect {
            ServerEffect::Slow(times) => times,
            ServerEffect::Shed(_) | ServerEffect::Dark | ServerEffect::Lose(_) => 1.0,
        });
        parts.fold(1.0, f64::max)
    }

    /// Returns how long work of this length takes that begins now, with the
    /// pauses that come in it.
    pub(super) fn with_pauses(&self, work: Duration, now: Duration) -> Duration {
        let Some((spec, first)) = self.pauses else {
            return work;
        };
        let every = spec.every.as_secs_f64();
        let since = (now.as_secs_f64() - first.as_secs_f64()).rem_euclid(every);
        let since = Duration::from_secs_f64(since);
        let left = spec.length.saturating_sub(since);
        if left.is_zero() && since + work > spec.every {
            return work + spec.length;
        }
        work + left
    }

    pub(super) fn has_slot(&self) -> bool {
        self.running < self.slots
    }

    pub(super) fn has_room(&self) -> bool {
        self.queue.len() < self.room
    }

    pub(super) fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running,
            waiting: self.queue.len() as u32,
            slots: self.slots,
            pace: None,
        }
    }
}
