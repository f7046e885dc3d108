//! Feed of updates from the control group to an entry.
//!
//! The entry is connected to a few control instances. All of them send urgent updates;
//! one of them, the source, sends all state. Repeated, late or reordered updates have no
//! effect. The entry applies no route table before a quorum has confirmed that no newer one
//! exists.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::bail;
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;
use wheelmast_core::process::forward::input::{EntryPeer, ForwardInput};
use wheelmast_core::process::forward::machine::ForwardMachine;
use wheelmast_core::process::forward::place::DomainProximity;
use wheelmast_core::process::forward::source::ControlSite;
use wheelmast_core::process::forward::suspect::record::SuspectRecord;
use wheelmast_core::process::forward::suspect::SUSPECT_REPORT_INTERVAL;
use wheelmast_core::process::rollout::RolloutView;
use wheelmast_core::version::route_table::RouteTable;
use wheelmast_wire::dialect::ForwardDialect;
use wheelmast_wire::group::GroupMessage;
use wheelmast_wire::pack::unpack;

use crate::connection::frame::{connect, reconnect_delay, write_frame, FrameReader};
use crate::process::forward::entry::{EntryPhase, ForwardDriver};
use crate::process::forward::lines::{ControlConnections, ControlStatus, UNRESPONSIVE_TIMEOUT};

/// Interval of the pings to a control instance, and maximum time to write a message.
const PING_INTERVAL: Duration = Duration::from_millis(800);
/// Time without a received message after which a connection counts as lost.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(2500);
/// Delay between attempts to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(120);
/// Delay between the first attempts to connect. It is short because an entry that starts
/// together with its control group serves no request until it has received the route
/// table.
const INITIAL_RECONNECT_DELAY: Duration = Duration::from_millis(30);
/// Delay before the source is selected, in which more control instances may connect.
const SOURCE_SELECTION_DELAY: Duration = Duration::from_millis(40);
/// Time for the source to send a route table that another control instance has. After
/// this time the table is fetched from another instance.
const TABLE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for the source to send a route table while the entry has none and can serve no
/// request.
const INITIAL_TABLE_TIMEOUT: Duration = Duration::from_millis(60);

/// Connections of an entry to the control group, and the state received over them.
#[derive(Debug)]
pub struct GroupFeed<D> {
    pub(super) entry: Rc<ForwardDriver<D>>,
    peer: EntryPeer,
    /// Notified when the entry starts to leave.
    leave_requested: Notify,
    pub(super) connections: RefCell<ControlConnections>,
    /// Entries that accept requests, as sent by the source, by identity.
    peers: RefCell<BTreeMap<Box<str>, EntryPeer>>,
    /// Whether a selection of the source is scheduled.
    is_selection_scheduled: Cell<bool>,
    /// Highest table version for which a fetch was started.
    fetching_version: Cell<u64>,
    /// Newest route table received.
    newest_table: RefCell<Option<Arc<RouteTable>>>,
    /// Revision of the evacuated failure domains that the entry applies.
    evacuation_revision: Cell<u64>,
    /// Revision of the roll-outs that the entry applies.
    rollout_revision: Cell<u64>,
    /// Table version that a quorum has confirmed to be the newest, if any. No older table
    /// is applied.
    confirmed_version: Cell<Option<u64>>,
    /// Time of the last load report to the source.
    pub(super) load_sent_at: Cell<Option<Duration>>,
}

impl<D: ForwardDialect> GroupFeed<D> {
    /// Creates a feed without connections for `entry`, which other instances know as
    /// `peer`.
    pub fn new(entry: Rc<ForwardDriver<D>>, peer: EntryPeer) -> GroupFeed<D> {
        let connections = ControlConnections::new(peer.id(), entry.clock);
        GroupFeed {
            peer,
            leave_requested: Notify::new(),
            connections: RefCell::new(connections),
            peers: RefCell::default(),
            is_selection_scheduled: Cell::new(false),
            fetching_version: Cell::new(0),
            newest_table: RefCell::default(),
            evacuation_revision: Cell::new(0),
            rollout_revision: Cell::new(0),
            confirmed_version: Cell::new(None),
            load_sent_at: Cell::new(None),
            entry,
        }
    }

