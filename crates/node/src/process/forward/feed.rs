//! What an entry hears from the control group.
//!
//! The entry is connected to a few control instances. All of these tell it what
//! is urgent; one, its source, tells everything. What comes twice,
//! late or out of order changes nothing. No table is obeyed before a quorum has
//! confirmed that there is no newer one.

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

use crate::connection::frame::{connect, retry_wait, write_frame, FrameReader};
use crate::process::forward::entry::{EntryDuty, EntryPhase};
use crate::process::forward::lines::{LineBook, LineState, QUIET_TIME};

/// Interval of signs of life.
const PING_INTERVAL: Duration = Duration::from_millis(800);
/// Time without any after which a connection counts as lost.
const SILENT_TIME: Duration = Duration::from_millis(2500);
/// Time between two tries to connect.
const RETRY_TIME: Duration = Duration::from_millis(120);
/// The same for the first tries: an entry that starts with its control group
/// serves no request before it has heard of it.
const FIRST_RETRY_TIME: Duration = Duration::from_millis(30);
/// Time that is let pass before a source is chosen, as others may be about to
/// connect.
const CHOOSE_PAUSE: Duration = Duration::from_millis(40);
/// Time that the source has to bring a table that another instance has.
const TABLE_TIME: Duration = Duration::from_millis(200);
/// The same while the entry has no table at all, and can serve nothing.
const FIRST_TABLE_TIME: Duration = Duration::from_millis(60);

/// What an entry has heard.
#[derive(Debug)]
pub struct GroupFeed<D> {
    entry: Rc<EntryDuty<D>>,
    peer: EntryPeer,
    leaving: Notify,
    lines: RefCell<LineBook>,
    /// The entries that the source told of, by identity.
    peers: RefCell<BTreeMap<Box<str>, EntryPeer>>,
    /// Whether a choice of the source is pending.
    choosing: Cell<bool>,
    /// The highest version that is being fetched.
    fetching: Cell<u64>,
    /// The newest table heard of.
    newest: RefCell<Option<Arc<RouteTable>>>,
    /// Revision of the failure domains out of use that the entry obeys.
    evacuations: Cell<u64>,
    /// Revision of the roll-outs that the entry obeys.
    rollouts: Cell<u64>,
    /// The version that a quorum has confirmed to be the newest; nothing older
    /// is obeyed.
    confirmed: Cell<Option<u64>>,
}

impl<D: ForwardDialect> GroupFeed<D> {
    /// Returns a feed for an entry that the others know as `peer`.
    pub fn new(entry: Rc<EntryDuty<D>>, peer: EntryPeer) -> GroupFeed<D> {
        let lines = LineBook::new(peer.id(), entry.clock);
        GroupFeed {
            peer,
            leaving: Notify::new(),
            lines: RefCell::new(lines),
            peers: RefCell::default(),
            choosing: Cell::new(false),
            fetching: Cell::new(0),
            newest: RefCell::default(),
            evacuations: Cell::new(0),
            rollouts: Cell::new(0),
            confirmed: Cell::new(None),
            entry,
        }
    }

    /// Takes note of a control instance that the settings name.
    pub fn follow(self: &Rc<Self>, address: SocketAddr) {
        self.lines.borrow_mut().learn_site(address, None);
        self.plan_lines();
    }

    /// Takes over which control instances there are.
    fn take_sites(self: &Rc<Self>, sites: Vec<ControlSite>) {
        {
            let mut lines = self.lines.borrow_mut();
            lines.forget_sites(&sites);
            for site in sites {
                let place = self.proximity_of(&site.domain);
                lines.learn_site(site.address, Some((site.domain, place)));
            }
        }
        self.plan_lines();
    }

    /// Returns how far off a failure domain is.
    fn proximity_of(&self, domain: &str) -> DomainProximity {
        if *domain == *self.peer.domain {
            return DomainProximity::Domain;
        }
        self.entry.look(|machine| machine.proximity_of(domain))
    }

