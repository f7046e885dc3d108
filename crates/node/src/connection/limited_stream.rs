//! A stream that fails once more bytes were read than allowed.
//!
//! The HTTP library limits the size of a head, but not the number of interim heads (1xx)
//! before the final one.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes that may still be read from a [`LimitedStream`]. Clones share the number.
#[derive(Debug, Clone, Default)]
pub struct ReadAllowance(Arc<AtomicUsize>);

impl ReadAllowance {
    /// Allows `bytes` more bytes to be read from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }
}

/// A stream whose reads fail once the allowance is exceeded.
#[derive(Debug)]
pub struct LimitedStream<S> {
    stream: S,
    allowance: ReadAllowance,
}

impl<S> LimitedStream<S> {
    /// Wraps a stream. Nothing may be read before the returned allowance is set.
    pub fn new(stream: S) -> (LimitedStream<S>, ReadAllowance) {
        let allowance = ReadAllowance::default();
        let limited = LimitedStream {
            stream,
            allowance: allowance.clone(),
        };
        (limited, allowance)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        let allowed = self.allowance.0.load(Ordering::Relaxed);
        let Some(left) = allowed.checked_sub(count) else {
            return Poll::Ready(Err(Error::new(
                ErrorKind::InvalidData,
                "reply is too large",
            )));
        };
        self.allowance.0.store(left, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
