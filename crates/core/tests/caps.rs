//! Usage caps: all entries together keep to them, and what lies within is served.
//!
//! Entries ask the control instance of their failure domain, which asks the
//! leader; both ways take time, and may be cut.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wheelmast_core::process::cap::lease::{CapLease, CapStep};
use wheelmast_core::process::cap::owner::CapOwner;
use wheelmast_core::process::cap::stock::CapStock;
use wheelmast_core::process::cap::{CapAsk, CapBound, CapGrant};
use wheelmast_core::version::workspace::UsageCap;

const NAME: &str = "north";
const BOUND: CapBound = CapBound {
    excess: 0.1,
    slack: 20.0,
    window: Duration::from_secs(5),
};
const LENGTH: Duration = Duration::from_secs(30);
const TO_INSTANCE: Duration = Duration::from_millis(1);
const TO_LEADER: Duration = Duration::from_millis(8);
/// Time after which an instance gives out tokens without the leader.
const LEADER_TIME: Duration = Duration::from_millis(120);

/// A span of seconds.
type Span = (f64, f64);

struct CapCase {
    name: &'static str,
    entries: usize,
    instances: usize,
    cap: UsageCap,
    /// Requests a second of all entries, as a multiple of the cap's rate.
    load: f64,
    /// Whether all requests come to one entry.
    at_one: bool,
    /// Until when half of the instances can't reach the leader, and since when.
    cut: Option<Span>,
    /// Seconds at which another instance leads.
    leaders: &'static [f64],
    /// When the cap becomes a third.
    lowered: Option<f64>,
    /// Least part of the owed requests that are served.
    least_served: f64,
}

const CALM: CapCase = CapCase {
    name: "within the cap, at all entries",
    entries: 65,
    instances: 6,
    cap: UsageCap {
        per_s: 17.0,
        burst: 17.0,
    },
    load: 0.8,
    at_one: false,
    cut: None,
    leaders: &[],
    lowered: None,
    least_served: 0.999,
};

const CASES: &[CapCase] = &[
    CALM,
    CapCase {
        name: "within the cap, at one entry",
        at_one: true,
        ..CALM
    },
    CapCase {
        name: "a small cap",
        cap: UsageCap {
            per_s: 1.0,
            burst: 2.0,
        },
        load: 0.5,
        least_served: 0.98,
        ..CALM
    },
    CapCase {
        name: "a hot workspace",
        load: 7.5,
        least_served: 0.98,
        ..CALM
    },
    CapCase {
        name: "a hot workspace at one entry",
        load: 7.5,
        at_one: true,
        least_served: 0.98,
        ..CALM
    },
    CapCase {
        name: "a hot workspace beside a cut",
        load: 7.5,
        cut: Some((8.0, 16.0)),
        least_served: 0.98,
        ..CALM
    },
    CapCase {
        name: "leaders one after the other under a hot workspace",
        load: 7.5,
        leaders: &[5.0, 7.0, 9.0, 11.0],
        least_served: 0.85,
        ..CALM
    },
    CapCase {
        name: "a lowered cap under a hot workspace",
        load: 7.5,
        lowered: Some(10.0),
        least_served: 0.95,
        ..CALM
    },
    CapCase {
        name: "a thousand entries",
        entries: 1000,
        instances: 24,
        cap: UsageCap {
            per_s: 200.0,
            burst: 100.0,
        },
        least_served: 0.999,
        ..CALM
    },
    CapCase {
        name: "a thousand entries and a hot workspace",
        entries: 1000,
        instances: 24,
        cap: UsageCap {
            per_s: 200.0,
            burst: 100.0,
        },
        load: 5.0,
        least_served: 0.98,
        ..CALM
    },
];

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    Lead,
    Lower,
    /// A question of an entry, at its instance.
    Asked(usize, u32, u32),
    /// A question of an instance, at the leader, for an entry or for its stock.
    Owed(usize, Option<usize>, u32, u32),
    /// The leader's answer at an instance.
    Granted(usize, Option<usize>, u32, u32),
    /// The instance's answer at an entry.
    Told(usize, u32, u32),
}

