//! Tests of usage caps: all entries together stay within the cap's bound, and
//! requests within the cap are served.
//!
//! The simulation models entries that request tokens from a control instance, which
//! requests tokens from the leader. Messages take time, and the connection to the
//! leader can be cut.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wheelmast_core::process::cap::lease::{AdmissionStep, CapLease};
use wheelmast_core::process::cap::owner::CapOwner;
use wheelmast_core::process::cap::stock::CapStock;
use wheelmast_core::process::cap::{CapBound, TokenGrant, TokenRequest};
use wheelmast_core::version::workspace::UsageCap;

/// Name of the capped workspace.
const WORKSPACE: &str = "north";
/// Permitted excess over the cap.
const BOUND: CapBound = CapBound {
    excess: 0.1,
    slack: 20.0,
    window: Duration::from_secs(5),
};
/// Simulated time of a test case.
const SIMULATED_TIME: Duration = Duration::from_secs(30);
/// One-way message time between an entry and its control instance.
const ENTRY_TO_INSTANCE: Duration = Duration::from_millis(1);
/// One-way message time between a control instance and the leader.
const INSTANCE_TO_LEADER: Duration = Duration::from_millis(8);
/// Time without the leader's reply after which a control instance grants tokens
/// itself.
const LEADER_TIMEOUT: Duration = Duration::from_millis(120);

/// Start and end of a period, in seconds.
type Span = (f64, f64);

/// Parameters of a simulated workload and its faults.
struct CapCase {
    name: &'static str,
    entries: usize,
    instances: usize,
    cap: UsageCap,
    /// Requests per second at all entries together, as a multiple of the cap's rate.
    load: f64,
    /// Whether all requests arrive at a single entry.
    is_at_one_entry: bool,
    /// Period in which half of the control instances cannot reach the leader.
    cut: Option<Span>,
    /// Times in seconds at which another control instance becomes leader.
    leader_changes: &'static [f64],
    /// Time in seconds at which the cap is lowered to a third.
    cap_lowered_at: Option<f64>,
    /// Minimum ratio of admitted requests to requests within the cap.
    min_served: f64,
}

const WITHIN_CAP: CapCase = CapCase {
    name: "within the cap, at all entries",
    entries: 65,
    instances: 6,
    cap: UsageCap {
        per_s: 17.0,
        burst: 17.0,
    },
    load: 0.8,
    is_at_one_entry: false,
    cut: None,
    leader_changes: &[],
    cap_lowered_at: None,
    min_served: 0.999,
};

const CASES: &[CapCase] = &[
    WITHIN_CAP,
    CapCase {
        name: "within the cap, at one entry",
        is_at_one_entry: true,
        ..WITHIN_CAP
    },
    CapCase {
        name: "a small cap",
        cap: UsageCap {
            per_s: 1.0,
            burst: 2.0,
        },
        load: 0.5,
        min_served: 0.98,
        ..WITHIN_CAP
    },
    CapCase {
        name: "a hot workspace",
        load: 7.5,
        min_served: 0.98,
        ..WITHIN_CAP
    },
    CapCase {
        name: "a hot workspace at one entry",
        load: 7.5,
        is_at_one_entry: true,
        min_served: 0.98,
        ..WITHIN_CAP
    },
    CapCase {
        name: "a hot workspace beside a cut",
        load: 7.5,
        cut: Some((8.0, 16.0)),
        min_served: 0.98,
        ..WITHIN_CAP
    },
    CapCase {
        name: "leaders one after the other under a hot workspace",
        load: 7.5,
        leader_changes: &[5.0, 7.0, 9.0, 11.0],
        min_served: 0.85,
        ..WITHIN_CAP
    },
    CapCase {
        name: "a lowered cap under a hot workspace",
        load: 7.5,
        cap_lowered_at: Some(10.0),
        min_served: 0.95,
        ..WITHIN_CAP
    },
    CapCase {
        name: "a thousand entries",
        entries: 1000,
        instances: 24,
        cap: UsageCap {
            per_s: 200.0,
            burst: 100.0,
        },
        min_served: 0.999,
        ..WITHIN_CAP
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
        min_served: 0.98,
        ..WITHIN_CAP
    },
];

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    ChangeLeader,
    LowerCap,
    /// An entry's token request arrives at its control instance: entry, waiting,
    /// ahead.
    EntryRequest(usize, u32, u32),
    /// A control instance's token request arrives at the leader: instance, entry (or
    /// `None` to refill the stock), waiting, ahead.
    LeaderRequest(usize, Option<usize>, u32, u32),
    /// The leader's reply arrives at a control instance: instance, entry (or `None`),
    /// tokens, retry time in milliseconds.
    LeaderReply(usize, Option<usize>, u32, u32),
    /// The control instance's reply arrives at an entry: entry, tokens, retry time in
    /// milliseconds.
    EntryReply(usize, u32, u32),
}

