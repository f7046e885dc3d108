//! The callers' side: requests in, answers out.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use wheelmast_core::process::forward::answer::{ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::input::{
    ForwardCall, ForwardInput, RelayOrder, ServerAnswer,
};
use wheelmast_core::process::forward::suspect::record::SuspectRecord;
use wheelmast_core::process::input::CallTag;
use wheelmast_core::request::mark::{CallerFingerprint, ContentFingerprint, RequestFingerprint};
use wheelmast_core::version::route_table::CallerLimits;
use wheelmast_core::version::workspace::KeyDigest;
use wheelmast_wire::dialect::ForwardDialect;

use crate::connection::accept::next_stream;
use crate::connection::arrival::{ArrivalMark, ArrivalStream};
use crate::connection::http::{
    say_retry_after, serve_http, typed_response, FullResponse, PLAIN_TYPE,
};
use crate::process::forward::cap_gate::CapVerdict;
use crate::process::forward::entry::{EntryDuty, EntryPhase};
use crate::process::forward::grant::GrantReader;
use crate::process::forward::image::{
    read_mark, read_order, render_suspect, RequestImage, RELAY_HEADER, SHARDS_HEADER,
    SUSPECT_HEADER,
};

/// Least size of a connection's buffer that the HTTP library takes.
const LEAST_BUFFER: usize = 8192;
/// Longest time for the head of a balancer's question.
const BALANCER_HEAD_TIME: Duration = Duration::from_secs(10);
/// Time from which a request counts as read late.
const LATE_READ: Duration = Duration::from_millis(100);
/// What stands between the words of a header's list.
const WORD_JOIN: &str = ", ";

/// Accepts callers' connections until the entry closes.
pub async fn accept<D: ForwardDialect>(
    entry: Rc<EntryDuty<D>>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    let mut closed = closing.clone();
    let watch = entry.watch.clone();
    tokio::task::spawn_local(async move { watch.run().await });
    loop {
        let stream = tokio::select! {
            stream = next_stream(&listener) => stream,
            _ = closed.wait_for(|closing| *closing) => return,
        };
        let (entry, closing) = (entry.clone(), closing.clone());
        tokio::task::spawn_local(serve(entry, stream, closing));
    }
}

