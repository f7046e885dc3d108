//! Connections to upstream servers: kept, one request at a time each.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hyper::StatusCode;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use wheelmast_core::arena::ServerKey;
use wheelmast_core::process::forward::answer::AttemptOrder;
use wheelmast_core::process::forward::input::{
    AttemptResult, BundleAnswer, ForwardInput, LoadReport, ServerAnswer,
};
use wheelmast_wire::dialect::ForwardDialect;

use crate::connection::exchange::{
    exchange_with_continue, CompleteAnswer, ExchangeFailure, DEFAULT_IDLE_TIMEOUT,
};
use crate::process::forward::entry::EntryDuty;
use crate::process::forward::image::{
    is_hop_by_hop, parse_suspect, render_allowance, RequestImage, SHARDS_HEADER, SUSPECT_HEADER,
};

/// Longest time a connection may take to open.
const CONNECT_TIME: Duration = Duration::from_millis(700);
/// Time from a decision to the write after which an attempt counts as sent late.
const LATE_SEND: Duration = Duration::from_millis(100);

/// A request for one server.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// What the machine ordered.
    pub order: AttemptOrder,
    /// The request.
    pub image: Rc<RequestImage>,
    /// When it was ordered.
    pub ordered_at: Duration,
    /// Turns ready when nobody waits for it any more.
    pub cancelled: oneshot::Receiver<()>,
}

/// An idle connection: takes the next request.
#[derive(Debug)]
struct IdleLink {
    orders: oneshot::Sender<UpstreamRequest>,
    until: Duration,
    /// The request that it served last.
    last: Box<str>,
}

/// The idle connections to all servers.
#[derive(Debug, Default)]
pub struct ServerPool {
    idle: RefCell<HashMap<ServerKey, Vec<IdleLink>>>,
    sent_late: Cell<u64>,
}

impl ServerPool {
    /// Sends a request on an idle connection, or on a new one.
    pub fn send<D: ForwardDialect>(&self, entry: &Rc<EntryDuty<D>>, order: UpstreamRequest) {
        let now = entry.clock.elapsed();
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(order.order.server).or_default();
        links.retain(|link| link.until > now && !link.orders.is_closed());
        // A server may answer once more, late, with the id of what it answered.
        // A request that comes to it a second time, through another entry, must
        // not meet that on the same connection: nothing would tell them apart.
        let is_fit = |link: &IdleLink| link.last != order.image.id;
        if let Some(place) = links.iter().rposition(is_fit) {
            let link = links.remove(place);
            drop(idle);
            if let Err(back) = link.orders.send(order) {
                self.send(entry, back);
            }
            return;
        }
        tokio::task::spawn_local(run_link(entry.clone(), order));
    }

    /// Returns the number of attempts that were written long after they were
    /// decided on.
    pub fn sent_late(&self) -> u64 {
        self.sent_late.get()
    }

    /// Tells an attempt that is written at `now`, long after it was decided on.
    fn tell_late(&self, order: &UpstreamRequest, now: Duration) {
        let late = now.saturating_sub(order.ordered_at);
        if late < LATE_SEND {
            return;
        }
        self.sent_late.set(self.sent_late.get() + 1);
        let (request, server) = (&order.image.id, &order.order.instance);
        let time_left = order.order.until.saturating_sub(now);
        let time_left_ms = time_left.as_millis() as u64;
        let late_ms = late.as_millis() as u64;
        tracing::warn!(target: "entry", %request, %server, late_ms, time_left_ms, "route: sent late");
    }

    /// Closes the idle connections to a server.
    pub fn close(&self, server: ServerKey) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Tells the machine how many idle connections to a server can be used.
    fn tell_idle<D: ForwardDialect>(&self, entry: &Rc<EntryDuty<D>>, server: ServerKey) {
        let now = entry.clock.elapsed();
        let idle = self.idle.borrow();
        let links = idle.get(&server).map(|links| {
            let live = links.iter();
            live.filter(|link| link.until > now && !link.orders.is_closed())
                .count()
        });
        let idle_count = links.unwrap_or(0) as u32;
        drop(idle);
        entry.step(ForwardInput::IdleConnections {
            server,
            idle: idle_count,
        });
    }

