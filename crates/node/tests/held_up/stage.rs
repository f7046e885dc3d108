//! Test harness: an entry whose event loop a test can block, with a server and
//! another entry that record the requests they receive.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::Method;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use wheelmast_core::process::forward::directory::{ServerAnnouncement, ServerLifecycle};
use wheelmast_core::process::forward::input::{EntryPeer, ForwardCall, ForwardInput};
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::request::mark::{CallerFingerprint, ContentFingerprint, RequestFingerprint};
use wheelmast_core::version::route_table::{RouteDraft, RouteTable};
use wheelmast_fake::shard::FakeShard;
use wheelmast_node::process::forward::callers::{accept_callers, bind_listener};
use wheelmast_node::process::forward::entry::{EntryPhase, ForwardDriver};
use wheelmast_node::process::forward::image::RequestImage;
use wheelmast_wire::native::NativeDialect;

use crate::support::run_local_test;

/// Maximum time that a caller waits for an answer.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Route table of the entry: `q` goes to the local server, `f` through the
/// other entry, and `d` to the local server without retries.
const TABLE: &str = r#"{"version": 1,
    "services": [{"name": "s", "connections": 9}, {"name": "f0", "connections": 9},
      {"name": "f1", "connections": 9}, {"name": "f2", "connections": 9}],
    "routes": [
      {"name": "q", "host": "h", "prefix": "/q/", "idempotent": true, "rank": 0,
       "time_limit_ms": 9000, "objective_ms": 4000, "attempts": 2, "top": 4,
       "least_coverage": 1.0, "target": {"gather": ["s"]}},
      {"name": "f", "host": "h", "prefix": "/f/", "idempotent": true, "rank": 0,
       "time_limit_ms": 9000, "objective_ms": 4000, "attempts": 2, "top": 4,
       "least_coverage": 1.0, "target": {"gather": ["f0", "f1", "f2"]}},
      {"name": "d", "host": "h", "prefix": "/d/", "idempotent": false, "rank": 0,
       "time_limit_ms": 9000, "objective_ms": 4000, "attempts": 1,
       "target": {"service": "s"}}]}"#;

/// Time for which the loop was blocked.
#[derive(Clone, Copy)]
pub(crate) struct BlockedPeriod {
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

type Entry = Rc<ForwardDriver<NativeDialect>>;

/// An entry on the thread of the test, with a server and another entry on other
/// threads.
pub(crate) struct HeldUpHarness {
    pub(crate) entry: Entry,
    /// Address at which the entry accepts callers.
    pub(crate) caller_address: SocketAddr,
    /// The server of service `s`.
    pub(crate) server: FakeShard,
    /// A stand-in for another entry; it answers like a server.
    pub(crate) other_entry: FakeShard,
    _closing: watch::Sender<bool>,
}

impl HeldUpHarness {
    /// Starts the entry and announces its servers and the other entry.
    async fn build(server: FakeShard, other_entry: FakeShard) -> HeldUpHarness {
        let options = ForwardOptions {
            domain: "here".into(),
            local_id: "own#1".into(),
            ..ForwardOptions::default()
        };
        let entry: Entry = Rc::new(ForwardDriver::new(options, 1));
        tokio::task::spawn_local(entry.clone().run_timers());
        let draft: RouteDraft = serde_json::from_str(TABLE).expect("a draft");
        let table = RouteTable::check(draft).expect("a table");
        entry.step(ForwardInput::Table(table.into()));
        entry.step(announcement(&server.id, "s", server.address, "here"));
        // No server listens at these addresses; requests for these services are
        // relayed through the other entry.
        for (service, port) in [("f0", 1), ("f1", 2), ("f2", 3)] {
            entry.step(announcement(
                service,
                service,
                ([127, 0, 0, 1], port).into(),
                "there",
            ));
        }
        entry.step(ForwardInput::Peers(vec![EntryPeer {
            instance: "other".into(),
            incarnation: 1,
            domain: "there".into(),
            address: other_entry.address,
        }]));
        entry.set_phase(EntryPhase::Serving);
        let listener = bind_listener(([127, 0, 0, 1], 0).into())
            .await
            .expect("a port");
        let caller_address = listener.local_addr().expect("an address");
        let (keep, closing) = watch::channel(false);
        tokio::task::spawn_local(accept_callers(entry.clone(), listener, closing));
        HeldUpHarness {
            entry,
            caller_address,
            server,
            other_entry,
            _closing: keep,
        }
    }

    /// Sends a request that opens the connections which later requests reuse.
    /// Returns the caller's connection.
    pub(crate) async fn open_connection(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.caller_address).expect("a connection");
        stream
            .set_read_timeout(Some(CALLER_TIMEOUT))
            .expect("a timeout");
        let ask = move || {
            write_head(&mut stream, "/q/x", "warm", 9000, 0);
            assert_eq!(read_status(&mut stream), Some(200));
            stream
        };
        tokio::task::spawn_blocking(ask).await.expect("asked")
    }

