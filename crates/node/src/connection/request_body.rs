//! Reading the body of a client's request within limits on its size and on memory.

use std::future::Future;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::Instant;

use crate::connection::client::Eviction;
use crate::connection::client_memory::MemoryReservation;

/// Buffer space by which the buffer of a body grows at least, in bytes.
const MIN_GROWTH_BYTES: usize = 4 * 1024;

/// Reason why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than allowed.
    TooLarge,
    /// The connection failed, or the body is malformed or incomplete.
    Unreadable,
    /// There is too little memory for the body, or another client got its place.
    MemoryExhausted,
    /// The client took too long to send the body.
    TimedOut,
}

/// Waits for `reading` until `deadline`, or until the client is evicted.
///
/// # Errors
///
/// Fails if the body was not read in time or at all.
pub async fn read_before<T>(
    deadline: Instant,
    eviction: &Eviction,
    reading: impl Future<Output = Result<T, BodyError>>,
) -> Result<T, BodyError> {
    tokio::select! {
        biased;
        result = reading => result,
        () = eviction.wait() => Err(BodyError::MemoryExhausted),
        () = tokio::time::sleep_until(deadline) => Err(BodyError::TimedOut),
    }
}

/// Reads a body of at most `max_bytes` bytes. `memory` covers what is held, besides
/// `other_bytes` of the request's head.
///
/// The frames of a body are copied: each refers to the whole buffer of its connection, however
/// small it is.
///
/// # Errors
///
/// Fails if the body cannot be read within the limits.
pub async fn read_body<B: Body<Data = Bytes> + Unpin>(
    mut body: B,
    max_bytes: usize,
    memory: &mut MemoryReservation,
    other_bytes: usize,
) -> Result<Bytes, BodyError> {
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Unreadable)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        append(
            &mut buffer,
            &data,
            body.size_hint().exact(),
            memory,
            other_bytes,
        )
        .await?;
    }
    Ok(buffer.into())
}

/// Appends `data` to `buffer`. `rest_bytes` is the size of what follows, if it is known.
///
/// # Errors
///
/// Fails with [`BodyError::MemoryExhausted`].
pub async fn append(
    buffer: &mut Vec<u8>,
    data: &[u8],
    rest_bytes: Option<u64>,
    memory: &mut MemoryReservation,
    other_bytes: usize,
) -> Result<(), BodyError> {
    let needed = buffer.len() + data.len();
    if needed > buffer.capacity() {
        let doubled = needed.max(buffer.len() * 2).max(MIN_GROWTH_BYTES);
        let capacity = match rest_bytes {
            Some(rest) => doubled.min(needed + rest as usize),
            None => doubled,
        };
        let resized = memory.resize(capacity + other_bytes).await;
        resized.map_err(|_| BodyError::MemoryExhausted)?;
        buffer.reserve_exact(capacity - buffer.len());
    }
    buffer.extend_from_slice(data);
    Ok(())
}
