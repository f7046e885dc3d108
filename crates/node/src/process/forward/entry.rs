//! The entry: its machine, its connections, and what joins them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{oneshot, Notify};
use wheelmast_core::arena::SlotKey;
use wheelmast_core::process::forward::answer::{ForwardAction, ForwardAnswer};
use wheelmast_core::process::forward::input::ForwardInput;
use wheelmast_core::process::forward::machine::{ForwardMachine, ForwardOptions};
use wheelmast_core::process::forward::suspect::record::SuspectRecord;
use wheelmast_core::process::input::CallTag;
use wheelmast_core::process::rollout::VersionTally;
use wheelmast_wire::dialect::ForwardDialect;

use crate::process::clock::ProcessClock;
use crate::process::forward::cap_gate::CapGate;
use crate::process::forward::image::RequestImage;
use crate::process::forward::measure::DriverCounts;
use crate::process::forward::pool::{ServerPool, UpstreamOrder};
use crate::process::forward::story::StoryBook;
use crate::process::loop_watch::LoopDelayMonitor;
use crate::process::output::count_dropped_lines;

/// A request that waits for its answer.
#[derive(Debug)]
struct WaitingCall {
    answer: oneshot::Sender<ForwardAnswer>,
    image: Rc<RequestImage>,
}

/// How far the entry is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryPhase {
    /// It does not know the newest table for sure yet.
    Learning,
    /// It serves.
    Serving,
    /// It is leaving: no longer ready, and still serving.
    Leaving,
}

/// One entry; its tasks share it on one thread.
#[derive(Debug)]
pub struct EntryDuty<D> {
    machine: RefCell<ForwardMachine>,
    /// Connections to servers.
    pub pool: ServerPool,
    /// Tokens of capped workspaces.
    pub caps: CapGate,
    /// Ways to end attempts that nobody waits for.
    pub cancels: RefCell<HashMap<SlotKey, oneshot::Sender<()>>>,
    /// Ways to tell other entries what they are granted.
    grants: RefCell<HashMap<SlotKey, oneshot::Sender<u32>>>,
    calls: RefCell<HashMap<CallTag, WaitingCall>>,
    stories: RefCell<StoryBook>,
    spare: RefCell<Vec<ForwardAction>>,
    tags: Cell<u64>,
    phase: Cell<EntryPhase>,
    /// The time since the process started.
    pub clock: ProcessClock,
    /// How late the entry reads what comes.
    pub watch: Rc<LoopDelayMonitor>,
    armed: Cell<Duration>,
    wake: Notify,
    /// What the control group is to be told of requests under which servers
    /// ended.
    suspects: RefCell<Vec<SuspectRecord>>,
    suspects_changed: Notify,
    dialect: PhantomData<D>,
}

impl<D: ForwardDialect> EntryDuty<D> {
    /// Returns an entry that knows nothing yet.
    ///
    /// Of plain successes, the log tells one in `plain_every` in full.
    pub fn new(options: ForwardOptions, plain_every: u32) -> EntryDuty<D> {
        EntryDuty::with_clock(options, plain_every, ProcessClock::start())
    }

    /// Returns an entry as [`EntryDuty::new`] does, with another clock.
    pub fn with_clock(
        options: ForwardOptions,
        plain_every: u32,
        clock: ProcessClock,
    ) -> EntryDuty<D> {
        EntryDuty {
            machine: RefCell::new(ForwardMachine::new(options)),
            pool: ServerPool::default(),
            caps: CapGate::new(clock),
            cancels: RefCell::default(),
            grants: RefCell::default(),
            calls: RefCell::default(),
            stories: RefCell::new(StoryBook::new(plain_every)),
            spare: RefCell::default(),
            tags: Cell::new(0),
            phase: Cell::new(EntryPhase::Learning),
            clock,
            watch: Rc::new(LoopDelayMonitor::new(clock)),
            armed: Cell::new(Duration::MAX),
            wake: Notify::new(),
            suspects: RefCell::default(),
            suspects_changed: Notify::new(),
            dialect: PhantomData,
        }
    }

    /// Tells whether `identity` is that of this lifetime of the entry.
    pub fn is_named(&self, identity: &str) -> bool {
        *self.machine.borrow().local_id() == *identity
    }

    /// Returns how far the entry is.
    pub fn phase(&self) -> EntryPhase {
        self.phase.get()
    }

    /// Sets how far the entry is; leaving is for good.
    pub fn set_phase(&self, phase: EntryPhase) {
        if self.phase.get() != EntryPhase::Leaving && self.phase.get() != phase {
            self.phase.set(phase);
            tracing::info!(target: "entry", "entry: phase {phase:?}");
        }
    }

    /// Reads something of the machine.
    pub fn look<T>(&self, look: impl FnOnce(&ForwardMachine) -> T) -> T {
        look(&self.machine.borrow())
    }

