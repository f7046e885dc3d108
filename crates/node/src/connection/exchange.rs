//! HTTP/1.1 client for one request and its answer on a connection to an upstream server.
//!
//! A connection carries one request at a time. Only a complete answer is returned. After
//! any other outcome the connection must be closed, because the next bytes on it could
//! not be attributed to a request.

use std::borrow::Cow;
use std::future::Future;
use std::io::{ErrorKind, IoSlice, Result};
use std::sync::Arc;

use bytes::BytesMut;
use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::connection::answer_reader::{AnswerReader, CompleteAnswer, READ_BUFFER_BYTES};
use crate::connection::client_memory::{AnswerMemory, ClientMemory};

/// Beginning of a request whose answer has no body.
const HEAD_METHOD: &[u8] = b"HEAD ";

/// Reason why an exchange returned no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// No byte of the request was written.
    Unsent,
    /// At least a part of the request was written, and no complete answer was received.
    Broken,
}

/// A request as it is written to a connection.
#[derive(Debug)]
pub struct WireRequest<'a> {
    /// The head, and the beginning of the body.
    pub head: Cow<'a, [u8]>,
    /// The part of the body that all attempts share.
    pub body: &'a [u8],
    /// The end of the body.
    pub end: &'static [u8],
}

impl WireRequest<'_> {
    fn len(&self) -> usize {
        self.head.len() + self.body.len() + self.end.len()
    }

    /// Writes what follows the first `written` bytes, as far as the connection takes it.
    fn try_write(&self, stream: &TcpStream, written: usize) -> Result<usize> {
        let mut skipped = written;
        let mut parts = [&*self.head, self.body, self.end];
        for part in &mut parts {
            let count = skipped.min(part.len());
            *part = &part[count..];
            skipped -= count;
        }
        match parts {
            [head, [], []] => stream.try_write(head),
            _ => stream.try_write_vectored(&parts.map(IoSlice::new)),
        }
    }
}

impl<'a> From<&'a [u8]> for WireRequest<'a> {
    fn from(head: &'a [u8]) -> WireRequest<'a> {
        WireRequest {
            head: head.into(),
            body: &[],
            end: &[],
        }
    }
}

/// Sends a request and reads its answer.
///
/// # Errors
///
/// Fails if no complete answer is received.
pub async fn exchange(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    request: &[u8],
) -> std::result::Result<CompleteAnswer, ExchangeFailure> {
    let memory = ClientMemory::default().receive_answer(Arc::default());
    exchange_with_continue(stream, buffer, request, memory, std::future::pending).await
}

/// Sends a request whose last bytes are held back until the server sends
/// `100 Continue`, and reads the answer.
///
/// Calls `rest` at the first `100 Continue` and sends the bytes that its future returns.
/// If the server sends more bytes before the future is ready, the future is dropped and
/// the held back bytes are not sent.
///
/// # Errors
///
/// Fails if no complete answer is received.
pub async fn exchange_with_continue<'a, R: Future<Output = Vec<u8>>>(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    request: impl Into<WireRequest<'a>>,
    memory: AnswerMemory,
    rest: impl FnOnce() -> R,
) -> std::result::Result<CompleteAnswer, ExchangeFailure> {
    if !buffer.is_empty() || is_closed_or_readable(stream) {
        return Err(ExchangeFailure::Unsent);
    }
    let mut written = 0;
    let request = request.into();
    let is_fully_written = match write_request(stream, buffer, &request, &mut written).await {
        Ok(is_fully_written) => is_fully_written,
        Err(_) if written == 0 => return Err(ExchangeFailure::Unsent),
        Err(_) => return Err(ExchangeFailure::Broken),
    };
    let has_body = !request.head.starts_with(HEAD_METHOD);
    drop(request);
    let reader = AnswerReader::new(stream, buffer, memory);
    let answer = reader.read_answer(has_body, rest).await;
    let mut answer = answer.map_err(|_| ExchangeFailure::Broken)?;
    // After an early answer the server may still expect the rest of the request, and
    // bytes beyond the answer belong to no request. In both cases the connection must
    // not be used again.
    if !is_fully_written || !buffer.is_empty() {
        answer.keep_alive = None;
    }
    Ok(answer)
}

/// Returns whether an idle connection was closed by the server or has unexpected bytes
/// to read.
pub fn is_closed_or_readable(stream: &TcpStream) -> bool {
    let mut probe = [0; 1];
    match stream.try_read(&mut probe) {
        Err(error) => error.kind() != ErrorKind::WouldBlock,
        Ok(_) => true,
    }
}

/// Writes a request and counts the bytes in `written`. Returns whether all of it was
/// written; stops early if the server starts to answer.
async fn write_request(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    request: &WireRequest<'_>,
    written: &mut usize,
) -> Result<bool> {
    loop {
        match request.try_write(stream, *written) {
            Ok(count) => *written += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        if *written == request.len() {
            return Ok(true);
        }
        let ready = stream
            .ready(Interest::READABLE | Interest::WRITABLE)
            .await?;
        if !ready.is_readable() {
            continue;
        }
        buffer.reserve(READ_BUFFER_BYTES);
        match stream.try_read_buf(buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => return Ok(false),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}
