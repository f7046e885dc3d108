//! Connections of an entry to upstream servers and other entries.
//!
//! Each connection is a task that carries one request at a time. An idle connection is
//! reused for later requests until its idle time-out.
//!
//! If connections to a server are scarce, the order of each request states how many may be
//! open. A server resets connections over its own limit right after it accepted them. The
//! first request on a new connection is therefore written only after a short settle time
//! without a reset: a request that was written may have run.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hyper::StatusCode;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use wheelmast_core::arena::ServerKey;
use wheelmast_core::process::forward::answer::AttemptOrder;
use wheelmast_core::process::forward::input::{
    AttemptResult, BundleAnswer, ConnectionLimit, ForwardInput, LoadReport, ServerAnswer,
};
use wheelmast_wire::dialect::ForwardDialect;

use crate::connection::answer_head::DEFAULT_IDLE_TIMEOUT;
use crate::connection::answer_reader::CompleteAnswer;
use crate::connection::exchange::{
    exchange_with_continue, is_closed_or_readable, ExchangeFailure, WireRequest,
};
use crate::connection::http_syntax::{parse_digits, trim_blanks};
use crate::process::forward::entry::ForwardDriver;
use crate::process::forward::image::{
    is_hop_by_hop, parse_suspect, render_allowance, RequestImage, SHARDS_HEADER, SUSPECT_HEADER,
    TOP_HEADER,
};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Idle time-out of a connection that has not carried a request. The server has not stated
/// its own time-out on it; common ones are 5 s and more.
const UNUSED_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest settle time of a new connection.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(40);
/// Settle time of a new connection in addition to the time to establish it.
const SETTLE_MARGIN: Duration = Duration::from_millis(2);
/// Settle time of a new connection, relative to the time to establish it. A server over its
/// limit resets a connection once it knows that it is established, so the reset arrives a
/// round trip after that: after 18 ms where connecting took 18 ms, in 99 of 100 cases
/// after less than 31 ms.
const SETTLE_FACTOR: f64 = 1.25;
/// Maximum size of the receive buffer of an idle connection, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;
/// Time between the decision to send an attempt and its write from which the attempt
/// counts as sent late.
const LATE_SEND_THRESHOLD: Duration = Duration::from_millis(100);

/// A request to be sent to one server, or to another entry as a relay.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// Order of the state machine.
    pub order: AttemptOrder,
    /// Content of the request.
    pub image: Rc<RequestImage>,
    /// When the state machine gave the order, since the process started.
    pub ordered_at: Duration,
    /// Receives a value, or is closed, when the answer is no longer needed.
    pub cancelled: oneshot::Receiver<()>,
}

/// A request that the pool hands over to the task of an idle connection.
#[derive(Debug)]
struct NextRequest {
    request: UpstreamRequest,
    /// Whether the connection must be closed and another one opened in its place.
    reopens: bool,
}

/// Handle of an idle connection, by which its task receives the next request.
#[derive(Debug)]
struct IdleConnection {
    request_sender: oneshot::Sender<NextRequest>,
    /// When the connection is closed if it stays idle, since the process started.
    until: Duration,
    /// Id of the last request on the connection.
    last_request: Box<str>,
}

/// The idle connections to all servers and other entries.
#[derive(Debug, Default)]
pub struct ServerPool {
    idle: RefCell<HashMap<ServerKey, Vec<IdleConnection>>>,
    /// Number of connections to each server: idle, in use, and being opened.
    open: RefCell<HashMap<ServerKey, u32>>,
    sent_late: Cell<u64>,
}

impl ServerPool {
    /// Sends a request on an idle connection, or on a new one if none is usable.
    ///
    /// If the maximum number of connections is open, an idle connection that is not usable
    /// for this request is replaced by a new one. Without an idle connection the request is
    /// not sent.
    pub fn send<D: ForwardDialect>(&self, entry: &Rc<ForwardDriver<D>>, request: UpstreamRequest) {
        let now = entry.clock.elapsed();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(request.order.server).or_default();
        let max_connections = request.order.max_connections;
        connections.retain(|connection| {
            // An expired connection counts as open until its task ends, so it is kept for
            // replacement if the number is limited.
            let is_kept = connection.until > now || max_connections.is_some();
            is_kept && !connection.request_sender.is_closed()
        });
        // A server may answer the same request twice, the second time late. If the
        // request reaches the server again, through another entry, it must not use the
        // same connection: the late answer has the same request id and would be taken
        // for the answer to the new request.
        let is_usable = |connection: &IdleConnection| {
            connection.until > now && connection.last_request != request.image.id
        };
        let usable = connections.iter().rposition(is_usable);
        let is_full =
            max_connections.is_some_and(|max| self.open_count(request.order.server) >= max);
        let replaced = connections.len().checked_sub(1).filter(|_| is_full);
        if let Some(index) = usable.or(replaced) {
            let connection = connections.remove(index);
            drop(idle);
            let next_request = NextRequest {
                request,
                reopens: usable.is_none(),
            };
            if let Err(unsent) = connection.request_sender.send(next_request) {
                self.send(entry, unsent.request);
            }
            return;
        }
        drop(idle);
        if is_full {
            tokio::task::spawn_local(reject_over_limit(entry.clone(), request));
            return;
        }
        self.count_opened(request.order.server);
        tokio::task::spawn_local(run_connection(entry.clone(), request));
    }

