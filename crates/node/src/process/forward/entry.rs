//! Driver of the forward machine of an entry.
//!
//! [`ForwardDriver`] passes inputs (requests, results of attempts, updates from the
//! control group, timers) to the state machine and carries out the actions that the
//! machine returns: it sends or cancels attempts, answers callers, writes the log.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{oneshot, watch, Notify};
use wheelmast_core::arena::SlotKey;
use wheelmast_core::process::forward::answer::{ForwardAction, ForwardAnswer};
use wheelmast_core::process::forward::input::ForwardInput;
use wheelmast_core::process::forward::machine::{ForwardMachine, ForwardOptions};
use wheelmast_core::process::forward::suspect::record::SuspectRecord;
use wheelmast_core::process::input::CallTag;
use wheelmast_core::process::rollout::VersionOutcomes;
use wheelmast_core::version::route_table::CallerLimits;
use wheelmast_wire::dialect::ForwardDialect;

use crate::connection::client::{fit_descriptors, ConnectionLimiter};
use crate::connection::client_memory::ClientMemory;
use crate::process::clock::ProcessClock;
use crate::process::forward::cap_gate::CapGate;
use crate::process::forward::evidence::spawn_evidence_connection;
use crate::process::forward::image::RequestImage;
use crate::process::forward::measure::DriverCounts;
use crate::process::forward::pool::{ServerPool, UpstreamRequest};
use crate::process::forward::share_log::write_share_change;
use crate::process::forward::story::DecisionLog;
use crate::process::loop_watch::LoopDelayMonitor;
use crate::process::output::count_dropped_lines;
use crate::settings::model::ClientLimits;

/// A request whose caller waits for the answer.
#[derive(Debug)]
struct WaitingCall {
    /// Channel to the task that serves the caller's connection.
    answer: oneshot::Sender<ForwardAnswer>,
    /// The request as it is written to servers.
    image: Rc<RequestImage>,
}

/// Part of the process's descriptors that connections of callers may take.
const CALLER_DESCRIPTOR_FRACTION: f64 = 0.5;

/// Limits on what callers make an entry hold.
#[derive(Debug)]
pub struct CallerAdmission {
    /// Limits the number of callers' connections.
    pub connections: ConnectionLimiter,
    /// Memory for callers' requests and their answers.
    pub memory: ClientMemory,
}

impl CallerAdmission {
    fn new(limits: ClientLimits) -> CallerAdmission {
        let max_connections = fit_descriptors(limits.connections, CALLER_DESCRIPTOR_FRACTION);
        CallerAdmission {
            connections: ConnectionLimiter::new(max_connections),
            memory: ClientMemory::new(limits.memory_bytes()),
        }
    }
}

/// Phase between the start and the end of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryPhase {
    /// The entry has no route table yet that is at least as new as the version that a
    /// quorum of the control group confirmed as the newest; the entry refuses requests.
    Learning,
    /// The entry serves requests.
    Serving,
    /// The entry is shutting down: it reports to the balancer that it is not ready,
    /// and still serves requests.
    Leaving,
}

/// State of one entry, shared by all tasks of the entry's thread.
#[derive(Debug)]
pub struct ForwardDriver<D> {
    /// State machine that makes all decisions.
    pub(super) machine: RefCell<ForwardMachine>,
    /// Connections to upstream servers.
    pub pool: ServerPool,
    /// Limits on what callers make the entry hold.
    pub callers: CallerAdmission,
    /// Limits on a caller's request, of the table in force.
    pub caller_limits: watch::Sender<CallerLimits>,
    /// Admission of requests whose workspace has a usage cap.
    pub caps: CapGate,
    /// Senders that cancel attempts, by attempt.
    pub cancel_senders: RefCell<HashMap<SlotKey, oneshot::Sender<()>>>,
    /// Senders of raised attempt allowances (how many servers the other entry may try
    /// per shard), by relayed attempt.
    allowance_senders: RefCell<HashMap<SlotKey, oneshot::Sender<u32>>>,
    /// Requests whose callers wait for the answer.
    waiting_calls: RefCell<HashMap<CallTag, WaitingCall>>,
    /// Log of the decisions about requests.
    decision_log: RefCell<DecisionLog>,
    /// Empty vector, reused for the machine's actions at each step.
    action_buffer: RefCell<Vec<ForwardAction>>,
    /// Tag of the next request.
    next_tag: Cell<u64>,
    phase: Cell<EntryPhase>,
    /// Clock of the time since the process started.
    pub clock: ProcessClock,
    /// Measures how late the event loop reads from connections.
    pub watch: Rc<LoopDelayMonitor>,
    /// Time for which the timer task is set.
    next_wake_at: Cell<Duration>,
    /// Notifies the timer task of an earlier time.
    wake_changed: Notify,
    /// Records of suspect requests, under which servers crashed, that are not yet sent
    /// to the control group.
    unpublished_suspects: RefCell<Vec<SuspectRecord>>,
    /// Signals a change of `unpublished_suspects`.
    suspects_changed: Notify,
    /// Signals that a shortage level changed, so that a load report may be due.
    pub(super) load_changed: Notify,
    dialect: PhantomData<D>,
}

