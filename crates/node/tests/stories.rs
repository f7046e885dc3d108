//! Tests of the log lines about requests: their content, sampling and rate limit.
//!
//! The example logs in `docs/stories/` are the output of this test, which compares
//! them with what the entry writes now.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use tracing_subscriber::fmt::MakeWriter;
use wheelmast_core::process::forward::answer::{ForwardAction, ForwardDecision, ForwardEvent};
use wheelmast_core::process::forward::directory::{ServerAnnouncement, ServerLifecycle};
use wheelmast_core::process::forward::input::{
    AttemptResult, ForwardCall, ForwardInput, LoadReport, ServerAnswer,
};
use wheelmast_core::process::forward::machine::{ForwardMachine, ForwardOptions};
use wheelmast_core::process::forward::server_end::evidence::{EndEvidence, EndVerdict};
use wheelmast_core::process::input::CallTag;
use wheelmast_core::request::mark::{CallerFingerprint, ContentFingerprint, RequestFingerprint};
use wheelmast_core::version::route_table::{RouteDraft, RouteTable};
use wheelmast_node::process::forward::story::DecisionLog;

/// Environment variable that makes the test rewrite the examples before it compares.
const UPDATE_VARIABLE: &str = "WHEELMAST_WRITE_STORIES";

/// Writer that collects the output of a log subscriber.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("lines").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Lines;

    fn make_writer(&'a self) -> Lines {
        self.clone()
    }
}

/// Runs `act` and returns the lines that `act` writes to the log, without timestamps.
fn capture_log(act: impl FnOnce()) -> String {
    let lines = Lines::default();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .without_time()
        .with_writer(lines.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, act);
    let bytes = lines.0.lock().expect("lines").clone();
    String::from_utf8(bytes).expect("text")
}

const TABLE: &str = r#"{"version": 12,
  "services": [{"name": "s0", "connections": 50}, {"name": "s1", "connections": 50},
               {"name": "orders", "connections": 50}, {"name": "former", "connections": 50}],
  "routes": [
    {"name": "search", "host": "h", "prefix": "/q/", "idempotent": true, "rank": 0, "top": 3,
     "time_limit_ms": 1000, "objective_ms": 100, "attempts": 2, "least_coverage": 0.5,
     "target": {"gather": ["s0", "s1"]}},
    {"name": "order", "host": "h", "prefix": "/o/", "idempotent": false, "rank": 0,
     "time_limit_ms": 1000, "objective_ms": 100, "attempts": 2, "target": {"service": "orders"}},
    {"name": "old", "host": "h", "prefix": "/f/", "idempotent": true, "rank": 0,
     "time_limit_ms": 1000, "objective_ms": 100, "attempts": 2, "target": {"service": "former"}}]}"#;

/// A forward machine with a few servers, and the log of its decisions.
struct StoryHarness {
    machine: ForwardMachine,
    log: DecisionLog,
    now: Duration,
    /// Attempts sent so far, in order.
    sends: Vec<wheelmast_core::arena::SlotKey>,
}

impl StoryHarness {
    fn new() -> StoryHarness {
        let options = ForwardOptions {
            domain: "oulu".into(),
            ..ForwardOptions::default()
        };
        let mut harness = StoryHarness {
            machine: ForwardMachine::new(options),
            log: DecisionLog::new(64),
            now: Duration::from_secs(60),
            sends: Vec::new(),
        };
        let draft: RouteDraft = serde_json::from_str(TABLE).expect("a draft");
        let table = RouteTable::check(draft).expect("a table");
        harness.step(ForwardInput::Table(Arc::new(table)));
        for (port, service) in [(1, "s0"), (2, "s1"), (3, "s1"), (4, "orders")] {
            harness.step(ForwardInput::Announcement(ServerAnnouncement {
                id: format!("{service}-{port}").into(),
                service: service.into(),
                address: Some(([127, 0, 0, 1], port).into()),
                domain: "oulu".into(),
                version: "".into(),
                slots: 2,
                standing: ServerLifecycle::Ready,
                born: 0,
                sequence: 1,
                cold_ms: 0,
            }));
        }
        harness
    }

