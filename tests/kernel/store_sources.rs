//! Where an instance reads what the store holds, and how it leaves the store alone while it is away.

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

/// The readers that ask the store, in the order in which a member asks them.
fn readers_for(member: &str, members: &[MemberCapacity]) -> Vec<String> {
    ReaderPlan::new(member, members).groups.remove(0)
}

/// A member that reads through others, and one that reads at the store.
fn follower_and_reader() -> (&'static str, &'static str) {
    let readers = readers_for("a", &MEMBERS);
    let names = MEMBERS.map(|(name, _)| name);
    let (readers, others): (Vec<&str>, Vec<&str>) = names
        .iter()
        .partition(|name| readers.iter().any(|reader| reader == *name));
    (others[0], readers[0])
}

#[test]
fn in_order_follower_readers_then_store() {
    let (follower, _) = follower_and_reader();
    let sources = StoreSources::default().in_order(&plan(follower), ms(0));
    assert_eq!(sources.len(), 3);
    assert!(matches!(sources[0], Source::Peer(_)));
    assert!(matches!(sources[1], Source::Peer(_)));
    assert_eq!(sources[2], Source::Store);
}

fn plan(member: &str) -> ReaderPlan {
    ReaderPlan::new(member, &MEMBERS)
}

/// Half of the readers are turned away by the store, the others are not: a follower goes on with one of these, without a call to the
/// store. Before, it went to the store itself: 3,400 calls in twelve seconds on a site of 85 instances.
#[test]
fn in_order_own_reader_out_of_touch_other_reader_next() {
    let (follower, _) = follower_and_reader();
    let mut sources = StoreSources::default();
    let order = sources.in_order(&plan(follower), ms(0));
    sources.failed(&order[0], ms(0), 1.0);
    sources.answered(&order[1]);
    assert_eq!(sources.in_order(&plan(follower), ms(10)), order[1..]);
    // The reader is tried again later, at growing distances.
    assert_eq!(sources.in_order(&plan(follower), ms(2_001)), order);
    sources.failed(&order[0], ms(2_001), 1.0);
    assert_eq!(sources.in_order(&plan(follower), ms(5_000)), order[1..]);
}

/// All readers are turned away while the store serves others: as many members read in their place, and the others ask these. Before, each of
/// them went to the store itself.
#[test]
fn in_order_readers_out_of_touch_a_few_read_in_their_place() {
    let names: Vec<String> = (0..60).map(|number| format!("n{number}")).collect();
    let members: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 0.25)).collect();
    let readers = readers_for("n0", &members);
    let at_store = |at| {
        let first_sources = members.iter().map(|(name, _)| {
            let mut sources = StoreSources::default();
            for reader in &readers {
                let source = Source::Peer(reader.clone());
                sources.failed(&source, ms(0), 1.0);
            }
            sources
                .in_order(&ReaderPlan::new(name, &members), at)
                .remove(0)
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
    let mut sources = StoreSources::default();
    sources.failed(&Source::Store, ms(0), 1.0);
    assert_eq!(
        sources.in_order(&ReaderPlan::new("a", &[("a", 0.25)]), ms(1)),
        [Source::Store]
    );
}

/// The store is away for all, and everything is asked again every 300 ms for a minute. Before this mechanism a follower asked the store
/// each time: on a site of 73 instances 1,670 calls in eight seconds.
#[test]
fn in_order_store_away_follower_seldom_asks_it() {
    let (follower, reader) = follower_and_reader();
    let asked_of = |name: &str| {
        let mut sources = StoreSources::default();
        let mut asked = 0;
        for round in 0..200 {
            let now = ms(round * 300);
            for source in sources.in_order(&plan(name), now) {
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
    let mut sources = StoreSources::default();
    let mut now = ms(0);
    for _ in 0..100 {
        for source in sources.in_order(&plan(follower), now) {
            sources.failed(&source, now, 1.0);
        }
        now += ms(300);
    }
    let within = (0..=10).map(|round| now + ms(round * 300));
    let mut asks = within.map(|at| sources.in_order(&plan(follower), at));
    assert!(asks.any(|order| order.contains(&Source::Store)));
}

#[test]
fn answered_store_first_pause_is_short_again() {
    let mut sources = StoreSources::default();
    let order = |sources: &StoreSources, now| sources.in_order(&plan("a"), now);
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

/// The sources of each of 295 members after rounds of reads, one every 300 ms, at which `fails` names the sources that fail.
fn calls_to_store(rounds: u64, fails: impl Fn(&Source) -> bool) -> usize {
    let names = large_names();
    let members: Vec<MemberCapacity> = names.iter().map(|name| (name.as_str(), 0.12)).collect();
    let mut calls = 0;
    for name in &names {
        let plan = ReaderPlan::new(name, &members);
        let mut sources = StoreSources::default();
        for round in 0..rounds {
            let now = ms(round * 300);
            for source in sources.in_order(&plan, now) {
                calls += usize::from(source == Source::Store);
                if !fails(&source) {
                    sources.answered(&source);
                    break;
                }
                sources.failed(&source, now, 0.5);
            }
        }
    }
    calls
}

/// With 295 members all is well: three of them ask the store, whatever the number of the others.
#[test]
fn in_order_large_site_three_members_ask_the_store() {
    assert_eq!(calls_to_store(10, |_| false), 3 * 10);
}

/// The store is away for six seconds at a site of 295 members: those that are neither reader nor relay may not each turn to it.
#[test]
fn in_order_large_site_store_away_few_calls() {
    let calls = calls_to_store(20, |_| true);
    assert!(calls <= 3 * LARGE, "{calls}");
}

/// All relays and readers are cut off from a member, the store is not: it asks the store within a few reads.
#[test]
fn in_order_large_site_peers_gone_store_asked() {
    let names = large_names();
    let members: Vec<MemberCapacity> = names.iter().map(|name| (name.as_str(), 0.12)).collect();
    let plans = names.iter().map(|name| ReaderPlan::new(name, &members));
    for plan in plans.filter(ReaderPlan::reads_through_relays) {
        let mut sources = StoreSources::default();
        let asked = (0..8).any(|round| {
            let now = ms(round * 200);
            let order = sources.in_order(&plan, now);
            for source in &order {
                sources.failed(source, now, 1.0);
            }
            order.contains(&Source::Store)
        });
        assert!(asked, "{}", plan.own_name);
    }
}
