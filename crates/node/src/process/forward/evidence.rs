//! Connections that are opened to find out whether a server is alive after another
//! connection to it broke. They take the place of the broken one in the pool.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use wheelmast_core::arena::ServerKey;
use wheelmast_wire::dialect::ForwardDialect;

use crate::process::forward::entry::ForwardDriver;
use crate::process::forward::pool::{open_stream, serve_requests, serve_stream};

/// Opens a connection to a server in a task of its own, and keeps it as an idle one.
pub fn spawn_evidence_connection<D: ForwardDialect>(
    entry: &Rc<ForwardDriver<D>>,
    server: ServerKey,
    address: SocketAddr,
) {
    entry.pool.count_opened(server);
    tokio::task::spawn_local(run_evidence_connection(entry.clone(), server, address));
}

async fn run_evidence_connection<D: ForwardDialect>(
    entry: Rc<ForwardDriver<D>>,
    server: ServerKey,
    address: SocketAddr,
) {
    entry.pool.report_connections(&entry, server);
    let opened = Instant::now();
    if let Ok(stream) = open_stream(&entry, server, address, opened).await {
        let replaced_for = serve_stream(&entry, server, stream, None).await;
        if let Some(request) = replaced_for {
            serve_requests(&entry, request).await;
        }
    }
    entry.pool.count_closed(server);
    entry.pool.report_connections(&entry, server);
}