    /// Returns the number of attempts that were written at least 100 ms after they were
    /// ordered.
    pub fn sent_late(&self) -> u64 {
        self.sent_late.get()
    }

    /// Counts and logs an attempt that is written at `now`, if that is late.
    fn record_late_send(&self, upstream_request: &UpstreamRequest, now: Duration) {
        let late = now.saturating_sub(upstream_request.ordered_at);
        if late < LATE_SEND_THRESHOLD {
            return;
        }
        self.sent_late.set(self.sent_late.get() + 1);
        let (request, server) = (&upstream_request.image.id, &upstream_request.order.instance);
        let time_left = upstream_request.order.until.saturating_sub(now);
        let time_left_ms = time_left.as_millis() as u64;
        let late_ms = late.as_millis() as u64;
        tracing::warn!(target: "entry", %request, %server, late_ms, time_left_ms, "route: sent late");
    }

    /// Closes the idle connections to a server.
    pub fn close(&self, server: ServerKey) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Returns the number of connections to a server: idle, in use, and being opened.
    pub fn open_count(&self, server: ServerKey) -> u32 {
        self.open.borrow().get(&server).copied().unwrap_or(0)
    }

    /// Counts a connection that is about to be opened.
    pub fn count_opened(&self, server: ServerKey) {
        *self.open.borrow_mut().entry(server).or_default() += 1;
    }

    /// Counts a closed connection.
    pub fn count_closed(&self, server: ServerKey) {
        let mut open = self.open.borrow_mut();
        if let Some(count) = open.get_mut(&server) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                open.remove(&server);
            }
        }
    }

    /// Reports the number of connections to a server to the state machine.
    pub fn report_connections<D: ForwardDialect>(
        &self,
        entry: &Rc<ForwardDriver<D>>,
        server: ServerKey,
    ) {
        let now = entry.clock.elapsed();
        let idle = self.idle.borrow();
        let usable_count = idle.get(&server).map(|connections| {
            let connections = connections.iter();
            connections
                .filter(|connection| {
                    connection.until > now && !connection.request_sender.is_closed()
                })
                .count()
        });
        let idle_count = usable_count.unwrap_or(0) as u32;
        drop(idle);
        entry.step(ForwardInput::Connections {
            server,
            idle: idle_count,
            open: self.open_count(server),
        });
    }

    /// Adds an idle connection and returns the receiver of its next request.
    fn add_idle(
        &self,
        server: ServerKey,
        until: Duration,
        last_request: Box<str>,
    ) -> oneshot::Receiver<NextRequest> {
        let (request_sender, receiver) = oneshot::channel();
        let mut idle = self.idle.borrow_mut();
        idle.entry(server).or_default().push(IdleConnection {
            request_sender,
            until,
            last_request,
        });
        receiver
    }
}

/// Runs a connection that the pool has counted until it ends, and reports the number of
/// connections to its server when it is opened and when it is closed.
async fn run_connection<D: ForwardDialect>(entry: Rc<ForwardDriver<D>>, first: UpstreamRequest) {
    let server = first.order.server;
    entry.pool.report_connections(&entry, server);
    serve_requests(&entry, first).await;
    entry.pool.count_closed(server);
    entry.pool.report_connections(&entry, server);
}

/// Reports that a request was not sent, because this entry has as many connections to the
/// server as it may have. The state machine did not know all of them: some are being closed.
async fn reject_over_limit<D: ForwardDialect>(
    entry: Rc<ForwardDriver<D>>,
    request: UpstreamRequest,
) {
    let attempt = request.order.attempt;
    entry.pool.report_connections(&entry, request.order.server);
    entry.step(ForwardInput::ConnectionLimitReached {
        attempt,
        limit: ConnectionLimit::Entry,
    });
    report_result(&entry, &request.order, AttemptResult::Unsent);
}

