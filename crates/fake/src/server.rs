//! One fake upstream server: its state, its listener and its connections.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use wheelmast_core::prelude::{HeldSnapshot, ServerPhase};
use wheelmast_wire::prelude::{AnnouncementBody, HeldSnapshotBody, SearchReply};

use crate::ledger::FakeLedger;
use crate::network::FakeNetwork;
use crate::search::handle;

/// Lease that a fake server asks for.
pub const FAKE_LEASE: Duration = Duration::from_millis(2500);

/// How a server behaves just now.
#[derive(Debug, Clone)]
pub struct FakeBehaviour {
    /// Factor on the time a subquery takes.
    pub slowness: f64,
    /// Refuses this part of the subqueries (0 to 1) without running them.
    pub shed: f64,
    /// Reports no load, whatever it has.
    pub lies: bool,
    /// Gives this part of the replies (0 to 1) to another attempt.
    pub crossed: f64,
    /// Answers this part (0 to 1) from another shard than was asked.
    pub wrong_shard: f64,
    /// Answers this part (0 to 1) from a snapshot it was not asked for.
    pub wrong_snapshot: f64,
    /// Breaks off this part (0 to 1) after it ran.
    pub broken: f64,
    /// Is silent to everything.
    pub frozen: bool,
    /// Has vanished: closes every connection.
    pub dead: bool,
}

impl Default for FakeBehaviour {
    fn default() -> Self {
        FakeBehaviour {
            slowness: 1.0,
            shed: 0.0,
            lies: false,
            crossed: 0.0,
            wrong_shard: 0.0,
            wrong_snapshot: 0.0,
            broken: 0.0,
            frozen: false,
            dead: false,
        }
    }
}

/// What of a server changes while it runs.
#[derive(Debug)]
pub struct FakeState {
    /// How it behaves.
    pub behaviour: FakeBehaviour,
    /// Phase it announces.
    pub phase: ServerPhase,
    /// When it announced its leave.
    pub leaving_since: Option<Instant>,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// Snapshots it holds.
    pub held: Vec<HeldSnapshot>,
    /// Its incarnation.
    pub incarnation: u64,
    /// A reply kept back, to be given to another attempt.
    pub kept: Option<SearchReply>,
}

/// What a server is made with.
#[derive(Debug, Clone)]
pub struct FakeShape {
    /// Its name.
    pub name: String,
    /// Its upstream.
    pub upstream: &'static str,
    /// Its failure domain.
    pub domain: &'static str,
    /// Its slots.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Time a new connection takes.
    pub connect_cost: Duration,
    /// Median time a subquery takes.
    pub median: Duration,
}

/// A fake upstream server.
#[derive(Debug)]
pub struct FakeServer {
    /// What it was made with.
    pub shape: FakeShape,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it did, with all the others.
    pub ledger: Arc<FakeLedger>,
    /// Cuts it takes part in.
    pub network: Arc<FakeNetwork>,
    /// Its slots.
    pub slots: Semaphore,
    /// Subqueries at work or waiting.
    pub pending: AtomicU32,
    connections: AtomicU32,
    sequence: AtomicU64,
    state: Mutex<FakeState>,
}

