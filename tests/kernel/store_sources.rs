//! Where an instance reads what the store holds, and how it leaves the store alone while it is away.

use std::time::Duration;

use larkwick::kernel::backoff::Backoff;
use larkwick::kernel::roles;
use larkwick::kernel::store_sources::{Source, StoreSources};

const MEMBERS: [(&str, f64); 6] = [
    ("a", 0.25),
    ("b", 0.25),
    ("c", 0.25),
    ("d", 0.25),
    ("e", 0.25),
    ("f", 0.25),
];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A member that reads through others, and one that reads at the store.
fn follower_and_reader() -> (&'static str, &'static str) {
    let readers = roles::readers_for("a", &MEMBERS);
    let names = MEMBERS.map(|(name, _)| name);
    let (readers, others): (Vec<&str>, Vec<&str>) =
        names.iter().partition(|name| readers.contains(name));
    (others[0], readers[0])
}

#[test]
fn in_order_follower_readers_then_store() {
    let (follower, _) = follower_and_reader();
    let sources = StoreSources::new(follower).in_order(&MEMBERS, ms(0));
    assert_eq!(sources.len(), 3);
    assert!(matches!(sources[0], Source::Peer(_)));
    assert!(matches!(sources[1], Source::Peer(_)));
    assert_eq!(sources[2], Source::Store);
}

/// Half of the readers are turned away by the store, the others are not: a follower goes on with one of these, without a call to the
/// store. Before, it went to the store itself: 3,400 calls in twelve seconds on a site of 85 instances.
#[test]
fn in_order_own_reader_out_of_touch_other_reader_next() {
    let (follower, _) = follower_and_reader();
    let mut sources = StoreSources::new(follower);
    let order = sources.in_order(&MEMBERS, ms(0));
    sources.failed(&order[0], ms(0), 1.0);
    sources.answered(&order[1]);
    assert_eq!(sources.in_order(&MEMBERS, ms(10)), order[1..]);
    // The reader is tried again later, at growing distances.
    assert_eq!(sources.in_order(&MEMBERS, ms(2_001)), order);
    sources.failed(&order[0], ms(2_001), 1.0);
    assert_eq!(sources.in_order(&MEMBERS, ms(5_000)), order[1..]);
}

/// All readers are turned away while the store serves others: as many members read in their place, and the others ask these. Before, each of
/// them went to the store itself.
#[test]
fn in_order_readers_out_of_touch_a_few_read_in_their_place() {
    let names: Vec<String> = (0..60).map(|number| format!("n{number}")).collect();
    let members: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 0.25)).collect();
    let readers = roles::readers_for("n0", &members);
    let at_store = |at| {
        let first_sources = members.iter().map(|(name, _)| {
            let mut sources = StoreSources::new(name);
            for reader in &readers {
                let source = Source::Peer((*reader).to_owned());
                sources.failed(&source, ms(0), 1.0);
            }
            sources.in_order(&members, at).remove(0)
        });
        first_sources
            .filter(|source| *source == Source::Store)
            .count()
    };
    assert_eq!(at_store(ms(10)), 2 * readers.len());
    // Later the readers are asked again.
    assert_eq!(at_store(ms(2_001)), readers.len());
}

#[test]
fn in_order_alone_store_also_when_it_failed() {
    let mut sources = StoreSources::new("a");
    sources.failed(&Source::Store, ms(0), 1.0);
    assert_eq!(sources.in_order(&[("a", 0.25)], ms(1)), [Source::Store]);
}

/// The store is away for all, and everything is asked again every 300 ms for a minute. Before this mechanism a follower asked the store
/// each time: on a site of 73 instances 1,670 calls in eight seconds.
#[test]
fn in_order_store_away_follower_seldom_asks_it() {
    let (follower, reader) = follower_and_reader();
    let asked_of = |name: &str| {
        let mut sources = StoreSources::new(name);
        let mut asked = 0;
        for round in 0..200 {
            let now = ms(round * 300);
            for source in sources.in_order(&MEMBERS, now) {
                asked += u32::from(source == Source::Store);
                sources.failed(&source, now, 0.5);
            }
        }
        asked
    };
    assert!(asked_of(follower) <= 30, "{}", asked_of(follower));
    assert!(asked_of(reader) >= 80, "{}", asked_of(reader));
}

/// Readers that are turned away while the store serves others: a follower finds it by itself.
#[test]
fn in_order_store_back_follower_asks_it_within_three_seconds() {
    let (follower, _) = follower_and_reader();
    let mut sources = StoreSources::new(follower);
    let mut now = ms(0);
    for _ in 0..100 {
        for source in sources.in_order(&MEMBERS, now) {
            sources.failed(&source, now, 1.0);
        }
        now += ms(300);
    }
    let within = (0..=10).map(|round| now + ms(round * 300));
    let mut asks = within.map(|at| sources.in_order(&MEMBERS, at));
    assert!(asks.any(|order| order.contains(&Source::Store)));
}

#[test]
fn answered_store_first_pause_is_short_again() {
    let mut sources = StoreSources::new("a");
    let order = |sources: &StoreSources, now| sources.in_order(&MEMBERS, now);
    for round in 0..5 {
        sources.failed(&Source::Store, ms(round), 1.0);
    }
    sources.answered(&Source::Store);
    sources.failed(&Source::Store, ms(100), 1.0);
    assert!(order(&sources, ms(1_101)).contains(&Source::Store));
}

#[test]
fn failed_pauses_double_to_the_longest_and_begin_anew() {
    let mut backoff = Backoff::new(ms(100), ms(350));
    let pauses: Vec<Duration> = (0..4).map(|_| backoff.failed(1.0)).collect();
    assert_eq!(pauses, [ms(100), ms(200), ms(350), ms(350)]);
    assert_eq!(backoff.failed(0.0), ms(175));
    backoff.succeeded();
    assert_eq!(backoff.failed(1.0), ms(100));
}
