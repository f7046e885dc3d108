//! What the plays of several seeds have in common.

use wheelmast_fake::model::play;
use wheelmast_fake::model::spec::PlaySpec;
use wheelmast_fake::model::tally::PlayTally;

/// Plays of each case.
pub(crate) const SEEDS: std::ops::Range<u64> = 0..4;

/// Plays all seeds.
pub(crate) fn play_all(spec: &PlaySpec) -> Vec<PlayTally> {
    SEEDS.map(|seed| play(spec, seed)).collect()
}

/// Returns the mean of a figure.
pub(crate) fn mean(tallies: &[PlayTally], of: impl Fn(&PlayTally) -> f64) -> f64 {
    tallies.iter().map(of).sum::<f64>() / tallies.len() as f64
}

/// Returns the part of what is owed that was earned: of all, and of the first
/// two kinds of requests.
pub(crate) fn shares(tallies: &[PlayTally]) -> [f64; 3] {
    [
        mean(tallies, PlayTally::share),
        mean(tallies, |tally| tally.kinds[0].share()),
        mean(tallies, |tally| tally.kinds[1].share()),
    ]
}

/// Checks that each part is as great as it must be.
pub(crate) fn check_shares(name: &str, shares: [f64; 3], least: [f64; 3]) {
    for (share, least) in shares.iter().zip(least) {
        assert!(*share >= least, "{name}: {shares:?}");
    }
}
