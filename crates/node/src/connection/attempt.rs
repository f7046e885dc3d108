//! One attempt to run a subquery on an upstream server: gets a connection, writes the
//! request and reads the reply.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wheelmast_core::connection::reply_check::reply_matches_order;
use wheelmast_core::prelude::{AttemptReply, ReplyStatus, SendOrder};
use wheelmast_wire::upstream::{
    decode_reply, encode_search_start, SEARCH_PATH, SEARCH_REQUEST_END,
};

use crate::connection::answer_reader::CompleteAnswer;
use crate::connection::exchange::{exchange_with_continue, ExchangeFailure, WireRequest};
use crate::connection::pool::{ConnectionPool, UpstreamConnection};
use crate::process::clock::ProcessClock;

/// Maximum size of the body of a reply, in bytes.
pub const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
/// Time after the order's deadline at which an attempt is aborted if it has not ended.
const DEADLINE_GRACE: Duration = Duration::from_secs(1);

/// Sends one subquery and returns its outcome.
///
/// Dropping the future closes the connection. The server takes the closed connection
/// as the cancellation of the subquery.
pub async fn run_attempt(
    pool: ConnectionPool,
    source: Option<IpAddr>,
    clock: ProcessClock,
    order: SendOrder,
) -> AttemptReply {
    let time_limit = order.deadline.saturating_sub(clock.elapsed()) + DEADLINE_GRACE;
    let key = order.attempt;
    let mut connect = None;
    let exchange = exchange(&pool, source, clock, &order, &mut connect);
    let status = tokio::time::timeout(time_limit, exchange).await;
    AttemptReply {
        attempt: key,
        status: status.unwrap_or(ReplyStatus::Failed),
        connect,
    }
}

/// Sends the subquery on a pooled connection, or on a new one if there is none or the
/// server has closed it. Sets `connect` to the time that opening a connection took.
async fn exchange(
    pool: &ConnectionPool,
    source: Option<IpAddr>,
    clock: ProcessClock,
    order: &SendOrder,
    connect: &mut Option<Duration>,
) -> ReplyStatus {
    if let Some(mut connection) = pool.take(order.server, order.address) {
        match send(pool, &mut connection, clock, order).await {
            Ok(answer) => return read_reply(pool, order, connection, answer),
            Err(ExchangeFailure::Broken) => return ReplyStatus::Failed,
            // The server closed the connection while it was idle. A new one is opened.
            Err(ExchangeFailure::Unsent) => {}
        }
    }
    if clock.elapsed() >= order.deadline {
        // No request would be written any more, and each open connection takes one of
        // the server's slots.
        return ReplyStatus::NeverSent;
    }
    let connect_started = Instant::now();
    let Ok(mut connection) = UpstreamConnection::open(source, order.address).await else {
        return ReplyStatus::NeverSent;
    };
    *connect = Some(connect_started.elapsed());
    match send(pool, &mut connection, clock, order).await {
        Ok(answer) => read_reply(pool, order, connection, answer),
        Err(ExchangeFailure::Unsent) => ReplyStatus::NeverSent,
        Err(ExchangeFailure::Broken) => ReplyStatus::Failed,
    }
}

/// Writes the request, unless the deadline has passed, and reads the answer.
async fn send(
    pool: &ConnectionPool,
    connection: &mut UpstreamConnection,
    clock: ProcessClock,
    order: &SendOrder,
) -> Result<CompleteAnswer, ExchangeFailure> {
    // The time left that the request states is computed here, right before the write,
    // because some of it may have passed since the decision to send.
    let now = clock.elapsed();
    if now >= order.deadline {
        return Err(ExchangeFailure::Unsent);
    }
    let start = encode_search_start(order, now).map_err(|_| ExchangeFailure::Unsent)?;
    let payload = &order.body.payload;
    let length = start.len() + payload.len() + SEARCH_REQUEST_END.len();
    let head = format!(
        "POST {SEARCH_PATH} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\n\r\n",
        order.address
    );
    let request = WireRequest {
        head: [head.into_bytes(), start].concat().into(),
        body: payload,
        end: SEARCH_REQUEST_END,
    };
    let (stream, buffer) = (&mut connection.stream, &mut connection.buffer);
    let memory = pool.memory.receive_answer(Arc::default());
    exchange_with_continue(stream, buffer, request, memory, std::future::pending).await
}

/// Decodes the reply and returns the connection to the pool, if the reply belongs to this
/// order, so that the connection is ready for the next request.
fn read_reply(
    pool: &ConnectionPool,
    order: &SendOrder,
    connection: UpstreamConnection,
    answer: CompleteAnswer,
) -> ReplyStatus {
    if answer.body.len() > MAX_REPLY_BYTES {
        return ReplyStatus::Failed;
    }
    let reply = decode_reply(answer.status, &answer.body);
    let is_reusable = match &reply {
        ReplyStatus::Body(body) => reply_matches_order(order, body),
        ReplyStatus::Shed { .. } | ReplyStatus::SnapshotNotHeld { .. } => true,
        ReplyStatus::NeverSent | ReplyStatus::Failed => false,
    };
    if let Some(keep_alive) = answer.keep_alive.filter(|_| is_reusable) {
        pool.put_back(order.server, connection, keep_alive);
    }
    reply
}
