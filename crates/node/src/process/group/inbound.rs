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
use wheelmast_wire::group::{GroupMessage, LeaderReply, LeaderRequest};

use crate::connection::accept::next_stream;
use crate::connection::frame::{end_when_silent, FrameReader};
use crate::process::group::node::GroupNode;
use crate::process::group::state::{ControlPlace, OutFrame, Subscriber};
use crate::process::group::suspects::SuspectSource;
use crate::ring::bounded_ring;

/// Messages that may wait for an entry.
const SUBSCRIBER_RING: usize = 512;
/// Messages written together.
const BATCH: usize = 64;
/// Longest time that a write may take.
const WRITE_TIME: Duration = Duration::from_secs(2);
/// Time for which a server that leaves is news to an entry that comes.
const LEAVER_TIME: Duration = Duration::from_secs(12);
/// Time between two tries to confirm the table for an entry.
const CONFIRM_PAUSE: Duration = Duration::from_millis(30);

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
                domain,
                calls,
                learns,
                known,
                followers,
                servers,
            } => {
                peer = Some(from.address);
                let place = ControlPlace { domain, calls };
                node.state.borrow_mut().places.insert(from.address, place);
                let address = from.address;
                take_hello(node, from, learns, known);
                ask_missed(node, address, followers, servers);
            }
            GroupMessage::Subscribe { peer, confirm } => {
                return serve_entry(node, reader, &mut writer, peer, confirm).await;
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
        node.step_replica(ReplicaInput::AddLearner(from));
    }
}

