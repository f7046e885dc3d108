//! One request and its answer on a connection to an upstream server.
//!
//! HTTP/1.1, one request at a time. An answer counts only if it is whole; in
//! all other cases the connection is closed, as what comes next on it would
//! belong to nobody knows what.

use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;

/// Most header lines of an answer.
const HEADER_LINES: usize = 64;
/// Largest head of an answer, in bytes.
const HEAD_BYTES: usize = 64 * 1024;
/// Largest body of an answer, in bytes.
const BODY_BYTES: usize = 16 * 1024 * 1024;
/// Room kept for reading.
const READ_BYTES: usize = 8 * 1024;
/// Status of the word to continue.
const CONTINUE: u16 = 100;
/// Status codes below this are interim.
const FIRST_FINAL: u16 = 200;

/// A whole answer.
#[derive(Debug)]
pub struct CompleteAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header lines as they came.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// The body.
    pub body: Bytes,
    /// How long the connection may be idle before its next use; `None` if it
    /// must not be used again.
    pub keep: Option<Duration>,
}

/// How an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// Nothing was written.
    Unsent,
    /// Something was, and no whole answer came.
    Broken,
}

/// Idle time of a connection whose server names none.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time before the server's own limit at which a connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Sends a request and reads its answer.
///
/// # Errors
///
/// Fails unless a whole answer came.
pub async fn exchange(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    request: &[u8],
) -> std::result::Result<CompleteAnswer, ExchangeFailure> {
    exchange_with_continue(stream, buffer, request, std::future::pending).await
}

/// Sends a request whose last bytes wait for the server's word to continue, and
/// reads its answer. Once that word is there, what `rest` then comes to is sent
/// beside the reading, if it comes to anything before the answer does.
///
/// # Errors
///
/// Fails unless a whole answer came.
pub async fn exchange_with_continue<R: Future<Output = Vec<u8>>>(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    request: &[u8],
    rest: impl FnOnce() -> R,
) -> std::result::Result<CompleteAnswer, ExchangeFailure> {
    if !buffer.is_empty() || has_bytes(stream) {
        return Err(ExchangeFailure::Unsent);
    }
    let mut written = 0;
    let whole = match write_request(stream, buffer, request, &mut written).await {
        Ok(whole) => whole,
        Err(_) if written == 0 => return Err(ExchangeFailure::Unsent),
        Err(_) => return Err(ExchangeFailure::Broken),
    };
    let answer = read_answer(stream, buffer, rest).await;
    let mut answer = answer.map_err(|_| ExchangeFailure::Broken)?;
    // Of a request that was answered early, the server may still read the
    // rest; and bytes beyond the answer belong to no request.
    if !whole || !buffer.is_empty() {
        answer.keep = None;
    }
    Ok(answer)
}

/// Tells whether a connection that should be still has ended or has bytes.
fn has_bytes(stream: &TcpStream) -> bool {
    let mut probe = [0; 1];
    match stream.try_read(&mut probe) {
        Err(error) => error.kind() != ErrorKind::WouldBlock,
        Ok(_) => true,
    }
}

