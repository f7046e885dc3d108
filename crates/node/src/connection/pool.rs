//! Pool of HTTP/1 connections to upstream servers that stay open between subqueries.
//!
//! The pool has no limit of its own. The state machine in `wheelmast_core` limits the
//! connections to a server: it orders no subquery that would need one more than this
//! instance's share of the server's connections.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;
use wheelmast_core::prelude::{ConnectionChange, ServerKey};

use crate::connection::client_memory::ClientMemory;
use crate::connection::limited_stream::{LimitedStream, ReadAllowance};
use crate::connection::search_body::SearchBody;

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of the head of a reply, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Handle of a connection's task. Dropping the handle aborts the task.
#[derive(Debug)]
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection to an upstream server. Dropping the value closes the connection at
/// once.
#[derive(Debug)]
pub struct UpstreamConnection {
    /// Sends requests on the connection.
    pub sender: SendRequest<SearchBody>,
    /// Number of bytes that may be received until the end of the current reply.
    pub allowance: ReadAllowance,
    address: SocketAddr,
    idle_since: Instant,
    _task: AbortOnDrop,
}

impl UpstreamConnection {
    /// Opens a connection to `address`, from the local address `source` if given.
    ///
    /// # Errors
    ///
    /// Fails if the server cannot be reached.
    pub async fn open(
        source: Option<IpAddr>,
        address: SocketAddr,
    ) -> anyhow::Result<UpstreamConnection> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if let Some(source) = source {
            socket
                .bind(SocketAddr::new(source, 0))
                .with_context(|| format!("could not bind to {source}"))?;
        }
        let stream = socket
            .connect(address)
            .await
            .with_context(|| format!("could not connect to {address}"))?;
        stream.set_nodelay(true)?;
        let (stream, allowance) = LimitedStream::new(stream);
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        let task = tokio::spawn(async move {
            // The error also reaches the caller that waits for a reply.
            let _ = connection.await;
        });
        Ok(UpstreamConnection {
            sender,
            allowance,
            address,
            idle_since: Instant::now(),
            _task: AbortOnDrop(task),
        })
    }
}

type IdleMap = HashMap<ServerKey, Vec<UpstreamConnection>>;

/// The idle connections of this instance to all servers. Clones share the pool.
#[derive(Debug, Clone, Default)]
pub struct ConnectionPool {
    idle: Arc<Mutex<IdleMap>>,
    /// Memory for the replies that are being received.
    pub memory: ClientMemory,
}

impl ConnectionPool {
    /// Returns an empty pool whose replies are covered by `memory`.
    pub fn new(memory: ClientMemory) -> ConnectionPool {
        ConnectionPool {
            idle: Arc::default(),
            memory,
        }
    }

    /// Locks the idle connections, also after a panic of another thread that held the
    /// lock.
    fn idle(&self) -> MutexGuard<'_, IdleMap> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used idle connection to a server, if there is one that is
    /// open and leads to `address`.
    pub fn take(&self, server: ServerKey, address: SocketAddr) -> Option<UpstreamConnection> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&server)?;
        while let Some(connection) = connections.pop() {
            if !connection.sender.is_closed() && connection.address == address {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool for the next subquery, unless it is closed.
    pub fn put_back(&self, server: ServerKey, mut connection: UpstreamConnection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        self.idle().entry(server).or_default().push(connection);
    }

    /// Drops connections that are closed or have been idle for 20 s. Returns the servers
    /// that lost connections, with the number of connections left.
    pub fn reap(&self) -> Vec<ConnectionChange> {
        let mut changes = Vec::new();
        for (server, connections) in self.idle().iter_mut() {
            let before = connections.len();
            connections.retain(|connection| {
                !connection.sender.is_closed() && connection.idle_since.elapsed() < IDLE_TIMEOUT
            });
            if connections.len() != before {
                changes.push(ConnectionChange {
                    server: *server,
                    idle: connections.len() as u32,
                });
            }
        }
        changes
    }
}
