//! Tests how a loop measures the delay with which it reads its input.

mod support;

use std::rc::Rc;
use std::time::Duration;

use wheelmast_node::process::clock::ProcessClock;
use wheelmast_node::process::loop_watch::LoopDelayMonitor;

use crate::support::run_local_test;

/// Time in which the monitor's timer runs several times.
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
    run_local_test(async move {
        let monitor = Rc::new(LoopDelayMonitor::new(ProcessClock::start()));
        let runner = monitor.clone();
        tokio::task::spawn_local(async move { runner.run(|_| ()).await });
        for case in cases {
            tokio::time::sleep(SEVERAL_ROUNDS).await;
            let before = monitor.late_rounds();
            std::thread::sleep(case.block_time);
            // Input that is read now may have arrived while the loop was
            // blocked.
            assert!(monitor.max_read_delay() >= case.block_time, "{}", case.name);
            tokio::time::sleep(SEVERAL_ROUNDS).await;
            assert!(monitor.late_rounds() > before, "{}", case.name);
        }
    });
}

/// Guards against dating a connection too late: the loop may run the monitor's timer before
/// it accepts the connections that waited.
#[test]
fn a_connection_may_have_been_opened_while_the_loop_was_blocked() {
    const BLOCK_TIME: Duration = Duration::from_millis(1500);
    run_local_test(async {
        let monitor = Rc::new(LoopDelayMonitor::new(ProcessClock::start()));
        let runner = monitor.clone();
        tokio::task::spawn_local(async move { runner.run(|_| ()).await });
        tokio::time::sleep(SEVERAL_ROUNDS).await;
        let blocked_at = monitor.now();
        assert!(monitor.earliest_opening() <= blocked_at);
        std::thread::sleep(BLOCK_TIME);
        // The timer runs several times before a connection that waits is accepted.
        for _ in 0..3 {
            assert!(monitor.earliest_opening() <= blocked_at);
            tokio::time::sleep(SEVERAL_ROUNDS / 3).await;
        }
        // A busy machine may block the loop again.
        for _ in 0..100 {
            tokio::time::sleep(SEVERAL_ROUNDS).await;
            if monitor.earliest_opening() > blocked_at + BLOCK_TIME {
                return;
            }
        }
        panic!("connections count as opened before the loop was blocked");
    });
}

/// Guards against orders that are refused for as long as a busy loop is often a little late.
#[test]
fn short_delays_in_a_row_do_not_make_connections_seem_old() {
    const BLOCK_TIME: Duration = Duration::from_millis(150);
    const ROUNDS: u32 = 10;
    run_local_test(async {
        let monitor = Rc::new(LoopDelayMonitor::new(ProcessClock::start()));
        let runner = monitor.clone();
        tokio::task::spawn_local(async move { runner.run(|_| ()).await });
        // A busy machine may block the loop for longer.
        for _ in 0..20 {
            for _ in 0..ROUNDS {
                tokio::time::sleep(SEVERAL_ROUNDS / 4).await;
                std::thread::sleep(BLOCK_TIME);
            }
            let age = monitor.now() - monitor.earliest_opening();
            if age < BLOCK_TIME * ROUNDS / 2 {
                return;
            }
        }
        panic!(
            "a connection seems {:?} old",
            monitor.now() - monitor.earliest_opening()
        );
    });
}

#[test]
fn a_loop_that_keeps_up_reports_no_read_delay() {
    run_local_test(async {
        let monitor = Rc::new(LoopDelayMonitor::new(ProcessClock::start()));
        let runner = monitor.clone();
        tokio::task::spawn_local(async move { runner.run(|_| ()).await });
        // A busy machine may delay the loop; one run of the timer without a
        // delay is enough.
        for _ in 0..100 {
            tokio::time::sleep(SEVERAL_ROUNDS / 3).await;
            if monitor.max_read_delay() == Duration::ZERO {
                return;
            }
        }
        panic!(
            "the loop was held up in every round, {} times",
            monitor.late_rounds()
        );
    });
}