impl<D: ForwardDialect> ForwardDriver<D> {
    /// Returns the driver of an entry without a route table.
    ///
    /// Of the requests that succeed without incident, one in `routine_log_interval` is logged in
    /// full.
    pub fn new(options: ForwardOptions, routine_log_interval: u32) -> ForwardDriver<D> {
        ForwardDriver::with_clock(options, routine_log_interval, ProcessClock::start())
    }

    /// Returns a driver as [`ForwardDriver::new`] does, with the given clock.
    pub fn with_clock(
        options: ForwardOptions,
        routine_log_interval: u32,
        clock: ProcessClock,
    ) -> ForwardDriver<D> {
        ForwardDriver {
            machine: RefCell::new(ForwardMachine::new(options)),
            pool: ServerPool::default(),
            callers: CallerAdmission::new(ClientLimits::default()),
            caller_limits: watch::Sender::default(),
            caps: CapGate::new(clock),
            cancel_senders: RefCell::default(),
            allowance_senders: RefCell::default(),
            waiting_calls: RefCell::default(),
            decision_log: RefCell::new(DecisionLog::new(routine_log_interval)),
            action_buffer: RefCell::default(),
            next_tag: Cell::new(0),
            phase: Cell::new(EntryPhase::Learning),
            clock,
            watch: Rc::new(LoopDelayMonitor::new(clock)),
            next_wake_at: Cell::new(Duration::MAX),
            wake_changed: Notify::new(),
            unpublished_suspects: RefCell::default(),
            suspects_changed: Notify::new(),
            load_changed: Notify::new(),
            dialect: PhantomData,
        }
    }

    /// Returns the driver with other limits on what callers make the entry hold.
    pub fn with_client_limits(self, limits: ClientLimits) -> ForwardDriver<D> {
        ForwardDriver {
            callers: CallerAdmission::new(limits),
            ..self
        }
    }

    /// Returns whether `identity` names this incarnation of the entry: the instance and
    /// the random number that the process drew at its start.
    pub fn is_local_id(&self, identity: &str) -> bool {
        *self.machine.borrow().local_id() == *identity
    }

    /// Returns the current phase.
    pub fn phase(&self) -> EntryPhase {
        self.phase.get()
    }

    /// Sets the phase. An entry never returns from [`EntryPhase::Leaving`].
    pub fn set_phase(&self, phase: EntryPhase) {
        if self.phase.get() != EntryPhase::Leaving && self.phase.get() != phase {
            self.phase.set(phase);
            tracing::info!(target: "entry", "entry: phase {phase:?}");
        }
    }

    /// Calls `read` with the machine and returns the result.
    pub fn with_machine<T>(&self, read: impl FnOnce(&ForwardMachine) -> T) -> T {
        read(&self.machine.borrow())
    }

    /// Passes an input to the machine and carries out the resulting actions.
    pub fn step(self: &Rc<Self>, input: ForwardInput) {
        let now = self.clock.elapsed();
        let mut actions = self.action_buffer.take();
        let is_table = matches!(input, ForwardInput::Table(_));
        let (next, level_changes) = {
            let mut machine = self.machine.borrow_mut();
            machine.step(now, input, &mut actions);
            if let Some(table) = machine.table().filter(|_| is_table) {
                self.caller_limits.send_replace(table.limits());
            }
            (machine.next_wake(), machine.take_level_changes())
        };
        self.record_level_changes(level_changes);
        for action in actions.drain(..) {
            self.perform(action, now);
        }
        self.action_buffer.replace(actions);
        if next.is_some_and(|next| next < self.next_wake_at.get()) {
            self.wake_changed.notify_one();
        }
    }

