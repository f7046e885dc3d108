//! Tests of the feed of an entry against stand-ins for control instances: which instance
//! becomes the source, which one replaces a source that fails, and which updates are
//! applied.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use wheelmast_core::process::forward::directory::{ServerAnnouncement, ServerLifecycle};
use wheelmast_core::process::forward::input::{EntryPeer, ForwardCall, ForwardInput};
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::process::load::{LoadSummary, ServiceLevel};
use wheelmast_core::request::mark::{CallerFingerprint, ContentFingerprint, RequestFingerprint};
use wheelmast_node::connection::frame::{write_frame, FrameReader};
use wheelmast_node::process::forward::entry::{EntryPhase, ForwardDriver};
use wheelmast_node::process::forward::feed::GroupFeed;
use wheelmast_node::process::forward::image::RequestImage;
use wheelmast_wire::group::GroupMessage;
use wheelmast_wire::native::NativeDialect;
use wheelmast_wire::pack::pack;

use crate::support::run_local_test;

/// Maximum time to wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(8);

/// A control instance that sends the messages that the test gives it.
struct FakeControl {
    address: SocketAddr,
    received: mpsc::UnboundedReceiver<GroupMessage>,
    writer: Option<OwnedWriteHalf>,
    writers: mpsc::UnboundedReceiver<OwnedWriteHalf>,
}

impl FakeControl {
    async fn start() -> FakeControl {
        FakeControl::start_at(([127, 0, 0, 1], 0).into()).await
    }

    async fn start_at(address: SocketAddr) -> FakeControl {
        let listener = TcpListener::bind(address).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, received) = mpsc::unbounded_channel();
        let (writer_sender, writers) = mpsc::unbounded_channel();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (reader, writer) = stream.into_split();
                let sender = sender.clone();
                let _ = writer_sender.send(writer);
                tokio::task::spawn_local(async move {
                    let mut reader = FrameReader::new(reader);
                    while let Ok(message) = reader.next().await {
                        let _ = sender.send(message);
                    }
                });
            }
        });
        FakeControl {
            address,
            received,
            writer: None,
            writers,
        }
    }

    /// Sends a message on the first connection of the entry.
    async fn send(&mut self, message: &GroupMessage) {
        if self.writer.is_none() {
            self.writer = self.writers.recv().await;
        }
        let mut bytes = Vec::new();
        write_frame(message, &mut bytes).expect("a frame");
        let writer = self.writer.as_mut().expect("a connection");
        writer.write_all(&bytes).await.expect("written");
    }

    /// Sends the status of the control instance.
    async fn send_status(&mut self, domain: &str, settled: bool, version: u64) {
        let here = GroupMessage::Here {
            domain: domain.into(),
            settled,
            fresh: false,
            version,
        };
        self.send(&here).await;
    }

    /// Waits for the next message that is not a ping.
    async fn receive(&mut self, what: &str) -> GroupMessage {
        let wait = async {
            loop {
                match self.received.recv().await.expect("the entry runs") {
                    GroupMessage::Ping => {}
                    message => return message,
                }
            }
        };
        let message = tokio::time::timeout(TIMEOUT, wait).await;
        message.unwrap_or_else(|_| panic!("{what} was not received"))
    }
}

/// Returns the message with a route table of this version.
fn table_message(version: u64) -> GroupMessage {
    let text = format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"h","prefix":"/","target":{{"service":"s"}},
        "idempotent":true,"time_limit_ms":500,"objective_ms":100,"attempts":2,"rank":1}}],
        "services":[{{"name":"s","connections":4}}]}}"#
    );
    GroupMessage::Routes {
        version,
        packed: pack(text.as_bytes()).expect("packed"),
    }
}

type Entry = Rc<ForwardDriver<NativeDialect>>;

/// Returns an entry that connects to `controls`.
fn start_entry(controls: &[&FakeControl]) -> Entry {
    let (entry, feed) = start_entry_without_controls();
    for control in controls {
        feed.add_control_instance(control.address);
    }
    entry
}

