//! HTTP listeners: accept connections up to a limit, serve a router on them, and shut
//! down gracefully.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use axum::Router;
use hyper::body::Incoming;
use hyper::Request;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tower::ServiceBuilder;

use crate::connection::client::{ClientConnection, ConnectionLimiter};
use crate::connection::short_reads::ShortReadStream;

/// Maximum time for a client to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;
/// Maximum size of the head of an HTTP/1 request, and of the headers of an HTTP/2 request,
/// in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of concurrent requests on an HTTP/2 connection.
const MAX_STREAMS: u32 = 256;
/// Delay after a failed accept, for example when the process has run out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A bound listener with a limit on its concurrent connections.
#[derive(Debug)]
pub struct BoundListener {
    listener: TcpListener,
    connections: ConnectionLimiter,
}

impl BoundListener {
    /// Binds to `address` and allows at most `max_connections` concurrent connections. Over
    /// that, the one is closed whose client has kept the process waiting for longest.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        max_connections: usize,
    ) -> anyhow::Result<BoundListener> {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("could not listen on {address}"))?;
        Ok(BoundListener {
            listener,
            connections: ConnectionLimiter::new(max_connections),
        })
    }

    /// Returns the local address of the listener.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not return the address.
    pub fn address(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }

    /// Serves `router` until `stop` becomes true, then waits for the running requests to
    /// end.
    pub async fn serve(self, router: Router, mut stop: watch::Receiver<bool>) {
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => break,
            };
            match accepted {
                Ok((stream, _)) => self.spawn_connection(stream, &router, &graceful).await,
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        self.accept_pending(&router, &graceful).await;
        drop(self.listener);
        graceful.shutdown().await;
    }

    /// Accepts the connections that the operating system has established but that are
    /// still in the accept queue. Closing the listener would reset them.
    async fn accept_pending(&self, router: &Router, graceful: &GracefulShutdown) {
        while let Ok(Ok((stream, _))) =
            tokio::time::timeout(Duration::ZERO, self.listener.accept()).await
        {
            self.spawn_connection(stream, router, graceful).await;
        }
    }

    /// Starts a task that serves one connection. Closes the connection instead if there is no
    /// place for it. The requests carry the state of the connection as an extension.
    async fn spawn_connection(
        &self,
        stream: TcpStream,
        router: &Router,
        graceful: &GracefulShutdown,
    ) {
        let Some(client) = self.connections.admit().await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let state = client.state.clone();
        let service = ServiceBuilder::new()
            .map_request(move |mut request: Request<Incoming>| {
                request.extensions_mut().insert(state.clone());
                request
            })
            .service(router.clone());
        let builder = connection_builder();
        let service = TowerToHyperService::new(service);
        let connection = builder.serve_connection(TokioIo::new(ShortReadStream(stream)), service);
        let connection = graceful.watch(connection.into_owned());
        tokio::spawn(run_connection(connection, client));
    }
}

/// Runs a connection to its end, or until another client gets its place.
async fn run_connection<T>(
    connection: impl std::future::Future<Output = T>,
    client: ClientConnection,
) {
    tokio::select! {
        _ = connection => {}
        () = client.state.eviction.wait() => {}
    }
}

fn connection_builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEAD_BYTES as u32);
    builder
}
