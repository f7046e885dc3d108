//! Pool of HTTP/1 connections to upstream servers that stay open between subqueries.
//!
//! The pool has no limit of its own. The state machine in `wheelmast_core` limits the
//! connections to a server: it orders no subquery that would need one more than this
//! instance's share of the server's connections.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context;
use bytes::BytesMut;
use tokio::net::{TcpSocket, TcpStream};
use wheelmast_core::prelude::{ConnectionChange, ServerKey};

use crate::connection::client_memory::ClientMemory;
use crate::connection::exchange::is_closed_or_readable;

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of the receive buffer of an idle connection, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;

/// An open connection to an upstream server. Dropping the value closes the connection at
/// once.
#[derive(Debug)]
pub struct UpstreamConnection {
    /// The connection.
    pub stream: TcpStream,
    /// Buffer for received bytes. It is empty between two requests.
    pub buffer: BytesMut,
    address: SocketAddr,
    idle_until: Instant,
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
        Ok(UpstreamConnection {
            stream,
            buffer: BytesMut::new(),
            address,
            idle_until: Instant::now(),
        })
    }

    /// Returns whether another request may be sent on the idle connection.
    fn is_usable(&self) -> bool {
        self.idle_until > Instant::now() && !is_closed_or_readable(&self.stream)
    }
}

type IdleMap<K> = HashMap<K, Vec<UpstreamConnection>>;

/// The idle connections to all servers, each of which `K` identifies. Clones share the pool.
#[derive(Debug, Clone)]
pub struct ConnectionPool<K = ServerKey> {
    idle: Arc<Mutex<IdleMap<K>>>,
    /// Memory for the replies that are being received.
    pub memory: ClientMemory,
}

impl<K> Default for ConnectionPool<K> {
    fn default() -> ConnectionPool<K> {
        ConnectionPool::new(ClientMemory::default())
    }
}

impl<K> ConnectionPool<K> {
    /// Returns an empty pool whose replies are covered by `memory`.
    pub fn new(memory: ClientMemory) -> ConnectionPool<K> {
        ConnectionPool {
            idle: Arc::default(),
            memory,
        }
    }

    /// Locks the idle connections, also after a panic of another thread that held the
    /// lock.
    fn idle(&self) -> MutexGuard<'_, IdleMap<K>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<K: Eq + Hash> ConnectionPool<K> {
    /// Takes the most recently used idle connection to a server, if there is one that is
    /// open and leads to `address`.
    pub fn take(&self, server: K, address: SocketAddr) -> Option<UpstreamConnection> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&server)?;
        while let Some(connection) = connections.pop() {
            if connection.address == address && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool for the next subquery. It may be idle for `keep_alive`,
    /// at most 20 s.
    pub fn put_back(&self, server: K, mut connection: UpstreamConnection, keep_alive: Duration) {
        if connection.buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            connection.buffer = BytesMut::new();
        }
        connection.idle_until = Instant::now() + keep_alive.min(IDLE_TIMEOUT);
        self.idle().entry(server).or_default().push(connection);
    }
}

impl ConnectionPool {
    /// Drops connections that are closed or have been idle for as long as they may be. Returns the servers
    /// that lost connections, with the number of connections left.
    pub fn reap(&self) -> Vec<ConnectionChange> {
        let mut changes = Vec::new();
        for (server, connections) in self.idle().iter_mut() {
            let before = connections.len();
            connections.retain(UpstreamConnection::is_usable);
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