/// Opens a connection, sends `first` on it, and then the requests that the pool hands
/// over, until the connection ends or its idle time-out passes. Replaces the connection if
/// the pool demands that.
pub async fn serve_requests<D: ForwardDialect>(
    entry: &Rc<ForwardDriver<D>>,
    first: UpstreamRequest,
) {
    let server = first.order.server;
    let mut request = first;
    while let Some(stream) = open_for_request(entry, &mut request).await {
        match serve_stream(entry, server, stream, Some(request)).await {
            Some(next) => request = next,
            None => return,
        }
    }
}

/// Opens a connection for a request. Returns `None`, after reporting the result of the
/// attempt, if the connection could not be opened or was reset at once.
async fn open_for_request<D: ForwardDialect>(
    entry: &Rc<ForwardDriver<D>>,
    request: &mut UpstreamRequest,
) -> Option<TcpStream> {
    let begun_at = Instant::now();
    let connect = open_stream(entry, request.order.server, request.order.address, begun_at);
    let connected = tokio::select! {
        biased;
        _ = &mut request.cancelled => Err(ErrorKind::Interrupted),
        connected = connect => connected,
    };
    let is_scarce = request.order.max_connections.is_some();
    let is_at_limit = match &connected {
        Ok(stream) => is_scarce && is_closed_while_settling(stream, begun_at.elapsed()).await,
        // The server accepted the connection and reset it before this task ran again.
        Err(kind) => is_scarce && *kind == ErrorKind::ConnectionReset,
    };
    if is_at_limit {
        report_server_limit(entry, &request.order);
    }
    match connected {
        Ok(stream) if !is_at_limit => Some(stream),
        _ => {
            report_result(entry, &request.order, AttemptResult::Unsent);
            None
        }
    }
}

/// Reports that a server reset the new connection for an attempt.
fn report_server_limit<D: ForwardDialect>(entry: &Rc<ForwardDriver<D>>, order: &AttemptOrder) {
    entry.step(ForwardInput::ConnectionLimitReached {
        attempt: order.attempt,
        limit: ConnectionLimit::Server,
    });
}

/// Waits for the settle time of a new connection that was established in `took`. Returns
/// early, with true, if the server resets or closes the connection.
async fn is_closed_while_settling(stream: &TcpStream, took: Duration) -> bool {
    let settle_time = (took.mul_f64(SETTLE_FACTOR) + SETTLE_MARGIN).min(MAX_SETTLE_TIME);
    let is_readable = tokio::time::timeout(settle_time, stream.readable()).await;
    // Nothing was requested yet, so a readable connection was closed or is not usable.
    is_readable.is_ok() || is_closed_or_readable(stream)
}

/// Opens a connection to a server, and reports to the state machine that it was
/// established or refused.
///
/// # Errors
///
/// Fails with the kind of the error, or with [`ErrorKind::TimedOut`].
pub async fn open_stream<D: ForwardDialect>(
    entry: &Rc<ForwardDriver<D>>,
    server: ServerKey,
    address: SocketAddr,
    begun_at: Instant,
) -> Result<TcpStream, ErrorKind> {
    let connect = TcpStream::connect(address);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
    let took = begun_at.elapsed();
    match connected {
        Ok(Ok(stream)) => {
            // Disables Nagle's algorithm, which delays small writes. An error is ignored,
            // as the connection works without the option.
            let _ = stream.set_nodelay(true);
            entry.step(ForwardInput::Connected { server, took });
            Ok(stream)
        }
        Ok(Err(error)) => {
            if error.kind() == ErrorKind::ConnectionRefused {
                entry.step(ForwardInput::ConnectionRefused { server, took });
            }
            Err(error.kind())
        }
        Err(_) => Err(ErrorKind::TimedOut),
    }
}

