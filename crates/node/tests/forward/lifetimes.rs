//! What a control instance says and takes after a restart.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use wheelmast_core::process::control::state::MemberRecord;
use wheelmast_node::connection::frame::FrameReader;
use wheelmast_wire::group::GroupMessage;

use crate::harness::{ask, route_table, until, Deployment, PATIENCE};
use crate::news::say;

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

    /// Greets a control instance, which answers at this one's listener.
    pub(crate) async fn greet(&self, other: SocketAddr, servers: u64) -> TcpStream {
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
            servers,
        };
        say(&mut stream, &hello).await;
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
    let _stream = guest.greet(deployment.peers(0), 0).await;
    let linked = |message| matches!(message, GroupMessage::Hello { .. }).then_some(());
    guest.hear(linked).await.expect("a link to the guest");
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
