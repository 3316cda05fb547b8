//! Crash suspects of prompt segments: which of several is taken for the cause of the same crashes.

use std::time::Duration;

use larkwick::kernel::clock::Clock;
use larkwick::kernel::crash_suspects::{
    CrashSuspects, EndpointCrash, STORED_MAX, SuspectChange, SuspectReport, UPDATES_MAX, Verdict,
    software_id,
};
use larkwick::kernel::fingerprint::{Fingerprint, FingerprintHead, HeadHash};
use larkwick::kernel::prompt_segments::{SEGMENTS_MAX, SegmentId};
use proptest::prelude::*;

use super::hall::{Hall, PERIOD};

const SECOND: Duration = Duration::from_secs(1);

fn segment(id: u64) -> Fingerprint {
    HeadHash::of_segments("llm").with_segment(SegmentId(id))
}

fn request(body: &str) -> Fingerprint {
    let head = FingerprintHead {
        method: "POST",
        host: "site.example",
        path: "/chat/1",
        account: Some("account-1"),
        body_bytes: body.len(),
    };
    head.hash().with_body(body.as_bytes())
}

fn software() -> u64 {
    software_id("llm", "v1")
}

fn crash(endpoint: u64) -> EndpointCrash {
    EndpointCrash {
        endpoint,
        software: software(),
        at_start: true,
    }
}

/// Records a crash under a request with these fingerprints.
fn record(suspects: &mut CrashSuspects, fingerprints: &[Fingerprint], endpoint: u64) -> bool {
    let changes = fingerprints
        .iter()
        .map(|one| suspects.record_crash(*one, crash(endpoint), SECOND));
    // All of them are recorded, whatever the first one changed.
    let changes: Vec<SuspectChange> = changes.collect();
    changes.contains(&SuspectChange::NowRefused)
}

fn is_refused(suspects: &CrashSuspects, fingerprints: &[Fingerprint]) -> bool {
    suspects.verdict(fingerprints, SECOND) == Verdict::Refused
}

#[test]
fn fingerprint_segment_round_trip() {
    assert_eq!(segment(0xbad).segment(), Some(SegmentId(0xbad)));
    assert_eq!(request("x").segment(), None);
    let other_service = HeadHash::of_segments("other").with_segment(SegmentId(0xbad));
    assert_ne!(other_service, segment(0xbad));
    assert_eq!(segment(0xbad).to_string().parse(), Ok(segment(0xbad)));
}

/// A sound segment that was finished before is not refused beside a crashing one.
#[test]
fn verdict_finished_segment_in_each_crashing_request_not_refused() {
    let (sound, bad) = (segment(1), segment(2));
    let mut suspects = CrashSuspects::default();
    suspects.record_survival(sound, software(), SECOND);
    for endpoint in 1..=9 {
        let own = request(&format!("request {endpoint}"));
        record(&mut suspects, &[sound, bad, own], endpoint);
    }
    assert!(is_refused(&suspects, &[bad]));
    assert!(is_refused(&suspects, &[sound, bad]));
    assert!(!is_refused(&suspects, &[sound, segment(3)]));
}

/// Nothing was finished before: the two cannot be told apart until a request has only one of them.
#[test]
fn verdict_same_crashes_refused_only_together_until_one_differs() {
    let (sound, bad) = (segment(1), segment(2));
    let mut suspects = CrashSuspects::default();
    for endpoint in 1..=3 {
        record(&mut suspects, &[sound, bad], endpoint);
    }
    assert!(is_refused(&suspects, &[sound, bad]));
    assert!(!is_refused(&suspects, &[sound, segment(3)]));
    assert!(!is_refused(&suspects, &[bad, segment(3)]));
    assert!(record(&mut suspects, &[bad, segment(3)], 4));
    assert!(is_refused(&suspects, &[bad]));
    assert!(!is_refused(&suspects, &[sound]));
}

