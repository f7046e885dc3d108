//! What is played: kinds of requests, servers, faults.

use std::ops::Range;
use std::time::Duration;

use wheelmast_core::process::forward::canary::CanaryStrategy;
use wheelmast_core::process::forward::extra::ExtraBound;
use wheelmast_core::process::forward::stall::StallStrategy;

/// A kind of request; all are gathered over the same shards.
#[derive(Debug, Clone)]
pub struct KindSpec {
    /// Its name, which is its route's too.
    pub name: &'static str,
    /// Requests a second, over all entries.
    pub rate: f64,
    /// Mean time that a server works on a part.
    pub work: Duration,
    /// Time within which an answer has its full worth.
    pub objective: Duration,
    /// Time that callers wait.
    pub limit: Duration,
    /// Least fraction of the shards in an answer.
    pub least_coverage: f64,
    /// Rank; 0 goes first.
    pub rank: u32,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Worth of one that is late.
    pub late_worth: f64,
}

/// What a fault does to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServerEffect {
    /// Work takes so many times as long.
    Slow(f64),
    /// It rejects this fraction of the requests at once.
    Shed(f64),
    /// It answers nothing.
    Dark,
    /// It runs all requests and closes the connection in place of this fraction of the
    /// answers.
    Lose(f64),
}

/// A fault of some servers for some time.
#[derive(Debug, Clone)]
pub struct FaultSpec {
    /// Shards whose servers are hit.
    pub shards: Range<usize>,
    /// Which of a shard's servers.
    pub server: usize,
    /// From when, since the start of traffic.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
    /// What it does.
    pub effect: ServerEffect,
}

/// Requests that end each server which begins to run them, a moment after it
/// has begun.
#[derive(Debug, Clone)]
pub struct DeadlySpec {
    /// Place of their kind; they are as others of it.
    pub kind: usize,
    /// When they come. The first of them comes again in turn.
    pub at: Vec<Duration>,
    /// How many different ones there are.
    pub count: usize,
    /// Entries at which each comes at once.
    pub entries: usize,
    /// An entry that nobody hears of these requests, and that hears nobody: the
    /// first of them comes there.
    pub muted: Option<usize>,
    /// Callers that ask for the same, in turn.
    pub callers: usize,
    /// Mean time after which a server ends.
    pub after: Duration,
    /// Time that it is away.
    pub down: Duration,
}

/// Pauses of the servers: each stands still at an interval, from a time of its
/// own on.
#[derive(Debug, Clone, Copy)]
pub struct PauseSpec {
    /// Time from one pause to the next.
    pub every: Duration,
    /// How long one lasts.
    pub length: Duration,
}

/// Entries that are cut off from everything for some time. The balancer sends
/// no callers there meanwhile.
#[derive(Debug, Clone)]
pub struct CutSpec {
    /// Which entries, by number.
    pub entries: Range<usize>,
    /// From when, since the start of traffic.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct PlaySpec {
    /// Kinds of requests.
    pub kinds: Vec<KindSpec>,
    /// Faults.
    pub faults: Vec<FaultSpec>,
    /// Entries that are cut off.
    pub cuts: Vec<CutSpec>,
    /// Requests that end servers, if some come.
    pub deadly: Option<DeadlySpec>,
    /// How many different requests there are of each kind, by one caller each;
    /// 0 for as many as come.
    pub variety: usize,
    /// Which requests one server tries first.
    pub canary: CanaryStrategy,
    /// Pauses of the servers, if they pause.
    pub pauses: Option<PauseSpec>,
    /// How the entries meet them.
    pub pause_way: StallStrategy,
    /// Whether ranks decide at admission.
    pub rank_admission: bool,
    /// Whether entries divide scarce connections.
    pub connection_subsets: bool,
    /// Entries in each of the two failure domains.
    pub entries: usize,
    /// Entries in a third failure domain, which has no servers.
    pub outlying: usize,
    /// Shards; each has one server in each failure domain.
    pub shards: usize,
    /// Connections that a server accepts from all entries, as the table states. The servers
    /// of a play accept more.
    pub connections: u32,
    /// Requests that a server works on at once.
    pub slots: u32,
    /// Requests that wait at a server at most.
    pub queue: usize,
    /// Time to a server of the same failure domain and back.
    pub near_way: Duration,
    /// Time to a server of the other one and back.
    pub far_way: Duration,
    /// Time that a new connection takes besides.
    pub handshake: Duration,
    /// Spread of the work times, as the standard deviation of their logarithm.
    pub work_spread: f64,
    /// Bound on extra load.
    pub extra: ExtraBound,
    /// Length of the traffic; what came by then is played to its end.
    pub length: Duration,
}

