//! Tokens at a control instance, near the entries that need them.
//!
//! The way to the leader may cross regions, and most entries see a workspace
//! too seldom to hold tokens of their own. An instance of their failure domain
//! holds some for all of them.

use std::collections::HashMap;
use std::time::Duration;

use crate::process::cap::{CapBound, TokenRequest};
use crate::version::workspace::UsageCap;

/// Time after its last request in which a workspace is kept in stock.
const ACTIVE_PERIOD: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct WorkspaceStock {
    cap: UsageCap,
    tokens: u32,
    /// What may be given out without the leader, grown up to `floor_at`.
    floor: f64,
    floor_at: Duration,
    used_at: Option<Duration>,
}

/// The tokens that one control instance holds.
#[derive(Debug, Clone, Default)]
pub struct CapStock {
    bound: CapBound,
    workspaces: HashMap<Box<str>, WorkspaceStock>,
}

impl CapStock {
    /// Returns an empty stock under a bound.
    pub fn new(bound: CapBound) -> CapStock {
        CapStock {
            bound,
            workspaces: HashMap::new(),
        }
    }

    /// Takes over the caps of a table; tokens above the new bound are dropped.
    pub fn set_caps(
        &mut self,
        caps: impl IntoIterator<Item = (Box<str>, UsageCap)>,
        instances: u32,
        now: Duration,
    ) {
        let mut former = std::mem::take(&mut self.workspaces);
        for (workspace, cap) in caps {
            let known = former.remove(&workspace);
            let most = self.bound.max_stock(cap, instances);
            let stock = WorkspaceStock {
                cap,
                tokens: known.map_or(0, |known| known.tokens.min(most)),
                floor: known.map_or(0.0, |known| known.floor),
                floor_at: known.map_or(now, |known| known.floor_at),
                used_at: known.and_then(|known| known.used_at),
            };
            self.workspaces.insert(workspace, stock);
        }
    }

    /// Takes tokens for requests that wait; returns how many there were.
    pub fn take(&mut self, workspace: &str, waiting: u32, now: Duration) -> u32 {
        let Some(stock) = self.workspaces.get_mut(workspace) else {
            return 0;
        };
        stock.used_at = Some(now);
        let taken = stock.tokens.min(waiting);
        stock.tokens -= taken;
        taken
    }

    /// Adds tokens that the leader granted in advance.
    pub fn add(&mut self, workspace: &str, tokens: u32) {
        if let Some(stock) = self.workspaces.get_mut(workspace) {
            stock.tokens += tokens;
        }
    }

    /// Returns what is lacking of each workspace that is asked for.
    pub fn shortages(&self, instances: u32, now: Duration) -> Vec<TokenRequest> {
        let active = self.workspaces.iter().filter(|(_, stock)| {
            let used_at = stock.used_at;
            used_at.is_some_and(|used_at| now < used_at + ACTIVE_PERIOD)
        });
        let shortages = active.filter_map(|(workspace, stock)| {
            let most = self.bound.max_stock(stock.cap, instances);
            let ahead = most.saturating_sub(stock.tokens);
            (ahead > 0).then(|| TokenRequest {
                workspace: workspace.clone(),
                waiting: 0,
                ahead,
            })
        });
        shortages.collect()
    }

    /// Takes tokens that this instance may give out while it can't reach the
    /// leader.
    pub fn take_leaderless(
        &mut self,
        workspace: &str,
        waiting: u32,
        instances: u32,
        now: Duration,
    ) -> u32 {
        let Some(stock) = self.workspaces.get_mut(workspace) else {
            return 0;
        };
        let most = self.bound.floor(stock.cap, instances);
        let passed = now.saturating_sub(stock.floor_at).as_secs_f64();
        let windows = passed / self.bound.window.as_secs_f64().max(f64::MIN_POSITIVE);
        stock.floor = (stock.floor + windows * most).min(most.max(1.0));
        stock.floor_at = now;
        let taken = (stock.floor as u32).min(waiting);
        stock.floor -= f64::from(taken);
        taken
    }
}
