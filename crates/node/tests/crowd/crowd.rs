//! Crowds of clients that open connections, send something incomplete or read nothing, and
//! stay; and the bounds that a process must keep meanwhile.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use tokio::net::TcpSocket;
use tokio::sync::{Mutex, MutexGuard};

/// Settings of the instances under test. Their limits are low, so that a small crowd meets them.
pub(crate) const LOW_LIMITS: &str = r#""connections": 64, "client_memory_mb": 8,"#;
/// `connections` of [`LOW_LIMITS`].
const CONNECTIONS: usize = 64;
/// `client_memory_mb` of [`LOW_LIMITS`], in KiB.
const CLIENT_MEMORY_KB: u64 = 8 * 1024;
/// Memory that each connection may take besides the requests and answers on it, in KiB.
const CONNECTION_KB: u64 = 64;
/// Memory that a process may take for anything else, such as its allocator, in KiB.
const OTHER_KB: u64 = 8 * 1024;
/// Descriptors that a process may open besides those of its clients' connections and of one
/// connection to a server for each of them.
const OTHER_DESCRIPTORS: usize = 32;
/// Number of connections of a crowd.
pub(crate) const CROWD: usize = 200;
/// Threads that open the connections of a crowd.
const THREADS: usize = 8;
/// Longest wait of a client of the crowd to connect or to write, for an instance that has
/// stopped accepting or reading.
const CROWD_TIMEOUT: Duration = Duration::from_millis(500);
/// Times that an ordinary client sends its request until it gives up.
pub(crate) const ORDINARY_ATTEMPTS: usize = 5;

/// Held by a test while it runs, so that only one does at a time.
pub(crate) async fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::const_new(());
    RUNNING.lock().await
}

/// Memory and descriptors of a process before a crowd came.
#[derive(Debug)]
pub(crate) struct ProcessBounds {
    process: u32,
    memory_kb: u64,
    descriptors: usize,
}

impl ProcessBounds {
    /// Measures a process, and lets the peak of its memory begin at what it uses now.
    pub(crate) fn measure(process: u32) -> ProcessBounds {
        std::fs::write(format!("/proc/{process}/clear_refs"), "5").expect("the peak is reset");
        ProcessBounds {
            process,
            memory_kb: memory_kb(process, "VmRSS"),
            descriptors: count_descriptors(process),
        }
    }

    /// Checks that the process lives and has kept its bounds since it was measured.
    pub(crate) fn check(&self, name: &str) {
        let grown_kb = memory_kb(self.process, "VmHWM").saturating_sub(self.memory_kb);
        let opened = count_descriptors(self.process).saturating_sub(self.descriptors);
        println!("{name}: {grown_kb} KiB and {opened} descriptors more");
        let max_kb = CLIENT_MEMORY_KB + CONNECTIONS as u64 * CONNECTION_KB + OTHER_KB;
        assert!(
            grown_kb <= max_kb,
            "{name}: {grown_kb} KiB, at most {max_kb}"
        );
        let max_opened = 2 * CONNECTIONS + OTHER_DESCRIPTORS;
        assert!(
            opened <= max_opened,
            "{name}: {opened} descriptors, at most {max_opened}"
        );
    }
}

/// Returns a value of a process's memory in KiB: `VmRSS` for now, `VmHWM` for the peak.
fn memory_kb(process: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the process lives");
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    let number = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
    number.expect("the process lives")
}

fn count_descriptors(process: u32) -> usize {
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd"));
    descriptors.expect("the process lives").count()
}

/// Opens the connections of a crowd, all at once, and sends `bytes` on each. The connections
/// stay open until they are dropped.
pub(crate) fn gather(to: SocketAddr, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    std::thread::scope(|scope| {
        let open_share = || {
            let clients = (0..count / THREADS).filter_map(|_| open_client(to, bytes));
            clients.collect::<Vec<_>>()
        };
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(open_share)).collect();
        let shares = threads.into_iter().map(|thread| thread.join());
        shares.flat_map(|share| share.expect("joined")).collect()
    })
}

/// Connects and sends `bytes`, as far as the instance takes them.
fn open_client(to: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, CROWD_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(CROWD_TIMEOUT)).ok()?;
    // The instance may refuse the request or close the connection.
    let _ = stream.write_all(bytes);
    Some(stream)
}

/// Opens connections with the smallest receive buffer, sends `request` on each and reads
/// nothing.
pub(crate) async fn gather_unreading(
    to: SocketAddr,
    count: usize,
    request: &[u8],
) -> Vec<tokio::net::TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..count {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(1).expect("a small buffer");
        let connected = tokio::time::timeout(CROWD_TIMEOUT, socket.connect(to)).await;
        let Ok(Ok(stream)) = connected else { continue };
        let _ = stream.try_write(request);
        streams.push(stream);
    }
    streams
}

/// Returns a request with a body of `length` bytes, without the last byte.
pub(crate) fn short_body(head: &str, length: usize) -> Vec<u8> {
    let mut bytes = format!("{head}content-length: {length}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + length - 1, b' ');
    bytes
}

/// Returns a request with a chunked body, without its last chunk.
pub(crate) fn short_chunks(head: &str, chunk_length: usize, count: usize) -> Vec<u8> {
    let chunk = format!("{chunk_length:x}\r\n{}\r\n", " ".repeat(chunk_length));
    format!(
        "{head}transfer-encoding: chunked\r\n\r\n{}",
        chunk.repeat(count)
    )
    .into_bytes()
}

/// Returns a head of `length` bytes without its last byte.
pub(crate) fn short_head(head: &str, length: usize) -> Vec<u8> {
    let filling = "x".repeat(length - head.len() - "x: \r\n\r\n".len());
    let mut bytes = format!("{head}x: {filling}\r\n\r\n").into_bytes();
    bytes.pop();
    bytes
}
