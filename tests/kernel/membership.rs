//! Membership, departures and leases on a manual clock.

use std::collections::BTreeSet;
use std::time::Duration;

use larkwick::kernel::clock::{Clock, ManualClock};
use larkwick::kernel::departures::Departures;
use larkwick::kernel::gossip::{DISTANT_PEERS, MONITORED_PEERS};
use larkwick::kernel::lease::{LeaseKeeper, LeaseStep, LeaseTable, LeaseTimes};
use larkwick::kernel::membership::{ListedPeer, Members, PEER_HEARTBEAT_TIMEOUT, rendezvous};
use uuid::Uuid;

use super::hall::{Hall, status};

/// The required bound of a few seconds for a departing endpoint or instance.
const DEPARTURE_BOUND: Duration = Duration::from_secs(3);

fn live(members: &Members, clock: &ManualClock) -> Vec<String> {
    let live = members.live("h", clock.now());
    live.map(|peer| peer.status.incarnation.name.clone())
        .collect()
}

#[test]
fn members_peer_without_heartbeats_not_live_within_bound() {
    let clock = ManualClock::default();
    let mut members = Members::default();
    members.record_heartbeat(status("i1", 1, false), clock.now());
    clock.advance(PEER_HEARTBEAT_TIMEOUT.saturating_sub(Duration::from_millis(1)));
    assert_eq!(live(&members, &clock), ["i1"]);
    clock.advance(Duration::from_millis(1));
    assert!(live(&members, &clock).is_empty());
    assert!(PEER_HEARTBEAT_TIMEOUT <= DEPARTURE_BOUND);
}

#[test]
fn members_list_never_brings_a_departed_incarnation_back() {
    let clock = ManualClock::default();
    let mut members = Members::default();
    members.record_heartbeat(status("i1", 1, true), clock.now());
    assert!(
        live(&members, &clock).is_empty(),
        "from its first heartbeat on"
    );
    let listed = ListedPeer {
        status: status("i1", 1, false),
    };
    for _ in 0..100 {
        clock.advance(Duration::from_secs(1));
        members.apply_list(std::slice::from_ref(&listed), "i0", clock.now());
        members.record_heartbeat(status("i1", 1, false), clock.now());
        assert!(live(&members, &clock).is_empty());
    }
    members.record_heartbeat(status("i1", 2, false), clock.now());
    assert_eq!(
        live(&members, &clock),
        ["i1"],
        "another incarnation may join"
    );
}

/// The list names a member only once. An instance used to remove all members from which it receives
/// no heartbeats itself when the list was next read after ten minutes.
#[test]
fn listed_after_ten_minutes_members_without_heartbeats_stay_known() {
    let clock = ManualClock::default();
    let mut members = Members::default();
    let listed = |id: u128| ListedPeer {
        status: status(&format!("i{id}"), id << 64, false),
    };
    let all: Vec<ListedPeer> = (1..=60).map(listed).collect();
    members.apply_list(&all, "i0", clock.now());
    members.heartbeat_targets(&status("i0", 61 << 64, false).incarnation, "h", clock.now());
    clock.advance(Duration::from_mins(11));
    members.apply_list(&[listed(61)], "i0", clock.now());
    assert_eq!(live(&members, &clock).len(), 61);
}

#[test]
fn members_isolated_without_heartbeats_from_most_peers() {
    let clock = ManualClock::default();
    let mut members = Members::default();
    for id in 1..=4 {
        members.record_heartbeat(status(&format!("i{id}"), id, false), clock.now());
    }
    assert!(!members.is_isolated("i0", "h", clock.now()));
    clock.advance(Duration::from_secs(5));
    members.record_heartbeat(status("i1", 1, false), clock.now());
    assert!(members.is_isolated("i0", "h", clock.now()));
    members.record_heartbeat(status("i2", 2, false), clock.now());
    assert!(!members.is_isolated("i0", "h", clock.now()));
}

#[test]
fn departures_recent_ones_forwarded_old_ones_kept() {
    let mut departures = Departures::default();
    let gone = status("e1", 1, true).incarnation;
    assert!(departures.record(&gone, Duration::from_secs(10)));
    assert!(
        !departures.record(&gone, Duration::from_secs(50)),
        "already known"
    );
    assert_eq!(
        departures.recorded_since(Duration::from_secs(10)).count(),
        1
    );
    assert_eq!(
        departures.recorded_since(Duration::from_secs(11)).count(),
        0
    );
    departures.expire(Duration::from_hours(1));
    assert!(departures.contains(&gone));
}

#[test]
fn rendezvous_moves_only_keys_of_the_lost_member() {
    let members = ["a", "b", "c", "d"];
    let without_c: Vec<&str> = members
        .iter()
        .copied()
        .filter(|name| *name != "c")
        .collect();
    for key in 0..200 {
        let key = format!("group {key}");
        let before = rendezvous(&key, members.iter().copied()).expect("member");
        let after = rendezvous(&key, without_c.iter().copied()).expect("member");
        assert!(before == "c" || before == after, "{key}: {before} {after}");
    }
}

const TIMES: LeaseTimes = LeaseTimes {
    ttl: Duration::from_secs(10),
    order_timeout: Duration::from_secs(3),
};

fn keeper(name: &str) -> LeaseKeeper {
    LeaseKeeper::new("h", name, Uuid::nil(), TIMES)
}