    /// Adds a control instance that the settings name.
    pub fn add_control_instance(self: &Rc<Self>, address: SocketAddr) {
        self.connections.borrow_mut().record_instance(address, None);
        self.update_connections();
    }

    /// Records the control instances that the control group named, and forgets others that
    /// could not be reached for long.
    fn update_instances(self: &Rc<Self>, instances: Vec<ControlSite>) {
        {
            let mut connections = self.connections.borrow_mut();
            connections.forget_lost_instances(&instances);
            for instance in instances {
                let proximity = self.proximity_of(&instance.domain);
                connections.record_instance(instance.address, Some((instance.domain, proximity)));
            }
        }
        self.update_connections();
    }

    /// Returns the proximity of a failure domain to the entry.
    fn proximity_of(&self, domain: &str) -> DomainProximity {
        if *domain == *self.peer.domain {
            return DomainProximity::Domain;
        }
        self.entry
            .with_machine(|machine| machine.proximity_of(domain))
    }

    /// Chooses the control instances to be connected to, and starts a task for each new
    /// one.
    fn update_connections(self: &Rc<Self>) {
        let newly_wanted = self.connections.borrow_mut().plan_connections();
        for address in newly_wanted {
            tracing::info!(target: "entry", control = %address, "control: followed");
            tokio::task::spawn_local(self.clone().run_connection(address));
        }
    }

    /// Notifies the control group that the entry accepts no more requests of other entries.
    pub fn announce_leaving(&self) {
        self.leave_requested.notify_waiters();
    }

    /// Connects to a control instance, and reconnects after failures, until the instance
    /// is no longer wanted.
    async fn run_connection(self: Rc<Self>, address: SocketAddr) {
        while self.connections.borrow_mut().should_follow(address) {
            let mut has_received = false;
            if let Err(error) = self.exchange_messages(address, &mut has_received).await {
                tracing::debug!(target: "entry", "control: {address} lost, {error:#}");
            }
            if self.connections.borrow_mut().remove_connection(address) {
                self.schedule_source_selection();
            }
            if !self.connections.borrow_mut().should_follow(address) {
                break;
            }
            if has_received {
                tracing::warn!(target: "entry", control = %address, "control: connection lost");
            }
            self.connections.borrow_mut().record_failure(address);
            self.update_connections();
            let failure_count = self.connections.borrow().consecutive_failures(address);
            tokio::time::sleep(reconnect_delay(
                failure_count,
                INITIAL_RECONNECT_DELAY,
                RECONNECT_DELAY,
            ))
            .await;
        }
    }

