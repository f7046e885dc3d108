//! Promises under random interleavings, and bounds under random loads.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use wheelmast_core::process::forward::answer::ForwardAnswer;
use wheelmast_core::process::forward::directory::{ServerDirectory, ServerNotice, ServerStanding};
use wheelmast_core::process::forward::extra::{ExtraBound, ExtraBudget, SpendRate};
use wheelmast_core::process::forward::input::{AttemptEnd, ForwardInput, ServerAnswer};
use wheelmast_core::process::forward::split::SplitCounter;
use wheelmast_core::process::input::CallTag;
use wheelmast_core::version::route_table::{RouteTarget, WeightedService};

use crate::harness::{answer, notice, route, shards, table, Harness, HOME};

#[derive(Debug, Clone)]
enum Event {
    Call(u8),
    Leave(u8),
    Pass(u16),
    End(u16, u8),
    Notice(u8, u8),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => any::<u8>().prop_map(Event::Call),
        1 => any::<u8>().prop_map(Event::Leave),
        4 => (1u16..200).prop_map(Event::Pass),
        12 => (any::<u16>(), any::<u8>()).prop_map(|(send, how)| Event::End(send, how)),
        1 => (any::<u8>(), any::<u8>()).prop_map(|(id, how)| Event::Notice(id, how)),
    ]
}

/// What the servers saw of a request, by service.
#[derive(Default)]
struct Seen {
    may_have_run: HashMap<(CallTag, String), Vec<Arc<str>>>,
}

fn end_of(how: u8) -> (AttemptEnd, bool) {
    let not_run = ServerAnswer {
        not_run: true,
        ..answer(503, "s", b"")
    };
    match how % 6 {
        0 => (AttemptEnd::Unsent, false),
        1 => (AttemptEnd::Broken, true),
        2 => (AttemptEnd::Answer(not_run), false),
        3 => (AttemptEnd::Answer(answer(500, "s", b"")), true),
        _ => (AttemptEnd::Answer(answer(200, "s", b"")), true),
    }
}

fn play(events: Vec<Event>) -> Result<(), TestCaseError> {
    let mut harness = Harness::new();
    let mut once = route("once", RouteTarget::Service("desk".into()));
    once.idempotent = false;
    let twice = route("twice", RouteTarget::Service("desk".into()));
    harness.obey(table(1, vec![once, twice, route("q", shards(3))]));
    for service in ["desk", "s0", "s1", "s2"] {
        harness.serve(service, 3);
    }
    let routes = ["once", "twice", "q"];
    let mut calls: Vec<(CallTag, &str)> = Vec::new();
    let mut left = Vec::new();
    let mut ended = Vec::new();
    let mut seen = Seen::default();
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
            Event::Pass(millis) => harness.pass(u64::from(millis)),
            Event::End(pick, how) => {
                let open: Vec<usize> = (0..harness.sends.len())
                    .filter(|send| !ended.contains(send))
                    .collect();
                if let Some(send) = open.get(usize::from(pick) % open.len().max(1)) {
                    let order = harness.sends[*send].clone();
                    let (end, ran) = end_of(how);
                    ended.push(*send);
                    if ran {
                        let service = order.instance.split('-').next().unwrap_or_default();
                        let key = (order.call, service.to_string());
                        let runs = seen.may_have_run.entry(key).or_default();
                        runs.push(order.instance.clone());
                    }
                    harness.end(*send, end);
                }
            }
            Event::Notice(pick, how) => {
                let id = format!("desk-{}", pick % 3);
                let news = match how % 3 {
                    0 => ServerNotice::gone(&id, 0),
                    _ => notice(&id, "desk", HOME, 1000),
                };
                harness.step(ForwardInput::Notice(news));
            }
        }
    }
    harness.pass(2000);
    for (tag, route) in calls {
        let answered = harness.answer_to(tag).is_some();
        prop_assert_eq!(answered, !left.contains(&tag), "every request ends once");
        let runs = seen
            .may_have_run
            .iter()
            .filter(|((call, _), _)| *call == tag);
        for (_, servers) in runs.clone() {
            let most = if route == "once" { 1 } else { 2 };
            prop_assert!(servers.len() <= most, "{route} ran on {servers:?}");
        }
        if let Some(ForwardAnswer::Failure { failure, .. }) = harness.answer_to(tag) {
            let ran = runs.count() > 0;
            prop_assert!(
                !(failure.is_unrun() && ran),
                "{route}: {failure:?} is not true"
            );
        }
    }
    prop_assert_eq!(harness.machine.call_count(), 0);
    Ok(())
}

#[test]
fn requests_that_slide_out_of_the_window_earn_nothing_more() {
    let bound = ExtraBound {
        ratio: 0.2,
        slack: 0.0,
        window: Duration::from_secs(2),
    };
    let mut budget = ExtraBudget::default();
    let begin = Duration::from_secs(10);
    for _ in 0..100 {
        budget.count_request(&bound, begin);
    }
    for (millis, room) in [(0, 20.0), (1900, 20.0), (2050, 0.0), (2500, 0.0)] {
        let now = begin + Duration::from_millis(millis);
        let found = budget.room(&bound, 1, now);
        assert!((found - room).abs() < 1e-9, "{found} after {millis} ms");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn promises_hold_whatever_happens(events in prop::collection::vec(event(), 1..120)) {
        play(events)?;
    }

    #[test]
    fn extra_load_stays_under_the_bound_in_any_window(
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
            if wants && entries[entry].try_spend(&bound, 5, SpendRate::Unlimited, now) {
                extras.push(now);
            }
            let begin = now - bound.window;
            let count = |times: &[Duration]| times.iter().filter(|at| **at > begin).count() as f64;
            let most = bound.ratio * count(&requests) + bound.slack;
            prop_assert!(count(&extras) <= most + 1e-9, "{} over {most}", count(&extras));
        }
    }

    #[test]
    fn a_split_keeps_its_shares(weights in prop::collection::vec(0.0f64..10.0, 1..6)) {
        prop_assume!(weights.iter().sum::<f64>() > 0.1);
        let parts: Vec<WeightedService> = weights
            .iter()
            .map(|weight| WeightedService { service: "s".into(), weight: *weight })
            .collect();
        let mut counter = SplitCounter::default();
        let mut counts = vec![0.0; parts.len()];
        for _ in 0..60 {
            counts[counter.next(&parts)] += 1.0;
        }
        let sum: f64 = weights.iter().sum();
        for (count, weight) in counts.iter().zip(&weights) {
            let off: f64 = count / 60.0 - weight / sum;
            prop_assert!(off.abs() < 0.05, "{counts:?} for {weights:?}");
        }
    }

    #[test]
    fn news_of_a_server_give_the_same_in_any_order(
        order in prop::collection::vec(0usize..6, 1..40),
    ) {
        let standings = [
            ServerStanding::Ready, ServerStanding::Ready, ServerStanding::Draining,
            ServerStanding::Ready, ServerStanding::Draining, ServerStanding::Gone,
        ];
        let mut directory = ServerDirectory::default();
        let mut worst = ServerStanding::Ready;
        for (step, index) in order.into_iter().enumerate() {
            let news = ServerNotice {
                standing: standings[index],
                sequence: index as u64 + 1,
                ..notice("a", "desk", HOME, 1)
            };
            worst = worst.max(standings[index]);
            directory.apply(news, Duration::from_secs(step as u64));
            let held = directory.get("a").expect("known").notice.standing;
            prop_assert_eq!(held, worst);
        }
    }
}