/// Writes a request. Returns whether all of it was written; the server may
/// answer before.
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
        buffer.reserve(READ_BYTES);
        match stream.try_read_buf(buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => return Ok(false),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyFrame {
    Empty,
    Length(usize),
    Chunked,
    UntilClose,
}

struct AnswerHead {
    status: u16,
    headers: Vec<(Box<str>, Box<[u8]>)>,
    frame: BodyFrame,
    keep: Option<Duration>,
}

async fn read_answer<R: Future<Output = Vec<u8>>>(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    rest: impl FnOnce() -> R,
) -> Result<CompleteAnswer> {
    let mut rest = Some(rest);
    let head = loop {
        let head = read_head(stream, buffer).await?;
        if head.status >= FIRST_FINAL {
            break head;
        }
        if let Some(rest) = rest.take_if(|_| head.status == CONTINUE) {
            send_rest(stream, buffer, rest()).await?;
        }
    };
    let body = match head.frame {
        BodyFrame::Empty => Bytes::new(),
        BodyFrame::Length(length) => read_length(stream, buffer, length).await?,
        BodyFrame::Chunked => read_chunks(stream, buffer).await?,
        BodyFrame::UntilClose => read_to_end(stream, buffer).await?,
    };
    Ok(CompleteAnswer {
        status: head.status,
        headers: head.headers,
        body,
        keep: head.keep,
    })
}

/// Sends the rest of a request as soon as it is there, unless more bytes of the
/// server come before.
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

async fn read_more(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<()> {
    buffer.reserve(READ_BYTES);
    match stream.read_buf(buffer).await? {
        0 => Err(ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

async fn read_head(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<AnswerHead> {
    loop {
        if !buffer.is_empty() {
            if let Some((length, head)) = parse_head(buffer)? {
                buffer.advance(length);
                return Ok(head);
            }
            if buffer.len() > HEAD_BYTES {
                return Err(bad("head is too large"));
            }
        }
        read_more(stream, buffer).await?;
    }
}

fn bad(what: &'static str) -> Error {
    Error::new(ErrorKind::InvalidData, what)
}

fn parse_head(bytes: &[u8]) -> Result<Option<(usize, AnswerHead)>> {
    let mut lines = [httparse::EMPTY_HEADER; HEADER_LINES];
    let mut response = httparse::Response::new(&mut lines);
    let length = match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(bad("not an answer")),
    };
    let status = response.code.unwrap_or_default();
    let is_old = response.version == Some(0);
    let mut head = AnswerHead {
        status,
        headers: Vec::with_capacity(response.headers.len()),
        frame: BodyFrame::UntilClose,
        keep: (!is_old).then_some(DEFAULT_IDLE_TIMEOUT),
    };
    let mut length_line = None;
    let mut chunked = false;
    for line in response.headers.iter() {
        if line.name.eq_ignore_ascii_case("content-length") {
            let value = read_number(line.value).ok_or_else(|| bad("bad length"))?;
            if length_line.is_some_and(|other| other != value) || value > BODY_BYTES {
                return Err(bad("bad length"));
            }
            length_line = Some(value);
        } else if line.name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = line.value.eq_ignore_ascii_case(b"chunked");
            if !chunked {
                return Err(bad("unknown transfer encoding"));
            }
        } else if line.name.eq_ignore_ascii_case("connection") {
            if has_word(line.value, "close") {
                head.keep = None;
            }
        } else if line.name.eq_ignore_ascii_case("keep-alive") {
            if let (Some(_), Some(limit)) = (head.keep, read_timeout(line.value)) {
                head.keep = Some(limit.saturating_sub(IDLE_MARGIN));
            }
        }
        head.headers.push((line.name.into(), line.value.into()));
    }
    head.frame = match (status, chunked, length_line) {
        (..FIRST_FINAL | 204 | 304, _, _) => BodyFrame::Empty,
        (_, true, None) => BodyFrame::Chunked,
        (_, true, Some(_)) => return Err(bad("two lengths")),
        (_, false, Some(length)) => BodyFrame::Length(length),
        (_, false, None) => BodyFrame::UntilClose,
    };
    if head.frame == BodyFrame::UntilClose {
        head.keep = None;
    }
    Ok(Some((length, head)))
}

fn read_number(text: &[u8]) -> Option<usize> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}

fn has_word(value: &[u8], word: &str) -> bool {
    let value = std::str::from_utf8(value).unwrap_or_default();
    value
        .split(',')
        .any(|part| part.trim().eq_ignore_ascii_case(word))
}

fn read_timeout(value: &[u8]) -> Option<Duration> {
    let value = std::str::from_utf8(value).ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}

async fn read_length(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    length: usize,
) -> Result<Bytes> {
    while buffer.len() < length {
        read_more(stream, buffer).await?;
    }
    Ok(buffer.split_to(length).freeze())
}

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
                Err(_) => return Err(bad("bad chunk")),
            }
        };
        if size == 0 {
            read_trailers(stream, buffer).await?;
            return Ok(body.freeze());
        }
        if body.len() + size > BODY_BYTES {
            return Err(bad("body is too large"));
        }
        let chunk = read_length(stream, buffer, size + 2).await?;
        if &chunk[size..] != b"\r\n" {
            return Err(bad("bad chunk"));
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

async fn read_trailers(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<()> {
    loop {
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") {
            buffer.advance(end + 2);
            if end == 0 {
                return Ok(());
            }
        }
        if buffer.len() > HEAD_BYTES {
            return Err(bad("trailers are too large"));
        }
        read_more(stream, buffer).await?;
    }
}

async fn read_to_end(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<Bytes> {
    loop {
        buffer.reserve(READ_BYTES);
        if stream.read_buf(buffer).await? == 0 {
            return Ok(buffer.split().freeze());
        }
        if buffer.len() > BODY_BYTES {
            return Err(bad("body is too large"));
        }
    }
}
