//! Random inter-arrival times for open-loop load.

use std::time::Duration;

use rand::Rng;

/// Draws the time until the next request of a Poisson process. `rate` is the mean
/// number of requests per second.
pub fn draw_interval(rate: f64) -> Duration {
    let uniform: f64 = rand::rng().random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}
