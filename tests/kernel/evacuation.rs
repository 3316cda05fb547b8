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

/// What happens to a store, and to readers of its log that tell each other.
#[derive(Debug, Clone)]
enum Step {
    Order { hall: u8, evacuate: bool },
    Copy,
    ComeBack,
    ReadOn { reader: usize, most: usize },
    ReadWhole { reader: usize },
    Tell { from: usize, to: usize },
}

const READERS: usize = 3;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let reader = 0..READERS;
    let order = (0..3_u8, any::<bool>());
    let one = prop_oneof![
        4 => order.prop_map(|(hall, evacuate)| Step::Order { hall, evacuate }),
        1 => Just(Step::Copy),
        1 => Just(Step::ComeBack),
        4 => (reader.clone(), 1..4_usize).prop_map(|(reader, most)| Step::ReadOn { reader, most }),
        1 => reader.clone().prop_map(|reader| Step::ReadWhole { reader }),
        3 => (reader.clone(), reader).prop_map(|(from, to)| Step::Tell { from, to }),
    ];
    proptest::collection::vec(one, 1..80)
}

/// The store's log: all that it ever held stays here, whatever it comes back from.
#[derive(Default)]
struct Log {
    era: u64,
    orders: Vec<HallOrder>,
    copied: usize,
    held: Vec<EvacuatedHalls>,
}

impl Log {
    fn whole(&self) -> EvacuatedHalls {
        let mut whole = sets(&self.orders).pop().unwrap_or_default();
        whole.complete_to = Position::new(self.era, self.orders.len() as u64);
        whole
    }

    fn note(&mut self) {
        let whole = self.whole();
        self.held.push(whole);
    }

    fn append(&mut self, hall: u8, evacuate: bool) {
        let offset = self.orders.len() as u64 + 1;
        self.orders.push(HallOrder {
            hall: format!("hall-{hall}"),
            evacuate,
            next: Position::new(self.era, offset),
        });
        self.note();
    }

    fn come_back(&mut self) {
        self.era += 1;
        self.orders.truncate(self.copied);
        for (offset, order) in (1..).zip(&mut self.orders) {
            order.next = Position::new(self.era, offset);
        }
        self.note();
    }
}

proptest! {
    /// No reader is ever where the store never was, or behind where it was itself; and all that read come to where the store is.
    #[test]
    fn take_store_comes_back_any_time_no_reader_falls_back(steps in steps()) {
        let mut log = Log { era: 1, ..Log::default() };
        log.note();
        let mut readers: Vec<HallsInForce> = vec![HallsInForce::default(); READERS];
        for step in steps {
            let before: Vec<Position> = readers.iter().map(|reader| reader.told().complete_to).collect();
            match step {
                Step::Order { hall, evacuate } => log.append(hall, evacuate),
                Step::Copy => log.copied = log.orders.len(),
                Step::ComeBack => log.come_back(),
                Step::ReadOn { reader, most } => {
                    let from = before[reader];
                    if from.era() == log.era {
                        let orders = log.orders.iter().filter(|order| order.next > from);
                        for order in orders.take(most) {
                            readers[reader].order(order, NOW);
                        }
                    } else {
                        readers[reader].take(&log.whole(), NOW);
                    }
                }
                Step::ReadWhole { reader } => {
                    readers[reader].take(&log.whole(), NOW);
                }
                Step::Tell { from, to } => {
                    let told = readers[from].told().clone();
                    readers[to].take(&told, NOW);
                }
            }
            for (reader, before) in readers.iter().zip(before) {
                let told = reader.told();
                prop_assert!(told.complete_to >= before);
                let never_read = *told == EvacuatedHalls::default();
                prop_assert!(never_read || log.held.contains(told), "{told:?} was never held");
            }
        }
        let later = NOW + COPY_COMPLETED_WITHIN;
        for reader in &mut readers {
            reader.take(&log.whole(), NOW);
            reader.settle(later);
            prop_assert_eq!(reader.told(), &log.whole());
            for hall in (0..3).map(|hall| format!("hall-{hall}")) {
                let is_emptied = log.whole().halls.contains(&hall);
                prop_assert_eq!(reader.since(&hall).is_some(), is_emptied);
            }
        }
    }
}