    /// Connects to a control instance and exchanges messages until the connection fails.
    /// Sets `has_received` when a message arrives.
    async fn exchange_messages(
        self: &Rc<Self>,
        address: SocketAddr,
        has_received: &mut bool,
    ) -> anyhow::Result<()> {
        let connect_started = Instant::now();
        let mut stream = connect(address).await?;
        let connect_time = connect_started.elapsed();
        let mut outbound = self
            .connections
            .borrow_mut()
            .add_connection(address, connect_time);
        let subscribe = GroupMessage::Subscribe {
            peer: self.peer.clone(),
            confirm: self.confirmed_version.get().is_none(),
        };
        let (reader, mut writer) = stream.split();
        send(&mut writer, &subscribe).await?;
        let suspects = self.list_suspects();
        if !suspects.is_empty() {
            send(&mut writer, &GroupMessage::Suspects(suspects)).await?;
        }
        let mut reader = FrameReader::new(reader);
        let mut ping = tokio::time::interval(PING_INTERVAL);
        ping.tick().await;
        let clock = self.entry.clock;
        let mut last_seen_at = clock.elapsed();
        loop {
            tokio::select! {
                message = reader.next() => {
                    let message = message?;
                    last_seen_at = clock.elapsed();
                    *has_received = true;
                    self.handle_message(address, message);
                }
                message = outbound.recv() => match message {
                    Some(message) => send(&mut writer, &message).await?,
                    None => bail!("replaced by another connection, or no longer wanted"),
                },
                () = self.leave_requested.notified() => send(&mut writer, &GroupMessage::Leaving).await?,
                _ = ping.tick() => {
                    if clock.elapsed() > last_seen_at + CONNECTION_TIMEOUT {
                        bail!("no message received in time");
                    }
                    if !self.has_source() {
                        self.schedule_source_selection();
                    }
                    if clock.elapsed() > last_seen_at + UNRESPONSIVE_TIMEOUT {
                        self.update_connections();
                        if self.is_source(address) {
                            self.schedule_source_selection();
                        }
                    }
                    if let Some(message) = self.build_ping(address) {
                        send(&mut writer, &message).await?;
                    }
                }
            }
        }
    }

    /// Returns the next ping. To the source, the outcome counts of the versions that are
    /// being rolled out are sent in place of a plain ping, if there are any. Without them,
    /// no ping is due if a load report was sent recently.
    fn build_ping(&self, address: SocketAddr) -> Option<GroupMessage> {
        if !self.is_source(address) {
            return Some(GroupMessage::Ping);
        }
        let outcome_counts = self.entry.take_outcome_counts();
        if !outcome_counts.is_empty() {
            return Some(GroupMessage::Tallies(outcome_counts));
        }
        (!self.is_load_recent()).then_some(GroupMessage::Ping)
    }

    /// Handles a message of a control instance.
    fn handle_message(self: &Rc<Self>, address: SocketAddr, message: GroupMessage) {
        self.connections.borrow_mut().received_message(address);
        match message {
            GroupMessage::Notices(announcements) => {
                for announcement in announcements {
                    self.entry.step(ForwardInput::Announcement(announcement));
                }
            }
            GroupMessage::LeaseExpiry(servers) => {
                for (id, is_expired) in servers {
                    self.entry.step(ForwardInput::LeaseExpiry(id, is_expired));
                }
            }
            GroupMessage::Suspects(records) => self.handle_suspects(records),
            GroupMessage::Routes { version, packed } => self.handle_table(version, &packed),
            GroupMessage::Evacuations { revision, domains } => {
                self.handle_evacuations(revision, domains);
            }
            GroupMessage::Confirmed { version } => self.handle_confirmation(version),
            GroupMessage::Rollouts { revision, views } => self.handle_rollouts(revision, views),
            GroupMessage::Caps { tag, grants } => self.entry.caps.handle_grant(tag, &grants),
            GroupMessage::Members {
                entries,
                joined,
                left,
            } if self.is_source(address) => {
                self.entry.step(ForwardInput::EntryCount(entries));
                self.update_peers(joined, &left);
            }
            GroupMessage::LoadSummary(summary) if self.is_source(address) => {
                self.entry.step(ForwardInput::LoadSummary(summary));
            }
            GroupMessage::Control(instances) => self.update_instances(instances),
            GroupMessage::Here {
                domain,
                settled,
                fresh,
                version,
            } => {
                let proximity = self.proximity_of(&domain);
                let is_near = proximity == DomainProximity::Domain;
                let place = Some((domain, proximity));
                self.connections
                    .borrow_mut()
                    .record_instance(address, place);
                let status = ControlStatus {
                    is_near,
                    has_quorum: settled,
                    started_recently: fresh,
                    version,
                };
                if settled && self.is_source(address) {
                    self.entry.step(ForwardInput::ControlContact);
                }
                if self.connections.borrow_mut().update_status(address, status) {
                    self.schedule_source_selection();
                }
                self.update_connections();
                self.fetch_if_newer(version);
            }
            _ => {}
        }
    }

