//! Guards against an unavailable control group after the loss of two disks.
//!
//! All instances are killed each time a disk is lost. In a group of three, two
//! disks were lost in quick succession and no route table could be read for 20 s:
//! the replica that had lost the first disk was still a learner, so two of three
//! voting members were missing. In every run in which the second disk was lost as
//! soon as a table was read and no table was found afterwards, the metrics of the
//! first replica had said `wheelmast_replica_votes 0` just before. The next disk may
//! be lost once that metric is 1.

use crate::harness::{route_table, wait_until, Deployment};

/// Number of control instances.
const CONTROL_INSTANCES: usize = 3;
/// Number of disks that are lost, one after the other.
const DISK_LOSSES: usize = 7;

#[test]
fn a_disk_can_be_lost_once_the_previous_replica_votes_again() {
    let mut deployment = Deployment::start(43);
    deployment.put_first_table(&route_table(1));
    for loss in 0..DISK_LOSSES {
        let lost_disk = loss % CONTROL_INSTANCES;
        let all = 0..deployment.daemons.len();
        deployment.kill_and_restart(all, Some(lost_disk));
        for from in 0..CONTROL_INSTANCES {
            wait_until(
                &format!("loss {loss}: n{from} returns the table"),
                || deployment.get_table(from),
                |reply| reply.status == 200,
            );
        }
        deployment.await_vote(lost_disk);
    }
}
