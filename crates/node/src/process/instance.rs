//! An instance: starts its threads, and ends them in order.

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

use crate::process::announce::{announce_router, AnnounceState};
use crate::process::callers::{caller_router, CallerState};
use crate::process::change::ChangeDesk;
use crate::process::clock::ProcessClock;
use crate::process::control::ControlDriver;
use crate::process::duty::{join_all, start_thread, DutyStarter, ListenPlan};
use crate::process::entry::{EntryDriver, EntryMessage};
use crate::process::fence::{wall_clock_ms, FenceDesk};
use crate::process::gossip::{GossipDriver, GossipOrder, ShareCount};
use crate::process::journal::new_journal;
use crate::process::measures::MeasureBook;
use crate::process::member::{make_links, open_replica, read_key};
use crate::process::operators::{operator_router, OperatorState};
use crate::process::peers::{peer_router, PeerState};
use crate::process::ready::ReadyFlag;
use crate::process::upstreams::UpstreamDriver;
use crate::ring::{bounded_ring, RingReceiver, RingSender};
use crate::settings::model::{ClusterSettings, InstanceSettings};

/// Room of the ring into the entry thread.
const ENTRY_RING: usize = 8_192;
/// Room of the ring into the upstreams thread.
const UPSTREAM_RING: usize = 16_384;
/// Most connections of operators.
const OPERATOR_CONNECTIONS: usize = 64;
/// Room of the ring into the gossip thread.
const GOSSIP_RING: usize = 8_192;
/// Room of the ring into the control thread.
const CONTROL_RING: usize = 4_096;
/// Time the news of a leave gets to reach the other members.
const FAREWELL_TIME: Duration = Duration::from_millis(100);
/// Most connections of other instances.
const PEER_CONNECTIONS: usize = 1_024;
/// Most connections of upstream servers.
const ANNOUNCE_CONNECTIONS: usize = 4_096;

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
    pub safety_checks: EntrySafetyChecks,
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
    gossip: Option<RingSender<GossipOrder>>,
    entry: RingSender<EntryMessage>,
    ready: ReadyFlag,
    notice: Duration,
    stop_callers: watch::Sender<bool>,
    stop_others: watch::Sender<bool>,
    callers_ended: oneshot::Receiver<()>,
    left: oneshot::Receiver<()>,
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
        let (entry, entry_ring) = bounded_ring(ENTRY_RING);
        let (upstreams, upstream_ring) = bounded_ring(UPSTREAM_RING);
        let (journal, book, writer) = new_journal(settings.log.decisions);
        let (left_sender, left) = oneshot::channel();
        let (stop_callers, callers_stop) = watch::channel(false);
        let (stop_others, others_stop) = watch::channel(false);
        let ready = ReadyFlag::default();
        let (kill, killed) = watch::channel(false);
        let duties = DutyStarter { killed };

        let mut threads = vec![start_thread("journal", move || writer.run())?];
        let options = EntryOptions::builder()
            .incarnation(rand::random())
            .seed(rand::random())
            .instances(instance_count(&settings))
            .in_flight(settings.in_flight)
            .decisions_per_second(settings.decisions_per_second)
            .safety_checks(setup.safety_checks)
            .build();
        let clock = ProcessClock::start();
        let driver = EntryDriver {
            machine: EntryMachine::new(options, setup.policy),
            ring: entry_ring,
            upstreams,
            journal,
            started: clock,
            left: Some(left_sender),
            learned: ready.learned.clone(),
            outcomes: HashMap::new(),
        };
        threads.push(duties.start("entry", driver.run())?);
        let driver = UpstreamDriver {
            ring: upstream_ring,
            entry: entry.clone(),
            source: settings.source,
            clock,
        };
        threads.push(duties.start("upstreams", driver.run())?);
        if let Some(table) = setup.table {
            let message = EntryMessage::Input(EntryInput::Table(table));
            if entry.offer(message).is_err() {
                anyhow::bail!("could not hand the table to the entry thread");
            }
        }

        let started = ProcessClock::start();
        let mut desk = None;
        let mut peers = None;
        let mut gossip = None;
        if let Some(cluster) = &settings.cluster {
            let place = MemberPlace {
                cluster,
                settings: &settings,
                entry: &entry,
                stop: others_stop.clone(),
                started,
            };
            let parts = place.start(&duties, &mut threads)?;
            desk = Some(parts.desk);
            peers = Some(parts.address);
            gossip = Some(parts.gossip);
        }
        let router = caller_router(CallerState {
            entry: entry.clone(),
            ready: ready.clone(),
            fence: desk.clone().map(|desk| FenceDesk { desk }),
        });
        let listen = ListenPlan::new("callers", settings.callers, settings.connections as usize);
        let (callers, callers_ended) = listen.start(router, callers_stop, &duties, &mut threads)?;
        let listen = ListenPlan::new("announce", settings.upstreams, ANNOUNCE_CONNECTIONS);
        let router = announce_router(AnnounceState {
            entry: entry.clone(),
            gossip: gossip.clone(),
        });
        let (upstreams, _) = listen.start(router, others_stop.clone(), &duties, &mut threads)?;
        let token = settings.operator_token.as_ref().map(read_key).transpose()?;
        let router = operator_router(OperatorState {
            desk,
            gossip: gossip.clone(),
            token,
            instance: settings.instance.as_str().into(),
            domain: settings.domain.as_str().into(),
            entry: entry.clone(),
            book,
            measures: Arc::new(MeasureBook::new(&settings.instance)),
            ready: ready.clone(),
        });
        let listen = ListenPlan::new("operators", settings.operators, OPERATOR_CONNECTIONS);
        let (operators, _) = listen.start(router, others_stop, &duties, &mut threads)?;
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
            notice: settings.drain_notice,
            stop_callers,
            stop_others,
            callers_ended,
            left,
            kill,
            threads,
        })
    }

    /// Leaves gracefully: not ready, then no new connections, then to the end
    /// of the last request, then gone. Cuts off no request.
    pub async fn shut_down(self) {
        self.ready.leave();
        tracing::info!("instance: not ready, leaving in {:.1?}", self.notice);
        tokio::time::sleep(self.notice).await;
        let _ = self.stop_callers.send(true);
        // Fails only if the thread has ended already.
        let _ = self.callers_ended.await;
        self.entry.put(EntryMessage::Input(EntryInput::Leave)).await;
        let _ = self.left.await;
        if let Some(gossip) = &self.gossip {
            let leave = Box::new(GossipInput::Leave);
            gossip.put(GossipOrder::Input(leave)).await;
            tokio::time::sleep(FAREWELL_TIME).await;
        }
        let _ = self.stop_others.send(true);
        tracing::info!("instance: left");
        self.entry.put(EntryMessage::End).await;
        let threads = self.threads;
        let joined = tokio::task::spawn_blocking(move || join_all(threads)).await;
        if joined.is_err() {
            tracing::error!("instance: a thread ended badly");
        }
    }

    /// Ends all threads where they stand, as a crash would; for tests.
    pub fn kill(self) {
        let _ = self.kill.send(true);
        join_all(self.threads);
    }
}

