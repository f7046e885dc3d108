//! Frames of the control group: a length and a message.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{bail, Context};
use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;
use wheelmast_wire::group::{GroupMessage, MAX_FRAME_BYTES};
use wheelmast_wire::peer::{decode, encode};

/// Number of the first tries to connect.
const FIRST_TRIES: u32 = 20;
/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;
/// Room kept for reading.
const READ_BYTES: usize = 16 * 1024;
/// Longest time a connection may take to open.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// Time after which bytes that the other side has not acknowledged end a
/// connection: a peer behind a cut answers nothing, not even a reset.
const SILENT_TIME: Duration = Duration::from_millis(1500);

/// Connects to another instance.
///
/// # Errors
///
/// Fails if it cannot be reached in time.
pub async fn connect(address: SocketAddr) -> anyhow::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(address))
        .await
        .with_context(|| format!("could not connect to {address} in time"))?
        .with_context(|| format!("could not connect to {address}"))?;
    stream.set_nodelay(true)?;
    end_when_silent(&stream)?;
    Ok(stream)
}

/// Returns the time before the next try to connect, after `tries`: instances
/// that start together find each other by the first, which are `soon` apart.
pub fn retry_wait(tries: u32, soon: Duration, later: Duration) -> Duration {
    if tries < FIRST_TRIES {
        soon
    } else {
        later
    }
}

/// Lets a connection between instances end when the other side is silent.
///
/// # Errors
///
/// Fails if the system refuses.
pub fn end_when_silent(stream: &TcpStream) -> anyhow::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(SILENT_TIME))?;
    Ok(())
}

/// Appends a message's frame.
///
/// # Errors
///
/// Fails if the message cannot be encoded or is too large.
pub fn write_frame(message: &GroupMessage, bytes: &mut Vec<u8>) -> anyhow::Result<()> {
    let body = encode(message)?;
    if body.len() > MAX_FRAME_BYTES {
        bail!("could not send a message of {} bytes", body.len());
    }
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(())
}

/// Reads frames off a connection.
#[derive(Debug)]
pub struct FrameReader<R> {
    stream: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Returns a reader.
    pub fn new(stream: R) -> FrameReader<R> {
        FrameReader {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Reads the next message. Safe to cancel: nothing read is lost.
    ///
    /// # Errors
    ///
    /// Fails at the connection's end and at what is no message.
    pub async fn next(&mut self) -> anyhow::Result<GroupMessage> {
        loop {
            if let Some(message) = self.take()? {
                return Ok(message);
            }
            self.buffer.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                bail!("connection closed");
            }
        }
    }

    fn take(&mut self) -> anyhow::Result<Option<GroupMessage>> {
        let Some((head, _)) = self.buffer.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length > MAX_FRAME_BYTES {
            bail!("could not take a message of {length} bytes");
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let body = self.buffer.split_to(length);
        Ok(Some(decode(&body)?))
    }
}
