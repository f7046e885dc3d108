//! When requests are due in open-loop load.

use std::time::Duration;

use rand::Rng;

/// Draws the pause before the next request of a Poisson process of `rate`
/// requests a second.
pub fn draw_interval(rate: f64) -> Duration {
    let uniform: f64 = rand::rng().random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}
