//! Where an instance reads the store's contents, and its back-off during a store outage.

use std::time::Duration;

use larkwick::kernel::backoff::Backoff;
use larkwick::kernel::roles::{MemberCapacity, ReaderPlan};
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

/// Returns the readers that access the store, in the order in which a member asks them.
fn readers_for(member: &str, members: &[MemberCapacity]) -> Vec<String> {
    ReaderPlan::new(member, members).groups.remove(0)
}

/// Returns a member that reads through others, and one that reads from the store.
fn follower_and_reader() -> (&'static str, &'static str) {
    let readers = readers_for("a", &MEMBERS);
    let names = MEMBERS.map(|(name, _)| name);
    let (readers, others): (Vec<&str>, Vec<&str>) = names
        .iter()
        .partition(|name| readers.iter().any(|reader| reader == *name));
    (others[0], readers[0])
}

#[test]
fn ordered_sources_follower_readers_then_store() {
    let (follower, _) = follower_and_reader();
    let sources = StoreSources::default().ordered_sources(&plan(follower), ms(0));
    assert_eq!(sources.len(), 3);
    assert!(matches!(sources[0], Source::Peer(_)));
    assert!(matches!(sources[1], Source::Peer(_)));
    assert_eq!(sources[2], Source::Store);
}

fn plan(member: &str) -> ReaderPlan {
    ReaderPlan::new(member, &MEMBERS)
}

/// The store rejects half of the readers: a follower continues with another reader and makes no
/// call to the store. When it accessed the store itself, a site of 85 instances made 3,400 calls in
/// twelve seconds.
#[test]
fn ordered_sources_own_reader_failed_other_reader_next() {
    let (follower, _) = follower_and_reader();
    let mut sources = StoreSources::default();
    let order = sources.ordered_sources(&plan(follower), ms(0));
    sources.record_failure(&order[0], ms(0), 1.0);
    sources.record_success(&order[1]);
    assert_eq!(sources.ordered_sources(&plan(follower), ms(10)), order[1..]);
    // The reader is tried again later, at increasing intervals.
    assert_eq!(sources.ordered_sources(&plan(follower), ms(2_001)), order);
    sources.record_failure(&order[0], ms(2_001), 1.0);
    assert_eq!(
        sources.ordered_sources(&plan(follower), ms(5_000)),
        order[1..]
    );
}

/// The store rejects all readers but serves others: the same number of members read in their place,
/// and the others ask these instead of each accessing the store itself.
#[test]
fn ordered_sources_readers_failed_a_few_read_in_their_place() {
    let names: Vec<String> = (0..60).map(|number| format!("n{number}")).collect();
    let members: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 0.25)).collect();
    let readers = readers_for("n0", &members);
    let readers_at = |at| {
        let first_sources = members.iter().map(|(name, _)| {
            let mut sources = StoreSources::default();
            for reader in &readers {
                let source = Source::Peer(reader.clone());
                sources.record_failure(&source, ms(0), 1.0);
            }
            sources
                .ordered_sources(&ReaderPlan::new(name, &members), at)
                .remove(0)
        });
        first_sources
            .filter(|source| *source == Source::Store)
            .count()
    };
    assert_eq!(readers_at(ms(10)), 2 * readers.len());
    // Later the readers are asked again.
    assert_eq!(readers_at(ms(2_001)), readers.len());
}

#[test]
fn ordered_sources_alone_store_also_when_it_failed() {
    let mut sources = StoreSources::default();
    sources.record_failure(&Source::Store, ms(0), 1.0);
    assert_eq!(
        sources.ordered_sources(&ReaderPlan::new("a", &[("a", 0.25)]), ms(1)),
        [Source::Store]
    );
}

/// The store is unavailable for all, and everything is read every 300 ms for a minute. Without the
/// back-off, a follower asked the store each time: 1,670 calls in eight seconds on a site of 73
/// instances.
#[test]
fn ordered_sources_store_unavailable_follower_rarely_asks_it() {
    let (follower, reader) = follower_and_reader();
    let store_calls_by = |name: &str| {
        let mut sources = StoreSources::default();
        let mut calls = 0;
        for round in 0..200 {
            let now = ms(round * 300);
            for source in sources.ordered_sources(&plan(name), now) {
                calls += u32::from(source == Source::Store);
                sources.record_failure(&source, now, 0.5);
            }
        }
        calls
    };
    assert!(
        store_calls_by(follower) <= 30,
        "{}",
        store_calls_by(follower)
    );
    assert!(store_calls_by(reader) >= 80, "{}", store_calls_by(reader));
}

