//! Body of a relayed request, and the attempt allowance that may follow the body.
//!
//! An entry that relays a request to this one writes the request's body first. Later
//! it may append a digit that raises the attempt allowance: the number of servers
//! that this entry may try per shard. Waiting for the digit makes the HTTP library
//! send `100 Continue`, which the other entry takes as the acknowledgement that this
//! entry is processing the request.

use std::rc::Rc;

use anyhow::{bail, Context};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONTENT_LENGTH};
use wheelmast_core::process::forward::input::ForwardInput;
use wheelmast_core::process::input::CallTag;
use wheelmast_wire::dialect::ForwardDialect;

use crate::process::forward::entry::ForwardDriver;
use crate::process::forward::image::{parse_allowance, ALLOWANCE_BYTES};

/// Reads the raised attempt allowance that may follow the body of a relayed request.
#[derive(Debug)]
pub struct AllowanceReader {
    body: Incoming,
    /// Bytes read beyond the request's own body.
    buffer: BytesMut,
}

impl AllowanceReader {
    /// Reads the body of a relayed request, of at most `max_bytes` bytes, and returns
    /// the body with a reader of the allowance.
    ///
    /// # Errors
    ///
    /// Fails if the body is too long, has no `content-length`, or ends early.
    pub async fn read_body(
        headers: &HeaderMap,
        mut body: Incoming,
        max_bytes: usize,
    ) -> anyhow::Result<(Bytes, AllowanceReader)> {
        let length = headers
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok());
        let length: usize = length
            .context("could not find the content length of a relayed request")?
            .parse()?;
        let body_length = length.saturating_sub(ALLOWANCE_BYTES);
        if body_length > max_bytes {
            bail!("relayed request has a body of {body_length} bytes; the limit is {max_bytes}");
        }
        let mut buffer = BytesMut::new();
        while buffer.len() < body_length {
            read_more(&mut body, &mut buffer).await?;
        }
        let body_bytes = buffer.split_to(body_length).freeze();
        Ok((body_bytes, AllowanceReader { body, buffer }))
    }

    /// Waits for a raised attempt allowance and passes it to the forward machine.
    pub async fn receive_allowance<D: ForwardDialect>(
        mut self,
        entry: Rc<ForwardDriver<D>>,
        tag: CallTag,
    ) {
        while self.buffer.is_empty() {
            if read_more(&mut self.body, &mut self.buffer).await.is_err() {
                return;
            }
        }
        if let Some(attempts) = parse_allowance(&self.buffer) {
            entry.step(ForwardInput::AllowanceRaised(tag, attempts));
        }
    }
}

/// Reads the next frame of a body and appends its data to `buffer`.
async fn read_more(body: &mut Incoming, buffer: &mut BytesMut) -> anyhow::Result<()> {
    let Some(frame) = body.frame().await else {
        bail!("relayed request ended before its whole body was read");
    };
    if let Ok(data) = frame?.into_data() {
        buffer.extend_from_slice(&data);
    }
    Ok(())
}
