//! Selection of the members that track the lease of an upstream server.
//!
//! Each server has a few lease trackers, chosen by rendezvous hashing. Only they
//! receive every renewal of the server, and they report to all other members
//! when its lease expires.

use crate::process::rendezvous::select_highest;

/// Number of members that track the lease of one server.
pub const LEASE_TRACKER_COUNT: usize = 3;

/// Returns the members that track the lease of `server`.
pub fn select_lease_trackers<'a>(
    server: &str,
    members: impl Iterator<Item = &'a str>,
) -> Vec<&'a str> {
    select_highest(server, LEASE_TRACKER_COUNT, members, |member| member)
}
