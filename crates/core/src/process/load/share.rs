//! Fair shares of workspaces: weighted max-min fairness by water filling.
//!
//! While a service is short, the work that was served recently is the capacity. Each
//! workspace gets what it asks for, up to a level that is the same for all in proportion
//! to their weights. What small workspaces leave unused goes to larger ones.

use std::sync::Arc;

use crate::process::load::usage::UsageTotals;
use crate::version::workspace::WorkspaceRegistry;

/// Maximum number of workspaces that are limited to their share at a time.
pub const MAX_LIMITED_WORKSPACES: usize = 16;
/// Minimum fraction of a limited workspace's requests that is admitted, relative to the
/// fraction of all requests. Callers of one workspace are not to be locked out because
/// of others of the same workspace.
pub const MIN_RELATIVE_FRACTION: f64 = 0.25;
/// Work from which on a workspace is limited, as a multiple of its share. Most workspaces
/// send about one request in the time over which work is counted, so their work varies by
/// as much by chance. In a simulation at full load with usual rates, shares lowered the
/// served work from 0.926 to 0.873 at a ratio of 1, and to 0.905 at 2.
const LIMIT_RATIO: f64 = 2.0;
/// Work over the share from which on a workspace is limited in any case, as a fraction of
/// the capacity. A workspace with that much work sends too many requests to be over its
/// share by chance.
const LARGE_EXCESS: f64 = 0.05;
/// Minimum level of limited workspaces, relative to the fair level. Those that are over
/// their share and not limited take work that the limited ones go without; this bounds it.
const MIN_LEVEL_RATIO: f64 = 0.5;
/// Minimum weight of a workspace, for those whose cap is 0.
const MIN_WEIGHT: f64 = 1e-6;

/// Number of workspaces from which on they have shares.
const MIN_WORKSPACES: usize = 2;

/// Weights of the workspaces of a table.
#[derive(Debug, Clone, Copy)]
pub struct ShareWeights<'a> {
    registry: Option<&'a WorkspaceRegistry>,
}

impl<'a> ShareWeights<'a> {
    /// Returns the weights of a table's workspaces: the cap per second if all of them
    /// have one, otherwise 1.
    pub fn from_registry(registry: &'a WorkspaceRegistry) -> ShareWeights<'a> {
        ShareWeights {
            registry: registry.are_all_capped().then_some(registry),
        }
    }

    /// Returns the weights of a table's workspaces, or `None` if there are too few for
    /// shares.
    pub fn of_sharing(registry: &'a WorkspaceRegistry) -> Option<ShareWeights<'a>> {
        let has_shares = registry.rules().len() >= MIN_WORKSPACES;
        has_shares.then(|| ShareWeights::from_registry(registry))
    }

    /// Returns the weight 1 for all workspaces.
    pub fn equal() -> ShareWeights<'static> {
        ShareWeights { registry: None }
    }

    /// Returns the weight of a workspace, or `None` if the table does not name it.
    fn weight(&self, workspace: &str) -> Option<f64> {
        let Some(registry) = self.registry else {
            return Some(1.0);
        };
        let cap = registry.rule(registry.find_by_name(workspace)?).cap?;
        Some(cap.per_s.max(MIN_WEIGHT))
    }
}

/// Work that one party asks for, and its weight, which is above 0.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareDemand {
    /// Work per second.
    pub work: f64,
    /// Weight.
    pub weight: f64,
}

/// Returns the level of weighted max-min fairness: a party's share is the level times
/// its weight, or its demand if that is less. The shares add up to the capacity.
/// Returns infinity if the capacity suffices for all demands.
pub fn compute_fair_level(demands: &[ShareDemand], capacity: f64) -> f64 {
    let total: f64 = demands.iter().map(|demand| demand.work).sum();
    if capacity >= total {
        return f64::INFINITY;
    }
    let mut demands = demands.to_vec();
    demands.sort_by(|left, right| {
        let ratio = |demand: &ShareDemand| demand.work / demand.weight;
        ratio(left).total_cmp(&ratio(right))
    });
    // Added up from the last one, because weights of very different size don't subtract
    // exactly.
    let mut weights_from = vec![0.0; demands.len()];
    let mut weight_sum = 0.0;
    for (index, demand) in demands.iter().enumerate().rev() {
        weight_sum += demand.weight;
        weights_from[index] = weight_sum;
    }
    let mut capacity_left = capacity.max(0.0);
    for (demand, weight_left) in demands.iter().zip(weights_from) {
        let level = capacity_left / weight_left;
        if demand.work > level * demand.weight {
            return level;
        }
        capacity_left -= demand.work;
    }
    f64::INFINITY
}

