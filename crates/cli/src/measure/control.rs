//! Measurements of the control group: time to apply a change, failover time, claim
//! throughput and the time to open a replica. The group has seven instances in this
//! process. Five of them are replicas, each with its own data folder.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{bail, Context};
use hdrhistogram::Histogram;
use wheelmast_core::prelude::{EntrySafetyChecks, LowestCostPolicy};
use wheelmast_core::process::control::log::LogEntry;
use wheelmast_core::process::control::message::ReplicaAction;
use wheelmast_core::process::control::state::ControlCommand;
use wheelmast_node::prelude::{
    ClusterSettings, InstanceHandle, InstanceSettings, InstanceSetup, KeySource, PeerSettings,
};
use wheelmast_node::process::clock::ProcessClock;
use wheelmast_node::process::member::{initialize_data_folder, open_replica};
use wheelmast_wire::prelude::{TableChange, TableChangeResult, TableStatus};

use crate::client::{HttpClient, ServiceCall};

/// Number of instances in the group.
const INSTANCE_COUNT: usize = 7;
/// Number of instances that are replicas of the control log.
const REPLICA_COUNT: usize = 5;
/// Time limit for a change to be accepted or to reach an instance.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// First port of each instance. Every instance has its own loopback address.
const FIRST_PORT: u16 = 17_400;

/// A group of instances in this process, under measurement. Dropping the group
/// kills its instances and removes their data folders.
pub struct MeasuredGroup {
    folder: PathBuf,
    running: Vec<Option<InstanceHandle>>,
    client: HttpClient,
    version: u64,
}

