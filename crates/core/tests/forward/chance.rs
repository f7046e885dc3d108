//! Property tests of the forward machine: guarantees to callers under random
//! event sequences, and limits and shares under random loads.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use wheelmast_core::process::forward::answer::ForwardAnswer;
use wheelmast_core::process::forward::directory::{
    ServerAnnouncement, ServerDirectory, ServerLifecycle,
};
use wheelmast_core::process::forward::extra::{ExtraBound, ExtraBudget, ExtraPurpose};
use wheelmast_core::process::forward::input::{AttemptResult, ForwardInput, ServerAnswer};
use wheelmast_core::process::forward::split::SplitScheduler;
use wheelmast_core::process::input::CallTag;
use wheelmast_core::version::route_table::{RouteTarget, WeightedService};

use crate::harness::{answer, route, server_announcement, shards, table, Harness, LOCAL_DOMAIN};

/// A random event. The numbers choose among the possible targets and outcomes.
#[derive(Debug, Clone)]
enum Event {
    /// A caller sends a request to one of the routes.
    Call(u8),
    /// The caller of a request disconnects.
    Leave(u8),
    /// The given number of milliseconds passes.
    Pass(u16),
    /// An outstanding attempt ends with one of the possible outcomes.
    End(u16, u8),
    /// A server announces that it is ready or gone.
    Announcement(u8, u8),
}

/// Returns a strategy for random events, of which most end attempts.
fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => any::<u8>().prop_map(Event::Call),
        1 => any::<u8>().prop_map(Event::Leave),
        4 => (1u16..200).prop_map(Event::Pass),
        12 => (any::<u16>(), any::<u8>()).prop_map(|(send, how)| Event::End(send, how)),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(id, how)| Event::Announcement(id, how)),
    ]
}

/// The servers that ran, or may have run, a request, by request and service.
#[derive(Default)]
struct RunRecord {
    may_have_run: HashMap<(CallTag, String), Vec<Arc<str>>>,
}

/// Returns the outcome of an attempt for a random number, and whether the server may
/// have run the request.
fn attempt_end(how: u8) -> (AttemptResult, bool) {
    let not_run = ServerAnswer {
        not_run: true,
        ..answer(503, "s", b"")
    };
    match how % 6 {
        0 => (AttemptResult::Unsent, false),
        1 => (AttemptResult::Broken, true),
        2 => (AttemptResult::Answer(not_run), false),
        3 => (AttemptResult::Answer(answer(500, "s", b"")), true),
        _ => (AttemptResult::Answer(answer(200, "s", b"")), true),
    }
}

/// Runs a sequence of events and checks that:
///
/// - each request is answered exactly once, unless its caller disconnected;
/// - no more servers than the route allows may have run a part of a request;
/// - no failure says that a request was not run if it may have run.
fn check_guarantees(events: Vec<Event>) -> Result<(), TestCaseError> {
    let mut harness = Harness::new();
    let mut once = route("once", RouteTarget::Service("desk".into()));
    once.idempotent = false;
    let twice = route("twice", RouteTarget::Service("desk".into()));
    harness.set_table(table(1, vec![once, twice, route("q", shards(3))]));
    for service in ["desk", "s0", "s1", "s2"] {
        harness.add_servers(service, 3);
    }
    let routes = ["once", "twice", "q"];
    let mut calls: Vec<(CallTag, &str)> = Vec::new();
    let mut left = Vec::new();
    let mut ended = Vec::new();
    let mut runs_seen = RunRecord::default();
    for event in events {
        match event {
            Event::Call(pick) => {
                let route = routes[usize::from(pick) % routes.len()];
                calls.push((harness.call(route), route));
            }
            Event::Leave(pick) if !calls.is_empty() => {
                let (tag, _) = calls[usize::from(pick) % calls.len()];
                if harness.answer_to(tag).is_none() {
                    left.push(tag);
                }
                harness.step(ForwardInput::CallerLeft(tag));
            }
            Event::Leave(_) => {}
            Event::Pass(millis) => harness.advance(u64::from(millis)),
            Event::End(pick, how) => {
                let open: Vec<usize> = (0..harness.sends.len())
                    .filter(|send| !ended.contains(send))
                    .collect();
                if let Some(send) = open.get(usize::from(pick) % open.len().max(1)) {
                    let attempt = harness.sends[*send].clone();
                    let (end, ran) = attempt_end(how);
                    ended.push(*send);
                    if ran {
                        let service = attempt.instance.split('-').next().unwrap_or_default();
                        let key = (attempt.call, service.to_string());
                        let runs = runs_seen.may_have_run.entry(key).or_default();
                        runs.push(attempt.instance.clone());
                    }
                    harness.end(*send, end);
                }
            }
            Event::Announcement(pick, how) => {
                let id = format!("desk-{}", pick % 3);
                let announcement = match how % 3 {
                    0 => ServerAnnouncement::gone(&id, 0),
                    _ => server_announcement(&id, "desk", LOCAL_DOMAIN, 1000),
                };
                harness.step(ForwardInput::Announcement(announcement));
            }
        }
    }
    harness.advance(2000);
    for (tag, route) in calls {
        let answered = harness.answer_to(tag).is_some();
        prop_assert_eq!(
            answered,
            !left.contains(&tag),
            "a request is answered unless its caller left"
        );
        let runs = runs_seen
            .may_have_run
            .iter()
            .filter(|((call, _), _)| *call == tag);
        for (_, servers) in runs.clone() {
            let most = if route == "once" { 1 } else { 2 };
            prop_assert!(
                servers.len() <= most,
                "{route} ran or may have run on {servers:?}"
            );
        }
        if let Some(ForwardAnswer::Failure { failure, .. }) = harness.answer_to(tag) {
            let ran = runs.count() > 0;
            prop_assert!(
                !(failure.is_known_unrun() && ran),
                "{route}: {failure:?}, although the request may have run"
            );
        }
    }
    prop_assert_eq!(harness.machine.call_count(), 0);
    Ok(())
}