    /// Carries out an action that the machine returned at `now`.
    fn perform(self: &Rc<Self>, action: ForwardAction, now: Duration) {
        match action {
            ForwardAction::Send(order) => {
                let waiting_calls = self.waiting_calls.borrow();
                let Some(call) = waiting_calls.get(&order.call) else {
                    return;
                };
                let (cancel_sender, cancelled) = oneshot::channel();
                self.cancel_senders
                    .borrow_mut()
                    .insert(order.attempt, cancel_sender);
                let image = call.image.clone();
                self.pool.send(
                    self,
                    UpstreamRequest {
                        order,
                        image,
                        ordered_at: now,
                        cancelled,
                    },
                );
            }
            ForwardAction::RaiseAllowance(attempt, attempts) => {
                if let Some(allowance_sender) = self.allowance_senders.borrow_mut().remove(&attempt)
                {
                    // Sending fails if the attempt has just ended.
                    let _ = allowance_sender.send(attempts);
                }
            }
            ForwardAction::Cancel(attempt) => {
                if let Some(cancel_sender) = self.cancel_senders.borrow_mut().remove(&attempt) {
                    // Sending fails if the attempt has just ended.
                    let _ = cancel_sender.send(());
                }
            }
            ForwardAction::Answer { call, answer } => {
                if let Some(call) = self.waiting_calls.borrow_mut().remove(&call) {
                    // Sending fails if the caller has disconnected.
                    let _ = call.answer.send(answer);
                }
            }
            ForwardAction::CloseIdle(server) => self.pool.close(server),
            ForwardAction::OpenConnection { server, address } => {
                spawn_evidence_connection(self, server, address)
            }
            ForwardAction::PublishSuspect(record) => {
                let mut unpublished = self.unpublished_suspects.borrow_mut();
                unpublished.retain(|queued| queued.mark != record.mark);
                unpublished.push(record);
                drop(unpublished);
                self.suspects_changed.notify_one();
            }
            ForwardAction::RecordDecision(event) => self.decision_log.borrow_mut().record(event),
            ForwardAction::RecordShareChange(change) => write_share_change(&change),
        }
    }

    /// Removes and returns the outcome counts of versions that are being rolled out,
    /// for a report to the control group.
    pub fn take_outcome_counts(&self) -> Vec<VersionOutcomes> {
        self.machine.borrow_mut().take_outcome_counts()
    }

    /// Returns the receiver of the raised attempt allowance of a relayed attempt.
    pub fn subscribe_allowance(&self, attempt: SlotKey) -> oneshot::Receiver<u32> {
        let (allowance_sender, receiver) = oneshot::channel();
        self.allowance_senders
            .borrow_mut()
            .insert(attempt, allowance_sender);
        receiver
    }

    /// Drops the sender of a relayed attempt's raised allowance, because the attempt has
    /// ended.
    pub fn unsubscribe_allowance(&self, attempt: SlotKey) {
        self.allowance_senders.borrow_mut().remove(&attempt);
    }

    /// Waits for records of suspect requests that are not yet sent to the control group,
    /// and removes and returns them.
    pub async fn take_unpublished_suspects(&self) -> Vec<SuspectRecord> {
        self.suspects_changed.notified().await;
        self.unpublished_suspects.take()
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        let decision_log = self.decision_log.borrow();
        let machine = self.machine.borrow();
        let counts = DriverCounts {
            lines_dropped: decision_log.lines_dropped() + count_dropped_lines(),
            late_rounds: self.watch.late_rounds(),
            sent_late: self.pool.sent_late(),
        };
        decision_log
            .metrics
            .render(&machine, self.clock.elapsed(), counts)
    }

    /// Registers a request, and returns its tag and the receiver of its answer.
    pub fn register_call(
        self: &Rc<Self>,
        image: RequestImage,
    ) -> (CallTag, oneshot::Receiver<ForwardAnswer>) {
        let tag = CallTag(self.next_tag.get());
        self.next_tag.set(tag.0 + 1);
        let (answer, receiver) = oneshot::channel();
        self.decision_log.borrow_mut().begin_request(tag, &image.id);
        let image = Rc::new(image);
        self.waiting_calls
            .borrow_mut()
            .insert(tag, WaitingCall { answer, image });
        (tag, receiver)
    }

    /// Returns whether the caller of a request still waits for the answer.
    pub fn is_call_waiting(&self, tag: CallTag) -> bool {
        self.waiting_calls.borrow().contains_key(&tag)
    }

    /// Informs the machine that a caller disconnected, unless the request was answered.
    pub fn handle_caller_left(self: &Rc<Self>, tag: CallTag) {
        if self.waiting_calls.borrow_mut().remove(&tag).is_some() {
            self.step(ForwardInput::CallerLeft(tag));
        }
    }

    /// Passes [`ForwardInput::Wake`] to the machine whenever a timer of the machine is
    /// due, until the process ends.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.machine.borrow().next_wake();
            self.next_wake_at.set(next.unwrap_or(Duration::MAX));
            match next {
                Some(next) => {
                    let wait = self.clock.sleep_time_until(next);
                    tokio::select! {
                        () = tokio::time::sleep(wait) => self.step(ForwardInput::Wake),
                        () = self.wake_changed.notified() => {}
                    }
                }
                None => self.wake_changed.notified().await,
            }
        }
    }
}
