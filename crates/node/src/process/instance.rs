//! Starts all threads of an instance of snapshot queries, connects them with
//! bounded rings, and shuts them down in order. An instance whose settings name
//! a cluster also starts the control and gossip threads and a listener for
//! other instances.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::{oneshot, watch};
use wheelmast_core::prelude::{
    EntryInput, EntryMachine, EntryOptions, EntrySafetyChecks, RoutePolicy, ServiceTable,
};
use wheelmast_core::process::gossip::machine::{GossipInput, GossipMachine};
use wheelmast_core::process::gossip::member::{MemberLifecycle, MemberState};

use crate::connection::client::fit_descriptors;
use crate::connection::client_memory::ClientMemory;
use crate::process::announce::{announce_router, AnnounceState, MAX_ANNOUNCEMENT_BYTES};
use crate::process::callers::{caller_router, CallerState, MAX_REQUEST_BYTES};
use crate::process::change::ControlClient;
use crate::process::clock::ProcessClock;
use crate::process::control::ControlDriver;
use crate::process::duty::{join_threads, start_thread, ListenerThread, ThreadSpawner};
use crate::process::entry::{EntryDriver, EntryMessage};
use crate::process::fence::{wall_clock_ms, FenceClient};
use crate::process::gossip::{GossipCommand, GossipDriver, LimitDivisor};
use crate::process::journal::new_journal;
use crate::process::measures::InstanceMetrics;
use crate::process::member::{create_links, open_replica, read_key};
use crate::process::operators::{operator_router, OperatorState};
use crate::process::peers::{peer_router, PeerState};
use crate::process::ready::ReadyFlag;
use crate::process::request_bounds::RequestBounds;
use crate::process::upstreams::UpstreamDriver;
use crate::ring::{bounded_ring, RingReceiver, RingSender};
use crate::settings::model::{ClusterSettings, InstanceSettings};

/// Messages that the ring to the entry thread holds.
const ENTRY_RING_LENGTH: usize = 8_192;
/// Commands that the ring to the upstreams thread holds.
const UPSTREAM_RING_LENGTH: usize = 16_384;
/// Maximum size of an operator's change of the table, in bytes.
const MAX_CHANGE_BYTES: usize = 2 * 1024 * 1024;
/// Maximum number of open connections from operators.
const MAX_OPERATOR_CONNECTIONS: usize = 64;
/// Commands that the ring to the gossip thread holds.
const GOSSIP_RING_LENGTH: usize = 8_192;
/// Messages that the ring to the control thread holds.
const CONTROL_RING_LENGTH: usize = 4_096;
/// Time that an instance waits after it announced its leave, so that the gossip
/// messages can reach the other members.
const LEAVE_SEND_TIME: Duration = Duration::from_millis(100);
/// Maximum number of open connections from other instances.
const MAX_PEER_CONNECTIONS: usize = 1_024;
/// Maximum number of open connections from upstream servers that announce themselves, for each
/// connection that callers may have.
const ANNOUNCE_CONNECTION_FACTOR: u32 = 2;
/// Part of the process's descriptors that connections of callers may take, and also those of
/// upstream servers that announce themselves.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.25;

/// The configuration that an instance is started with.
#[derive(Debug)]
pub struct InstanceSetup<P> {
    /// The settings of the instance, as read from its settings file.
    pub settings: InstanceSettings,
    /// The service table that is valid at the start; `None` if the instance
    /// receives its first table from the control group.
    pub table: Option<ServiceTable>,
    /// The policy that chooses the server for each attempt.
    pub policy: P,
    /// Safety checks of the entry machine. All are on; only tests switch some
    /// off.
    pub safety_checks: EntrySafetyChecks,
}

