//! HTTP/1.1 client for one request and its answer on a connection to an upstream server.
//!
//! A connection carries one request at a time. Only a complete answer is returned. After
//! any other outcome the connection must be closed, because the next bytes on it could
//! not be attributed to a request.

use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;

/// Maximum number of headers in an answer.
const MAX_HEADERS: usize = 64;
/// Maximum size of the head of an answer, and of its trailers, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum size of the body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Buffer space reserved before each read, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Status code `100 Continue`, by which a server asks for the rest of a request.
const CONTINUE_STATUS: u16 = 100;
/// Lowest status code of a final answer; lower ones are interim (1xx).
const FIRST_FINAL_STATUS: u16 = 200;

/// An answer that was received completely.
#[derive(Debug)]
pub struct CompleteAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the headers, in the order received.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// Body, without transfer encoding.
    pub body: Bytes,
    /// Maximum idle time of the connection before its next use. `None` if the
    /// connection must not be used again.
    pub keep_alive: Option<Duration>,
}

/// Reason why an exchange returned no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// No byte of the request was written.
    Unsent,
    /// At least a part of the request was written, and no complete answer was received.
    Broken,
}

/// Maximum idle time of a connection whose server states none in a `keep-alive` header.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time before the server's stated idle time-out at which the client stops using a
/// connection, so that no request is written while the server closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

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
    exchange_with_continue(stream, buffer, request, std::future::pending).await
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
pub async fn exchange_with_continue<R: Future<Output = Vec<u8>>>(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    request: &[u8],
    rest: impl FnOnce() -> R,
) -> std::result::Result<CompleteAnswer, ExchangeFailure> {
    if !buffer.is_empty() || is_closed_or_readable(stream) {
        return Err(ExchangeFailure::Unsent);
    }
    let mut written = 0;
    let is_fully_written = match write_request(stream, buffer, request, &mut written).await {
        Ok(is_fully_written) => is_fully_written,
        Err(_) if written == 0 => return Err(ExchangeFailure::Unsent),
        Err(_) => return Err(ExchangeFailure::Broken),
    };
    let answer = read_answer(stream, buffer, rest).await;
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
    request: &[u8],
    written: &mut usize,
) -> Result<bool> {
    loop {
        match stream.try_write(&request[*written..]) {
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

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyFraming {
    /// The answer has no body.
    Empty,
    /// The head states the length in bytes.
    Length(usize),
    /// Chunked transfer encoding.
    Chunked,
    /// The body ends when the server closes the connection.
    UntilClose,
}

/// Parsed head of an answer.
struct AnswerHead {
    status: u16,
    headers: Vec<(Box<str>, Box<[u8]>)>,
    framing: BodyFraming,
    keep_alive: Option<Duration>,
}

/// Reads the heads and the body of an answer. Skips interim answers, except that the
/// first `100 Continue` makes `rest` be sent.
async fn read_answer<R: Future<Output = Vec<u8>>>(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    rest: impl FnOnce() -> R,
) -> Result<CompleteAnswer> {
    let mut rest = Some(rest);
    let head = loop {
        let head = read_head(stream, buffer).await?;
        if head.status >= FIRST_FINAL_STATUS {
            break head;
        }
        if let Some(rest) = rest.take_if(|_| head.status == CONTINUE_STATUS) {
            send_rest(stream, buffer, rest()).await?;
        }
    };
    let body = match head.framing {
        BodyFraming::Empty => Bytes::new(),
        BodyFraming::Length(length) => read_exact_body(stream, buffer, length).await?,
        BodyFraming::Chunked => read_chunks(stream, buffer).await?,
        BodyFraming::UntilClose => read_to_end(stream, buffer).await?,
    };
    Ok(CompleteAnswer {
        status: head.status,
        headers: head.headers,
        body,
        keep_alive: head.keep_alive,
    })
}

/// Sends the rest of a request as soon as `rest` is ready, unless more bytes of the
/// server arrive first.
async fn send_rest(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    rest: impl Future<Output = Vec<u8>>,
) -> Result<()> {
    if !buffer.is_empty() {
        return Ok(());
    }
    let bytes = tokio::select! {
        biased;
        bytes = rest => bytes,
        more = read_more(stream, buffer) => return more,
    };
    stream.write_all(&bytes).await
}

/// Reads more bytes into `buffer`. Fails at the end of the connection.
async fn read_more(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<()> {
    buffer.reserve(READ_BUFFER_BYTES);
    match stream.read_buf(buffer).await? {
        0 => Err(ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// Reads and parses the next head, interim or final, and removes it from `buffer`.
async fn read_head(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<AnswerHead> {
    loop {
        if !buffer.is_empty() {
            if let Some((length, head)) = parse_head(buffer)? {
                buffer.advance(length);
                return Ok(head);
            }
            if buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid_data("answer head is too large"));
            }
        }
        read_more(stream, buffer).await?;
    }
}

fn invalid_data(message: &'static str) -> Error {
    Error::new(ErrorKind::InvalidData, message)
}

/// Parses a head and returns it with its length in bytes. Returns `None` if the head is
/// incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<(usize, AnswerHead)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(invalid_data("answer head is not valid HTTP/1")),
    };
    let status = response.code.unwrap_or_default();
    let is_http_1_0 = response.version == Some(0);
    let mut head = AnswerHead {
        status,
        headers: Vec::with_capacity(response.headers.len()),
        framing: BodyFraming::UntilClose,
        keep_alive: (!is_http_1_0).then_some(DEFAULT_IDLE_TIMEOUT),
    };
    let mut content_length = None;
    let mut is_chunked = false;
    for header in response.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            let value = parse_number(header.value)
                .ok_or_else(|| invalid_data("content-length is not a number"))?;
            if content_length.is_some_and(|other| other != value) || value > MAX_BODY_BYTES {
                return Err(invalid_data("content-length is too large or contradictory"));
            }
            content_length = Some(value);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            is_chunked = header.value.eq_ignore_ascii_case(b"chunked");
            if !is_chunked {
                return Err(invalid_data("unknown transfer encoding"));
            }
        } else if header.name.eq_ignore_ascii_case("connection") {
            if contains_token(header.value, "close") {
                head.keep_alive = None;
            }
        } else if header.name.eq_ignore_ascii_case("keep-alive") {
            if let (Some(_), Some(limit)) = (head.keep_alive, parse_timeout(header.value)) {
                head.keep_alive = Some(limit.saturating_sub(IDLE_MARGIN));
            }
        }
        head.headers.push((header.name.into(), header.value.into()));
    }
    head.framing = match (status, is_chunked, content_length) {
        (..FIRST_FINAL_STATUS | 204 | 304, _, _) => BodyFraming::Empty,
        (_, true, None) => BodyFraming::Chunked,
        (_, true, Some(_)) => {
            return Err(invalid_data(
                "answer has both content-length and chunked encoding",
            ))
        }
        (_, false, Some(length)) => BodyFraming::Length(length),
        (_, false, None) => BodyFraming::UntilClose,
    };
    if head.framing == BodyFraming::UntilClose {
        head.keep_alive = None;
    }
    Ok(Some((length, head)))
}

fn parse_number(text: &[u8]) -> Option<usize> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}

/// Returns whether a comma-separated header value contains `token`, ignoring case.
fn contains_token(value: &[u8], token: &str) -> bool {
    let value = std::str::from_utf8(value).unwrap_or_default();
    value
        .split(',')
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// Parses the `timeout` parameter of a `keep-alive` header, in seconds.
fn parse_timeout(value: &[u8]) -> Option<Duration> {
    let value = std::str::from_utf8(value).ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}

/// Reads until `length` bytes are available and removes them from `buffer`.
async fn read_exact_body(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    length: usize,
) -> Result<Bytes> {
    while buffer.len() < length {
        read_more(stream, buffer).await?;
    }
    Ok(buffer.split_to(length).freeze())
}

/// Reads a chunked body and its trailers, and returns the joined chunks.
async fn read_chunks(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<Bytes> {
    let mut body = BytesMut::new();
    loop {
        let size = loop {
            match httparse::parse_chunk_size(buffer) {
                Ok(httparse::Status::Complete((used, size))) => {
                    buffer.advance(used);
                    break size as usize;
                }
                Ok(httparse::Status::Partial) => read_more(stream, buffer).await?,
                Err(_) => return Err(invalid_data("invalid chunk")),
            }
        };
        if size == 0 {
            read_trailers(stream, buffer).await?;
            return Ok(body.freeze());
        }
        if body.len() + size > MAX_BODY_BYTES {
            return Err(invalid_data("answer body is too large"));
        }
        let chunk = read_exact_body(stream, buffer, size + 2).await?;
        if &chunk[size..] != b"\r\n" {
            return Err(invalid_data("invalid chunk"));
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Reads and drops the trailers after the last chunk, up to the empty line.
async fn read_trailers(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<()> {
    loop {
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") {
            buffer.advance(end + 2);
            if end == 0 {
                return Ok(());
            }
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(invalid_data("trailers are too large"));
        }
        read_more(stream, buffer).await?;
    }
}

/// Reads a body that ends when the server closes the connection.
async fn read_to_end(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<Bytes> {
    loop {
        buffer.reserve(READ_BUFFER_BYTES);
        if stream.read_buf(buffer).await? == 0 {
            return Ok(buffer.split().freeze());
        }
        if buffer.len() > MAX_BODY_BYTES {
            return Err(invalid_data("answer body is too large"));
        }
    }
}