/// One request that comes again and again does not get its segments refused; once others with the
/// segment crash endpoints too, the segment is the cause.
#[test]
fn verdict_repeated_request_refused_alone() {
    let bad = segment(2);
    let repeated = request("again");
    let mut suspects = CrashSuspects::default();
    for endpoint in 1..=3 {
        record(&mut suspects, &[bad, repeated], endpoint);
    }
    assert!(is_refused(&suspects, &[bad, repeated]));
    assert!(!is_refused(&suspects, &[bad, request("another")]));
    record(&mut suspects, &[bad, request("another")], 4);
    assert!(is_refused(&suspects, &[bad, request("a third")]));
}

/// Requests that are each sent three times do not hide the segment that they share.
#[test]
fn verdict_each_request_repeated_segment_found_all_the_same() {
    let bad = segment(2);
    let mut suspects = CrashSuspects::default();
    let mut crashed = 0;
    for endpoint in 1..=12 {
        let fingerprints = [bad, request(&format!("request {}", endpoint / 3))];
        if !is_refused(&suspects, &fingerprints) {
            record(&mut suspects, &fingerprints, endpoint);
            crashed += 1;
        }
    }
    assert!(crashed <= 4, "{crashed} endpoints");
}

/// A segment that was finished long ago and begins to crash endpoints is refused after six.
#[test]
fn verdict_finished_segment_begins_to_crash_refused_after_six() {
    let once_sound = segment(1);
    let mut suspects = CrashSuspects::default();
    suspects.record_survival(once_sound, software(), SECOND);
    for endpoint in 1..=5 {
        assert!(!record(&mut suspects, &[once_sound], endpoint));
    }
    assert!(record(&mut suspects, &[once_sound], 6));
    assert!(is_refused(&suspects, &[once_sound]));
}

/// What another software version finished says nothing about this one.
#[test]
fn verdict_finished_on_other_software_refused_after_three() {
    let bad = segment(1);
    let mut suspects = CrashSuspects::default();
    let older = software_id("llm", "v0");
    suspects.record_survival(bad, older, SECOND);
    for endpoint in 1..=3 {
        record(&mut suspects, &[bad], endpoint);
    }
    assert!(is_refused(&suspects, &[bad]));
    assert!(suspects.has_finished_on(&[bad], older, SECOND));
    assert!(!suspects.has_finished_on(&[bad], software(), SECOND));
}

/// Endpoints that crash for their own reasons cut off what is served everywhere, and what is served
/// is finished elsewhere.
#[test]
fn record_survival_between_crashes_common_segment_never_refused() {
    let common = segment(1);
    let mut suspects = CrashSuspects::default();
    for endpoint in 1..=30 {
        record(&mut suspects, &[common], endpoint);
        if endpoint % 3 == 0 {
            suspects.record_survival(common, software(), SECOND);
        }
        let verdict = suspects.verdict(&[common], SECOND);
        assert!(endpoint < 3 || verdict != Verdict::Refused, "{endpoint}");
    }
}

/// A peer that has finished the segment tells the one that suspects it.
#[test]
fn merge_segment_finished_here_tells_its_good_name() {
    let sound = segment(1);
    let mut suspecting = CrashSuspects::default();
    for endpoint in 1..=3 {
        record(&mut suspecting, &[sound], endpoint);
    }
    assert!(is_refused(&suspecting, &[sound]));
    let mut peer = CrashSuspects::default();
    peer.record_survival(sound, software(), SECOND);
    let told = suspecting.recent_updates(SECOND);
    assert_eq!(peer.merge(&told[0], SECOND), SuspectChange::Updated);
    assert!(!is_refused(&peer, &[sound]));
    suspecting.merge(&peer.recent_updates(SECOND)[0], SECOND);
    assert!(!is_refused(&suspecting, &[sound]));
}