impl PlaySpec {
    /// Returns a deployment of twenty shards and eight entries with sweeps over
    /// all shards, of which most must be in, and lookups, which can do with
    /// fewer; a server is busy nearly half of the time.
    pub fn of_today() -> PlaySpec {
        let sweep = KindSpec {
            name: "sweep",
            rate: 80.0,
            work: Duration::from_millis(20),
            objective: Duration::from_millis(200),
            limit: Duration::from_secs(3),
            least_coverage: 0.89,
            rank: 1,
            worth: 2.0,
            late_worth: 0.1,
        };
        let lookup = KindSpec {
            name: "lookup",
            rate: 27.0,
            work: Duration::from_micros(6700),
            objective: Duration::from_millis(100),
            limit: Duration::from_millis(1500),
            least_coverage: 0.75,
            rank: 2,
            worth: 1.0,
            late_worth: 0.1,
        };
        PlaySpec {
            kinds: vec![sweep, lookup],
            faults: Vec::new(),
            cuts: Vec::new(),
            deadly: None,
            variety: 0,
            canary: CanaryStrategy::default(),
            pauses: None,
            pause_way: StallStrategy::default(),
            rank_admission: false,
            connection_subsets: false,
            entries: 4,
            outlying: 0,
            shards: 20,
            connections: 26,
            slots: 2,
            queue: 12,
            near_way: Duration::from_micros(200),
            far_way: Duration::from_millis(16),
            handshake: Duration::from_millis(6),
            work_spread: 0.35,
            extra: ExtraBound {
                ratio: 0.2,
                slack: 56.0,
                window: Duration::from_secs(10),
            },
            length: Duration::from_secs(12),
        }
    }

    /// Returns a deployment of 96 shards and 60 entries: each asks others of
    /// its failure domain for most of its shards, and those of a domain
    /// without servers ask one elsewhere for all. The two domains with servers
    /// are near each other; a server is busy a tenth of the time.
    pub fn of_many_entries() -> PlaySpec {
        let sweep = KindSpec {
            name: "sweep",
            rate: 36.0,
            work: Duration::from_millis(20),
            objective: Duration::from_millis(300),
            limit: Duration::from_secs(2),
            least_coverage: 0.95,
            rank: 1,
            worth: 2.0,
            late_worth: 0.1,
        };
        let lookup = KindSpec {
            name: "lookup",
            rate: 12.0,
            work: Duration::from_micros(6700),
            objective: Duration::from_millis(100),
            limit: Duration::from_secs(1),
            least_coverage: 0.85,
            rank: 2,
            worth: 1.0,
            late_worth: 0.1,
        };
        PlaySpec {
            kinds: vec![sweep, lookup],
            entries: 24,
            outlying: 12,
            shards: 96,
            connections: 26,
            slots: 3,
            queue: 18,
            far_way: Duration::from_millis(2),
            extra: ExtraBound {
                ratio: 0.2,
                slack: 128.0,
                window: Duration::from_secs(10),
            },
            ..PlaySpec::of_today()
        }
    }

    /// Returns the deployment of [`PlaySpec::of_many_entries`] with servers that accept
    /// fewer connections than there are entries.
    pub fn of_scarce_connections() -> PlaySpec {
        PlaySpec {
            connection_subsets: true,
            ..PlaySpec::of_many_entries()
        }
    }
}
