//! An HTTP listener that serves metrics in the Prometheus text format.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use tokio::net::TcpListener;

use crate::connection::client::{ClientTimeouts, ConnectionLimiter};
use crate::connection::client_memory::ClientMemory;
use crate::connection::http::{serve_listener, typed_response, ListenerLimits};

/// Content type of the rendered metrics.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";
/// Time limits for a client.
const TIMEOUTS: ClientTimeouts = ClientTimeouts {
    head: Duration::from_secs(10),
    idle: Duration::from_secs(10),
};
/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 32;

/// Serves metrics until the process ends. `memory` covers the answers.
///
/// If the address cannot be bound, the error is logged and the instance runs
/// without metrics.
pub async fn expose_metrics(
    address: SocketAddr,
    memory: ClientMemory,
    render: impl Fn() -> String + 'static,
) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(%address, "metrics: could not listen, {error}");
            return;
        }
    };
    let limits = ListenerLimits {
        connections: ConnectionLimiter::new(MAX_CONNECTIONS),
        memory,
        timeouts: TIMEOUTS,
    };
    let render = Rc::new(render);
    serve_listener(listener, limits, move |_, _| {
        let response = typed_response(StatusCode::OK, METRICS_CONTENT_TYPE, render());
        async move { response }
    })
    .await;
}
