//! Parser of the head of an HTTP/1.1 answer.

use std::io::{Error, ErrorKind, Result};
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::connection::http_syntax::{
    is_text, is_token, parse_digits, split_field_line, trim_blanks,
};

/// End of a line.
pub const LINE_END: &[u8] = b"\r\n";
/// End of a head: that of its last line, and an empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// First bytes of a status line, up to the minor version.
const VERSION_PREFIX: &[u8] = b"HTTP/1.";
/// Number of digits of a status code.
const STATUS_DIGITS: usize = 3;
/// Status codes that RFC 9110 allows (section 15).
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;
/// Status code `101 Switching Protocols`, which no request asks for.
const SWITCHING_STATUS: u16 = 101;
/// Status code `204 No Content`.
const NO_CONTENT_STATUS: u16 = 204;
/// Status code `304 Not Modified`. Its length is that of an answer with a body.
const NOT_MODIFIED_STATUS: u16 = 304;

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

/// Returns whether [`parse_head`] has something to tell of `text`, which follows text that had
/// not: a line that does not end with CRLF, or the end of the head.
pub fn may_end_head(text: &[u8]) -> bool {
    let mut windows = text.windows(2);
    text.windows(LINE_END.len() * 2)
        .any(|window| window == HEAD_END)
        || windows.any(|window| window[1] == b'\n' && window[0] != b'\r')
}

/// Parses a head and returns it with its length in bytes. Returns `None` if the head is
/// incomplete and valid so far.
///
/// # Errors
///
/// Fails if the head does not follow the grammar, or if its body would be too large.
pub fn parse_head(bytes: &[u8]) -> Result<Option<(usize, AnswerHead)>> {
    let Some((line, mut rest)) = split_line(bytes)? else {
        return match is_status_line_start(bytes) {
            true => Ok(None),
            false => Err(invalid_data("answer is not HTTP/1")),
        };
    };
    let mut parser = HeadParser::new(line)?;
    while let Some((line, after)) = split_line(rest)? {
        rest = after;
        if line.is_empty() {
            return Ok(Some((bytes.len() - rest.len(), parser.finish()?)));
        }
        parser.add_field(line)?;
    }
    Ok(None)
}

/// Splits off the first line, without its line end. Returns `None` if it is incomplete.
fn split_line(bytes: &[u8]) -> Result<Option<(&[u8], &[u8])>> {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return Ok(None);
    };
    let line = bytes[..end].strip_suffix(b"\r");
    let line = line.ok_or_else(|| invalid_data("line of an answer does not end with CRLF"))?;
    Ok(Some((line, &bytes[end + 1..])))
}

/// Returns whether a line that begins with `bytes` may be a status line.
fn is_status_line_start(bytes: &[u8]) -> bool {
    let length = bytes.len().min(VERSION_PREFIX.len());
    bytes[..length] == VERSION_PREFIX[..length]
}

/// Parses the status line (RFC 9112, 4) and returns the minor version and the status.
fn parse_status_line(line: &[u8]) -> Option<(u8, u16)> {
    let rest = line.strip_prefix(VERSION_PREFIX)?;
    let (minor_version, rest) = rest.split_first()?;
    let rest = rest.strip_prefix(b" ")?;
    let (status, rest) = rest.split_first_chunk::<STATUS_DIGITS>()?;
    let reason = rest.strip_prefix(b" ")?;
    let status = u16::try_from(parse_digits(status)?).ok()?;
    let is_valid =
        matches!(minor_version, b'0' | b'1') && VALID_STATUSES.contains(&status) && is_text(reason);
    is_valid.then(|| (minor_version - b'0', status))
}

/// Collects the fields of a head.
struct HeadParser {
    is_http_1_0: bool,
    head: AnswerHead,
    content_length: Option<usize>,
    is_chunked: bool,
}

impl HeadParser {
    /// Begins a head with its status line.
    fn new(status_line: &[u8]) -> Result<HeadParser> {
        let parsed = parse_status_line(status_line);
        let (minor_version, status) =
            parsed.ok_or_else(|| invalid_data("status line is not valid"))?;
        let is_http_1_0 = minor_version == 0;
        Ok(HeadParser {
            is_http_1_0,
            head: AnswerHead {
                status,
                headers: Vec::new(),
                framing: BodyFraming::UntilClose,
                keep_alive: (!is_http_1_0).then_some(DEFAULT_IDLE_TIMEOUT),
            },
            content_length: None,
            is_chunked: false,
        })
    }

    /// Adds a field line.
    fn add_field(&mut self, line: &[u8]) -> Result<()> {
        let field = split_field_line(line);
        let (name, value) = field.ok_or_else(|| invalid_data("line of a head is no field"))?;
        if self.head.headers.len() == MAX_HEADERS {
            return Err(invalid_data("answer has too many headers"));
        }
        if name.eq_ignore_ascii_case("content-length") {
            let length = parse_digits(value).filter(|length| *length <= MAX_BODY_BYTES);
            let length =
                length.ok_or_else(|| invalid_data("content-length is no number or too large"))?;
            if self.content_length.replace(length).is_some() {
                return Err(invalid_data("answer has several lengths"));
            }
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if self.is_chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(invalid_data("unknown transfer encoding"));
            }
            self.is_chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            if closes_connection(value) {
                self.head.keep_alive = None;
            }
        } else if name.eq_ignore_ascii_case("keep-alive") {
            if let (Some(_), Some(limit)) = (self.head.keep_alive, parse_timeout(value)) {
                self.head.keep_alive = Some(limit.saturating_sub(IDLE_MARGIN));
            }
        }
        self.head.headers.push((name.into(), value.into()));
        Ok(())
    }

    /// Ends the head: determines how the end of the body is found (RFC 9112, 6.3).
    fn finish(mut self) -> Result<AnswerHead> {
        let status = self.head.status;
        let has_no_body = status < FIRST_FINAL_STATUS || status == NO_CONTENT_STATUS;
        let has_length = self.content_length.is_some_and(|length| length > 0);
        if status == SWITCHING_STATUS {
            return Err(invalid_data("server changes the protocol"));
        }
        if has_no_body && (has_length || self.is_chunked) {
            return Err(invalid_data("answer without a body has a length"));
        }
        if self.is_chunked && (self.is_http_1_0 || self.content_length.is_some()) {
            return Err(invalid_data("answer must not be chunked"));
        }
        self.head.framing = match self.content_length {
            _ if has_no_body || status == NOT_MODIFIED_STATUS => BodyFraming::Empty,
            _ if self.is_chunked => BodyFraming::Chunked,
            Some(length) => BodyFraming::Length(length),
            None => BodyFraming::UntilClose,
        };
        if self.head.framing == BodyFraming::UntilClose {
            self.head.keep_alive = None;
        }
        Ok(self.head)
    }
}

/// Returns whether a `connection` header ends the connection: it contains the option `close`, or
/// is no list of options.
fn closes_connection(value: &[u8]) -> bool {
    let mut options = value.split(|byte| *byte == b',').map(trim_blanks);
    options.any(|option| option.eq_ignore_ascii_case(b"close") || !is_token(option))
}

/// Parses the `timeout` parameter of a `keep-alive` header, in seconds.
fn parse_timeout(value: &[u8]) -> Option<Duration> {
    let mut parameters = value.split(|byte| *byte == b',').map(trim_blanks);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix(b"timeout="))?;
    Some(Duration::from_secs(parse_digits(seconds)? as u64))
}
