//! Heads of requests, as the stand-ins for servers read them.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Reads the next head of a connection; none if the connection closes. `bytes`
/// keeps what came behind it.
///
/// # Errors
///
/// Fails if the connection does.
pub(crate) async fn read_head(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> std::io::Result<Option<String>> {
    loop {
        let end = bytes
            .windows(HEAD_END.len())
            .position(|part| part == HEAD_END);
        if let Some(end) = end {
            let head: Vec<u8> = bytes.drain(..end + HEAD_END.len()).collect();
            return Ok(Some(String::from_utf8_lossy(&head).to_string()));
        }
        if stream.read_buf(bytes).await? == 0 {
            return Ok(None);
        }
    }
}

/// Returns the value of a header of a head.
pub(crate) fn find_header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}