/// Asks another control instance for all, if what is known of the entries that
/// follow it or of the servers that it hears has not these digests.
fn ask_missed(node: &Rc<GroupNode>, peer: SocketAddr, followers: u64, servers: u64) {
    let (knows_followers, knows_servers) = {
        let state = node.state.borrow();
        let known = state.directory.digest(ServerObserver::Peer(peer));
        (
            state.followers.is_current(peer, followers),
            known == servers,
        )
    };
    if !knows_followers {
        answer(node, Some(peer), GroupMessage::AskFollowers);
    }
    if !knows_servers {
        answer(node, Some(peer), GroupMessage::AskRenewals);
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
        GroupMessage::Suspects(records) => {
            node.take_suspects(records, SuspectSource::Control);
        }
        GroupMessage::Tallies(tallies) => node.take_tallies(tallies, false),
        GroupMessage::AskFollowers => {
            let whole = node.state.borrow().followers.whole();
            answer(node, peer, whole);
        }
        GroupMessage::Followers {
            whole,
            joined,
            left,
        } => {
            if let Some(peer) = peer {
                let followers = &mut node.state.borrow_mut().followers;
                followers.take(peer, whole, joined, &left);
            }
        }
        GroupMessage::Kept(tag) => node.count_keep(tag),
        GroupMessage::Renewals { whole, servers } => {
            if let Some(peer) = peer {
                let missed = node.take_renewals(peer, whole, servers);
                if !missed.is_empty() {
                    answer(node, Some(peer), GroupMessage::AskNotices(missed));
                }
            }
        }
        GroupMessage::AskRenewals => {
            let message = node.whole_renewals();
            answer(node, peer, message);
        }
        GroupMessage::AskNotices(ids) => {
            let message = GroupMessage::Notices(node.notices_of(&ids));
            answer(node, peer, message);
        }
        GroupMessage::Lapsed(servers) => {
            if let Some(peer) = peer {
                node.take_lapsed(peer, &servers);
            }
        }
        GroupMessage::Ask { tag, ask } => {
            let node = node.clone();
            tokio::task::spawn_local(async move {
                let tell = match ask {
                    LeaderRequest::Propose(command) => node.propose_here(command).await,
                    LeaderRequest::Read => node.read_here().await,
                    LeaderRequest::Caps(asks) => node.grant_here(&asks),
                };
                answer(&node, peer, GroupMessage::Told { tag, tell });
            });
        }
        GroupMessage::Told { tag, tell } => {
            let asked = node.state.borrow_mut().asks.remove(&tag);
            match asked {
                Some(asked) => {
                    // The asker may have given up.
                    let _ = asked.send(tell);
                }
                None => {
                    node.state.borrow_mut().stray_answers += 1;
                    tracing::warn!(target: "group", ?peer, tag, ?tell, "peer: answer to no question");
                }
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

/// Serves an entry: what is urgent, and all that is known if it asks for that.
async fn serve_entry<R: tokio::io::AsyncRead + Unpin, W: tokio::io::AsyncWrite + Unpin>(
    node: &Rc<GroupNode>,
    mut reader: FrameReader<R>,
    writer: &mut W,
    peer: EntryPeer,
    asks_quorum: bool,
) -> anyhow::Result<()> {
    let (sender, mut ring) = bounded_ring(SUBSCRIBER_RING);
    let key = node.next_tag();
    let instance = peer.instance.clone();
    tracing::info!(target: "group", %instance, "entry: follows");
    let subscriber = Subscriber {
        peer,
        leaving: false,
        whole: false,
        told: HashSet::new(),
        sender,
    };
    let greeting = greeting(node);
    {
        let mut state = node.state.borrow_mut();
        for frame in greeting.iter().filter_map(OutFrame::new) {
            // The ring has room: it is new.
            subscriber.offer(frame, &mut state.traffic);
        }
        state.subscribers.insert(key, subscriber);
    }
    let confirming = asks_quorum.then(|| tokio::task::spawn_local(confirm(node.clone(), key)));
    let result = async {
        let mut frames = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                count = ring.recv_many(&mut frames, BATCH) => {
                    if count == 0 {
                        return anyhow::Ok(());
                    }
                    drop_old_tables(&mut frames);
                    let bytes: Vec<&[u8]> = frames.iter().map(|frame| &*frame.bytes).collect();
                    let bytes = bytes.concat();
                    frames.clear();
                    tokio::time::timeout(WRITE_TIME, writer.write_all(&bytes)).await??;
                }
                message = reader.next() => take_wish(node, key, message?),
            }
        }
    }
    .await;
    if let Some(confirming) = confirming {
        confirming.abort();
    }
    node.state.borrow_mut().subscribers.remove(&key);
    tracing::info!(target: "group", %instance, "entry: gone");
    result
}

/// Drops the tables that a newer one among the same messages overtakes.
fn drop_old_tables(frames: &mut Vec<Rc<OutFrame>>) {
    let Some(last) = frames.iter().rposition(|frame| frame.is_table) else {
        return;
    };
    let mut place = 0;
    frames.retain(|frame| {
        let is_old = place < last && frame.is_table;
        place += 1;
        !is_old
    });
}

/// Takes what an entry wishes; otherwise only signs of life come.
fn take_wish(node: &Rc<GroupNode>, key: u64, message: GroupMessage) {
    match message {
        GroupMessage::Suspects(records) => {
            node.take_suspects(records, SuspectSource::Entry);
        }
        GroupMessage::Tallies(tallies) => node.take_tallies(tallies, true),
        GroupMessage::Leaving => leave(node, key),
        GroupMessage::Whole { have, servers } => {
            let messages = all_known(node, key, have, &servers);
            tell_one(node, key, messages, |subscriber| subscriber.whole = true);
        }
        GroupMessage::Urgent => {
            tell_one(node, key, Vec::new(), |subscriber| subscriber.whole = false);
        }
        GroupMessage::AskCaps { tag, asks } => {
            let node = node.clone();
            tokio::task::spawn_local(async move {
                let grants = node.grant_caps(asks).await;
                tell_one(&node, key, vec![GroupMessage::Caps { tag, grants }], |_| ());
            });
        }
        GroupMessage::Fetch { have } => {
            let messages = newer_table(node, have);
            tell_one(node, key, messages, |_| ());
        }
        _ => {}
    }
}

fn tell_one(
    node: &Rc<GroupNode>,
    key: u64,
    messages: Vec<GroupMessage>,
    change: impl FnOnce(&mut Subscriber),
) {
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let Some(subscriber) = state.subscribers.get_mut(&key) else {
        return;
    };
    change(subscriber);
    for frame in messages.iter().filter_map(OutFrame::new) {
        if !subscriber.offer(frame, &mut state.traffic) {
            // It does not keep up: it is let go and asks again.
            state.subscribers.remove(&key);
            return;
        }
    }
}

/// Takes note that an entry takes no more requests of others.
fn leave(node: &Rc<GroupNode>, key: u64) {
    if let Some(subscriber) = node.state.borrow_mut().subscribers.get_mut(&key) {
        subscriber.leaving = true;
    }
    node.tell_members();
}

/// Returns what every entry is told at first.
fn greeting(node: &Rc<GroupNode>) -> Vec<GroupMessage> {
    let leavers = node.late_leavers(LEAVER_TIME);
    let state = node.state.borrow();
    let mut messages = vec![node.here(&state), state.evacuations.message()];
    if state.rollouts.revision > 0 {
        messages.push(state.rollouts.message());
    }
    messages.push(node.all_suspects());
    messages.push(GroupMessage::Control(state.told_control.clone()));
    if !leavers.is_empty() {
        messages.push(GroupMessage::Notices(leavers));
    }
    messages
}

/// Returns all that is known, for an entry that has a table of version `have` and
/// servers with these digests.
fn all_known(node: &Rc<GroupNode>, key: u64, have: u64, servers: &[u64]) -> Vec<GroupMessage> {
    let notices = node.lacking_notices(servers);
    let mut messages = newer_table(node, have);
    let mut state = node.state.borrow_mut();
    messages.extend(state.first_members(key));
    messages.push(GroupMessage::Notices(notices));
    let expired = state.directory.iter().filter(|record| record.expired);
    let expired = expired.map(|record| (record.notice.id.clone(), true));
    messages.push(GroupMessage::Silent(expired.collect()));
    messages
}

/// Returns the table in force, if it is newer than `have`.
fn newer_table(node: &Rc<GroupNode>, have: u64) -> Vec<GroupMessage> {
    let state = node.state.borrow();
    if state.published.version <= have {
        return Vec::new();
    }
    vec![state.published.message()]
}

/// Confirms the table to an entry, as soon as a quorum says so.
async fn confirm(node: Rc<GroupNode>, key: u64) {
    loop {
        if let LeaderReply::Mark(mark) = node.read().await {
            if node.wait_published(mark).await {
                let mut state = node.state.borrow_mut();
                let state = &mut *state;
                if let Some(subscriber) = state.subscribers.get(&key) {
                    // Which failure domains are out of use stands before it
                    // in the same ring.
                    let version = mark.version;
                    let message = GroupMessage::Confirmed { version };
                    if let Some(frame) = OutFrame::new(&message) {
                        // Full: it is let go and asks again.
                        subscriber.offer(frame, &mut state.traffic);
                    }
                }
                return;
            }
        }
        tokio::time::sleep(CONFIRM_PAUSE).await;
    }
}
