//! Ports of a run's instances.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use anyhow::bail;

/// First port that is taken: under those that systems give to connections.
const FIRST_PORT: u16 = 20_000;
/// Number of ports to choose from.
const PORT_COUNT: u16 = 10_000;
/// Ports that may be found taken.
const MAX_ATTEMPTS: u16 = 200;

/// Ports chosen by this process so far, from a place of its own.
static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns an address for a listener that is opened again later. A port that the
/// system chose could be given to a connection while the listener is closed.
///
/// # Errors
///
/// Fails if no port is free.
pub fn choose_address(source: IpAddr) -> anyhow::Result<SocketAddr> {
    let process_offset = (std::process::id() % u32::from(PORT_COUNT)) as u16;
    for _ in 0..MAX_ATTEMPTS {
        let number = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let offset = (u32::from(process_offset) + u32::from(number)) % u32::from(PORT_COUNT);
        let address = SocketAddr::new(source, FIRST_PORT + offset as u16);
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    bail!("could not find a free port at {source}")
}
