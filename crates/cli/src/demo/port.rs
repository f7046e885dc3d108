//! Ports of a run's instances.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use anyhow::bail;

/// First port that is taken: under those that systems give to connections.
const FIRST_PORT: u16 = 20_000;
/// Number of ports to choose from.
const PORTS: u16 = 10_000;
/// Ports that may be found taken.
const MOST_TRIES: u16 = 200;

/// Ports chosen by this process so far, from a place of its own.
static CHOSEN: AtomicU16 = AtomicU16::new(0);

/// Returns an address for a listener that is opened again later. A port that the
/// system chose could be given to a connection while the listener is closed.
///
/// # Errors
///
/// Fails if no port is free.
pub fn choose_address(source: IpAddr) -> anyhow::Result<SocketAddr> {
    let place = (std::process::id() % u32::from(PORTS)) as u16;
    for _ in 0..MOST_TRIES {
        let number = CHOSEN.fetch_add(1, Ordering::Relaxed);
        let offset = (u32::from(place) + u32::from(number)) % u32::from(PORTS);
        let address = SocketAddr::new(source, FIRST_PORT + offset as u16);
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    bail!("could not find a free port at {source}")
}
