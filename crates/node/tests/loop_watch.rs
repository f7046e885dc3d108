//! What a loop knows of how late it reads.

mod support;

use std::rc::Rc;
use std::time::Duration;

use wheelmast_node::process::clock::ProcessClock;
use wheelmast_node::process::loop_watch::LoopDelayMonitor;

use crate::support::play;

/// Several rounds of the watch.
const SEVERAL_ROUNDS: Duration = Duration::from_millis(300);

struct BlockCase {
    name: &'static str,
    block_time: Duration,
}

#[test]
fn the_read_delay_covers_the_time_the_loop_was_blocked() {
    let cases = [
        BlockCase {
            name: "a moment",
            block_time: Duration::from_millis(300),
        },
        BlockCase {
            name: "seconds",
            block_time: Duration::from_millis(1500),
        },
    ];
    play(async move {
        let watch = Rc::new(LoopDelayMonitor::new(ProcessClock::start()));
        let runner = watch.clone();
        tokio::task::spawn_local(async move { runner.run().await });
        for case in cases {
            tokio::time::sleep(SEVERAL_ROUNDS).await;
            let before = watch.late_rounds();
            std::thread::sleep(case.block_time);
            // Whatever runs now may have come while the loop stood still.
            assert!(watch.max_read_delay() >= case.block_time, "{}", case.name);
            tokio::time::sleep(SEVERAL_ROUNDS).await;
            assert!(watch.late_rounds() > before, "{}", case.name);
        }
    });
}

#[test]
fn a_loop_that_keeps_up_reports_no_read_delay() {
    play(async {
        let watch = Rc::new(LoopDelayMonitor::new(ProcessClock::start()));
        let runner = watch.clone();
        tokio::task::spawn_local(async move { runner.run().await });
        // A busy machine may hold it up; one round in time is enough.
        for _ in 0..100 {
            tokio::time::sleep(SEVERAL_ROUNDS / 3).await;
            if watch.max_read_delay() == Duration::ZERO {
                return;
            }
        }
        panic!("held up {} times", watch.late_rounds());
    });
}
