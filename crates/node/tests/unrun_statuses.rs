//! The statuses by which a response states that its request has not run: callers repeat a
//! request after these even if it must not run twice.

mod support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use wheelmast_core::process::forward::answer::ForwardFailure;
use wheelmast_node::process::forward::caller_answer::failure_status;

use crate::support::entry::{read_request_id, request_from, LocalEntry};
use crate::support::run_local_test;

/// Request timeout, misdirected request, too many requests, service unavailable.
const UNRUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Requests may run at most once on `once`, and twice on `twice`.
const TABLE: &str = r#"{"version": 1, "services": [{"name": "desk", "connections": 100}],
    "routes": [
      {"name": "once", "host": "h", "prefix": "/once/", "idempotent": false, "rank": 0,
       "time_limit_ms": 5000, "objective_ms": 500, "attempts": 2, "target": {"service": "desk"}},
      {"name": "twice", "host": "h", "prefix": "/twice/", "idempotent": true, "rank": 0,
       "time_limit_ms": 5000, "objective_ms": 500, "attempts": 2,
       "target": {"service": "desk"}}]}"#;

/// Requests that servers began to run, by id.
type RunLog = Rc<RefCell<Vec<String>>>;

/// Starts a server that answers each request with `answer`, or not at all if there is none.
/// The server ends when `is_up` becomes false.
async fn start_server(
    runs: RunLog,
    is_up: watch::Receiver<bool>,
    answer: Option<String>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        let mut up = is_up.clone();
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => accepted.expect("a connection").0,
                _ = up.wait_for(|up| !*up) => return,
            };
            let (runs, mut up, answer) = (runs.clone(), is_up.clone(), answer.clone());
            tokio::task::spawn_local(async move {
                tokio::select! {
                    () = run_requests(stream, runs, answer) => {}
                    _ = up.wait_for(|up| !*up) => {}
                }
            });
        }
    });
    address
}

async fn run_requests(mut stream: TcpStream, runs: RunLog, answer: Option<String>) {
    while let Some(id) = read_request_id(&mut stream).await {
        runs.borrow_mut().push(id.clone());
        let Some(answer) = &answer else {
            return std::future::pending().await;
        };
        let head = format!("HTTP/1.1 {answer}\r\nwheelmast-request: {id}\r\n");
        let rest = "wheelmast-stamp: s\r\ncontent-length: 0\r\n\r\n";
        let _ = stream.write_all((head + rest).as_bytes()).await;
    }
}

fn post(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\nwheelmast-request: {id}\r\n\
         wheelmast-time-left-ms: 4000\r\ncontent-length: 2\r\n\r\n{{}}"
    )
}

/// Guards against 503 for requests that have run: all servers of a service crashed while they
/// ran the same request for several callers, which quarantined the request.
#[test]
fn a_request_whose_servers_crashed_is_not_answered_as_unrun() {
    run_local_test(async {
        let entry = LocalEntry::start(TABLE).await;
        let runs = RunLog::default();
        let (is_up_sender, is_up) = watch::channel(true);
        for number in 0..7 {
            let address = start_server(runs.clone(), is_up.clone(), None).await;
            entry.add_server(&format!("desk-{number}"), "desk", address);
        }
        let requests = (0..28).map(|number| {
            let source = [127, 0, 0, 1 + number % 2];
            let id = format!("r{number}");
            let to = entry.address;
            tokio::task::spawn_local(async move {
                let (status, _) = request_from(source, to, &post("/once/next", &id)).await;
                (id, status)
            })
        });
        let requests: Vec<_> = requests.collect();
        while runs.borrow().len() < 28 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        is_up_sender.send_replace(false);
        for request in requests {
            let (id, status) = request.await.expect("the request ends");
            assert_eq!(status, 502, "{id} has run");
        }
    });
}

struct AnswerCase {
    path: &'static str,
    /// Status line and headers of the server's answer.
    answer: &'static str,
    /// Status of the response to the caller.
    status: u16,
}

/// Guards against a server's own 503 that makes the caller repeat a request which has run.
#[test]
fn a_server_that_does_not_say_so_has_run_the_request() {
    let unrun = "503 Full\r\nwheelmast-not-run: 1";
    let case = |path, answer, status| AnswerCase {
        path,
        answer,
        status,
    };
    let cases = [
        case("/once/a", "503 Broken", 502),
        case("/once/b", "429 Slow Down", 502),
        case("/once/c", "408 Slow", 502),
        case("/once/d", "500 Broken", 500),
        case("/once/e", "404 Unknown", 404),
        case("/once/f", "201 Made", 201),
        case("/once/g", unrun, 503),
        case("/twice/a", "503 Broken", 503),
        case("/twice/b", "429 Slow Down", 429),
        case("/twice/c", unrun, 503),
    ];
    run_local_test(async move {
        let (_is_up_sender, is_up) = watch::channel(true);
        for case in cases {
            let entry = LocalEntry::start(TABLE).await;
            let runs = RunLog::default();
            let address = start_server(runs.clone(), is_up.clone(), Some(case.answer.into())).await;
            entry.add_server("desk-1", "desk", address);
            let request = post(case.path, "r");
            let (status, text) = request_from([127, 0, 0, 1], entry.address, &request).await;
            assert_eq!(status, case.status, "{} {}", case.path, case.answer);
            let is_passed_on = text.contains("wheelmast-stamp");
            let is_changed = status == 502 || case.answer == unrun;
            assert_eq!(is_passed_on, !is_changed, "{} {}", case.path, case.answer);
            assert_eq!(runs.borrow().len(), 1, "{} {}", case.path, case.answer);
        }
    });
}

/// Guards against a failure that may follow a run and has no status of its own.
#[test]
fn only_failures_of_unrun_requests_have_a_status_that_says_so() {
    use ForwardFailure::*;
    let failures = [
        NoTable,
        NoRoute,
        NoServer,
        Overload,
        RejectedByServers,
        TimedOutUnrun,
        TimedOut,
        Failed,
        Quarantined,
        AwaitingCanary,
        ServersCrashed,
        NoKey,
        CapReached,
        CapUnknown,
        OverShare,
        KeyRevoked,
    ];
    for failure in failures {
        let says_unrun = UNRUN_STATUSES.contains(&failure_status(failure).as_u16());
        assert!(!says_unrun || failure.is_known_unrun(), "{failure:?}");
    }
}
