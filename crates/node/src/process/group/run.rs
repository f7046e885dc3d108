//! Running a control instance from its start to its end.

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
use crate::process::forward::callers::listen;
use crate::process::group::answer::accept_calls;
use crate::process::group::disk::start_disk;
use crate::process::group::inbound::accept_peers;
use crate::process::group::measure::render_group;
use crate::process::group::node::GroupNode;
use crate::process::group::replica::make_replica;
use crate::process::group::state::GroupState;
use crate::process::reload::watch_seeds;
use crate::process::store::folder::DataFolder;
use crate::process::store::remembered::RememberedFile;
use crate::process::store::replica_store::ReplicaStore;
use crate::settings::role::RoleSettings;

/// Time in which a group that exists already would have been heard of.
const FOUND_AFTER: Duration = Duration::from_millis(400);
/// Time for what is at work when the instance ends.
const END_TIME: Duration = Duration::from_millis(600);

/// Runs a control instance until it is told to end.
///
/// # Errors
///
/// Fails if a listener cannot be had or the data folder cannot be used.
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
        tracing::warn!(target: "group", "disk: servers not remembered, {error:#}");
        Vec::new()
    });
    let suspects = store.folder().remembered(RememberedFile::Suspects);
    let suspects = suspects.unwrap_or_else(|error| {
        tracing::warn!(target: "group", "disk: suspects not remembered, {error:#}");
        Vec::new()
    });
    let me = MemberRecord {
        id,
        instance: settings.instance.as_str().into(),
        address: settings.peer_address(),
    };
    tracing::info!(target: "group", replica = id, is_new, address = %me.address, "replica: opened");
    let persisted_state = store.persisted_state().clone();
    let replica = make_replica(id, persisted_state, settings.tolerate, clock.elapsed());
    let line = start_disk(store, data, &settings.instance)?;
    let state = GroupState {
        replica: Some(replica),
        cap_stock: CapStock::new(settings.caps),
        ..GroupState::default()
    };
    let control = settings.control.context("could not find listen.control")?;
    let calls = listen(control).await?;
    let peers = listen(settings.peer_address()).await?;
    let seeds = settings.seed_peer_addresses();
    let founds = settings.first_start && seeds.iter().min() == Some(&me.address);
    let node = Rc::new(GroupNode::new(
        settings,
        me,
        state,
        line.orders,
        clock,
        D::read_table,
    ));
    node.remember(servers);
    node.remember_suspects(suspects);
    node.publish();
    node.set_seeds(seeds);
    tokio::task::spawn_local(node.clone().take_notes(line.notes));
    tokio::task::spawn_local(node.clone().keep_time());
    tokio::task::spawn_local(node.clone().keep_house());
    tokio::task::spawn_local(node.clone().keep_suspects());
    tokio::task::spawn_local(node.clone().tell_suspects());
    tokio::task::spawn_local(node.clone().keep_caps());
    tokio::task::spawn_local(node.clone().keep_rollouts());
    tokio::task::spawn_local(accept_peers(node.clone(), peers));
    tokio::task::spawn_local(accept_calls::<D>(node.clone(), calls));
    let seeded = node.clone();
    tokio::task::spawn_local(watch_seeds(path, move |seeds| seeded.set_seeds(seeds)));
    if let Some(address) = node.settings.metrics {
        let measured = node.clone();
        let render = move || render_group(&measured);
        tokio::task::spawn_local(expose_metrics(address, render));
    }
    if founds {
        let founder = node.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(FOUND_AFTER).await;
            let me = founder.me.clone();
            founder.step_replica(ReplicaInput::Bootstrap(me));
        });
    }
    terminate.recv().await;
    tracing::info!(target: "group", "control: leaving");
    node.step_replica(ReplicaInput::TransferLeadership);
    tokio::time::sleep(END_TIME).await;
    tracing::info!(target: "group", "control: ended");
    Ok(())
}