struct World<'a> {
    case: &'a CapCase,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    number: u64,
    leases: Vec<CapLease>,
    stocks: Vec<CapStock>,
    refills: HashMap<usize, bool>,
    owner: CapOwner,
    leader_up_at: Duration,
    runs: Vec<Duration>,
    came: Vec<Duration>,
    messages: u64,
}

impl World<'_> {
    fn at(&mut self, when: Duration, event: Event) {
        self.number += 1;
        self.events.push(Reverse((when, self.number, event)));
    }

    fn caps(cap: UsageCap) -> Vec<(Box<str>, UsageCap)> {
        vec![(NAME.into(), cap)]
    }

    fn is_cut(&self, instance: usize, now: Duration) -> bool {
        let seconds = now.as_secs_f64();
        let is_off = instance * 2 >= self.case.instances;
        let span = self.case.cut;
        is_off && span.is_some_and(|(from, to)| (from..to).contains(&seconds))
    }

    fn ask(&mut self, entry: usize, now: Duration) {
        let ask = self.leases[entry].ask(NAME);
        self.messages += 1;
        self.at(
            now + TO_INSTANCE,
            Event::Asked(entry, ask.waiting, ask.ahead),
        );
    }

    fn refill(&mut self, instance: usize, now: Duration) {
        let lacks = self.stocks[instance].lacks(self.case.instances as u32, now);
        let is_asked = self.refills.insert(instance, true) == Some(true);
        match lacks.first() {
            Some(lack) if !is_asked => {
                self.at(now + TO_LEADER, Event::Owed(instance, None, 0, lack.ahead));
            }
            _ => {
                self.refills.insert(instance, is_asked);
            }
        }
    }

    fn take(&mut self, event: Event, now: Duration) {
        let instances = self.case.instances;
        match event {
            Event::Request => {
                let rate = self.case.cap.per_s * self.case.load;
                let pause = -(1.0 - self.rng.random::<f64>()).ln() / rate;
                self.at(now + Duration::from_secs_f64(pause), Event::Request);
                let one = if self.case.at_one {
                    1
                } else {
                    self.case.entries
                };
                let entry = self.rng.random_range(0..one);
                self.came.push(now);
                match self.leases[entry].request(now) {
                    CapStep::Take => self.runs.push(now),
                    CapStep::Ask => self.ask(entry, now),
                    CapStep::Wait | CapStep::Refuse(_) => {}
                }
            }
            Event::Lead => {
                self.leader_up_at = now + Duration::from_millis(700);
                self.owner.begin_empty(self.leader_up_at);
            }
            Event::Lower => {
                let cap = UsageCap {
                    per_s: self.case.cap.per_s / 3.0,
                    burst: self.case.cap.burst / 3.0,
                };
                self.owner.set_caps(World::caps(cap), &BOUND, now);
                for stock in &mut self.stocks {
                    stock.set_caps(World::caps(cap), instances as u32, now);
                }
            }
            Event::Asked(entry, waiting, ahead) => {
                let instance = entry % instances;
                let taken = self.stocks[instance].take(NAME, waiting, now);
                if taken == waiting {
                    self.at(now + TO_INSTANCE, Event::Told(entry, taken, 0));
                } else {
                    if taken > 0 {
                        self.stocks[instance].add(NAME, taken);
                    }
                    self.at(
                        now + TO_LEADER,
                        Event::Owed(instance, Some(entry), waiting, ahead),
                    );
                }
                self.refill(instance, now);
            }
            Event::Owed(instance, entry, waiting, ahead) => {
                if self.is_cut(instance, now) || now < self.leader_up_at {
                    let late = now + LEADER_TIME;
                    let tokens = if entry.is_some() {
                        self.stocks[instance].take_floor(NAME, waiting, instances as u32, late)
                    } else {
                        0
                    };
                    return self.at(late, Event::Granted(instance, entry, tokens, 300));
                }
                let ask = CapAsk {
                    workspace: NAME.into(),
                    waiting,
                    ahead,
                };
                let grant = self.owner.grant(&ask, now);
                let event = Event::Granted(instance, entry, grant.tokens, grant.retry_ms);
                self.at(now + TO_LEADER, event);
            }
            Event::Granted(instance, None, tokens, _) => {
                self.refills.insert(instance, false);
                self.stocks[instance].add(NAME, tokens);
            }
            Event::Granted(_, Some(entry), tokens, retry_ms) => {
                self.at(now + TO_INSTANCE, Event::Told(entry, tokens, retry_ms));
            }
            Event::Told(entry, tokens, retry_ms) => {
                let turn = self.leases[entry].told(CapGrant { tokens, retry_ms }, now);
                self.runs.extend((0..turn.served).map(|_| now));
                if turn.asks {
                    self.ask(entry, now);
                }
            }
        }
    }
}

