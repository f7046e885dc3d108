//! Entry point of a control instance: opens the store, starts all tasks, and shuts down
//! on SIGTERM.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;
use wheelmast_core::process::cap::stock::CapStock;
use wheelmast_core::process::control::message::ReplicaInput;
use wheelmast_core::process::control::state::MemberRecord;
use wheelmast_wire::dialect::ForwardDialect;

use crate::process::clock::ProcessClock;
use crate::process::expose::expose_metrics;
use crate::process::forward::callers::bind_listener;
use crate::process::group::answer::serve_calls;
use crate::process::group::disk::start_disk;
use crate::process::group::inbound::accept_peers;
use crate::process::group::measure::render_metrics;
use crate::process::group::node::GroupNode;
use crate::process::group::replica::create_replica;
use crate::process::group::state::GroupState;
use crate::process::reload::watch_seeds;
use crate::process::store::folder::DataFolder;
use crate::process::store::remembered::RememberedFile;
use crate::process::store::replica_store::ReplicaStore;
use crate::settings::role::RoleSettings;

/// Wait before the instance with the lowest seed address bootstraps a new group. If a
/// group existed already, it would have made contact within this time.
const BOOTSTRAP_DELAY: Duration = Duration::from_millis(400);
/// Time for running tasks to finish after the signal to end, in which leadership is
/// also transferred.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(600);

/// Runs a control instance until the process receives SIGTERM.
///
/// # Errors
///
/// Fails if an address cannot be bound or the data folder cannot be used.
pub fn run_control<D: ForwardDialect>(settings: RoleSettings, path: PathBuf) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve::<D>(settings, path))
}

async fn serve<D: ForwardDialect>(settings: RoleSettings, path: PathBuf) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let clock = ProcessClock::start();
    let data = settings
        .data_folder
        .clone()
        .context("could not find data_folder")?;
    let (folder, id, is_new) = DataFolder::open_or_create(&data, &settings.instance)?;
    let store = ReplicaStore::open(folder)?;
    let servers = store.folder().remembered(RememberedFile::Servers);
    let servers = servers.unwrap_or_else(|error| {
        tracing::warn!(target: "group", "disk: known servers could not be restored, {error:#}");
        Vec::new()
    });
    let departures = store.folder().remembered(RememberedFile::Departures);
    let departures = departures.unwrap_or_else(|error| {
        tracing::warn!(target: "group", "disk: departures could not be restored, {error:#}");
        Vec::new()
    });
    let suspects = store.folder().remembered(RememberedFile::Suspects);
    let suspects = suspects.unwrap_or_else(|error| {
        tracing::warn!(target: "group", "disk: suspects could not be restored, {error:#}");
        Vec::new()
    });
    let local_member = MemberRecord {
        id,
        instance: settings.instance.as_str().into(),
        address: settings.peer_address(),
    };
    tracing::info!(target: "group", replica = id, is_new, address = %local_member.address, "replica: opened");
    let kept_state = store.persisted_state().clone();
    let replica = create_replica(id, kept_state, settings.tolerate, clock.elapsed());
    let disk_handle = start_disk(store, data, &settings.instance)?;
    let state = GroupState {
        replica: Some(replica),
        cap_stock: CapStock::new(settings.caps),
        ..GroupState::default()
    };
    let control = settings.control.context("could not find listen.control")?;
    let call_listener = bind_listener(control).await?;
    let peer_listener = bind_listener(settings.peer_address()).await?;
    let seeds = settings.seed_peer_addresses();
    let should_bootstrap =
        settings.first_start && seeds.iter().min() == Some(&local_member.address);
    let node = Rc::new(GroupNode::new(
        settings,
        local_member,
        state,
        disk_handle.writes,
        clock,
        D::read_table,
    ));
    node.restore_servers(servers);
    node.restore_departures(departures);
    node.restore_suspects(suspects);
    node.publish();
    node.set_seeds(seeds);
    tokio::task::spawn_local(node.clone().handle_disk_events(disk_handle.events));
    tokio::task::spawn_local(node.clone().run_timers());
    tokio::task::spawn_local(node.clone().run_housekeeping());
    tokio::task::spawn_local(node.clone().watch_loop_delay());
    tokio::task::spawn_local(node.clone().persist_suspects());
    tokio::task::spawn_local(node.clone().send_suspects());
    tokio::task::spawn_local(node.clone().persist_departures());
    tokio::task::spawn_local(node.clone().refill_cap_stock());
    tokio::task::spawn_local(node.clone().run_rollouts());
    tokio::task::spawn_local(accept_peers(node.clone(), peer_listener));
    tokio::task::spawn_local(serve_calls::<D>(node.clone(), call_listener));
    let seeds_node = node.clone();
    tokio::task::spawn_local(watch_seeds(path, move |seeds| seeds_node.set_seeds(seeds)));
    if let Some(address) = node.settings.metrics {
        let metrics_node = node.clone();
        let render = move || render_metrics(&metrics_node);
        let memory = node.client_memory.clone();
        tokio::task::spawn_local(expose_metrics(address, memory, render));
    }
    if should_bootstrap {
        let bootstrap_node = node.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(BOOTSTRAP_DELAY).await;
            let local_member = bootstrap_node.local_member.clone();
            bootstrap_node.step_replica(ReplicaInput::Bootstrap(local_member));
        });
    }
    terminate.recv().await;
    tracing::info!(target: "group", "control: leaving");
    node.step_replica(ReplicaInput::TransferLeadership);
    tokio::time::sleep(SHUTDOWN_GRACE).await;
    tracing::info!(target: "group", "control: ended");
    Ok(())
}
