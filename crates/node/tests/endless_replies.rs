//! Upstream servers of snapshot queries that send bytes without end.
//!
//! Guards against an attempt that reads interim heads until its deadline, and against memory
//! that grows with what servers send.

mod support;

use std::time::{Duration, Instant};

use wheelmast_core::prelude::*;
use wheelmast_node::connection::attempt::run_attempt;
use wheelmast_node::connection::pool::ConnectionPool;
use wheelmast_node::process::clock::ProcessClock;

use crate::support::flood::{FloodServer, FLOOD_PLACES};
use crate::support::order::build_order;

/// Time limit of the subqueries; the attempts must end well before it.
const TIME_LEFT: Duration = Duration::from_secs(20);
const MAX_TIME: Duration = Duration::from_secs(3);
/// Most bytes that a server can send until its reply is given up.
const MAX_SENT: u64 = 64 * 1024 * 1024;

#[tokio::test(flavor = "multi_thread")]
async fn a_reply_without_end_is_given_up_early() {
    for place in FLOOD_PLACES {
        let server = FloodServer::start(*place);
        let clock = ProcessClock::start();
        let order = build_order(server.address, clock.elapsed() + TIME_LEFT);
        let begin = Instant::now();
        let attempt = run_attempt(ConnectionPool::default(), None, clock, order);
        let reply = tokio::time::timeout(MAX_TIME, attempt).await;
        let reply = reply.expect(place.name);
        let is_failed = matches!(reply.status, ReplyStatus::Failed | ReplyStatus::NeverSent);
        assert!(is_failed, "{}: {:?}", place.name, reply.status);
        // The server may have filled the buffers of the connection.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let sent = server.sent();
        assert!(sent < MAX_SENT, "{}: {sent}", place.name);
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(server.sent(), sent, "{}: still sending", place.name);
        println!("{}: {:?}, {sent} bytes", place.name, begin.elapsed());
    }
}
