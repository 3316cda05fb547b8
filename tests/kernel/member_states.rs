//! How updates about unreachable members spread at the design size, and what they cost.

use std::time::Duration;

use larkwick::kernel::member_states::{HEARTBEAT_UPDATES_MAX, MemberState, MemberStates};
use larkwick::kernel::membership::rendezvous_weight;

const MEMBERS: usize = 2_300;
/// Heartbeats that an instance sends per round if most peers answer: to four monitored peers and
/// two distant ones.
const HEARTBEATS_PER_ROUND: usize = 6;
/// Maximum size of one member's state in a heartbeat: eight bytes of id, two for the tag of each of
/// the three fields and the length, and three for the refutations.
const UPDATE_BYTES_MAX: usize = 20;

/// Rounds between two full syncs of an instance: `FULL_SYNC_INTERVAL` with two heartbeats per
/// second.
const FULL_SYNC_ROUNDS: usize = 10;

/// Simulates heartbeat rounds until every instance knows all unreachable members, and returns the
/// number of rounds.
fn rounds_until_all_know(members: usize, unreachable: usize) -> usize {
    const ROUNDS_MAX: usize = 60;
    let mut views: Vec<MemberStates> = (0..members).map(|_| MemberStates::default()).collect();
    let reachable = unreachable..members;
    // Each one is detected by one instance, spread over all instances.
    for member in 0..unreachable {
        let reporter = unreachable + member * 7 % (members - unreachable);
        views[reporter].mark_unreachable(member as u64, Duration::ZERO);
    }
    for round in 1..=ROUNDS_MAX {
        for from in reachable.clone() {
            for heartbeat in 0..HEARTBEATS_PER_ROUND {
                // Most receivers are on the ring, but some of the distant ones are unreachable.
                let key = format!("{round}/{heartbeat}");
                let hash = rendezvous_weight(&key, &from.to_string());
                let to = usize::try_from(hash % members as u64).expect("an index");
                let updates = views[from].next_updates(members);
                assert!(updates.len() <= HEARTBEAT_UPDATES_MAX);
                if to < unreachable {
                    continue;
                }
                for state in updates {
                    views[to].merge(state, Duration::ZERO);
                }
                for state in views[to].next_updates(members) {
                    views[from].merge(state, Duration::ZERO);
                }
            }
        }
        for from in reachable.clone() {
            let sync_peer = unreachable + (from * 31 + round) % (members - unreachable);
            if (from + round) % FULL_SYNC_ROUNDS == 0 {
                let full: Vec<MemberState> = views[sync_peer].unreachable().collect();
                for state in full {
                    views[from].merge(state, Duration::ZERO);
                }
            }
        }
        let is_complete = |view: &MemberStates| view.unreachable().count() == unreachable;
        if views[unreachable..].iter().all(is_complete) {
            return round;
        }
    }
    panic!("some instances lack updates after {ROUNDS_MAX} rounds");
}

#[test]
fn updates_third_of_2300_unreachable_known_to_all_within_fifteen_seconds() {
    let rounds = rounds_until_all_know(MEMBERS, 805);
    println!("805 of 2,300: {rounds} rounds of 500 ms");
    assert!(rounds <= 30, "{rounds} rounds");
}

#[test]
fn updates_one_of_2300_unreachable_known_to_all_within_three_seconds() {
    let rounds = rounds_until_all_know(MEMBERS, 1);
    println!("1 of 2,300: {rounds} rounds of 500 ms");
    assert!(rounds <= 6, "{rounds} rounds");
}

#[test]
fn updates_third_of_300_unreachable_known_to_all_within_four_seconds() {
    let rounds = rounds_until_all_know(300, 105);
    println!("105 of 300: {rounds} rounds of 500 ms");
    assert!(rounds <= 8, "{rounds} rounds");
}

/// The size of a heartbeat is bounded, however many members become unreachable at once.
#[test]
fn updates_all_of_2300_unreachable_heartbeat_stays_short() {
    const HEARTBEAT_BYTES_MAX: usize = 700;
    let mut states = MemberStates::default();
    for member in 0..MEMBERS {
        states.mark_unreachable(member as u64, Duration::ZERO);
    }
    let mut sent = 0;
    loop {
        let updates = states.next_updates(MEMBERS);
        if updates.is_empty() {
            break;
        }
        assert!(updates.len() * UPDATE_BYTES_MAX <= HEARTBEAT_BYTES_MAX);
        sent += updates.len();
    }
    // Each update is sent three times for each of twelve doublings, and then no longer.
    assert_eq!(sent, MEMBERS * 36);
}
