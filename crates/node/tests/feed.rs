//! What an entry hears from control instances that are stand-ins here: who is
//! asked for everything, and what is done when that one falls silent.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use wheelmast_core::process::forward::directory::{ServerAnnouncement, ServerLifecycle};
use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_node::connection::frame::{write_frame, FrameReader};
use wheelmast_node::process::forward::entry::{EntryDuty, EntryPhase};
use wheelmast_node::process::forward::feed::GroupFeed;
use wheelmast_wire::group::GroupMessage;
use wheelmast_wire::native::NativeDialect;
use wheelmast_wire::pack::pack;

use crate::support::run_local_test;

/// Longest time that anything here may take.
const PATIENCE: Duration = Duration::from_secs(8);

/// A control instance that says what the test tells it to.
struct FakeControl {
    address: SocketAddr,
    heard: mpsc::UnboundedReceiver<GroupMessage>,
    writer: Option<OwnedWriteHalf>,
    links: mpsc::UnboundedReceiver<OwnedWriteHalf>,
}

impl FakeControl {
    async fn start() -> FakeControl {
        FakeControl::start_at(([127, 0, 0, 1], 0).into()).await
    }

    async fn start_at(address: SocketAddr) -> FakeControl {
        let listener = TcpListener::bind(address).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, heard) = mpsc::unbounded_channel();
        let (link, links) = mpsc::unbounded_channel();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (reader, writer) = stream.into_split();
                let tell = tell.clone();
                let _ = link.send(writer);
                tokio::task::spawn_local(async move {
                    let mut reader = FrameReader::new(reader);
                    while let Ok(message) = reader.next().await {
                        let _ = tell.send(message);
                    }
                });
            }
        });
        FakeControl {
            address,
            heard,
            writer: None,
            links,
        }
    }

    async fn say(&mut self, message: &GroupMessage) {
        if self.writer.is_none() {
            self.writer = self.links.recv().await;
        }
        let mut bytes = Vec::new();
        write_frame(message, &mut bytes).expect("a frame");
        let writer = self.writer.as_mut().expect("a connection");
        writer.write_all(&bytes).await.expect("written");
    }

    async fn say_here(&mut self, domain: &str, settled: bool, version: u64) {
        let here = GroupMessage::Here {
            domain: domain.into(),
            settled,
            fresh: false,
            version,
        };
        self.say(&here).await;
    }

    /// Waits for a message that is no sign of life.
    async fn hear(&mut self, what: &str) -> GroupMessage {
        let wait = async {
            loop {
                match self.heard.recv().await.expect("the entry lives") {
                    GroupMessage::Ping => {}
                    message => return message,
                }
            }
        };
        let heard = tokio::time::timeout(PATIENCE, wait).await;
        heard.unwrap_or_else(|_| panic!("{what} was not heard"))
    }
}

