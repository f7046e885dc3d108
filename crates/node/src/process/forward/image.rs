//! Serialization of a caller's request for servers and other entries, and of the headers
//! that entries exchange when one relays shards of a request to another.

use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, HOST};
use hyper::{Method, Uri};
use wheelmast_core::process::forward::answer::AttemptOrder;
use wheelmast_core::process::forward::input::RelayOrder;
use wheelmast_core::process::forward::suspect::record::SuspectRecord;
use wheelmast_core::request::mark::RequestFingerprint;
use wheelmast_wire::dialect::ForwardDialect;

use crate::connection::client::Eviction;
use crate::connection::client_memory::MemoryReservation;

/// Request header of a relay: the relay order.
pub const RELAY_HEADER: &str = "wheelmast-relayed";
/// Request header of a relay: fingerprint of the request's content and of its caller.
pub const FINGERPRINT_HEADER: &str = "wheelmast-mark";
/// Header of a relay: maximum number of records in the merged answer. The request states
/// it, and the answer repeats it. Versions without this header merge by the route of their
/// own table.
pub const TOP_HEADER: &str = "wheelmast-top";
/// Request header of a relay: comma-separated regions in which the sending entry's table
/// allows the request. Without it, only the receiving entry's table counts.
pub const HOMES_HEADER: &str = "wheelmast-homes";
/// Answer header of a relay: comma-separated names of the answered shards.
pub const SHARDS_HEADER: &str = "wheelmast-shards";
/// Answer header of a relay: the suspect record of a request that the entry refused to
/// send to servers.
pub const SUSPECT_HEADER: &str = "wheelmast-suspect";
/// Size of the attempt allowance that follows the body of a relay: one digit.
///
/// The allowance is the maximum number of servers that the other entry may try per shard.
/// The sending entry holds the digit back until it raises the allowance.
pub const ALLOWANCE_BYTES: usize = 1;
/// Maximum allowance, as it is written as one digit.
const MAX_ALLOWANCE: u32 = 9;
/// Value of the `expect` header that requests an answer `100 Continue`.
const CONTINUE_EXPECTATION: &str = "100-continue";
/// Number of fields of a relay order.
const RELAY_ORDER_FIELDS: usize = 6;
/// Hop-by-hop headers of HTTP, which concern a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether the header `name`, in lower case, concerns a single connection.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name)
}

/// Serialized request: the bytes that are the same for every server and other entry.
#[derive(Debug)]
pub struct RequestImage {
    /// Id of the request.
    pub id: Box<str>,
    /// Request line and common headers, without the empty line at the end.
    head: Vec<u8>,
    body: Bytes,
    /// Fingerprint of the request's content and of its caller, for other entries.
    fingerprint: Option<RequestFingerprint>,
    /// Whether a `content-length` header is written, also for an empty body.
    has_length_header: bool,
    /// Closes the caller's connection.
    eviction: Arc<Eviction>,
    /// The memory that the request takes, as long as anything refers to it.
    _memory: Option<MemoryReservation>,
}

impl RequestImage {
    /// Serializes a request. Leaves out hop-by-hop headers and those that are written
    /// anew for each server.
    pub fn new<D: ForwardDialect>(
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        id: &str,
        body: Bytes,
    ) -> RequestImage {
        let mut head = Vec::with_capacity(512);
        let target = uri.path_and_query().map_or("/", |target| target.as_str());
        head.extend_from_slice(method.as_str().as_bytes());
        head.push(b' ');
        head.extend_from_slice(target.as_bytes());
        head.extend_from_slice(b" HTTP/1.1\r\n");
        let connection_options = headers.get(CONNECTION).map(|value| value.as_bytes());
        let connection_options = connection_options.unwrap_or_default().to_ascii_lowercase();
        for (name, value) in headers {
            if is_forwarded::<D>(name, &connection_options) {
                push_header(&mut head, name.as_str(), value.as_bytes());
            }
        }
        push_header(&mut head, D::HEADERS.request, id.as_bytes());
        let has_body = !body.is_empty() || headers.contains_key(CONTENT_LENGTH);
        RequestImage {
            id: id.into(),
            head,
            body,
            fingerprint: None,
            has_length_header: has_body || *method == Method::POST || *method == Method::PUT,
            eviction: Arc::default(),
            _memory: None,
        }
    }

    /// Sets the memory that the request takes, and what closes the caller's connection.
    pub fn with_client(self, memory: MemoryReservation, eviction: Arc<Eviction>) -> RequestImage {
        RequestImage {
            eviction,
            _memory: Some(memory),
            ..self
        }
    }

    /// Returns what closes the caller's connection.
    pub fn eviction(&self) -> Arc<Eviction> {
        self.eviction.clone()
    }

    /// Sets the fingerprint that is sent to other entries.
    pub fn with_fingerprint(self, fingerprint: RequestFingerprint) -> RequestImage {
        RequestImage {
            fingerprint: Some(fingerprint),
            ..self
        }
    }

