//! All parts together: 63 entries, 6 control instances and 74 workspaces share servers
//! that work off a queue.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wheelmast_core::finding::FindingList;
use wheelmast_core::process::load::share::ShareWeights;
use wheelmast_core::process::load::share_gate::ShareGate;
use wheelmast_core::process::load::usage_board::{summary_shares, UsageBoard};
use wheelmast_core::process::load::LoadReport;
use wheelmast_core::version::workspace::{UsageCap, WorkspaceRegistry, WorkspaceRule};

/// Seeds of each play.
const SEEDS: u64 = 16;
const ENTRIES: usize = 63;
const INSTANCES: usize = 6;
const WORKSPACES: usize = 74;
/// Workspaces with ten times the rate of the others.
const LARGE_WORKSPACES: usize = 4;
/// Rate of a small workspace relative to that of a large one.
const SMALL_RATE: f64 = 0.1;
/// Kinds of request: requests per second and work in milliseconds, which is that of all
/// parts together.
const KINDS: [(f64, f64); 3] = [(25.2, 1350.0), (14.6, 450.0), (8.41, 120.0)];
/// Wait above which a service becomes short, and below which it no longer is, in seconds:
/// a quarter and a tenth of an objective of 200 ms.
const SHORT_WAIT: f64 = 0.05;
const AMPLE_WAIT: f64 = 0.02;
/// Wait above which admission refuses requests, in seconds.
const MAX_WAIT: f64 = 0.12;
const STEP: Duration = Duration::from_millis(1);

/// Time from which on the hot workspace sends above its usual rate.
const HOT_FROM: Duration = Duration::from_secs(4);
const PLAY_END: Duration = Duration::from_secs(16);

#[derive(Debug, Clone, Copy)]
struct Play {
    /// Workspace above its usual rate, and the factor.
    hot: Option<(usize, f64)>,
    /// Work that the servers do, relative to the usual work of all workspaces.
    capacity: f64,
    has_shares: bool,
    /// Time from which on the control group is lost.
    lost_from: Duration,
    /// Time from which on requests are counted.
    counted_from: Duration,
    seed: u64,
}

/// Work of one workspace.
#[derive(Debug, Default, Clone)]
struct Counts {
    asked: f64,
    served: f64,
    /// Refused because the workspace was over its share.
    refused: f64,
}

struct Fleet {
    gates: Vec<ShareGate>,
    boards: Vec<UsageBoard>,
    registry: WorkspaceRegistry,
    names: Vec<Arc<str>>,
}

impl Fleet {
    fn new() -> Fleet {
        let names: Vec<Arc<str>> = (0..WORKSPACES)
            .map(|index| format!("w{index}").into())
            .collect();
        let rules = names.iter().enumerate().map(|(index, name)| WorkspaceRule {
            name: name.to_string(),
            keys: Vec::new(),
            rank: None,
            cap: Some(UsageCap {
                per_s: 10.0 * usual_rate(index),
                burst: 10.0,
            }),
            homes: Vec::new(),
        });
        let mut findings = FindingList::default();
        Fleet {
            gates: vec![ShareGate::default(); ENTRIES],
            boards: vec![UsageBoard::default(); INSTANCES],
            registry: WorkspaceRegistry::check(rules.collect(), &mut findings),
            names,
        }
    }

    /// Sends the reports of all entries, and the summaries that follow from them.
    fn exchange(&mut self, now: Duration) {
        for (entry, gate) in self.gates.iter_mut().enumerate() {
            let mut report = LoadReport::default();
            gate.fill_report(&mut report, now);
            self.boards[entry % INSTANCES].record_entry(&format!("e{entry}"), &report, now);
        }
        for instance in 0..INSTANCES {
            let mut report = LoadReport::default();
            self.boards[instance].fill_share(&mut report, now);
            for (other, board) in self.boards.iter_mut().enumerate() {
                if other != instance {
                    board.record_instance(&format!("c{instance}"), &report, now);
                }
            }
        }
        let weights = ShareWeights::from_registry(&self.registry);
        for (entry, gate) in self.gates.iter_mut().enumerate() {
            let over = self.boards[entry % INSTANCES].list_over_share(weights, now);
            gate.apply_summary(&summary_shares(&over), now);
        }
    }
}

