//! Admission of requests whose workspace (customer) has a usage cap.
//!
//! Each request of a capped workspace takes a token before any attempt is sent to a
//! server. Without a token at this entry, the request waits while the entry asks its
//! source, the control instance that serves it, for more.

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

/// Maximum time that a request waits for the source's answer.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(250);
/// Retry time sent to callers when the source did not answer.
const SOURCE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Maximum number of token requests queued for the connection to the source.
const REQUEST_RING_LENGTH: usize = 256;

/// Result of asking for a token for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CapVerdict {
    /// The request has a token.
    Admitted,
    /// The cap is reached; the caller may try again after this time.
    Refused(Duration),
    /// The source did not answer; the caller may try again after this time.
    SourceUnavailable(Duration),
}

/// Tokens of one workspace, and the requests that wait for a token.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    lease: CapLease,
    waiting_requests: VecDeque<oneshot::Sender<CapVerdict>>,
    /// Tag of the token request that the source has not answered yet.
    pending_tag: Option<u64>,
}

/// Tokens of all capped workspaces at an entry, and the requests that wait for tokens.
#[derive(Debug)]
pub struct CapGate {
    clock: ProcessClock,
    /// Tokens and waiting requests by workspace.
    queues: RefCell<HashMap<Arc<str>, WorkspaceQueue>>,
    next_tag: Cell<u64>,
    /// Messages to the source.
    token_requests: RingSender<GroupMessage>,
    /// Receiving end of `token_requests`, until the task that sends them takes it.
    request_receiver: RefCell<Option<RingReceiver<GroupMessage>>>,
    /// Workspaces of the unanswered token requests, by tag.
    pending_workspaces: RefCell<HashMap<u64, Arc<str>>>,
}

impl CapGate {
    /// Returns a gate without tokens that uses the clock of an entry.
    pub fn new(clock: ProcessClock) -> CapGate {
        let (token_requests, request_receiver) = bounded_ring(REQUEST_RING_LENGTH);
        CapGate {
            clock,
            queues: RefCell::default(),
            next_tag: Cell::new(0),
            token_requests,
            request_receiver: RefCell::new(Some(request_receiver)),
            pending_workspaces: RefCell::default(),
        }
    }

    /// Returns the receiver of the messages to the source; `None` after the first call.
    pub fn take_request_receiver(&self) -> Option<RingReceiver<GroupMessage>> {
        self.request_receiver.borrow_mut().take()
    }

    /// Takes a token for a request. If the entry holds none, waits until the source
    /// answers or `SOURCE_TIMEOUT` has passed.
    pub async fn acquire(&self, workspace: &Arc<str>) -> CapVerdict {
        let now = self.clock.elapsed();
        let receiver = {
            let mut queues = self.queues.borrow_mut();
            let queue = queues.entry(workspace.clone()).or_default();
            match queue.lease.admit_request(now) {
                AdmissionStep::Admit => return CapVerdict::Admitted,
                AdmissionStep::Refuse(after) => return CapVerdict::Refused(after),
                AdmissionStep::Wait => {}
                AdmissionStep::RequestTokens => self.send_token_request(workspace, queue),
            }
            let (sender, receiver) = oneshot::channel();
            queue.waiting_requests.push_back(sender);
            receiver
        };
        match tokio::time::timeout(SOURCE_TIMEOUT, receiver).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) => CapVerdict::SourceUnavailable(SOURCE_RETRY_AFTER),
            Err(_) => {
                self.fail_waiting(workspace);
                CapVerdict::SourceUnavailable(SOURCE_RETRY_AFTER)
            }
        }
    }

    /// Queues a token request to the source for all waiting requests of a workspace.
    fn send_token_request(&self, workspace: &Arc<str>, queue: &mut WorkspaceQueue) {
        let tag = self.next_tag.get();
        self.next_tag.set(tag + 1);
        let token_request: TokenRequest = queue.lease.token_request(workspace);
        queue.pending_tag = Some(tag);
        self.pending_workspaces
            .borrow_mut()
            .insert(tag, workspace.clone());
        let token_requests = vec![token_request];
        // If the ring is full, the connection to the source is stalled. The message is
        // dropped, and the waiting requests time out.
        let _ = self.token_requests.offer(GroupMessage::AskCaps {
            tag,
            asks: token_requests,
        });
    }

    /// Handles the source's answer to the token request `tag`: admits or refuses
    /// waiting requests.
    pub fn handle_grant(&self, tag: u64, grants: &[TokenGrant]) {
        let Some(workspace) = self.pending_workspaces.borrow_mut().remove(&tag) else {
            return;
        };
        let now = self.clock.elapsed();
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(&workspace) else {
            return;
        };
        let Some(grant) = grants.first().filter(|_| queue.pending_tag == Some(tag)) else {
            return;
        };
        queue.pending_tag = None;
        let outcome = queue.lease.handle_grant(*grant, now);
        for _ in 0..outcome.served {
            let waiting = queue.waiting_requests.pop_front();
            let is_delivered =
                waiting.is_some_and(|waiting| waiting.send(CapVerdict::Admitted).is_ok());
            if !is_delivered {
                queue.lease.return_token(now);
            }
        }
        for _ in 0..outcome.refused {
            if let Some(waiting) = queue.waiting_requests.pop_front() {
                // Sending fails if the caller has disconnected.
                let _ = waiting.send(CapVerdict::Refused(outcome.retry_after));
            }
        }
        if outcome.refused > 0 {
            tracing::info!(target: "entry", workspace = &*workspace, refused = outcome.refused, "cap: reached");
        }
        if outcome.asks {
            self.send_token_request(&workspace, queue);
        }
    }

    /// Ends the wait of all requests of a workspace, because the source did not answer.
    fn fail_waiting(&self, workspace: &Arc<str>) {
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(workspace) else {
            return;
        };
        if let Some(tag) = queue.pending_tag.take() {
            self.pending_workspaces.borrow_mut().remove(&tag);
        }
        let waiting = queue.lease.clear_waiting();
        queue.waiting_requests.clear();
        tracing::warn!(target: "entry", workspace = &**workspace, waiting, "cap: the source did not answer");
    }

    /// Returns the token of a request of which no attempt was sent.
    pub fn return_token(&self, workspace: &Arc<str>) {
        let now = self.clock.elapsed();
        if let Some(queue) = self.queues.borrow_mut().get_mut(workspace) {
            queue.lease.return_token(now);
        }
    }
}
