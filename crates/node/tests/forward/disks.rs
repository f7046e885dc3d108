//! Disks that are lost one after the other, while all power is lost each time.
//!
//! What was seen: of a group of three, two disks were lost right after each
//! other, and no table was read for 20 s. What happened: the second one went
//! while the instance that had lost the first was still a learner, so that two
//! members of three were gone at once. The figures that tell: of the plays in
//! which the second disk was taken as soon as a table was read, all that found
//! no table had `wheelmast_replica_votes 0` at the first one's instance in the
//! moment before. Once it says 1 the next disk may go.

use crate::harness::{route_table, until, Deployment};

/// Control instances.
const CONTROLS: usize = 3;
/// Disks lost one after the other.
const LOSSES: usize = 7;
#[test]
fn a_disk_may_be_lost_once_the_last_one_is_replaced() {
    let mut deployment = Deployment::start(43);
    deployment.put_first_table(&route_table(1));
    for loss in 0..LOSSES {
        let lost = loss % CONTROLS;
        let all = 0..deployment.daemons.len();
        deployment.restart(all, Some(lost));
        for from in 0..CONTROLS {
            until(
                &format!("loss {loss}: a table at n{from}"),
                || deployment.get_table(from),
                |reply| reply.status == 200,
            );
        }
        deployment.await_vote(lost);
    }
}
