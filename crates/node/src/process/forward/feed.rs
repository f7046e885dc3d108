//! What an entry hears from the control group.
//!
//! The entry holds a connection to every control instance that it knows. Each
//! tells all it knows at first and changes after that; what comes twice, late
//! or out of order changes nothing. No table is obeyed before a quorum has
//! confirmed that there is no newer one.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::bail;
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;
use wheelmast_core::process::forward::input::{EntryPeer, ForwardInput};
use wheelmast_core::version::route_table::RouteTable;
use wheelmast_wire::dialect::ForwardDialect;
use wheelmast_wire::group::GroupMessage;

use crate::connection::frame::{connect, write_frame, FrameReader};
use crate::process::forward::entry::{EntryDuty, EntryPhase};

/// Interval of signs of life.
const PING_INTERVAL: Duration = Duration::from_millis(800);
/// Time without any after which a connection counts as lost.
const SILENT_TIME: Duration = Duration::from_millis(2500);
/// Time between two tries to connect.
const RETRY_TIME: Duration = Duration::from_millis(120);
/// Tries without success after which an address that is no seed is dropped.
const MOST_TRIES: u32 = 60;

/// What an entry has heard.
#[derive(Debug)]
pub struct GroupFeed<D> {
    entry: Rc<EntryDuty<D>>,
    peer: EntryPeer,
    leaving: Notify,
    known: RefCell<HashSet<SocketAddr>>,
    /// The newest table heard of.
    newest: RefCell<Option<Arc<RouteTable>>>,
    /// Whether a quorum has confirmed what is the newest.
    confirmed: Cell<bool>,
}

impl<D: ForwardDialect> GroupFeed<D> {
    /// Returns a feed for an entry that the others know as `peer`.
    pub fn new(entry: Rc<EntryDuty<D>>, peer: EntryPeer) -> GroupFeed<D> {
        GroupFeed {
            entry,
            peer,
            leaving: Notify::new(),
            known: RefCell::default(),
            newest: RefCell::default(),
            confirmed: Cell::new(false),
        }
    }

    /// Follows a control instance, unless it is followed already.
    pub fn follow(self: &Rc<Self>, address: SocketAddr) {
        if self.known.borrow_mut().insert(address) {
            tokio::task::spawn_local(self.clone().keep_following(address));
        }
    }

    /// Tells the group that the entry takes no more requests of others.
    pub fn leave(&self) {
        self.leaving.notify_waiters();
    }

    async fn keep_following(self: Rc<Self>, address: SocketAddr) {
        let mut tries = 0;
        while tries < MOST_TRIES {
            let mut heard = false;
            if let Err(error) = self.listen(address, &mut heard).await {
                tracing::debug!(target: "entry", "control: {address} lost, {error:#}");
            }
            if heard {
                tracing::warn!(target: "entry", control = %address, "control: connection lost");
            }
            tries = if heard { 0 } else { tries + 1 };
            tokio::time::sleep(RETRY_TIME).await;
        }
        self.known.borrow_mut().remove(&address);
    }

    async fn listen(self: &Rc<Self>, address: SocketAddr, heard: &mut bool) -> anyhow::Result<()> {
        let mut stream = connect(address).await?;
        let have = self
            .entry
            .look(|machine| machine.table().map(|table| table.version()));
        let mut hello = Vec::new();
        let subscribe = GroupMessage::Subscribe {
            have: have.unwrap_or(0),
            peer: self.peer.clone(),
        };
        write_frame(&subscribe, &mut hello)?;
        stream.write_all(&hello).await?;
        let (reader, mut writer) = stream.split();
        let mut reader = FrameReader::new(reader);
        let mut ping = tokio::time::interval(PING_INTERVAL);
        ping.tick().await;
        let mut last = tokio::time::Instant::now();
        loop {
            tokio::select! {
                message = reader.next() => {
                    let message = message?;
                    last = tokio::time::Instant::now();
                    *heard = true;
                    self.take(message);
                }
                () = self.leaving.notified() => {
                    let mut bytes = Vec::new();
                    write_frame(&GroupMessage::Leaving, &mut bytes)?;
                    tokio::time::timeout(PING_INTERVAL, writer.write_all(&bytes)).await??;
                }
                _ = ping.tick() => {
                    if last.elapsed() > SILENT_TIME {
                        bail!("silent");
                    }
                    let mut bytes = Vec::new();
                    write_frame(&GroupMessage::Ping, &mut bytes)?;
                    tokio::time::timeout(PING_INTERVAL, writer.write_all(&bytes)).await??;
                }
            }
        }
    }

    fn take(self: &Rc<Self>, message: GroupMessage) {
        match message {
            GroupMessage::Notices(notices) => {
                for notice in notices {
                    self.entry.step(ForwardInput::Notice(notice));
                }
            }
            GroupMessage::Silent(servers) => {
                for (id, silent) in servers {
                    self.entry.step(ForwardInput::Silent(id, silent));
                }
            }
            GroupMessage::Routes { version, text } => self.take_routes(version, &text),
            GroupMessage::Confirmed { version } => self.confirm(version),
            GroupMessage::Members {
                entries,
                peers,
                control,
            } => {
                self.entry.step(ForwardInput::Entries(entries));
                self.entry.step(ForwardInput::Peers(peers));
                for address in control {
                    self.follow(address);
                }
            }
            _ => {}
        }
    }

    fn newest_version(&self) -> Option<u64> {
        let newest = self.newest.borrow();
        newest.as_ref().map(|table| table.version())
    }

    fn take_routes(&self, version: u64, text: &[u8]) {
        if self.newest_version().is_some_and(|have| version <= have) {
            return;
        }
        let table = D::read_table(text).and_then(RouteTable::check);
        match table {
            Ok(table) => {
                tracing::info!(target: "entry", table_version = version, routes = table.routes().len(), "table: heard of");
                let table = Arc::new(table);
                self.newest.replace(Some(table));
                self.obey();
            }
            Err(findings) => {
                tracing::error!(target: "entry", table_version = version, "table: not taken, {findings}");
            }
        }
    }

    /// Takes a quorum's word that no version above this one was acknowledged.
    fn confirm(&self, version: u64) {
        let have = self.newest_version().unwrap_or(0);
        if have >= version && !self.confirmed.replace(true) {
            tracing::info!(target: "entry", table_version = have, "table: confirmed");
            self.obey();
        }
    }

    /// Puts the newest table in force, once one was confirmed.
    fn obey(&self) {
        let newest = self.newest.borrow().clone();
        if let Some(table) = newest.filter(|_| self.confirmed.get()) {
            self.entry.step(ForwardInput::Table(table));
            self.entry.set_phase(EntryPhase::Serving);
        }
    }
}
