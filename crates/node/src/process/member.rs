//! Sets up the cluster membership of an instance: reads its keys, creates its
//! links to the other instances, and opens its replica of the control group.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{bail, Context};
use wheelmast_core::process::control::log::ReplicaId;
use wheelmast_core::process::control::message::ReplicaTiming;
use wheelmast_core::process::control::replica::{ReplicaMachine, ReplicaStart, SafetyChecks};
use xxhash_rust::xxh3::xxh3_64;

use crate::connection::peer::{PeerLink, PeerSendQueue};
use crate::process::clock::ProcessClock;
use crate::process::control::StoredReplica;
use crate::process::store::folder::{DataFolder, FolderIdentity, FOLDER_FORMAT};
use crate::process::store::replica_store::ReplicaStore;
use crate::settings::model::{ClusterSettings, KeySource};

/// Minimum length of a key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Returns the replica id of an instance: a hash of its name.
pub fn replica_id(instance: &str) -> ReplicaId {
    xxh3_64(instance.as_bytes())
}

/// Reads a key from the settings or from the first line of a key file.
///
/// # Errors
///
/// Fails if the file cannot be read or the key is too short.
pub fn read_key(source: &KeySource) -> anyhow::Result<Arc<str>> {
    let text = match source {
        KeySource::Key(key) => key.clone(),
        KeySource::File(path) => std::fs::read_to_string(path)
            .with_context(|| format!("could not read key file {}", path.display()))?,
    };
    let key = text.lines().next().unwrap_or_default().trim();
    if key.len() < MIN_KEY_BYTES {
        bail!(
            "key too short: got {} bytes, at least {MIN_KEY_BYTES} are required",
            key.len()
        );
    }
    Ok(key.into())
}

/// Creates the links to the other instances, and the senders that carry their
/// messages; each sender must be run as a task.
pub fn create_links(
    cluster: &ClusterSettings,
    key: &Arc<str>,
) -> (Vec<PeerLink>, Vec<PeerSendQueue>) {
    let links = cluster.peers.iter().map(|peer| {
        let replica = peer.is_replica.then(|| replica_id(&peer.name));
        PeerLink::new(&peer.name, peer.address, replica, key.clone())
    });
    links.unzip()
}

/// Opens the replica of an instance that has a data folder; returns `None` for
/// an instance without one.
///
/// # Errors
///
/// Fails if the data folder belongs to another instance or cluster, is damaged,
/// or was never initialized.
pub fn open_replica(
    cluster: &ClusterSettings,
    instance: &str,
    process_clock: ProcessClock,
) -> anyhow::Result<Option<StoredReplica>> {
    let Some(path) = &cluster.data_folder else {
        return Ok(None);
    };
    let folder = DataFolder::open(path, &folder_identity(cluster, instance))?;
    let store = ReplicaStore::open(folder)?;
    let persisted = store.persisted_state().clone();
    let mut members = vec![replica_id(instance)];
    let replicas = cluster.peers.iter().filter(|peer| peer.is_replica);
    members.extend(replicas.map(|peer| replica_id(&peer.name)));
    members.sort_unstable();
    let start = ReplicaStart {
        id: replica_id(instance),
        members,
        target_size: 0,
        hard_state: persisted.hard_state,
        snapshot: (persisted.snapshot_position, persisted.state),
        entries: persisted.entries,
        commit: persisted.commit,
        timing: ReplicaTiming::default(),
        safety_checks: SafetyChecks::default(),
        seed: rand::random(),
    };
    let now: Duration = process_clock.elapsed();
    Ok(Some(StoredReplica {
        machine: ReplicaMachine::new(start, now),
        store,
    }))
}

/// Creates the data folder of a replica, before the first start of a control
/// group.
///
/// # Errors
///
/// Fails if the settings name no data folder, or the folder already holds data.
pub fn initialize_data_folder(cluster: &ClusterSettings, instance: &str) -> anyhow::Result<()> {
    let Some(path) = &cluster.data_folder else {
        bail!("could not initialize: the settings name no data_folder");
    };
    DataFolder::create(path, &folder_identity(cluster, instance))?;
    Ok(())
}

/// Returns the identity that the data folder must have: cluster, instance and
/// format.
fn folder_identity(cluster: &ClusterSettings, instance: &str) -> FolderIdentity {
    FolderIdentity {
        cluster: cluster.cluster.clone(),
        instance: instance.to_string(),
        format: FOLDER_FORMAT,
    }
}
