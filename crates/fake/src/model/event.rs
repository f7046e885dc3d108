//! Events in the order of their time, and of their making where it is equal.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use wheelmast_core::arena::{ServerKey, SlotKey};
use wheelmast_core::process::forward::input::AttemptResult;
use wheelmast_core::process::forward::suspect::record::SuspectRecord;
use wheelmast_core::process::input::CallTag;

use crate::model::server::JobKey;

/// Something that happens.
#[derive(Debug)]
pub(super) enum PlayEvent {
    /// The next caller of a kind comes.
    Come { kind: usize },
    /// Requests that end servers come.
    Deadly { turn: usize },
    /// A server ends under a request.
    Crash { job: JobKey },
    /// A server is back.
    Revive { server: usize },
    /// An entry hears what others know of requests under which servers ended.
    Suspects {
        entry: usize,
        records: Vec<SuspectRecord>,
    },
    /// A caller makes a try at an entry.
    Try { caller: usize },
    /// A timer of an entry may be due.
    Wake { entry: usize },
    /// A request reaches its server.
    Reach { job: JobKey },
    /// A server has worked off a request.
    Finish { job: JobKey },
    /// A request of an entry reaches the one that it asks.
    RelayReach { tag: CallTag },
    /// The word of an entry that it is at work reaches the one that asked.
    RelaySign { tag: CallTag },
    /// Leave for more attempts reaches the entry that was asked.
    RelayGrant { tag: CallTag, attempts: u32 },
    /// What another entry was asked for ends at the one that asked.
    RelayEnd {
        tag: CallTag,
        end: Box<AttemptResult>,
    },
    /// The end of a connection reaches the entry that was asked.
    RelayLeft { tag: CallTag },
    /// The end of a server closes an entry's idle connections to it.
    IdleClosed { entry: usize, server: ServerKey },
    /// A connection that an entry opened to a server is accepted or refused.
    Opened {
        entry: usize,
        server: ServerKey,
        place: usize,
        takes: Duration,
    },
    /// An attempt ends at its entry.
    End {
        entry: usize,
        attempt: SlotKey,
        end: Box<AttemptResult>,
        job: JobKey,
    },
}

/// What is to happen.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    order: BinaryHeap<Reverse<(Duration, u64)>>,
    events: std::collections::HashMap<u64, PlayEvent>,
    made: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Duration, event: PlayEvent) {
        self.made += 1;
        self.order.push(Reverse((at, self.made)));
        self.events.insert(self.made, event);
    }

    pub(super) fn pop(&mut self) -> Option<(Duration, PlayEvent)> {
        let Reverse((at, number)) = self.order.pop()?;
        let event = self.events.remove(&number)?;
        Some((at, event))
    }
}