impl FakeServer {
    /// Starts a server on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Fails if no port can be had.
    pub async fn start(
        shape: FakeShape,
        held: Vec<HeldSnapshot>,
        ledger: Arc<FakeLedger>,
        network: Arc<FakeNetwork>,
    ) -> anyhow::Result<Arc<FakeServer>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Arc::new(FakeServer {
            address: listener.local_addr()?,
            ledger,
            network,
            slots: Semaphore::new(shape.slots as usize),
            pending: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            sequence: AtomicU64::new(0),
            state: Mutex::new(FakeState {
                behaviour: FakeBehaviour::default(),
                phase: ServerPhase::Serving,
                leaving_since: None,
                cold_until: None,
                held,
                incarnation: 1,
                kept: None,
            }),
            shape,
        });
        tokio::spawn(accept_all(server.clone(), listener));
        Ok(server)
    }

    /// Locks the state for a short time.
    pub fn state(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how the server behaves.
    pub fn behave(&self, change: impl FnOnce(&mut FakeBehaviour)) {
        change(&mut self.state().behaviour);
    }

    /// Announces that the server leaves.
    pub fn drain(&self) {
        let mut state = self.state();
        state.phase = ServerPhase::Draining;
        state.leaving_since = Some(Instant::now());
    }

    /// Starts the server anew: a new incarnation, cold for `period`.
    pub fn restart_cold(&self, period: Duration) {
        let mut state = self.state();
        state.incarnation += 1;
        state.phase = ServerPhase::Starting;
        state.leaving_since = None;
        state.cold_until = Some(Instant::now() + period);
        state.behaviour = FakeBehaviour::default();
    }

    /// Returns the next announcement, or none from a server that is gone.
    pub fn announcement(&self) -> Option<AnnouncementBody> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let pending = self.pending.load(Ordering::Relaxed) as f32;
        let mut state = self.state();
        if state.behaviour.dead || state.behaviour.frozen {
            return None;
        }
        if state
            .cold_until
            .is_some_and(|until| Instant::now() >= until)
        {
            state.cold_until = None;
            state.phase = ServerPhase::Serving;
        }
        let load = if state.behaviour.lies {
            0.0
        } else {
            pending / self.shape.slots as f32
        };
        Some(AnnouncementBody {
            server: self.shape.name.clone(),
            upstream: self.shape.upstream.to_string(),
            domain: self.shape.domain.to_string(),
            address: self.address,
            incarnation: state.incarnation,
            sequence,
            phase: state.phase.to_string(),
            held: state
                .held
                .iter()
                .map(|held| HeldSnapshotBody::from(*held))
                .collect(),
            slots: self.shape.slots,
            connections: self.shape.connections,
            load,
            lease_ms: FAKE_LEASE.as_millis() as u64,
        })
    }

    /// Tells whether the server is live to an instance at `address`.
    pub fn is_live(&self, address: IpAddr) -> bool {
        let state = self.state();
        let silent = state.behaviour.dead || state.behaviour.frozen;
        !silent && state.phase.takes_work() && !self.network.is_cut(address, self.shape.domain)
    }
}

async fn accept_all(server: Arc<FakeServer>, listener: TcpListener) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            return;
        };
        if server.state().behaviour.dead {
            continue;
        }
        tokio::spawn(admit(server.clone(), stream, peer.ip()));
    }
}

/// Serves a connection if it is within the server's limit.
async fn admit(server: Arc<FakeServer>, stream: TcpStream, peer: IpAddr) {
    let domain = server.shape.domain;
    if server.network.is_cut(peer, domain) {
        // Over a cut network the connection would not have come about.
        server.network.wait_healed(peer, domain).await;
        return;
    }
    let open = server.connections.fetch_add(1, Ordering::Relaxed);
    if open < server.shape.connections {
        serve(&server, stream, peer).await;
    } else {
        server.ledger.refused_connection();
    }
    server.connections.fetch_sub(1, Ordering::Relaxed);
}

/// Serves one connection until it ends or the server dies.
async fn serve(server: &Arc<FakeServer>, stream: TcpStream, peer: IpAddr) {
    let _ = stream.set_nodelay(true);
    tokio::time::sleep(server.shape.connect_cost).await;
    let service =
        service_fn(
            |request| async move { Ok::<_, Infallible>(handle(server, peer, request).await) },
        );
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        () = died(server) => {}
    }
}

/// Interval at which a connection looks whether its server is dead.
const DEATH_INTERVAL: Duration = Duration::from_millis(50);

async fn died(server: &FakeServer) {
    while !server.state().behaviour.dead {
        tokio::time::sleep(DEATH_INTERVAL).await;
    }
}
