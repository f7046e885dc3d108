//! An instance: starts its threads, and ends them in order.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::{oneshot, watch};
use wheelmast_core::prelude::{
    EntryInput, EntryMachine, EntryOptions, GuardSet, RoutePolicy, ServiceTable,
};
use wheelmast_core::process::gossip::machine::{GossipInput, GossipMachine};
use wheelmast_core::process::gossip::member::{MemberNews, MemberStanding};

use crate::process::announce::{announce_router, AnnounceState};
use crate::process::callers::{caller_router, CallerState};
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
use crate::process::upstreams::UpstreamDriver;
use crate::ring::{bounded_ring, RingReceiver, RingSender};
use crate::settings::model::{ClusterSettings, InstanceSettings};

/// Room of the ring into the entry thread.
const ENTRY_RING_LENGTH: usize = 8_192;
/// Room of the ring into the upstreams thread.
const UPSTREAM_RING_LENGTH: usize = 16_384;
/// Most connections of operators.
const MAX_OPERATOR_CONNECTIONS: usize = 64;
/// Room of the ring into the gossip thread.
const GOSSIP_RING_LENGTH: usize = 8_192;
/// Room of the ring into the control thread.
const CONTROL_RING_LENGTH: usize = 4_096;
/// Time the news of a leave gets to reach the other members.
const LEAVE_SEND_TIME: Duration = Duration::from_millis(100);
/// Most connections of other instances.
const MAX_PEER_CONNECTIONS: usize = 1_024;
/// Most connections of upstream servers.
const MAX_ANNOUNCE_CONNECTIONS: usize = 4_096;

/// What an instance is started with.
#[derive(Debug)]
pub struct InstanceSetup<P> {
    /// Its settings.
    pub settings: InstanceSettings,
    /// The table in force at its start.
    pub table: Option<ServiceTable>,
    /// How it chooses servers.
    pub policy: P,
    /// The guards; all on but in tests.
    pub guards: GuardSet,
}

/// A running instance.
#[derive(Debug)]
pub struct InstanceHandle {
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    /// Where upstream servers announce themselves.
    pub upstreams: SocketAddr,
    /// Where other instances reach it, if it is not alone.
    pub peers: Option<SocketAddr>,
    gossip: Option<RingSender<GossipCommand>>,
    entry: RingSender<EntryMessage>,
    ready: ReadyFlag,
    drain_notice: Duration,
    stop_callers: watch::Sender<bool>,
    stop_others: watch::Sender<bool>,
    callers_ended: oneshot::Receiver<()>,
    entry_left: oneshot::Receiver<()>,
    kill: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
}

impl InstanceHandle {
    /// Starts an instance and returns once it listens.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be had or a thread cannot be started.
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
            .guards(setup.guards)
            .build();
        let clock = ProcessClock::start();
        let entry_driver = EntryDriver {
            machine: EntryMachine::new(options, setup.policy),
            ring: entry_ring,
            upstreams,
            journal,
            process_clock: clock,
            left_sender: Some(left_sender),
            entry_ready: ready.entry_ready.clone(),
            outcome_senders: HashMap::new(),
        };
        threads.push(spawner.start("entry", entry_driver.run())?);
        let upstream_driver = UpstreamDriver {
            ring: upstream_ring,
            entry: entry.clone(),
            source: settings.source,
            clock,
        };
        threads.push(spawner.start("upstreams", upstream_driver.run())?);
        if let Some(table) = setup.table {
            let message = EntryMessage::Input(EntryInput::Table(table));
            if entry.offer(message).is_err() {
                anyhow::bail!("could not hand the table to the entry thread");
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
        let listen =
            ListenerThread::new("callers", settings.callers, settings.connections as usize);
        let (callers, callers_ended) =
            listen.start(router, callers_stop, &spawner, &mut threads)?;
        let listen = ListenerThread::new("announce", settings.upstreams, MAX_ANNOUNCE_CONNECTIONS);
        let router = announce_router(AnnounceState {
            entry: entry.clone(),
            gossip: gossip.clone(),
        });
        let (upstreams, _) = listen.start(router, others_stop.clone(), &spawner, &mut threads)?;
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
        let listen = ListenerThread::new("operators", settings.operators, MAX_OPERATOR_CONNECTIONS);
        let (operators, _) = listen.start(router, others_stop, &spawner, &mut threads)?;
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

    /// Leaves gracefully: not ready, then no new connections, then to the end
    /// of the last request, then gone. Cuts off no request.
    pub async fn shut_down(self) {
        self.ready.start_leaving();
        tracing::info!("instance: not ready, leaving in {:.1?}", self.drain_notice);
        tokio::time::sleep(self.drain_notice).await;
        let _ = self.stop_callers.send(true);
        // Fails only if the thread has ended already.
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
            tracing::error!("instance: a thread ended badly");
        }
    }

    /// Ends all threads where they stand, as a crash would; for tests.
    pub fn kill(self) {
        let _ = self.kill.send(true);
        join_threads(self.threads);
    }
}

/// Returns the number of instances that may be there at the start.
fn instance_count(settings: &InstanceSettings) -> u32 {
    let cluster = settings.cluster.as_ref();
    let known = cluster.map_or(0, |cluster| cluster.peers.len() as u32 + 1);
    known.max(settings.instances)
}

/// What an instance's part in the deployment is started with.
struct ClusterStart<'a> {
    cluster: &'a ClusterSettings,
    settings: &'a InstanceSettings,
    entry: &'a RingSender<EntryMessage>,
    stop: watch::Receiver<bool>,
    process_clock: ProcessClock,
}

/// The parts of an instance that the others reach.
struct ClusterParts {
    control_client: ControlClient,
    gossip: RingSender<GossipCommand>,
    address: SocketAddr,
}

impl ClusterStart<'_> {
    /// Starts the control and the gossip thread, and the listener for other
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
        let listen = ListenerThread::new("peers", self.cluster.listen, MAX_PEER_CONNECTIONS);
        let (address, _) = listen.start(router, self.stop.clone(), spawner, threads)?;
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

    fn gossip_driver(
        &self,
        ring: RingReceiver<GossipCommand>,
        address: SocketAddr,
        key: Arc<str>,
    ) -> GossipDriver {
        let local_member = MemberNews {
            name: self.settings.instance.clone(),
            address,
            domain: self.settings.domain.clone(),
            incarnation: wall_clock_ms(),
            standing: MemberStanding::Alive,
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

/// Runs a duty until its end or until the instance stops.
async fn until_stopped(task: impl Future<Output = ()>, mut stop: watch::Receiver<bool>) {
    tokio::select! {
        () = task => {}
        _ = stop.wait_for(|stop| *stop) => {}
    }
}
