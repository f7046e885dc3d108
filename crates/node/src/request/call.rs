//! A caller's request on its way through the entry thread.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use tokio::sync::oneshot;
use wheelmast_core::prelude::{CallTag, EntryInput, QueryOutcome, QueryRequest, RequestBody};

use crate::process::entry::EntryMessage;
use crate::ring::RingSender;

static NEXT_CALL_TAG: AtomicU64 = AtomicU64::new(1);

/// Tells the entry thread that a caller left, if it is dropped early.
struct CallGuard {
    call: CallTag,
    ring: RingSender<EntryMessage>,
    is_armed: bool,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if self.is_armed {
            // Without room the query ends at its deadline instead.
            let message = EntryMessage::Input(EntryInput::CallerLeft(self.call));
            let _ = self.ring.offer(message);
        }
    }
}

/// Why a call got no outcome from the entry thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The entry thread's ring is full; the request was not let in.
    Busy,
    /// The entry thread ended before the outcome.
    Ended,
}

/// A caller's request before it is let in.
#[derive(Debug)]
pub struct CallRequest {
    /// Service asked for.
    pub service: Box<str>,
    /// Time the caller gives it.
    pub deadline: Option<std::time::Duration>,
    /// What is passed on.
    pub body: RequestBody,
}

/// Hands a request to the entry thread and waits for its one outcome. If the
/// future is dropped first, the entry thread learns that the caller left.
///
/// # Errors
///
/// Fails if the entry thread cannot take it.
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
