//! The link to another instance: HTTP/2 streams with bincode.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{bail, Context};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http2::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use wheelmast_core::process::control::log::ReplicaId;
use wheelmast_wire::peer::{
    decode, encode, PeerReply, PeerRequest, KEY_HEADER, MAX_PEER_MESSAGE_BYTES, PEER_PATH,
};

use crate::ring::{bounded_ring, RingReceiver, RingSender};

/// Longest time an exchange may take.
const EXCHANGE_TIME: Duration = Duration::from_secs(2);
/// Longest time a connection may take to open.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Messages that may wait for a peer; what is over is dropped, as a lossy
/// network would.
const TELL_RING: usize = 256;

type PeerSender = SendRequest<Full<Bytes>>;

/// The link to another instance; clones share one connection.
#[derive(Debug, Clone)]
pub struct PeerLink {
    /// Name of the other instance.
    pub name: Arc<str>,
    /// Its identity in the control group, if it is a replica.
    pub replica: Option<ReplicaId>,
    line: PeerLine,
    tells: RingSender<PeerRequest>,
}

/// The connection of a link.
#[derive(Debug, Clone)]
struct PeerLine {
    address: SocketAddr,
    key: Arc<str>,
    sender: Arc<Mutex<Option<PeerSender>>>,
}

impl PeerLink {
    /// Returns a link, and the duty that carries what is told over it.
    pub fn new(
        name: &str,
        address: SocketAddr,
        replica: Option<ReplicaId>,
        key: Arc<str>,
    ) -> (PeerLink, PeerTeller) {
        let (tells, ring) = bounded_ring(TELL_RING);
        let line = PeerLine {
            address,
            key,
            sender: Arc::default(),
        };
        let teller = PeerTeller {
            line: line.clone(),
            ring,
        };
        let link = PeerLink {
            name: name.into(),
            replica,
            line,
            tells,
        };
        (link, teller)
    }

    /// Sends a message whose answer does not matter; it may be lost.
    pub fn tell(&self, request: PeerRequest) {
        // A full ring loses it, as the network may.
        let _ = self.tells.offer(request);
    }

    /// Sends a message and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails if there is none in time.
    pub async fn ask(&self, request: PeerRequest) -> anyhow::Result<PeerReply> {
        self.line.exchange(&request).await
    }
}

/// Carries what is told to a peer, in order.
#[derive(Debug)]
pub struct PeerTeller {
    line: PeerLine,
    ring: RingReceiver<PeerRequest>,
}

impl PeerTeller {
    /// Runs until the link is gone.
    pub async fn run(mut self) {
        while let Some(request) = self.ring.recv().await {
            if let Err(error) = self.line.exchange(&request).await {
                tracing::debug!("peer: message to {} lost, {error:#}", self.line.address);
            }
        }
    }
}

impl PeerLine {
    async fn exchange(&self, request: &PeerRequest) -> anyhow::Result<PeerReply> {
        let body = Bytes::from(encode(request)?);
        let exchange = self.send(body);
        let reply = tokio::time::timeout(EXCHANGE_TIME, exchange).await;
        match reply {
            Ok(Ok(reply)) => Ok(reply),
            other => {
                // The next message tries a new connection.
                *self.sender.lock().await = None;
                other.with_context(|| format!("could not hear from {} in time", self.address))?
            }
        }
    }

    async fn send(&self, body: Bytes) -> anyhow::Result<PeerReply> {
        let mut sender = self.sender().await?;
        let request = Request::post(format!("http://{}{PEER_PATH}", self.address))
            .header(KEY_HEADER, &*self.key)
            .body(Full::new(body))?;
        let response = sender.send_request(request).await?;
        if !response.status().is_success() {
            bail!(
                "{} turned a message away: {}",
                self.address,
                response.status()
            );
        }
        let body = Limited::new(response.into_body(), MAX_PEER_MESSAGE_BYTES);
        let body = body.collect().await.map_err(anyhow::Error::from_boxed)?;
        Ok(decode(&body.to_bytes())?)
    }

    async fn sender(&self) -> anyhow::Result<PeerSender> {
        let mut kept = self.sender.lock().await;
        if let Some(sender) = kept.as_ref().filter(|sender| !sender.is_closed()) {
            return Ok(sender.clone());
        }
        let stream = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(self.address))
            .await
            .with_context(|| format!("could not connect to {} in time", self.address))??;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioExecutor::new(), TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        *kept = Some(sender.clone());
        Ok(sender)
    }
}
