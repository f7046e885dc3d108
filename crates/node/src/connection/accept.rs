//! Accepting connections.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Time after which a listener that cannot accept tries again: descriptors
/// may be short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Returns the next connection of a listener, however long that takes.
pub async fn accept_connection(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without it small writes wait for each other; nothing else
                // changes.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(error) => {
                tracing::warn!("listener: could not accept, {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