    /// Returns the suspect records that the entry has. A suspect is a request under which
    /// servers crashed.
    fn list_suspects(&self) -> Vec<SuspectRecord> {
        let list = |machine: &ForwardMachine| machine.suspect_records().cloned().collect();
        self.entry.with_machine(list)
    }

    /// Handles suspect records that other instances have sent.
    fn handle_suspects(&self, records: Vec<SuspectRecord>) {
        if records.is_empty() {
            return;
        }
        for record in &records {
            tracing::info!(target: "entry", mark = %record.mark, round = record.round, ends = record.crash_count(), tried = record.has_failed_canaries(), "request: suspect, reported by the control group");
        }
        self.entry.step(ForwardInput::Suspects(records));
    }

    /// Sends the suspect records that the entry creates or changes to all connected
    /// control instances, until the entry ends.
    ///
    /// Sends the first record at once, and those that follow within
    /// `SUSPECT_REPORT_INTERVAL` together. All instances receive them, as any of them may
    /// be partitioned from the group.
    pub async fn publish_suspects(self: Rc<Self>) {
        loop {
            let records = self.entry.take_unpublished_suspects().await;
            for record in &records {
                tracing::warn!(target: "entry", mark = %record.mark, round = record.round, ends = record.crash_count(), tried = record.has_failed_canaries(), "request: suspect, servers crashed under it");
            }
            self.connections
                .borrow()
                .send_to_all(&GroupMessage::Suspects(records));
            tokio::time::sleep(SUSPECT_REPORT_INTERVAL).await;
        }
    }

    /// Forwards the entry's requests for tokens of capped workspaces (customers with a
    /// rate limit) to the source, until the entry ends.
    pub async fn forward_cap_requests(self: Rc<Self>) {
        let Some(mut requests) = self.entry.caps.take_request_receiver() else {
            return;
        };
        while let Some(request) = requests.recv().await {
            self.connections.borrow().send_to_source(request);
        }
    }

