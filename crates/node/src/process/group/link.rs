//! Lines to other control instances. Each side sends on the connection that it
//! opened itself.

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

/// Messages written together.
const BATCH: usize = 64;
/// Time between two tries to connect.
const RETRY_TIME: Duration = Duration::from_millis(100);
/// The same for the first tries: instances that start together find each other
/// so before their first election.
const FIRST_RETRY_TIME: Duration = Duration::from_millis(25);
/// Longest time that a write may take.
const WRITE_TIME: Duration = Duration::from_secs(1);
/// Tries without success after which an instance that nobody names is let go.
const MOST_TRIES: u32 = 50;

/// Keeps a connection to another control instance.
pub async fn keep_link(
    node: Rc<GroupNode>,
    address: SocketAddr,
    mut ring: RingReceiver<GroupMessage>,
) {
    let mut tries = 0;
    while tries < MOST_TRIES || node.is_wanted(address) {
        tries += 1;
        if let Err(error) = carry(&node, address, &mut ring, &mut tries).await {
            tracing::debug!(target: "group", peer = %address, "link: lost, {error:#}");
        }
        tokio::time::sleep(reconnect_delay(tries, FIRST_RETRY_TIME, RETRY_TIME)).await;
    }
    let mut state = node.state.borrow_mut();
    state.links.remove(&address);
    state.contacts.remove(&address);
    state.followers.forget(&address);
    state.places.remove(&address);
}

async fn carry(
    node: &Rc<GroupNode>,
    address: SocketAddr,
    ring: &mut RingReceiver<GroupMessage>,
    tries: &mut u32,
) -> anyhow::Result<()> {
    let mut stream = connect(address).await?;
    *tries = 0;
    // What waited while there was no connection is old.
    while ring.try_recv().is_ok() {}
    let mut bytes = Vec::new();
    write_frame(&node.hello(), &mut bytes)?;
    write_frame(&GroupMessage::Notices(node.all_notices()), &mut bytes)?;
    write_frame(&node.all_suspects(), &mut bytes)?;
    write_frame(&node.state.borrow().followers.whole(), &mut bytes)?;
    write_frame(&node.whole_renewals(), &mut bytes)?;
    tokio::time::timeout(WRITE_TIME, stream.write_all(&bytes)).await??;
    let (mut reader, mut writer) = stream.split();
    let mut messages = Vec::with_capacity(BATCH);
    let mut end = [0; 1];
    loop {
        tokio::select! {
            count = ring.recv_many(&mut messages, BATCH) => {
                if count == 0 {
                    bail!("link is gone");
                }
            }
            // The other side sends nothing here: it closed.
            _ = reader.read(&mut end) => bail!("closed"),
        }
        bytes.clear();
        for message in messages.drain(..) {
            let begin = bytes.len();
            write_frame(&message, &mut bytes)?;
            let traffic = &mut node.state.borrow_mut().traffic;
            let written = bytes.len() - begin;
            traffic.add(TrafficTarget::Control, message.kind(), written);
        }
        tokio::time::timeout(WRITE_TIME, writer.write_all(&bytes)).await??;
    }
}
