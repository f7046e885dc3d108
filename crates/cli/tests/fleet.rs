//! What a fleet's messages cost, by count: nothing grows faster than the fleet.

use wheelmast_cli::measure::fleet::{EventCounts, FleetModel, FleetSize};

/// By how much a cost may exceed the growth of the fleet: entries don't fall to
/// regions in exactly equal parts.
const GROWTH_TOLERANCE: f64 = 1.1;

fn size(entries: usize, control: usize) -> FleetSize {
    FleetSize {
        entries,
        control,
        servers: entries * 10,
    }
}

fn bytes(counts: &EventCounts) -> f64 {
    counts.values().map(|count| count.bytes).sum()
}

type CountEvent = fn(&FleetModel) -> anyhow::Result<EventCounts>;

struct GrowthCase {
    name: &'static str,
    event: CountEvent,
    /// Kinds that are counted for this.
    kinds: &'static [&'static str],
    /// Most messages for each entry.
    max_messages_per_entry: f64,
    /// Whether any of it may cross regions.
    crosses_regions: bool,
}

#[test]
fn messages_to_entries_grow_with_the_entries_alone() {
    let cases = [
        GrowthCase {
            name: "signs of life",
            event: FleetModel::count_idle_second,
            kinds: &["ping", "here"],
            max_messages_per_entry: 4.5,
            crosses_regions: false,
        },
        GrowthCase {
            name: "a server that leaves",
            event: FleetModel::count_server_leave,
            kinds: &["notices"],
            max_messages_per_entry: 2.0,
            crosses_regions: false,
        },
        GrowthCase {
            name: "an entry that joins, told to the others of its domain",
            event: FleetModel::count_entry_join,
            kinds: &["members"],
            max_messages_per_entry: 0.6,
            crosses_regions: false,
        },
    ];
    for case in cases {
        for (entries, control) in [(100, 6), (300, 12), (1000, 24)] {
            let model = FleetModel::new(size(entries, control));
            let counts = (case.event)(&model).expect(case.name);
            for kind in case.kinds {
                let count = counts[kind];
                let each = count.messages / entries as f64;
                assert!(
                    each <= case.max_messages_per_entry,
                    "{}, {entries}: {each}",
                    case.name
                );
                let crosses_regions = count.cross_region_bytes > 0.0;
                assert_eq!(
                    crosses_regions, case.crosses_regions,
                    "{}, {entries}",
                    case.name
                );
            }
        }
    }
}

#[test]
fn control_instances_cost_entries_nothing() {
    let few = FleetModel::new(size(300, 6));
    let many = FleetModel::new(size(300, 24));
    let pings = |model: &FleetModel| model.count_idle_second().expect("counted")["ping"].bytes;
    assert!(pings(&many) <= pings(&few) * GROWTH_TOLERANCE);
    let leaves = |model: &FleetModel| bytes(&model.count_server_leave().expect("counted"));
    // The words between control instances come on top.
    assert!(leaves(&many) <= leaves(&few) * 1.5);
}
