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
use crate::process::control::ReplicaDuty;
use crate::process::store::folder::{DataFolder, FolderIdentity, FOLDER_FORMAT};
use crate::process::store::replica_store::ReplicaStore;
use crate::settings::model::{ClusterSettings, KeySource};

/// Least length of a key, in bytes.
const KEY_LENGTH: usize = 16;

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
    if key.len() < KEY_LENGTH {
        bail!(
            "could not take a key of {} bytes: {KEY_LENGTH} are the least",
            key.len()
        );
    }
    Ok(key.into())
}

/// Makes the links to the other instances.
pub fn make_links(cluster: &ClusterSettings, key: &Arc<str>) -> (Vec<PeerLink>, Vec<PeerTeller>) {
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
    started: ProcessClock,
) -> anyhow::Result<Option<ReplicaDuty>> {
    let Some(path) = &cluster.data_folder else {
        return Ok(None);
    };
    let folder = DataFolder::open(path, &identity(cluster, instance))?;
    let store = ReplicaStore::open(folder)?;
    let persisted_state = store.persisted_state().clone();
    let mut members = vec![replica_id(instance)];
    let replicas = cluster.peers.iter().filter(|peer| peer.is_replica);
    members.extend(replicas.map(|peer| replica_id(&peer.name)));
    members.sort_unstable();
    let start = ReplicaStart {
        id: replica_id(instance),
        members,
        target_size: 0,
        hard_state: persisted_state.hard_state,
        snapshot: (persisted_state.snapshot_position, persisted_state.state),
        entries: persisted_state.entries,
        commit: persisted_state.commit,
        timing: ReplicaTiming::default(),
        safety_checks: SafetyChecks::default(),
        seed: rand::random(),
    };
    let now: Duration = started.elapsed();
    Ok(Some(ReplicaDuty {
        machine: ReplicaMachine::new(start, now),
        store,
    }))
}

/// Makes a new data folder, for the first start of a control group.
///
/// # Errors
///
/// Fails if the folder holds data already.
pub fn initialize(cluster: &ClusterSettings, instance: &str) -> anyhow::Result<()> {
    let Some(path) = &cluster.data_folder else {
        bail!("could not initialize: the settings name no data_folder");
    };
    DataFolder::create(path, &identity(cluster, instance))?;
    Ok(())
}

fn identity(cluster: &ClusterSettings, instance: &str) -> FolderIdentity {
    FolderIdentity {
        cluster: cluster.cluster.clone(),
        instance: instance.to_string(),
        format: FOLDER_FORMAT,
    }
}
