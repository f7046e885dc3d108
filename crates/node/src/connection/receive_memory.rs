//! Limit on the memory for answers that are being received, over all connections.
//!
//! Each answer has a size limit of its own, but a server that sends bytes without end reaches
//! it on every connection. Small answers are not counted, so that they are received also while
//! the memory is used up by large ones.

use std::io::{Error, ErrorKind, Result};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Maximum number of bytes that all answers together hold beyond [`UNCOUNTED_BYTES`] each.
const MAX_RECEIVE_BYTES: usize = 32 * 1024 * 1024;
/// Number of bytes of each answer that are not counted.
const UNCOUNTED_BYTES: usize = 32 * 1024;

/// Number of counted bytes of all answers that are being received.
static RECEIVED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// The counted bytes of one answer. Dropping the value releases them.
#[derive(Debug, Default)]
pub struct ReceiveReservation {
    bytes: usize,
}

impl ReceiveReservation {
    /// Counts an answer of which `received` bytes are held now.
    ///
    /// # Errors
    ///
    /// Fails if all answers together would hold too much.
    pub fn cover(&mut self, received: usize) -> Result<()> {
        let needed = received.saturating_sub(UNCOUNTED_BYTES);
        let Some(more) = needed.checked_sub(self.bytes).filter(|more| *more > 0) else {
            return Ok(());
        };
        let before = RECEIVED_BYTES.fetch_add(more, Ordering::Relaxed);
        self.bytes = needed;
        if before + more > MAX_RECEIVE_BYTES {
            return Err(Error::new(
                ErrorKind::OutOfMemory,
                "answers that are being received hold too much memory",
            ));
        }
        Ok(())
    }
}

impl Drop for ReceiveReservation {
    fn drop(&mut self) {
        RECEIVED_BYTES.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
