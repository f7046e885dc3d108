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

/// Returns the hash of a name, for use with [`rank_hashes`].
pub fn hash_name(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// Returns the rank of a member for a key, from the hashes of both names. Cheaper than
/// [`rank`] if the hashes are computed once and used for many ranks.
pub fn rank_hashes(key_hash: u64, member_hash: u64) -> u64 {
    // The finalizer of SplitMix64 spreads each bit of the input over the whole output.
    let mut mixed = key_hash ^ member_hash.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
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
