//! Rendezvous hashing (highest random weight): assigns each key to one or more members.
//!
//! Adding or removing a member moves only the keys that are assigned to that member.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rank of a member for a key: a hash of both. The key is assigned to the
/// member with the highest rank.
pub fn rank(key: &str, member: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(member.as_bytes(), seed)
}

/// Returns the `count` members that rank highest for a key, or all if there are fewer,
/// in descending order of rank. `name` returns the name of a member, which is hashed.
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
        let position = best.partition_point(is_higher);
        if position < count {
            best.insert(position, (rank, member));
            best.truncate(count);
        }
    }
    best.into_iter().map(|(_, member)| member).collect()
}