/// A running instance: its bound addresses, and the channels and threads needed
/// to shut it down.
#[derive(Debug)]
pub struct InstanceHandle {
    /// Bound address of the listener for callers.
    pub callers: SocketAddr,
    /// Bound address of the listener for operators.
    pub operators: SocketAddr,
    /// Bound address of the listener for announcements of upstream servers.
    pub upstreams: SocketAddr,
    /// Bound address of the listener for other instances; `None` for an
    /// instance without a cluster.
    pub peers: Option<SocketAddr>,
    gossip: Option<RingSender<GossipCommand>>,
    entry: RingSender<EntryMessage>,
    ready: ReadyFlag,
    drain_notice: Duration,
    stop_callers: watch::Sender<bool>,
    stop_others: watch::Sender<bool>,
    callers_ended: oneshot::Receiver<()>,
    /// Completes once the entry thread has ended its last request after a
    /// leave.
    entry_left: oneshot::Receiver<()>,
    kill: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
}

impl InstanceHandle {
    /// Starts an instance. Returns once all its listeners accept connections.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, a key or data folder cannot be
    /// read, or a thread cannot be started.
    pub fn start<P: RoutePolicy + Send + 'static>(
        setup: InstanceSetup<P>,
    ) -> anyhow::Result<InstanceHandle> {
        let settings = setup.settings;
        let (entry, entry_ring) = bounded_ring(ENTRY_RING_LENGTH);
        let (upstreams, upstream_ring) = bounded_ring(UPSTREAM_RING_LENGTH);
        let (journal, decisions, writer) = new_journal(settings.log.decisions);
        let (left_sender, entry_left) = oneshot::channel();
        let (stop_callers, callers_stop) = watch::channel(false);
        let (stop_others, others_stop) = watch::channel(false);
        let ready = ReadyFlag::default();
        let (kill, killed) = watch::channel(false);
        let spawner = ThreadSpawner { killed };

        let mut threads = vec![start_thread("journal", move || writer.run())?];
        let options = EntryOptions::builder()
            .incarnation(rand::random())
            .seed(rand::random())
            .instances(instance_count(&settings))
            .in_flight(settings.in_flight)
            .decisions_per_second(settings.decisions_per_second)
            .safety_checks(setup.safety_checks)
            .build();
        let entry_clock = ProcessClock::start();
        let entry_driver = EntryDriver {
            machine: EntryMachine::new(options, setup.policy),
            ring: entry_ring,
            upstreams,
            journal,
            process_clock: entry_clock,
            left_sender: Some(left_sender),
            entry_ready: ready.entry_ready.clone(),
            outcome_senders: HashMap::new(),
        };
        threads.push(spawner.start("entry", entry_driver.run())?);
        let client_memory = ClientMemory::new(settings.clients.memory_bytes());
        let upstream_driver = UpstreamDriver {
            ring: upstream_ring,
            entry: entry.clone(),
            source: settings.source,
            entry_clock,
            memory: client_memory.clone(),
        };
        threads.push(spawner.start("upstreams", upstream_driver.run())?);
        if let Some(table) = setup.table {
            let message = EntryMessage::Input(EntryInput::Table(table));
            if entry.offer(message).is_err() {
                anyhow::bail!("could not send the initial service table to the entry thread");
            }
        }

        let process_clock = ProcessClock::start();
        let mut control_client = None;
        let mut peers = None;
        let mut gossip = None;
        if let Some(cluster) = &settings.cluster {
            let cluster_start = ClusterStart {
                cluster,
                settings: &settings,
                entry: &entry,
                stop: others_stop.clone(),
                process_clock,
            };
            let cluster_parts = cluster_start.start(&spawner, &mut threads)?;
            control_client = Some(cluster_parts.control_client);
            peers = Some(cluster_parts.address);
            gossip = Some(cluster_parts.gossip);
        }
        let router = caller_router(CallerState {
            entry: entry.clone(),
            ready: ready.clone(),
            fence: control_client
                .clone()
                .map(|control_client| FenceClient { control_client }),
        });
        let bounds = |max_body_bytes| RequestBounds {
            memory: client_memory.clone(),
            max_body_bytes,
        };
        let fit = |connections| fit_descriptors(connections, CLIENT_DESCRIPTOR_FRACTION);
        let max_callers = settings.clients.connections;
        let listener = ListenerThread::new("callers", settings.callers, fit(max_callers))
            .with_bounds(bounds(MAX_REQUEST_BYTES));
        let (callers, callers_ended) =
            listener.start(router, callers_stop, &spawner, &mut threads)?;
        let max_announcers = fit(max_callers * ANNOUNCE_CONNECTION_FACTOR);
        let listener = ListenerThread::new("announce", settings.upstreams, max_announcers)
            .with_bounds(bounds(MAX_ANNOUNCEMENT_BYTES));
        let router = announce_router(AnnounceState {
            entry: entry.clone(),
            gossip: gossip.clone(),
        });
        let (upstreams, _) = listener.start(router, others_stop.clone(), &spawner, &mut threads)?;
        let token = settings.operator_token.as_ref().map(read_key).transpose()?;
        let router = operator_router(OperatorState {
            control_client,
            gossip: gossip.clone(),
            token,
            instance: settings.instance.as_str().into(),
            domain: settings.domain.as_str().into(),
            entry: entry.clone(),
            decisions,
            metrics: Arc::new(InstanceMetrics::new(&settings.instance)),
            ready: ready.clone(),
        });
        let listener =
            ListenerThread::new("operators", settings.operators, MAX_OPERATOR_CONNECTIONS)
                .with_bounds(bounds(MAX_CHANGE_BYTES));
        let (operators, _) = listener.start(router, others_stop, &spawner, &mut threads)?;
        tracing::info!(
            "instance: {} listens for callers on {callers}, operators on {operators}, \
             upstreams on {upstreams}",
            settings.instance
        );
        Ok(InstanceHandle {
            callers,
            operators,
            upstreams,
            peers,
            gossip,
            entry,
            ready,
            drain_notice: settings.drain_notice,
            stop_callers,
            stop_others,
            callers_ended,
            entry_left,
            kill,
            threads,
        })
    }

    /// Shuts the instance down gracefully, without cutting off any request.
    ///
    /// The instance first reports that it is not ready and waits for the drain
    /// notice. Then it accepts no new connections from callers, waits for its
    /// last request to end, announces its leave to the other members, and ends
    /// its threads.
    pub async fn shut_down(self) {
        self.ready.start_leaving();
        tracing::info!("instance: not ready, leaving in {:.1?}", self.drain_notice);
        tokio::time::sleep(self.drain_notice).await;
        let _ = self.stop_callers.send(true);
        // The receiver fails only if the thread has already ended.
        let _ = self.callers_ended.await;
        self.entry.put(EntryMessage::Input(EntryInput::Leave)).await;
        let _ = self.entry_left.await;
        if let Some(gossip) = &self.gossip {
            let leave = Box::new(GossipInput::Leave);
            gossip.put(GossipCommand::Input(leave)).await;
            tokio::time::sleep(LEAVE_SEND_TIME).await;
        }
        let _ = self.stop_others.send(true);
        tracing::info!("instance: left");
        self.entry.put(EntryMessage::End).await;
        let threads = self.threads;
        let joined = tokio::task::spawn_blocking(move || join_threads(threads)).await;
        if joined.is_err() {
            tracing::error!("instance: the task that waits until all threads have ended panicked");
        }
    }

    /// Ends all threads at once without draining, as a crash would. For tests.
    pub fn kill(self) {
        let _ = self.kill.send(true);
        join_threads(self.threads);
    }
}

