//! Which members are the homes of a server.

use crate::process::rendezvous::select_highest;

/// Homes of a server.
pub const HOME_COUNT: usize = 3;

/// Returns the members that a server's renewals end at.
pub fn homes_of<'a>(server: &str, members: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    select_highest(server, HOME_COUNT, members, |member| member)
}