/// A caller names ever new segments beside one that crashes endpoints. The ledger, the messages and
/// the store stay bounded, and the real one is in each of them.
#[test]
fn record_crash_ever_new_segments_real_one_found_and_kept() {
    let bad = segment(u64::MAX);
    let mut suspects = CrashSuspects::default();
    let mut next = 0;
    for endpoint in 1..=1_000 {
        let mut named: Vec<Fingerprint> = Vec::new();
        named.extend((1..SEGMENTS_MAX).map(|_| {
            next += 1;
            segment(next)
        }));
        named.push(bad);
        if !is_refused(&suspects, &named) {
            record(&mut suspects, &named, endpoint);
            assert!(endpoint <= 5, "users expect that five crashes suffice");
        }
        // Each of the others crashes two endpoints in requests without the real one.
        for other in &named[..4] {
            suspects.record_crash(*other, crash(1_000 + 2 * endpoint), SECOND);
            suspects.record_crash(*other, crash(1_001 + 2 * endpoint), SECOND);
        }
    }
    assert!(suspects.len() <= 4_096, "{}", suspects.len());
    let told = suspects.recent_updates(SECOND);
    assert_eq!(told.len(), UPDATES_MAX);
    assert!(told.iter().any(|report| report.fingerprint == bad));
    let mut stored = 0;
    for report in suspects.due_for_store(false, SECOND) {
        suspects.mark_stored(&report);
        stored += 1;
    }
    assert!(stored <= STORED_MAX, "{stored}");
    // One that is found after the store is nearly full has a place there, too.
    let late = segment(u64::MAX - 1);
    for endpoint in 5_000..5_003 {
        record(&mut suspects, &[late], endpoint);
    }
    let due = suspects.due_for_store(false, SECOND);
    assert!(due.iter().any(|report| report.fingerprint == late));
}

#[test]
fn release_releases_what_is_refused_with_it_and_in_its_place() {
    let (one, other) = (segment(1), segment(2));
    let mut suspects = CrashSuspects::default();
    for endpoint in 1..=3 {
        record(&mut suspects, &[one, other], endpoint);
    }
    assert!(suspects.release(one, SECOND));
    assert!(!is_refused(&suspects, &[one, other]));
    for endpoint in 1..=4 {
        record(&mut suspects, &[other, one], 10 + endpoint);
    }
    record(&mut suspects, &[other], 20);
    assert!(is_refused(&suspects, &[other]));
    assert!(suspects.release(other, SECOND));
    assert!(!is_refused(&suspects, &[other]));
    assert!(!is_refused(&suspects, &[one]));
}

#[test]
fn verdict_segment_two_hours_after_last_crash_allowed() {
    let bad = segment(1);
    let mut suspects = CrashSuspects::default();
    for endpoint in 1..=3 {
        record(&mut suspects, &[bad], endpoint);
    }
    let later = Duration::from_hours(2);
    assert_eq!(suspects.verdict(&[bad], later), Verdict::Allowed);
    suspects.expire(later);
    assert!(suspects.is_empty() && suspects.culprits().is_empty());
}

/// A segment of all requests that was refused in error would never be finished again: it is tried
/// after a pause, twice at most, and cleared by what survives.
#[test]
fn begin_trial_segment_on_crashed_software_after_pause_only() {
    let common = segment(1);
    let mut suspects = CrashSuspects::default();
    for endpoint in 1..=8 {
        record(&mut suspects, &[common], endpoint);
    }
    let minute = Duration::from_mins(1);
    assert!(!suspects.begin_trial(&[common], software(), minute));
    assert!(suspects.begin_trial(&[common], software(), minute * 6));
    assert!(!suspects.begin_trial(&[common], software(), minute * 6));
    assert!(suspects.begin_trial(&[common], software(), minute * 12));
    assert!(!suspects.begin_trial(&[common], software(), minute * 24));
    suspects.record_survival(common, software(), minute * 24);
    assert_eq!(suspects.verdict(&[common], minute * 24), Verdict::Allowed);
    let whole = request("again");
    for endpoint in 1..=8 {
        record(&mut suspects, &[whole], endpoint);
    }
    assert!(!suspects.begin_trial(&[whole], software(), minute * 6));
}

/// A segment that is cut off and finished all the time costs no call to the store each time.
#[test]
fn due_for_store_innocent_segment_not_written_again() {
    let common = segment(1);
    let mut suspects = CrashSuspects::default();
    for endpoint in 1..=2 {
        record(&mut suspects, &[common], endpoint);
    }
    let mut written = 0;
    for endpoint in 10..30 {
        for report in suspects.due_for_store(true, SECOND) {
            suspects.mark_stored(&report);
            written += 1;
        }
        suspects.record_survival(common, software(), SECOND);
        record(&mut suspects, &[common], endpoint);
    }
    assert_eq!(written, 2, "suspected, and then innocent");
}