    /// Steps the machine and does what it asks.
    pub fn step(self: &Rc<Self>, input: ForwardInput) {
        let now = self.clock.elapsed();
        let mut out = self.spare.take();
        let next = {
            let mut machine = self.machine.borrow_mut();
            machine.step(now, input, &mut out);
            machine.next_wake()
        };
        for action in out.drain(..) {
            self.act(action, now);
        }
        self.spare.replace(out);
        if next.is_some_and(|next| next < self.armed.get()) {
            self.wake.notify_one();
        }
    }

    /// Does what the machine asked for at `now`.
    fn act(self: &Rc<Self>, action: ForwardAction, now: Duration) {
        match action {
            ForwardAction::Send(order) => {
                let calls = self.calls.borrow();
                let Some(call) = calls.get(&order.call) else {
                    return;
                };
                let (cancel, cancelled) = oneshot::channel();
                self.cancels.borrow_mut().insert(order.attempt, cancel);
                let image = call.image.clone();
                self.pool.send(
                    self,
                    UpstreamOrder {
                        order,
                        image,
                        ordered: now,
                        cancelled,
                    },
                );
            }
            ForwardAction::RaiseAllowance(attempt, attempts) => {
                if let Some(grant) = self.grants.borrow_mut().remove(&attempt) {
                    // The attempt may have ended just now.
                    let _ = grant.send(attempts);
                }
            }
            ForwardAction::Cancel(attempt) => {
                if let Some(cancel) = self.cancels.borrow_mut().remove(&attempt) {
                    // The attempt may have ended just now.
                    let _ = cancel.send(());
                }
            }
            ForwardAction::Answer { call, answer } => {
                if let Some(call) = self.calls.borrow_mut().remove(&call) {
                    // The caller may have left.
                    let _ = call.answer.send(answer);
                }
            }
            ForwardAction::CloseIdle(server) => self.pool.close(server),
            ForwardAction::PublishSuspect(record) => {
                let mut news = self.suspects.borrow_mut();
                news.retain(|known| known.mark != record.mark);
                news.push(record);
                drop(news);
                self.suspects_changed.notify_one();
            }
            ForwardAction::RecordDecision(event) => self.stories.borrow_mut().take(event),
        }
    }

    /// Takes what the control group is to be told of versions.
    pub fn take_outcome_counts(&self) -> Vec<VersionTally> {
        self.machine.borrow_mut().take_outcome_counts()
    }

    /// Returns where it comes what another entry is granted.
    pub fn await_grant(&self, attempt: SlotKey) -> oneshot::Receiver<u32> {
        let (grant, receiver) = oneshot::channel();
        self.grants.borrow_mut().insert(attempt, grant);
        receiver
    }

    /// Takes note that an attempt has ended.
    pub fn drop_grant(&self, attempt: SlotKey) {
        self.grants.borrow_mut().remove(&attempt);
    }

    /// Waits for news of requests under which servers ended, and takes them.
    pub async fn next_suspects(&self) -> Vec<SuspectRecord> {
        self.suspects_changed.notified().await;
        self.suspects.take()
    }

    /// Renders the metrics.
    pub fn render_metrics(&self) -> String {
        let stories = self.stories.borrow();
        let machine = self.machine.borrow();
        let counts = DriverCounts {
            lines_dropped: stories.lines_dropped() + count_dropped_lines(),
            late_rounds: self.watch.late_rounds(),
            sent_late: self.pool.sent_late(),
        };
        stories
            .measures
            .render(&machine, self.clock.elapsed(), counts)
    }

    /// Takes a request in and returns where its answer comes.
    pub fn admit(
        self: &Rc<Self>,
        image: RequestImage,
    ) -> (CallTag, oneshot::Receiver<ForwardAnswer>) {
        let tag = CallTag(self.tags.get());
        self.tags.set(tag.0 + 1);
        let (answer, receiver) = oneshot::channel();
        self.stories.borrow_mut().begin(tag, &image.id);
        let image = Rc::new(image);
        self.calls
            .borrow_mut()
            .insert(tag, WaitingCall { answer, image });
        (tag, receiver)
    }

    /// Tells whether a request waits for its answer.
    pub fn is_at_work(&self, tag: CallTag) -> bool {
        self.calls.borrow().contains_key(&tag)
    }

    /// Takes note that a caller left, unless it was answered.
    pub fn leave(self: &Rc<Self>, tag: CallTag) {
        if self.calls.borrow_mut().remove(&tag).is_some() {
            self.step(ForwardInput::CallerLeft(tag));
        }
    }

    /// Wakes the machine when its timers are due, until the entry ends.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let next = self.machine.borrow().next_wake();
            self.armed.set(next.unwrap_or(Duration::MAX));
            match next {
                Some(next) => {
                    let wait = self.clock.sleep_time_until(next);
                    tokio::select! {
                        () = tokio::time::sleep(wait) => self.step(ForwardInput::Wake),
                        () = self.wake.notified() => {}
                    }
                }
                None => self.wake.notified().await,
            }
        }
    }
}
