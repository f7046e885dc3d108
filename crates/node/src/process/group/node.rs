//! One control instance; its tasks share it on one thread.

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

use crate::process::clock::ProcessClock;
use crate::process::group::disk::DiskOrder;
use crate::process::group::link::keep_link;
use crate::process::group::state::{GroupRoll, GroupState};
use crate::ring::bounded_ring;
use crate::settings::role::RoleSettings;

/// Longest time that an order may take: its operator gives up after a second
/// and sends it elsewhere.
pub(super) const ORDER_TIME: Duration = Duration::from_millis(900);
/// Messages that may wait for another control instance.
const LINK_RING: usize = 1024;
/// Interval at which the instance looks after what it holds.
const TICK: Duration = Duration::from_millis(250);
/// Ticks between two greetings of an instance that has its vote.
const HELLO_TICKS: u32 = 8;
/// Ticks between two rounds of renewals.
const RENEW_TICKS: u32 = 2;
/// Ticks between two signs of life to entries.
const HERE_TICKS: u32 = 4;
/// Ticks between two log lines of what was sent.
const TRAFFIC_TICKS: u32 = 40;
/// Time after the start in which the instance may not know yet what the
/// others know.
pub(super) const FRESH_TIME: Duration = Duration::from_secs(3);

/// Reads a route table as an operator sent it.
pub type TableReader = fn(&[u8]) -> Result<RouteDraft, FindingList>;

/// One control instance.
#[derive(Debug)]
pub struct GroupNode {
    /// Its settings.
    pub settings: RoleSettings,
    /// Who it is.
    pub me: MemberRecord,
    /// Where it takes the calls of servers and operators.
    pub calls: SocketAddr,
    /// What it holds.
    pub state: RefCell<GroupState>,
    /// Takes what is to be kept.
    pub disk: SyncSender<DiskOrder>,
    /// Wakes the replica's timer.
    pub wake: Notify,
    /// Tells that the table in force changed.
    pub published: Notify,
    /// Tells that there is news of requests under which servers ended, to be kept.
    pub suspects_changed: Notify,
    /// The same, to be told.
    pub suspects_heard: Notify,
    /// Tells that tokens of capped workspaces were asked for.
    pub caps_used: Notify,
    /// Reads a route table, in the dialect of the operators.
    pub read_table: TableReader,
    /// The time since the process started.
    pub clock: ProcessClock,
    tags: Cell<u64>,
    seeds: RefCell<HashSet<SocketAddr>>,
    /// When a refused announcement was last logged.
    pub(super) refusal_told: Cell<Option<Duration>>,
}

