//! The state and helpers of one control instance, shared by its tasks, which all run on
//! one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use tokio::sync::Notify;
use wheelmast_core::finding::FindingList;
use wheelmast_core::process::control::replica::ReplicaMachine;
use wheelmast_core::process::control::state::MemberRecord;
use wheelmast_core::process::forward::directory::ServerObserver;
use wheelmast_core::process::forward::source::ControlSite;
use wheelmast_core::version::route_table::RouteDraft;
use wheelmast_wire::group::GroupMessage;

use crate::connection::client_memory::ClientMemory;
use crate::process::clock::ProcessClock;
use crate::process::group::disk::DiskWrite;
use crate::process::group::link::run_link;
use crate::process::group::state::{EntryRoster, GroupState};
use crate::process::loop_watch::LoopDelayMonitor;
use crate::ring::bounded_ring;
use crate::settings::role::RoleSettings;

/// Interval at which the delay of the event loop is measured.
const LOOP_DELAY_INTERVAL: Duration = Duration::from_millis(100);
/// Messages that may wait for another control instance.
const LINK_RING_LENGTH: usize = 1024;
/// Interval of the periodic housekeeping; one tick.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// Ticks between two hello messages of an instance that is a voting member.
const HELLO_TICKS: u32 = 8;
/// Ticks between two messages that list newly observed servers.
const RENEWAL_TICKS: u32 = 2;
/// Ticks between two status messages to subscribed entries.
const STATUS_TICKS: u32 = 4;
/// Ticks between two exchanges of the load reports.
const LOAD_TICKS: u32 = 4;
/// Ticks between two log lines with the counts of sent messages.
const TRAFFIC_LOG_TICKS: u32 = 40;
/// Time after the start in which the instance may not have received the state of the
/// other control instances yet.
pub(super) const INITIAL_SYNC_TIME: Duration = Duration::from_secs(3);

/// Parses a route table as an operator sent it.
pub type TableReader = fn(&[u8]) -> Result<RouteDraft, FindingList>;

/// One control instance.
#[derive(Debug)]
pub struct GroupNode {
    /// The settings of this instance.
    pub settings: RoleSettings,
    /// Replica id, instance name and address of this instance.
    pub local_member: MemberRecord,
    /// Address for the HTTP calls of servers and operators.
    pub call_address: SocketAddr,
    /// The mutable state of this instance.
    pub state: RefCell<GroupState>,
    /// Sends writes to the disk thread.
    pub disk: SyncSender<DiskWrite>,
    /// Notified when the time of the replica's next timer may have changed.
    pub wake_changed: Notify,
    /// Notified when a committed state (route table, evacuations or roll-outs) came in
    /// force.
    pub state_published: Notify,
    /// Notified when records of suspect requests changed and must be written to disk.
    pub suspects_to_persist: Notify,
    /// Notified when records of suspect requests changed and must be sent to others.
    pub suspects_to_send: Notify,
    /// Notified when a server's departure was recorded and must be written to disk.
    pub departures_to_persist: Notify,
    /// Notified when departures were synced to disk.
    pub departures_synced: Notify,
    /// Notified when an entry requested tokens of a capped workspace.
    pub caps_used: Notify,
    /// Parses a route table in the operators' dialect.
    pub read_table: TableReader,
    /// Memory for the requests of servers and operators, and the answers to them.
    pub client_memory: ClientMemory,
    /// Measures the time since the process started.
    pub clock: ProcessClock,
    /// Measures how late the event loop accepts connections.
    pub loop_delay: LoopDelayMonitor,
    tag_counter: Cell<u64>,
    seeds: RefCell<HashSet<SocketAddr>>,
    /// When a refused announcement was last logged.
    pub(super) refusal_logged_at: Cell<Option<Duration>>,
}