    /// Submits a request whose caller disconnects at once.
    pub(crate) fn call_and_disconnect(&self, id: &str) {
        let uri = "/q/x".parse().expect("a path");
        let image = RequestImage::new::<NativeDialect>(
            &Method::GET,
            &uri,
            &HeaderMap::new(),
            id,
            Bytes::new(),
        );
        let (tag, _answer) = self.entry.register_call(image);
        self.entry.step(ForwardInput::Call(ForwardCall {
            tag,
            host: "h".into(),
            path: "/q/x".into(),
            mark: RequestFingerprint {
                content: ContentFingerprint::of("GET", "h", "/q/x", &[]),
                caller: CallerFingerprint::of(b"caller"),
            },
            key: None,
            arrived_at: self.entry.clock.elapsed(),
            time_left: Some(CALLER_TIMEOUT),
            relayed: None,
        }));
        self.entry.handle_caller_left(tag);
    }

    /// Blocks the loop for `time`. Returns the time at which the loop is
    /// unblocked.
    pub(crate) fn block_loop(time: Duration) -> Instant {
        std::thread::sleep(time);
        Instant::now()
    }

    /// Blocks the loop for `time` as soon as the next request was admitted and
    /// its servers were chosen, before anything is written.
    pub(crate) fn block_loop_after_decision(&self, time: Duration) -> JoinHandle<BlockedPeriod> {
        let entry = self.entry.clone();
        tokio::task::spawn_local(async move {
            // This task is always ready to run, so it runs before the tasks
            // that the decision starts.
            let decided = std::future::poll_fn(|context| {
                if entry.with_machine(|machine| machine.call_count()) > 0 {
                    return Poll::Ready(());
                }
                context.waker().wake_by_ref();
                Poll::Pending
            });
            let decided = tokio::time::timeout(CALLER_TIMEOUT, decided).await;
            decided.expect("a request is admitted");
            let from = Instant::now();
            let until = HeldUpHarness::block_loop(time);
            BlockedPeriod { from, until }
        })
    }
}

/// Returns the announcement of a ready server.
fn announcement(id: &str, service: &str, address: SocketAddr, domain: &str) -> ForwardInput {
    ForwardInput::Announcement(ServerAnnouncement {
        id: id.into(),
        service: service.into(),
        address: Some(address),
        domain: domain.into(),
        version: "".into(),
        slots: 4,
        standing: ServerLifecycle::Ready,
        born: 0,
        sequence: 1,
        cold_ms: 0,
    })
}

/// Runs a test with its servers on another thread, which is not blocked.
pub(crate) fn run_with_harness<F: std::future::Future<Output = ()>>(
    test: impl FnOnce(Rc<HeldUpHarness>) -> F,
) {
    let server_runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime");
    let (server, other_entry) = server_runtime.block_on(async {
        let server = FakeShard::start("s", "here", b'a').await;
        let other_entry = FakeShard::start("far", "there", b'b').await;
        (
            server.expect("a server"),
            other_entry.expect("another entry"),
        )
    });
    run_local_test(async move {
        let stage = Rc::new(HeldUpHarness::build(server, other_entry).await);
        test(stage.clone()).await;
    });
}

/// Writes the head of a request. Returns the time at which the caller's time
/// started to run.
pub(crate) fn write_head(
    stream: &mut TcpStream,
    path: &str,
    id: &str,
    time_left_ms: u64,
    length: usize,
) -> Instant {
    let started_at = Instant::now();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nwheelmast-request: {id}\r\n\
         wheelmast-time-left-ms: {time_left_ms}\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("written");
    started_at
}

/// Reads an answer and returns its status; `None` if the connection ends first.
pub(crate) fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).to_lowercase();
    let length = read_number(&head, "content-length: ").unwrap_or(0);
    stream.read_exact(&mut vec![0; length as usize]).ok()?;
    head.split(' ').nth(1)?.parse().ok()
}

/// Reads the number that follows the header `name`, which includes the colon;
/// `None` if there is none.
pub(crate) fn read_number(head: &str, name: &str) -> Option<u64> {
    let value = head.lines().find_map(|line| line.strip_prefix(name))?;
    value.trim().parse().ok()
}

/// Returns the heads of the requests with this id that a server received.
pub(crate) fn received_heads(server: &FakeShard, id: &str) -> Vec<String> {
    let line = format!("wheelmast-request: {id}\r\n");
    let heads = server.heads().into_iter();
    heads.filter(|head| head.contains(&line)).collect()
}

/// Checks that a server was told at most `time_left_ms` less the time between
/// `started_at` and `before`, a moment before anything was written.
pub(crate) fn assert_time_left_at_most(
    head: &str,
    time_left_ms: u64,
    started_at: Instant,
    before: Instant,
    name: &str,
) {
    let announced_ms = read_number(head, "wheelmast-time-left-ms: ").expect("a time");
    let elapsed_ms = (before - started_at).as_millis() as u64;
    assert!(
        announced_ms + elapsed_ms <= time_left_ms,
        "{name}: told {announced_ms} ms in place of the {time_left_ms} ms left less {elapsed_ms} ms passed"
    );
}