struct Played {
    runs: Vec<Duration>,
    came: Vec<Duration>,
    messages: u64,
}

fn play(case: &CapCase, seed: u64) -> Played {
    let mut world = World {
        case,
        rng: SmallRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        number: 0,
        leases: vec![CapLease::default(); case.entries],
        stocks: vec![CapStock::new(BOUND); case.instances],
        refills: HashMap::new(),
        owner: CapOwner::default(),
        leader_up_at: Duration::ZERO,
        runs: Vec::new(),
        came: Vec::new(),
        messages: 0,
    };
    world
        .owner
        .set_caps(World::caps(case.cap), &BOUND, Duration::ZERO);
    for stock in &mut world.stocks {
        stock.set_caps(World::caps(case.cap), case.instances as u32, Duration::ZERO);
    }
    world.at(Duration::from_millis(5), Event::Request);
    for leader in case.leaders {
        world.at(Duration::from_secs_f64(*leader), Event::Lead);
    }
    if let Some(lowered) = case.lowered {
        world.at(Duration::from_secs_f64(lowered), Event::Lower);
    }
    while let Some(Reverse((now, _, event))) = world.events.pop() {
        if now >= LENGTH {
            break;
        }
        world.take(event, now);
    }
    Played {
        runs: world.runs,
        came: world.came,
        messages: world.messages,
    }
}