    fn keep(
        &self,
        server: ServerKey,
        until: Duration,
        last: Box<str>,
    ) -> oneshot::Receiver<UpstreamRequest> {
        let (orders, receiver) = oneshot::channel();
        let mut idle = self.idle.borrow_mut();
        idle.entry(server).or_default().push(IdleLink {
            orders,
            until,
            last,
        });
        receiver
    }
}

/// Opens a connection and serves requests on it until it ends.
async fn run_link<D: ForwardDialect>(entry: Rc<EntryDuty<D>>, first: UpstreamRequest) {
    let server = first.order.server;
    let mut order = first;
    let opened = Instant::now();
    let connect = TcpStream::connect(order.order.address);
    let connected = tokio::select! {
        biased;
        _ = &mut order.cancelled => None,
        connected = tokio::time::timeout(CONNECT_TIME, connect) => connected.ok(),
    };
    let Some(Ok(mut stream)) = connected else {
        return finish(&entry, &order.order, AttemptResult::Unsent);
    };
    // Without it small writes wait for each other; nothing else changes.
    let _ = stream.set_nodelay(true);
    let took = opened.elapsed();
    entry.step(ForwardInput::Connected { server, took });
    let mut buffer = BytesMut::new();
    let mut until = entry.clock.elapsed() + DEFAULT_IDLE_TIMEOUT;
    let mut last = Box::default();
    loop {
        let now = entry.clock.elapsed();
        if is_withdrawn(&entry, &mut order, now) {
            finish(&entry, &order.order, AttemptResult::Withdrawn);
        } else {
            last = order.image.id.clone();
            let Some(keep) = serve(&entry, &mut stream, &mut buffer, order, now).await else {
                return;
            };
            until = entry.clock.elapsed() + keep;
        }
        let keep = until.saturating_sub(entry.clock.elapsed());
        let orders = entry.pool.keep(server, until, last.clone());
        entry.pool.tell_idle(&entry, server);
        tokio::select! {
            biased;
            next = orders => match next {
                Ok(next) => order = next,
                Err(_) => return,
            },
            // It ended, or has bytes where none are due.
            _ = stream.readable() => return entry.pool.tell_idle(&entry, server),
            () = tokio::time::sleep(keep) => {
                return entry.pool.tell_idle(&entry, server);
            }
        }
    }
}

/// Tells whether a request is not to be written any more: nobody waits for it, or
/// its time is over. It may have waited long for its connection and for the loop,
/// and what was decided since then reaches it only here.
fn is_withdrawn<D: ForwardDialect>(
    entry: &EntryDuty<D>,
    order: &mut UpstreamRequest,
    now: Duration,
) -> bool {
    let is_cancelled = order.cancelled.try_recv().is_ok();
    let is_over = now >= order.order.until;
    is_cancelled || is_over || !entry.is_at_work(order.order.call)
}

/// Serves one request that is written at `now`. Returns how long the connection may then be idle.
async fn serve<D: ForwardDialect>(
    entry: &Rc<EntryDuty<D>>,
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    order: UpstreamRequest,
    now: Duration,
) -> Option<Duration> {
    entry.pool.tell_late(&order, now);
    let UpstreamRequest {
        order,
        image,
        mut cancelled,
        ..
    } = order;
    // The loop may come to it long after the decision: what is told of time is
    // worked out here.
    let request = image.render::<D>(&order, now);
    let attempt = order.attempt;
    let is_whole = Cell::new(order.relay.is_none());
    let granted = order.relay.as_ref().map(|_| entry.await_grant(attempt));
    let is_told = &is_whole;
    let rest = || async move {
        entry.step(ForwardInput::RelayAcknowledged(attempt));
        match granted {
            Some(granted) => match granted.await {
                Ok(attempts) => {
                    is_told.set(true);
                    render_allowance(attempts)
                }
                Err(_) => std::future::pending().await,
            },
            None => std::future::pending().await,
        }
    };
    let result = tokio::select! {
        biased;
        result = exchange_with_continue(stream, buffer, &request, rest) => result,
        _ = &mut cancelled => Err(ExchangeFailure::Broken),
    };
    let (end, keep) = match result {
        Ok(answer) if order.relay.is_some() => read_bundle::<D>(answer, &image),
        Ok(answer) => read_end::<D>(answer, &image, order.forward_headers),
        Err(ExchangeFailure::Unsent) => (AttemptResult::Unsent, None),
        Err(ExchangeFailure::Broken) => (AttemptResult::Broken, None),
    };
    finish(entry, &order, end);
    // The other entry may still wait for what it was not granted.
    keep.filter(|_| is_whole.get())
}

