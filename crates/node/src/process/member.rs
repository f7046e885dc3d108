//! Setting up an instance's part in the deployment: its keys, its links to
//! the other instances, its replica.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{bail, Context};
use wheelmast_core::process::control::log::ReplicaId;
use wheelmast_core::process::control::message::ReplicaTiming;
use wheelmast_core::process::control::replica::{ReplicaMachine, ReplicaStart, SafetyChecks};
use xxhash_rust::xxh3::xxh3_64;

use crate::connection::peer::{PeerLink, PeerTeller};
use crate::process::clock::ProcessClock;
use crate::process::control::StoredReplica;
use crate::process::store::folder::{DataFolder, FolderIdentity, FOLDER_FORMAT};
use crate::process::store::replica_store::ReplicaStore;
use crate::settings::model::{ClusterSettings, KeySource};

/// Least length of a key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Returns the identity of the replica at an instance.
pub fn replica_id(instance: &str) -> ReplicaId {
    xxh3_64(instance.as_bytes())
}

/// Reads a key.
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
            "could not take a key of {} bytes: {MIN_KEY_BYTES} are the least",
            key.len()
        );
    }
    Ok(key.into())
}

/// Makes the links to the other instances.
pub fn create_links(cluster: &ClusterSettings, key: &Arc<str>) -> (Vec<PeerLink>, Vec<PeerTeller>) {
    let links = cluster.peers.iter().map(|peer| {
        let replica = peer.is_replica.then(|| replica_id(&peer.name));
        PeerLink::new(&peer.name, peer.address, replica, key.clone())
    });
    links.unzip()
}

/// Opens the replica of an instance that has a data folder.
///
/// # Errors
///
/// Fails if the folder is not this instance's, is damaged, or is empty.
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
    let persisted = store.kept().clone();
    let mut members = vec![replica_id(instance)];
    let replicas = cluster.peers.iter().filter(|peer| peer.is_replica);
    members.extend(replicas.map(|peer| replica_id(&peer.name)));
    members.sort_unstable();
    let start = ReplicaStart {
        id: replica_id(instance),
        members,
        target_size: 0,
        hard_state: persisted.hard_state,
        snapshot: (persisted.place, persisted.state),
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

/// Makes a new data folder, for the first start of a control group.
///
/// # Errors
///
/// Fails if the folder holds data already.
pub fn initialize_data_folder(cluster: &ClusterSettings, instance: &str) -> anyhow::Result<()> {
    let Some(path) = &cluster.data_folder else {
        bail!("could not initialize: the settings name no data_folder");
    };
    DataFolder::create(path, &folder_identity(cluster, instance))?;
    Ok(())
}

fn folder_identity(cluster: &ClusterSettings, instance: &str) -> FolderIdentity {
    FolderIdentity {
        cluster: cluster.cluster.clone(),
        instance: instance.to_string(),
        format: FOLDER_FORMAT,
    }
}
