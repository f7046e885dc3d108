//! What a control instance says to others and takes from them, where an answer comes
//! late or news were lost.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use wheelmast_core::process::control::state::MemberRecord;
use wheelmast_core::process::forward::directory::{
    AnnouncementPosition, ServerAnnouncement, ServerLifecycle,
};
use wheelmast_node::connection::frame::FrameReader;
use wheelmast_wire::group::GroupMessage;

use crate::harness::{ask, route_table, until, Deployment, PATIENCE};
use crate::news::{follow, say};

/// Servers that leave in the former lifetime.
const FORMER_LEAVERS: usize = 20;
/// Servers that leave in the later one: more than all that was asked in the former.
const LATER_LEAVERS: usize = 150;

/// A further control instance, played by the test.
pub(crate) struct GuestControl {
    address: SocketAddr,
    heard: UnboundedReceiver<GroupMessage>,
}

impl GuestControl {
    pub(crate) async fn listen() -> GuestControl {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (sender, heard) = unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let sender = sender.clone();
                tokio::spawn(async move {
                    let mut reader = FrameReader::new(stream);
                    while let Ok(message) = reader.next().await {
                        // The test may be over.
                        let _ = sender.send(message);
                    }
                });
            }
        });
        GuestControl { address, heard }
    }

    /// Greets a control instance, and waits until that has a link to this one.
    pub(crate) async fn greet(&mut self, other: SocketAddr) -> TcpStream {
        let mut stream = TcpStream::connect(other).await.expect("a connection");
        let hello = GroupMessage::Hello {
            from: MemberRecord {
                id: 77,
                instance: "guest".into(),
                address: self.address,
            },
            domain: "here".into(),
            calls: self.address,
            learns: false,
            known: Vec::new(),
            followers: 0,
            servers: 0,
        };
        say(&mut stream, &hello).await;
        let linked = |message| matches!(message, GroupMessage::Hello { .. }).then_some(());
        self.hear(linked).await.expect("a link to the guest");
        stream
    }

    /// Returns the first message for which `pick` gives something.
    pub(crate) async fn hear<T>(&mut self, pick: impl Fn(GroupMessage) -> Option<T>) -> Option<T> {
        let search = async {
            loop {
                if let Some(found) = pick(self.heard.recv().await?) {
                    return Some(found);
                }
            }
        };
        tokio::time::timeout(PATIENCE / 4, search).await.ok()?
    }
}

/// Lets servers leave at the first control instance, and returns the names under
/// which it asks the guest to hold that.
async fn names_of_questions(
    guest: &mut GuestControl,
    deployment: &Deployment,
    leavers: usize,
) -> BTreeSet<u64> {
    let _stream = guest.greet(deployment.peers(0)).await;
    let front = deployment.front(0);
    let leave = move || {
        for number in 0..leavers {
            let path = format!("/v1/servers/left-{number}");
            until(
                "a server that leaves",
                || ask(front, "DELETE", &path, "", ""),
                |reply| reply.status == 200,
            );
        }
    };
    tokio::task::spawn_blocking(leave).await.expect("they left");
    let mut names = BTreeSet::new();
    while names.len() < leavers {
        let keep = guest.hear(|message| match message {
            GroupMessage::Keep { tag, .. } => Some(tag),
            _ => None,
        });
        names.insert(keep.await.expect("a question to the guest"));
    }
    names
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_to_a_former_lifetime_is_no_answer_to_a_new_question() {
    let mut deployment = Deployment::start(15);
    deployment.put_first_table(&route_table(1));
    let mut guest = GuestControl::listen().await;
    let former = names_of_questions(&mut guest, &deployment, FORMER_LEAVERS).await;
    deployment.daemons[0].kill();
    deployment.start_again(0);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let later = names_of_questions(&mut guest, &deployment, LATER_LEAVERS).await;
    let both: Vec<&u64> = former.intersection(&later).collect();
    assert!(both.is_empty(), "the same names in two lifetimes: {both:?}");
}

/// A server that only the guest has heard of.
fn missed_notice() -> ServerAnnouncement {
    ServerAnnouncement {
        id: "missed-1".into(),
        service: "desk".into(),
        address: Some(([127, 0, 0, 1], 9).into()),
        domain: "here".into(),
        version: "".into(),
        slots: 2,
        standing: ServerLifecycle::Ready,
        born: 0,
        sequence: 3,
        cold_ms: 0,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_hear_of_a_server_whose_notice_was_lost_between_control_instances() {
    let deployment = Deployment::start(16);
    deployment.put_first_table(&route_table(1));
    let mut entry = follow(&deployment, "entry").await;
    let whole = GroupMessage::Whole {
        have: 0,
        servers: Vec::new(),
    };
    say(&mut entry, &whole).await;
    let mut guest = GuestControl::listen().await;
    let mut stream = guest.greet(deployment.peers(0)).await;
    let notice = missed_notice();
    let mark = AnnouncementPosition {
        born: notice.born,
        sequence: notice.sequence,
    };
    let renewals = GroupMessage::Renewals {
        whole: false,
        servers: vec![(notice.id.clone(), mark)],
    };
    say(&mut stream, &renewals).await;
    let asked = |message| match message {
        GroupMessage::AskNotices(ids) => Some(ids),
        _ => None,
    };
    let ids = guest.hear(asked).await.expect("a question for the notice");
    assert_eq!(ids, std::slice::from_ref(&notice.id));
    say(&mut stream, &GroupMessage::Notices(vec![notice.clone()])).await;
    let mut reader = FrameReader::new(entry);
    let hear = async {
        loop {
            match reader.next().await.expect("a message") {
                GroupMessage::Notices(news) if news.contains(&notice) => return,
                _ => {}
            }
        }
    };
    let heard = tokio::time::timeout(PATIENCE / 4, hear).await;
    assert!(heard.is_ok(), "the entry hears of the server");
}
