//! Requests of capped workspaces wait here for a token before anything of them
//! is sent.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use wheelmast_core::process::cap::lease::{AdmissionStep, CapLease};
use wheelmast_core::process::cap::{TokenGrant, TokenRequest};
use wheelmast_wire::group::GroupMessage;

use crate::process::clock::ProcessClock;
use crate::ring::{bounded_ring, RingReceiver, RingSender};

/// Longest time that a request waits for the source's answer.
const SOURCE_TIME: Duration = Duration::from_millis(250);
/// When a caller should come back if the source did not answer.
const COME_BACK: Duration = Duration::from_millis(300);
/// Questions that may wait for the connection to the source.
const ASK_RING: usize = 256;

/// Whether a request has a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CapVerdict {
    /// It has one.
    Taken,
    /// The cap is reached; the caller may come back after this time.
    Reached(Duration),
    /// No control instance could be asked.
    Unheard(Duration),
}

#[derive(Debug, Default)]
struct WorkspaceGate {
    lease: CapLease,
    queue: VecDeque<oneshot::Sender<CapVerdict>>,
    /// Name of the question that has no answer yet.
    asked: Option<u64>,
}

/// The tokens of an entry, and the requests that wait for some.
#[derive(Debug)]
pub struct CapGate {
    clock: ProcessClock,
    gates: RefCell<HashMap<Arc<str>, WorkspaceGate>>,
    tags: Cell<u64>,
    asks: RingSender<GroupMessage>,
    orders: RefCell<Option<RingReceiver<GroupMessage>>>,
    /// Workspaces of the questions that have no answer yet.
    open: RefCell<HashMap<u64, Arc<str>>>,
}

impl CapGate {
    /// Returns a gate without tokens, by the clock of an entry.
    pub fn new(clock: ProcessClock) -> CapGate {
        let (asks, orders) = bounded_ring(ASK_RING);
        CapGate {
            clock,
            gates: RefCell::default(),
            tags: Cell::new(0),
            asks,
            orders: RefCell::new(Some(orders)),
            open: RefCell::default(),
        }
    }

    /// Returns the questions to the source, for the one that carries them.
    pub fn take_orders(&self) -> Option<RingReceiver<GroupMessage>> {
        self.orders.borrow_mut().take()
    }

    /// Takes a token for a request, and waits for one if there is none here.
    pub async fn acquire(&self, workspace: &Arc<str>) -> CapVerdict {
        let now = self.clock.elapsed();
        let receiver = {
            let mut gates = self.gates.borrow_mut();
            let gate = gates.entry(workspace.clone()).or_default();
            match gate.lease.admit_request(now) {
                AdmissionStep::Admit => return CapVerdict::Taken,
                AdmissionStep::Refuse(after) => return CapVerdict::Reached(after),
                AdmissionStep::Wait => {}
                AdmissionStep::RequestTokens => self.token_request(workspace, gate),
            }
            let (sender, receiver) = oneshot::channel();
            gate.queue.push_back(sender);
            receiver
        };
        match tokio::time::timeout(SOURCE_TIME, receiver).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) => CapVerdict::Unheard(COME_BACK),
            Err(_) => {
                self.give_up(workspace);
                CapVerdict::Unheard(COME_BACK)
            }
        }
    }

    fn token_request(&self, workspace: &Arc<str>, gate: &mut WorkspaceGate) {
        let tag = self.tags.get();
        self.tags.set(tag + 1);
        let token_request: TokenRequest = gate.lease.token_request(workspace);
        gate.asked = Some(tag);
        self.open.borrow_mut().insert(tag, workspace.clone());
        let asks = vec![token_request];
        // A full ring: the connection stands still, and the request gives up.
        let _ = self.asks.offer(GroupMessage::AskCaps { tag, asks });
    }

    /// Takes the source's answer.
    pub fn handle_grant(&self, tag: u64, grants: &[TokenGrant]) {
        let Some(workspace) = self.open.borrow_mut().remove(&tag) else {
            return;
        };
        let now = self.clock.elapsed();
        let mut gates = self.gates.borrow_mut();
        let Some(gate) = gates.get_mut(&workspace) else {
            return;
        };
        let Some(grant) = grants.first().filter(|_| gate.asked == Some(tag)) else {
            return;
        };
        gate.asked = None;
        let turn = gate.lease.handle_grant(*grant, now);
        for _ in 0..turn.served {
            let waiting = gate.queue.pop_front();
            let is_taken = waiting.is_some_and(|waiting| waiting.send(CapVerdict::Taken).is_ok());
            if !is_taken {
                gate.lease.return_token(now);
            }
        }
        for _ in 0..turn.refused {
            if let Some(waiting) = gate.queue.pop_front() {
                // The caller may have left.
                let _ = waiting.send(CapVerdict::Reached(turn.retry_after));
            }
        }
        if turn.refused > 0 {
            tracing::info!(target: "entry", workspace = &*workspace, refused = turn.refused, "cap: reached");
        }
        if turn.asks {
            self.token_request(&workspace, gate);
        }
    }

    /// Ends the wait of all requests of a workspace whose source is silent.
    fn give_up(&self, workspace: &Arc<str>) {
        let mut gates = self.gates.borrow_mut();
        let Some(gate) = gates.get_mut(workspace) else {
            return;
        };
        if let Some(tag) = gate.asked.take() {
            self.open.borrow_mut().remove(&tag);
        }
        let waiting = gate.lease.clear_waiting();
        gate.queue.clear();
        tracing::warn!(target: "entry", workspace = &**workspace, waiting, "cap: the source did not answer");
    }

    /// Takes back the token of a request of which nothing was sent.
    pub fn return_token(&self, workspace: &Arc<str>) {
        let now = self.clock.elapsed();
        if let Some(gate) = self.gates.borrow_mut().get_mut(workspace) {
            gate.lease.return_token(now);
        }
    }
}
