//! Accepting TCP connections on a listener, with retries after errors.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Delay before a listener accepts again after an error, for example when the process
/// has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Waits for the next connection on `listener` and returns it.
///
/// Logs errors of the listener and retries after them without limit.
pub async fn accept_connection(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Disables Nagle's algorithm, which delays small writes. An error is
                // ignored, as the connection works without the option.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(error) => {
                tracing::warn!("listener: could not accept, {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
