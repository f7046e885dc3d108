//! A stand-in for a server that ends as soon as it begins certain requests, and
//! comes back some time later at the same address, as another lifetime.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use wheelmast_wire::dialect::ForwardDialect;
use wheelmast_wire::native::NativeDialect;

use crate::dialect::{announce, begin_answer};
use crate::head::read_head;

/// Time that a request takes, or that passes before the server ends under it.
const WORK_TIME: Duration = Duration::from_millis(15);
/// Connections that may wait to be taken.
const BACKLOG: u32 = 64;

/// A request that came to a server.
#[derive(Debug, Clone)]
pub struct FragileArrival {
    /// Its path.
    pub path: String,
    /// When.
    pub at: Instant,
}

/// A server that some requests end.
#[derive(Debug, Clone)]
pub struct FragileShard {
    /// Its service.
    pub service: String,
    /// Where it takes requests, in all its lifetimes.
    pub address: SocketAddr,
    domain: String,
    /// A path that has this in it ends the server.
    deadly: String,
    down: Duration,
    life: Arc<AtomicU64>,
    is_up: watch::Sender<bool>,
    /// A path that has this in it gets no answer, and its connection is closed.
    lossy: Arc<Mutex<Option<String>>>,
    arrivals: Arc<Mutex<Vec<FragileArrival>>>,
    sequence: Arc<AtomicU64>,
}

impl FragileShard {
    /// Starts a server that ends under requests whose path has `deadly` in it,
    /// and is back after `down`.
    ///
    /// # Errors
    ///
    /// Fails if there is no port.
    pub async fn start(
        service: &str,
        domain: &str,
        deadly: &str,
        down: Duration,
    ) -> std::io::Result<FragileShard> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let shard = FragileShard {
            service: service.to_string(),
            address: listener.local_addr()?,
            domain: domain.to_string(),
            deadly: deadly.to_string(),
            down,
            life: Arc::new(AtomicU64::new(1)),
            is_up: watch::Sender::new(true),
            lossy: Arc::default(),
            arrivals: Arc::default(),
            sequence: Arc::default(),
        };
        tokio::spawn(shard.clone().live(listener));
        Ok(shard)
    }

    /// Makes it lose the answers to requests whose path has `part` in it: it runs them
    /// and closes the connection.
    pub fn lose_answers(&self, part: &str) {
        if let Ok(mut lossy) = self.lossy.lock() {
            *lossy = Some(part.to_string());
        }
    }

    fn loses(&self, path: &str) -> bool {
        let lossy = self.lossy.lock();
        lossy.is_ok_and(|lossy| lossy.as_ref().is_some_and(|part| path.contains(part)))
    }

    /// Returns the requests that came to it in all its lifetimes.
    pub fn arrivals(&self) -> Vec<FragileArrival> {
        self.arrivals
            .lock()
            .map_or_else(|_| Vec::new(), |arrivals| arrivals.clone())
    }

    /// Returns how often it has ended.
    pub fn ends(&self) -> u64 {
        self.life.load(Ordering::Relaxed) - 1
    }

    /// Tells whether it serves.
    pub fn is_up(&self) -> bool {
        *self.is_up.borrow()
    }

    /// Returns the call and the body of its next announcement.
    pub fn announcement(&self) -> (String, String) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        announce(
            &self.id(),
            &self.service,
            self.address,
            &self.domain,
            false,
            sequence,
        )
    }

    fn id(&self) -> String {
        let life = self.life.load(Ordering::Relaxed);
        format!("{}-{}-{life}", self.service, self.address.port())
    }

    async fn live(self, first: TcpListener) {
        let mut listener = Some(first);
        while let Some(open) = listener.take() {
            let mut up = self.is_up.subscribe();
            loop {
                tokio::select! {
                    _ = up.wait_for(|up| !*up) => break,
                    accepted = open.accept() => if let Ok((stream, _)) = accepted {
                        tokio::spawn(self.clone().serve(stream));
                    },
                }
            }
            drop(open);
            tokio::time::sleep(self.down).await;
            self.life.fetch_add(1, Ordering::Relaxed);
            self.sequence.store(0, Ordering::Relaxed);
            listener = listen_again(self.address).ok();
            self.is_up.send_replace(true);
        }
    }

    /// Serves a connection until it closes or the server ends.
    async fn serve(self, stream: TcpStream) {
        let mut up = self.is_up.subscribe();
        tokio::select! {
            _ = up.wait_for(|up| !*up) => {}
            _ = self.answer_all(stream) => {}
        }
    }

    async fn answer_all(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut bytes).await? {
            let Some(answer) = self.answer(&head).await else {
                return Ok(());
            };
            stream.write_all(answer.as_bytes()).await?;
        }
        Ok(())
    }

    async fn answer(&self, head: &str) -> Option<String> {
        let (request, mut lines) = match begin_answer(head, &self.id()) {
            Ok(begun) => begun,
            Err(answer) => return Some(answer),
        };
        let path = head.split(' ').nth(1).unwrap_or_default().to_string();
        if let Ok(mut arrivals) = self.arrivals.lock() {
            let at = Instant::now();
            arrivals.push(FragileArrival {
                path: path.clone(),
                at,
            });
        }
        tokio::time::sleep(WORK_TIME).await;
        if path.contains(&self.deadly) {
            self.is_up.send_replace(false);
            // Its connections end now, this one too.
            std::future::pending::<()>().await;
        }
        if self.loses(&path) {
            return None;
        }
        let stamp = NativeDialect::HEADERS.stamp;
        lines.push_str(&format!("{stamp}: {}.{request}\r\n", self.id()));
        Some(format!(
            "HTTP/1.1 200 OK\r\n{lines}content-length: 16\r\n\r\nrecord of 16 b.."
        ))
    }
}

/// Listens once more at an address that was listened at a moment ago.
fn listen_again(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
