//! Connections of other control instances and of entries.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use wheelmast_core::process::control::message::ReplicaInput;
use wheelmast_core::process::control::state::MemberRecord;
use wheelmast_core::process::forward::directory::ServerObserver;
use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_wire::group::{GroupAsk, GroupMessage, GroupTell};

use crate::connection::accept::next_stream;
use crate::connection::frame::{end_when_silent, FrameReader};
use crate::process::group::node::GroupNode;
use crate::process::group::state::{ControlLocation, EncodedFrame, Subscriber};
use crate::process::group::suspects::SuspectSource;
use crate::ring::bounded_ring;

/// Messages that may wait for an entry.
const SUBSCRIBER_RING_LENGTH: usize = 512;
/// Messages written together.
const MAX_BATCH_MESSAGES: usize = 64;
/// Longest time that a write may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a server that leaves is news to an entry that comes.
const RECENT_LEAVE_TIME: Duration = Duration::from_secs(12);
/// Time between two tries to confirm the table for an entry.
const CONFIRM_RETRY_INTERVAL: Duration = Duration::from_millis(30);

/// Accepts connections of other instances.
pub async fn accept_peers(node: Rc<GroupNode>, listener: TcpListener) {
    loop {
        let stream = next_stream(&listener).await;
        let node = node.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = serve_connection(&node, stream).await {
                tracing::debug!(target: "group", "peer: connection ended, {error:#}");
            }
        });
    }
}

async fn serve_connection(node: &Rc<GroupNode>, mut stream: TcpStream) -> anyhow::Result<()> {
    end_when_silent(&stream)?;
    let (reader, mut writer) = stream.split();
    let mut reader = FrameReader::new(reader);
    let mut peer = None;
    loop {
        match reader.next().await? {
            GroupMessage::Hello {
                from,
                domain,
                calls,
                learns,
                known,
                followers,
                servers,
            } => {
                peer = Some(from.address);
                let position = ControlLocation {
                    domain,
                    call_address: calls,
                };
                node.state
                    .borrow_mut()
                    .locations
                    .insert(from.address, position);
                let address = from.address;
                handle_hello(node, from, learns, known);
                request_missed_updates(node, address, followers, servers);
            }
            GroupMessage::Subscribe { peer, confirm } => {
                return serve_entry(node, reader, &mut writer, peer, confirm).await;
            }
            message => handle_control_message(node, peer, message),
        }
        if let Some(peer) = peer {
            let now = node.now();
            node.state.borrow_mut().last_contacts.insert(peer, now);
        }
    }
}

fn handle_hello(node: &Rc<GroupNode>, from: MemberRecord, learns: bool, known: Vec<SocketAddr>) {
    {
        let mut state = node.state.borrow_mut();
        // An identity that had this address before is gone for good.
        state
            .replica_addresses
            .retain(|id, address| *id == from.id || *address != from.address);
        state.replica_addresses.insert(from.id, from.address);
    }
    node.ensure_link(from.address);
    for address in known {
        node.ensure_link(address);
    }
    if learns {
        node.step_replica(ReplicaInput::Learner(from));
    }
}

/// Asks another control instance for all, if what is known of the entries that
/// follow it or of the servers that it hears has not these digests.
fn request_missed_updates(node: &Rc<GroupNode>, peer: SocketAddr, followers: u64, servers: u64) {
    let (has_followers, has_servers) = {
        let state = node.state.borrow();
        let local_digest = state.directory.digest(ServerObserver::Peer(peer));
        (
            state.followers.matches_digest(peer, followers),
            local_digest == servers,
        )
    };
    if !has_followers {
        send_to_peer(node, Some(peer), GroupMessage::AskFollowers);
    }
    if !has_servers {
        send_to_peer(node, Some(peer), GroupMessage::AskRenewals);
    }
}

