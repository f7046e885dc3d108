//! Rendezvous hashing: which of several members a key falls to. A member that
//! comes or goes moves only the keys that fall to it.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns how high a member ranks for a key.
pub fn rank(key: &str, member: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(member.as_bytes(), seed)
}

/// Returns the members that rank highest for a key, `count` at most, highest
/// first.
pub fn select_highest<T>(
    key: &str,
    count: usize,
    members: impl Iterator<Item = T>,
    name: impl Fn(&T) -> &str,
) -> Vec<T> {
    let mut best: Vec<(u64, T)> = Vec::with_capacity(count + 1);
    for member in members {
        let rank = rank(key, name(&member));
        let is_higher = |other: &(u64, T)| (other.0, name(&other.1)) > (rank, name(&member));
        let place = best.partition_point(is_higher);
        if place < count {
            best.insert(place, (rank, member));
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, member)| member).collect()
}