fn routes(version: u64) -> GroupMessage {
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

type Entry = Rc<EntryDuty<NativeDialect>>;

fn entry_at(controls: &[&FakeControl]) -> Entry {
    let (entry, feed) = lone_entry();
    for control in controls {
        feed.follow(control.address);
    }
    entry
}

/// Returns an entry that knows of no control instance, and what tells it of them.
fn lone_entry() -> (Entry, Rc<GroupFeed<NativeDialect>>) {
    let entry = Rc::new(EntryDuty::<NativeDialect>::new(
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

fn version(entry: &Entry) -> u64 {
    entry.look(|machine| machine.table().map_or(0, |table| table.version()))
}

async fn until(what: &str, good: impl Fn() -> bool) {
    let begin = Instant::now();
    while !good() {
        assert!(begin.elapsed() < PATIENCE, "{what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn one_near_instance_is_asked_for_everything() {
    run_local_test(async {
        let mut near = FakeControl::start().await;
        let mut far = FakeControl::start().await;
        let _entry = entry_at(&[&near, &far]);
        near.say_here("here", true, 0).await;
        far.say_here("there", true, 0).await;
        for control in [&mut near, &mut far] {
            let message = control.hear("a subscription").await;
            assert!(matches!(
                message,
                GroupMessage::Subscribe { confirm: true, .. }
            ));
        }
        let message = near.hear("the wish for everything").await;
        assert!(matches!(message, GroupMessage::Whole { have: 0, .. }));
        // The near one is cut off from the group: the far one takes over.
        near.say_here("here", false, 0).await;
        let message = far.hear("the wish for everything").await;
        assert!(matches!(message, GroupMessage::Whole { .. }));
        let message = near.hear("the wish for less").await;
        assert!(matches!(message, GroupMessage::Urgent));
    });
}

#[test]
fn a_table_that_the_source_does_not_bring_is_fetched() {
    run_local_test(async {
        let mut near = FakeControl::start().await;
        let mut far = FakeControl::start().await;
        let entry = entry_at(&[&near, &far]);
        near.say_here("here", true, 3).await;
        far.say_here("there", true, 3).await;
        near.say(&routes(3)).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(version(&entry), 0, "no table is obeyed unconfirmed");
        assert_eq!(entry.phase(), EntryPhase::Learning);
        far.say(&GroupMessage::Confirmed { version: 3 }).await;
        until("the table is in force", || version(&entry) == 3).await;
        // The source stands still; another has a newer version.
        far.say_here("there", true, 8).await;
        while !matches!(far.hear("a fetch").await, GroupMessage::Fetch { have: 3 }) {}
        far.say(&routes(8)).await;
        until("the newer table is in force", || version(&entry) == 8).await;
        // What comes late does not bring it back.
        near.say(&routes(5)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(version(&entry), 8);
    });
}

#[test]
fn a_server_that_leaves_is_heard_of_from_any_instance() {
    run_local_test(async {
        let mut near = FakeControl::start().await;
        let mut far = FakeControl::start().await;
        let entry = entry_at(&[&near, &far]);
        near.say_here("here", true, 0).await;
        far.say_here("there", true, 0).await;
        let notice = ServerAnnouncement {
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
        near.say(&GroupMessage::Notices(vec![notice.clone()])).await;
        let count = || entry.look(|machine| machine.server_count());
        until("it takes work", || count() == 1).await;
        let leaves = ServerAnnouncement {
            standing: ServerLifecycle::Draining,
            born: 0,
            sequence: 5,
            ..notice.clone()
        };
        far.say(&GroupMessage::Notices(vec![leaves.lifecycle_only()]))
            .await;
        until("it takes no more work", || count() == 0).await;
        // Late news of the source undo nothing.
        let late = ServerAnnouncement {
            sequence: 6,
            ..notice
        };
        near.say(&GroupMessage::Notices(vec![late])).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(count(), 0);
    });
}

#[test]
fn a_quorums_word_that_comes_before_the_table_counts() {
    run_local_test(async {
        let mut control = FakeControl::start().await;
        let entry = entry_at(&[&control]);
        control.say_here("here", true, 4).await;
        control.say(&GroupMessage::Confirmed { version: 4 }).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        control.say(&routes(3)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(version(&entry), 0, "it is older than what was confirmed");
        control.say(&routes(4)).await;
        until("the table is in force", || version(&entry) == 4).await;
    });
}

#[test]
fn an_instance_that_failed_once_is_preferred_to_those_that_have_lost_their_group() {
    run_local_test(async {
        let (entry, feed) = lone_entry();
        // It takes no connections yet.
        let reserved = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = reserved.local_addr().expect("an address");
        drop(reserved);
        feed.follow(address);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let mut near = FakeControl::start().await;
        let mut beside = FakeControl::start().await;
        for (control, domain) in [(&mut near, "here"), (&mut beside, "there")] {
            feed.follow(control.address);
            control.say_here(domain, true, 3).await;
            control.say(&GroupMessage::Confirmed { version: 3 }).await;
            control.say(&routes(3)).await;
        }
        until("a table is in force", || version(&entry) == 3).await;
        let mut other = FakeControl::start_at(address).await;
        for (control, domain) in [(&mut near, "here"), (&mut beside, "there")] {
            control.say_here(domain, false, 3).await;
        }
        // Both go on to say that they are cut off from a group that has a newer table.
        let told = async {
            loop {
                for (control, domain) in [(&mut near, "here"), (&mut beside, "there")] {
                    control.say_here(domain, false, 3).await;
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        };
        let followed = async {
            other.say_here("elsewhere", true, 4).await;
            other.say(&routes(4)).await;
            until("the newer table is in force", || version(&entry) == 4).await;
        };
        tokio::select! {
            () = told => {}
            () = tokio::time::sleep(PATIENCE) => panic!("the entry stays with those that are cut off"),
            () = followed => {}
        }
    });
}