/// Takes a message of another control instance.
fn handle_control_message(node: &Rc<GroupNode>, peer: Option<SocketAddr>, message: GroupMessage) {
    match message {
        GroupMessage::Replica { from, to, message } if to == node.local_member.id => {
            node.step_replica(ReplicaInput::Message { from, message });
        }
        GroupMessage::Notices(notices) => {
            for notice in notices {
                node.apply_announcement(notice);
            }
        }
        GroupMessage::Keep { tag, notice } => {
            node.apply_announcement(*notice);
            send_to_peer(node, peer, GroupMessage::Kept(tag));
        }
        GroupMessage::Suspects(records) => {
            node.merge_suspects(records, SuspectSource::Control);
        }
        GroupMessage::Tallies(tallies) => node.record_version_outcomes(tallies, false),
        GroupMessage::AskFollowers => {
            let full_message = node.state.borrow().followers.build_full_message();
            send_to_peer(node, peer, full_message);
        }
        GroupMessage::Followers {
            whole,
            joined,
            left,
        } => {
            if let Some(peer) = peer {
                let followers = &mut node.state.borrow_mut().followers;
                followers.apply_update(peer, whole, joined, &left);
            }
        }
        GroupMessage::Kept(tag) => node.record_replication_ack(tag),
        GroupMessage::Renewals { whole, servers } => {
            if let Some(peer) = peer {
                let unknown_ids = node.apply_renewals(peer, whole, servers);
                if !unknown_ids.is_empty() {
                    send_to_peer(node, Some(peer), GroupMessage::AskNotices(unknown_ids));
                }
            }
        }
        GroupMessage::AskRenewals => {
            let message = node.build_full_renewals();
            send_to_peer(node, peer, message);
        }
        GroupMessage::AskNotices(ids) => {
            let message = GroupMessage::Notices(node.find_ready_announcements(&ids));
            send_to_peer(node, peer, message);
        }
        GroupMessage::Lapsed(servers) => {
            if let Some(peer) = peer {
                node.apply_lapsed(peer, &servers);
            }
        }
        GroupMessage::Ask { tag, ask } => {
            let node = node.clone();
            tokio::task::spawn_local(async move {
                let tell = match ask {
                    GroupAsk::Propose(command) => node.propose_as_leader(command).await,
                    GroupAsk::Read => node.read_as_leader().await,
                    GroupAsk::Caps(asks) => node.grant_as_leader(&asks),
                };
                send_to_peer(&node, peer, GroupMessage::Told { tag, tell });
            });
        }
        GroupMessage::Told { tag, tell } => {
            let pending_reply = node.state.borrow_mut().pending_replies.remove(&tag);
            match pending_reply {
                Some(pending_reply) => {
                    // The asker may have given up.
                    let _ = pending_reply.send(tell);
                }
                None => {
                    node.state.borrow_mut().unmatched_replies += 1;
                    tracing::warn!(target: "group", ?peer, tag, ?tell, "peer: answer to no question");
                }
            }
        }
        _ => {}
    }
}

fn send_to_peer(node: &Rc<GroupNode>, peer: Option<SocketAddr>, message: GroupMessage) {
    let state = node.state.borrow();
    let link = peer.and_then(|peer| state.links.get(&peer));
    if let Some(link) = link {
        // A full ring loses it, as the network may.
        let _ = link.offer(message);
    }
}

/// Serves an entry: what is urgent, and all that is known if it asks for that.
async fn serve_entry<R: tokio::io::AsyncRead + Unpin, W: tokio::io::AsyncWrite + Unpin>(
    node: &Rc<GroupNode>,
    mut reader: FrameReader<R>,
    writer: &mut W,
    peer: EntryPeer,
    wants_confirmation: bool,
) -> anyhow::Result<()> {
    let (sender, mut ring) = bounded_ring(SUBSCRIBER_RING_LENGTH);
    let key = node.next_tag();
    let instance = peer.instance.clone();
    tracing::info!(target: "group", %instance, "entry: follows");
    let subscriber = Subscriber {
        peer,
        is_leaving: false,
        is_full_subscriber: false,
        known_peers: HashSet::new(),
        sender,
    };
    let initial_messages = initial_messages(node);
    {
        let mut state = node.state.borrow_mut();
        for frame in initial_messages.iter().filter_map(EncodedFrame::new) {
            // The ring has room: it is new.
            subscriber.queue_frame(frame, &mut state.traffic);
        }
        state.subscribers.insert(key, subscriber);
    }
    let confirm_task =
        wants_confirmation.then(|| tokio::task::spawn_local(send_confirmation(node.clone(), key)));
    let result = async {
        let mut frames = Vec::with_capacity(MAX_BATCH_MESSAGES);
        loop {
            tokio::select! {
                count = ring.recv_many(&mut frames, MAX_BATCH_MESSAGES) => {
                    if count == 0 {
                        return anyhow::Ok(());
                    }
                    drop_superseded_tables(&mut frames);
                    let bytes: Vec<&[u8]> = frames.iter().map(|frame| &*frame.bytes).collect();
                    let bytes = bytes.concat();
                    frames.clear();
                    tokio::time::timeout(WRITE_TIMEOUT, writer.write_all(&bytes)).await??;
                }
                message = reader.next() => handle_entry_message(node, key, message?),
            }
        }
    }
    .await;
    if let Some(confirm_task) = confirm_task {
        confirm_task.abort();
    }
    node.state.borrow_mut().subscribers.remove(&key);
    tracing::info!(target: "group", %instance, "entry: gone");
    result
}

/// Drops the tables that a newer one among the same messages overtakes.
fn drop_superseded_tables(frames: &mut Vec<Rc<EncodedFrame>>) {
    let Some(last) = frames.iter().rposition(|frame| frame.is_route_table) else {
        return;
    };
    let mut position = 0;
    frames.retain(|frame| {
        let is_superseded = position < last && frame.is_route_table;
        position += 1;
        !is_superseded
    });
}