    /// Chooses the control instances to be connected to, and follows the new
    /// ones.
    fn plan_lines(self: &Rc<Self>) {
        let begun = self.lines.borrow_mut().plan();
        for address in begun {
            tracing::info!(target: "entry", control = %address, "control: followed");
            tokio::task::spawn_local(self.clone().keep_following(address));
        }
    }

    /// Tells the group that the entry takes no more requests of others.
    pub fn leave(&self) {
        self.leaving.notify_waiters();
    }

    async fn keep_following(self: Rc<Self>, address: SocketAddr) {
        while self.lines.borrow_mut().keeps_following(address) {
            let mut heard = false;
            if let Err(error) = self.listen(address, &mut heard).await {
                tracing::debug!(target: "entry", "control: {address} lost, {error:#}");
            }
            if self.lines.borrow_mut().drop_line(address) {
                self.reconsider();
            }
            if !self.lines.borrow_mut().keeps_following(address) {
                break;
            }
            if heard {
                tracing::warn!(target: "entry", control = %address, "control: connection lost");
            }
            self.lines.borrow_mut().fail_site(address);
            self.plan_lines();
            let failures = self.lines.borrow().failures(address);
            tokio::time::sleep(retry_wait(failures, FIRST_RETRY_TIME, RETRY_TIME)).await;
        }
    }

    async fn listen(self: &Rc<Self>, address: SocketAddr, heard: &mut bool) -> anyhow::Result<()> {
        let begun = Instant::now();
        let mut stream = connect(address).await?;
        let connect_time = begun.elapsed();
        let mut wishes = self.lines.borrow_mut().add_line(address, connect_time);
        let subscribe = GroupMessage::Subscribe {
            peer: self.peer.clone(),
            confirm: self.confirmed.get().is_none(),
        };
        let (reader, mut writer) = stream.split();
        send(&mut writer, &subscribe).await?;
        let suspects = self.known_suspects();
        if !suspects.is_empty() {
            send(&mut writer, &GroupMessage::Suspects(suspects)).await?;
        }
        let mut reader = FrameReader::new(reader);
        let mut ping = tokio::time::interval(PING_INTERVAL);
        ping.tick().await;
        let clock = self.entry.clock;
        let mut last = clock.elapsed();
        loop {
            tokio::select! {
                message = reader.next() => {
                    let message = message?;
                    last = clock.elapsed();
                    *heard = true;
                    self.take(address, message);
                }
                wish = wishes.recv() => match wish {
                    Some(wish) => send(&mut writer, &wish).await?,
                    None => bail!("replaced"),
                },
                () = self.leaving.notified() => send(&mut writer, &GroupMessage::Leaving).await?,
                _ = ping.tick() => {
                    if clock.elapsed() > last + SILENT_TIME {
                        bail!("silent");
                    }
                    if !self.has_source() {
                        self.reconsider();
                    }
                    if clock.elapsed() > last + QUIET_TIME {
                        self.plan_lines();
                        if self.is_source(address) {
                            self.reconsider();
                        }
                    }
                    let sign = self.sign_of_life(address);
                    send(&mut writer, &sign).await?;
                }
            }
        }
    }

    /// Returns what is sent as a sign of life. The source is told at once what
    /// is to be told of versions.
    fn sign_of_life(&self, address: SocketAddr) -> GroupMessage {
        if !self.is_source(address) {
            return GroupMessage::Ping;
        }
        let tallies = self.entry.take_outcome_counts();
        if tallies.is_empty() {
            GroupMessage::Ping
        } else {
            GroupMessage::Tallies(tallies)
        }
    }

