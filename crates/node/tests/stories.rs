//! What the log tells of requests: in full where it was not plain, bounded in
//! any case. The stories in `docs/stories/` are what this test writes.

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
use wheelmast_core::process::input::CallTag;
use wheelmast_core::request::mark::{CallerFingerprint, ContentFingerprint, RequestFingerprint};
use wheelmast_core::version::route_table::{RouteDraft, RouteTable};
use wheelmast_node::process::forward::story::StoryBook;

/// Set to write the stories anew instead of comparing them.
const WRITE_VARIABLE: &str = "WHEELMAST_WRITE_STORIES";

/// Collects what a subscriber writes.
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

/// Runs `act` and returns the lines it writes to the log, without times.
fn lines_of(act: impl FnOnce()) -> String {
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

/// A machine with its servers, and the book of its stories.
struct Teller {
    machine: ForwardMachine,
    book: StoryBook,
    now: Duration,
    sends: Vec<wheelmast_core::arena::SlotKey>,
}

impl Teller {
    fn new() -> Teller {
        let options = ForwardOptions {
            domain: "oulu".into(),
            ..ForwardOptions::default()
        };
        let mut teller = Teller {
            machine: ForwardMachine::new(options),
            book: StoryBook::new(64),
            now: Duration::from_secs(60),
            sends: Vec::new(),
        };
        let draft: RouteDraft = serde_json::from_str(TABLE).expect("a draft");
        let table = RouteTable::check(draft).expect("a table");
        teller.step(ForwardInput::Table(Arc::new(table)));
        for (port, service) in [(1, "s0"), (2, "s1"), (3, "s1"), (4, "orders")] {
            teller.step(ForwardInput::Announcement(ServerAnnouncement {
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
        teller
    }

    fn step(&mut self, input: ForwardInput) {
        let mut out = Vec::new();
        self.machine.step(self.now, input, &mut out);
        for action in out {
            match action {
                ForwardAction::RecordDecision(event) => self.book.take(event),
                ForwardAction::Send(order) => self.sends.push(order.attempt),
                _ => {}
            }
        }
    }

    fn call(&mut self, path: &str, id: &str) {
        let tag = CallTag(self.sends.len() as u64 + 100);
        self.book.begin(tag, id);
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

    fn end(&mut self, send: usize, end: AttemptResult) {
        let attempt = self.sends[send];
        self.step(ForwardInput::AttemptEnded { attempt, end });
    }

    fn pass(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(next) = self.machine.next_wake().filter(|next| *next <= end) {
            self.now = self.now.max(next);
            self.step(ForwardInput::Wake);
        }
        self.now = end;
        self.step(ForwardInput::Wake);
    }
}

fn good() -> AttemptResult {
    AttemptResult::Answer(ServerAnswer {
        status: 200,
        stamp: Some("stamp".into()),
        not_run: false,
        load: None,
        headers: Vec::new(),
        body: Bytes::new(),
    })
}

fn good_under_load() -> AttemptResult {
    let AttemptResult::Answer(answer) = good() else {
        unreachable!("it is an answer");
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

struct StoryCase {
    name: &'static str,
    play: fn(&mut Teller),
    says: &'static [&'static str],
}

#[test]
fn the_stories_are_those_in_the_docs() {
    let cases = [
        StoryCase {
            name: "partial",
            play: |teller| {
                teller.call("/q/x", "request-partial");
                teller.pass(8);
                teller.end(0, good());
                teller.pass(100);
            },
            says: &[
                "\"cause\":\"hedge\"",
                "\"outcome\":\"partial\"",
                "\"left_out\":\"s1\"",
            ],
        },
        StoryCase {
            name: "late",
            play: |teller| {
                teller.call("/o/x", "request-late");
                teller.pass(140);
                teller.end(0, good_under_load());
            },
            says: &[
                "route: slow answer",
                "\"waiting\":7",
                "\"outcome\":\"served\",\"late\":true",
            ],
        },
        StoryCase {
            name: "left",
            play: |teller| {
                teller.call("/q/x", "request-left");
                teller.pass(40);
                teller.step(ForwardInput::CallerLeft(CallTag(100)));
            },
            says: &[
                "\"cause\":\"hedge\"",
                "route: attempt abandoned",
                "\"outcome\":\"caller_left\"",
            ],
        },
        StoryCase {
            name: "refusal",
            play: |teller| teller.call("/f/x", "request-refusal"),
            says: &[
                "no server to ask",
                "\"service\":\"former\"",
                "\"outcome\":\"no_server\"",
            ],
        },
        StoryCase {
            name: "unknown",
            play: |teller| {
                teller.call("/o/x", "request-unknown");
                teller.pass(20);
                teller.end(0, AttemptResult::Broken);
            },
            says: &[
                "route: server broke off",
                "\"reason\":\"broken\"",
                "\"outcome\":\"failed\"",
            ],
        },
    ];
    for case in cases {
        let told = lines_of(|| (case.play)(&mut Teller::new()));
        for part in case.says {
            assert!(told.contains(part), "{}: {part} in {told}", case.name);
        }
        let file = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../docs/stories")
            .join(format!("{}.jsonl", case.name));
        if std::env::var_os(WRITE_VARIABLE).is_some() {
            std::fs::write(&file, &told).expect("written");
        }
        let kept = std::fs::read_to_string(&file).expect("the story in the docs");
        assert_eq!(
            told, kept,
            "{}: set {WRITE_VARIABLE} to write it anew",
            case.name
        );
    }
}

#[test]
fn a_plain_success_is_told_now_and_then() {
    let told = lines_of(|| {
        let mut teller = Teller::new();
        for number in 0..128 {
            teller.call("/q/x", &format!("plain-{number}"));
            let last = teller.sends.len();
            teller.end(last - 2, good());
            teller.end(last - 1, good());
        }
    });
    assert_eq!(told.matches("\"outcome\":\"whole\"").count(), 2, "1 in 64");
}

#[test]
fn lines_are_bounded_under_ten_times_the_load() {
    // Each story has 20 lines; 4,000 lines in a moment, where 400 may be told.
    let mut book = StoryBook::new(64);
    let told = lines_of(|| {
        for number in 0..200 {
            let call = CallTag(number);
            book.begin(call, &format!("flood-{number}"));
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
                book.take(ForwardEvent {
                    at: Duration::ZERO,
                    call,
                    decision,
                });
            }
        }
    });
    let lines = told.lines().filter(|line| line.contains("flood-")).count();
    assert_eq!(lines, 400);
    assert_eq!(book.lines_dropped(), 3600);
}