/// Returns how many instances may be running at the start: the configured
/// count, or the number of cluster members if that is higher.
fn instance_count(settings: &InstanceSettings) -> u32 {
    let cluster = settings.cluster.as_ref();
    let known = cluster.map_or(0, |cluster| cluster.peers.len() as u32 + 1);
    known.max(settings.instances)
}

/// The inputs for starting the cluster threads of an instance: control, gossip
/// and the listener for other instances.
struct ClusterStart<'a> {
    cluster: &'a ClusterSettings,
    settings: &'a InstanceSettings,
    entry: &'a RingSender<EntryMessage>,
    stop: watch::Receiver<bool>,
    process_clock: ProcessClock,
}

/// The results of starting the cluster threads: a client of the control group,
/// the ring to the gossip thread, and the bound address of the listener for
/// other instances.
struct ClusterParts {
    control_client: ControlClient,
    gossip: RingSender<GossipCommand>,
    address: SocketAddr,
}

impl ClusterStart<'_> {
    /// Starts the control thread, the gossip thread and the listener for other
    /// instances.
    fn start(
        self,
        spawner: &ThreadSpawner,
        threads: &mut Vec<JoinHandle<()>>,
    ) -> anyhow::Result<ClusterParts> {
        let key = read_key(&self.cluster.key)?;
        let (links, tellers) = create_links(self.cluster, &key);
        let replica = open_replica(self.cluster, &self.settings.instance, self.process_clock)?;
        let (control, ring) = bounded_ring(CONTROL_RING_LENGTH);
        let (gossip, gossip_ring) = bounded_ring(GOSSIP_RING_LENGTH);
        let router = peer_router(PeerState {
            control: control.clone(),
            gossip: gossip.clone(),
            key: key.clone(),
        });
        let listener = ListenerThread::new("peers", self.cluster.listen, MAX_PEER_CONNECTIONS);
        let (address, _) = listener.start(router, self.stop.clone(), spawner, threads)?;
        let driver = ControlDriver {
            replica,
            table: None,
            peers: links.clone(),
            ring,
            self_sender: control.clone(),
            entry: self.entry.clone(),
            process_clock: self.process_clock,
            pending_proposals: HashMap::new(),
            last_proposal_tag: 0,
        };
        let task = async move {
            for teller in tellers {
                tokio::spawn(teller.run());
            }
            driver.run().await;
        };
        threads.push(spawner.start("control", until_stopped(task, self.stop.clone()))?);
        let driver = self.gossip_driver(gossip_ring, address, key);
        let task = until_stopped(driver.run(), self.stop);
        threads.push(spawner.start("gossip", task)?);
        let replicas = links.into_iter().filter(|link| link.replica.is_some());
        let control_client = ControlClient {
            control,
            replicas: replicas.collect(),
        };
        Ok(ClusterParts {
            control_client,
            gossip,
            address,
        })
    }

    /// Builds the driver of the gossip thread. The wall clock gives the
    /// incarnation of this instance, so that it is higher after each restart.
    fn gossip_driver(
        &self,
        ring: RingReceiver<GossipCommand>,
        address: SocketAddr,
        key: Arc<str>,
    ) -> GossipDriver {
        let local_member = MemberState {
            name: self.settings.instance.clone(),
            address,
            domain: self.settings.domain.clone(),
            incarnation: wall_clock_ms(),
            standing: MemberLifecycle::Alive,
        };
        let seeds = self.cluster.peers.iter().map(|peer| peer.address).collect();
        GossipDriver {
            machine: GossipMachine::new(
                local_member,
                seeds,
                rand::random(),
                self.process_clock.elapsed(),
            ),
            ring,
            entry: self.entry.clone(),
            key,
            process_clock: self.process_clock,
            links: HashMap::new(),
            limit_divisor: LimitDivisor::new(instance_count(self.settings)),
        }
    }
}

/// Runs `task` until it ends or `stop` becomes true.
async fn until_stopped(task: impl Future<Output = ()>, mut stop: watch::Receiver<bool>) {
    tokio::select! {
        () = task => {}
        _ = stop.wait_for(|stop| *stop) => {}
    }
}
