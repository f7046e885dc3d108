//! Outbound links to other control instances. A control instance sends only on the
//! connections that it opened itself, and receives on those that its peers opened.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::bail;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wheelmast_wire::group::GroupMessage;

use crate::connection::frame::{connect, reconnect_delay, write_frame};
use crate::process::group::node::GroupNode;
use crate::process::group::traffic::TrafficTarget;
use crate::ring::RingReceiver;

/// Most messages that are written to a connection at once.
const MAX_BATCH_MESSAGES: usize = 64;
/// Time between two attempts to connect.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time between the first attempts to connect. It is shorter, so that instances that
/// start together are connected before their first election.
const INITIAL_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// Longest time that a write may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Consecutive failures to connect after which the link to an instance is closed,
/// unless that instance is a member of the group or a seed in the settings.
const MAX_CONNECT_FAILURES: u32 = 50;

/// Maintains the connection to another control instance. Ends when the peer is
/// unreachable and neither a member of the group nor a seed.
pub async fn run_link(
    node: Rc<GroupNode>,
    address: SocketAddr,
    mut ring: RingReceiver<GroupMessage>,
) {
    let mut failures = 0;
    while failures < MAX_CONNECT_FAILURES || node.is_member_or_seed(address) {
        failures += 1;
        if let Err(error) = run_connection(&node, address, &mut ring, &mut failures).await {
            tracing::debug!(target: "group", peer = %address, "link: lost, {error:#}");
        }
        tokio::time::sleep(reconnect_delay(
            failures,
            INITIAL_RETRY_INTERVAL,
            RETRY_INTERVAL,
        ))
        .await;
    }
    let mut state = node.state.borrow_mut();
    state.links.remove(&address);
    state.last_contacts.remove(&address);
    state.followers.remove_peer(&address);
    state.locations.remove(&address);
}

/// Connects to a peer, sends it the full local state, and then sends the messages that
/// are queued in `ring`. Returns only with an error, when the connection ends.
async fn run_connection(
    node: &Rc<GroupNode>,
    address: SocketAddr,
    ring: &mut RingReceiver<GroupMessage>,
    failures: &mut u32,
) -> anyhow::Result<()> {
    let mut stream = connect(address).await?;
    *failures = 0;
    // Messages queued while there was no connection are outdated.
    while ring.try_recv().is_ok() {}
    let mut bytes = Vec::new();
    write_frame(&node.build_hello(), &mut bytes)?;
    write_frame(
        &GroupMessage::Notices(node.list_announcements()),
        &mut bytes,
    )?;
    write_frame(&node.build_all_suspects(), &mut bytes)?;
    write_frame(
        &node.state.borrow().followers.build_full_message(),
        &mut bytes,
    )?;
    write_frame(&node.build_full_renewals(), &mut bytes)?;
    tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await??;
    let (mut reader, mut writer) = stream.split();
    let mut messages = Vec::with_capacity(MAX_BATCH_MESSAGES);
    let mut close_buffer = [0; 1];
    loop {
        tokio::select! {
            count = ring.recv_many(&mut messages, MAX_BATCH_MESSAGES) => {
                if count == 0 {
                    bail!("link was closed");
                }
            }
            // The peer never sends on this connection, so a completed read means that
            // it closed.
            _ = reader.read(&mut close_buffer) => bail!("peer closed the connection"),
        }
        bytes.clear();
        for message in messages.drain(..) {
            let frame_start = bytes.len();
            write_frame(&message, &mut bytes)?;
            let traffic = &mut node.state.borrow_mut().traffic;
            let written = bytes.len() - frame_start;
            traffic.add(TrafficTarget::Control, message.kind(), written);
        }
        tokio::time::timeout(WRITE_TIMEOUT, writer.write_all(&bytes)).await??;
    }
}