/// Event-driven simulation of entries, control instances and the leader.
struct CapSimulation<'a> {
    case: &'a CapCase,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    /// Number of events scheduled so far; orders events with equal times.
    event_count: u64,
    leases: Vec<CapLease>,
    stocks: Vec<CapStock>,
    /// Whether a control instance has an outstanding request to refill its stock.
    refill_pending: HashMap<usize, bool>,
    owner: CapOwner,
    leader_ready_at: Duration,
    admitted: Vec<Duration>,
    arrivals: Vec<Duration>,
    messages: u64,
}

impl CapSimulation<'_> {
    fn schedule(&mut self, when: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((when, self.event_count, event)));
    }

    fn caps(cap: UsageCap) -> Vec<(Box<str>, UsageCap)> {
        vec![(WORKSPACE.into(), cap)]
    }

    /// Returns whether the instance cannot reach the leader at `now`.
    fn is_cut(&self, instance: usize, now: Duration) -> bool {
        let seconds = now.as_secs_f64();
        let is_affected = instance * 2 >= self.case.instances;
        let span = self.case.cut;
        is_affected && span.is_some_and(|(from, to)| (from..to).contains(&seconds))
    }

    /// Sends an entry's token request to its control instance.
    fn request_tokens(&mut self, entry: usize, now: Duration) {
        let token_request = self.leases[entry].token_request(WORKSPACE);
        self.messages += 1;
        self.schedule(
            now + ENTRY_TO_INSTANCE,
            Event::EntryRequest(entry, token_request.waiting, token_request.ahead),
        );
    }

    /// Requests the missing tokens of an instance's stock from the leader, unless a
    /// request is outstanding.
    fn refill(&mut self, instance: usize, now: Duration) {
        let shortages = self.stocks[instance].shortages(self.case.instances as u32, now);
        let is_pending = self.refill_pending.insert(instance, true) == Some(true);
        match shortages.first() {
            Some(shortage) if !is_pending => {
                self.schedule(
                    now + INSTANCE_TO_LEADER,
                    Event::LeaderRequest(instance, None, 0, shortage.ahead),
                );
            }
            _ => {
                self.refill_pending.insert(instance, is_pending);
            }
        }
    }

    /// Applies one event and schedules the events that follow from it.
    fn handle_event(&mut self, event: Event, now: Duration) {
        let instances = self.case.instances;
        match event {
            Event::Request => {
                let rate = self.case.cap.per_s * self.case.load;
                let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
                self.schedule(now + Duration::from_secs_f64(gap), Event::Request);
                let entry_count = if self.case.is_at_one_entry {
                    1
                } else {
                    self.case.entries
                };
                let entry = self.rng.random_range(0..entry_count);
                self.arrivals.push(now);
                match self.leases[entry].admit_request(now) {
                    AdmissionStep::Admit => self.admitted.push(now),
                    AdmissionStep::RequestTokens => self.request_tokens(entry, now),
                    AdmissionStep::Wait | AdmissionStep::Refuse(_) => {}
                }
            }
            Event::ChangeLeader => {
                self.leader_ready_at = now + Duration::from_millis(700);
                self.owner.empty_buckets(self.leader_ready_at);
            }
            Event::LowerCap => {
                let cap = UsageCap {
                    per_s: self.case.cap.per_s / 3.0,
                    burst: self.case.cap.burst / 3.0,
                };
                self.owner.set_caps(CapSimulation::caps(cap), &BOUND, now);
                for stock in &mut self.stocks {
                    stock.set_caps(CapSimulation::caps(cap), instances as u32, now);
                }
            }
            Event::EntryRequest(entry, waiting, ahead) => {
                let instance = entry % instances;
                let taken = self.stocks[instance].take(WORKSPACE, waiting, now);
                if taken == waiting {
                    self.schedule(now + ENTRY_TO_INSTANCE, Event::EntryReply(entry, taken, 0));
                } else {
                    if taken > 0 {
                        self.stocks[instance].add(WORKSPACE, taken);
                    }
                    self.schedule(
                        now + INSTANCE_TO_LEADER,
                        Event::LeaderRequest(instance, Some(entry), waiting, ahead),
                    );
                }
                self.refill(instance, now);
            }
            Event::LeaderRequest(instance, entry, waiting, ahead) => {
                if self.is_cut(instance, now) || now < self.leader_ready_at {
                    let late = now + LEADER_TIMEOUT;
                    let tokens = if entry.is_some() {
                        self.stocks[instance].take_leaderless(
                            WORKSPACE,
                            waiting,
                            instances as u32,
                            late,
                        )
                    } else {
                        0
                    };
                    return self.schedule(late, Event::LeaderReply(instance, entry, tokens, 300));
                }
                let token_request = TokenRequest {
                    workspace: WORKSPACE.into(),
                    waiting,
                    ahead,
                };
                let grant = self.owner.grant(&token_request, now);
                let event = Event::LeaderReply(instance, entry, grant.tokens, grant.retry_ms);
                self.schedule(now + INSTANCE_TO_LEADER, event);
            }
            Event::LeaderReply(instance, None, tokens, _) => {
                self.refill_pending.insert(instance, false);
                self.stocks[instance].add(WORKSPACE, tokens);
            }
            Event::LeaderReply(_, Some(entry), tokens, retry_ms) => {
                self.schedule(
                    now + ENTRY_TO_INSTANCE,
                    Event::EntryReply(entry, tokens, retry_ms),
                );
            }
            Event::EntryReply(entry, tokens, retry_ms) => {
                let outcome = self.leases[entry].handle_grant(TokenGrant { tokens, retry_ms }, now);
                self.admitted.extend((0..outcome.served).map(|_| now));
                if outcome.asks {
                    self.request_tokens(entry, now);
                }
            }
        }
    }
}

