//! A client's connection that records what the client sends and reads.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::connection::client::ClientState;
use crate::connection::client_memory::{ClientMemory, MemoryReservation, MemoryUse};

/// Size of a head up to which it does not count as memory held for the client, in bytes. Each
/// connection may have a buffer of this size.
const UNCOUNTED_HEAD_BYTES: usize = 16 * 1024;

/// A stream that records reads and writes in the state of a client's connection, and counts
/// the memory of large heads while they are received.
#[derive(Debug)]
pub struct ClientStream<S> {
    stream: S,
    client: Arc<ClientState>,
    memory: ClientMemory,
    /// Size of the part of a head that was received, in bytes.
    head_bytes: usize,
    head_memory: Option<MemoryReservation>,
}

impl<S> ClientStream<S> {
    /// Wraps the stream of an accepted connection.
    pub fn new(stream: S, client: Arc<ClientState>, memory: ClientMemory) -> ClientStream<S> {
        ClientStream {
            stream,
            client,
            memory,
            head_bytes: 0,
            head_memory: None,
        }
    }

    /// Records that `count` bytes were read.
    fn record_read(&mut self, count: usize) -> Result<()> {
        self.client.record_read();
        if !self.client.is_receiving_head() {
            self.head_bytes = 0;
            self.head_memory = None;
            return Ok(());
        }
        self.head_bytes += count;
        if self.head_bytes <= UNCOUNTED_HEAD_BYTES {
            return Ok(());
        }
        let head_memory = self.head_memory.get_or_insert_with(|| {
            let eviction = self.client.eviction.clone();
            self.memory.hold(MemoryUse::Request, eviction)
        });
        let resized = head_memory.resize_now(self.head_bytes);
        resized.map_err(|_| Error::from(ErrorKind::OutOfMemory))
    }

    /// Records the result of a write.
    fn record(&self, written: Poll<Result<usize>>) -> Poll<Result<usize>> {
        if let Poll::Ready(Ok(count)) = &written {
            if *count > 0 {
                self.client.record_write();
            }
        }
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ClientStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let length_before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.client.record_read_wait();
        }
        match buffer.filled().len() - length_before {
            0 => read,
            count => Poll::Ready(self.record_read(count)),
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ClientStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.record(written)
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
