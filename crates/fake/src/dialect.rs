//! What the stand-ins for servers behind an entry that forwards say alike, in the
//! native dialect.

use std::net::SocketAddr;

use wheelmast_wire::dialect::ForwardDialect;
use wheelmast_wire::native::NativeDialect;

use crate::head::find_header;

/// Returns the call and the body of an announcement.
pub(crate) fn announce(
    id: &str,
    service: &str,
    address: SocketAddr,
    domain: &str,
    draining: bool,
    sequence: u64,
) -> (String, String) {
    let body = format!(
        r#"{{"service":"{service}","address":"{address}","failure_domain":"{domain}","slots":4,"draining":{draining},"sequence":{sequence}}}"#
    );
    (format!("/v1/servers/{id}"), body)
}

/// Returns the name of a request, and the lines that every answer to it begins
/// with.
///
/// # Errors
///
/// Returns the whole answer if another server than `id` is meant.
pub(crate) fn begin_answer<'a>(head: &'a str, id: &str) -> Result<(&'a str, String), String> {
    let names = NativeDialect::HEADERS;
    let request = find_header(head, names.request).unwrap_or_default();
    let mut lines = format!("{}: {request}\r\n", names.request);
    if find_header(head, names.expect).is_some_and(|expected| expected != id) {
        lines.push_str(&format!("{}: 1\r\n", names.not_run));
        return Err(format!(
            "HTTP/1.1 421 Misdirected\r\n{lines}content-length: 0\r\n\r\n"
        ));
    }
    Ok((request, lines))
}
