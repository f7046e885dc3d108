//! Reloads the seed addresses from the settings file while the process runs.
//!
//! The file is read again on SIGHUP, and at an interval in case it changes
//! without a signal.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};

use crate::settings::read::{read_settings_file, ParsedSettings};
use crate::settings::role::RoleSettings;

/// Interval at which the file is read without a signal.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the settings file until the process ends, and calls `on_change` with
/// the new seed addresses whenever they change.
pub async fn watch_seeds(path: PathBuf, mut on_change: impl FnMut(Vec<SocketAddr>)) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        tracing::error!("settings: could not listen for SIGHUP, changes are not detected");
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
            on_change(seeds.clone());
            last = seeds;
        }
    }
}

/// Reads the settings of an instance with a role; `None` if the file is not
/// valid.
fn read_role_file(path: &Path) -> Option<RoleSettings> {
    match read_settings_file(path) {
        Ok(Ok(ParsedSettings::Role(settings))) => Some(*settings),
        // The file may be only half written; the last valid settings stay in
        // use.
        _ => None,
    }
}
