//! Halls that are emptied: the word that is further on in the store's log counts, whichever way and in whichever order the words come.

use std::time::Duration;

use larkwick::kernel::evacuation::{EvacuatedHalls, HallOrder, HallsInForce};
use proptest::prelude::*;

/// The set after each order, the empty one first.
fn sets(orders: &[HallOrder]) -> Vec<EvacuatedHalls> {
    let mut set = EvacuatedHalls::default();
    let mut sets = vec![set.clone()];
    for order in orders {
        set.apply(order);
        sets.push(set.clone());
    }
    sets
}

fn orders() -> impl Strategy<Value = Vec<HallOrder>> {
    let one = (0..4_u8, any::<bool>());
    proptest::collection::vec(one, 1..12).prop_map(|drawn| {
        let numbered = (1..).zip(drawn);
        let order = |(next_offset, (hall, evacuate))| HallOrder {
            hall: format!("hall-{hall}"),
            evacuate,
            next_offset,
        };
        numbered.map(order).collect()
    })
}

proptest! {
    #[test]
    fn take_words_out_of_order_never_falls_back(
        orders in orders(),
        told in proptest::collection::vec(any::<prop::sample::Index>(), 1..20),
    ) {
        let sets = sets(&orders);
        let mut halls = HallsInForce::default();
        let mut furthest = 0;
        for index in told {
            let index = index.index(sets.len());
            furthest = furthest.max(index);
            halls.take(&sets[index], Duration::ZERO);
            prop_assert_eq!(halls.told(), &sets[furthest]);
            let named = (0..4).map(|hall| format!("hall-{hall}"));
            for hall in named {
                let is_evacuated = sets[furthest].halls.contains(&hall);
                prop_assert_eq!(halls.since(&hall).is_some(), is_evacuated);
            }
        }
    }

    #[test]
    fn order_told_again_changes_nothing(orders in orders()) {
        let mut halls = HallsInForce::default();
        for order in &orders {
            halls.order(order, Duration::ZERO);
        }
        let known = halls.told().clone();
        for order in &orders {
            prop_assert!(halls.order(order, Duration::ZERO).is_empty());
        }
        prop_assert_eq!(halls.told(), &known);
    }
}
