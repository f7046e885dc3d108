//! Start, main tasks and graceful shutdown of an entry process.

use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;
use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_wire::dialect::ForwardDialect;

use crate::process::expose::expose_metrics;
use crate::process::forward::callers::{accept_callers, bind_listener, serve_health_checks};
use crate::process::forward::entry::{EntryPhase, ForwardDriver};
use crate::process::forward::feed::GroupFeed;
use crate::process::reload::watch_seeds;
use crate::settings::role::RoleSettings;

/// Fraction of the grace period after which the entry accepts no new connections.
/// The load balancer has noticed by then that the entry is no longer ready.
const STOP_ACCEPTING_FRACTION: f64 = 0.5;
/// Fraction of the grace period after which the process exits, even if requests
/// are still in flight.
const EXIT_FRACTION: f64 = 0.92;
/// Interval at which an entry that shuts down checks whether requests are in flight.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an entry until it receives SIGTERM, then shuts it down gracefully.
///
/// # Errors
///
/// Fails if a listen address is missing from the settings or cannot be bound.
pub fn run_entry<D: ForwardDialect>(
    settings: RoleSettings,
    path: std::path::PathBuf,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run_driver::<D>(settings, path))
}

async fn run_driver<D: ForwardDialect>(
    settings: RoleSettings,
    path: std::path::PathBuf,
) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let callers_address = settings.callers.context("could not find listen.callers")?;
    let ready_address = settings.ready.context("could not find listen.ready")?;
    let callers = bind_listener(callers_address).await?;
    let ready = bind_listener(ready_address).await?;
    let peer = EntryPeer {
        instance: settings.instance.as_str().into(),
        incarnation: rand::random(),
        domain: settings.domain.as_str().into(),
        address: callers.local_addr()?,
    };
    let options = ForwardOptions {
        domain: settings.domain.as_str().into(),
        regions: settings.regions.clone(),
        local_id: peer.id(),
        extra: settings.extra.with_reserve(),
        cold: settings.cold,
        canary_bound: settings.canary,
        slowness: settings.slowness,
        stalls: settings.stalls,
        rank_admission: settings.rank_admission,
        connection_subsets: settings.connection_subsets,
        seed: rand::random(),
        ..ForwardOptions::default()
    };
    let driver = ForwardDriver::<D>::new(options, settings.log_plain_every);
    let entry = Rc::new(driver.with_client_limits(settings.clients));
    let (close_sender, closing) = watch::channel(false);
    let feed = Rc::new(GroupFeed::new(entry.clone(), peer));
    for seed in settings.seed_peer_addresses() {
        feed.add_control_instance(seed);
    }
    tokio::task::spawn_local(entry.clone().run_timers());
    tokio::task::spawn_local(feed.clone().publish_suspects());
    tokio::task::spawn_local(feed.clone().forward_cap_requests());
    tokio::task::spawn_local(feed.clone().publish_load());
    tokio::task::spawn_local(serve_health_checks(entry.clone(), ready));
    if let Some(address) = settings.metrics {
        let driver = entry.clone();
        let render = move || driver.render_metrics();
        let memory = entry.callers.memory.clone();
        tokio::task::spawn_local(expose_metrics(address, memory, render));
    }
    let accepting = tokio::task::spawn_local(accept_callers(entry.clone(), callers, closing));
    let seed_feed = feed.clone();
    tokio::task::spawn_local(watch_seeds(path, move |seeds| {
        for seed in seeds {
            seed_feed.add_control_instance(seed);
        }
    }));
    terminate.recv().await;
    tracing::info!(target: "entry", "entry: leaving");
    entry.set_phase(EntryPhase::Leaving);
    feed.announce_leaving();
    tokio::time::sleep(settings.grace.mul_f64(STOP_ACCEPTING_FRACTION)).await;
    let _ = close_sender.send(true);
    let _ = accepting.await;
    let deadline = tokio::time::Instant::now()
        + settings
            .grace
            .mul_f64(EXIT_FRACTION - STOP_ACCEPTING_FRACTION);
    while entry.with_machine(|machine| machine.call_count()) > 0
        && tokio::time::Instant::now() < deadline
    {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
    // Leaves time for the last answers to be written to their connections.
    tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
    tracing::info!(target: "entry", "entry: ended");
    Ok(())
}