/// Returns the most runs in any window that begins in this span.
fn most_in_window(runs: &[Duration], span: Span) -> usize {
    let mut window = VecDeque::new();
    let mut most = 0;
    for run in runs {
        if run.as_secs_f64() < span.0 || run.as_secs_f64() > span.1 {
            continue;
        }
        window.push_back(*run);
        while window
            .front()
            .is_some_and(|first| *first + BOUND.window <= *run)
        {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most
}

fn allowed(cap: UsageCap) -> f64 {
    (cap.per_s * BOUND.window.as_secs_f64() + cap.burst) * (1.0 + BOUND.excess) + BOUND.slack
}

/// Returns how many of the requests lie within the cap.
fn owed(case: &CapCase, came: &[Duration]) -> f64 {
    let (mut level, mut at, mut owed) = (case.cap.burst, Duration::ZERO, 0.0);
    for request in came {
        let is_lowered = case
            .lowered
            .is_some_and(|from| request.as_secs_f64() >= from);
        let times = if is_lowered { 1.0 / 3.0 } else { 1.0 };
        let passed = (*request - at).as_secs_f64();
        level = (level + passed * case.cap.per_s * times).min(case.cap.burst * times);
        at = *request;
        if level >= 1.0 {
            level -= 1.0;
            owed += 1.0;
        }
    }
    owed
}

#[test]
fn all_entries_together_keep_the_cap_and_what_lies_within_is_served() {
    for case in CASES {
        for seed in 0..8 {
            let mut played = play(case, seed);
            played.runs.sort();
            let until = case.lowered.unwrap_or(LENGTH.as_secs_f64());
            let most = most_in_window(&played.runs, (0.0, until));
            let bound = allowed(case.cap);
            assert!(
                most as f64 <= bound,
                "{} {seed}: {most} of {bound}",
                case.name
            );
            if let Some(lowered) = case.lowered {
                let cap = UsageCap {
                    per_s: case.cap.per_s / 3.0,
                    burst: case.cap.burst / 3.0,
                };
                // Binds one window after the change.
                let since = lowered + BOUND.window.as_secs_f64();
                let most = most_in_window(&played.runs, (since, LENGTH.as_secs_f64()));
                assert!(most as f64 <= allowed(cap), "{} {seed}: {most}", case.name);
            }
            let owed = owed(case, &played.came);
            let served = played.runs.len() as f64 / owed;
            assert!(
                served >= case.least_served,
                "{} {seed}: {served:.4} of {owed}",
                case.name
            );
            let each = played.messages as f64 / LENGTH.as_secs_f64() / case.entries as f64;
            let most_each = if case.at_one { 20.0 } else { 1.0 };
            assert!(
                each <= most_each,
                "{} {seed}: {each:.2} questions a second",
                case.name
            );
        }
    }
}

/// Part of a cap that entries without demand have, in equal parts.
const IDLE_PART: f64 = 0.05;
/// Time between two rounds in which shares are set.
const ROUND: Duration = Duration::from_secs(1);

/// Plays the other way: shares of the cap that follow what each entry was asked in
/// the last second. Returns the requests that ran.
fn play_shares(case: &CapCase, seed: u64) -> Played {
    let mut rng = SmallRng::seed_from_u64(seed);
    let entries = case.entries;
    let part = IDLE_PART / entries as f64;
    let mut shares = vec![1.0 / entries as f64; entries];
    let mut levels = vec![case.cap.burst / entries as f64; entries];
    let mut filled = vec![Duration::ZERO; entries];
    let mut demand = vec![0.0; entries];
    let (mut runs, mut came, mut messages) = (Vec::new(), Vec::new(), 0);
    let (mut now, mut round) = (Duration::ZERO, ROUND);
    while now < LENGTH {
        let rate = case.cap.per_s * case.load;
        now += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        while now >= round {
            let all: f64 = demand.iter().sum();
            messages += 2 * demand.iter().filter(|asked| **asked > 0.0).count() as u64;
            for (share, asked) in shares.iter_mut().zip(&demand) {
                *share = part + (1.0 - IDLE_PART) * asked / all.max(1.0);
            }
            demand.fill(0.0);
            round += ROUND;
        }
        let entry = rng.random_range(0..if case.at_one { 1 } else { entries });
        came.push(now);
        demand[entry] += 1.0;
        let passed = (now - filled[entry]).as_secs_f64();
        let most = (case.cap.burst * shares[entry]).max(1.0);
        levels[entry] = (levels[entry] + passed * case.cap.per_s * shares[entry]).min(most);
        filled[entry] = now;
        if levels[entry] >= 1.0 {
            levels[entry] -= 1.0;
            runs.push(now);
        }
    }
    Played {
        runs,
        came,
        messages,
    }
}

#[test]
fn tokens_of_one_owner_serve_more_than_shares_that_follow_demand() {
    for case in CASES
        .iter()
        .filter(|case| case.cut.is_none() && case.lowered.is_none())
    {
        let (mut leased, mut shared, mut most, mut asked) = (0.0, 0.0, 0, (0, 0));
        for seed in 0..8 {
            let tokens = play(case, seed);
            let shares = play_shares(case, seed);
            leased += tokens.runs.len() as f64 / owed(case, &tokens.came) / 8.0;
            shared += shares.runs.len() as f64 / owed(case, &shares.came) / 8.0;
            most = most.max(most_in_window(&shares.runs, (0.0, LENGTH.as_secs_f64())));
            asked.0 += tokens.messages / 8;
            asked.1 += shares.messages / 8;
        }
        println!(
            "{}: served {leased:.3} with tokens, {shared:.3} with shares, which had {most} in a window of {:.0}; {} and {} messages",
            case.name,
            allowed(case.cap),
            asked.0,
            asked.1,
        );
        assert!(
            leased >= shared - 0.02,
            "{}: {leased} and {shared}",
            case.name
        );
    }
}