    fn step(&mut self, input: ForwardInput) {
        let mut out = Vec::new();
        self.machine.step(self.now, input, &mut out);
        for action in out {
            match action {
                ForwardAction::RecordDecision(event) => self.log.record(event),
                ForwardAction::Send(order) => self.sends.push(order.attempt),
                _ => {}
            }
        }
    }

    /// Sends a request with this path and id.
    fn call(&mut self, path: &str, id: &str) {
        let tag = CallTag(self.sends.len() as u64 + 100);
        self.log.begin_request(tag, id);
        self.step(ForwardInput::Call(ForwardCall {
            tag,
            host: "h".into(),
            path: path.into(),
            mark: RequestFingerprint {
                content: ContentFingerprint::of("GET", "h", path, &[]),
                caller: CallerFingerprint::of(b"caller"),
            },
            key: None,
            arrived_at: self.now,
            time_left: Some(Duration::from_millis(900)),
            relayed: None,
        }));
    }

    /// Ends the attempt with this index in `sends`.
    fn end_attempt(&mut self, send: usize, result: AttemptResult) {
        let attempt = self.sends[send];
        self.step(ForwardInput::AttemptEnded {
            attempt,
            end: result,
        });
    }

    /// Advances the time, and runs the machine's timers that are due by then.
    fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(next) = self.machine.next_wake().filter(|next| *next <= end) {
            self.now = self.now.max(next);
            self.step(ForwardInput::Wake);
        }
        self.now = end;
        self.step(ForwardInput::Wake);
    }
}

/// Returns a complete, successful answer.
fn good_answer() -> AttemptResult {
    AttemptResult::Answer(ServerAnswer {
        status: 200,
        stamp: Some("stamp".into()),
        not_run: false,
        load: None,
        headers: Vec::new(),
        body: Bytes::new(),
    })
}

/// Returns a successful answer whose server reports a long queue.
fn loaded_answer() -> AttemptResult {
    let AttemptResult::Answer(answer) = good_answer() else {
        unreachable!("the result is an answer");
    };
    AttemptResult::Answer(ServerAnswer {
        load: Some(LoadReport {
            running: 2,
            waiting: 7,
            slots: 2,
            pace: None,
        }),
        ..answer
    })
}

/// A request played on the machine, and texts that the resulting log must contain.
struct StoryCase {
    name: &'static str,
    run: fn(&mut StoryHarness),
    expected_parts: &'static [&'static str],
}

#[test]
fn log_lines_match_the_documented_stories() {
    let cases = [
        StoryCase {
            name: "partial",
            run: |harness| {
                harness.call("/q/x", "request-partial");
                harness.advance(8);
                harness.end_attempt(0, good_answer());
                harness.advance(100);
            },
            expected_parts: &[
                "\"cause\":\"hedge\"",
                "\"outcome\":\"partial\"",
                "\"left_out\":\"s1\"",
            ],
        },
        StoryCase {
            name: "late",
            run: |harness| {
                harness.call("/o/x", "request-late");
                harness.advance(140);
                harness.end_attempt(0, loaded_answer());
            },
            expected_parts: &[
                "route: slow answer",
                "\"waiting\":7",
                "\"outcome\":\"served\",\"late\":true",
            ],
        },
        StoryCase {
            name: "left",
            run: |harness| {
                harness.call("/q/x", "request-left");
                harness.advance(40);
                harness.step(ForwardInput::CallerLeft(CallTag(100)));
            },
            expected_parts: &[
                "\"cause\":\"hedge\"",
                "route: attempt abandoned",
                "\"outcome\":\"caller_left\"",
            ],
        },
        StoryCase {
            name: "refusal",
            run: |harness| harness.call("/f/x", "request-refusal"),
            expected_parts: &[
                "no server to ask",
                "\"service\":\"former\"",
                "\"outcome\":\"no_server\"",
            ],
        },
        StoryCase {
            name: "unknown",
            run: |harness| {
                harness.call("/o/x", "request-unknown");
                harness.advance(20);
                harness.end_attempt(0, AttemptResult::Broken);
            },
            expected_parts: &[
                "route: server broke off",
                "\"reason\":\"broken\"",
                "\"outcome\":\"failed\"",
            ],
        },
    ];
    for case in cases {
        let logged = capture_log(|| (case.run)(&mut StoryHarness::new()));
        for part in case.expected_parts {
            assert!(logged.contains(part), "{}: {part} in {logged}", case.name);
        }
        let file = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../docs/stories")
            .join(format!("{}.jsonl", case.name));
        if std::env::var_os(UPDATE_VARIABLE).is_some() {
            std::fs::write(&file, &logged).expect("written");
        }
        let expected = std::fs::read_to_string(&file).expect("an example log in docs/stories");
        assert_eq!(
            logged, expected,
            "{}: set {UPDATE_VARIABLE} to rewrite the example",
            case.name
        );
    }
}