/// Sends `first`, if there is one, and then the requests that the pool hands over, until
/// the connection ends or its idle time-out passes. Returns a request for which the
/// connection must be replaced.
pub async fn serve_stream<D: ForwardDialect>(
    entry: &Rc<ForwardDriver<D>>,
    server: ServerKey,
    mut stream: TcpStream,
    first: Option<UpstreamRequest>,
) -> Option<UpstreamRequest> {
    let mut next_request = first;
    let mut buffer = BytesMut::new();
    let idle_timeout = match &next_request {
        Some(_) => DEFAULT_IDLE_TIMEOUT,
        None => UNUSED_IDLE_TIMEOUT,
    };
    let mut until = entry.clock.elapsed() + idle_timeout;
    let mut last_request = Box::default();
    let mut is_new = true;
    loop {
        let now = entry.clock.elapsed();
        if let Some(mut request) = next_request.take() {
            if should_withdraw(entry, &mut request, now) {
                report_result(entry, &request.order, AttemptResult::Withdrawn);
            } else {
                last_request = request.image.id.clone();
                let sending = send_request(entry, &mut stream, &mut buffer, request, is_new, now);
                let keep_alive = sending.await?;
                if buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
                    buffer = BytesMut::new();
                }
                is_new = false;
                until = entry.clock.elapsed() + keep_alive;
            }
        }
        let keep_alive = until.saturating_sub(entry.clock.elapsed());
        let receiver = entry.pool.add_idle(server, until, last_request.clone());
        entry.pool.report_connections(entry, server);
        tokio::select! {
            biased;
            next = receiver => match next {
                Ok(next) if next.reopens => return Some(next.request),
                Ok(next) => next_request = Some(next.request),
                Err(_) => return None,
            },
            // The server closed the connection or sent bytes without a request.
            _ = stream.readable() => return None,
            () = tokio::time::sleep(keep_alive) => return None,
        }
    }
}

/// Returns whether a request must not be written any more, because it was cancelled, its
/// deadline has passed or its call has ended.
///
/// The request may have waited long for its connection and for the event loop. Decisions
/// made in the meantime take effect only through this check.
fn should_withdraw<D: ForwardDialect>(
    entry: &ForwardDriver<D>,
    request: &mut UpstreamRequest,
    now: Duration,
) -> bool {
    let is_cancelled = request.cancelled.try_recv().is_ok();
    let is_expired = now >= request.order.until;
    is_cancelled || is_expired || !entry.is_call_waiting(request.order.call)
}

/// Writes one request at `now`, waits for the answer and reports the result to the state
/// machine. Returns how long the connection may then be idle, or `None` if it must be
/// closed. `is_new` tells whether it is the first request on the connection.
async fn send_request<D: ForwardDialect>(
    entry: &Rc<ForwardDriver<D>>,
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    request: UpstreamRequest,
    is_new: bool,
    now: Duration,
) -> Option<Duration> {
    entry.pool.record_late_send(&request, now);
    let UpstreamRequest {
        order,
        image,
        mut cancelled,
        ..
    } = request;
    // The event loop may reach this point long after the decision. The time left that
    // the request states is therefore computed here.
    let wire_request = WireRequest {
        head: image.render_head::<D>(&order, now).into(),
        body: image.body(),
        end: &[],
    };
    let attempt = order.attempt;
    let is_fully_sent = Cell::new(order.relay.is_none());
    let allowance = order
        .relay
        .as_ref()
        .map(|_| entry.subscribe_allowance(attempt));
    let is_allowance_sent = &is_fully_sent;
    let memory = entry.callers.memory.receive_answer(image.eviction());
    let rest = || async move {
        entry.step(ForwardInput::RelayAcknowledged(attempt));
        match allowance {
            Some(allowance) => match allowance.await {
                Ok(attempts) => {
                    is_allowance_sent.set(true);
                    render_allowance(attempts)
                }
                Err(_) => std::future::pending().await,
            },
            None => std::future::pending().await,
        }
    };
    let result = tokio::select! {
        biased;
        result = exchange_with_continue(stream, buffer, wire_request, memory, rest) => result,
        _ = &mut cancelled => Err(ExchangeFailure::Broken),
    };
    let (attempt_result, keep_alive) = match result {
        Ok(answer) if order.relay.is_some() => read_bundle::<D>(answer, &image),
        Ok(answer) => read_answer::<D>(answer, &image, order.forward_headers),
        Err(ExchangeFailure::Unsent) => {
            if is_new && order.max_connections.is_some() {
                // The reset came at the end of the settle time.
                report_server_limit(entry, &order);
            }
            (AttemptResult::Unsent, None)
        }
        Err(ExchangeFailure::Broken) => (AttemptResult::Broken, None),
    };
    report_result(entry, &order, attempt_result);
    // Another entry may still wait for the allowance that was not sent to it, so the next
    // request on the connection would be read as that allowance.
    keep_alive.filter(|_| is_fully_sent.get())
}

/// Reports the result `end` of an attempt to the state machine, and drops the senders of its
/// cancellation and allowance.
fn report_result<D: ForwardDialect>(
    entry: &Rc<ForwardDriver<D>>,
    order: &AttemptOrder,
    end: AttemptResult,
) {
    let attempt = order.attempt;
    entry.cancel_senders.borrow_mut().remove(&attempt);
    entry.unsubscribe_allowance(attempt);
    entry.step(ForwardInput::AttemptEnded { attempt, end });
}

