//! What a loop knows of how late it reads.

mod support;

use std::rc::Rc;
use std::time::Duration;

use wheelmast_node::process::clock::ProcessClock;
use wheelmast_node::process::loop_watch::LoopWatch;

use crate::support::run_local_test;

/// Several rounds of the watch.
const ROUNDS: Duration = Duration::from_millis(300);

struct HoldCase {
    name: &'static str,
    held: Duration,
}

#[test]
fn what_is_read_after_a_hold_up_may_have_waited_as_long() {
    let cases = [
        HoldCase {
            name: "a moment",
            held: Duration::from_millis(300),
        },
        HoldCase {
            name: "seconds",
            held: Duration::from_millis(1500),
        },
    ];
    run_local_test(async move {
        let watch = Rc::new(LoopWatch::new(ProcessClock::start()));
        let kept = watch.clone();
        tokio::task::spawn_local(async move { kept.keep().await });
        for case in cases {
            tokio::time::sleep(ROUNDS).await;
            let before = watch.times_held_up();
            std::thread::sleep(case.held);
            // Whatever runs now may have come while the loop stood still.
            assert!(watch.unread_time() >= case.held, "{}", case.name);
            tokio::time::sleep(ROUNDS).await;
            assert!(watch.times_held_up() > before, "{}", case.name);
        }
    });
}

#[test]
fn a_loop_that_keeps_up_has_nothing_unread() {
    run_local_test(async {
        let watch = Rc::new(LoopWatch::new(ProcessClock::start()));
        let kept = watch.clone();
        tokio::task::spawn_local(async move { kept.keep().await });
        // A busy machine may hold it up; one round in time is enough.
        for _ in 0..100 {
            tokio::time::sleep(ROUNDS / 3).await;
            if watch.unread_time() == Duration::ZERO {
                return;
            }
        }
        panic!("held up {} times", watch.times_held_up());
    });
}