#[test]
fn one_in_64_routine_successes_is_logged() {
    let logged = capture_log(|| {
        let mut harness = StoryHarness::new();
        for number in 0..128 {
            harness.call("/q/x", &format!("plain-{number}"));
            let last = harness.sends.len();
            harness.end_attempt(last - 2, good_answer());
            harness.end_attempt(last - 1, good_answer());
        }
    });
    assert_eq!(
        logged.matches("\"outcome\":\"whole\"").count(),
        2,
        "1 in 64"
    );
}

#[test]
fn log_lines_are_limited_to_400_per_second() {
    // 200 requests of 20 lines each end at the same moment: 4,000 lines, ten times the
    // limit of 400 per second.
    let mut log = DecisionLog::new(64);
    let logged = capture_log(|| {
        for number in 0..200 {
            let call = CallTag(number);
            log.begin_request(call, &format!("flood-{number}"));
            for line in 0..20 {
                let decision = if line == 19 {
                    ForwardDecision::End {
                        outcome: "failed",
                        parts: 0,
                        missing: 1,
                        left_out: Vec::new(),
                        after: Duration::ZERO,
                        sends: 1,
                        late: false,
                    }
                } else {
                    ForwardDecision::BudgetSpent {
                        service: "s".into(),
                    }
                };
                log.record(ForwardEvent {
                    at: Duration::ZERO,
                    call,
                    decision,
                });
            }
        }
    });
    let lines = logged
        .lines()
        .filter(|line| line.contains("flood-"))
        .count();
    assert_eq!(lines, 400);
    assert_eq!(log.lines_dropped(), 3600);
}

struct VerdictCase {
    name: &'static str,
    /// Whether the request of the first broken connection is still in flight.
    is_in_flight: bool,
    request: &'static str,
}

/// Guards against verdicts that are missing from the log: they were written with their
/// request's lines, which most merged answers leave out, and not at all if it had ended.
#[test]
fn a_verdict_on_a_server_is_logged_at_once() {
    let cases = [
        VerdictCase {
            name: "request in flight",
            is_in_flight: true,
            request: "broken",
        },
        VerdictCase {
            name: "request ended",
            is_in_flight: false,
            request: "",
        },
    ];
    for case in cases {
        let logged = capture_log(|| {
            let mut log = DecisionLog::new(64);
            let call = CallTag(1);
            if case.is_in_flight {
                log.begin_request(call, "broken");
            }
            log.record(ForwardEvent {
                at: Duration::ZERO,
                call,
                decision: ForwardDecision::BreakVerdict {
                    service: "s0".into(),
                    instance: "s0-1".into(),
                    verdict: EndVerdict::Alive,
                    evidence: EndEvidence::HeldOpen,
                    breaks: 1,
                    others: 2,
                    after: Duration::from_millis(5),
                },
            });
        });
        let request = format!("\"request\":\"{}\"", case.request);
        for part in ["server_end: decided", "\"alive\"", &request] {
            assert!(logged.contains(part), "{}: {logged}", case.name);
        }
    }
}
