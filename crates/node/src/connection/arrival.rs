//! When the requests on a connection may have come at the earliest.
//!
//! A caller's time runs from the moment at which it sent its request, not from
//! the one at which a loop that is held up reads it.

use std::cell::Cell;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::process::loop_watch::LoopDelayMonitor;

/// When what was read on a connection may have come; since the process started.
#[derive(Debug, Default)]
pub struct ArrivalMark {
    /// The first bytes since a request was taken.
    first: Cell<Option<Duration>>,
    /// The last bytes.
    last: Cell<Duration>,
}

impl ArrivalMark {
    /// Takes note of bytes that may have come as early as this.
    pub fn note(&self, earliest: Duration) {
        self.last.set(earliest);
        if self.first.get().is_none() {
            self.first.set(Some(earliest));
        }
    }

    /// Returns when the request that begins now may have come.
    pub fn take(&self) -> Duration {
        self.first.take().unwrap_or(self.last.get())
    }

    /// Takes note that a request has ended: what was read meanwhile was its
    /// body.
    pub fn end(&self) {
        self.first.set(None);
    }
}

/// A connection that marks when what is read on it may have come.
#[derive(Debug)]
pub struct ArrivalStream {
    stream: TcpStream,
    watch: Rc<LoopDelayMonitor>,
    mark: Rc<ArrivalMark>,
    accepted: Duration,
    /// When it may have been opened at the earliest.
    opened: Duration,
}

impl ArrivalStream {
    /// Returns a connection that has just been accepted.
    pub fn new(stream: TcpStream, watch: Rc<LoopDelayMonitor>) -> ArrivalStream {
        ArrivalStream {
            stream,
            mark: Rc::default(),
            accepted: watch.now(),
            opened: watch.earliest(),
            watch,
        }
    }

    /// Returns where it marks.
    pub fn mark(&self) -> Rc<ArrivalMark> {
        self.mark.clone()
    }

    /// Returns when what is read now may have come. What came before the
    /// connection was accepted may be as old as the connection.
    fn earliest(&self) -> Duration {
        let earliest = self.watch.earliest();
        let waited = self.opened < self.accepted;
        if waited && self.watch.last_due() <= self.accepted {
            return earliest.min(self.opened);
        }
        earliest
    }
}

impl AsyncRead for ArrivalStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.mark.note(self.earliest());
        }
        read
    }
}

impl AsyncWrite for ArrivalStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