#[test]
fn lease_proof_measured_from_before_the_append() {
    let mut keeper = keeper("p");
    let mut log = LeaseTable::default();
    let LeaseStep::Append(claim) = keeper.step(Duration::from_secs(1), Uuid::from_u128(1)) else {
        panic!("the lease is not held");
    };
    assert!(log.apply(0, &claim));
    // The reply was lost, and the claim is only read nine seconds later.
    keeper.observe(log.held("h"), Duration::from_secs(10));
    assert!(keeper.proof(Duration::from_millis(10_999)).is_some());
    assert!(keeper.proof(Duration::from_secs(11)).is_none());
}

#[test]
fn lease_successor_waits_ttl_and_orders_from_when_it_saw_the_claim() {
    let (mut holder, mut successor) = (keeper("p"), keeper("q"));
    let mut log = LeaseTable::default();
    let LeaseStep::Append(claim) = holder.step(Duration::ZERO, Uuid::from_u128(1)) else {
        panic!("the lease is not held");
    };
    log.apply(0, &claim);
    successor.observe(log.held("h"), Duration::from_secs(1));
    assert_eq!(
        successor.step(Duration::from_millis(13_999), Uuid::from_u128(2)),
        LeaseStep::Wait
    );
    let step = successor.step(Duration::from_secs(14), Uuid::from_u128(3));
    assert!(matches!(step, LeaseStep::Append(claim) if claim.after_fence == 1));
}

#[test]
fn lease_race_first_in_the_log_wins() {
    let mut log = LeaseTable::default();
    let mut keepers = [keeper("p"), keeper("q")];
    let claims: Vec<_> = keepers
        .iter_mut()
        .enumerate()
        .filter_map(|(index, keeper)| {
            match keeper.step(Duration::ZERO, Uuid::from_u128(index as u128)) {
                LeaseStep::Append(claim) => Some(claim),
                LeaseStep::Wait => None,
            }
        })
        .collect();
    assert!(log.apply(0, &claims[1]));
    assert!(!log.apply(1, &claims[0]));
    for keeper in &mut keepers {
        keeper.observe(log.held("h"), Duration::from_secs(1));
    }
    let holds = keepers.map(|keeper| keeper.proof(Duration::from_secs(1)).is_some());
    assert_eq!(holds, [false, true]);
}

#[test]
fn members_hall_of_110_live_peers_never_unreachable() {
    let mut hall = Hall::new();
    for round in 0..120 {
        hall.round();
        let now = hall.clock.now();
        let fewest = hall
            .views
            .iter()
            .map(|view| view.live("h", now).count())
            .min();
        assert_eq!(fewest, Some(109), "round {round}");
    }
}

#[test]
fn members_hall_of_110_dead_peer_unreachable_everywhere_within_bound() {
    /// Measured from the last heartbeat: two seconds until the peer is reported, the rest until all
    /// instances know.
    const BOUND: Duration = Duration::from_secs(6);
    let mut hall = Hall::new();
    for _ in 0..20 {
        hall.round();
    }
    hall.lose([7]);
    let died = hall.clock.now();
    while hall.live_in_views("i7") > 0 {
        hall.round();
        assert!(
            hall.clock.now().saturating_sub(died) <= BOUND,
            "{}",
            hall.live_in_views("i7")
        );
    }
    println!(
        "unreachable everywhere after {:?}",
        hall.clock.now().saturating_sub(died)
    );
    for _ in 0..40 {
        hall.round();
        assert_eq!(
            hall.live_in_views("i7"),
            0,
            "it must not count as live again"
        );
    }
}

#[test]
fn members_hall_of_110_one_link_cut_no_peer_unreachable() {
    let mut hall = Hall::new();
    let monitored = hall.monitored_by_first();
    let other = hall.index_of(&monitored);
    hall.cut(move |from, to| (from, to) == (0, other));
    for _ in 0..60 {
        hall.round();
    }
    // Only the instance behind the cut link reports it; the others receive its heartbeats and
    // refute the report.
    assert_eq!(hall.live_in_views(&monitored), 109);
}

/// If the distant peers changed in every round, each of 295 instances would within minutes have
/// sent heartbeats to 294 others, each over its own connection.
#[test]
fn distant_site_of_295_for_a_minute_few_connections() {
    let mut hall = Hall::of(295);
    let mut targets: Vec<BTreeSet<usize>> = vec![BTreeSet::new(); 295];
    for _ in 0..120 {
        for (from, targets) in targets.iter_mut().enumerate() {
            targets.extend(hall.targets_of(from));
        }
        // All peers answer here; the number of heartbeats to peers that do not is bounded by the
        // tests of losses.
        hall.round();
    }
    let rotations = 3;
    let most = targets.iter().map(BTreeSet::len).max();
    assert!(
        most <= Some(MONITORED_PEERS + rotations * DISTANT_PEERS),
        "{most:?}"
    );
}

#[test]
fn members_site_of_295_dead_peer_unreachable_everywhere_within_bound() {
    const BOUND: Duration = Duration::from_secs(6);
    let mut hall = Hall::of(295);
    for _ in 0..6 {
        hall.round();
    }
    hall.lose([7]);
    let died = hall.clock.now();
    while hall.live_in_views("i7") > 0 {
        hall.round();
        let since = hall.clock.now().saturating_sub(died);
        assert!(since <= BOUND, "{}", hall.live_in_views("i7"));
    }
}
