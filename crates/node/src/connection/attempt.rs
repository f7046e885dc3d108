//! One attempt on the wire: a connection, a request, a reply.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response};
use wheelmast_core::connection::reply_check::reply_matches_order;
use wheelmast_core::prelude::{AttemptReply, ReplyStatus, SendOrder};
use wheelmast_wire::upstream::{decode_reply, encode_search_request, SEARCH_PATH};

use crate::connection::pool::{ConnectionPool, UpstreamConnection};
use crate::process::clock::ProcessClock;

/// Largest body of a reply, in bytes.
pub const REPLY_BYTES: usize = 4 * 1024 * 1024;
/// Time beyond the deadline after which an attempt is over in any case.
const OVERTIME: Duration = Duration::from_secs(1);

/// Sends one subquery and returns how it ended. Dropping the future closes
/// the connection, by which the server learns of the cancellation.
pub async fn run_attempt(
    pool: ConnectionPool,
    source: Option<IpAddr>,
    clock: ProcessClock,
    order: SendOrder,
) -> AttemptReply {
    let limit = order.deadline.saturating_sub(clock.elapsed()) + OVERTIME;
    let key = order.attempt;
    let mut connect = None;
    let exchange = exchange(&pool, source, clock, &order, &mut connect);
    let status = tokio::time::timeout(limit, exchange).await;
    AttemptReply {
        attempt: key,
        status: status.unwrap_or(ReplyStatus::Failed),
        connect,
    }
}

/// How a send on a connection ended.
enum SendEnd {
    Response(Response<hyper::body::Incoming>),
    /// Nothing was written.
    NeverSent,
    Broken,
}

async fn exchange(
    pool: &ConnectionPool,
    source: Option<IpAddr>,
    clock: ProcessClock,
    order: &SendOrder,
    connect: &mut Option<Duration>,
) -> ReplyStatus {
    if let Some(mut connection) = pool.take(order.server, order.address) {
        match send(&mut connection, clock, order).await {
            SendEnd::Response(response) => {
                return finish(pool, order, connection, response).await;
            }
            SendEnd::Broken => return ReplyStatus::Failed,
            // The server closed it while it was idle; a new one will do.
            SendEnd::NeverSent => {}
        }
    }
    if clock.elapsed() >= order.deadline {
        // Nothing would be written, and opening costs the server a slot.
        return ReplyStatus::NeverSent;
    }
    let began = Instant::now();
    let Ok(mut connection) = UpstreamConnection::open(source, order.address).await else {
        return ReplyStatus::NeverSent;
    };
    *connect = Some(began.elapsed());
    match send(&mut connection, clock, order).await {
        SendEnd::Response(response) => finish(pool, order, connection, response).await,
        SendEnd::NeverSent => ReplyStatus::NeverSent,
        SendEnd::Broken => ReplyStatus::Failed,
    }
}

async fn send(
    connection: &mut UpstreamConnection,
    clock: ProcessClock,
    order: &SendOrder,
) -> SendEnd {
    if connection.sender.ready().await.is_err() {
        return SendEnd::NeverSent;
    }
    // What is told of time is worked out as it is written.
    let now = clock.elapsed();
    if now >= order.deadline {
        return SendEnd::NeverSent;
    }
    let Ok(body) = encode_search_request(order, now) else {
        return SendEnd::NeverSent;
    };
    let request = Request::post(SEARCH_PATH)
        .header("host", order.address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else {
        return SendEnd::NeverSent;
    };
    match connection.sender.try_send_request(request).await {
        Ok(response) => SendEnd::Response(response),
        Err(mut error) => match error.take_message() {
            Some(_) => SendEnd::NeverSent,
            None => SendEnd::Broken,
        },
    }
}

/// Reads the reply, and keeps the connection if it is in step.
async fn finish(
    pool: &ConnectionPool,
    order: &SendOrder,
    connection: UpstreamConnection,
    response: Response<hyper::body::Incoming>,
) -> ReplyStatus {
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), REPLY_BYTES);
    let Ok(body) = body.collect().await else {
        return ReplyStatus::Failed;
    };
    let reply = decode_reply(status, &body.to_bytes());
    let keep = match &reply {
        ReplyStatus::Body(body) => reply_matches_order(order, body),
        ReplyStatus::Shed { .. } | ReplyStatus::SnapshotNotHeld { .. } => true,
        ReplyStatus::NeverSent | ReplyStatus::Failed => false,
    };
    if keep {
        pool.give(order.server, connection);
    }
    reply
}
