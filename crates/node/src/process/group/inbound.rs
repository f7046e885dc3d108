//! Connections of other control instances and of entries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use wheelmast_core::process::control::message::ReplicaInput;
use wheelmast_core::process::control::state::MemberRecord;
use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_wire::group::{GroupAsk, GroupMessage, GroupTell};

use crate::connection::accept::next_stream;
use crate::connection::frame::{end_when_silent, write_frame, FrameReader};
use crate::process::group::node::GroupNode;
use crate::process::group::state::Subscriber;
use crate::ring::bounded_ring;

/// Messages that may wait for an entry.
const SUBSCRIBER_RING: usize = 512;
/// Messages written together.
const BATCH: usize = 64;
/// Longest time that a write may take.
const WRITE_TIME: Duration = Duration::from_secs(2);
/// Time between two tries to confirm the table for an entry.
const CONFIRM_PAUSE: Duration = Duration::from_millis(150);

/// Accepts connections of other instances.
pub async fn accept_peers(node: Rc<GroupNode>, listener: TcpListener) {
    loop {
        let stream = next_stream(&listener).await;
        let node = node.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = serve_peer(&node, stream).await {
                tracing::debug!(target: "group", "peer: connection ended, {error:#}");
            }
        });
    }
}

async fn serve_peer(node: &Rc<GroupNode>, mut stream: TcpStream) -> anyhow::Result<()> {
    end_when_silent(&stream)?;
    let (reader, mut writer) = stream.split();
    let mut reader = FrameReader::new(reader);
    let mut peer = None;
    loop {
        match reader.next().await? {
            GroupMessage::Hello {
                from,
                learns,
                known,
            } => {
                peer = Some(from.address);
                take_hello(node, from, learns, known);
            }
            GroupMessage::Subscribe { have, peer } => {
                return serve_entry(node, reader, &mut writer, peer, have).await;
            }
            message => take(node, peer, message),
        }
        if let Some(peer) = peer {
            let now = node.now();
            node.state.borrow_mut().contacts.insert(peer, now);
        }
    }
}

fn take_hello(node: &Rc<GroupNode>, from: MemberRecord, learns: bool, known: Vec<SocketAddr>) {
    {
        let mut state = node.state.borrow_mut();
        // An identity that had this address before is gone for good.
        state
            .addresses
            .retain(|id, address| *id == from.id || *address != from.address);
        state.addresses.insert(from.id, from.address);
    }
    node.meet(from.address);
    for address in known {
        node.meet(address);
    }
    if learns {
        node.step_replica(ReplicaInput::Learner(from));
    }
}

/// Takes a message of another control instance.
fn take(node: &Rc<GroupNode>, peer: Option<SocketAddr>, message: GroupMessage) {
    match message {
        GroupMessage::Replica { from, to, message } if to == node.me.id => {
            node.step_replica(ReplicaInput::Message { from, message });
        }
        GroupMessage::Notices(notices) => {
            for notice in notices {
                node.take_notice(notice);
            }
        }
        GroupMessage::Keep { tag, notice } => {
            node.take_notice(*notice);
            answer(node, peer, GroupMessage::Kept(tag));
        }
        GroupMessage::Kept(tag) => node.count_keep(tag),
        GroupMessage::Renewals(servers) => {
            let now = node.now();
            let mut state = node.state.borrow_mut();
            for (id, sequence) in servers {
                state.directory.renew(&id, sequence, now);
            }
        }
        GroupMessage::Ask { tag, ask } => {
            let node = node.clone();
            tokio::task::spawn_local(async move {
                let tell = match ask {
                    GroupAsk::Propose(command) => node.propose_here(command).await,
                    GroupAsk::Read => node.read_here().await,
                };
                answer(&node, peer, GroupMessage::Told { tag, tell });
            });
        }
        GroupMessage::Told { tag, tell } => {
            let asked = node.state.borrow_mut().asks.remove(&tag);
            if let Some(asked) = asked {
                // The asker may have given up.
                let _ = asked.send(tell);
            }
        }
        _ => {}
    }
}

fn answer(node: &Rc<GroupNode>, peer: Option<SocketAddr>, message: GroupMessage) {
    let state = node.state.borrow();
    let link = peer.and_then(|peer| state.links.get(&peer));
    if let Some(link) = link {
        // A full ring loses it, as the network may.
        let _ = link.offer(message);
    }
}

/// Serves an entry: all that is known at first, changes after that.
async fn serve_entry<R: tokio::io::AsyncRead + Unpin, W: tokio::io::AsyncWrite + Unpin>(
    node: &Rc<GroupNode>,
    mut reader: FrameReader<R>,
    writer: &mut W,
    peer: EntryPeer,
    have: u64,
) -> anyhow::Result<()> {
    let (sender, mut ring) = bounded_ring(SUBSCRIBER_RING);
    let key = node.next_tag();
    let instance = peer.instance.clone();
    tracing::info!(target: "group", %instance, table_version = have, "entry: follows");
    let mut bytes = Vec::new();
    for message in first_messages(node, have) {
        write_frame(&message, &mut bytes)?;
    }
    node.state.borrow_mut().subscribers.insert(
        key,
        Subscriber {
            peer,
            leaving: false,
            sender,
        },
    );
    let confirming = tokio::task::spawn_local(confirm(node.clone(), key));
    let result = async {
        tokio::time::timeout(WRITE_TIME, writer.write_all(&bytes)).await??;
        let mut messages = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                count = ring.recv_many(&mut messages, BATCH) => {
                    if count == 0 {
                        return anyhow::Ok(());
                    }
                    bytes.clear();
                    for message in messages.drain(..) {
                        write_frame(&message, &mut bytes)?;
                    }
                    tokio::time::timeout(WRITE_TIME, writer.write_all(&bytes)).await??;
                }
                // Otherwise only signs of life come.
                message = reader.next() => {
                    if let GroupMessage::Leaving = message? {
                        leave(node, key);
                    }
                }
            }
        }
    }
    .await;
    confirming.abort();
    node.state.borrow_mut().subscribers.remove(&key);
    tracing::info!(target: "group", %instance, "entry: gone");
    result
}

/// Takes note that an entry takes no more requests of others.
fn leave(node: &Rc<GroupNode>, key: u64) {
    if let Some(subscriber) = node.state.borrow_mut().subscribers.get_mut(&key) {
        subscriber.leaving = true;
    }
    node.tell_members();
}

fn first_messages(node: &Rc<GroupNode>, have: u64) -> Vec<GroupMessage> {
    let notices = node.all_notices();
    let state = node.state.borrow();
    let mut messages = vec![state.told.message(), GroupMessage::Notices(notices)];
    let silent = state.directory.iter().filter(|record| record.silent);
    let silent = silent.map(|record| (record.notice.id.clone(), true));
    messages.push(GroupMessage::Silent(silent.collect()));
    if state.published.version > have {
        messages.push(GroupMessage::Routes {
            version: state.published.version,
            text: state.published.text.to_vec(),
        });
    }
    messages
}

/// Confirms the table to an entry, as soon as a quorum says so.
async fn confirm(node: Rc<GroupNode>, key: u64) {
    loop {
        if let GroupTell::Version(version) = node.read().await {
            if node.wait_published(version).await {
                let state = node.state.borrow();
                if let Some(subscriber) = state.subscribers.get(&key) {
                    let message = GroupMessage::Confirmed { version };
                    // Full: it is let go and asks again.
                    let _ = subscriber.sender.offer(Rc::new(message));
                }
                return;
            }
        }
        tokio::time::sleep(CONFIRM_PAUSE).await;
    }
}