/// Rate of a workspace relative to that of a large one.
fn usual_rate(workspace: usize) -> f64 {
    if workspace < LARGE_WORKSPACES {
        1.0
    } else {
        SMALL_RATE
    }
}

impl Play {
    fn run(&self) -> Vec<Counts> {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut fleet = Fleet::new();
        let weights = fleet.registry.clone();
        let weights = ShareWeights::from_registry(&weights);
        let usual: f64 = (0..WORKSPACES).map(usual_rate).sum();
        let usual_work: f64 = KINDS.iter().map(|(rate, work)| rate * work).sum();
        let capacity = usual_work * self.capacity;
        let rates: Vec<f64> = (0..WORKSPACES)
            .map(|workspace| match self.hot {
                Some((hot, factor)) if hot == workspace => usual_rate(workspace) / usual * factor,
                _ => usual_rate(workspace) / usual,
            })
            .collect();
        let mut counts = vec![Counts::default(); WORKSPACES];
        let mut now = Duration::ZERO;
        let (mut backlog, mut is_short, mut short_until) = (0.0, false, Duration::ZERO);
        let mut next_exchange = Duration::from_millis(500);
        while now < PLAY_END {
            now += STEP;
            backlog = (backlog - capacity * STEP.as_secs_f64()).max(0.0);
            let wait = backlog / capacity;
            if wait > SHORT_WAIT {
                (is_short, short_until) = (true, now + Duration::from_secs(1));
            } else if wait > AMPLE_WAIT && is_short {
                short_until = now + Duration::from_secs(1);
            }
            is_short &= now < short_until;
            if now >= next_exchange && now < self.lost_from && is_short {
                fleet.exchange(now);
                next_exchange = now + Duration::from_secs(1);
            }
            let is_counted = now >= self.counted_from;
            for workspace in 0..WORKSPACES {
                let rate = if now >= HOT_FROM {
                    rates[workspace]
                } else {
                    usual_rate(workspace) / usual
                };
                for (kind, (per_second, work)) in KINDS.iter().enumerate() {
                    if !rng.random_bool(rate * per_second * STEP.as_secs_f64()) {
                        continue;
                    }
                    let entry = rng.random_range(0..ENTRIES);
                    let name = &fleet.names[workspace];
                    let gate = &mut fleet.gates[entry];
                    gate.record_request(Some(name), *work, now);
                    let count = &mut counts[workspace];
                    let counted_work = if is_counted { *work } else { 0.0 };
                    count.asked += counted_work;
                    let limit = if self.has_shares && is_short {
                        gate.find_limit(name, weights, now)
                    } else {
                        None
                    };
                    if limit.is_some_and(|limit| !gate.admit(name, kind, limit, now, &mut rng)) {
                        count.refused += counted_work;
                        continue;
                    }
                    let wait = backlog / capacity;
                    if wait > MAX_WAIT {
                        continue;
                    }
                    backlog += work;
                    gate.record_served(*work, now);
                    count.served += counted_work;
                }
            }
        }
        counts
    }
}

/// Served fractions of the work of a play, over several seeds.
#[derive(Debug, Default)]
struct Outcome {
    hot: f64,
    others: f64,
    all: f64,
    /// Work that was refused because of a share, of all work of the others.
    others_refused: f64,
}

/// Runs a play with several seeds.
fn run(hot: usize, play: Play) -> Outcome {
    let (mut hot_sum, mut others) = (Counts::default(), Counts::default());
    for seed in 0..SEEDS {
        let counts = Play { seed, ..play }.run();
        for (workspace, count) in counts.iter().enumerate() {
            let sum = if workspace == hot {
                &mut hot_sum
            } else {
                &mut others
            };
            sum.asked += count.asked;
            sum.served += count.served;
            sum.refused += count.refused;
        }
    }
    Outcome {
        hot: hot_sum.served / hot_sum.asked,
        others: others.served / others.asked,
        all: (hot_sum.served + others.served) / (hot_sum.asked + others.asked),
        others_refused: others.refused / others.asked,
    }
}

/// Servers that do exactly the usual work of all workspaces, with shares.
const FULL_LOAD: Play = Play {
    hot: None,
    capacity: 1.0,
    has_shares: true,
    lost_from: PLAY_END,
    counted_from: HOT_FROM,
    seed: 0,
};
/// A large workspace and a small one.
const HOT_WORKSPACES: [usize; 2] = [0, 10];
const HOT_FACTOR: f64 = 7.5;

