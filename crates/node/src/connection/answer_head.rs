//! Parser of the head of an HTTP/1.1 answer.

use std::io::{Error, ErrorKind, Result};
use std::time::Duration;

/// Maximum number of headers in an answer.
const MAX_HEADERS: usize = 64;
/// Maximum size of the body of an answer, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Lowest status code of a final answer; lower ones are interim (1xx).
pub const FIRST_FINAL_STATUS: u16 = 200;
/// Maximum idle time of a connection whose server states none in a `keep-alive` header.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time before the server's stated idle time-out at which the client stops using a
/// connection, so that no request is written while the server closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
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
#[derive(Debug)]
pub struct AnswerHead {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the headers, in the order received.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// How the end of the body is determined.
    pub framing: BodyFraming,
    /// Maximum idle time of the connection before its next use. `None` if the connection
    /// must not be used again.
    pub keep_alive: Option<Duration>,
}

/// Returns the error for an answer that is not valid or too large.
pub fn invalid_data(message: &'static str) -> Error {
    Error::new(ErrorKind::InvalidData, message)
}

/// Parses a head and returns it with its length in bytes. Returns `None` if the head is
/// incomplete.
///
/// # Errors
///
/// Fails if the head is not valid, or if its body would be too large.
pub fn parse_head(bytes: &[u8]) -> Result<Option<(usize, AnswerHead)>> {
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