    fn take(self: &Rc<Self>, address: SocketAddr, message: GroupMessage) {
        self.lines.borrow_mut().heard(address);
        match message {
            GroupMessage::Notices(notices) => {
                for notice in notices {
                    self.entry.step(ForwardInput::Announcement(notice));
                }
            }
            GroupMessage::LeaseExpiry(servers) => {
                for (id, silent) in servers {
                    self.entry.step(ForwardInput::LeaseExpiry(id, silent));
                }
            }
            GroupMessage::Suspects(records) => self.take_suspects(records),
            GroupMessage::Routes { version, packed } => self.take_routes(version, &packed),
            GroupMessage::Evacuations { revision, domains } => {
                self.take_evacuations(revision, domains);
            }
            GroupMessage::Confirmed { version } => self.confirm(version),
            GroupMessage::Rollouts { revision, views } => self.take_rollouts(revision, views),
            GroupMessage::Caps { tag, grants } => self.entry.caps.handle_grant(tag, &grants),
            GroupMessage::Members {
                entries,
                joined,
                left,
            } if self.is_source(address) => {
                self.entry.step(ForwardInput::EntryCount(entries));
                self.take_peers(joined, &left);
            }
            GroupMessage::Control(sites) => self.take_sites(sites),
            GroupMessage::Here {
                domain,
                settled,
                fresh,
                version,
            } => {
                let place = self.proximity_of(&domain);
                let is_near = place == DomainProximity::Domain;
                let place = Some((domain, place));
                self.lines.borrow_mut().learn_site(address, place);
                let state = LineState {
                    is_near,
                    has_quorum: settled,
                    started_recently: fresh,
                    version,
                };
                if settled && self.is_source(address) {
                    self.entry.step(ForwardInput::ControlContact);
                }
                if self.lines.borrow_mut().take_state(address, state) {
                    self.reconsider();
                }
                self.plan_lines();
                self.take_version(version);
            }
            _ => {}
        }
    }

    fn known_suspects(&self) -> Vec<SuspectRecord> {
        let known = |machine: &ForwardMachine| machine.suspect_records().cloned().collect();
        self.entry.look(known)
    }

    /// Takes what others know of requests under which servers ended.
    fn take_suspects(&self, records: Vec<SuspectRecord>) {
        if records.is_empty() {
            return;
        }
        for record in &records {
            tracing::info!(target: "entry", mark = %record.mark, round = record.round, ends = record.ends.len(), tried = record.has_failed_canaries(), "request: suspect, heard of");
        }
        self.entry.step(ForwardInput::Suspects(records));
    }

    /// Tells every control instance what the entry learns of requests under
    /// which servers ended, until the entry ends: the first at once, and what
    /// comes soon after it together. Each of them may be cut off.
    pub async fn tell_suspects(self: Rc<Self>) {
        loop {
            let records = self.entry.next_suspects().await;
            for record in &records {
                tracing::warn!(target: "entry", mark = %record.mark, round = record.round, ends = record.ends.len(), tried = record.has_failed_canaries(), "request: suspect, servers ended under it");
            }
            self.lines
                .borrow()
                .tell_all(&GroupMessage::Suspects(records));
            tokio::time::sleep(SUSPECT_REPORT_INTERVAL).await;
        }
    }

    /// Passes questions for tokens of capped workspaces on to the source, until
    /// the entry ends.
    pub async fn ask_caps(self: Rc<Self>) {
        let Some(mut orders) = self.entry.caps.take_orders() else {
            return;
        };
        while let Some(order) = orders.recv().await {
            self.lines.borrow().tell_source(order);
        }
    }