/// Times of admitted and of all arriving requests, and the number of token
/// requests or share messages.
struct SimulationResult {
    admitted: Vec<Duration>,
    arrivals: Vec<Duration>,
    messages: u64,
}

/// Simulates a case with tokens of one owner, as in production.
fn simulate(case: &CapCase, seed: u64) -> SimulationResult {
    let mut simulation = CapSimulation {
        case,
        rng: SmallRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        event_count: 0,
        leases: vec![CapLease::default(); case.entries],
        stocks: vec![CapStock::new(BOUND); case.instances],
        refill_pending: HashMap::new(),
        owner: CapOwner::default(),
        leader_ready_at: Duration::ZERO,
        admitted: Vec::new(),
        arrivals: Vec::new(),
        messages: 0,
    };
    simulation
        .owner
        .set_caps(CapSimulation::caps(case.cap), &BOUND, Duration::ZERO);
    for stock in &mut simulation.stocks {
        stock.set_caps(
            CapSimulation::caps(case.cap),
            case.instances as u32,
            Duration::ZERO,
        );
    }
    simulation.schedule(Duration::from_millis(5), Event::Request);
    for change in case.leader_changes {
        simulation.schedule(Duration::from_secs_f64(*change), Event::ChangeLeader);
    }
    if let Some(cap_lowered_at) = case.cap_lowered_at {
        simulation.schedule(Duration::from_secs_f64(cap_lowered_at), Event::LowerCap);
    }
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        if now >= SIMULATED_TIME {
            break;
        }
        simulation.handle_event(event, now);
    }
    SimulationResult {
        admitted: simulation.admitted,
        arrivals: simulation.arrivals,
        messages: simulation.messages,
    }
}

