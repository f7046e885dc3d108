//! Choice of listener ports for the instances of a demo run.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use anyhow::bail;

/// Lowest port to choose from. The range lies below the ephemeral ports that
/// operating systems assign to outgoing connections.
const FIRST_PORT: u16 = 20_000;
/// Number of ports in the range.
const PORT_COUNT: u16 = 10_000;
/// Maximum number of ports that are tried per address.
const MAX_ATTEMPTS: u16 = 200;

/// Offset of the next port to try, relative to this process's first port. Each
/// process starts at a port derived from its process id, so that processes running
/// at the same time seldom try the same ports.
static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns an address with a free port for a listener that is closed and reopened
/// later. An ephemeral port chosen by the system would not do: the system could
/// assign that port to an outgoing connection while the listener is closed.
///
/// # Errors
///
/// Fails if none of the `MAX_ATTEMPTS` ports that are tried is free.
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
