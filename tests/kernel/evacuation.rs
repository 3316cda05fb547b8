//! Evacuated halls: the set with the later position in the store's log wins, regardless of how and
//! in which order sets arrive.

use std::time::Duration;

use larkwick::kernel::evacuation::{
    ActiveEvacuations, EvacuatedHalls, HallOrder, STALE_COPY_GRACE,
};
use larkwick::kernel::position::Position;
use proptest::prelude::*;

/// Returns the set after each order, starting with the empty set.
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
    proptest::collection::vec(one, 1..12).prop_map(|orders| {
        let numbered = (1..).zip(orders);
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
    fn merge_sets_out_of_order_never_falls_back(
        orders in orders(),
        received in proptest::collection::vec(any::<prop::sample::Index>(), 1..20),
    ) {
        let sets = sets(&orders);
        let mut halls = ActiveEvacuations::default();
        let mut latest = 0;
        for index in received {
            let index = index.index(sets.len());
            latest = latest.max(index);
            halls.merge(&sets[index], Duration::ZERO);
            prop_assert_eq!(halls.for_members(), &sets[latest]);
            let named = (0..4).map(|hall| format!("hall-{hall}"));
            for hall in named {
                let is_evacuated = sets[latest].halls.contains(&hall);
                prop_assert_eq!(halls.since(&hall).is_some(), is_evacuated);
            }
        }
    }

    #[test]
    fn apply_order_repeated_changes_nothing(orders in orders()) {
        let mut halls = ActiveEvacuations::default();
        for order in &orders {
            halls.apply_order(order, Duration::ZERO);
        }
        let known = halls.for_members().clone();
        for order in &orders {
            prop_assert!(halls.apply_order(order, Duration::ZERO).is_empty());
        }
        prop_assert_eq!(halls.for_members(), &known);
    }
}

const NOW: Duration = Duration::from_secs(100);

fn set_at(era: u64, offset: u64, halls: &[&str]) -> EvacuatedHalls {
    EvacuatedHalls {
        halls: halls.iter().map(|hall| (*hall).to_owned()).collect(),
        complete_to: Position::new(era, offset),
    }
}

fn in_force(halls: &ActiveEvacuations) -> Vec<&'static str> {
    let named = ["a", "b"].into_iter();
    named.filter(|hall| halls.since(hall).is_some()).collect()
}

#[test]
fn merge_later_era_at_a_lower_offset_wins() {
    let mut halls = ActiveEvacuations::default();
    halls.merge(&set_at(1, 90, &[]), NOW);
    halls.merge(&set_at(2, 7, &["a"]), NOW);
    let later = NOW + STALE_COPY_GRACE;
    halls.refresh(later);
    assert_eq!(in_force(&halls), ["a"]);
    halls.merge(&set_at(1, 99, &["b"]), later);
    assert_eq!(in_force(&halls), ["a"], "a set of an earlier era");
}

/// The store is restored from a copy that lacks one order and contains another that was reversed
/// since. Both corrections are written again shortly after, or never.
#[test]
fn merge_older_copy_previous_halls_stay_in_force_for_a_while() {
    for is_rewritten in [true, false] {
        let mut halls = ActiveEvacuations::default();
        halls.merge(&set_at(1, 9, &["a"]), NOW);
        halls.merge(&set_at(2, 4, &["b"]), NOW);
        assert_eq!(in_force(&halls), ["a"]);
        if is_rewritten {
            for (next, hall, evacuate) in [(5, "a", true), (6, "b", false)] {
                let order = HallOrder {
                    hall: hall.to_owned(),
                    evacuate,
                    next: Position::new(2, next),
                };
                halls.apply_order(&order, NOW);
                assert_eq!(in_force(&halls), ["a"]);
            }
        }
        halls.refresh(NOW + STALE_COPY_GRACE);
        let expected = if is_rewritten { ["a"] } else { ["b"] };
        assert_eq!(in_force(&halls), expected);
    }
}

/// An order after the store was restored takes effect at once, even if halls are held.
#[test]
fn apply_order_after_store_restored_takes_effect_at_once() {
    let mut halls = ActiveEvacuations::default();
    halls.merge(&set_at(1, 9, &["a"]), NOW);
    halls.merge(&set_at(2, 4, &["a"]), NOW);
    halls.merge(&set_at(2, 5, &["b"]), NOW);
    assert_eq!(in_force(&halls), ["b"], "a restored, b evacuated");
}

