//! Running an entry from its start to its end.

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
use crate::process::forward::callers::{accept, answer_balancer, listen};
use crate::process::forward::entry::{EntryDuty, EntryPhase};
use crate::process::forward::feed::GroupFeed;
use crate::process::reload::watch_seeds;
use crate::settings::role::RoleSettings;

/// Part of the grace time after which no new connections are taken: the
/// balancer has noticed by then.
const CLOSE_AFTER: f64 = 0.5;
/// Part of the grace time after which the process ends, whatever is at work.
const END_AFTER: f64 = 0.92;
/// Interval at which an ending entry looks whether it is idle.
const IDLE_CHECK: Duration = Duration::from_millis(50);

/// Runs an entry until it is told to end.
///
/// # Errors
///
/// Fails if a listener cannot be had.
pub fn run_entry<D: ForwardDialect>(
    settings: RoleSettings,
    path: std::path::PathBuf,
) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve::<D>(settings, path))
}

async fn serve<D: ForwardDialect>(
    settings: RoleSettings,
    path: std::path::PathBuf,
) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let callers = settings.callers.context("could not find listen.callers")?;
    let ready = settings.ready.context("could not find listen.ready")?;
    let callers = listen(callers).await?;
    let ready = listen(ready).await?;
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
        seed: rand::random(),
        ..ForwardOptions::default()
    };
    let entry = Rc::new(EntryDuty::<D>::new(options, settings.log_plain_every));
    let (close, closing) = watch::channel(false);
    let feed = Rc::new(GroupFeed::new(entry.clone(), peer));
    for seed in settings.seed_peers() {
        feed.follow(seed);
    }
    tokio::task::spawn_local(entry.clone().keep_time());
    tokio::task::spawn_local(feed.clone().tell_suspects());
    tokio::task::spawn_local(feed.clone().ask_caps());
    tokio::task::spawn_local(answer_balancer(entry.clone(), ready));
    if let Some(address) = settings.metrics {
        let measured = entry.clone();
        let render = move || measured.render_metrics();
        tokio::task::spawn_local(expose_metrics(address, render));
    }
    let accepting = tokio::task::spawn_local(accept(entry.clone(), callers, closing));
    let follower = feed.clone();
    tokio::task::spawn_local(watch_seeds(path, move |seeds| {
        for seed in seeds {
            follower.follow(seed);
        }
    }));
    terminate.recv().await;
    tracing::info!(target: "entry", "entry: leaving");
    entry.set_phase(EntryPhase::Leaving);
    feed.leave();
    tokio::time::sleep(settings.grace.mul_f64(CLOSE_AFTER)).await;
    let _ = close.send(true);
    let _ = accepting.await;
    let end = tokio::time::Instant::now() + settings.grace.mul_f64(END_AFTER - CLOSE_AFTER);
    while entry.look(|machine| machine.call_count()) > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(IDLE_CHECK).await;
    }
    // The last answers are still on their way out.
    tokio::time::sleep(IDLE_CHECK).await;
    tracing::info!(target: "entry", "entry: ended");
    Ok(())
}