impl GroupNode {
    /// Returns a control instance with the given state.
    pub fn new(
        settings: RoleSettings,
        local_member: MemberRecord,
        state: GroupState,
        disk: SyncSender<DiskWrite>,
        clock: ProcessClock,
        read_table: TableReader,
    ) -> GroupNode {
        GroupNode {
            call_address: settings.control.unwrap_or(local_member.address),
            client_memory: ClientMemory::new(settings.clients.memory_bytes()),
            settings,
            local_member,
            state: RefCell::new(state),
            disk,
            wake_changed: Notify::new(),
            state_published: Notify::new(),
            suspects_to_persist: Notify::new(),
            suspects_to_send: Notify::new(),
            departures_to_persist: Notify::new(),
            departures_synced: Notify::new(),
            caps_used: Notify::new(),
            read_table,
            clock,
            loop_delay: LoopDelayMonitor::with_interval(clock, LOOP_DELAY_INTERVAL),
            tag_counter: Cell::new(rand::random()),
            seeds: RefCell::default(),
            refusal_logged_at: Cell::new(None),
        }
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    /// Returns an identifier for a request. Identifiers start at a random number, so
    /// that a late answer to a request of before a restart matches no current one.
    pub fn next_tag(&self) -> u64 {
        let tag = self.tag_counter.get();
        self.tag_counter.set(tag.wrapping_add(1));
        tag
    }

    /// Opens a link to another control instance, unless one exists already.
    pub fn ensure_link(self: &Rc<Self>, address: SocketAddr) {
        if address == self.local_member.address || self.state.borrow().links.contains_key(&address)
        {
            return;
        }
        let (sender, ring) = bounded_ring(LINK_RING_LENGTH);
        self.state.borrow_mut().links.insert(address, sender);
        tokio::task::spawn_local(run_link(self.clone(), address, ring));
    }

    /// Replaces the seeds (control instances named in the settings) and opens a link to
    /// each.
    pub fn set_seeds(self: &Rc<Self>, seeds: Vec<SocketAddr>) {
        for seed in &seeds {
            self.ensure_link(*seed);
        }
        self.seeds.replace(seeds.into_iter().collect());
    }

    /// Returns whether the control instance at this address is a member of the group or
    /// a seed. Links to such instances are kept although connecting fails.
    pub fn is_member_or_seed(&self, address: SocketAddr) -> bool {
        let state = self.state.borrow();
        let replica = state.replica.as_ref();
        let is_member = replica.is_some_and(|replica| {
            let mut members = replica.member_records().iter();
            members.any(|member| member.address == address)
        });
        is_member || self.seeds.borrow().contains(&address)
    }

    /// Returns the hello message of this instance, with digests of its followers and of
    /// the servers that it observes.
    pub fn build_hello(&self) -> GroupMessage {
        let state = self.state.borrow();
        let mut known: Vec<SocketAddr> = state.links.keys().copied().collect();
        known.sort_unstable();
        GroupMessage::Hello {
            from: self.local_member.clone(),
            domain: self.settings.domain.as_str().into(),
            calls: self.call_address,
            learns: self.requests_learner_role(),
            known,
            followers: state.followers.digest(),
            servers: state.directory.digest(ServerObserver::Local),
        }
    }

    /// Measures the delay of the event loop until the instance ends.
    pub async fn watch_loop_delay(self: Rc<Self>) {
        let log_delay = |late: Duration| {
            tracing::warn!(target: "group", late_ms = late.as_millis() as u64, "control: held up");
        };
        self.loop_delay.run(log_delay).await;
    }

    /// Performs the periodic tasks: hello messages, expiry of leases, messages to other
    /// control instances and to entries, and saving the known servers.
    pub async fn run_housekeeping(self: Rc<Self>) {
        let mut tick = tokio::time::interval(HOUSEKEEPING_INTERVAL);
        let mut ticks: u32 = 0;
        loop {
            tick.tick().await;
            ticks += 1;
            self.send_hello(ticks);
            self.expire_servers();
            if ticks.is_multiple_of(RENEWAL_TICKS) {
                self.send_renewals();
            }
            self.publish_members();
            if ticks.is_multiple_of(LOAD_TICKS) {
                self.exchange_load();
            }
            if ticks.is_multiple_of(TRAFFIC_LOG_TICKS) {
                let sent = self.state.borrow().traffic.to_string();
                tracing::info!(target: "group", sent, "group: sent, messages and bytes by kind");
            }
            if ticks.is_multiple_of(STATUS_TICKS) {
                self.persist_servers();
                let mut state = self.state.borrow_mut();
                let status = self.build_status(&state);
                state.send_to_entries(status);
            }
        }
    }

    fn send_hello(&self, ticks: u32) {
        if self.requests_learner_role() || ticks.is_multiple_of(HELLO_TICKS) {
            let hello = self.build_hello();
            self.state.borrow().send_to_control(&hello);
        }
    }

    /// Returns whether this instance asks to join the group as a learner (a replica
    /// that receives the log and has no vote).
    fn requests_learner_role(&self) -> bool {
        let state = self.state.borrow();
        let replica = state.replica.as_ref();
        replica.is_some_and(ReplicaMachine::should_join_as_learner)
    }

    /// Returns the status message for entries. `settled` means that this instance is
    /// connected to a quorum with a leader; `fresh` means that it started recently.
    pub fn build_status(&self, state: &GroupState) -> GroupMessage {
        let now = self.now();
        let replica = state.replica.as_ref();
        let has_leader = replica.is_some_and(|replica| replica.leader().is_some());
        let is_in_contact = state.count_contacts(now) >= self.settings.tolerate;
        GroupMessage::Here {
            domain: self.settings.domain.as_str().into(),
            settled: has_leader && is_in_contact,
            fresh: now < INITIAL_SYNC_TIME,
            version: state.published_table.version,
        }
    }

    /// Sends the list of control instances and the changes among entries to those
    /// subscribed entries that need them, and the follower changes to other control
    /// instances.
    pub fn publish_members(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let addresses = state.last_contacts.keys();
        let sites = addresses.filter_map(|address| {
            let location = state.locations.get(address)?;
            Some(ControlSite {
                address: *address,
                domain: location.domain.clone(),
            })
        });
        let mut control: Vec<ControlSite> = sites.collect();
        control.push(ControlSite {
            address: self.local_member.address,
            domain: self.settings.domain.as_str().into(),
        });
        control.sort_unstable();
        if control != state.last_sent_control {
            state.last_sent_control.clone_from(&control);
            state.send_to_entries(GroupMessage::Control(control));
        }
        if let Some(update) = state.update_followers() {
            state.send_to_control(&update);
        }
        let followers = state.list_followers(now);
        let entries = state.update_entry_count(&followers, now);
        let accepting = followers
            .into_iter()
            .filter(|(_, takes_requests)| *takes_requests);
        let peers = accepting.map(|(peer, _)| peer).collect();
        state.apply_roster(EntryRoster { entries, peers });
    }
}
