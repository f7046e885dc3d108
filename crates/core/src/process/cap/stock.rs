//! Stock of tokens at a control instance, for the entries of its failure domain.
//!
//! A request to the leader may cross regions, and most entries get too few requests
//! of a workspace to hold tokens themselves. A control instance in the same failure
//! domain therefore holds some tokens for all of them.

use std::collections::HashMap;
use std::time::Duration;

use crate::process::cap::{CapBound, TokenRequest};
use crate::version::workspace::UsageCap;

/// Time since a workspace's last token request during which its stock is
/// refilled.
const ACTIVE_PERIOD: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
struct WorkspaceStock {
    cap: UsageCap,
    tokens: u32,
    /// Number of tokens that can be granted without the leader, as of
    /// `leaderless_at`.
    leaderless: f64,
    leaderless_at: Duration,
    used_at: Option<Duration>,
}

/// Tokens held by one control instance, by workspace.
#[derive(Debug, Clone, Default)]
pub struct CapStock {
    bound: CapBound,
    workspaces: HashMap<Box<str>, WorkspaceStock>,
}

impl CapStock {
    /// Creates an empty stock, limited by `bound`.
    pub fn new(bound: CapBound) -> CapStock {
        CapStock {
            bound,
            workspaces: HashMap::new(),
        }
    }

    /// Applies the caps of a new table, and drops tokens above the new maximum stock.
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
                leaderless: known.map_or(0.0, |known| known.leaderless),
                leaderless_at: known.map_or(now, |known| known.leaderless_at),
                used_at: known.and_then(|known| known.used_at),
            };
            self.workspaces.insert(workspace, stock);
        }
    }

    /// Removes up to `waiting` tokens from the stock for waiting requests, and returns
    /// how many were removed.
    pub fn take(&mut self, workspace: &str, waiting: u32, now: Duration) -> u32 {
        let Some(stock) = self.workspaces.get_mut(workspace) else {
            return 0;
        };
        stock.used_at = Some(now);
        let taken = stock.tokens.min(waiting);
        stock.tokens -= taken;
        taken
    }

    /// Adds tokens that the leader granted in advance to the stock.
    pub fn add(&mut self, workspace: &str, tokens: u32) {
        if let Some(stock) = self.workspaces.get_mut(workspace) {
            stock.tokens += tokens;
        }
    }

    /// Returns, for each recently used workspace whose stock is not full, the request
    /// for the missing tokens.
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

    /// Grants up to `waiting` tokens while this instance cannot reach the leader, within
    /// the allowance that accrues per window.
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
        let most = self.bound.leaderless_allowance(stock.cap, instances);
        let passed = now.saturating_sub(stock.leaderless_at).as_secs_f64();
        let windows = passed / self.bound.window.as_secs_f64().max(f64::MIN_POSITIVE);
        stock.leaderless = (stock.leaderless + windows * most).min(most.max(1.0));
        stock.leaderless_at = now;
        let taken = (stock.leaderless as u32).min(waiting);
        stock.leaderless -= f64::from(taken);
        taken
    }
}
