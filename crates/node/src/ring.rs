//! Bounded rings between the threads of an instance.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use tokio::sync::mpsc;

/// The sending end of a ring.
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

/// The receiving end of a ring.
pub type RingReceiver<T> = mpsc::Receiver<T>;

/// Makes a ring with room for `capacity` messages.
pub fn bounded_ring<T>(capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    let (sender, receiver) = mpsc::channel(capacity);
    let sender = RingSender {
        sender,
        dropped: Arc::default(),
    };
    (sender, receiver)
}

impl<T> RingSender<T> {
    /// Puts a message into the ring, or gives it back if the ring is full or
    /// its other end is gone.
    ///
    /// # Errors
    ///
    /// Returns the message that found no room.
    pub fn offer(&self, message: T) -> Result<(), T> {
        self.sender.try_send(message).map_err(|error| {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            error.into_inner()
        })
    }

    /// Waits for room and puts a message into the ring. A ring whose other
    /// end is gone swallows it: the instance is ending.
    pub async fn put(&self, message: T) {
        let _ = self.sender.send(message).await;
    }

    /// Waits for room and puts a message into the ring, from a thread that may
    /// wait.
    pub fn put_blocking(&self, message: T) {
        let _ = self.sender.blocking_send(message);
    }

    /// Returns how many messages found no room.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