    /// Returns the body of the request.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Returns the head of the request for one server or other entry. The time left is
    /// computed for a write at `now`.
    pub fn render_head<D: ForwardDialect>(&self, order: &AttemptOrder, now: Duration) -> Vec<u8> {
        let instance = &order.instance;
        let mut bytes = Vec::with_capacity(self.head.len() + 96);
        bytes.extend_from_slice(&self.head);
        let millis = order.until.saturating_sub(now).as_millis();
        let (left, expect) = (D::HEADERS.time_left, D::HEADERS.expect);
        // Writing to a vector cannot fail.
        let _ = write!(bytes, "{left}: {millis}\r\n{expect}: {instance}\r\n");
        if let Some(workspace) = &order.workspace {
            push_header(&mut bytes, D::HEADERS.workspace, workspace.as_bytes());
        }
        let length = self.body.len();
        if let Some(relay) = &order.relay {
            let order_text = render_relay_order(relay, now);
            push_header(&mut bytes, RELAY_HEADER, order_text.as_bytes());
            if let Some(top) = relay.top {
                push_header(&mut bytes, TOP_HEADER, top.to_string().as_bytes());
            }
            if !relay.homes.is_empty() {
                push_header(&mut bytes, HOMES_HEADER, relay.homes.join(",").as_bytes());
            }
            if let Some(fingerprint) = self.fingerprint {
                push_header(
                    &mut bytes,
                    FINGERPRINT_HEADER,
                    fingerprint.to_string().as_bytes(),
                );
            }
            // The other entry acknowledges the relay with `100 Continue`. The attempt
            // allowance then follows the body.
            let _ = write!(bytes, "{EXPECT}: {CONTINUE_EXPECTATION}\r\n");
            let _ = write!(bytes, "{CONTENT_LENGTH}: {}\r\n", length + ALLOWANCE_BYTES);
        } else if self.has_length_header {
            let _ = write!(bytes, "{CONTENT_LENGTH}: {length}\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
}

/// Serializes the attempt allowance for another entry.
pub fn render_allowance(attempts: u32) -> Vec<u8> {
    vec![b'0' + attempts.min(MAX_ALLOWANCE) as u8]
}

/// Parses the attempt allowance from another entry.
pub fn parse_allowance(digit: u8) -> Option<u32> {
    digit.is_ascii_digit().then(|| u32::from(digit - b'0'))
}

/// Serializes a relay order. Its fields, separated by semicolons, are: version of the
/// route table, time for the answer in milliseconds, attempt allowance per shard, whether
/// the shards raise the budget for extra load (1 or 0), whether the other entry may divide
/// the shards among the entries of its failure domain (1 or 0), and the comma-separated
/// shards.
fn render_relay_order(order: &RelayOrder, now: Duration) -> String {
    let millis = order.answer_by.saturating_sub(now).as_millis();
    let attempts = order.attempts;
    let (credits_budget, may_divide) = (u8::from(order.credits_budget), u8::from(order.may_divide));
    let shards = order.shards.join(",");
    format!(
        "{};{millis};{attempts};{credits_budget};{may_divide};{shards}",
        order.version
    )
}

/// Parses the fingerprint of a relay. Only the sending entry can compute it, as it knows
/// the caller.
pub fn parse_fingerprint(headers: &HeaderMap) -> Option<RequestFingerprint> {
    RequestFingerprint::parse(headers.get(FINGERPRINT_HEADER)?.to_str().ok()?)
}

/// Serializes a suspect record as a header value. A suspect is a request under which
/// servers crashed.
pub fn render_suspect(record: &SuspectRecord) -> Option<HeaderValue> {
    HeaderValue::from_str(&serde_json::to_string(record).ok()?).ok()
}

/// Parses the suspect record in an answer of another entry.
pub fn parse_suspect(value: &[u8]) -> Option<SuspectRecord> {
    serde_json::from_slice(value).ok()
}

/// Parses the relay order `text` of a request that arrived at `arrived_at`, since the
/// process started. The other fields of the order come from the request's other headers.
pub fn parse_relay_order<D: ForwardDialect>(
    text: &str,
    headers: &HeaderMap,
    arrived_at: Duration,
) -> Option<RelayOrder> {
    let header_text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let homes = header_text(HOMES_HEADER).map(|homes| homes.split(',').map(Into::into));
    let mut fields = text.splitn(RELAY_ORDER_FIELDS, ';');
    let version = fields.next()?.parse().ok()?;
    let millis = Duration::from_millis(fields.next()?.parse().ok()?);
    let attempts = fields.next()?.parse().ok()?;
    let credits_budget = fields.next()? == "1";
    let may_divide = fields.next()? == "1";
    let shards = fields.next()?.split(',').map(Into::into).collect();
    Some(RelayOrder {
        version,
        answer_by: arrived_at + millis,
        attempts,
        credits_budget,
        may_divide,
        workspace: header_text(D::HEADERS.workspace).map(Into::into),
        top: header_text(TOP_HEADER).and_then(|top| top.parse().ok()),
        homes: homes.map_or_else(Vec::new, Iterator::collect),
        shards,
    })
}

/// Returns whether a header of the caller is sent to servers. `connection_options` are the
/// comma-separated names in the caller's `connection` header, in lower case.
fn is_forwarded<D: ForwardDialect>(name: &HeaderName, connection_options: &[u8]) -> bool {
    let replaced_headers = [
        D::HEADERS.request,
        D::HEADERS.time_left,
        D::HEADERS.expect,
        D::HEADERS.key,
        D::HEADERS.workspace,
        RELAY_HEADER,
        FINGERPRINT_HEADER,
        TOP_HEADER,
        HOMES_HEADER,
    ];
    // CGI-like servers turn both dashes and underscores of header names into underscores,
    // so a name with underscores could pass for a header that must not be forwarded.
    let normalized = &*name.as_str().replace('_', "-");
    let is_connection_option = connection_options
        .split(|byte| *byte == b',')
        .any(|part| part.trim_ascii() == normalized.as_bytes() && *name != HOST);
    !is_hop_by_hop(normalized)
        && !replaced_headers.contains(&normalized)
        && *name != CONTENT_LENGTH
        && *name != EXPECT
        && !is_connection_option
}

/// Appends a header line to `head`.
fn push_header(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.extend_from_slice(name.as_bytes());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}
