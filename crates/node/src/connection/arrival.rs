//! Earliest possible arrival times of the requests on a connection.
//!
//! The time limit of a request counts from the moment at which the caller sent the
//! request. An event loop that is held up reads the request later than that, so the
//! arrival time is estimated from how late the loop is.

use std::cell::Cell;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::process::loop_watch::LoopDelayMonitor;

/// Earliest possible arrival times of the bytes read on a connection, since the process
/// started.
#[derive(Debug, Default)]
pub struct ArrivalMark {
    /// Arrival time of the first bytes read since the last call of
    /// [`take_arrival`](ArrivalMark::take_arrival).
    request_start: Cell<Option<Duration>>,
    /// Arrival time of the bytes that were read last.
    last_read: Cell<Duration>,
}

impl ArrivalMark {
    /// Records that bytes were read which may have arrived as early as `earliest`.
    pub fn record_read(&self, earliest: Duration) {
        self.last_read.set(earliest);
        if self.request_start.get().is_none() {
            self.request_start.set(Some(earliest));
        }
    }

    /// Returns the earliest possible arrival time of the request that starts now.
    pub fn take_arrival(&self) -> Duration {
        self.request_start.take().unwrap_or(self.last_read.get())
    }

    /// Records that a request has ended. The bytes read since its start belong to its
    /// body and say nothing about the arrival of the next request.
    pub fn end_request(&self) {
        self.request_start.set(None);
    }
}

/// A TCP connection that records the earliest possible arrival time of each read.
#[derive(Debug)]
pub struct ArrivalStream {
    stream: TcpStream,
    watch: Rc<LoopDelayMonitor>,
    mark: Rc<ArrivalMark>,
    accepted_at: Duration,
    /// Earliest time at which the caller may have opened the connection.
    opened_at: Duration,
}

impl ArrivalStream {
    /// Wraps a connection that has just been accepted.
    pub fn new(stream: TcpStream, watch: Rc<LoopDelayMonitor>) -> ArrivalStream {
        ArrivalStream {
            stream,
            mark: Rc::default(),
            accepted_at: watch.now(),
            opened_at: watch.earliest(),
            watch,
        }
    }

    /// Returns the shared arrival times of the connection.
    pub fn mark(&self) -> Rc<ArrivalMark> {
        self.mark.clone()
    }

    /// Returns the earliest possible arrival time of the bytes that are read now.
    ///
    /// Bytes that arrived while the connection waited to be accepted may be as old as
    /// the connection itself.
    fn earliest(&self) -> Duration {
        let earliest = self.watch.earliest();
        let was_queued = self.opened_at < self.accepted_at;
        if was_queued && self.watch.last_due() <= self.accepted_at {
            return earliest.min(self.opened_at);
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
        let length_before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > length_before {
            self.mark.record_read(self.earliest());
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
