//! The readiness of an instance, which load balancers query.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Tells whether an instance accepts new requests: its entry machine is ready,
/// and the instance is not leaving. Clones share the state.
#[derive(Debug, Clone, Default)]
pub struct ReadyFlag {
    /// Set by the entry thread once the entry machine is ready to serve
    /// requests.
    pub entry_ready: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
}

impl ReadyFlag {
    /// Records that the instance is leaving.
    pub fn start_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Tells whether the instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Tells whether the instance accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.entry_ready.load(Ordering::Relaxed) && !self.is_leaving()
    }
}
