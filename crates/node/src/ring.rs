//! Rings: bounded message queues between the threads of an instance.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use tokio::sync::mpsc;

/// The sending end of a ring (a bounded queue).
#[derive(Debug)]
pub struct RingSender<T> {
    sender: mpsc::Sender<T>,
    dropped: Arc<AtomicU64>,
}

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> Self {
        RingSender {
            sender: self.sender.clone(),
            dropped: self.dropped.clone(),
        }
    }
}

/// The receiving end of a ring (a bounded queue).
pub type RingReceiver<T> = mpsc::Receiver<T>;

/// Creates a ring that holds up to `capacity` messages.
pub fn bounded_ring<T>(capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    let (sender, receiver) = mpsc::channel(capacity);
    let sender = RingSender {
        sender,
        dropped: Arc::default(),
    };
    (sender, receiver)
}

impl<T> RingSender<T> {
    /// Adds a message to the ring without waiting.
    ///
    /// # Errors
    ///
    /// Returns the message if the ring is full or the receiver was dropped.
    pub fn offer(&self, message: T) -> Result<(), T> {
        self.sender.try_send(message).map_err(|error| {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            error.into_inner()
        })
    }

    /// Waits for capacity and adds a message to the ring. Discards the message if
    /// the receiver was dropped, because the instance is then shutting down.
    pub async fn put(&self, message: T) {
        let _ = self.sender.send(message).await;
    }

    /// Does the same as [`RingSender::put`], but blocks the calling thread.
    pub fn put_blocking(&self, message: T) {
        let _ = self.sender.blocking_send(message);
    }

    /// Returns how many messages [`RingSender::offer`] rejected.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
