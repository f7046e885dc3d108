//! Servers that were known before a restart.

use std::time::Duration;

use wheelmast_core::process::forward::directory::{
    NoticeEffect, ServerDirectory, ServerNotice, ServerStanding, BELIEVE_TIME,
};

use crate::harness::{notice, HOME};

const LEASE: Duration = Duration::from_secs(5);
const START: Duration = Duration::from_secs(1);

fn remembering() -> ServerDirectory {
    let mut directory = ServerDirectory::default();
    directory.remember(notice("desk-0", "desk", HOME, 1), START);
    directory
}

fn later(sequence: u64) -> ServerNotice {
    ServerNotice {
        sequence,
        ..notice("desk-0", "desk", HOME, 1)
    }
}

#[test]
fn who_is_not_heard_of_is_soon_silent() {
    let mut directory = remembering();
    assert!(directory.sweep(START + BELIEVE_TIME, LEASE).is_empty());
    let silent = directory.sweep(START + BELIEVE_TIME * 2, LEASE);
    assert_eq!(silent, ["desk-0".into()]);
}

#[test]
fn who_is_heard_of_has_a_whole_lease() {
    let now = START + Duration::from_secs(1);
    let mut announced = remembering();
    assert_eq!(announced.apply(later(2), now), NoticeEffect::Renewed);
    let mut renewed = remembering();
    renewed.renew("desk-0", later(2).mark(), now);
    for mut directory in [announced, renewed] {
        assert!(directory.sweep(now + LEASE, LEASE).is_empty());
        assert_eq!(directory.living().count(), 1);
    }
}

#[test]
fn what_is_known_already_is_not_remembered_over() {
    let mut directory = ServerDirectory::default();
    directory.apply(ServerNotice::gone("desk-0", 0), START);
    directory.remember(notice("desk-0", "desk", HOME, 1), START);
    let record = directory.get("desk-0").expect("it is known");
    assert_eq!(record.notice.standing, ServerStanding::Gone);
    assert_eq!(directory.living().count(), 0);
}

#[test]
fn only_who_was_heard_of_is_kept_for_the_next_time() {
    let directory = remembering();
    assert_eq!(directory.living().count(), 0);
}