/// Returns an entry that knows no control instance, and its feed.
fn start_entry_without_controls() -> (Entry, Rc<GroupFeed<NativeDialect>>) {
    let entry = Rc::new(ForwardDriver::<NativeDialect>::new(
        ForwardOptions::default(),
        1,
    ));
    let peer = EntryPeer {
        instance: "entry".into(),
        incarnation: 1,
        domain: "here".into(),
        address: ([127, 0, 0, 1], 9).into(),
    };
    let feed = Rc::new(GroupFeed::new(entry.clone(), peer));
    (entry, feed)
}

/// Returns the version of the route table in force, or 0 if there is none.
fn table_version(entry: &Entry) -> u64 {
    entry.with_machine(|machine| machine.table().map_or(0, |table| table.version()))
}

/// Waits until `condition` is true.
async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "{what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn the_near_instance_becomes_the_source_until_it_loses_its_quorum() {
    run_local_test(async {
        let mut near = FakeControl::start().await;
        let mut far = FakeControl::start().await;
        let _entry = start_entry(&[&near, &far]);
        near.send_status("here", true, 0).await;
        far.send_status("there", true, 0).await;
        for control in [&mut near, &mut far] {
            let message = control.receive("a subscription").await;
            assert!(matches!(
                message,
                GroupMessage::Subscribe { confirm: true, .. }
            ));
        }
        let message = near.receive("the request for all state").await;
        assert!(matches!(message, GroupMessage::Whole { have: 0, .. }));
        // The near instance loses its quorum: the far one becomes the source.
        near.send_status("here", false, 0).await;
        let message = far.receive("the request for all state").await;
        assert!(matches!(message, GroupMessage::Whole { .. }));
        let message = near.receive("the request for urgent updates only").await;
        assert!(matches!(message, GroupMessage::Urgent));
    });
}

#[test]
fn a_table_that_the_source_does_not_send_is_fetched_from_another_instance() {
    run_local_test(async {
        let mut near = FakeControl::start().await;
        let mut far = FakeControl::start().await;
        let entry = start_entry(&[&near, &far]);
        near.send_status("here", true, 3).await;
        far.send_status("there", true, 3).await;
        near.send(&table_message(3)).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(
            table_version(&entry),
            0,
            "no table is applied before it is confirmed"
        );
        assert_eq!(entry.phase(), EntryPhase::Learning);
        far.send(&GroupMessage::Confirmed { version: 3 }).await;
        wait_until("the table is in force", || table_version(&entry) == 3).await;
        // The source sends nothing more; another instance has a newer version.
        far.send_status("there", true, 8).await;
        while !matches!(
            far.receive("a fetch").await,
            GroupMessage::Fetch { have: 3 }
        ) {}
        far.send(&table_message(8)).await;
        wait_until("the newer table is in force", || table_version(&entry) == 8).await;
        // An older table that arrives late is ignored.
        near.send(&table_message(5)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(table_version(&entry), 8);
    });
}

#[test]
fn the_entry_applies_that_a_server_leaves_from_any_instance() {
    run_local_test(async {
        let mut near = FakeControl::start().await;
        let mut far = FakeControl::start().await;
        let entry = start_entry(&[&near, &far]);
        near.send_status("here", true, 0).await;
        far.send_status("there", true, 0).await;
        let announcement = ServerAnnouncement {
            id: "server-1".into(),
            service: "s".into(),
            address: Some(([127, 0, 0, 1], 9).into()),
            domain: "here".into(),
            version: "".into(),
            slots: 2,
            standing: ServerLifecycle::Ready,
            born: 0,
            sequence: 4,
            cold_ms: 0,
        };
        near.send(&GroupMessage::Notices(vec![announcement.clone()]))
            .await;
        let count = || entry.with_machine(|machine| machine.server_count());
        wait_until("the server is in use", || count() == 1).await;
        let draining = ServerAnnouncement {
            standing: ServerLifecycle::Draining,
            born: 0,
            sequence: 5,
            ..announcement.clone()
        };
        far.send(&GroupMessage::Notices(vec![draining.lifecycle_only()]))
            .await;
        wait_until("the server is no longer in use", || count() == 0).await;
        // A later announcement by the source does not undo the draining.
        let late = ServerAnnouncement {
            sequence: 6,
            ..announcement
        };
        near.send(&GroupMessage::Notices(vec![late])).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(count(), 0);
    });
}

/// Returns a table with two routes of different ranks over the service `s`.
fn ranked_table_message() -> GroupMessage {
    let route = |name: &str, rank: u32| {
        format!(
            r#"{{"name":"{name}","host":"h","prefix":"/{name}","target":{{"service":"s"}},
            "idempotent":true,"time_limit_ms":500,"objective_ms":100,"attempts":2,"rank":{rank}}}"#
        )
    };
    let text = format!(
        r#"{{"version":1,"routes":[{},{}],"services":[{{"name":"s","connections":4}}]}}"#,
        route("a", 0),
        route("b", 1)
    );
    GroupMessage::Routes {
        version: 1,
        packed: pack(text.as_bytes()).expect("packed"),
    }
}

