//! An entry whose loop a test holds up, and what its servers were asked.

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
use wheelmast_node::process::forward::callers::{accept, listen};
use wheelmast_node::process::forward::entry::{EntryDuty, EntryPhase};
use wheelmast_node::process::forward::image::RequestImage;
use wheelmast_wire::native::NativeDialect;

use crate::support::run_local_test;

/// Longest time that a caller here waits for an answer.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);

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

type Entry = Rc<EntryDuty<NativeDialect>>;

/// An entry on this thread, a server and another entry on others.
pub(crate) struct Stage {
    pub(crate) entry: Entry,
    /// Where callers come.
    pub(crate) front: SocketAddr,
    pub(crate) server: FakeShard,
    pub(crate) far: FakeShard,
    _closing: watch::Sender<bool>,
}

impl Stage {
    async fn build(server: FakeShard, far: FakeShard) -> Stage {
        let options = ForwardOptions {
            domain: "here".into(),
            local_id: "own#1".into(),
            ..ForwardOptions::default()
        };
        let entry: Entry = Rc::new(EntryDuty::new(options, 1));
        tokio::task::spawn_local(entry.clone().keep_time());
        let draft: RouteDraft = serde_json::from_str(TABLE).expect("a draft");
        let table = RouteTable::check(draft).expect("a table");
        entry.step(ForwardInput::Table(table.into()));
        entry.step(notice(&server.id, "s", server.address, "here"));
        // Nobody listens there: these are asked for through the other entry.
        for (service, port) in [("f0", 1), ("f1", 2), ("f2", 3)] {
            entry.step(notice(
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
            address: far.address,
        }]));
        entry.set_phase(EntryPhase::Serving);
        let listener = listen(([127, 0, 0, 1], 0).into()).await.expect("a port");
        let front = listener.local_addr().expect("an address");
        let (keep, closing) = watch::channel(false);
        tokio::task::spawn_local(accept(entry.clone(), listener, closing));
        Stage {
            entry,
            front,
            server,
            far,
            _closing: keep,
        }
    }

    /// Makes a request that opens the connections which later ones use.
    pub(crate) async fn warm(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.front).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        let ask = move || {
            write_head(&mut stream, "/q/x", "warm", 9000, 0);
            assert_eq!(read_status(&mut stream), Some(200));
            stream
        };
        tokio::task::spawn_blocking(ask).await.expect("asked")
    }

    /// Makes a request whose caller leaves at once.
    pub(crate) fn ask_and_leave(&self, id: &str) {
        let uri = "/q/x".parse().expect("a path");
        let image = RequestImage::new::<NativeDialect>(
            &Method::GET,
            &uri,
            &HeaderMap::new(),
            id,
            Bytes::new(),
        );
        let (tag, _answer) = self.entry.admit(image);
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
            time_left: Some(PATIENCE),
            relayed: None,
        }));
        self.entry.leave(tag);
    }

    /// Holds the loop up.
    pub(crate) fn hold(time: Duration) -> Instant {
        std::thread::sleep(time);
        Instant::now()
    }

    /// Holds the loop up once the next request has been decided on, before
    /// anything is written for it.
    pub(crate) fn hold_after_decision(&self, time: Duration) -> JoinHandle<Instant> {
        let entry = self.entry.clone();
        tokio::task::spawn_local(async move {
            // It always waits to run, and so runs before what the decision begins.
            let decided = std::future::poll_fn(|context| {
                if entry.look(|machine| machine.call_count()) > 0 {
                    return Poll::Ready(());
                }
                context.waker().wake_by_ref();
                Poll::Pending
            });
            let decided = tokio::time::timeout(PATIENCE, decided).await;
            decided.expect("a request is taken in");
            Stage::hold(time)
        })
    }
}

fn notice(id: &str, service: &str, address: SocketAddr, domain: &str) -> ForwardInput {
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

/// Plays a test with its servers on another thread, which is not held up.
pub(crate) fn play_on_stage<F: std::future::Future<Output = ()>>(
    test: impl FnOnce(Rc<Stage>) -> F,
) {
    let beside = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime");
    let (server, far) = beside.block_on(async {
        let server = FakeShard::start("s", "here", b'a').await;
        let far = FakeShard::start("far", "there", b'b').await;
        (server.expect("a server"), far.expect("another entry"))
    });
    run_local_test(async move {
        let stage = Rc::new(Stage::build(server, far).await);
        test(stage.clone()).await;
    });
}

/// Writes the head of a request. Returns when its time began to run.
pub(crate) fn write_head(
    stream: &mut TcpStream,
    path: &str,
    id: &str,
    left: u64,
    length: usize,
) -> Instant {
    let begun = Instant::now();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nwheelmast-request: {id}\r\n\
         wheelmast-time-left-ms: {left}\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("written");
    begun
}

/// Reads an answer; none if the connection ends first.
pub(crate) fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).to_lowercase();
    let length = number_of(&head, "content-length: ").unwrap_or(0);
    stream.read_exact(&mut vec![0; length as usize]).ok()?;
    head.split(' ').nth(1)?.parse().ok()
}

pub(crate) fn number_of(head: &str, name: &str) -> Option<u64> {
    let value = head.lines().find_map(|line| line.strip_prefix(name))?;
    value.trim().parse().ok()
}

/// Returns the heads with which a server was asked for a request.
pub(crate) fn asked(server: &FakeShard, id: &str) -> Vec<String> {
    let line = format!("wheelmast-request: {id}\r\n");
    let heads = server.heads().into_iter();
    heads.filter(|head| head.contains(&line)).collect()
}

/// Checks that a server was told no more time than `left` less what had passed
/// at a moment before anything was written.
pub(crate) fn assert_told_at_most(
    head: &str,
    left: u64,
    begun: Instant,
    before: Instant,
    name: &str,
) {
    let told = number_of(head, "wheelmast-time-left-ms: ").expect("a time");
    let passed = (before - begun).as_millis() as u64;
    assert!(
        told + passed <= left,
        "{name}: told {told} ms in place of {left} less {passed}"
    );
}