proptest! {
    /// Instances that receive the same reports refuse the same, in any order and with duplicates.
    #[test]
    fn merge_any_order_same_culprits(
        crashes in prop::collection::vec((prop::collection::vec(0..5_u64, 1..4), 0..40_u64, any::<bool>()), 1..40),
        finished in prop::collection::vec(0..5_u64, 0..3),
        offset in any::<usize>(),
    ) {
        let reports: Vec<SuspectReport> = crashes
            .iter()
            .flat_map(|(segments, endpoint, was_finished)| {
                let mut one = CrashSuspects::default();
                for id in &finished {
                    if *was_finished {
                        one.record_survival(segment(*id), software(), SECOND);
                    }
                }
                let fingerprints: Vec<_> = segments.iter().map(|id| segment(*id)).collect();
                record(&mut one, &fingerprints, *endpoint);
                one.recent_updates(SECOND)
            })
            .collect();
        let mut one = CrashSuspects::default();
        for report in &reports {
            one.merge(report, SECOND);
        }
        let mut shuffled = reports.clone();
        shuffled.extend(reports.iter().cloned());
        let count = shuffled.len();
        shuffled.rotate_left(offset % count);
        shuffled.reverse();
        let mut other = CrashSuspects::default();
        for report in &shuffled {
            other.merge(report, SECOND);
        }
        prop_assert_eq!(one.culprits(), other.culprits());
    }
}

/// Crashes at a large site, each at another instance and beside generations of 24 others that are
/// cut off with it, by heartbeats alone. All refuse the segment and nothing else of what they share
/// within two `touch-ms` (6 s) of the fifth crash.
#[test]
fn news_site_of_300_beside_victims_segment_refused_by_all() {
    const INSTANCES: usize = 300;
    const CRASHES: u64 = 5;
    const VICTIMS: u64 = 24;
    let (sound, bad) = (segment(1), segment(2));
    let mut hall = Hall::of(INSTANCES);
    hall.run_for(SECOND);
    let mut all: Vec<CrashSuspects> = (0..INSTANCES).map(|_| CrashSuspects::default()).collect();
    let now = hall.clock.now();
    all[INSTANCES - 1].record_survival(sound, software(), now);
    let mut victim = 0;
    for endpoint in 1..=CRASHES {
        let at = usize::try_from(endpoint).expect("a small number") * 50;
        let own = request(&format!("request {endpoint}"));
        for fingerprint in [sound, bad, own] {
            all[at].record_crash(fingerprint, crash(endpoint), now);
        }
        for _ in 0..VICTIMS {
            victim += 1;
            let at = usize::try_from(victim).expect("a small number") * 7 % INSTANCES;
            for id in [
                sound,
                segment(1_000 + victim),
                request(&format!("victim {victim}")),
            ] {
                all[at].record_crash(id, crash(endpoint), now);
            }
        }
    }
    let seen_at = now;
    let is_known = |one: &CrashSuspects, now| {
        one.verdict(&[sound, bad], now) == Verdict::Refused
            && one.verdict(&[sound], now) != Verdict::Refused
    };
    while !all.iter().all(|one| is_known(one, hall.clock.now())) {
        let now = hall.clock.now();
        let told: Vec<Vec<SuspectReport>> = all.iter().map(|one| one.recent_updates(now)).collect();
        for from in 0..INSTANCES {
            for to in hall.targets_of(from) {
                for report in &told[from] {
                    all[to].merge(report, now);
                }
                for report in &told[to] {
                    all[from].merge(report, now);
                }
            }
        }
        hall.clock.advance(PERIOD);
        let took = hall.clock.now().saturating_sub(seen_at);
        assert!(took <= SECOND * 6, "not known by all after {took:?}");
    }
    println!("known after {:?}", hall.clock.now().saturating_sub(seen_at));
}
