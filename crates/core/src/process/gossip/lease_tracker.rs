//! Which members are the homes of a server.

use crate::process::rendezvous::highest;

/// Homes of a server.
pub const LEASE_TRACKER_COUNT: usize = 3;

/// Returns the members that a server's renewals end at.
pub fn select_lease_trackers<'a>(
    server: &str,
    members: impl Iterator<Item = &'a str>,
) -> Vec<&'a str> {
    highest(server, LEASE_TRACKER_COUNT, members, |member| member)
}
