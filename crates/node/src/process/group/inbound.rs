//! Inbound connections of a control instance: messages of other control instances, and
//! subscriptions of entries.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use wheelmast_core::process::control::message::ReplicaInput;
use wheelmast_core::process::control::state::MemberRecord;
use wheelmast_core::process::forward::directory::ServerObserver;
use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_wire::group::{GroupMessage, LeaderReply, LeaderRequest, MAX_FRAME_BYTES};

use crate::connection::accept::accept_connection;
use crate::connection::client::{fit_descriptors, ClientState, ConnectionLimiter};
use crate::connection::frame::{set_unacknowledged_timeout, FrameReader};
use crate::process::group::node::GroupNode;
use crate::process::group::state::{ControlLocation, EncodedFrame, Subscriber};
use crate::process::group::suspects::SuspectSource;
use crate::ring::bounded_ring;

/// Most connections of other control instances and entries, for each connection that servers and
/// operators may have.
const PEER_CONNECTION_FACTOR: u32 = 2;
/// Part of the process's descriptors that these connections may take.
const DESCRIPTOR_FRACTION: f64 = 0.25;
/// Largest first message of a connection, in bytes: a greeting or a subscription.
const MAX_FIRST_FRAME_BYTES: usize = 64 * 1024;
/// Longest time until the first message of a connection.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Messages that may wait for one subscribed entry.
const SUBSCRIBER_RING_LENGTH: usize = 512;
/// Most messages that are written to a connection at once.
const MAX_BATCH_MESSAGES: usize = 64;
/// Longest time that a write may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// A server that left within this time is announced to an entry that subscribes.
const RECENT_LEAVE_TIME: Duration = Duration::from_secs(12);
/// Time between two attempts to confirm the route table for an entry.
const CONFIRM_RETRY_INTERVAL: Duration = Duration::from_millis(30);

/// Accepts connections of other control instances and of entries.
pub async fn accept_peers(node: Rc<GroupNode>, listener: TcpListener) {
    let max_connections = node.settings.clients.connections * PEER_CONNECTION_FACTOR;
    let connections = ConnectionLimiter::new(fit_descriptors(max_connections, DESCRIPTOR_FRACTION));
    loop {
        let stream = accept_connection(&listener).await;
        let Some(client) = connections.admit().await else {
            continue;
        };
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let served = tokio::select! {
                served = serve_connection(&node, stream, &client.state) => served,
                () = client.state.eviction.wait() => return,
            };
            if let Err(error) = served {
                tracing::debug!(target: "group", "peer: connection ended, {error:#}");
            }
        });
    }
}

