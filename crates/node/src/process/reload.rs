//! Settings that change while the process runs.
//!
//! SIGHUP says that they did; they may also change without any signal, and the
//! file is read again now and then.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};

use crate::settings::read::{read_settings_file, ParsedSettings};
use crate::settings::role::RoleSettings;

/// Interval at which the file is read without a signal.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Hands over the seeds whenever the settings name others, until the process
/// ends.
pub async fn watch_seeds(path: PathBuf, mut take: impl FnMut(Vec<SocketAddr>)) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        tracing::error!("settings: no signal to be had, changes are not seen");
        return;
    };
    let mut last = Vec::new();
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(READ_INTERVAL) => {}
        }
        let Some(settings) = read_role_file(&path) else {
            continue;
        };
        let seeds = settings.seed_peer_addresses();
        if seeds != last {
            tracing::info!(?seeds, "settings: read");
            take(seeds.clone());
            last = seeds;
        }
    }
}

fn read_role_file(path: &Path) -> Option<RoleSettings> {
    match read_settings_file(path) {
        Ok(Ok(ParsedSettings::Role(settings))) => Some(*settings),
        // It may be half written; what was read last holds.
        _ => None,
    }
}
