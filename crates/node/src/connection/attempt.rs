//! One attempt to run a subquery on an upstream server: gets a connection, writes the
//! request and reads the reply.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use wheelmast_core::connection::reply_check::reply_matches_order;
use wheelmast_core::prelude::{AttemptReply, ReplyStatus, SendOrder};
use wheelmast_wire::upstream::{decode_reply, SEARCH_PATH};

use crate::connection::client_memory::AnswerMemory;
use crate::connection::pool::{ConnectionPool, UpstreamConnection};
use crate::connection::search_body::SearchBody;
use crate::process::clock::ProcessClock;

/// Maximum size of the body of a reply, in bytes.
pub const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of bytes that are received for a reply: its heads, its body and what the
/// chunks of the body add.
const MAX_EXCHANGE_BYTES: usize = 2 * MAX_REPLY_BYTES;
/// Maximum number of pieces in which the body of a reply is received. Each chunk is one at
/// least, and small ones cost much processor time for each byte.
const MAX_BODY_FRAMES: usize = 64 * 1024;
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

/// Result of sending a request on a connection.
enum SendResult {
    /// The server answered; the body is not read yet.
    Response(Response<Incoming>),
    /// No byte of the request was written.
    NeverSent,
    /// The connection failed after the request was written, at least in part.
    Broken,
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
        match send(&mut connection, clock, order).await {
            SendResult::Response(response) => {
                return read_reply(pool, order, connection, response).await;
            }
            SendResult::Broken => return ReplyStatus::Failed,
            // The server closed the connection while it was idle. A new one is opened.
            SendResult::NeverSent => {}
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
    match send(&mut connection, clock, order).await {
        SendResult::Response(response) => read_reply(pool, order, connection, response).await,
        SendResult::NeverSent => ReplyStatus::NeverSent,
        SendResult::Broken => ReplyStatus::Failed,
    }
}

/// Writes the request, unless the deadline has passed, and waits for the head of the
/// response.
async fn send(
    connection: &mut UpstreamConnection,
    clock: ProcessClock,
    order: &SendOrder,
) -> SendResult {
    if connection.sender.ready().await.is_err() {
        return SendResult::NeverSent;
    }
    // The time left that the request states is computed here, right before the write,
    // because some of it may have passed since the decision to send.
    let now = clock.elapsed();
    if now >= order.deadline {
        return SendResult::NeverSent;
    }
    let Ok(body) = SearchBody::new(order, now) else {
        return SendResult::NeverSent;
    };
    let request = Request::post(SEARCH_PATH)
        .header("host", order.address.to_string())
        .header("content-type", "application/json")
        .body(body);
    let Ok(request) = request else {
        return SendResult::NeverSent;
    };
    connection.allowance.set(MAX_EXCHANGE_BYTES);
    match connection.sender.try_send_request(request).await {
        Ok(response) => SendResult::Response(response),
        Err(mut error) => match error.take_message() {
            Some(_) => SendResult::NeverSent,
            None => SendResult::Broken,
        },
    }
}

/// Reads the reply and returns the connection to the pool, if the reply belongs to this
/// order, so that the connection is ready for the next request.
async fn read_reply(
    pool: &ConnectionPool,
    order: &SendOrder,
    connection: UpstreamConnection,
    response: Response<Incoming>,
) -> ReplyStatus {
    let status = response.status().as_u16();
    let memory = pool.memory.receive_answer();
    let Some(body) = read_body(response.into_body(), memory).await else {
        return ReplyStatus::Failed;
    };
    let reply = decode_reply(status, &body);
    let is_reusable = match &reply {
        ReplyStatus::Body(body) => reply_matches_order(order, body),
        ReplyStatus::Shed { .. } | ReplyStatus::SnapshotNotHeld { .. } => true,
        ReplyStatus::NeverSent | ReplyStatus::Failed => false,
    };
    if is_reusable {
        pool.put_back(order.server, connection);
    }
    reply
}

/// Reads the body of a reply. Returns `None` if it breaks off, is too large or comes in too
/// many pieces.
async fn read_body(mut body: Incoming, mut memory: AnswerMemory) -> Option<BytesMut> {
    let mut bytes = BytesMut::new();
    let mut frames = 0;
    while let Some(frame) = body.frame().await {
        frames += 1;
        if frames > MAX_BODY_FRAMES {
            return None;
        }
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > MAX_REPLY_BYTES {
            return None;
        }
        bytes.extend_from_slice(&data);
        memory.cover(bytes.capacity()).await.ok()?;
    }
    Some(bytes)
}