    /// Takes which entries take requests now, and which no longer do.
    fn take_peers(&self, joined: Vec<EntryPeer>, left: &[Box<str>]) {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|id, _| !left.contains(id));
        peers.extend(joined.into_iter().map(|peer| (peer.id(), peer)));
        let peers = peers.values().cloned().collect();
        self.entry.step(ForwardInput::Peers(peers));
    }

    /// Takes note of a version that is in force at a control instance.
    fn take_version(self: &Rc<Self>, version: u64) {
        if version > self.newest_version().unwrap_or(0) && version > self.fetching.get() {
            self.fetching.set(version);
            tokio::task::spawn_local(self.clone().fetch(version));
        }
    }

    /// Chooses the source anew in a moment.
    fn reconsider(self: &Rc<Self>) {
        if self.choosing.replace(true) {
            return;
        }
        let feed = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CHOOSE_PAUSE).await;
            feed.choosing.set(false);
            feed.choose();
        });
    }

    fn choose(&self) {
        let have = self.newest_version().unwrap_or(0);
        let servers = || self.entry.look(|machine| machine.server_digests());
        if self.lines.borrow_mut().choose(have, servers) {
            // The new source tells of all entries anew.
            self.peers.borrow_mut().clear();
        }
    }

    fn has_source(&self) -> bool {
        self.lines.borrow().source().is_some()
    }

    fn is_source(&self, address: SocketAddr) -> bool {
        self.lines.borrow().source() == Some(address)
    }

    /// Fetches a table that the source does not bring in time, from one after
    /// the other that has it.
    async fn fetch(self: Rc<Self>, version: u64) {
        let mut tried = HashSet::new();
        loop {
            let wait = if self.newest_version().is_none() {
                FIRST_TABLE_TIME
            } else {
                TABLE_TIME
            };
            tokio::time::sleep(wait).await;
            let have = self.newest_version().unwrap_or(0);
            if have >= version {
                return;
            }
            if !self.lines.borrow().fetch(version, have, &mut tried) {
                // Whoever comes back with it says so again.
                self.fetching.set(have);
                return;
            }
        }
    }

    fn newest_version(&self) -> Option<u64> {
        let newest = self.newest.borrow();
        newest.as_ref().map(|table| table.version())
    }

    fn take_routes(&self, version: u64, packed: &[u8]) {
        if self.newest_version().is_some_and(|have| version <= have) {
            return;
        }
        let text = match unpack(packed) {
            Ok(text) => text,
            Err(error) => {
                tracing::error!(target: "entry", table_version = version, "table: not taken, {error}");
                return;
            }
        };
        match D::read_table(&text).and_then(RouteTable::check) {
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

    /// Takes over which failure domains are out of use, unless it is older
    /// than what is known.
    fn take_evacuations(&self, revision: u64, domains: Vec<Box<str>>) {
        if revision <= self.evacuations.get() {
            return;
        }
        self.evacuations.set(revision);
        tracing::info!(target: "entry", revision, ?domains, "evacuation: obeyed");
        self.entry.step(ForwardInput::EvacuatedDomains(domains));
    }

    /// Takes over the roll-outs, unless they are older than what is known.
    fn take_rollouts(&self, revision: u64, views: Vec<RolloutView>) {
        if revision <= self.rollouts.get() {
            return;
        }
        self.rollouts.set(revision);
        tracing::info!(target: "entry", revision, rollouts = views.len(), "rollout: obeyed");
        self.entry.step(ForwardInput::Rollouts(views));
    }

    /// Takes a quorum's word that no version above this one was acknowledged.
    /// The table itself may come later.
    fn confirm(self: &Rc<Self>, version: u64) {
        if self.confirmed.get().is_some() {
            return;
        }
        self.confirmed.set(Some(version));
        tracing::info!(target: "entry", table_version = version, "table: confirmed");
        self.obey();
        self.take_version(version);
    }

    /// Puts the newest table in force, if it is none that a quorum has
    /// confirmed to be old.
    fn obey(&self) {
        let Some(confirmed) = self.confirmed.get() else {
            return;
        };
        let newest = self.newest.borrow().clone();
        if let Some(table) = newest.filter(|table| table.version() >= confirmed) {
            self.entry.step(ForwardInput::Table(table));
            self.entry.set_phase(EntryPhase::Serving);
        }
    }
}

async fn send<W: AsyncWriteExt + Unpin>(
    writer: &mut W,
    message: &GroupMessage,
) -> anyhow::Result<()> {
    let mut bytes = Vec::new();
    write_frame(message, &mut bytes)?;
    tokio::time::timeout(PING_INTERVAL, writer.write_all(&bytes)).await??;
    Ok(())
}
