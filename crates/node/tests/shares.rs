//! Tests that the instances together stay within an upstream server's limits
//! while instances join and leave.

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

    /// The instances' connections together never exceed the server's limit,
    /// provided that the limit allows one connection per instance.
    #[test]
    fn instances_together_stay_within_the_limit(slots in 1u32..8, connections in 1u32..200, instances in 1u32..50) {
        let share = divide_server_limits(slots, connections, instances);
        prop_assert!(share.outstanding <= share.connections);
        prop_assert!(share.outstanding >= 1);
        if instances <= connections {
            prop_assert!(share.connections * instances <= connections);
        }
    }

    /// However the member count varies, the limits are divided among fewer
    /// instances only after the count has been lower for the whole delay of 5 s.
    #[test]
    fn fewer_members_count_only_after_a_delay(steps in prop::collection::vec((1u32..8, 0u64..4000), 1..40)) {
        let start = Duration::ZERO;
        let mut now = start;
        let mut divisor = LimitDivisor::new(7);
        let mut count = 7;
        let mut not_lower_at = start;
        for (member_count, millis) in steps {
            now += Duration::from_millis(millis);
            if member_count >= count {
                not_lower_at = now;
            }
            if let Some(next) = divisor.update(member_count, now) {
                if next < count {
                    prop_assert!(now >= not_lower_at + Duration::from_secs(5));
                }
                count = next;
                not_lower_at = now;
            }
        }
    }
}
