//! Crowds at an entry that forwards.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wheelmast_fake::shard::FakeShard;

use crate::crowd::{
    gather, gather_unreading, run_alone, short_body, short_chunks, short_head, ProcessBounds,
    CROWD, LOW_LIMITS, ORDINARY_ATTEMPTS,
};
use crate::harness::{send_request, wait_until, Deployment};

/// Number of the entry under test.
pub(crate) const ENTRY: usize = 3;
/// Maximum size of a body and of a head, in bytes. These are the defaults of a route table.
const BODY_BYTES: usize = 256 * 1024;
const HEAD_BYTES: usize = 16 * 1024;
/// Size of the large answers, in bytes.
const BULK_BYTES: usize = 1024 * 1024;
/// `desk` answers, `mute` never does, and `bulk` sends large answers.
pub(crate) const TABLE: &str = r#"{"version": 5, "services": [{"name": "desk", "connections": 500},
      {"name": "mute", "connections": 500}, {"name": "bulk", "connections": 500}],
    "routes": [
      {"name": "d", "host": "shop", "prefix": "/d/", "idempotent": true, "rank": 0,
       "time_limit_ms": 20000, "objective_ms": 500, "attempts": 2, "target": {"service": "desk"}},
      {"name": "m", "host": "shop", "prefix": "/m/", "idempotent": true, "rank": 0,
       "time_limit_ms": 20000, "objective_ms": 500, "attempts": 1, "target": {"service": "mute"}},
      {"name": "b", "host": "shop", "prefix": "/b/", "idempotent": true, "rank": 0,
       "time_limit_ms": 20000, "objective_ms": 500, "attempts": 1,
       "target": {"service": "bulk"}}]}"#;

/// Starts a server that reads requests and answers each by `answer`, if there is one.
async fn start_server(answer: Option<fn(&str) -> Vec<u8>>) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut bytes = Vec::new();
                while stream
                    .read_buf(&mut bytes)
                    .await
                    .is_ok_and(|count| count > 0)
                {
                    let Some(answer) = answer else {
                        bytes.clear();
                        continue;
                    };
                    let head = String::from_utf8_lossy(&bytes).to_lowercase();
                    if !head.ends_with("\r\n\r\n") {
                        continue;
                    }
                    let mut lines = head.lines();
                    let id = lines.find_map(|line| line.strip_prefix("wheelmast-request: "));
                    let answer = answer(id.unwrap_or_default());
                    if stream.write_all(&answer).await.is_err() {
                        return;
                    }
                    bytes.clear();
                }
            });
        }
    });
    address
}

/// Returns an answer with a large body.
fn bulk_answer(id: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nwheelmast-request: {id}\r\nwheelmast-stamp: {id}\r\n\
         content-length: {BULK_BYTES}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + BULK_BYTES, b'b');
    bytes
}

/// A deployment with low limits and a server of each service.
pub(crate) struct Stage {
    pub(crate) deployment: Deployment,
    _desk: FakeShard,
}

impl Stage {
    pub(crate) async fn start(address_block: u8) -> Stage {
        let deployment = Deployment::start_with(address_block, LOW_LIMITS);
        deployment.put_first_table(TABLE);
        let desk = FakeShard::start("desk", "here", b'x')
            .await
            .expect("a desk");
        deployment.announce_all([&desk].into_iter());
        let (mute, bulk) = (
            start_server(None).await,
            start_server(Some(bulk_answer)).await,
        );
        for (service, address) in [("mute", mute), ("bulk", bulk)] {
            let path = format!("/v1/servers/{service}-1");
            let body = format!(
                r#"{{"service": "{service}", "address": "{address}", "failure_domain": "here",
                "slots": 100, "draining": false, "sequence": 1}}"#
            );
            wait_until(
                "the announcement is accepted",
                || send_request(deployment.front_address(0), "PUT", &path, "", &body),
                |reply| reply.status == 200,
            );
        }
        let stage = Stage {
            deployment,
            _desk: desk,
        };
        for path in ["/d/calm", "/b/calm"] {
            wait_until(
                "a request is answered in calm",
                || stage.deployment.query(ENTRY, path, "calm"),
                |reply| reply.status == 200,
            );
        }
        stage
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.deployment.front_address(ENTRY)
    }

    /// Measures the process of the entry.
    pub(crate) fn measure(&self) -> ProcessBounds {
        let child = self.deployment.daemons[ENTRY].child.as_ref();
        ProcessBounds::measure(child.expect("the entry runs").id())
    }

    /// Checks that an ordinary client is answered.
    pub(crate) fn check_ordinary(&self, name: &str) {
        let mut attempts = (0..ORDINARY_ATTEMPTS).map(|attempt| {
            let id = format!("ordinary-{attempt}");
            self.deployment.query(ENTRY, "/d/ordinary", &id)
        });
        let is_answered = attempts.any(|reply| reply.is_some_and(|reply| reply.status == 200));
        assert!(is_answered, "{name}: no ordinary request was answered");
    }
}

