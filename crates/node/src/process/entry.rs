//! The entry thread: drives the entry machine.

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

/// Messages taken between two looks at the clock.
const MAX_BATCH: usize = 64;
/// Longest sleep of the entry thread.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// A message to the entry thread.
#[derive(Debug)]
pub enum EntryMessage {
    /// An input of the machine.
    Input(EntryInput),
    /// A caller's request, and where its outcome goes.
    Call {
        /// The request.
        request: QueryRequest,
        /// Takes the outcome.
        outcome: oneshot::Sender<QueryOutcome>,
    },
    /// Asks for the machine's state.
    Inspect(oneshot::Sender<EntryReport>),
    /// Ends the thread.
    End,
}

/// What the entry thread needs besides the machine.
#[derive(Debug)]
pub struct EntryDriver<P> {
    /// The machine.
    pub machine: EntryMachine<P>,
    /// Its inputs.
    pub ring: RingReceiver<EntryMessage>,
    /// Orders to the upstreams thread.
    pub upstreams: RingSender<UpstreamCommand>,
    /// Decisions to the journal thread.
    pub journal: JournalSender,
    /// When the process started.
    pub process_clock: ProcessClock,
    /// Told once the last request has ended after a leave.
    pub left_sender: Option<oneshot::Sender<()>>,
    /// Set once the instance knows enough to serve.
    pub entry_ready: Arc<AtomicBool>,
    /// Where outcomes go.
    pub outcome_senders: HashMap<CallTag, oneshot::Sender<QueryOutcome>>,
}

impl<P: RoutePolicy> EntryDriver<P> {
    /// Runs until it is told to end.
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

    fn update_readiness(&self) {
        let known = self.entry_ready.load(Ordering::Relaxed);
        if !known && self.machine.is_learned(self.process_clock.elapsed()) {
            self.entry_ready.store(true, Ordering::Relaxed);
        }
    }

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

    fn perform(&mut self, action: EntryAction, unsent_orders: &mut Vec<SendOrder>) {
        match action {
            EntryAction::Send(order) => {
                let command = UpstreamCommand::Send(order);
                if let Err(UpstreamCommand::Send(order)) = self.upstreams.offer(command) {
                    unsent_orders.push(order);
                }
            }
            EntryAction::Cancel { attempt, .. } => {
                // Without room the reply comes late and is dropped.
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

fn unsent_reply(order: &SendOrder) -> EntryInput {
    EntryInput::Reply(AttemptReply {
        attempt: order.attempt,
        status: ReplyStatus::NeverSent,
        connect: None,
    })
}

/// Asks the entry thread for the instance's state.
pub async fn request_report(ring: &RingSender<EntryMessage>) -> Option<EntryReport> {
    let (sender, receiver) = oneshot::channel();
    ring.put(EntryMessage::Inspect(sender)).await;
    receiver.await.ok()
}

/// Fills in what the entry thread does not know of its instance.
pub fn add_identity(report: EntryReport, instance: &str, domain: &str) -> InstanceStatus {
    InstanceStatus {
        instance: instance.to_string(),
        domain: domain.to_string(),
        ..report.status
    }
}