/// Spends the whole budget. Returns the number of extra sends.
fn spend_all(budget: &mut ExtraBudget, bound: &ExtraBound, now: Duration) -> u32 {
    let mut spent = 0;
    while budget.try_spend(bound, 1, ExtraPurpose::Retry, now) {
        spent += 1;
    }
    spent
}

/// Guards against extra sends for requests that are no longer in the window, and against more
/// extra sends at once than the constant allowance: a window that begins just before them
/// contains no request.
#[test]
fn requests_outside_the_window_add_nothing_to_the_budget() {
    let bound = ExtraBound {
        ratio: 0.2,
        slack: 20.0,
        window: Duration::from_secs(2),
    };
    let begin = Duration::from_secs(10);
    // The first 20 are sent at the beginning, before 100 requests, which earn 20 more.
    let cases = [
        (0, 20, 1900, 0),
        (1900, 20, 2150, 0),
        (1900, 20, 3850, 0),
        (1900, 20, 4050, 20),
        (2050, 0, 2150, 20),
    ];
    for (first, first_sends, second, second_sends) in cases {
        let mut budget = ExtraBudget::default();
        assert_eq!(spend_all(&mut budget, &bound, begin), 20);
        for _ in 0..100 {
            budget.count_request(&bound, begin);
        }
        for (millis, expected) in [(first, first_sends), (second, second_sends)] {
            let spent = spend_all(&mut budget, &bound, begin + Duration::from_millis(millis));
            assert_eq!(spent, expected, "after {millis} ms, first after {first} ms");
        }
    }
}