impl GroupNode {
    /// Returns an instance with this state.
    pub fn new(
        settings: RoleSettings,
        me: MemberRecord,
        state: GroupState,
        disk: SyncSender<DiskOrder>,
        clock: ProcessClock,
        read_table: TableReader,
    ) -> GroupNode {
        GroupNode {
            calls: settings.control.unwrap_or(me.address),
            settings,
            me,
            state: RefCell::new(state),
            disk,
            wake: Notify::new(),
            published: Notify::new(),
            suspects_changed: Notify::new(),
            suspects_heard: Notify::new(),
            caps_used: Notify::new(),
            read_table,
            clock,
            tags: Cell::new(rand::random()),
            seeds: RefCell::default(),
            refusal_told: Cell::new(None),
        }
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    /// Returns a name for a question or a request. Names of other lifetimes lie
    /// elsewhere: an answer may come after a restart.
    pub fn next_tag(&self) -> u64 {
        let tag = self.tags.get();
        self.tags.set(tag.wrapping_add(1));
        tag
    }

    /// Links to another control instance, unless there is a link already.
    pub fn meet(self: &Rc<Self>, address: SocketAddr) {
        if address == self.me.address || self.state.borrow().links.contains_key(&address) {
            return;
        }
        let (sender, ring) = bounded_ring(LINK_RING);
        self.state.borrow_mut().links.insert(address, sender);
        tokio::task::spawn_local(keep_link(self.clone(), address, ring));
    }

    /// Takes over the seeds that the settings name.
    pub fn set_seeds(self: &Rc<Self>, seeds: Vec<SocketAddr>) {
        for seed in &seeds {
            self.meet(*seed);
        }
        self.seeds.replace(seeds.into_iter().collect());
    }

    /// Tells whether an instance at this address is wanted in any case.
    pub fn is_wanted(&self, address: SocketAddr) -> bool {
        let state = self.state.borrow();
        let replica = state.replica.as_ref();
        let is_member = replica.is_some_and(|replica| {
            let mut members = replica.member_records().iter();
            members.any(|member| member.address == address)
        });
        is_member || self.seeds.borrow().contains(&address)
    }

    /// Returns the greeting of this instance.
    pub fn hello(&self) -> GroupMessage {
        let state = self.state.borrow();
        let mut known: Vec<SocketAddr> = state.links.keys().copied().collect();
        known.sort_unstable();
        GroupMessage::Hello {
            from: self.me.clone(),
            domain: self.settings.domain.as_str().into(),
            calls: self.calls,
            learns: self.learns(),
            known,
            followers: state.followers.digest(),
            servers: state.directory.digest(ServerObserver::Local),
        }
    }

    /// Looks after what the instance holds, now and then.
    pub async fn keep_house(self: Rc<Self>) {
        let mut tick = tokio::time::interval(TICK);
        let mut ticks: u32 = 0;
        loop {
            tick.tick().await;
            ticks += 1;
            self.greet(ticks);
            self.sweep_servers();
            if ticks.is_multiple_of(RENEW_TICKS) {
                self.tell_renewals();
            }
            self.tell_members();
            if ticks.is_multiple_of(TRAFFIC_TICKS) {
                let sent = self.state.borrow().traffic.to_string();
                tracing::info!(target: "group", sent, "group: sent, messages and bytes by kind");
            }
            if ticks.is_multiple_of(HERE_TICKS) {
                self.keep_servers();
                let mut state = self.state.borrow_mut();
                let here = self.here(&state);
                state.tell_entries(here);
            }
        }
    }

    fn greet(&self, ticks: u32) {
        if self.learns() || ticks.is_multiple_of(HELLO_TICKS) {
            let hello = self.hello();
            self.state.borrow().tell_control(&hello);
        }
    }

    /// Tells whether this instance asks to be kept up to date.
    fn learns(&self) -> bool {
        let state = self.state.borrow();
        let replica = state.replica.as_ref();
        replica.is_some_and(ReplicaMachine::should_join_as_learner)
    }

    /// Returns what this instance says of itself to entries.
    pub fn here(&self, state: &GroupState) -> GroupMessage {
        let now = self.now();
        let replica = state.replica.as_ref();
        let has_leader = replica.is_some_and(|replica| replica.leader().is_some());
        let in_contact = state.count_contacts(now) >= self.settings.tolerate;
        GroupMessage::Here {
            domain: self.settings.domain.as_str().into(),
            settled: has_leader && in_contact,
            fresh: now < FRESH_TIME,
            version: state.published.version,
        }
    }

    /// Tells the entries of the group and of each other, if that changed.
    pub fn tell_members(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let contacts = state.contacts.keys();
        let sites = contacts.filter_map(|address| {
            let place = state.places.get(address)?;
            Some(ControlSite {
                address: *address,
                domain: place.domain.clone(),
            })
        });
        let mut control: Vec<ControlSite> = sites.collect();
        control.push(ControlSite {
            address: self.me.address,
            domain: self.settings.domain.as_str().into(),
        });
        control.sort_unstable();
        if control != state.told_control {
            state.told_control.clone_from(&control);
            state.tell_entries(GroupMessage::Control(control));
        }
        if let Some(news) = state.note_followers() {
            state.tell_control(&news);
        }
        let all = state.all_followers(now);
        let entries = state.count_entries(&all, now);
        let staying = all.into_iter().filter(|(_, takes)| *takes);
        let peers = staying.map(|(peer, _)| peer).collect();
        state.take_roll(GroupRoll { entries, peers });
    }
}