/// Serves a connection. It may lose its place to another one until its first message has
/// arrived, which says who has opened it.
async fn serve_connection(
    node: &Rc<GroupNode>,
    mut stream: TcpStream,
    client: &Arc<ClientState>,
) -> anyhow::Result<()> {
    set_unacknowledged_timeout(&stream)?;
    let (reader, mut writer) = stream.split();
    let mut reader = FrameReader::with_max_bytes(reader, MAX_FIRST_FRAME_BYTES);
    let first = tokio::time::timeout(FIRST_MESSAGE_TIMEOUT, reader.next()).await??;
    let _work = client.begin_work();
    reader.set_max_bytes(MAX_FRAME_BYTES);
    let mut next = Some(first);
    let mut peer = None;
    loop {
        let message = match next.take() {
            Some(message) => message,
            None => reader.next().await?,
        };
        match message {
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

/// Records the address of the sender, opens links to it and to the instances that it
/// knows, and adds it as a learner if it asks for that.
fn handle_hello(node: &Rc<GroupNode>, from: MemberRecord, learns: bool, known: Vec<SocketAddr>) {
    {
        let mut state = node.state.borrow_mut();
        // Another replica id that had this address before never returns.
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
        node.step_replica(ReplicaInput::AddLearner(from));
    }
}

/// Compares the digests that another control instance sent with the local copy of its
/// followers and of the servers that it observes. Requests a full list of whatever
/// differs.
fn request_missed_updates(node: &Rc<GroupNode>, peer: SocketAddr, followers: u64, servers: u64) {
    let (followers_match, servers_match) = {
        let state = node.state.borrow();
        let local_digest = state.directory.digest(ServerObserver::Peer(peer));
        (
            state.followers.matches_digest(peer, followers),
            local_digest == servers,
        )
    };
    if !followers_match {
        send_to_peer(node, Some(peer), GroupMessage::AskFollowers);
    }
    if !servers_match {
        send_to_peer(node, Some(peer), GroupMessage::AskRenewals);
    }
}

/// Handles a message of another control instance.
fn handle_control_message(node: &Rc<GroupNode>, peer: Option<SocketAddr>, message: GroupMessage) {
    match message {
        GroupMessage::Replica { from, to, message } if to == node.local_member.id => {
            node.step_replica(ReplicaInput::Message { from, message });
        }
        GroupMessage::Notices(announcements) => {
            for announcement in announcements {
                node.apply_announcement(announcement);
            }
        }
        GroupMessage::Keep { tag, announcement } => {
            node.apply_announcement(*announcement);
            let node = node.clone();
            tokio::task::spawn_local(async move {
                if node.wait_departures_synced().await {
                    send_to_peer(&node, peer, GroupMessage::Kept(tag));
                }
            });
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
        GroupMessage::LoadShare(share) => {
            if let Some(peer) = peer {
                node.record_load_share(peer, share);
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
                    LeaderRequest::Propose(command) => node.propose_as_leader(command).await,
                    LeaderRequest::Read => node.read_as_leader().await,
                    LeaderRequest::Caps(asks) => node.grant_as_leader(&asks),
                };
                send_to_peer(&node, peer, GroupMessage::Told { tag, tell });
            });
        }
        GroupMessage::Told { tag, tell } => {
            let pending_reply = node.state.borrow_mut().pending_replies.remove(&tag);
            match pending_reply {
                Some(pending_reply) => {
                    // The requester may have timed out.
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

/// Sends a message over the outbound link to a peer, if one exists.
fn send_to_peer(node: &Rc<GroupNode>, peer: Option<SocketAddr>, message: GroupMessage) {
    let state = node.state.borrow();
    let link = peer.and_then(|peer| state.links.get(&peer));
    if let Some(link) = link {
        // If the link's ring is full, the message is lost, as it might be on the
        // network.
        let _ = link.offer(message);
    }
}

/// Serves a subscribed entry. Every entry gets urgent messages (leaving servers,
/// control instances, versions of the route table). An entry that asks for it also gets
/// the full state and all later changes.
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
            // A new ring always has capacity for these messages.
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

/// Drops every route table in `frames` that a later one among them supersedes.
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

/// Handles a message of a subscribed entry. Other messages only keep the connection
/// alive.
fn handle_entry_message(node: &Rc<GroupNode>, key: u64, message: GroupMessage) {
    match message {
        GroupMessage::Suspects(records) => {
            node.merge_suspects(records, SuspectSource::Entry);
        }
        GroupMessage::Tallies(tallies) => node.record_version_outcomes(tallies, true),
        GroupMessage::LoadReport(report) => node.record_load_report(key, report),
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

/// Applies `update` to a subscriber, then sends messages to that entry.
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
            // The entry does not read fast enough: drop its subscription, so that it
            // subscribes again.
            state.subscribers.remove(&key);
            return;
        }
    }
}

/// Records that a subscribed entry accepts no more requests of other entries.
fn mark_leaving(node: &Rc<GroupNode>, key: u64) {
    if let Some(subscriber) = node.state.borrow_mut().subscribers.get_mut(&key) {
        subscriber.is_leaving = true;
    }
    node.publish_members();
}

/// Returns the messages that every entry gets when it subscribes.
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

/// Returns the full state, for an entry that has the route table of version `have` and
/// servers with these digests.
fn build_full_state(
    node: &Rc<GroupNode>,
    key: u64,
    have: u64,
    servers: &[u64],
) -> Vec<GroupMessage> {
    let announcements = node.list_missing_announcements(servers);
    let mut messages = build_newer_table(node, have);
    let mut state = node.state.borrow_mut();
    messages.extend(state.build_initial_members(key));
    messages.push(GroupMessage::Notices(announcements));
    let expired = state.directory.iter().filter(|record| record.expired);
    let expired = expired.map(|record| (record.announcement.id.clone(), true));
    messages.push(GroupMessage::LeaseExpiry(expired.collect()));
    messages
}

/// Returns the message with the route table in force, if it is newer than version
/// `have`.
fn build_newer_table(node: &Rc<GroupNode>, have: u64) -> Vec<GroupMessage> {
    let state = node.state.borrow();
    if state.published_table.version <= have {
        return Vec::new();
    }
    vec![state.published_table.to_message()]
}

/// Confirms to an entry that its route table is current, as soon as a quorum has
/// confirmed it to this instance. Retries until that succeeds.
async fn send_confirmation(node: Rc<GroupNode>, key: u64) {
    loop {
        if let LeaderReply::Mark(mark) = node.read_confirmed().await {
            if node.wait_published(mark).await {
                let mut state = node.state.borrow_mut();
                let state = &mut *state;
                if let Some(subscriber) = state.subscribers.get(&key) {
                    // The evacuated failure domains were queued earlier in the same
                    // ring, so the entry receives them before this confirmation.
                    let version = mark.version;
                    let message = GroupMessage::Confirmed { version };
                    if let Some(frame) = EncodedFrame::new(&message) {
                        // If the ring is full, this confirmation is lost. The
                        // subscription is dropped when another message finds the ring
                        // full, and the entry then subscribes again.
                        subscriber.queue_frame(frame, &mut state.traffic);
                    }
                }
                return;
            }
        }
        tokio::time::sleep(CONFIRM_RETRY_INTERVAL).await;
    }
}
