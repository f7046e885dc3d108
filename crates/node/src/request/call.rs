//! Passes a caller's request to the entry thread, which makes all decisions, and
//! waits for the outcome.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use tokio::sync::oneshot;
use wheelmast_core::prelude::{CallTag, EntryInput, QueryOutcome, QueryRequest, RequestBody};

use crate::process::entry::EntryMessage;
use crate::ring::RingSender;

/// Tag of the next call, unique within the process.
static NEXT_CALL_TAG: AtomicU64 = AtomicU64::new(1);

/// Notifies the entry thread that the caller disconnected, if the guard is
/// dropped before the outcome arrived.
struct CallGuard {
    call: CallTag,
    ring: RingSender<EntryMessage>,
    is_armed: bool,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.is_armed {
            // If the ring is full, the query ends at its deadline instead.
            let message = EntryMessage::Input(EntryInput::CallerLeft(self.call));
            let _ = self.ring.offer(message);
        }
    }
}

/// Why the entry thread returned no outcome for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The entry thread's ring is full, so the request was not accepted.
    Busy,
    /// The entry thread stopped before it returned the outcome.
    Ended,
}

/// A caller's request, before the entry thread accepts it.
#[derive(Debug)]
pub struct CallRequest {
    /// Name of the requested service.
    pub service: Box<str>,
    /// Time limit that the caller set, if any.
    pub deadline: Option<std::time::Duration>,
    /// Contents of the request, passed on to the upstream servers.
    pub body: RequestBody,
}

/// Sends a request to the entry thread and waits for the outcome. If the future
/// is dropped before the outcome arrived, the entry thread is notified that the
/// caller disconnected.
///
/// # Errors
///
/// Fails if the entry thread's ring is full or the entry thread stopped.
pub async fn make_call(
    ring: &RingSender<EntryMessage>,
    request: CallRequest,
) -> Result<QueryOutcome, CallError> {
    let call = CallTag(NEXT_CALL_TAG.fetch_add(1, Ordering::Relaxed));
    let (sender, receiver) = oneshot::channel();
    let request = QueryRequest {
        call,
        service: request.service,
        deadline: request.deadline,
        body: Arc::new(request.body),
    };
    let message = EntryMessage::Call {
        request,
        outcome: sender,
    };
    ring.offer(message).map_err(|_| CallError::Busy)?;
    let mut guard = CallGuard {
        call,
        ring: ring.clone(),
        is_armed: true,
    };
    let outcome = receiver.await;
    guard.is_armed = false;
    outcome.map_err(|_| CallError::Ended)
}
