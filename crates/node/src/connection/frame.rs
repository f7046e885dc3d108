//! Connections that carry messages of the control group, between control instances and
//! to entries.
//!
//! A message is sent as a frame: its length (u32, big-endian), then its encoding.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{bail, Context};
use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;
use wheelmast_wire::group::{GroupMessage, MAX_FRAME_BYTES};
use wheelmast_wire::peer::{decode, encode};

/// Number of consecutive failures to connect up to which the initial, shorter delay
/// between attempts is used.
const INITIAL_ATTEMPTS: u32 = 20;
/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;
/// Buffer space reserved before each read, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a connection is closed if the peer has not acknowledged sent bytes.
/// A peer behind a network partition sends nothing, not even a reset.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Connects to another instance, with Nagle's algorithm off and the time-out for
/// unacknowledged bytes set.
///
/// # Errors
///
/// Fails if the instance cannot be reached within 250 ms.
pub async fn connect(address: SocketAddr) -> anyhow::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .with_context(|| format!("could not connect to {address} in time"))?
        .with_context(|| format!("could not connect to {address}"))?;
    stream.set_nodelay(true)?;
    set_unacknowledged_timeout(&stream)?;
    Ok(stream)
}

/// Returns the delay before the next attempt to connect, after `failures` consecutive
/// failures.
///
/// The first 20 attempts are only `initial_delay` apart, so that instances that start
/// together connect to each other quickly.
pub fn reconnect_delay(failures: u32, initial_delay: Duration, delay: Duration) -> Duration {
    if failures < INITIAL_ATTEMPTS {
        initial_delay
    } else {
        delay
    }
}

/// Makes the operating system close a connection on which sent bytes are not
/// acknowledged for 1.5 s.
///
/// # Errors
///
/// Fails if the operating system rejects the socket option.
pub fn set_unacknowledged_timeout(stream: &TcpStream) -> anyhow::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    Ok(())
}

/// Appends the frame of `message` to `bytes`.
///
/// # Errors
///
/// Fails if the message cannot be encoded or is too large.
pub fn write_frame(message: &GroupMessage, bytes: &mut Vec<u8>) -> anyhow::Result<()> {
    let body = encode(message)?;
    if body.len() > MAX_FRAME_BYTES {
        bail!(
            "could not send a message of {} bytes: the maximum is {MAX_FRAME_BYTES}",
            body.len()
        );
    }
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(())
}

/// Reads messages from the frames of a connection.
#[derive(Debug)]
pub struct FrameReader<R> {
    stream: R,
    buffer: BytesMut,
    /// Maximum size of a frame's message, in bytes.
    max_bytes: usize,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader with an empty buffer.
    pub fn new(stream: R) -> FrameReader<R> {
        FrameReader::with_max_bytes(stream, MAX_FRAME_BYTES)
    }

    /// Creates a reader of messages of at most `max_bytes` bytes.
    pub fn with_max_bytes(stream: R, max_bytes: usize) -> FrameReader<R> {
        FrameReader {
            stream,
            buffer: BytesMut::new(),
            max_bytes,
        }
    }

    /// Allows messages of at most `max_bytes` bytes from now on.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
    }

    /// Reads the next message.
    ///
    /// Cancel safe: bytes that were read stay in the buffer.
    ///
    /// # Errors
    ///
    /// Fails at the end of the connection, and if a frame is too large or cannot be
    /// decoded.
    pub async fn next(&mut self) -> anyhow::Result<GroupMessage> {
        loop {
            if let Some(message) = self.decode_buffered()? {
                return Ok(message);
            }
            self.buffer.reserve(READ_BUFFER_BYTES);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                bail!("connection closed");
            }
        }
    }

    /// Removes the next complete frame from the buffer and decodes it. Returns `None` if
    /// the buffer holds no complete frame.
    fn decode_buffered(&mut self) -> anyhow::Result<Option<GroupMessage>> {
        let Some((length_prefix, _)) = self.buffer.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length_prefix) as usize;
        let max_bytes = self.max_bytes;
        if length > max_bytes {
            bail!("could not read a message of {length} bytes: the maximum is {max_bytes}");
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let body = self.buffer.split_to(length);
        Ok(Some(decode(&body)?))
    }
}