    /// Updates the entries that accept requests with those that joined and left.
    fn update_peers(&self, joined: Vec<EntryPeer>, left: &[Box<str>]) {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|id, _| !left.contains(id));
        peers.extend(joined.into_iter().map(|peer| (peer.id(), peer)));
        let peers = peers.values().cloned().collect();
        self.entry.step(ForwardInput::Peers(peers));
    }

    /// Starts to fetch the route table in force at a control instance, if its version is
    /// newer than the newest table and than the version being fetched.
    fn fetch_if_newer(self: &Rc<Self>, version: u64) {
        if version > self.newest_version().unwrap_or(0) && version > self.fetching_version.get() {
            self.fetching_version.set(version);
            tokio::task::spawn_local(self.clone().fetch_table(version));
        }
    }

    /// Schedules a selection of the source after a short delay, unless one is scheduled.
    fn schedule_source_selection(self: &Rc<Self>) {
        if self.is_selection_scheduled.replace(true) {
            return;
        }
        let feed = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(SOURCE_SELECTION_DELAY).await;
            feed.is_selection_scheduled.set(false);
            feed.run_source_selection();
        });
    }

    /// Selects the source anew.
    fn run_source_selection(&self) {
        let have = self.newest_version().unwrap_or(0);
        let servers = || self.entry.with_machine(|machine| machine.server_digests());
        if self.connections.borrow_mut().select_source(have, servers) {
            // The new source sends all entries again.
            self.peers.borrow_mut().clear();
        }
    }

    fn has_source(&self) -> bool {
        self.connections.borrow().source().is_some()
    }

    fn is_source(&self, address: SocketAddr) -> bool {
        self.connections.borrow().source() == Some(address)
    }

    /// Waits for the source to send a table of at least `version`, and otherwise fetches
    /// it from the other control instances that have it, one after the other.
    async fn fetch_table(self: Rc<Self>, version: u64) {
        let mut tried = HashSet::new();
        loop {
            let wait = if self.newest_version().is_none() {
                INITIAL_TABLE_TIMEOUT
            } else {
                TABLE_TIMEOUT
            };
            tokio::time::sleep(wait).await;
            let have = self.newest_version().unwrap_or(0);
            if have >= version {
                return;
            }
            if !self.connections.borrow().fetch(version, have, &mut tried) {
                // No instance is left. One that has the version and connects again reports it,
                // which starts another fetch.
                self.fetching_version.set(have);
                return;
            }
        }
    }

    fn newest_version(&self) -> Option<u64> {
        let newest_table = self.newest_table.borrow();
        newest_table.as_ref().map(|table| table.version())
    }

    /// Handles a route table from a control instance: checks it and applies it if it is
    /// newer.
    fn handle_table(&self, version: u64, packed: &[u8]) {
        if self.newest_version().is_some_and(|have| version <= have) {
            return;
        }
        let text = match unpack(packed) {
            Ok(text) => text,
            Err(error) => {
                tracing::error!(target: "entry", table_version = version, "table: rejected, could not unpack it: {error}");
                return;
            }
        };
        match D::read_table(&text).and_then(RouteTable::check) {
            Ok(table) => {
                tracing::info!(target: "entry", table_version = version, routes = table.routes().len(), "table: received");
                let table = Arc::new(table);
                self.newest_table.replace(Some(table));
                self.apply_newest_table();
            }
            Err(findings) => {
                tracing::error!(target: "entry", table_version = version, "table: rejected, {findings}");
            }
        }
    }

    /// Applies the evacuated failure domains, which get no requests, unless the revision is
    /// old.
    fn handle_evacuations(&self, revision: u64, domains: Vec<Box<str>>) {
        if revision <= self.evacuation_revision.get() {
            return;
        }
        self.evacuation_revision.set(revision);
        tracing::info!(target: "entry", revision, ?domains, "evacuation: obeyed");
        self.entry.step(ForwardInput::EvacuatedDomains(domains));
    }

    /// Applies the roll-outs of server versions, unless the revision is old.
    fn handle_rollouts(&self, revision: u64, views: Vec<RolloutView>) {
        if revision <= self.rollout_revision.get() {
            return;
        }
        self.rollout_revision.set(revision);
        tracing::info!(target: "entry", revision, rollouts = views.len(), "rollout: obeyed");
        self.entry.step(ForwardInput::Rollouts(views));
    }

    /// Handles a quorum's confirmation that no table version above `version` was
    /// acknowledged. The table itself may arrive later.
    fn handle_confirmation(self: &Rc<Self>, version: u64) {
        if self.confirmed_version.get().is_some() {
            return;
        }
        self.confirmed_version.set(Some(version));
        tracing::info!(target: "entry", table_version = version, "table: confirmed");
        self.apply_newest_table();
        self.fetch_if_newer(version);
    }

    /// Puts the newest table in force, unless no version is confirmed yet or the table is
    /// older than the confirmed version.
    fn apply_newest_table(&self) {
        let Some(confirmed_version) = self.confirmed_version.get() else {
            return;
        };
        let newest_table = self.newest_table.borrow().clone();
        if let Some(table) = newest_table.filter(|table| table.version() >= confirmed_version) {
            self.entry.step(ForwardInput::Table(table));
            self.entry.set_phase(EntryPhase::Serving);
        }
    }
}

/// Writes a message to a control instance. Fails if that takes longer than
/// `PING_INTERVAL`.
async fn send<W: AsyncWriteExt + Unpin>(
    writer: &mut W,
    message: &GroupMessage,
) -> anyhow::Result<()> {
    let mut bytes = Vec::new();
    write_frame(message, &mut bytes)?;
    tokio::time::timeout(PING_INTERVAL, writer.write_all(&bytes)).await??;
    Ok(())
}
