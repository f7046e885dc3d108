//! The entry thread. It passes messages and timer wake-ups to the entry
//! machine, which makes all decisions, and performs the actions that the
//! machine returns.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use wheelmast_core::prelude::{
    AttemptReply, CallTag, EntryAction, EntryInput, EntryMachine, QueryOutcome, QueryRequest,
    ReplyStatus, RoutePolicy, SendOrder,
};
use wheelmast_wire::prelude::InstanceStatus;

use crate::process::clock::ProcessClock;
use crate::process::journal::JournalSender;
use crate::process::status::{describe_entry, EntryReport};
use crate::process::upstreams::UpstreamCommand;
use crate::ring::{RingReceiver, RingSender};

/// Maximum number of messages received at once.
const MAX_BATCH: usize = 64;
/// Maximum time that the entry thread sleeps without a message.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// A message to the entry thread.
#[derive(Debug)]
pub enum EntryMessage {
    /// An input of the entry machine.
    Input(EntryInput),
    /// A caller's request, and the channel for its outcome.
    Call {
        /// The request.
        request: QueryRequest,
        /// Receives the outcome.
        outcome: oneshot::Sender<QueryOutcome>,
    },
    /// Requests a report of the entry machine's state.
    Inspect(oneshot::Sender<EntryReport>),
    /// Ends the thread.
    End,
}

/// The state of the entry thread.
#[derive(Debug)]
pub struct EntryDriver<P> {
    /// The entry machine.
    pub machine: EntryMachine<P>,
    /// The receiving end of the thread's ring.
    pub ring: RingReceiver<EntryMessage>,
    /// The ring to the upstreams thread.
    pub upstreams: RingSender<UpstreamCommand>,
    /// Sends decisions to the journal thread.
    pub journal: JournalSender,
    /// The clock of the entry machine.
    pub process_clock: ProcessClock,
    /// Notified once the last request has ended after a leave.
    pub left_sender: Option<oneshot::Sender<()>>,
    /// Set once the entry machine is ready to serve requests.
    pub entry_ready: Arc<AtomicBool>,
    /// Outcome channels of the requests in progress.
    pub outcome_senders: HashMap<CallTag, oneshot::Sender<QueryOutcome>>,
}

impl<P: RoutePolicy> EntryDriver<P> {
    /// Runs until an [`EntryMessage::End`] arrives or the ring is closed.
    pub async fn run(mut self) {
        let mut actions = Vec::new();
        let mut messages = Vec::with_capacity(MAX_BATCH);
        loop {
            let sleep = self.sleep_time();
            let received = tokio::select! {
                count = self.ring.recv_many(&mut messages, MAX_BATCH) => count,
                () = tokio::time::sleep(sleep) => {
                    self.step(EntryInput::Wake, &mut actions);
                    self.update_readiness();
                    continue;
                }
            };
            if received == 0 {
                return;
            }
            for message in messages.drain(..) {
                if matches!(message, EntryMessage::End) {
                    return;
                }
                self.handle_message(message, &mut actions);
            }
            self.update_readiness();
        }
    }

    /// Sets `entry_ready` once the entry machine is ready; the flag is never
    /// cleared.
    fn update_readiness(&self) {
        let known = self.entry_ready.load(Ordering::Relaxed);
        if !known && self.machine.is_ready(self.process_clock.elapsed()) {
            self.entry_ready.store(true, Ordering::Relaxed);
        }
    }

    /// Returns the time until the entry machine must be woken.
    fn sleep_time(&self) -> Duration {
        let wake = self.machine.next_wake();
        let sleep = wake.map(|at| at.saturating_sub(self.process_clock.elapsed()));
        sleep.unwrap_or(MAX_SLEEP).min(MAX_SLEEP)
    }

    fn handle_message(&mut self, message: EntryMessage, actions: &mut Vec<EntryAction>) {
        match message {
            EntryMessage::Input(input) => self.step(input, actions),
            EntryMessage::Call { request, outcome } => {
                self.outcome_senders.insert(request.call, outcome);
                self.step(EntryInput::Submit(request), actions);
            }
            EntryMessage::Inspect(reply) => {
                let _ = reply.send(describe_entry(&self.machine, self.process_clock.elapsed()));
            }
            EntryMessage::End => {}
        }
    }

    /// Passes an input to the entry machine and performs the resulting actions.
    /// Sends that did not fit into the ring of the upstreams thread are
    /// reported to the machine as not sent.
    fn step(&mut self, input: EntryInput, actions: &mut Vec<EntryAction>) {
        self.machine
            .step(self.process_clock.elapsed(), input, actions);
        let mut unsent_orders = Vec::new();
        for action in actions.drain(..) {
            self.perform(action, &mut unsent_orders);
        }
        for order in unsent_orders {
            self.step(unsent_reply(&order), actions);
        }
    }

    /// Performs an action of the entry machine. Sends that do not fit into the
    /// ring of the upstreams thread are added to `unsent_orders`.
    fn perform(&mut self, action: EntryAction, unsent_orders: &mut Vec<SendOrder>) {
        match action {
            EntryAction::Send(order) => {
                let command = UpstreamCommand::Send(order);
                if let Err(UpstreamCommand::Send(order)) = self.upstreams.offer(command) {
                    unsent_orders.push(order);
                }
            }
            EntryAction::Cancel { attempt, .. } => {
                // If the ring is full, the attempt goes on and its late reply
                // is dropped.
                let _ = self.upstreams.offer(UpstreamCommand::Cancel(attempt));
            }
            EntryAction::Finish { call, outcome } => {
                if let Some(sender) = self.outcome_senders.remove(&call) {
                    let _ = sender.send(outcome);
                }
            }
            EntryAction::RecordDecision(event) => self.journal.record(*event),
            EntryAction::Left => {
                if let Some(sender) = self.left_sender.take() {
                    let _ = sender.send(());
                }
            }
        }
    }
}

/// Returns the input that reports an attempt as never sent.
fn unsent_reply(order: &SendOrder) -> EntryInput {
    EntryInput::Reply(AttemptReply {
        attempt: order.attempt,
        status: ReplyStatus::NeverSent,
        connect: None,
    })
}

/// Requests a report from the entry thread; `None` if the thread has ended.
pub async fn request_report(ring: &RingSender<EntryMessage>) -> Option<EntryReport> {
    let (sender, receiver) = oneshot::channel();
    ring.put(EntryMessage::Inspect(sender)).await;
    receiver.await.ok()
}

/// Adds the instance's name and failure domain to a report; the entry thread
/// does not know them.
pub fn add_identity(report: EntryReport, instance: &str, domain: &str) -> InstanceStatus {
    InstanceStatus {
        instance: instance.to_string(),
        domain: domain.to_string(),
        ..report.status
    }
}