/// Guards against one workspace that takes the servers from 73 others at full load. The
/// shares follow within 3 s: work is counted with a half-life of 2 s, and reported once a
/// second.
#[test]
fn others_lose_little_to_a_workspace_above_its_usual_rate() {
    for hot in HOT_WORKSPACES {
        let settled = Play {
            counted_from: HOT_FROM + Duration::from_secs(3),
            ..FULL_LOAD
        };
        let without = run(
            hot,
            Play {
                has_shares: false,
                ..settled
            },
        );
        let hot_play = Play {
            hot: Some((hot, HOT_FACTOR)),
            ..settled
        };
        let unlimited = run(
            hot,
            Play {
                has_shares: false,
                ..hot_play
            },
        );
        let limited = run(hot, hot_play);
        assert!(
            without.others - limited.others <= 0.05,
            "{without:?} {limited:?}"
        );
        assert!(
            limited.others > unlimited.others,
            "{unlimited:?} {limited:?}"
        );
        assert!(limited.hot >= 0.25 * limited.all, "{limited:?}");
    }
}

/// Guards against a target that holds only once the shares have settled: the others may lose
/// 0.05 of what they are served without the hot workspace, from its first second on.
#[test]
#[ignore = "known to fail, see KNOWN-RED.txt"]
fn others_lose_little_over_the_whole_time_that_a_workspace_is_hot() {
    for hot in HOT_WORKSPACES {
        let without = Play {
            has_shares: false,
            ..FULL_LOAD
        };
        let hot_play = Play {
            hot: Some((hot, HOT_FACTOR)),
            ..FULL_LOAD
        };
        let (without, limited) = (run(hot, without), run(hot, hot_play));
        println!("workspace {hot}: {without:?} {limited:?}");
        assert!(
            without.others - limited.others <= 0.05,
            "workspace {hot}: {without:?} {limited:?}"
        );
    }
}

/// Guards against shares that follow too slowly: a workspace stays above its usual rate
/// for 5 to 8 s, so the seconds until the shares follow count as well.
#[test]
fn others_gain_from_the_first_second_on() {
    let hot = HOT_WORKSPACES[0];
    let hot_play = Play {
        hot: Some((hot, HOT_FACTOR)),
        ..FULL_LOAD
    };
    let unlimited = run(
        hot,
        Play {
            has_shares: false,
            ..hot_play
        },
    );
    let limited = run(hot, hot_play);
    assert!(
        limited.others >= unlimited.others + 0.15,
        "{unlimited:?} {limited:?}"
    );
}

/// Guards against limits where nothing is short, and against workspaces at their usual
/// rate that are limited because their few requests vary.
#[test]
fn nobody_is_limited_for_long_at_the_usual_rates() {
    let hot = HOT_WORKSPACES[0];
    let ample = run(
        hot,
        Play {
            capacity: 3.0,
            hot: Some((hot, HOT_FACTOR)),
            ..FULL_LOAD
        },
    );
    assert_eq!(ample.others_refused, 0.0);
    assert!(ample.hot > 0.999 && ample.others > 0.999, "{ample:?}");
    let full = run(hot, FULL_LOAD);
    assert!(full.others_refused <= 0.03, "{full:?}");
}

/// Guards against a lost control group that leaves old limits in place, or that makes
/// entries limit workspaces of which they have seen one or two requests.
#[test]
fn a_lost_control_group_leaves_no_workspace_limited_by_chance() {
    let hot = HOT_WORKSPACES[0];
    let lost = Play {
        hot: Some((hot, HOT_FACTOR)),
        lost_from: HOT_FROM + Duration::from_secs(4),
        counted_from: HOT_FROM + Duration::from_secs(8),
        ..FULL_LOAD
    };
    let unlimited = run(
        hot,
        Play {
            has_shares: false,
            ..lost
        },
    );
    let lost = run(hot, lost);
    assert_eq!(lost.others_refused, 0.0);
    assert!(
        (lost.others - unlimited.others).abs() < 0.05,
        "{unlimited:?} {lost:?}"
    );
}