/// An event at the store or at readers of its log, which also exchange their sets.
#[derive(Debug, Clone)]
enum Step {
    Order { hall: u8, evacuate: bool },
    Copy,
    RestoreCopy,
    ReadNext { reader: usize, most: usize },
    ReadFullSet { reader: usize },
    Send { from: usize, to: usize },
}

const READERS: usize = 3;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let reader = 0..READERS;
    let order = (0..3_u8, any::<bool>());
    let one = prop_oneof![
        4 => order.prop_map(|(hall, evacuate)| Step::Order { hall, evacuate }),
        1 => Just(Step::Copy),
        1 => Just(Step::RestoreCopy),
        4 => (reader.clone(), 1..4_usize)
            .prop_map(|(reader, most)| Step::ReadNext { reader, most }),
        1 => reader.clone().prop_map(|reader| Step::ReadFullSet { reader }),
        3 => (reader.clone(), reader).prop_map(|(from, to)| Step::Send { from, to }),
    ];
    proptest::collection::vec(one, 1..80)
}

/// The store's log. `past_sets` records every set that the store ever had.
#[derive(Default)]
struct Log {
    era: u64,
    orders: Vec<HallOrder>,
    copied: usize,
    past_sets: Vec<EvacuatedHalls>,
}

impl Log {
    fn full_set(&self) -> EvacuatedHalls {
        let mut full_set = sets(&self.orders).pop().unwrap_or_default();
        full_set.complete_to = Position::new(self.era, self.orders.len() as u64);
        full_set
    }

    fn record_set(&mut self) {
        let full_set = self.full_set();
        self.past_sets.push(full_set);
    }

    fn append(&mut self, hall: u8, evacuate: bool) {
        let offset = self.orders.len() as u64 + 1;
        self.orders.push(HallOrder {
            hall: format!("hall-{hall}"),
            evacuate,
            next: Position::new(self.era, offset),
        });
        self.record_set();
    }

    fn restore_copy(&mut self) {
        self.era += 1;
        self.orders.truncate(self.copied);
        for (offset, order) in (1..).zip(&mut self.orders) {
            order.next = Position::new(self.era, offset);
        }
        self.record_set();
    }
}

proptest! {
    /// A reader never has a set that the store never had, and never goes back to an earlier
    /// position. Once all have read, they match the store.
    #[test]
    fn merge_store_restored_any_time_no_reader_falls_back(steps in steps()) {
        let mut log = Log { era: 1, ..Log::default() };
        log.record_set();
        let mut readers: Vec<ActiveEvacuations> = vec![ActiveEvacuations::default(); READERS];
        for step in steps {
            let before: Vec<Position> = readers
                .iter()
                .map(|reader| reader.for_members().complete_to)
                .collect();
            match step {
                Step::Order { hall, evacuate } => log.append(hall, evacuate),
                Step::Copy => log.copied = log.orders.len(),
                Step::RestoreCopy => log.restore_copy(),
                Step::ReadNext { reader, most } => {
                    let from = before[reader];
                    if from.era() == log.era {
                        let orders = log.orders.iter().filter(|order| order.next > from);
                        for order in orders.take(most) {
                            readers[reader].apply_order(order, NOW);
                        }
                    } else {
                        readers[reader].merge(&log.full_set(), NOW);
                    }
                }
                Step::ReadFullSet { reader } => {
                    readers[reader].merge(&log.full_set(), NOW);
                }
                Step::Send { from, to } => {
                    let sent = readers[from].for_members().clone();
                    readers[to].merge(&sent, NOW);
                }
            }
            for (reader, before) in readers.iter().zip(before) {
                let logged = reader.for_members();
                prop_assert!(logged.complete_to >= before);
                let never_read = *logged == EvacuatedHalls::default();
                prop_assert!(
                    never_read || log.past_sets.contains(logged),
                    "the store never had {logged:?}"
                );
            }
        }
        let later = NOW + STALE_COPY_GRACE;
        for reader in &mut readers {
            reader.merge(&log.full_set(), NOW);
            reader.refresh(later);
            prop_assert_eq!(reader.for_members(), &log.full_set());
            for hall in (0..3).map(|hall| format!("hall-{hall}")) {
                let is_evacuated = log.full_set().halls.contains(&hall);
                prop_assert_eq!(reader.since(&hall).is_some(), is_evacuated);
            }
        }
    }
}