/// Guards against an entry of many, whose part of the allowance is about one send or less,
/// that can never send, or that spends the budget of a window at once.
#[test]
fn an_entry_with_a_small_part_of_the_allowance_spends_what_it_earns() {
    let bound = ExtraBound {
        ratio: 0.2,
        slack: 20.0,
        window: Duration::from_secs(2),
    };
    let begin = Duration::from_secs(10);
    for (entries, purpose, most) in [
        (16, ExtraPurpose::Retry, 22),
        (16, ExtraPurpose::Hedge, 21),
        (40, ExtraPurpose::Retry, 21),
        (40, ExtraPurpose::Hedge, 21),
    ] {
        let mut budget = ExtraBudget::default();
        let mut extras = 0;
        for step in 0..100 {
            let now = begin + Duration::from_millis(19) * step;
            budget.count_request(&bound, now);
            extras += u32::from(budget.try_spend(&bound, entries, purpose, now));
        }
        assert!((15..=most).contains(&extras), "{entries} entries: {extras}");
        let mut budget = ExtraBudget::default();
        for _ in 0..100 {
            budget.count_request(&bound, begin);
        }
        let now = begin + Duration::from_secs(1);
        let tries = (0..100).map(|_| budget.try_spend(&bound, entries, purpose, now));
        let sent = tries.filter(|is_sent| *is_sent).count();
        assert_eq!(sent, 1, "{entries} entries");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn guarantees_hold_for_any_sequence_of_events(events in prop::collection::vec(event(), 1..120)) {
        check_guarantees(events)?;
    }

    #[test]
    fn extra_load_stays_within_the_bound_in_any_window(
        load in prop::collection::vec((0u64..400, 0usize..5, any::<bool>()), 1..400),
    ) {
        let bound = ExtraBound { ratio: 0.2, slack: 10.0, window: Duration::from_secs(2) };
        let mut entries = vec![ExtraBudget::default(); 5];
        let mut now = Duration::from_secs(5);
        let mut requests: Vec<Duration> = Vec::new();
        let mut extras: Vec<Duration> = Vec::new();
        for (gap, entry, wants) in load {
            now += Duration::from_millis(gap);
            entries[entry].count_request(&bound, now);
            requests.push(now);
            if wants && entries[entry].try_spend(&bound, 5, ExtraPurpose::Retry, now) {
                extras.push(now);
            }
            let begin = now - bound.window;
            let count = |times: &[Duration]| times.iter().filter(|at| **at > begin).count() as f64;
            let most = bound.ratio * count(&requests) + bound.slack;
            prop_assert!(count(&extras) <= most + 1e-9, "{} extra attempts, {most} allowed", count(&extras));
        }
    }

    /// Guards against extra sends that fit the window that ends with them, but not a later
    /// one, in which the callers whose requests they rely on are at other entries. Each phase
    /// is a number of requests 10 ms apart, the entry that gets most of them, and the part of
    /// them that is to be repeated.
    #[test]
    fn extra_load_stays_within_the_bound_in_every_window_while_callers_move(
        phases in prop::collection::vec((1u32..150, 0usize..5, 0u32..4), 1..12),
    ) {
        let bound = ExtraBound { ratio: 0.2, slack: 10.0, window: Duration::from_secs(2) };
        let mut entries = vec![ExtraBudget::default(); 5];
        let mut now = Duration::from_secs(5);
        let mut requests: Vec<Duration> = Vec::new();
        let mut extras: Vec<Duration> = Vec::new();
        for (count, busiest, repeats) in phases {
            for number in 0..count {
                now += Duration::from_millis(10);
                let entry = if number % 4 == 0 { number as usize / 4 % 5 } else { busiest };
                entries[entry].count_request(&bound, now);
                requests.push(now);
                for _ in 0..repeats {
                    if entries[entry].try_spend(&bound, 5, ExtraPurpose::Retry, now) {
                        extras.push(now);
                    }
                }
            }
        }
        for begin in &extras {
            let window = *begin..*begin + bound.window;
            let count = |times: &[Duration]| times.iter().filter(|at| window.contains(at)).count() as f64;
            // A request that comes with the first extra send of the window is in the window.
            let most = bound.ratio * count(&requests) + bound.slack;
            prop_assert!(count(&extras) <= most + 1e-9, "{} extra sends, {most} allowed", count(&extras));
        }
    }

    #[test]
    fn a_split_distributes_requests_by_weight(weights in prop::collection::vec(0.0f64..10.0, 1..6)) {
        prop_assume!(weights.iter().sum::<f64>() > 0.1);
        let parts: Vec<WeightedService> = weights
            .iter()
            .map(|weight| WeightedService { service: "s".into(), weight: *weight })
            .collect();
        let mut counter = SplitScheduler::default();
        let mut counts = vec![0.0; parts.len()];
        for _ in 0..60 {
            counts[counter.next(&parts)] += 1.0;
        }
        let sum: f64 = weights.iter().sum();
        for (count, weight) in counts.iter().zip(&weights) {
            let deviation: f64 = count / 60.0 - weight / sum;
            prop_assert!(deviation.abs() < 0.05, "{counts:?} for {weights:?}");
        }
    }

    #[test]
    fn announcements_of_a_server_give_the_same_state_in_any_order(
        order in prop::collection::vec(0usize..6, 1..40),
    ) {
        let states = [
            ServerLifecycle::Ready, ServerLifecycle::Ready, ServerLifecycle::Draining,
            ServerLifecycle::Ready, ServerLifecycle::Draining, ServerLifecycle::Gone,
        ];
        let mut directory = ServerDirectory::default();
        let mut worst = ServerLifecycle::Ready;
        for (step, index) in order.into_iter().enumerate() {
            let announcement = ServerAnnouncement {
                standing: states[index],
                sequence: index as u64 + 1,
                ..server_announcement("a", "desk", LOCAL_DOMAIN, 1)
            };
            worst = worst.max(states[index]);
            directory.apply(announcement, Duration::from_secs(step as u64));
            let stored = directory.get("a").expect("known").announcement.standing;
            prop_assert_eq!(stored, worst);
        }
    }
}
