//! Servers that send bytes without end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Number of bytes that a server repeats its unit to, so that each write is large.
const WRITE_BYTES: usize = 64 * 1024;

/// A place in an answer at which bytes come without end.
#[derive(Debug, Clone, Copy)]
pub struct FloodPlace {
    pub name: &'static str,
    /// What the server sends once.
    pub prefix: &'static str,
    /// What it repeats until the connection is closed.
    pub unit: &'static str,
    /// Whether it does so before it has received a request.
    pub at_accept: bool,
}

macro_rules! chunked_head {
    () => {
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    };
}

const fn place(name: &'static str, prefix: &'static str, unit: &'static str) -> FloodPlace {
    FloodPlace {
        name,
        prefix,
        unit,
        at_accept: false,
    }
}

/// The places in an answer, none of which makes it complete.
pub const FLOOD_PLACES: &[FloodPlace] = &[
    FloodPlace {
        at_accept: true,
        ..place("before the request", "", "HTTP/1.1 200 OK\r\n")
    },
    place("not HTTP", "", "\0"),
    place("empty lines before the head", "", "\r\n"),
    place("reason phrase", "HTTP/1.1 200 ", "a"),
    place("header name", "HTTP/1.1 200 OK\r\n", "a"),
    place("header value", "HTTP/1.1 200 OK\r\nx: ", "a"),
    place("headers", "HTTP/1.1 200 OK\r\n", "x: y\r\n"),
    place("interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    place(
        "interim heads with headers",
        "",
        "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n",
    ),
    place(
        "length over the limit",
        "HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551615\r\n\r\n",
        "a",
    ),
    place("body until the close", "HTTP/1.1 200 OK\r\n\r\n", "a"),
    place("digits of a chunk's size", chunked_head!(), "0"),
    place("extension of a chunk", concat!(chunked_head!(), "1;"), "x"),
    place(
        "extensions of chunks",
        chunked_head!(),
        "1;xxxxxxxx\r\na\r\n",
    ),
    place("sizes of chunks without data", chunked_head!(), "100\r\n"),
    place("small chunks", chunked_head!(), "1\r\na\r\n"),
    place(
        "greatest chunk after another one",
        concat!(chunked_head!(), "1\r\na\r\nffffffffffffffff\r\n"),
        "a",
    ),
    place(
        "greatest chunk with its line break",
        concat!(chunked_head!(), "fffffffffffffffe\r\n"),
        "a",
    ),
    place(
        "data of a chunk",
        concat!(chunked_head!(), "7fffffff\r\n"),
        "a",
    ),
    place(
        "a chunk longer than its size",
        concat!(chunked_head!(), "1\r\n"),
        "a",
    ),
    place("a trailer", concat!(chunked_head!(), "0\r\n"), "x"),
    place("trailers", concat!(chunked_head!(), "0\r\n"), "x: y\r\n"),
];

/// A server that answers each request with bytes without end.
#[derive(Debug)]
pub struct FloodServer {
    pub address: SocketAddr,
    sent: Arc<AtomicU64>,
}

impl FloodServer {
    pub fn start(place: FloodPlace) -> FloodServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let server = FloodServer {
            address: listener.local_addr().expect("an address"),
            sent: Arc::default(),
        };
        let sent = server.sent.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let sent = sent.clone();
                std::thread::spawn(move || flood(stream, place, &sent));
            }
        });
        server
    }

    /// Returns the number of bytes that it has sent.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

fn flood(mut stream: TcpStream, place: FloodPlace, sent: &AtomicU64) -> std::io::Result<()> {
    if !place.at_accept && stream.read(&mut [0; 4096])? == 0 {
        return Ok(());
    }
    stream.write_all(place.prefix.as_bytes())?;
    let units = place.unit.repeat(WRITE_BYTES.div_ceil(place.unit.len()));
    loop {
        stream.write_all(units.as_bytes())?;
        sent.fetch_add(units.len() as u64, Ordering::Relaxed);
    }
}
