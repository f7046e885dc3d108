//! Failure domains out of use: orders that come twice, late and crossed.

use proptest::prelude::*;
use wheelmast_core::process::control::evacuation::{
    EvacuationBook, EvacuationChange, EvacuationOutcome, MOST_DOMAINS,
};
use wheelmast_core::process::control::state::{CommandOutcome, ControlCommand, ControlState};

fn change(domain: &str, evacuated: bool, base: u64) -> EvacuationChange {
    EvacuationChange {
        domain: domain.into(),
        evacuated,
        base,
    }
}

struct OrderCase {
    name: &'static str,
    orders: &'static [(&'static str, bool, u64)],
    last: EvacuationOutcome,
    out: &'static [&'static str],
}

#[test]
fn an_order_stands_once_and_a_late_one_undoes_nothing() {
    use EvacuationOutcome::{Conflict, Stands};
    let cases = [
        OrderCase {
            name: "once",
            orders: &[("a", true, 0)],
            last: Stands(1),
            out: &["a"],
        },
        OrderCase {
            name: "sent again, knowing of the first",
            orders: &[("a", true, 0), ("a", true, 1)],
            last: Stands(2),
            out: &["a"],
        },
        OrderCase {
            name: "taken back",
            orders: &[("a", true, 0), ("a", false, 1)],
            last: Stands(2),
            out: &[],
        },
        OrderCase {
            name: "late after it was taken back",
            orders: &[("a", true, 0), ("a", false, 1), ("a", true, 0)],
            last: Conflict(2),
            out: &[],
        },
        OrderCase {
            name: "the end of what never began",
            orders: &[("a", false, 0)],
            last: Stands(1),
            out: &[],
        },
        OrderCase {
            name: "a beginning that was held up until after its end",
            orders: &[("a", false, 0), ("a", true, 0)],
            last: Conflict(1),
            out: &[],
        },
        OrderCase {
            name: "several at once",
            orders: &[("a", true, 0), ("b", true, 0), ("a", false, 1)],
            last: Stands(3),
            out: &["b"],
        },
        OrderCase {
            name: "begun, taken back and begun",
            orders: &[("a", true, 0), ("a", false, 1), ("a", true, 2)],
            last: Stands(3),
            out: &["a"],
        },
    ];
    for case in cases {
        let mut state = ControlState::default();
        let mut last = CommandOutcome::Done;
        for (domain, evacuated, base) in case.orders {
            let order = change(domain, *evacuated, *base);
            last = state.apply(&ControlCommand::Evacuate(order));
        }
        assert_eq!(last, CommandOutcome::Evacuate(case.last), "{}", case.name);
        let out: Vec<&str> = state.evacuations().evacuated().collect();
        assert_eq!(out, case.out, "{}", case.name);
    }
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut book = EvacuationBook::default();
    for number in 0..MOST_DOMAINS {
        book.apply(&change(&number.to_string(), true, 0));
    }
    let more = book.apply(&change("one more", true, 0));
    assert_eq!(more, EvacuationOutcome::Full);
    assert_eq!(book.evacuated().count(), MOST_DOMAINS);
}

proptest! {
    /// An operator makes one order after the other, each on what it knows of the
    /// log. Some are held up and come at any later time, some come twice. The
    /// last one that was acknowledged holds, unless a later one got no answer.
    #[test]
    fn what_was_held_up_changes_nothing_that_was_acknowledged(
        orders in prop::collection::vec((any::<bool>(), any::<bool>()), 1..12),
        copies in prop::collection::vec((0usize..12, 0usize..12), 0..24),
    ) {
        let mut book = EvacuationBook::default();
        let mut sent: Vec<EvacuationChange> = Vec::new();
        for (place, (evacuated, is_held_up)) in orders.iter().enumerate() {
            let order = change("a", *evacuated, book.revision_of("a"));
            sent.push(order.clone());
            let acknowledged = (!is_held_up).then_some(*evacuated);
            if acknowledged.is_some() {
                prop_assert!(matches!(book.apply(&order), EvacuationOutcome::Stands(_)));
            }
            for (_, copy) in copies.iter().filter(|(after, _)| *after == place) {
                if let Some(copy) = sent.get(*copy) {
                    book.apply(copy);
                }
            }
            if let Some(evacuated) = acknowledged {
                prop_assert_eq!(book.evacuated().count() == 1, evacuated);
            }
        }
    }
}
