//! Checks that the number and size of the messages between entries and control
//! instances grow no faster than the number of entries.

use wheelmast_cli::measure::fleet::{EventCounts, FleetModel, FleetSize};

/// Factor by which a cost may exceed the growth of the fleet, because entries are
/// not divided exactly equally among regions.
const GROWTH_TOLERANCE: f64 = 1.1;

/// Returns a deployment size with ten servers per entry.
fn size(entries: usize, control: usize) -> FleetSize {
    FleetSize {
        entries,
        control,
        servers: entries * 10,
    }
}

/// Returns the bytes of all kinds of messages.
fn bytes(counts: &EventCounts) -> f64 {
    counts.values().map(|count| count.bytes).sum()
}

/// Function that counts the messages of an event.
type CountEvent = fn(&FleetModel) -> anyhow::Result<EventCounts>;

/// An event and the bounds on its messages to entries.
struct GrowthCase {
    name: &'static str,
    event: CountEvent,
    /// Kinds of messages that are checked.
    kinds: &'static [&'static str],
    /// Maximum number of messages of each kind per entry.
    max_messages_per_entry: f64,
    /// Whether messages of these kinds cross regions.
    crosses_regions: bool,
}

#[test]
fn messages_to_entries_grow_only_with_the_number_of_entries() {
    let cases = [
        GrowthCase {
            name: "pings and status messages in an idle second",
            event: FleetModel::count_idle_second,
            kinds: &["ping", "here"],
            max_messages_per_entry: 4.5,
            crosses_regions: false,
        },
        GrowthCase {
            name: "a server leaves",
            event: FleetModel::count_server_leave,
            kinds: &["notices"],
            max_messages_per_entry: 2.0,
            crosses_regions: false,
        },
        GrowthCase {
            name: "an entry joins and the others of its domain are notified",
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
fn more_control_instances_do_not_add_messages_to_entries() {
    let few = FleetModel::new(size(300, 6));
    let many = FleetModel::new(size(300, 24));
    let pings = |model: &FleetModel| model.count_idle_second().expect("counted")["ping"].bytes;
    assert!(pings(&many) <= pings(&few) * GROWTH_TOLERANCE);
    let leaves = |model: &FleetModel| bytes(&model.count_server_leave().expect("counted"));
    // The factor 1.5 allows for the messages between control instances, which grow
    // with the number of control instances.
    assert!(leaves(&many) <= leaves(&few) * 1.5);
}
