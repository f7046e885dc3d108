//! Link to another instance: requests and replies in bincode, over one HTTP/2 connection
//! that is reopened after a failure.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{bail, ensure, Context};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
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

/// Maximum time for a request and its reply.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of messages queued for a peer. Further messages are dropped, as on a
/// lossy network.
const OUTBOUND_RING_LENGTH: usize = 256;

type PeerSender = SendRequest<Full<Bytes>>;

/// Link to another instance. Clones share one connection.
#[derive(Debug, Clone)]
pub struct PeerLink {
    /// Name of the other instance.
    pub name: Arc<str>,
    /// Id of the other instance in the control group, if it is a replica.
    pub replica: Option<ReplicaId>,
    connection: PeerConnection,
    outbound: RingSender<PeerRequest>,
}

/// Connection of a link, opened when first needed.
#[derive(Debug, Clone)]
struct PeerConnection {
    address: SocketAddr,
    key: Arc<str>,
    sender: Arc<Mutex<Option<PeerSender>>>,
}

impl PeerLink {
    /// Creates a link and the queue of its best-effort messages.
    ///
    /// The queue must be [run](PeerSendQueue::run) for these messages to be sent.
    pub fn new(
        name: &str,
        address: SocketAddr,
        replica: Option<ReplicaId>,
        key: Arc<str>,
    ) -> (PeerLink, PeerSendQueue) {
        let (outbound, ring) = bounded_ring(OUTBOUND_RING_LENGTH);
        let connection = PeerConnection {
            address,
            key,
            sender: Arc::default(),
        };
        let queue = PeerSendQueue {
            connection: connection.clone(),
            ring,
        };
        let link = PeerLink {
            name: name.into(),
            replica,
            connection,
            outbound,
        };
        (link, queue)
    }

    /// Queues a message for sending without waiting for a reply. The message may be
    /// lost.
    pub fn send_best_effort(&self, request: PeerRequest) {
        // If the ring is full, the message is lost, as it may be on the network.
        let _ = self.outbound.offer(request);
    }

    /// Sends a request and waits for the reply.
    ///
    /// # Errors
    ///
    /// Fails if no reply is received within 2 s.
    pub async fn ask(&self, request: PeerRequest) -> anyhow::Result<PeerReply> {
        self.connection.exchange(&request).await
    }
}

/// Queue of best-effort messages to a peer. Sends one message at a time, in order.
#[derive(Debug)]
pub struct PeerSendQueue {
    connection: PeerConnection,
    ring: RingReceiver<PeerRequest>,
}

impl PeerSendQueue {
    /// Sends the queued messages until all clones of the link are dropped.
    pub async fn run(mut self) {
        while let Some(request) = self.ring.recv().await {
            if let Err(error) = self.connection.exchange(&request).await {
                tracing::debug!(
                    "peer: message to {} lost, {error:#}",
                    self.connection.address
                );
            }
        }
    }
}

impl PeerConnection {
    /// Sends a request and waits for the reply, with a time limit. Drops the connection
    /// after a failure.
    async fn exchange(&self, request: &PeerRequest) -> anyhow::Result<PeerReply> {
        let body = Bytes::from(encode(request)?);
        let exchange = self.send(body);
        let reply = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await;
        match reply {
            Ok(Ok(reply)) => Ok(reply),
            other => {
                // The next message opens a new connection.
                *self.sender.lock().await = None;
                other.with_context(|| format!("no reply from {} in time", self.address))?
            }
        }
    }

    /// Posts an encoded request and decodes the reply.
    async fn send(&self, body: Bytes) -> anyhow::Result<PeerReply> {
        let mut sender = self.sender().await?;
        let request = Request::post(format!("http://{}{PEER_PATH}", self.address))
            .header(KEY_HEADER, &*self.key)
            .body(Full::new(body))?;
        let response = sender.send_request(request).await?;
        if !response.status().is_success() {
            bail!("{} rejected a message: {}", self.address, response.status());
        }
        let mut body = response.into_body();
        let bytes = Limited::new(&mut body, MAX_PEER_MESSAGE_BYTES)
            .collect()
            .await;
        let bytes = bytes.map_err(anyhow::Error::from_boxed)?.to_bytes();
        // The HTTP library also ends a body at a reset of the stream without an error.
        ensure!(body.is_end_stream(), "{} broke off its reply", self.address);
        Ok(decode(&bytes)?)
    }

    /// Returns the sender of the open connection, or opens a new connection.
    async fn sender(&self) -> anyhow::Result<PeerSender> {
        let mut cached_sender = self.sender.lock().await;
        if let Some(sender) = cached_sender.as_ref().filter(|sender| !sender.is_closed()) {
            return Ok(sender.clone());
        }
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .with_context(|| format!("could not connect to {} in time", self.address))??;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioExecutor::new(), TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        *cached_sender = Some(sender.clone());
        Ok(sender)
    }
}