/// Returns the summary that reports the service `s` as short.
fn short_summary() -> GroupMessage {
    GroupMessage::LoadSummary(LoadSummary {
        services: vec![ServiceLevel {
            service: "s".into(),
            level: 1,
        }],
        workspaces: Vec::new(),
    })
}

/// Returns the shortage level that the entry applies to the service `s`.
fn shortage_level(entry: &Entry) -> Option<u8> {
    let now = entry.clock.elapsed();
    entry.with_machine(|machine| machine.shortage_levels(now).map(|(_, level)| level).next())
}

/// Guards against levels that an instance other than the source determines, and against
/// levels that outlive the contact to the source.
#[test]
fn the_entry_applies_the_load_summary_of_its_source_for_three_seconds() {
    run_local_test(async {
        let mut near = FakeControl::start().await;
        let mut far = FakeControl::start().await;
        let entry = start_entry(&[&near, &far]);
        near.send_status("here", true, 1).await;
        far.send_status("there", true, 1).await;
        near.send(&GroupMessage::Confirmed { version: 1 }).await;
        near.send(&ranked_table_message()).await;
        while !matches!(
            near.receive("the request for all state").await,
            GroupMessage::Whole { .. }
        ) {}
        wait_until("the table is in force", || table_version(&entry) == 1).await;
        far.send(&short_summary()).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(shortage_level(&entry), Some(0));
        near.send(&short_summary()).await;
        wait_until("the level applies", || shortage_level(&entry) == Some(1)).await;
        let applied_at = Instant::now();
        wait_until("the level expires", || shortage_level(&entry) == Some(0)).await;
        assert!(applied_at.elapsed() > Duration::from_millis(2500));
    });
}

