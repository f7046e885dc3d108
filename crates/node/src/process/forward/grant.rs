//! Requests of other entries: their body, and what they grant behind it.
//!
//! Waiting for what comes behind the body makes the HTTP library send its word
//! to continue, by which the entry that asks knows that this one is at work.

use std::rc::Rc;

use anyhow::{bail, Context};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONTENT_LENGTH};
use wheelmast_core::process::forward::input::ForwardInput;
use wheelmast_core::process::input::CallTag;
use wheelmast_wire::dialect::ForwardDialect;

use crate::process::forward::entry::EntryDuty;
use crate::process::forward::image::{parse_allowance, ALLOWANCE_BYTES};

/// What is left of a request of another entry once its body was read.
#[derive(Debug)]
pub struct GrantReader {
    body: Incoming,
    /// What was read beyond the body.
    spare: BytesMut,
}

impl GrantReader {
    /// Reads the body of a request that another entry passed on, of `most`
    /// bytes at most.
    ///
    /// # Errors
    ///
    /// Fails if it is too long, tells no length, or breaks off.
    pub async fn read_body(
        headers: &HeaderMap,
        mut body: Incoming,
        most: usize,
    ) -> anyhow::Result<(Bytes, GrantReader)> {
        let length = headers
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok());
        let length: usize = length
            .context("could not find the length of a passed on request")?
            .parse()?;
        let own = length.saturating_sub(ALLOWANCE_BYTES);
        if own > most {
            bail!("could not take a passed on request of {own} bytes");
        }
        let mut spare = BytesMut::new();
        while spare.len() < own {
            read_more(&mut body, &mut spare).await?;
        }
        let own = spare.split_to(own).freeze();
        Ok((own, GrantReader { body, spare }))
    }

    /// Waits for what is granted and tells the entry's machine.
    pub async fn wait<D: ForwardDialect>(mut self, entry: Rc<EntryDuty<D>>, tag: CallTag) {
        while self.spare.is_empty() {
            if read_more(&mut self.body, &mut self.spare).await.is_err() {
                return;
            }
        }
        if let Some(attempts) = parse_allowance(&self.spare) {
            entry.step(ForwardInput::AllowanceRaised(tag, attempts));
        }
    }
}

/// Reads the next bytes of a body.
async fn read_more(body: &mut Incoming, spare: &mut BytesMut) -> anyhow::Result<()> {
    let Some(frame) = body.frame().await else {
        bail!("could not read a passed on request to its end");
    };
    if let Ok(data) = frame?.into_data() {
        spare.extend_from_slice(&data);
    }
    Ok(())
}
