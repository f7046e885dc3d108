//! Reader of the answers on a connection: heads, bodies and trailers of HTTP/1.1, within limits.

use std::future::Future;
use std::io::{ErrorKind, Result};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::connection::answer_head::{
    invalid_data, may_end_head, parse_head, AnswerHead, BodyFraming, FIRST_FINAL_STATUS, LINE_END,
    MAX_BODY_BYTES,
};
use crate::connection::client_memory::AnswerMemory;
use crate::connection::http_syntax::{parse_chunk_line, split_field_line};

/// Maximum size of the heads of an answer, the interim ones included, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum size of the trailers of an answer, in bytes.
const MAX_TRAILER_BYTES: usize = 64 * 1024;
/// Maximum size of the line that begins a chunk, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 16 * 1024;
/// Maximum number of bytes that the chunks of a body may add to it. Small chunks cost much
/// processor time for each byte of the body.
pub(crate) const MAX_FRAMING_BYTES: usize = 256 * 1024;
/// Number of bytes before a read that may belong to the end of a head.
const HEAD_END_OVERLAP: usize = 3;
/// Size of the line breaks around the data of a chunk, in bytes.
const CHUNK_BREAK_BYTES: usize = 4;
/// Status code `100 Continue`, by which a server asks for the rest of a request.
const CONTINUE_STATUS: u16 = 100;
/// Buffer space reserved before each read, in bytes.
pub(crate) const READ_BUFFER_BYTES: usize = 8 * 1024;

/// An answer that was received completely.
#[derive(Debug)]
pub struct CompleteAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the headers, in the order received.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// Body, without transfer encoding.
    pub body: Bytes,
    /// Memory that the body takes.
    pub memory: AnswerMemory,
    /// Maximum idle time of the connection before its next use. `None` if the
    /// connection must not be used again.
    pub keep_alive: Option<Duration>,
}

/// Reads one answer from a connection. The size of each of its elements is limited, as a
/// server may send bytes without end at any place.
pub(crate) struct AnswerReader<'a> {
    stream: &'a mut TcpStream,
    /// Bytes received and not parsed yet.
    buffer: &'a mut BytesMut,
    /// Memory taken by the part of the body that was received and removed from `buffer`.
    body_bytes: usize,
    memory: AnswerMemory,
}