/// Converts an answer of a server. An answer without the id of this request cannot be
/// attributed to it: the attempt is broken and the connection is not reused.
fn read_answer<D: ForwardDialect>(
    answer: CompleteAnswer,
    image: &RequestImage,
    forward_headers: bool,
) -> (AttemptResult, Option<Duration>) {
    let names = D::HEADERS;
    let id = find_header(&answer.headers, names.request);
    if id != Some(image.id.as_bytes()) {
        return (AttemptResult::Broken, None);
    }
    let load = find_header(&answer.headers, names.load).and_then(parse_load);
    let stamp =
        find_header(&answer.headers, names.stamp).and_then(|stamp| std::str::from_utf8(stamp).ok());
    let body = match forward_headers {
        true => answer.memory.attach_for_client(answer.body),
        false => answer.memory.attach(answer.body),
    };
    let server_answer = ServerAnswer {
        status: answer.status,
        stamp: stamp.map(Into::into),
        not_run: find_header(&answer.headers, names.not_run).is_some(),
        load,
        headers: if forward_headers {
            answer
                .headers
                .into_iter()
                .filter(is_forwarded::<D>)
                .collect()
        } else {
            Vec::new()
        },
        body,
    };
    (AttemptResult::Answer(server_answer), answer.keep_alive)
}

/// Converts an answer of another entry to a relay: the parts that it gathered, or its
/// refusal.
fn read_bundle<D: ForwardDialect>(
    answer: CompleteAnswer,
    image: &RequestImage,
) -> (AttemptResult, Option<Duration>) {
    let record = find_header(&answer.headers, SUSPECT_HEADER).and_then(parse_suspect);
    if let Some(record) = record {
        return (AttemptResult::RefusedAsSuspect(record), answer.keep_alive);
    }
    if answer.status == StatusCode::SERVICE_UNAVAILABLE.as_u16() {
        // The other entry has sent the request to no server and will not do so.
        return (AttemptResult::Unsent, answer.keep_alive);
    }
    let id = find_header(&answer.headers, D::HEADERS.request);
    let stamps = split_list(&answer.headers, D::HEADERS.parts);
    let shards = split_list(&answer.headers, SHARDS_HEADER);
    let is_bundle = answer.status == StatusCode::OK.as_u16()
        && id == Some(image.id.as_bytes())
        && stamps.len() == shards.len();
    if !is_bundle {
        return (AttemptResult::Broken, None);
    }
    let top = find_header(&answer.headers, TOP_HEADER).and_then(parse_digits);
    let bundle = BundleAnswer {
        parts: shards.into_iter().zip(stamps).collect(),
        top,
        body: answer.memory.attach(answer.body),
    };
    (AttemptResult::Bundle(bundle), answer.keep_alive)
}

/// Splits the comma-separated value of a header. Returns no items if it is missing.
fn split_list(headers: &[(Box<str>, Box<[u8]>)], name: &str) -> Vec<Box<str>> {
    let value = find_header(headers, name).and_then(|value| std::str::from_utf8(value).ok());
    let items = value.unwrap_or_default().split(',').map(str::trim);
    items
        .filter(|item| !item.is_empty())
        .map(Into::into)
        .collect()
}

/// Returns the value of the first header with this name, ignoring case.
fn find_header<'a>(headers: &'a [(Box<str>, Box<[u8]>)], name: &str) -> Option<&'a [u8]> {
    let mut headers = headers.iter();
    let header = headers.find(|(header_name, _)| header_name.eq_ignore_ascii_case(name));
    header.map(|(_, value)| &**value)
}

/// Returns whether a header of a server's answer is returned to the caller.
fn is_forwarded<D: ForwardDialect>(header: &(Box<str>, Box<[u8]>)) -> bool {
    let name = header.0.to_ascii_lowercase();
    !is_hop_by_hop(&name) && name != "content-length" && name != D::HEADERS.load
}

/// Parses a load report: running requests, waiting requests and slots, separated by
/// commas. Some servers add a fourth number: how long their work currently takes compared
/// with normal, in hundredths.
fn parse_load(value: &[u8]) -> Option<LoadReport> {
    let numbers = value.split(|byte| *byte == b',').map(trim_blanks);
    let mut numbers = numbers.map(|number| u32::try_from(parse_digits(number)?).ok());
    Some(LoadReport {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
        pace: numbers.next().flatten(),
    })
}
