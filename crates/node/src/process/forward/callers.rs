//! HTTP server of an entry, for callers, other entries and the load balancer.
//!
//! Reads requests, passes them to the forward machine and writes the answers. Other
//! entries relay requests, or some shards of them, over the same listener.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;
use wheelmast_core::process::forward::answer::{ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::input::{ForwardCall, ForwardInput, RelayOrder};
use wheelmast_core::process::input::CallTag;
use wheelmast_core::request::mark::{CallerFingerprint, ContentFingerprint, RequestFingerprint};
use wheelmast_core::version::route_table::CallerLimits;
use wheelmast_core::version::workspace::KeyDigest;
use wheelmast_wire::dialect::ForwardDialect;

use crate::connection::accept::accept_connection;
use crate::connection::arrival::{ArrivalMark, ArrivalStream};
use crate::connection::client::{ClientConnection, ClientState, ClientTimeouts, ConnectionLimiter};
use crate::connection::client_memory::{MemoryExhausted, MemoryReservation, MemoryUse};
use crate::connection::client_stream::ClientStream;
use crate::connection::http::{
    body_error_response, drive_connection, hold_response, serve_listener, typed_response,
    FullResponse, ListenerLimits, TEXT_CONTENT_TYPE,
};
use crate::connection::request_body::{read_before, read_body, BodyError};
use crate::connection::short_reads::ShortReadStream;
use crate::process::forward::caller_answer::{
    failure_response, render_answer, suspect_refusal_response,
};
use crate::process::forward::cap_gate::CapVerdict;
use crate::process::forward::entry::{EntryPhase, ForwardDriver};
use crate::process::forward::grant::AllowanceReader;
use crate::process::forward::image::{
    parse_fingerprint, parse_relay_order, RequestImage, RELAY_HEADER,
};

/// Minimum size of a connection's buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
/// Time limits for a balancer that checks the health of the entry.
const HEALTH_CHECK_TIMEOUTS: ClientTimeouts = ClientTimeouts {
    head: Duration::from_secs(10),
    idle: Duration::from_secs(10),
};
/// Maximum number of connections for health checks.
const MAX_HEALTH_CHECK_CONNECTIONS: usize = 64;
/// Maximum time to receive the body of a request that no route takes.
const UNROUTED_BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of copies of a request's head that are held: in the request's image, and in the bytes
/// written to a server.
const HEAD_COPIES: usize = 2;
/// Minimum delay between arrival and reading with which a request is logged as late.
const LATE_READ_THRESHOLD: Duration = Duration::from_millis(100);

/// Accepts callers' connections until `closing` becomes true.
pub async fn accept_callers<D: ForwardDialect>(
    entry: Rc<ForwardDriver<D>>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    let mut closed = closing.clone();
    let watch = entry.watch.clone();
    tokio::task::spawn_local(async move { watch.run(log_loop_delay).await });
    loop {
        let stream = tokio::select! {
            stream = accept_connection(&listener) => stream,
            _ = closed.wait_for(|closing| *closing) => return,
        };
        let Some(client) = entry.callers.connections.admit().await else {
            continue;
        };
        let (entry, closing) = (entry.clone(), closing.clone());
        tokio::task::spawn_local(serve_caller(entry, stream, client, closing));
    }
}

/// Logs that the event loop read its input late.
fn log_loop_delay(late: Duration) {
    tracing::warn!(target: "entry", late_ms = late.as_millis() as u64, "entry: held up");
}

/// Serves the requests of one connection until it ends, or gracefully closes it once
/// `closing` becomes true.
async fn serve_caller<D: ForwardDialect>(
    entry: Rc<ForwardDriver<D>>,
    stream: TcpStream,
    client: ClientConnection,
    mut closing: watch::Receiver<bool>,
) {
    let mut limits_changes = entry.caller_limits.subscribe();
    let head_bytes = limits_changes.borrow().head_bytes;
    let caller = caller_fingerprint(&stream);
    let stream = ArrivalStream::new(stream, entry.watch.clone());
    let (handler, arrival, state) = (entry.clone(), stream.mark(), client.state.clone());
    let stream = ShortReadStream(stream);
    let stream = ClientStream::new(stream, state.clone(), entry.callers.memory.clone());
    let service = service_fn(move |request| {
        state.begin_body();
        let (entry, arrival, client) = (handler.clone(), arrival.clone(), state.clone());
        async move {
            let origin = RequestOrigin {
                caller,
                client: client.clone(),
                limits: *entry.caller_limits.borrow(),
                arrived_at: arrival.take_arrival(),
                arrival_mark: arrival.clone(),
            };
            let response = handle_request(&entry, request, origin).await;
            let response = hold_response(response, &entry.callers.memory, &client).await;
            arrival.end_request();
            client.end_request();
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let connection = async move {
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            biased;
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|closing| *closing) => {}
            // The limit of a connection cannot be changed, so a new one must take larger heads.
            _ = limits_changes.wait_for(|limits| limits.head_bytes > head_bytes) => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    };
    let connection = std::pin::pin!(connection);
    let disconnect = client.state.wait_disconnect(|| {
        let limits = entry.caller_limits.borrow();
        ClientTimeouts {
            head: Duration::from_millis(limits.head_ms),
            idle: Duration::from_millis(limits.idle_ms),
        }
    });
    drive_connection(connection, &client.state, disconnect).await;
}

/// Facts about a request that come from its connection.
#[derive(Debug)]
struct RequestOrigin {
    caller: CallerFingerprint,
    /// State of the connection.
    client: Arc<ClientState>,
    limits: CallerLimits,
    /// Earliest possible arrival time of the request, since the process started.
    arrived_at: Duration,
    /// Tracker of the arrival times of the connection's requests.
    arrival_mark: Rc<ArrivalMark>,
}

/// Returns the fingerprint of the caller, which is the same for all connections from
/// one IP address.
fn caller_fingerprint(stream: &TcpStream) -> CallerFingerprint {
    match stream.peer_addr().map(|address| address.ip()) {
        Ok(IpAddr::V4(address)) => CallerFingerprint::of(&address.octets()),
        Ok(IpAddr::V6(address)) => CallerFingerprint::of(&address.octets()),
        Err(_) => CallerFingerprint::of(&[]),
    }
}

/// Informs the machine when dropped before the answer, because the caller has
/// disconnected.
struct DisconnectGuard<D: ForwardDialect> {
    entry: Rc<ForwardDriver<D>>,
    tag: CallTag,
}

impl<D: ForwardDialect> Drop for DisconnectGuard<D> {
    fn drop(&mut self) {
        self.entry.handle_caller_left(self.tag);
    }
}

/// Answers a request, and asks the caller to close the connection if the entry is
/// shutting down.
async fn handle_request<D: ForwardDialect>(
    entry: &Rc<ForwardDriver<D>>,
    request: Request<Incoming>,
    origin: RequestOrigin,
) -> FullResponse {
    let mut response = process_request(entry, request, origin).await;
    if entry.phase() == EntryPhase::Leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Reads a request, waits for a token if its workspace has a usage cap, passes the
/// request to the machine and waits for the answer.
async fn process_request<D: ForwardDialect>(
    entry: &Rc<ForwardDriver<D>>,
    request: Request<Incoming>,
    origin: RequestOrigin,
) -> FullResponse {
    let RequestOrigin {
        caller,
        limits,
        arrived_at,
        ..
    } = origin;
    let client = &origin.client;
    if entry.phase() == EntryPhase::Learning {
        return failure_response(ForwardFailure::NoTable, Some(Duration::from_millis(200)));
    }
    let read_delay = entry.clock.elapsed().saturating_sub(arrived_at);
    let (mut parts, body) = request.into_parts();
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host: Box<str> = host.or_else(|| parts.uri.host()).unwrap_or_default().into();
    let time_left = parts.headers.get(D::HEADERS.time_left);
    let time_left = time_left.and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
    let time_left = time_left.filter(|millis| millis.is_finite());
    // A time too long for `Duration` counts as no time given.
    let time_left =
        time_left.and_then(|millis| Duration::try_from_secs_f64(millis.max(0.0) / 1000.0).ok());
    let Ok(relayed) = read_relay_order(entry, &parts.headers, arrived_at) else {
        // The sending entry runs another version, or meant another incarnation of this
        // entry. After this refusal it sends the request to the shards itself.
        return failure_response(ForwardFailure::NoServer, None);
    };
    let is_relayed = relayed.is_some();
    let deadline = body_deadline(entry, &host, parts.uri.path(), arrived_at, time_left);
    let received = receive_body(entry, &parts, body, &origin, is_relayed);
    let received = match read_before(deadline, &client.eviction, received).await {
        Ok(received) => received,
        Err(error) => return body_error_response(error, limits.body_bytes),
    };
    let ReceivedBody {
        body,
        allowance_reader,
        memory,
    } = received;
    let work = client.begin_work();
    if allowance_reader.is_some() && body.is_empty() {
        // The content length counted only the digit of the attempt allowance, which
        // follows the empty body.
        parts.headers.remove(CONTENT_LENGTH);
    }
    let relay_headers = is_relayed.then_some(&parts.headers);
    let fingerprint = relay_headers
        .and_then(parse_fingerprint)
        .unwrap_or_else(|| {
            let target = parts.uri.path_and_query();
            let target = target.map_or("/", |target| target.as_str());
            RequestFingerprint {
                content: ContentFingerprint::of(parts.method.as_str(), &host, target, &body),
                caller,
            }
        });
    let call = ForwardCall {
        tag: CallTag(0),
        host,
        path: parts.uri.path().into(),
        mark: fingerprint,
        key: caller_key::<D>(&parts.headers),
        arrived_at,
        time_left,
        relayed,
    };
    let id = parts.headers.get(D::HEADERS.request);
    let id = id.and_then(|id| id.to_str().ok()).map(str::to_string);
    let id = id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    if read_delay > LATE_READ_THRESHOLD {
        let unread_ms = read_delay.as_millis() as u64;
        tracing::warn!(target: "entry", request = id, unread_ms, "route: read late");
    }
    let image = RequestImage::new::<D>(&parts.method, &parts.uri, &parts.headers, &id, body);
    let image = image.with_fingerprint(fingerprint);
    let image = image.with_client(memory, client.eviction.clone());
    drop(parts);
    let workspace_with_cap = entry.with_machine(|machine| machine.find_capped_workspace(&call));
    if let Some(workspace) = &workspace_with_cap {
        match entry.caps.acquire(workspace).await {
            CapVerdict::Admitted => {}
            CapVerdict::Refused(after) => {
                return failure_response(ForwardFailure::CapReached, Some(after));
            }
            CapVerdict::SourceUnavailable(after) => {
                return failure_response(ForwardFailure::CapUnknown, Some(after));
            }
        }
    }
    let (tag, receiver) = entry.register_call(image);
    let guard = DisconnectGuard {
        entry: entry.clone(),
        tag,
    };
    entry.step(ForwardInput::Call(ForwardCall { tag, ..call }));
    if let Some(reader) = allowance_reader {
        let allowance = reader.receive_allowance(entry.clone(), tag);
        tokio::task::spawn_local(async move {
            allowance.await;
            // The allowance may arrive after the answer. Its bytes belong to this
            // request, not to the next one.
            origin.arrival_mark.end_request();
            origin.client.end_late_body();
        });
    }
    let answer = receiver.await;
    drop(guard);
    drop(work);
    if let (Some(workspace), Ok(ForwardAnswer::Failure { failure, .. })) =
        (&workspace_with_cap, &answer)
    {
        if failure.is_known_unrun() {
            entry.caps.return_token(workspace);
        }
    }
    match answer {
        Ok(ForwardAnswer::Failure { failure, .. })
            if is_relayed && failure.is_suspect_refusal() =>
        {
            suspect_refusal_response(entry, failure, fingerprint)
        }
        Ok(answer) => render_answer::<D>(answer, &id),
        Err(_) => failure_response(ForwardFailure::Failed, None),
    }
}

/// A body that was received, and the memory that its request takes.
struct ReceivedBody {
    body: Bytes,
    /// Reads what may follow the body of a relayed request.
    allowance_reader: Option<AllowanceReader>,
    memory: MemoryReservation,
}

/// Receives the body of a request, within the memory for requests.
async fn receive_body<D: ForwardDialect>(
    entry: &ForwardDriver<D>,
    parts: &Parts,
    body: Incoming,
    origin: &RequestOrigin,
    is_relayed: bool,
) -> Result<ReceivedBody, BodyError> {
    let eviction = origin.client.eviction.clone();
    let mut memory = entry.callers.memory.hold(MemoryUse::Request, eviction);
    let head_bytes = HEAD_COPIES * head_size(parts);
    let resized = memory.resize(head_bytes).await;
    resized.map_err(|MemoryExhausted| BodyError::MemoryExhausted)?;
    let max_bytes = origin.limits.body_bytes;
    let mut allowance_reader = None;
    let body = if is_relayed {
        let headers = &parts.headers;
        let reading = AllowanceReader::read_body(headers, body, max_bytes, &mut memory, head_bytes);
        let (body, reader) = reading.await?;
        allowance_reader = Some(reader);
        body
    } else {
        read_body(body, max_bytes, &mut memory, head_bytes).await?
    };
    memory.end_wait();
    Ok(ReceivedBody {
        body,
        allowance_reader,
        memory,
    })
}

/// Returns when the time limit of a request passes, which makes the rest of its body useless:
/// that of its route, or the caller's if that is earlier.
fn body_deadline<D: ForwardDialect>(
    entry: &ForwardDriver<D>,
    host: &str,
    path: &str,
    arrived_at: Duration,
    time_left: Option<Duration>,
) -> Instant {
    let route_limit = entry.with_machine(|machine| {
        let table = machine.table()?;
        let route = table.find(host, path)?;
        Some(table.routes()[route].time_limit())
    });
    let limit = route_limit.unwrap_or(UNROUTED_BODY_TIMEOUT);
    let limit = time_left.map_or(limit, |time_left| limit.min(time_left));
    let passed = entry.clock.elapsed().saturating_sub(arrived_at);
    Instant::now() + limit.saturating_sub(passed)
}

/// Returns the size of a request's head, in bytes.
fn head_size(parts: &Parts) -> usize {
    let target = parts.uri.path_and_query();
    let target_bytes = target.map_or(0, |target| target.as_str().len());
    let headers = parts.headers.iter();
    headers.fold(target_bytes, |bytes, (name, value)| {
        bytes + name.as_str().len() + value.len()
    })
}

/// Returns the digest of the caller's key. If the request has several keys, returns the
/// digest of an empty key, which belongs to no workspace.
fn caller_key<D: ForwardDialect>(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut keys = headers.get_all(D::HEADERS.key).iter();
    let key = keys.next()?;
    let key = if keys.next().is_none() {
        key.as_bytes()
    } else {
        &[]
    };
    Some(KeyDigest::of(key))
}

/// Reads the relay order, if another entry relayed the request.
///
/// The order must name this incarnation of the entry by the random number drawn at its
/// start, which only the control group distributes. Callers do not know the number, so
/// they cannot pose as an entry and name a workspace without its key.
///
/// # Errors
///
/// Fails if the order names another incarnation or cannot be parsed.
fn read_relay_order<D: ForwardDialect>(
    entry: &ForwardDriver<D>,
    headers: &HeaderMap,
    arrived_at: Duration,
) -> anyhow::Result<Option<RelayOrder>> {
    let Some(value) = headers.get(RELAY_HEADER) else {
        return Ok(None);
    };
    let header_text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let is_for_local_id =
        header_text(D::HEADERS.expect).is_some_and(|expect| entry.is_local_id(expect));
    anyhow::ensure!(
        is_for_local_id,
        "relayed request does not name this incarnation of the entry"
    );
    let order_text = value.to_str().ok();
    let order =
        order_text.and_then(|order_text| parse_relay_order::<D>(order_text, headers, arrived_at));
    Ok(Some(order.context(
        "could not parse the relay order of another entry",
    )?))
}

/// Answers the load balancer's health checks until the process ends: 200 while the entry
/// serves requests, 503 before and during the shutdown.
pub async fn serve_health_checks<D: ForwardDialect>(
    entry: Rc<ForwardDriver<D>>,
    listener: TcpListener,
) {
    let limits = ListenerLimits {
        connections: ConnectionLimiter::new(MAX_HEALTH_CHECK_CONNECTIONS),
        memory: entry.callers.memory.clone(),
        timeouts: HEALTH_CHECK_TIMEOUTS,
    };
    serve_listener(listener, limits, move |_, _| {
        let (status, text) = if entry.phase() == EntryPhase::Serving {
            (StatusCode::OK, "ready")
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready")
        };
        async move { typed_response(status, TEXT_CONTENT_TYPE, text) }
    })
    .await;
}

/// Opens a listening socket.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn bind_listener(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen at {address}"))
}
