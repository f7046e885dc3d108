//! The bound on extra load while callers move between entries.
//!
//! Guards against this failure: a service got 330 extra sends in ten seconds where 329.6 are
//! allowed, in 2 of 48 simulations of one deployment with one seed. Entries were restarted
//! one after the other, and their callers moved to the remaining entries. 1 s after the
//! last restart half of the servers began to reject requests. The entry with the most
//! requests then spent the budget that it had earned from these callers, and the restarted
//! entries spent the budget that the same callers earned there again.
//!
//! All extra sends were counted (324 of 324), and each entry kept to its own budget. The
//! sum of the budgets, however, was 359 to 364 where 336 to 341 are allowed, as the busiest
//! entry had 620 requests in the ten seconds before and 510 in the ten seconds after.

use std::time::Duration;

use wheelmast_core::process::forward::extra::{ExtraBound, ExtraBudget, ExtraPurpose};

/// Requests of each entry in ten seconds while some entries are restarting.
const DURING_RESTARTS: [u32; 8] = [250, 265, 80, 40, 70, 600, 60, 75];
/// Requests of each entry in ten seconds after the callers have come back.
const AFTER_RESTARTS: [u32; 8] = [180, 180, 180, 180, 180, 180, 180, 180];
/// Length of a step of the simulation.
const STEP: Duration = Duration::from_millis(20);
/// Number of steps in the bound's window of ten seconds.
const WINDOW_STEPS: u32 = 500;

struct ShiftCase {
    name: &'static str,
    /// When the callers come back to the restarted entries, in seconds.
    back_at: f64,
    /// When servers begin to reject requests, in seconds.
    reject_at: f64,
}

/// Requests and extra sends of all entries in one step.
#[derive(Clone, Copy, Default)]
struct StepSum {
    requests: u32,
    extras: u32,
}

/// Simulates all entries and returns the sums of each step. Once servers reject requests, each
/// entry tries to repeat each of its requests.
fn simulate(case: &ShiftCase, bound: &ExtraBound) -> Vec<StepSum> {
    let reduced = bound.with_reserve();
    let mut entries = vec![ExtraBudget::default(); DURING_RESTARTS.len()];
    let mut accumulated = [0u32; DURING_RESTARTS.len()];
    let mut sums = Vec::new();
    for step in 0..3 * WINDOW_STEPS {
        let now = STEP * step;
        let seconds = now.as_secs_f64();
        let is_back = seconds >= case.back_at;
        let mut sum = StepSum::default();
        for (index, entry) in entries.iter_mut().enumerate() {
            accumulated[index] += if is_back {
                AFTER_RESTARTS[index]
            } else {
                DURING_RESTARTS[index]
            };
            while accumulated[index] >= WINDOW_STEPS {
                accumulated[index] -= WINDOW_STEPS;
                entry.count_request(&reduced, now);
                sum.requests += 1;
                let wants_repeat = seconds >= case.reject_at;
                let count = DURING_RESTARTS.len() as u32;
                if wants_repeat && entry.try_spend(&reduced, count, ExtraPurpose::Retry, now) {
                    sum.extras += 1;
                }
            }
        }
        sums.push(sum);
    }
    sums
}

/// Asserts that all entries together keep the bound in every window of a simulated case.
fn check(case: &ShiftCase) {
    let bound = ExtraBound {
        ratio: 0.2,
        slack: 54.0,
        window: Duration::from_secs(10),
    };
    let sums = simulate(case, &bound);
    for window in sums.windows(WINDOW_STEPS as usize) {
        let requests: u32 = window.iter().map(|sum| sum.requests).sum();
        let extras: u32 = window.iter().map(|sum| sum.extras).sum();
        let most = bound.ratio * f64::from(requests) + bound.slack;
        assert!(
            f64::from(extras) <= most,
            "{}: {extras} extra sends of {most} allowed",
            case.name
        );
    }
}

#[test]
fn all_entries_keep_the_bound_when_callers_came_back_to_some() {
    let cases = [
        ShiftCase {
            name: "at once",
            back_at: 16.0,
            reject_at: 16.0,
        },
        ShiftCase {
            name: "two seconds after",
            back_at: 16.0,
            reject_at: 18.0,
        },
        ShiftCase {
            name: "five seconds after",
            back_at: 16.0,
            reject_at: 21.0,
        },
    ];
    for case in &cases {
        check(case);
    }
}

/// In this case the entry with the most requests spends the budget earned from its callers
/// before they leave, and no entry knows in advance that they will leave. All entries
/// together made 405 extra sends where 342 are allowed, when entries checked only the window
/// that ends with a send.
#[test]
fn all_entries_keep_the_bound_when_callers_move_while_servers_reject() {
    check(&ShiftCase {
        name: "two seconds before",
        back_at: 16.0,
        reject_at: 14.0,
    });
}