/// What each client of a crowd sends.
pub(crate) struct CrowdCase {
    pub(crate) name: &'static str,
    pub(crate) bytes: Vec<u8>,
}

/// Returns what clients send that stop before the end of a request.
pub(crate) fn unfinished_requests() -> Vec<CrowdCase> {
    let head = "POST /d/crowd HTTP/1.1\r\nhost: shop\r\n";
    let case = |name, bytes| CrowdCase { name, bytes };
    vec![
        case("a body without its last byte", short_body(head, BODY_BYTES)),
        case(
            "small chunks without a last one",
            short_chunks(head, 1, 40_000),
        ),
        case(
            "large chunks without a last one",
            short_chunks(head, 65_000, 4),
        ),
        case(
            "a head without its last byte",
            short_head(head, HEAD_BYTES - 64),
        ),
        case("no byte at all", Vec::new()),
    ]
}

/// Returns a complete request with a large body, to a server that never answers.
pub(crate) fn waiting_request() -> Vec<u8> {
    let mut request = short_body("POST /m/crowd HTTP/1.1\r\nhost: shop\r\n", BODY_BYTES);
    request.push(b' ');
    request
}

/// A request for a large answer.
pub(crate) const UNREAD_REQUEST: &[u8] = b"GET /b/crowd HTTP/1.1\r\nhost: shop\r\n\r\n";

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_bounds_what_unfinished_requests_hold() {
    let _alone = run_alone().await;
    let stage = Stage::start(31).await;
    let bounds = stage.measure();
    for case in unfinished_requests() {
        let crowd = gather(stage.address(), CROWD, &case.bytes);
        stage.check_ordinary(case.name);
        bounds.check(case.name);
        drop(crowd);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_bounds_what_waiting_requests_hold() {
    let _alone = run_alone().await;
    let stage = Stage::start(32).await;
    let bounds = stage.measure();
    let crowd = gather(stage.address(), CROWD, &waiting_request());
    stage.check_ordinary("complete bodies");
    bounds.check("complete bodies");
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_bounds_what_unread_answers_hold() {
    let _alone = run_alone().await;
    let stage = Stage::start(33).await;
    let bounds = stage.measure();
    let crowd = gather_unreading(stage.address(), CROWD, UNREAD_REQUEST).await;
    // The answers come from a server meanwhile.
    tokio::time::sleep(Duration::from_secs(3)).await;
    stage.check_ordinary("unread answers");
    bounds.check("unread answers");
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_bounds_connections_to_its_other_listeners() {
    let _alone = run_alone().await;
    let stage = Stage::start(34).await;
    let bounds = stage.measure();
    let address = stage.deployment.balancer_address(ENTRY);
    let crowd = gather(address, CROWD, b"");
    let mut attempts =
        (0..ORDINARY_ATTEMPTS).map(|_| send_request(address, "GET", "/ready", "", ""));
    let is_ready = attempts.any(|reply| reply.is_some_and(|reply| reply.status == 200));
    assert!(is_ready, "no health check was answered");
    stage.check_ordinary("health checks");
    bounds.check("health checks");
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_stops_within_a_head_is_disconnected() {
    let _alone = run_alone().await;
    let stage = Stage::start(35).await;
    let bytes = short_head("GET /d/head HTTP/1.1\r\nhost: shop\r\n", 1024);
    let mut clients = gather(stage.address(), 8, &bytes);
    // The table's time limit for a head is 3 s, for an idle connection 15 s.
    for client in &mut clients {
        let timeout = Duration::from_secs(10);
        client.set_read_timeout(Some(timeout)).expect("set");
        let read = std::io::Read::read(client, &mut [0; 1]);
        let is_open = read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!is_open, "still open after {timeout:?}");
    }
}
