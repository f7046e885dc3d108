//! Body of a subquery. All subqueries of a request share the caller's payload.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use wheelmast_core::prelude::{RequestBody, SendOrder};
use wheelmast_wire::upstream::{encode_search_start, MessageError, SEARCH_REQUEST_END};

/// Number of parts of a body: what precedes the payload, the payload, and its end.
const PARTS: usize = 3;

/// Body of a subquery, as parts that are sent one after the other.
#[derive(Debug)]
pub struct SearchBody {
    parts: [Bytes; PARTS],
    next: usize,
}

impl SearchBody {
    /// Encodes the subquery of `order`, as sent at `now`.
    ///
    /// # Errors
    ///
    /// Fails if the order cannot be encoded.
    pub fn new(order: &SendOrder, now: Duration) -> Result<SearchBody, MessageError> {
        let start = encode_search_start(order, now)?;
        let payload = Bytes::from_owner(SharedPayload(order.body.clone()));
        Ok(SearchBody {
            parts: [
                start.into(),
                payload,
                Bytes::from_static(SEARCH_REQUEST_END),
            ],
            next: 0,
        })
    }
}

impl Body for SearchBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let next = self.next;
        let part = self.parts.get_mut(next).map(std::mem::take);
        self.next += 1;
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.next >= PARTS
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.parts.iter().map(|part| part.len() as u64).sum())
    }
}

/// Payload of a request that several subqueries refer to.
struct SharedPayload(Arc<RequestBody>);

impl AsRef<[u8]> for SharedPayload {
    fn as_ref(&self) -> &[u8] {
        &self.0.payload
    }
}