/// A workspace over its share, with the figures of the decision.
#[derive(Debug, Clone, PartialEq)]
pub struct OverShare {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Work per second that the workspace asks for, in milliseconds of service time.
    pub work_ms: f64,
    /// Work per second that is its share.
    pub share_ms: f64,
    /// Fraction of its requests to be admitted.
    pub fraction: f64,
}

/// Returns the workspaces over their share by more than chance, those with the most work
/// over it first.
///
/// The work of workspaces that are not listed in `usage` counts as that of many small
/// workspaces, which are as far from the level as the lowest listed one.
pub fn list_over_share(usage: &UsageTotals, weights: ShareWeights<'_>) -> Vec<OverShare> {
    let listed = usage.workspaces.iter().filter(|(_, work)| *work > 0.0);
    let listed = listed.filter_map(|(workspace, work)| {
        let weight = weights.weight(workspace)?;
        Some((
            workspace,
            ShareDemand {
                work: *work,
                weight,
            },
        ))
    });
    let listed: Vec<(&Arc<str>, ShareDemand)> = listed.collect();
    let mut demands: Vec<ShareDemand> = listed.iter().map(|(_, demand)| *demand).collect();
    let listed_work: f64 = demands.iter().map(|demand| demand.work).sum();
    let unlisted_work = (usage.total_ms - listed_work).max(0.0);
    let ratios = demands.iter().map(|demand| demand.work / demand.weight);
    let lowest_ratio = ratios.fold(f64::INFINITY, f64::min);
    let unlisted = ShareDemand {
        work: unlisted_work,
        weight: unlisted_work / lowest_ratio,
    };
    if unlisted.weight > 0.0 {
        demands.push(unlisted);
    }
    if demands.len() < 2 {
        // There is nobody whom a limit would protect.
        return Vec::new();
    }
    let capacity = usage.served_ms;
    let level = compute_fair_level(&demands, capacity);
    let is_limited = |demand: &ShareDemand| {
        let share = level * demand.weight;
        let is_large = demand.work - share >= LARGE_EXCESS * capacity;
        demand.work > share && (is_large || demand.work >= LIMIT_RATIO * share)
    };
    let limited: Vec<(&Arc<str>, ShareDemand)> = listed
        .into_iter()
        .filter(|(_, demand)| is_limited(demand))
        .collect();
    // Listed ones that are not limited take what they ask for; the rest is divided again.
    let limited_demands: Vec<ShareDemand> = limited.iter().map(|(_, demand)| *demand).collect();
    let limited_work: f64 = limited_demands.iter().map(|demand| demand.work).sum();
    let unlisted_share = unlisted.work.min(level * unlisted.weight);
    let unlimited_work = listed_work - limited_work + unlisted_share;
    let level = compute_fair_level(&limited_demands, capacity - unlimited_work)
        .clamp(level * MIN_LEVEL_RATIO, level);
    let min_fraction = MIN_RELATIVE_FRACTION * usage.served_fraction();
    let over = limited.into_iter().map(|(workspace, demand)| {
        let share_ms = level * demand.weight;
        OverShare {
            workspace: workspace.clone(),
            work_ms: demand.work,
            share_ms,
            fraction: (share_ms / demand.work).max(min_fraction),
        }
    });
    let mut over: Vec<OverShare> = over.collect();
    over.sort_by(|left, right| {
        let excess = |over: &OverShare| over.work_ms - over.share_ms;
        let by_excess = excess(right).total_cmp(&excess(left));
        by_excess.then_with(|| left.workspace.cmp(&right.workspace))
    });
    over.truncate(MAX_LIMITED_WORKSPACES);
    over
}