/// Answers each request on each connection that it has not run.
async fn refuse_all(listener: TcpListener) {
    const REFUSAL: &[u8] =
        b"HTTP/1.1 503 Busy\r\nwheelmast-request: r\r\nwheelmast-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::task::spawn_local(async move {
            let mut bytes = [0; 4096];
            // The requests are small and come one at a time.
            while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
                if stream.write_all(REFUSAL).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Guards against reports while nothing is short, against more than one a second, and
/// against pings beside them.
#[test]
fn the_entry_reports_its_load_in_place_of_pings() {
    run_local_test(async {
        let mut near = FakeControl::start().await;
        let (entry, feed) = start_entry_without_controls();
        feed.add_control_instance(near.address);
        tokio::task::spawn_local(feed.clone().publish_load());
        near.send_status("here", true, 1).await;
        near.send(&GroupMessage::Confirmed { version: 1 }).await;
        near.send(&ranked_table_message()).await;
        wait_until("the table is in force", || table_version(&entry) == 1).await;
        let upstream_listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let announcement = ServerAnnouncement {
            id: "server-1".into(),
            service: "s".into(),
            address: Some(upstream_listener.local_addr().expect("an address")),
            domain: "here".into(),
            version: "".into(),
            slots: 2,
            standing: ServerLifecycle::Ready,
            born: 0,
            sequence: 1,
            cold_ms: 0,
        };
        near.send(&GroupMessage::Notices(vec![announcement])).await;
        tokio::task::spawn_local(refuse_all(upstream_listener));
        // The requests keep coming; the server refuses each with all slots in use.
        let calls = async {
            loop {
                let headers = HeaderMap::new();
                let uri = Uri::from_static("/a");
                let image = RequestImage::new::<NativeDialect>(
                    &Method::GET,
                    &uri,
                    &headers,
                    "r",
                    Bytes::new(),
                );
                let (tag, _answer) = entry.register_call(image);
                entry.step(ForwardInput::Call(ForwardCall {
                    tag,
                    host: "h".into(),
                    path: "/a".into(),
                    mark: RequestFingerprint {
                        content: ContentFingerprint::of("GET", "h", &format!("/{}", tag.0), &[]),
                        caller: CallerFingerprint::of(b"caller"),
                    },
                    key: None,
                    arrived_at: entry.clock.elapsed(),
                    time_left: None,
                    relayed: None,
                }));
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let reports = async {
            let mut last = None;
            for _ in 0..3 {
                let mut pings = 0;
                let report = loop {
                    match near.received.recv().await.expect("the entry runs") {
                        GroupMessage::LoadReport(report) => break report,
                        GroupMessage::Ping => pings += 1,
                        _ => {}
                    }
                };
                assert_eq!(&*report.services[0].service, "s");
                assert_eq!(report.services[0].level, 1);
                let now = Instant::now();
                if let Some(last) = last.replace(now) {
                    assert_eq!(pings, 0, "pings between reports");
                    assert!(now - last > Duration::from_millis(900));
                }
            }
        };
        tokio::select! {
            () = calls => {}
            () = reports => {}
            () = tokio::time::sleep(TIMEOUT) => panic!("no load reports"),
        }
    });
}

#[test]
fn a_confirmation_that_arrives_before_the_table_counts() {
    run_local_test(async {
        let mut control = FakeControl::start().await;
        let entry = start_entry(&[&control]);
        control.send_status("here", true, 4).await;
        control.send(&GroupMessage::Confirmed { version: 4 }).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        control.send(&table_message(3)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(
            table_version(&entry),
            0,
            "the table is older than the confirmed version"
        );
        control.send(&table_message(4)).await;
        wait_until("the table is in force", || table_version(&entry) == 4).await;
    });
}

#[test]
fn an_instance_that_failed_once_is_preferred_to_those_without_a_quorum() {
    run_local_test(async {
        let (entry, feed) = start_entry_without_controls();
        // No instance listens on this address yet.
        let reserved_listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = reserved_listener.local_addr().expect("an address");
        drop(reserved_listener);
        feed.add_control_instance(address);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let mut near = FakeControl::start().await;
        let mut far = FakeControl::start().await;
        for (control, domain) in [(&mut near, "here"), (&mut far, "there")] {
            feed.add_control_instance(control.address);
            control.send_status(domain, true, 3).await;
            control.send(&GroupMessage::Confirmed { version: 3 }).await;
            control.send(&table_message(3)).await;
        }
        wait_until("a table is in force", || table_version(&entry) == 3).await;
        let mut other = FakeControl::start_at(address).await;
        for (control, domain) in [(&mut near, "here"), (&mut far, "there")] {
            control.send_status(domain, false, 3).await;
        }
        // Both keep reporting that they have no quorum, while the group has a newer table.
        let repeat_status = async {
            loop {
                for (control, domain) in [(&mut near, "here"), (&mut far, "there")] {
                    control.send_status(domain, false, 3).await;
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        };
        let apply_newer_table = async {
            other.send_status("elsewhere", true, 4).await;
            other.send(&table_message(4)).await;
            wait_until("the newer table is in force", || table_version(&entry) == 4).await;
        };
        tokio::select! {
            () = repeat_status => {}
            () = tokio::time::sleep(TIMEOUT) => panic!("the entry stays with the instances without a quorum"),
            () = apply_newer_table => {}
        }
    });
}
