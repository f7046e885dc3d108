//! Helpers for tests with servers that crash under one particular request: they
//! announce such servers and count the requests that reached them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wheelmast_fake::fragile::FragileShard;

use crate::harness::send_request;

/// Time after the third crash within which every connected entry knows that the
/// request crashes servers.
pub(crate) const DISSEMINATION_TIME: Duration = Duration::from_secs(2);
/// Most arrivals of the request at servers after [`DISSEMINATION_TIME`] has passed.
pub(crate) const MAX_LATE_ARRIVALS: usize = 3;

/// Announces each running server to the first control instance that accepts the
/// announcement.
pub(crate) fn announce_running_shards(shards: &[FragileShard], control: &[SocketAddr]) {
    for shard in shards.iter().filter(|shard| shard.is_up()) {
        let (path, body) = shard.announcement();
        let _ = control.iter().find(|to| {
            let reply = send_request(**to, "PUT", &path, "", &body);
            reply.is_some_and(|reply| reply.status == 200)
        });
    }
}

/// Returns the times at which requests whose path contains `path_part` reached the
/// servers, in ascending order.
pub(crate) fn arrival_times(shards: &[FragileShard], path_part: &str) -> Vec<Instant> {
    let arrivals = shards.iter().flat_map(FragileShard::arrivals);
    let arrivals = arrivals.filter(|arrival| arrival.path.contains(path_part));
    let mut times: Vec<Instant> = arrivals.map(|arrival| arrival.at).collect();
    times.sort();
    times
}

/// Counts the arrivals later than [`DISSEMINATION_TIME`] after the third arrival.
pub(crate) fn count_late_arrivals(times: &[Instant]) -> usize {
    let known_at = times.get(2).map(|third| *third + DISSEMINATION_TIME);
    let late = times
        .iter()
        .filter(|at| known_at.is_some_and(|known_at| **at > known_at));
    late.count()
}