/// The store rejects the readers but serves others: a follower finds this out by itself.
#[test]
fn ordered_sources_store_available_again_follower_asks_it_within_three_seconds() {
    let (follower, _) = follower_and_reader();
    let mut sources = StoreSources::default();
    let mut now = ms(0);
    for _ in 0..100 {
        for source in sources.ordered_sources(&plan(follower), now) {
            sources.record_failure(&source, now, 1.0);
        }
        now += ms(300);
    }
    let within = (0..=10).map(|round| now + ms(round * 300));
    let mut orders = within.map(|at| sources.ordered_sources(&plan(follower), at));
    assert!(orders.any(|order| order.contains(&Source::Store)));
}

#[test]
fn record_success_store_first_pause_is_short_again() {
    let mut sources = StoreSources::default();
    let order = |sources: &StoreSources, now| sources.ordered_sources(&plan("a"), now);
    for round in 0..5 {
        sources.record_failure(&Source::Store, ms(round), 1.0);
    }
    sources.record_success(&Source::Store);
    sources.record_failure(&Source::Store, ms(100), 1.0);
    assert!(order(&sources, ms(1_101)).contains(&Source::Store));
}

#[test]
fn backoff_pauses_double_to_the_maximum_and_reset() {
    let mut backoff = Backoff::new(ms(100), ms(350));
    let pauses: Vec<Duration> = (0..4).map(|_| backoff.next_pause(1.0)).collect();
    assert_eq!(pauses, [ms(100), ms(200), ms(350), ms(350)]);
    assert_eq!(backoff.next_pause(0.0), ms(175));
    backoff.reset();
    assert_eq!(backoff.next_pause(1.0), ms(100));
}

const LARGE: usize = 295;

fn large_names() -> Vec<String> {
    (0..LARGE).map(|number| format!("n{number}")).collect()
}

/// Returns the number of calls to the store by 295 members that read every 300 ms, where `fails`
/// selects the sources that fail.
fn calls_to_store(rounds: u64, fails: impl Fn(&Source) -> bool) -> usize {
    let names = large_names();
    let members: Vec<MemberCapacity> = names.iter().map(|name| (name.as_str(), 0.12)).collect();
    let mut calls = 0;
    for name in &names {
        let plan = ReaderPlan::new(name, &members);
        let mut sources = StoreSources::default();
        for round in 0..rounds {
            let now = ms(round * 300);
            for source in sources.ordered_sources(&plan, now) {
                calls += usize::from(source == Source::Store);
                if !fails(&source) {
                    sources.record_success(&source);
                    break;
                }
                sources.record_failure(&source, now, 0.5);
            }
        }
    }
    calls
}

/// Without failures at 295 members, three of them access the store, however many others there are.
#[test]
fn ordered_sources_large_site_three_members_ask_the_store() {
    assert_eq!(calls_to_store(10, |_| false), 3 * 10);
}

/// The store is unavailable for six seconds at a site of 295 members: those that are neither reader
/// nor relay must not all turn to it.
#[test]
fn ordered_sources_large_site_store_unavailable_few_calls() {
    let calls = calls_to_store(20, |_| true);
    assert!(calls <= 3 * LARGE, "{calls}");
}

/// A member cannot reach any relay or reader, but can reach the store: it asks the store within a
/// few reads.
#[test]
fn ordered_sources_large_site_peers_unreachable_store_asked() {
    let names = large_names();
    let members: Vec<MemberCapacity> = names.iter().map(|name| (name.as_str(), 0.12)).collect();
    let plans = names.iter().map(|name| ReaderPlan::new(name, &members));
    for plan in plans.filter(ReaderPlan::reads_through_relays) {
        let mut sources = StoreSources::default();
        let is_asked = (0..8).any(|round| {
            let now = ms(round * 200);
            let order = sources.ordered_sources(&plan, now);
            for source in &order {
                sources.record_failure(source, now, 1.0);
            }
            order.contains(&Source::Store)
        });
        assert!(is_asked, "{}", plan.own_name);
    }
}