fn finish<D: ForwardDialect>(entry: &Rc<EntryDuty<D>>, order: &AttemptOrder, end: AttemptResult) {
    let attempt = order.attempt;
    entry.cancels.borrow_mut().remove(&attempt);
    entry.drop_grant(attempt);
    entry.step(ForwardInput::AttemptEnded { attempt, end });
}

/// Reads what a whole answer says. One that bears another request's id, or
/// none, belongs to nobody knows whom.
fn read_end<D: ForwardDialect>(
    answer: CompleteAnswer,
    image: &RequestImage,
    forward_headers: bool,
) -> (AttemptResult, Option<Duration>) {
    let names = D::HEADERS;
    let id = find(&answer.headers, names.request);
    if id != Some(image.id.as_bytes()) {
        return (AttemptResult::Broken, None);
    }
    let load = find(&answer.headers, names.load).and_then(read_load);
    let stamp =
        find(&answer.headers, names.stamp).and_then(|stamp| std::str::from_utf8(stamp).ok());
    let end = ServerAnswer {
        status: answer.status,
        stamp: stamp.map(Into::into),
        not_run: find(&answer.headers, names.not_run).is_some(),
        load,
        headers: if forward_headers {
            answer.headers.into_iter().filter(passes::<D>).collect()
        } else {
            Vec::new()
        },
        body: answer.body,
    };
    (AttemptResult::Answer(end), answer.keep)
}

/// Reads the parts that another entry gathered.
fn read_bundle<D: ForwardDialect>(
    answer: CompleteAnswer,
    image: &RequestImage,
) -> (AttemptResult, Option<Duration>) {
    let record = find(&answer.headers, SUSPECT_HEADER).and_then(parse_suspect);
    if let Some(record) = record {
        return (AttemptResult::RefusedAsSuspect(record), answer.keep);
    }
    if answer.status == StatusCode::SERVICE_UNAVAILABLE.as_u16() {
        // It has not asked any shard, and will not.
        return (AttemptResult::Unsent, answer.keep);
    }
    let id = find(&answer.headers, D::HEADERS.request);
    let stamps = list(&answer.headers, D::HEADERS.parts);
    let shards = list(&answer.headers, SHARDS_HEADER);
    let is_bundle = answer.status == StatusCode::OK.as_u16()
        && id == Some(image.id.as_bytes())
        && stamps.len() == shards.len();
    if !is_bundle {
        return (AttemptResult::Broken, None);
    }
    let bundle = BundleAnswer {
        parts: shards.into_iter().zip(stamps).collect(),
        body: answer.body,
    };
    (AttemptResult::Bundle(bundle), answer.keep)
}

fn list(headers: &[(Box<str>, Box<[u8]>)], name: &str) -> Vec<Box<str>> {
    let value = find(headers, name).and_then(|value| std::str::from_utf8(value).ok());
    let words = value.unwrap_or_default().split(',').map(str::trim);
    words
        .filter(|word| !word.is_empty())
        .map(Into::into)
        .collect()
}

fn find<'a>(headers: &'a [(Box<str>, Box<[u8]>)], name: &str) -> Option<&'a [u8]> {
    let mut lines = headers.iter();
    let line = lines.find(|(line, _)| line.eq_ignore_ascii_case(name));
    line.map(|(_, value)| &**value)
}

fn passes<D: ForwardDialect>(line: &(Box<str>, Box<[u8]>)) -> bool {
    let name = line.0.to_ascii_lowercase();
    !is_hop_by_hop(&name) && name != "content-length" && name != D::HEADERS.load
}

/// Reads a load report: running, waiting and slots, separated by commas; some
/// servers add how long their work takes at this moment, in hundredths.
fn read_load(value: &[u8]) -> Option<LoadReport> {
    let mut numbers = std::str::from_utf8(value)
        .ok()?
        .split(',')
        .map(|number| number.trim().parse::<u32>().ok());
    Some(LoadReport {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
        pace: numbers.next().flatten(),
    })
}