impl Drop for MeasuredGroup {
    fn drop(&mut self) {
        for instance in self.running.iter_mut().filter_map(Option::take) {
            instance.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the address of an instance's listener; `port` is the offset from
/// `FIRST_PORT`.
fn address(node: usize, port: u16) -> SocketAddr {
    let ip = IpAddr::V4(Ipv4Addr::new(127, 77, 0, node as u8 + 1));
    SocketAddr::new(ip, FIRST_PORT + port)
}

/// Returns the cluster settings of an instance. Only replicas get a data folder,
/// below `folder`.
fn cluster_settings(folder: &Path, node: usize) -> ClusterSettings {
    let others = (0..INSTANCE_COUNT).filter(|other| *other != node);
    let peers = others.map(|other| PeerSettings {
        name: format!("m{other}"),
        address: address(other, 3),
        is_replica: other < REPLICA_COUNT,
    });
    ClusterSettings {
        cluster: "measured".into(),
        listen: address(node, 3),
        peers: peers.collect(),
        key: KeySource::Key("measured-group-key".into()),
        data_folder: (node < REPLICA_COUNT).then(|| folder.join(format!("data-{node}"))),
    }
}

/// Returns the settings of an instance.
fn instance_settings(folder: &Path, node: usize) -> InstanceSettings {
    InstanceSettings::builder(format!("m{node}"))
        .domain(format!("d{}", node % 3))
        .callers(address(node, 0))
        .operators(address(node, 1))
        .upstreams(address(node, 2))
        .cluster(cluster_settings(folder, node))
        .drain_notice(Duration::ZERO)
        .log_decisions(false)
        .build()
}

impl MeasuredGroup {
    /// Starts the group in a new folder below `parent`.
    ///
    /// # Errors
    ///
    /// Fails if an instance cannot be started.
    pub fn start(parent: &Path) -> anyhow::Result<MeasuredGroup> {
        let folder = parent.join(format!("wheelmast-measure-{}", std::process::id()));
        std::fs::create_dir_all(&folder)
            .with_context(|| format!("could not make {}", folder.display()))?;
        let mut group = MeasuredGroup {
            folder,
            running: (0..INSTANCE_COUNT).map(|_| None).collect(),
            client: HttpClient::default(),
            version: 0,
        };
        for node in 0..INSTANCE_COUNT {
            if node < REPLICA_COUNT {
                initialize_data_folder(
                    &cluster_settings(&group.folder, node),
                    &format!("m{node}"),
                )?;
            }
            group.start_node(node)?;
        }
        Ok(group)
    }

    /// Starts an instance; a replica reopens its data folder.
    fn start_node(&mut self, node: usize) -> anyhow::Result<()> {
        self.running[node] = Some(InstanceHandle::start(InstanceSetup {
            settings: instance_settings(&self.folder, node),
            table: None,
            policy: LowestCostPolicy::default(),
            safety_checks: EntrySafetyChecks::default(),
        })?);
        Ok(())
    }

    /// Applies a change of the service table at an instance. Retries the request
    /// until it succeeds or `STEP_TIMEOUT` has passed.
    async fn apply_change(&mut self, node: usize) -> anyhow::Result<()> {
        let change = TableChange {
            base: self.version,
            change: format!("{:016x}", rand::random::<u64>()),
            note: "measured".into(),
            csv: "service,kind,upstream,merge,hedge_quantile\n\
                  order,non-repeatable,order,single,1\n"
                .into(),
        };
        let until = Instant::now() + STEP_TIMEOUT;
        loop {
            let response = self
                .client
                .post(address(node, 1), "/v1/table", &change, None);
            if let Ok(response) = response.await {
                if response.status.is_success() {
                    return self.record_version(response.json()?);
                }
            }
            if Instant::now() > until {
                bail!("could not apply a change in {STEP_TIMEOUT:?}");
            }
        }
    }

    /// Records the table version of an accepted change.
    fn record_version(&mut self, body: TableChangeResult) -> anyhow::Result<()> {
        match body {
            TableChangeResult::Accepted { version } => {
                self.version = version;
                Ok(())
            }
            other => bail!("could not apply a change: {other:?}"),
        }
    }

    /// Waits until all running instances use the last accepted table version.
    async fn wait_until_applied_everywhere(&self) -> anyhow::Result<()> {
        let until = Instant::now() + STEP_TIMEOUT;
        for node in (0..INSTANCE_COUNT).filter(|node| self.running[*node].is_some()) {
            loop {
                let response = self.client.get(address(node, 1), "/v1/table").await?;
                let status: TableStatus = response.json()?;
                if status.version >= self.version {
                    break;
                }
                if Instant::now() > until {
                    bail!("could not see version {} at instance {node}", self.version);
                }
            }
        }
        Ok(())
    }

    /// Measures the time, in microseconds, from an operator's change at an instance
    /// without a data folder until all instances use the new table version.
    ///
    /// # Errors
    ///
    /// Fails if a change is not accepted, or does not reach all instances, within
    /// `STEP_TIMEOUT`.
    pub async fn measure_apply(&mut self, changes: u32) -> anyhow::Result<Histogram<u64>> {
        self.apply_change(INSTANCE_COUNT - 1).await?;
        let mut times = Histogram::new(3)?;
        for _ in 0..changes {
            let begin = Instant::now();
            self.apply_change(INSTANCE_COUNT - 1).await?;
            self.wait_until_applied_everywhere().await?;
            times.record(begin.elapsed().as_micros() as u64)?;
        }
        Ok(times)
    }

    /// Kills each replica in turn and measures the time, in milliseconds, until the
    /// group accepts a change again. The times are longest where the killed replica
    /// was the leader.
    ///
    /// # Errors
    ///
    /// Fails if the group accepts no change within `STEP_TIMEOUT`, for example
    /// because it elects no leader.
    pub async fn measure_failovers(&mut self) -> anyhow::Result<Vec<f64>> {
        let mut times = Vec::new();
        for node in 0..REPLICA_COUNT {
            self.apply_change(INSTANCE_COUNT - 1).await?;
            self.wait_until_applied_everywhere().await?;
            let begin = Instant::now();
            if let Some(instance) = self.running[node].take() {
                instance.kill();
            }
            self.apply_change(INSTANCE_COUNT - 1).await?;
            times.push(begin.elapsed().as_secs_f64() * 1e3);
            self.start_node(node)?;
            self.wait_until_applied_everywhere().await?;
        }
        Ok(times)
    }

    /// Measures the rate of submissions with an idempotency key, per second, with
    /// `in_flight` concurrent requests. The group has no upstream servers, so each
    /// submission claims its key, is refused and releases the claim: two commands
    /// in the control log.
    ///
    /// # Errors
    ///
    /// Fails if a task that sends the requests panics. Requests without a response
    /// are not counted.
    pub async fn measure_claims(&self, in_flight: usize, length: Duration) -> anyhow::Result<f64> {
        let until = Instant::now() + length;
        let begin = Instant::now();
        let client = Arc::new(self.client.clone());
        let mut tasks = tokio::task::JoinSet::new();
        for worker in 0..in_flight {
            let client = client.clone();
            tasks.spawn(async move {
                let mut count = 0u64;
                while Instant::now() < until {
                    let call = ServiceCall::Submit {
                        json: "{}".into(),
                        key: Some(format!("{:016x}", rand::random::<u64>())),
                    };
                    let node = worker % INSTANCE_COUNT;
                    let sent = client.call(address(node, 0), "order", &call, None);
                    count += u64::from(sent.await.is_ok());
                }
                count
            });
        }
        let mut total = 0;
        while let Some(count) = tasks.join_next().await {
            total += count?;
        }
        Ok(total as f64 / begin.elapsed().as_secs_f64())
    }
}

/// Measures the time, in milliseconds, to open the data folder of a replica that
/// stored `changes` changes. A snapshot in the folder may cover some of them.
///
/// # Errors
///
/// Fails if the folder cannot be written, or if the changes cannot be read back.
pub fn measure_replica_open(parent: &Path, changes: u64) -> anyhow::Result<f64> {
    let folder = parent.join(format!("wheelmast-start-{}-{changes}", std::process::id()));
    let cluster = ClusterSettings {
        data_folder: Some(folder.clone()),
        ..cluster_settings(&folder, 0)
    };
    initialize_data_folder(&cluster, "m0")?;
    let opened = open_replica(&cluster, "m0", ProcessClock::start())?;
    let mut replica = opened.context("could not open the folder")?;
    for index in 1..=changes {
        let entry = LogEntry {
            term: 1,
            index,
            command: ControlCommand::Change {
                change: format!("change-{index}"),
                base: index - 1,
                note: "measured".into(),
                csv: "service,kind\nsearch,query\n".into(),
            },
        };
        replica.store.persist(&ReplicaAction::PersistEntry(entry))?;
    }
    replica
        .store
        .persist(&ReplicaAction::PersistCommitIndex(changes))?;
    replica.store.sync()?;
    drop(replica);
    let begin = Instant::now();
    let opened = open_replica(&cluster, "m0", ProcessClock::start())?;
    let open_time_ms = begin.elapsed().as_secs_f64() * 1e3;
    let version = opened.map(|replica| replica.machine.state().version());
    std::fs::remove_dir_all(&folder)?;
    if version != Some(changes) {
        bail!("could not read {changes} changes back, found {version:?}");
    }
    Ok(open_time_ms)
}