/// Returns the maximum number of admitted requests in any window within `span`.
fn count_most_in_window(admitted: &[Duration], span: Span) -> usize {
    let mut window = VecDeque::new();
    let mut most = 0;
    for run in admitted {
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

/// Returns the maximum number of requests per window that the bound permits.
fn max_admitted(cap: UsageCap) -> f64 {
    (cap.per_s * BOUND.window.as_secs_f64() + cap.burst) * (1.0 + BOUND.excess) + BOUND.slack
}

/// Returns how many of the requests a single exact token bucket would admit.
fn count_within_cap(case: &CapCase, arrivals: &[Duration]) -> f64 {
    let (mut level, mut at, mut within_cap) = (case.cap.burst, Duration::ZERO, 0.0);
    for request in arrivals {
        let is_lowered = case
            .cap_lowered_at
            .is_some_and(|from| request.as_secs_f64() >= from);
        let cap_factor = if is_lowered { 1.0 / 3.0 } else { 1.0 };
        let passed = (*request - at).as_secs_f64();
        level = (level + passed * case.cap.per_s * cap_factor).min(case.cap.burst * cap_factor);
        at = *request;
        if level >= 1.0 {
            level -= 1.0;
            within_cap += 1.0;
        }
    }
    within_cap
}

#[test]
fn entries_together_stay_within_the_cap_and_serve_requests_within_it() {
    for case in CASES {
        for seed in 0..8 {
            let mut result = simulate(case, seed);
            result.admitted.sort();
            let until = case.cap_lowered_at.unwrap_or(SIMULATED_TIME.as_secs_f64());
            let most = count_most_in_window(&result.admitted, (0.0, until));
            let bound = max_admitted(case.cap);
            assert!(
                most as f64 <= bound,
                "{} {seed}: {most} of {bound}",
                case.name
            );
            if let Some(cap_lowered_at) = case.cap_lowered_at {
                let cap = UsageCap {
                    per_s: case.cap.per_s / 3.0,
                    burst: case.cap.burst / 3.0,
                };
                // The lowered cap applies one window after the change.
                let since = cap_lowered_at + BOUND.window.as_secs_f64();
                let most =
                    count_most_in_window(&result.admitted, (since, SIMULATED_TIME.as_secs_f64()));
                assert!(
                    most as f64 <= max_admitted(cap),
                    "{} {seed}: {most}",
                    case.name
                );
            }
            let within_cap = count_within_cap(case, &result.arrivals);
            let served = result.admitted.len() as f64 / within_cap;
            assert!(
                served >= case.min_served,
                "{} {seed}: {served:.4} of {within_cap}",
                case.name
            );
            let per_entry =
                result.messages as f64 / SIMULATED_TIME.as_secs_f64() / case.entries as f64;
            let max_per_entry = if case.is_at_one_entry { 20.0 } else { 1.0 };
            assert!(
                per_entry <= max_per_entry,
                "{} {seed}: {per_entry:.2} token requests per second and entry",
                case.name
            );
        }
    }
}

/// Fraction of the cap that is divided equally among all entries, regardless of
/// demand.
const IDLE_FRACTION: f64 = 0.05;
/// Interval at which the shares are recomputed.
const SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// Simulates the alternative design: each entry gets a share of the cap in
/// proportion to its requests in the last second.
fn simulate_shares(case: &CapCase, seed: u64) -> SimulationResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let entries = case.entries;
    let part = IDLE_FRACTION / entries as f64;
    let mut shares = vec![1.0 / entries as f64; entries];
    let mut levels = vec![case.cap.burst / entries as f64; entries];
    let mut filled = vec![Duration::ZERO; entries];
    let mut demand = vec![0.0; entries];
    let (mut admitted, mut arrivals, mut messages) = (Vec::new(), Vec::new(), 0);
    let (mut now, mut round) = (Duration::ZERO, SHARE_INTERVAL);
    while now < SIMULATED_TIME {
        let rate = case.cap.per_s * case.load;
        now += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        while now >= round {
            let all: f64 = demand.iter().sum();
            messages += 2 * demand.iter().filter(|asked| **asked > 0.0).count() as u64;
            for (share, asked) in shares.iter_mut().zip(&demand) {
                *share = part + (1.0 - IDLE_FRACTION) * asked / all.max(1.0);
            }
            demand.fill(0.0);
            round += SHARE_INTERVAL;
        }
        let entry = rng.random_range(0..if case.is_at_one_entry { 1 } else { entries });
        arrivals.push(now);
        demand[entry] += 1.0;
        let passed = (now - filled[entry]).as_secs_f64();
        let most = (case.cap.burst * shares[entry]).max(1.0);
        levels[entry] = (levels[entry] + passed * case.cap.per_s * shares[entry]).min(most);
        filled[entry] = now;
        if levels[entry] >= 1.0 {
            levels[entry] -= 1.0;
            admitted.push(now);
        }
    }
    SimulationResult {
        admitted,
        arrivals,
        messages,
    }
}

#[test]
fn tokens_of_one_owner_serve_as_much_as_shares_by_demand() {
    for case in CASES
        .iter()
        .filter(|case| case.cut.is_none() && case.cap_lowered_at.is_none())
    {
        let (mut leased, mut shared, mut most, mut messages) = (0.0, 0.0, 0, (0, 0));
        for seed in 0..8 {
            let tokens = simulate(case, seed);
            let shares = simulate_shares(case, seed);
            leased += tokens.admitted.len() as f64 / count_within_cap(case, &tokens.arrivals) / 8.0;
            shared += shares.admitted.len() as f64 / count_within_cap(case, &shares.arrivals) / 8.0;
            most = most.max(count_most_in_window(
                &shares.admitted,
                (0.0, SIMULATED_TIME.as_secs_f64()),
            ));
            messages.0 += tokens.messages / 8;
            messages.1 += shares.messages / 8;
        }
        println!(
            "{}: served {leased:.3} with tokens, {shared:.3} with shares, which had {most} in a window of {:.0}; {} and {} messages",
            case.name,
            max_admitted(case.cap),
            messages.0,
            messages.1,
        );
        assert!(
            leased >= shared - 0.02,
            "{}: {leased} and {shared}",
            case.name
        );
    }
}
