//! Halls that are emptied: the word that is further on in the store's log counts, whichever way and in whichever order the words come.

use std::time::Duration;

use larkwick::kernel::evacuation::{
    COPY_COMPLETED_WITHIN, EvacuatedHalls, HallOrder, HallsInForce,
};
use larkwick::kernel::position::Position;
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
            next: Position::new(1, next_offset),
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

const NOW: Duration = Duration::from_secs(100);

fn told(era: u64, offset: u64, halls: &[&str]) -> EvacuatedHalls {
    EvacuatedHalls {
        halls: halls.iter().map(|hall| (*hall).to_owned()).collect(),
        complete_to: Position::new(era, offset),
    }
}

fn in_force(halls: &HallsInForce) -> Vec<&'static str> {
    let named = ["a", "b"].into_iter();
    named.filter(|hall| halls.since(hall).is_some()).collect()
}

#[test]
fn take_word_of_a_later_era_at_a_lower_offset_counts() {
    let mut halls = HallsInForce::default();
    halls.take(&told(1, 90, &[]), NOW);
    halls.take(&told(2, 7, &["a"]), NOW);
    let later = NOW + COPY_COMPLETED_WITHIN;
    halls.settle(later);
    assert_eq!(in_force(&halls), ["a"]);
    halls.take(&told(1, 99, &["b"]), later);
    assert_eq!(in_force(&halls), ["a"], "a word of an earlier era");
}

/// The copy lacks an order and has one that was taken back since; both are written again in a moment, or never.
#[test]
fn take_copy_of_earlier_halls_what_was_in_force_holds_for_a_while() {
    for written_again in [true, false] {
        let mut halls = HallsInForce::default();
        halls.take(&told(1, 9, &["a"]), NOW);
        halls.take(&told(2, 4, &["b"]), NOW);
        assert_eq!(in_force(&halls), ["a"]);
        if written_again {
            for (next, hall, evacuate) in [(5, "a", true), (6, "b", false)] {
                let order = HallOrder {
                    hall: hall.to_owned(),
                    evacuate,
                    next: Position::new(2, next),
                };
                halls.order(&order, NOW);
                assert_eq!(in_force(&halls), ["a"]);
            }
        }
        halls.settle(NOW + COPY_COMPLETED_WITHIN);
        let expected = if written_again { ["a"] } else { ["b"] };
        assert_eq!(in_force(&halls), expected);
    }
}

/// What is ordered after the return counts at once, whatever is held.
#[test]
fn order_after_a_return_counts_at_once() {
    let mut halls = HallsInForce::default();
    halls.take(&told(1, 9, &["a"]), NOW);
    halls.take(&told(2, 4, &["a"]), NOW);
    halls.take(&told(2, 5, &["b"]), NOW);
    assert_eq!(in_force(&halls), ["b"], "a taken back, b emptied");
}
