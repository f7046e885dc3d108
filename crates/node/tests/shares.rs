//! A server's limits, divided over instances that come and go.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use wheelmast_core::connection::share::divide_server_limits;
use wheelmast_node::process::gossip::LimitDivisor;

proptest! {
    #![proptest_config(Config {
        cases: 2000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(25),
        ..Config::default()
    })]

    /// The parts never come to more than the server's connections, as long as
    /// it has one for each instance.
    #[test]
    fn the_parts_keep_the_limit(slots in 1u32..8, connections in 1u32..200, instances in 1u32..50) {
        let share = divide_server_limits(slots, connections, instances);
        prop_assert!(share.outstanding <= share.connections);
        prop_assert!(share.outstanding >= 1);
        if instances <= connections {
            prop_assert!(share.connections * instances <= connections);
        }
    }

    /// However the members seen go up and down, fewer count only after they
    /// have been fewer for the whole lease.
    #[test]
    fn a_lost_part_is_held_for_a_lease(steps in prop::collection::vec((1u32..8, 0u64..4000), 1..40)) {
        let start = Duration::ZERO;
        let mut now = start;
        let mut shares = LimitDivisor::new(7);
        let mut count = 7;
        let mut enough_at = start;
        for (there, millis) in steps {
            now += Duration::from_millis(millis);
            if there >= count {
                enough_at = now;
            }
            if let Some(next) = shares.update(there, now) {
                if next < count {
                    prop_assert!(now >= enough_at + Duration::from_secs(5));
                }
                count = next;
                enough_at = now;
            }
        }
    }
}
