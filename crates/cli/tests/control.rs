//! Tests the problems that `wheelmast control status` finds in the metrics of a control group.

use wheelmast_cli::cmd::control::{find_problems, read_gauges, InstanceGauges};

/// Metrics of a healthy leader, with two lines that are no gauges of `wheelmast`.
const LEADER: &str = "# TYPE wheelmast_replica_leads gauge
wheelmast_replica_up 1
wheelmast_replica_leads 1
wheelmast_replica_votes 1
wheelmast_replica_has_leader 1
wheelmast_disk_batches_waiting 0
wheelmast_route_table_version 12
wheelmast_requests_total{route=\"a b\"} 4
other_thing 3
";

/// A control group of three instances and the problems expected for the group.
struct GroupCase {
    name: &'static str,
    /// Text replaced in the leader's metrics, and its replacement, for the second and the third
    /// instance.
    changes: [(&'static str, &'static str); 2],
    findings: &'static [&'static str],
}

/// Replacement that turns the metrics of a leader into those of a follower.
const FOLLOWER: (&str, &str) = ("replica_leads 1", "replica_leads 0");

const CASES: &[GroupCase] = &[
    GroupCase {
        name: "healthy",
        changes: [FOLLOWER, FOLLOWER],
        findings: &[],
    },
    GroupCase {
        name: "two leaders",
        changes: [FOLLOWER, ("nothing", "")],
        findings: &["more than one leads: c0, c2"],
    },
    GroupCase {
        name: "failed disk",
        changes: [FOLLOWER, ("replica_up 1", "replica_up 0")],
        findings: &["c2: its replica stands still, see its disk"],
    },
    GroupCase {
        name: "follower with a slow disk and an old route table",
        changes: [
            FOLLOWER,
            (
                "replica_leads 1\nwheelmast_replica_votes 1\nwheelmast_replica_has_leader 1\n\
                 wheelmast_disk_batches_waiting 0\nwheelmast_route_table_version 12",
                "replica_leads 0\nwheelmast_replica_has_leader 1\n\
                 wheelmast_disk_batches_waiting 90\nwheelmast_route_table_version 11",
            ),
        ],
        findings: &[
            "c2: its disk does not keep up",
            "not the same table is in force on all",
        ],
    },
];

#[test]
fn problems_of_a_group_are_reported() {
    for case in CASES {
        let texts = [
            LEADER.to_string(),
            LEADER.replace(case.changes[0].0, case.changes[0].1),
            LEADER.replace(case.changes[1].0, case.changes[1].1),
        ];
        let group: Vec<(String, Option<InstanceGauges>)> = texts
            .iter()
            .enumerate()
            .map(|(number, text)| (format!("c{number}"), Some(read_gauges(text))))
            .collect();
        assert_eq!(find_problems(&group), case.findings, "{}", case.name);
    }
}

#[test]
fn unreachable_instances_and_a_missing_leader_are_reported() {
    let group = vec![("c0".to_string(), None)];
    assert_eq!(
        find_problems(&group),
        ["c0: does not answer", "no instance leads"]
    );
}

#[test]
fn only_wheelmast_gauges_without_labels_are_read() {
    let gauges = read_gauges(LEADER);
    assert_eq!(gauges.len(), 6);
    assert_eq!(gauges["route_table_version"], 12.0);
}