impl<'a> AnswerReader<'a> {
    pub(crate) fn new(
        stream: &'a mut TcpStream,
        buffer: &'a mut BytesMut,
        memory: AnswerMemory,
    ) -> AnswerReader<'a> {
        AnswerReader {
            stream,
            buffer,
            body_bytes: 0,
            memory,
        }
    }

    /// Reads the head of the final answer. Skips interim answers, except that the first
    /// `100 Continue` makes `rest` be sent.
    pub(crate) async fn read_final_head<R: Future<Output = Vec<u8>>>(
        &mut self,
        rest: impl FnOnce() -> R,
    ) -> Result<AnswerHead> {
        let mut rest = Some(rest);
        let mut head_bytes_left = MAX_HEAD_BYTES;
        loop {
            let head = self.read_head(&mut head_bytes_left).await?;
            if head.status >= FIRST_FINAL_STATUS {
                return Ok(head);
            }
            if let Some(rest) = rest.take_if(|_| head.status == CONTINUE_STATUS) {
                self.send_rest(rest()).await?;
            }
        }
    }

    /// Reads the heads and the body of an answer, unless the request had the method `HEAD`, to
    /// which answers have none (`has_body`).
    pub(crate) async fn read_answer<R: Future<Output = Vec<u8>>>(
        mut self,
        has_body: bool,
        rest: impl FnOnce() -> R,
    ) -> Result<CompleteAnswer> {
        let head = self.read_final_head(rest).await?;
        let body = match head.framing {
            _ if !has_body => Bytes::new(),
            BodyFraming::Empty => Bytes::new(),
            BodyFraming::Length(length) => self.read_exact_body(length).await?,
            BodyFraming::Chunked => self.read_chunks().await?,
            BodyFraming::UntilClose => self.read_to_end().await?,
        };
        self.memory.cover(body.len()).await?;
        Ok(CompleteAnswer {
            status: head.status,
            headers: head.headers,
            body,
            memory: self.memory,
            keep_alive: head.keep_alive,
        })
    }

    /// Sends the rest of a request as soon as `rest` is ready, unless more bytes of the
    /// server arrive first.
    async fn send_rest(&mut self, rest: impl Future<Output = Vec<u8>>) -> Result<()> {
        if !self.buffer.is_empty() {
            return Ok(());
        }
        let bytes = tokio::select! {
            biased;
            bytes = rest => bytes,
            more = self.read_more() => return more,
        };
        self.stream.write_all(&bytes).await
    }

    /// Reads more bytes into the buffer. Fails at the end of the connection.
    pub(crate) async fn read_more(&mut self) -> Result<()> {
        match self.read_available().await? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads more bytes into the buffer and returns their number, which is 0 at the end of the
    /// connection.
    pub(crate) async fn read_available(&mut self) -> Result<usize> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        self.read_reserved().await
    }

    /// Reads more bytes into the free space of the buffer, like [`Self::read_available`].
    async fn read_reserved(&mut self) -> Result<usize> {
        self.memory
            .cover(self.body_bytes + self.buffer.capacity())
            .await?;
        self.stream.read_buf(self.buffer).await
    }

    /// Reads and parses the next head, interim or final, and removes it from the buffer.
    /// Subtracts its size from `bytes_left`.
    pub(crate) async fn read_head(&mut self, bytes_left: &mut usize) -> Result<AnswerHead> {
        let mut scanned = 0;
        // A head is parsed when it is complete, and at growing sizes before, so that bytes
        // which are not HTTP are rejected early.
        let mut next_parse = 1;
        loop {
            let is_due = may_end_head(&self.buffer[scanned..]);
            if is_due || self.buffer.len() >= next_parse {
                if let Some((length, head)) = parse_head(self.buffer)? {
                    *bytes_left = bytes_left
                        .checked_sub(length)
                        .ok_or_else(|| invalid_data("answer head is too large"))?;
                    self.buffer.advance(length);
                    return Ok(head);
                }
                next_parse = self.buffer.len() * 2;
            }
            if self.buffer.len() > *bytes_left {
                return Err(invalid_data("answer head is too large"));
            }
            scanned = self.buffer.len().saturating_sub(HEAD_END_OVERLAP);
            self.read_more().await?;
        }
    }

    /// Reads until `length` bytes are available and removes them from the buffer.
    async fn read_exact_body(&mut self, length: usize) -> Result<Bytes> {
        while self.buffer.len() < length {
            if self.buffer.len() == self.buffer.capacity() {
                let doubled = (self.buffer.len() * 2).max(READ_BUFFER_BYTES);
                self.grow_buffer(doubled.min(length)).await?;
            }
            if self.read_reserved().await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    /// Lets the buffer have space for `capacity` bytes and no more.
    async fn grow_buffer(&mut self, capacity: usize) -> Result<()> {
        self.memory.cover(self.body_bytes + capacity).await?;
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(self.buffer);
        *self.buffer = grown;
        Ok(())
    }

    /// Reads at least one byte of a body of which `max_length` bytes are left.
    pub(crate) async fn read_part(&mut self, max_length: usize) -> Result<Bytes> {
        if self.buffer.is_empty() {
            self.read_more().await?;
        }
        let length = self.buffer.len().min(max_length);
        Ok(self.buffer.split_to(length).freeze())
    }

    /// Reads the next part of a body that ends when the server closes the connection. Returns
    /// `None` at its end.
    pub(crate) async fn read_to_close(&mut self) -> Result<Option<Bytes>> {
        if self.buffer.is_empty() && self.read_available().await? == 0 {
            return Ok(None);
        }
        Ok(Some(self.buffer.split().freeze()))
    }

    /// Reads a body that ends when the server closes the connection.
    async fn read_to_end(&mut self) -> Result<Bytes> {
        while self.read_available().await? > 0 {
            if self.buffer.len() > MAX_BODY_BYTES {
                return Err(invalid_data("answer body is too large"));
            }
        }
        Ok(self.buffer.split().freeze())
    }

    /// Reads a chunked body and its trailers, and returns the joined chunks.
    async fn read_chunks(&mut self) -> Result<Bytes> {
        let mut body = BytesMut::new();
        let mut framing_bytes_left = MAX_FRAMING_BYTES;
        loop {
            let size = self.read_chunk_size(&mut framing_bytes_left).await?;
            if size == 0 {
                self.read_trailers().await?;
                return Ok(body.freeze());
            }
            if size > (MAX_BODY_BYTES - body.len()) as u64 {
                return Err(invalid_data("answer body is too large"));
            }
            let chunk_end = body.len() + size as usize;
            while body.len() < chunk_end {
                if self.buffer.is_empty() {
                    self.read_more().await?;
                }
                let count = self.buffer.len().min(chunk_end - body.len());
                body.extend_from_slice(&self.buffer[..count]);
                self.buffer.advance(count);
                self.body_bytes = body.capacity();
            }
            self.read_line_end().await?;
        }
    }

    /// Reads the line end after the data of a chunk.
    pub(crate) async fn read_line_end(&mut self) -> Result<()> {
        while self.buffer.len() < LINE_END.len() {
            self.read_more().await?;
        }
        if !self.buffer.starts_with(LINE_END) {
            return Err(invalid_data("invalid chunk"));
        }
        self.buffer.advance(LINE_END.len());
        Ok(())
    }

    /// Reads the line that begins a chunk and returns the size of the chunk. Subtracts what
    /// the chunk adds to the body from `framing_bytes_left`.
    pub(crate) async fn read_chunk_size(&mut self, framing_bytes_left: &mut usize) -> Result<u64> {
        let length = self.buffer_line(MAX_CHUNK_LINE_BYTES).await?;
        let size = parse_chunk_line(&self.buffer[..length]);
        let size = size.ok_or_else(|| invalid_data("invalid chunk"))?;
        *framing_bytes_left = framing_bytes_left
            .checked_sub(length + CHUNK_BREAK_BYTES)
            .ok_or_else(|| invalid_data("chunks are too small"))?;
        self.buffer.advance(length + LINE_END.len());
        Ok(size)
    }

    /// Reads and drops the trailers after the last chunk, up to the empty line.
    pub(crate) async fn read_trailers(&mut self) -> Result<()> {
        let mut bytes_left = MAX_TRAILER_BYTES;
        loop {
            let length = self.buffer_line(bytes_left).await?;
            let is_valid = length == 0 || split_field_line(&self.buffer[..length]).is_some();
            self.buffer.advance(length + LINE_END.len());
            if !is_valid {
                return Err(invalid_data("trailer is no field"));
            }
            if length == 0 {
                return Ok(());
            }
            bytes_left -= length;
        }
    }

    /// Reads until the buffer begins with a complete line of at most `max_length` bytes.
    /// Returns its length without the line break.
    async fn buffer_line(&mut self, max_length: usize) -> Result<usize> {
        let mut scanned = 0;
        loop {
            let mut pairs = self.buffer[scanned..].windows(2);
            let end = pairs.position(|pair| pair == b"\r\n");
            let length = end.map_or(self.buffer.len(), |end| scanned + end);
            if length > max_length + 1 || (end.is_some() && length > max_length) {
                return Err(invalid_data("line in an answer is too long"));
            }
            if end.is_some() {
                return Ok(length);
            }
            scanned = self.buffer.len().saturating_sub(1);
            self.read_more().await?;
        }
    }
}