async fn serve<D: ForwardDialect>(
    entry: Rc<EntryDuty<D>>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    let limits = entry.look(|machine| machine.table().map(|table| table.limits()));
    let limits = limits.unwrap_or_default();
    let caller = caller_of(&stream);
    let stream = ArrivalStream::new(stream, entry.watch.clone());
    let (handler, mark) = (entry.clone(), stream.mark());
    let service = service_fn(move |request| {
        let (entry, mark) = (handler.clone(), mark.clone());
        async move {
            let source = CallSource {
                caller,
                limits,
                arrived_at: mark.take(),
                mark: mark.clone(),
            };
            let response = handle(entry, request, source).await;
            mark.end();
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_ms.max(limits.head_ms)))
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // A caller that sends what is no request harms only itself.
        _ = connection.as_mut() => return,
        _ = closing.wait_for(|closing| *closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// What the connection of a request says of it.
#[derive(Debug)]
struct CallSource {
    caller: CallerFingerprint,
    limits: CallerLimits,
    /// When the request may have come at the earliest.
    arrived_at: Duration,
    mark: Rc<ArrivalMark>,
}

/// Returns who calls: the same for all connections from one address.
fn caller_of(stream: &TcpStream) -> CallerFingerprint {
    match stream.peer_addr().map(|address| address.ip()) {
        Ok(IpAddr::V4(address)) => CallerFingerprint::of(&address.octets()),
        Ok(IpAddr::V6(address)) => CallerFingerprint::of(&address.octets()),
        Err(_) => CallerFingerprint::of(&[]),
    }
}

/// Tells the machine when a caller leaves before its answer.
struct CallGuard<D: ForwardDialect> {
    entry: Rc<EntryDuty<D>>,
    tag: CallTag,
}

impl<D: ForwardDialect> Drop for CallGuard<D> {
    fn drop(&mut self) {
        self.entry.leave(self.tag);
    }
}

async fn handle<D: ForwardDialect>(
    entry: Rc<EntryDuty<D>>,
    request: Request<Incoming>,
    source: CallSource,
) -> FullResponse {
    let mut response = answer(&entry, request, source).await;
    if entry.phase() == EntryPhase::Leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn answer<D: ForwardDialect>(
    entry: &Rc<EntryDuty<D>>,
    request: Request<Incoming>,
    source: CallSource,
) -> FullResponse {
    let CallSource {
        caller,
        limits,
        arrived_at,
        mark: arrival,
    } = source;
    if entry.phase() == EntryPhase::Learning {
        return failure_response(ForwardFailure::NoTable, Some(Duration::from_millis(200)));
    }
    let unread = entry.clock.elapsed().saturating_sub(arrived_at);
    let (mut parts, body) = request.into_parts();
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host: Box<str> = host.or_else(|| parts.uri.host()).unwrap_or_default().into();
    let time_left = parts.headers.get(D::HEADERS.time_left);
    let time_left = time_left.and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
    let time_left = time_left.filter(|millis| millis.is_finite());
    // What no clock can hold is no time.
    let time_left =
        time_left.and_then(|millis| Duration::try_from_secs_f64(millis.max(0.0) / 1000.0).ok());
    let Ok(relayed) = relay_order(entry, &parts.headers, arrived_at) else {
        // An entry of another version, or one that means another lifetime of
        // this entry: it asks the shards itself.
        return failure_response(ForwardFailure::NoServer, None);
    };
    let is_passed_on = relayed.is_some();
    let mut grant = None;
    let body = if is_passed_on {
        match GrantReader::read_body(&parts.headers, body, limits.body_bytes).await {
            Ok((body, reader)) => {
                grant = Some(reader);
                body
            }
            Err(_) => return unreadable_response(),
        }
    } else {
        match Limited::new(body, limits.body_bytes).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                return typed_response(StatusCode::PAYLOAD_TOO_LARGE, PLAIN_TYPE, "body too large");
            }
            Err(_) => return unreadable_response(),
        }
    };
    if grant.is_some() && body.is_empty() {
        // It was that of the grant.
        parts.headers.remove(CONTENT_LENGTH);
    }
    let passed = is_passed_on.then_some(&parts.headers);
    let mark = passed.and_then(read_mark).unwrap_or_else(|| {
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
        mark,
        key: caller_key::<D>(&parts.headers),
        arrived_at,
        time_left,
        relayed,
    };
    let id = parts.headers.get(D::HEADERS.request);
    let id = id.and_then(|id| id.to_str().ok()).map(str::to_string);
    let id = id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    if unread > LATE_READ {
        let unread_ms = unread.as_millis() as u64;
        tracing::warn!(target: "entry", request = id, unread_ms, "route: read late");
    }
    let image = RequestImage::new::<D>(&parts.method, &parts.uri, &parts.headers, &id, body);
    let image = image.with_mark(mark);
    let capped = entry.look(|machine| machine.find_capped_workspace(&call));
    if let Some(workspace) = &capped {
        match entry.caps.acquire(workspace).await {
            CapVerdict::Taken => {}
            CapVerdict::Reached(after) => {
                return failure_response(ForwardFailure::CapReached, Some(after));
            }
            CapVerdict::Unheard(after) => {
                return failure_response(ForwardFailure::CapUnknown, Some(after));
            }
        }
    }
    let (tag, receiver) = entry.admit(image);
    let guard = CallGuard {
        entry: entry.clone(),
        tag,
    };
    entry.step(ForwardInput::Call(ForwardCall { tag, ..call }));
    if let Some(reader) = grant {
        let granted = reader.wait(entry.clone(), tag);
        tokio::task::spawn_local(async move {
            granted.await;
            // It may come behind the answer, and belongs to this request.
            arrival.end();
        });
    }
    let answer = receiver.await;
    drop(guard);
    if let (Some(workspace), Ok(ForwardAnswer::Failure { failure, .. })) = (&capped, &answer) {
        if failure.is_known_unrun() {
            entry.caps.give_back(workspace);
        }
    }
    match answer {
        Ok(ForwardAnswer::Failure { failure, .. })
            if is_passed_on && failure.is_suspect_refusal() =>
        {
            barred_response(entry, failure, mark)
        }
        Ok(answer) => respond::<D>(answer, &id),
        Err(_) => failure_response(ForwardFailure::Failed, None),
    }
}

fn unreadable_response() -> FullResponse {
    typed_response(
        StatusCode::BAD_REQUEST,
        PLAIN_TYPE,
        "body could not be read",
    )
}

/// Returns the digest of the caller's key. One that is given twice is none that
/// a workspace holds.
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

/// Reads what another entry asks for, if one passed the request on.
///
/// Whoever names this lifetime of the entry heard of it from the control group,
/// as its number is drawn at the start: callers can't pass requests on, and so
/// can't name a workspace without its key.
fn relay_order<D: ForwardDialect>(
    entry: &EntryDuty<D>,
    headers: &HeaderMap,
    arrived_at: Duration,
) -> anyhow::Result<Option<RelayOrder>> {
    let Some(value) = headers.get(RELAY_HEADER) else {
        return Ok(None);
    };
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let is_meant = text(D::HEADERS.expect).is_some_and(|expect| entry.is_named(expect));
    anyhow::ensure!(is_meant, "could not tell who passed the request on");
    let workspace = text(D::HEADERS.workspace);
    let order = value.to_str().ok();
    let order = order.and_then(|order| read_order(order, workspace, arrived_at));
    Ok(Some(
        order.context("could not read what an entry asks for")?,
    ))
}

fn respond<D: ForwardDialect>(answer: ForwardAnswer, id: &str) -> FullResponse {
    match answer {
        ForwardAnswer::Server(answer) => server_response(*answer),
        ForwardAnswer::Gathered {
            stamps,
            shards,
            missing,
            body,
        } => {
            let mut response = Response::builder()
                .status(StatusCode::OK)
                .header(D::HEADERS.request, id)
                .header(D::HEADERS.parts, stamps.join(WORD_JOIN))
                .header(D::HEADERS.missing, missing);
            if !shards.is_empty() {
                response = response.header(SHARDS_HEADER, shards.join(WORD_JOIN));
            }
            let response = response.body(Full::new(Bytes::from(body)));
            response.unwrap_or_else(|_| failure_response(ForwardFailure::Failed, None))
        }
        ForwardAnswer::Failure {
            failure,
            retry_after,
        } => failure_response(failure, retry_after),
    }
}

fn server_response(answer: ServerAnswer) -> FullResponse {
    let mut response = Response::builder().status(answer.status);
    for (name, value) in &answer.headers {
        response = response.header(&**name, &**value);
    }
    let response = response.body(Full::new(answer.body));
    response.unwrap_or_else(|_| failure_response(ForwardFailure::Failed, None))
}

/// Returns the answer to a request that got no server's. Service unavailable
/// says that it has not run and never will.
fn failure_response(failure: ForwardFailure, retry_after: Option<Duration>) -> FullResponse {
    let status = match failure {
        ForwardFailure::NoRoute => StatusCode::NOT_FOUND,
        ForwardFailure::NoKey | ForwardFailure::KeyRevoked => StatusCode::UNAUTHORIZED,
        ForwardFailure::CapReached => StatusCode::TOO_MANY_REQUESTS,
        ForwardFailure::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        ForwardFailure::Failed => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = typed_response(status, PLAIN_TYPE, failure.label());
    if let Some(after) = retry_after {
        say_retry_after(&mut response, after);
    }
    response
}

/// Returns the answer to another entry whose request is kept from servers: what
/// is known of it, so that the entry does not ask servers itself.
fn barred_response<D: ForwardDialect>(
    entry: &EntryDuty<D>,
    failure: ForwardFailure,
    mark: RequestFingerprint,
) -> FullResponse {
    let mut response = failure_response(failure, None);
    let record = entry.look(|machine| machine.suspect_record(mark).cloned());
    let record = record.unwrap_or_else(|| SuspectRecord::new(mark));
    if let Some(value) = render_suspect(&record) {
        response.headers_mut().insert(SUSPECT_HEADER, value);
    }
    response
}

/// Answers the balancer until the entry ends.
pub async fn answer_balancer<D: ForwardDialect>(entry: Rc<EntryDuty<D>>, listener: TcpListener) {
    loop {
        let stream = next_stream(&listener).await;
        let entry = entry.clone();
        tokio::task::spawn_local(async move {
            let answer = |_| {
                let response = if entry.phase() == EntryPhase::Serving {
                    typed_response(StatusCode::OK, PLAIN_TYPE, "ready")
                } else {
                    typed_response(StatusCode::SERVICE_UNAVAILABLE, PLAIN_TYPE, "not ready")
                };
                async move { response }
            };
            serve_http(stream, BALANCER_HEAD_TIME, answer).await;
        });
    }
}

/// Opens a listener.
///
/// # Errors
///
/// Fails if the address cannot be had.
pub async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen at {address}"))
}
