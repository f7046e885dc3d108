//! Checks the exchange between control instances when a response arrives late, after
//! a restart of the requesting instance, and when an announcement was lost.

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

use crate::harness::{route_table, send_request, wait_until, Deployment, TEST_TIMEOUT};
use crate::news::{send_message, subscribe_as_entry};

/// Servers that leave in the first incarnation (the run before the restart).
const FIRST_LEAVERS: usize = 20;
/// Servers that leave in the second incarnation: more than the first incarnation
/// sent requests, so that tags counted from the same start would repeat.
const SECOND_LEAVERS: usize = 150;

/// A control instance that the test simulates: it accepts connections and collects
/// the messages that other control instances send to it.
pub(crate) struct GuestControl {
    address: SocketAddr,
    received: UnboundedReceiver<GroupMessage>,
}

impl GuestControl {
    /// Starts to listen on a free port of 127.0.0.1.
    pub(crate) async fn listen() -> GuestControl {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let (sender, received) = unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let sender = sender.clone();
                tokio::spawn(async move {
                    let mut reader = FrameReader::new(stream);
                    while let Ok(message) = reader.next().await {
                        // Sending fails if the test has ended and dropped the receiver.
                        let _ = sender.send(message);
                    }
                });
            }
        });
        GuestControl { address, received }
    }

    /// Sends a hello message to a control instance, and waits until that instance has
    /// connected to this one.
    pub(crate) async fn connect_to(&mut self, other: SocketAddr) -> TcpStream {
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
        send_message(&mut stream, &hello).await;
        let pick_hello = |message| matches!(message, GroupMessage::Hello { .. }).then_some(());
        self.receive(pick_hello)
            .await
            .expect("a connection to the guest");
        stream
    }

    /// Returns the result of `pick` for the first received message for which there is
    /// one, or `None` after a quarter of [`TEST_TIMEOUT`].
    pub(crate) async fn receive<T>(
        &mut self,
        pick: impl Fn(GroupMessage) -> Option<T>,
    ) -> Option<T> {
        let search = async {
            loop {
                if let Some(found) = pick(self.received.recv().await?) {
                    return Some(found);
                }
            }
        };
        tokio::time::timeout(TEST_TIMEOUT / 4, search).await.ok()?
    }
}

/// Makes servers leave at the first control instance, and returns the tags of the
/// messages with which that instance asks the guest to store the departures.
async fn collect_keep_tags(
    guest: &mut GuestControl,
    deployment: &Deployment,
    leavers: usize,
) -> BTreeSet<u64> {
    let _stream = guest.connect_to(deployment.peer_address(0)).await;
    let front = deployment.front_address(0);
    let remove_servers = move || {
        for number in 0..leavers {
            let path = format!("/v1/servers/left-{number}");
            wait_until(
                "a server is removed",
                || send_request(front, "DELETE", &path, "", ""),
                |reply| reply.status == 200,
            );
        }
    };
    tokio::task::spawn_blocking(remove_servers)
        .await
        .expect("the servers have left");
    let mut tags = BTreeSet::new();
    while tags.len() < leavers {
        let tag = guest.receive(|message| match message {
            GroupMessage::Keep { tag, .. } => Some(tag),
            _ => None,
        });
        tags.insert(tag.await.expect("a request to the guest"));
    }
    tags
}

/// Guards against a late response to a request of an earlier incarnation that is taken
/// as the response to a new request, because both requests carry the same tag.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_control_instance_does_not_reuse_the_tags_of_its_requests() {
    let mut deployment = Deployment::start(15);
    deployment.put_first_table(&route_table(1));
    let mut guest = GuestControl::listen().await;
    let first_tags = collect_keep_tags(&mut guest, &deployment, FIRST_LEAVERS).await;
    deployment.daemons[0].kill();
    deployment.restart_instance(0);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let second_tags = collect_keep_tags(&mut guest, &deployment, SECOND_LEAVERS).await;
    let repeated: Vec<&u64> = first_tags.intersection(&second_tags).collect();
    assert!(
        repeated.is_empty(),
        "tags that two incarnations used: {repeated:?}"
    );
}

/// Returns the announcement of a server that only the guest has received.
fn missed_announcement() -> ServerAnnouncement {
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
async fn entries_learn_of_a_server_whose_announcement_was_lost_between_control_instances() {
    let deployment = Deployment::start(16);
    deployment.put_first_table(&route_table(1));
    let mut entry = subscribe_as_entry(&deployment, "entry").await;
    let full_state_request = GroupMessage::Whole {
        have: 0,
        servers: Vec::new(),
    };
    send_message(&mut entry, &full_state_request).await;
    let mut guest = GuestControl::listen().await;
    let mut stream = guest.connect_to(deployment.peer_address(0)).await;
    let announcement = missed_announcement();
    let position = AnnouncementPosition {
        born: announcement.born,
        sequence: announcement.sequence,
    };
    let renewals = GroupMessage::Renewals {
        whole: false,
        servers: vec![(announcement.id.clone(), position)],
    };
    send_message(&mut stream, &renewals).await;
    let pick_requested_ids = |message| match message {
        GroupMessage::AskNotices(ids) => Some(ids),
        _ => None,
    };
    let ids = guest
        .receive(pick_requested_ids)
        .await
        .expect("a request for the announcement");
    assert_eq!(ids, std::slice::from_ref(&announcement.id));
    send_message(
        &mut stream,
        &GroupMessage::Notices(vec![announcement.clone()]),
    )
    .await;
    let mut reader = FrameReader::new(entry);
    let receive_announcement = async {
        loop {
            match reader.next().await.expect("a message") {
                GroupMessage::Notices(announcements) if announcements.contains(&announcement) => {
                    return
                }
                _ => {}
            }
        }
    };
    let received = tokio::time::timeout(TEST_TIMEOUT / 4, receive_announcement).await;
    assert!(received.is_ok(), "the entry receives the announcement");
}