/// Takes what an entry wishes; otherwise only signs of life come.
fn handle_entry_message(node: &Rc<GroupNode>, key: u64, message: GroupMessage) {
    match message {
        GroupMessage::Suspects(records) => {
            node.merge_suspects(records, SuspectSource::Entry);
        }
        GroupMessage::Tallies(tallies) => node.record_version_outcomes(tallies, true),
        GroupMessage::Leaving => mark_leaving(node, key),
        GroupMessage::Whole { have, servers } => {
            let messages = build_full_state(node, key, have, &servers);
            send_to_subscriber(node, key, messages, |subscriber| {
                subscriber.is_full_subscriber = true
            });
        }
        GroupMessage::Urgent => {
            send_to_subscriber(node, key, Vec::new(), |subscriber| {
                subscriber.is_full_subscriber = false
            });
        }
        GroupMessage::AskCaps { tag, asks } => {
            let node = node.clone();
            tokio::task::spawn_local(async move {
                let grants = node.grant_caps(asks).await;
                send_to_subscriber(&node, key, vec![GroupMessage::Caps { tag, grants }], |_| ());
            });
        }
        GroupMessage::Fetch { have } => {
            let messages = build_newer_table(node, have);
            send_to_subscriber(node, key, messages, |_| ());
        }
        _ => {}
    }
}

fn send_to_subscriber(
    node: &Rc<GroupNode>,
    key: u64,
    messages: Vec<GroupMessage>,
    update: impl FnOnce(&mut Subscriber),
) {
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let Some(subscriber) = state.subscribers.get_mut(&key) else {
        return;
    };
    update(subscriber);
    for frame in messages.iter().filter_map(EncodedFrame::new) {
        if !subscriber.queue_frame(frame, &mut state.traffic) {
            // It does not keep up: it is let go and asks again.
            state.subscribers.remove(&key);
            return;
        }
    }
}

/// Takes note that an entry takes no more requests of others.
fn mark_leaving(node: &Rc<GroupNode>, key: u64) {
    if let Some(subscriber) = node.state.borrow_mut().subscribers.get_mut(&key) {
        subscriber.is_leaving = true;
    }
    node.publish_members();
}

/// Returns what every entry is told at first.
fn initial_messages(node: &Rc<GroupNode>) -> Vec<GroupMessage> {
    let recent_leavers = node.list_recent_leavers(RECENT_LEAVE_TIME);
    let state = node.state.borrow();
    let mut messages = vec![node.build_status(&state), state.evacuations.to_message()];
    if state.rollouts.revision > 0 {
        messages.push(state.rollouts.to_message());
    }
    messages.push(node.build_all_suspects());
    messages.push(GroupMessage::Control(state.last_sent_control.clone()));
    if !recent_leavers.is_empty() {
        messages.push(GroupMessage::Notices(recent_leavers));
    }
    messages
}

/// Returns all that is known, for an entry that has a table of version `have` and
/// servers with these digests.
fn build_full_state(
    node: &Rc<GroupNode>,
    key: u64,
    have: u64,
    servers: &[u64],
) -> Vec<GroupMessage> {
    let notices = node.list_missing_announcements(servers);
    let mut messages = build_newer_table(node, have);
    let mut state = node.state.borrow_mut();
    messages.extend(state.build_initial_members(key));
    messages.push(GroupMessage::Notices(notices));
    let expired = state.directory.iter().filter(|record| record.expired);
    let expired = expired.map(|record| (record.notice.id.clone(), true));
    messages.push(GroupMessage::Silent(expired.collect()));
    messages
}

/// Returns the table in force, if it is newer than `have`.
fn build_newer_table(node: &Rc<GroupNode>, have: u64) -> Vec<GroupMessage> {
    let state = node.state.borrow();
    if state.published_table.version <= have {
        return Vec::new();
    }
    vec![state.published_table.to_message()]
}

/// Confirms the table to an entry, as soon as a quorum says so.
async fn send_confirmation(node: Rc<GroupNode>, key: u64) {
    loop {
        if let GroupTell::Mark(mark) = node.read_confirmed().await {
            if node.wait_published(mark).await {
                let mut state = node.state.borrow_mut();
                let state = &mut *state;
                if let Some(subscriber) = state.subscribers.get(&key) {
                    // Which failure domains are out of use stands before it
                    // in the same ring.
                    let version = mark.version;
                    let message = GroupMessage::Confirmed { version };
                    if let Some(frame) = EncodedFrame::new(&message) {
                        // Full: it is let go and asks again.
                        subscriber.queue_frame(frame, &mut state.traffic);
                    }
                }
                return;
            }
        }
        tokio::time::sleep(CONFIRM_RETRY_INTERVAL).await;
    }
}
