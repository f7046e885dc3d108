//! Whether an instance wants new requests.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Tells whether an instance wants new requests: it has learned enough to
/// serve them, and it is not leaving.
#[derive(Debug, Clone, Default)]
pub struct ReadyFlag {
    /// Set by the entry thread once it has learned enough.
    pub entry_ready: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
}

impl ReadyFlag {
    /// Takes note that the instance leaves.
    pub fn start_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Tells whether the instance leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Tells whether the instance wants new requests.
    pub fn is_ready(&self) -> bool {
        self.entry_ready.load(Ordering::Relaxed) && !self.is_leaving()
    }
}
