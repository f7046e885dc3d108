//! Tests of the evacuation registry: changes that are duplicated, delayed or arrive
//! out of order.

use proptest::prelude::*;
use wheelmast_core::process::control::evacuation::{
    EvacuationChange, EvacuationOutcome, EvacuationRegistry, MAX_DOMAINS,
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
    last_outcome: EvacuationOutcome,
    evacuated_domains: &'static [&'static str],
}

#[test]
fn a_change_is_applied_once_and_a_delayed_one_is_rejected() {
    use EvacuationOutcome::{Conflict, Stands};
    let cases = [
        OrderCase {
            name: "once",
            orders: &[("a", true, 0)],
            last_outcome: Stands(1),
            evacuated_domains: &["a"],
        },
        OrderCase {
            name: "repeated, based on the first",
            orders: &[("a", true, 0), ("a", true, 1)],
            last_outcome: Stands(2),
            evacuated_domains: &["a"],
        },
        OrderCase {
            name: "reverted",
            orders: &[("a", true, 0), ("a", false, 1)],
            last_outcome: Stands(2),
            evacuated_domains: &[],
        },
        OrderCase {
            name: "duplicate after the reversal",
            orders: &[("a", true, 0), ("a", false, 1), ("a", true, 0)],
            last_outcome: Conflict(2),
            evacuated_domains: &[],
        },
        OrderCase {
            name: "put back into use without being out of use",
            orders: &[("a", false, 0)],
            last_outcome: Stands(1),
            evacuated_domains: &[],
        },
        OrderCase {
            name: "an evacuation delayed until after its reversal",
            orders: &[("a", false, 0), ("a", true, 0)],
            last_outcome: Conflict(1),
            evacuated_domains: &[],
        },
        OrderCase {
            name: "two domains",
            orders: &[("a", true, 0), ("b", true, 0), ("a", false, 1)],
            last_outcome: Stands(3),
            evacuated_domains: &["b"],
        },
        OrderCase {
            name: "evacuated, reverted and evacuated again",
            orders: &[("a", true, 0), ("a", false, 1), ("a", true, 2)],
            last_outcome: Stands(3),
            evacuated_domains: &["a"],
        },
    ];
    for case in cases {
        let mut state = ControlState::default();
        let mut last_outcome = CommandOutcome::Done;
        for (domain, evacuated, base) in case.orders {
            let order = change(domain, *evacuated, *base);
            last_outcome = state.apply(&ControlCommand::Evacuate(order));
        }
        assert_eq!(
            last_outcome,
            CommandOutcome::Evacuate(case.last_outcome),
            "{}",
            case.name
        );
        let evacuated_domains: Vec<&str> = state.evacuations().evacuated().collect();
        assert_eq!(evacuated_domains, case.evacuated_domains, "{}", case.name);
    }
}

#[test]
fn number_of_domains_is_bounded() {
    let mut registry = EvacuationRegistry::default();
    for number in 0..MAX_DOMAINS {
        registry.apply(&change(&number.to_string(), true, 0));
    }
    let overflow_outcome = registry.apply(&change("one more", true, 0));
    assert_eq!(overflow_outcome, EvacuationOutcome::Full);
    assert_eq!(registry.evacuated().count(), MAX_DOMAINS);
}

proptest! {
    /// An operator issues changes one after the other, each based on the current
    /// revision. Some changes are delayed and arrive at any later time; some arrive
    /// twice. Right after a change was acknowledged, its state must hold, whatever
    /// copies of earlier changes arrive.
    #[test]
    fn delayed_changes_never_undo_an_acknowledged_change(
        orders in prop::collection::vec((any::<bool>(), any::<bool>()), 1..12),
        copies in prop::collection::vec((0usize..12, 0usize..12), 0..24),
    ) {
        let mut registry = EvacuationRegistry::default();
        let mut sent_orders: Vec<EvacuationChange> = Vec::new();
        for (position, (evacuated, is_delayed)) in orders.iter().enumerate() {
            let order = change("a", *evacuated, registry.revision_of("a"));
            sent_orders.push(order.clone());
            let acknowledged_state = (!is_delayed).then_some(*evacuated);
            if acknowledged_state.is_some() {
                prop_assert!(matches!(registry.apply(&order), EvacuationOutcome::Stands(_)));
            }
            for (_, copy) in copies.iter().filter(|(after, _)| *after == position) {
                if let Some(copy) = sent_orders.get(*copy) {
                    registry.apply(copy);
                }
            }
            if let Some(evacuated) = acknowledged_state {
                prop_assert_eq!(registry.evacuated().count() == 1, evacuated);
            }
        }
    }
}
