//! Servers that end under one request, and what comes to them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wheelmast_fake::fragile::FragileShard;

use crate::harness::ask;

/// Time after the third end in which all entries in contact have heard.
pub(crate) const SPREAD_TIME: Duration = Duration::from_secs(2);
/// Sends that may still be made after that.
pub(crate) const MOST_LATE: usize = 3;

/// Announces those that are up, each to the first control instance that takes it.
pub(crate) fn announce_all(shards: &[FragileShard], control: &[SocketAddr]) {
    for shard in shards.iter().filter(|shard| shard.is_up()) {
        let (path, body) = shard.announcement();
        let _ = control.iter().find(|to| {
            let reply = ask(**to, "PUT", &path, "", &body);
            reply.is_some_and(|reply| reply.status == 200)
        });
    }
}

/// Returns when requests whose path has `part` in it came to them, in order.
pub(crate) fn arrivals_of(shards: &[FragileShard], part: &str) -> Vec<Instant> {
    let arrivals = shards.iter().flat_map(FragileShard::arrivals);
    let arrivals = arrivals.filter(|arrival| arrival.path.contains(part));
    let mut times: Vec<Instant> = arrivals.map(|arrival| arrival.at).collect();
    times.sort();
    times
}

/// Returns how many of these came later than all should know their request.
pub(crate) fn count_late(times: &[Instant]) -> usize {
    let known = times.get(2).map(|third| *third + SPREAD_TIME);
    let late = times
        .iter()
        .filter(|at| known.is_some_and(|known| **at > known));
    late.count()
}
