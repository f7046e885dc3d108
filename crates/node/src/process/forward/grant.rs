//! Body of a relayed request, and the attempt allowance that may follow the body.
//!
//! An entry that relays a request to this one writes the request's body first. Later
//! it may append a digit that raises the attempt allowance: the number of servers
//! that this entry may try per shard. Waiting for the digit makes the HTTP library
//! send `100 Continue`, which the other entry takes as the acknowledgement that this
//! entry is processing the request.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONTENT_LENGTH};
use wheelmast_core::process::forward::input::ForwardInput;
use wheelmast_core::process::input::CallTag;
use wheelmast_wire::dialect::ForwardDialect;

use crate::connection::client_memory::MemoryReservation;
use crate::connection::http_syntax::parse_digits;
use crate::connection::request_body::{append, BodyError};
use crate::process::forward::entry::ForwardDriver;
use crate::process::forward::image::{parse_allowance, ALLOWANCE_BYTES};

/// Reads the raised attempt allowance that may follow the body of a relayed request.
#[derive(Debug)]
pub struct AllowanceReader {
    body: Incoming,
    /// First byte beyond the request's own body, if it was read.
    first_byte: Option<u8>,
}

impl AllowanceReader {
    /// Reads the body of a relayed request, of at most `max_bytes` bytes, and returns
    /// the body with a reader of the allowance. `memory` covers what is held, besides
    /// `other_bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the body is too long, has no `content-length`, or ends early.
    pub async fn read_body(
        headers: &HeaderMap,
        mut body: Incoming,
        max_bytes: usize,
        memory: &mut MemoryReservation,
        other_bytes: usize,
    ) -> Result<(Bytes, AllowanceReader), BodyError> {
        let length = headers.get(CONTENT_LENGTH);
        let length = length.and_then(|value| parse_digits(value.as_bytes()));
        let length = length.ok_or(BodyError::Unreadable)?;
        let body_length = length.saturating_sub(ALLOWANCE_BYTES);
        if body_length > max_bytes {
            return Err(BodyError::TooLarge);
        }
        let mut buffer = Vec::new();
        while buffer.len() < body_length {
            let data = read_data(&mut body).await.ok_or(BodyError::Unreadable)?;
            let rest_bytes = length.saturating_sub(buffer.len() + data.len());
            append(
                &mut buffer,
                &data,
                Some(rest_bytes as u64),
                memory,
                other_bytes,
            )
            .await?;
        }
        let mut body_bytes = Bytes::from(buffer);
        let rest = body_bytes.split_off(body_length);
        let first_byte = rest.first().copied();
        Ok((body_bytes, AllowanceReader { body, first_byte }))
    }

    /// Waits for a raised attempt allowance and passes it to the forward machine.
    pub async fn receive_allowance<D: ForwardDialect>(
        mut self,
        entry: Rc<ForwardDriver<D>>,
        tag: CallTag,
    ) {
        while self.first_byte.is_none() {
            let Some(data) = read_data(&mut self.body).await else {
                return;
            };
            self.first_byte = data.first().copied();
        }
        if let Some(attempts) = self.first_byte.and_then(parse_allowance) {
            entry.step(ForwardInput::AllowanceRaised(tag, attempts));
        }
    }
}

/// Reads the data of the next frame of a body. Returns `None` if the body has ended or cannot
/// be read.
async fn read_data(body: &mut Incoming) -> Option<Bytes> {
    let frame = body.frame().await?.ok()?;
    Some(frame.into_data().unwrap_or_default())
}