/// Returns the number of instances that may be there at the start.
fn instance_count(settings: &InstanceSettings) -> u32 {
    let cluster = settings.cluster.as_ref();
    let known = cluster.map_or(0, |cluster| cluster.peers.len() as u32 + 1);
    known.max(settings.instances)
}

/// What an instance's part in the deployment is started with.
struct MemberPlace<'a> {
    cluster: &'a ClusterSettings,
    settings: &'a InstanceSettings,
    entry: &'a RingSender<EntryMessage>,
    stop: watch::Receiver<bool>,
    started: ProcessClock,
}

/// The parts of an instance that the others reach.
struct MemberParts {
    desk: ChangeDesk,
    gossip: RingSender<GossipOrder>,
    address: SocketAddr,
}

impl MemberPlace<'_> {
    /// Starts the control and the gossip thread, and the listener for other
    /// instances.
    fn start(
        self,
        duties: &DutyStarter,
        threads: &mut Vec<JoinHandle<()>>,
    ) -> anyhow::Result<MemberParts> {
        let key = read_key(&self.cluster.key)?;
        let (links, tellers) = make_links(self.cluster, &key);
        let replica = open_replica(self.cluster, &self.settings.instance, self.started)?;
        let (control, ring) = bounded_ring(CONTROL_RING);
        let (gossip, gossip_ring) = bounded_ring(GOSSIP_RING);
        let router = peer_router(PeerState {
            control: control.clone(),
            gossip: gossip.clone(),
            key: key.clone(),
        });
        let listen = ListenPlan::new("peers", self.cluster.listen, PEER_CONNECTIONS);
        let (address, _) = listen.start(router, self.stop.clone(), duties, threads)?;
        let driver = ControlDriver {
            replica,
            table: None,
            peers: links.clone(),
            ring,
            own: control.clone(),
            entry: self.entry.clone(),
            started: self.started,
            waiting: HashMap::new(),
            proposals: 0,
        };
        let duty = async move {
            for teller in tellers {
                tokio::spawn(teller.run());
            }
            driver.run().await;
        };
        threads.push(duties.start("control", until_stopped(duty, self.stop.clone()))?);
        let driver = self.gossip_driver(gossip_ring, address, key);
        let duty = until_stopped(driver.run(), self.stop);
        threads.push(duties.start("gossip", duty)?);
        let replicas = links.into_iter().filter(|link| link.replica.is_some());
        let desk = ChangeDesk {
            control,
            replicas: replicas.collect(),
        };
        Ok(MemberParts {
            desk,
            gossip,
            address,
        })
    }

    fn gossip_driver(
        &self,
        ring: RingReceiver<GossipOrder>,
        address: SocketAddr,
        key: Arc<str>,
    ) -> GossipDriver {
        let own = MemberState {
            name: self.settings.instance.clone(),
            address,
            domain: self.settings.domain.clone(),
            incarnation: wall_clock_ms(),
            standing: MemberLifecycle::Alive,
        };
        let seeds = self.cluster.peers.iter().map(|peer| peer.address).collect();
        GossipDriver {
            machine: GossipMachine::new(own, seeds, rand::random(), self.started.elapsed()),
            ring,
            entry: self.entry.clone(),
            key,
            started: self.started,
            links: HashMap::new(),
            shares: ShareCount::new(instance_count(self.settings)),
        }
    }
}

/// Runs a duty until its end or until the instance stops.
async fn until_stopped(duty: impl Future<Output = ()>, mut stop: watch::Receiver<bool>) {
    tokio::select! {
        () = duty => {}
        _ = stop.wait_for(|stop| *stop) => {}
    }
}
