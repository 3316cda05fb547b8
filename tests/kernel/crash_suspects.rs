//! Contents that endpoints ended under: who is refused, who is innocent, what is told, kept and forgotten.

use std::time::Duration;

use larkwick::kernel::clock::Clock;
use larkwick::kernel::crash_suspects::{
    Change, End, NEWS_MAX, Suspects, Told, Verdict, software_id,
};
use larkwick::kernel::fingerprint::{FingerprintHead, RequestFingerprint};
use proptest::prelude::*;

use super::hall::{Hall, PERIOD};

const SECOND: Duration = Duration::from_secs(1);

fn content(body: &str) -> RequestFingerprint {
    let head = FingerprintHead {
        method: "POST",
        host: "site.example",
        path: "/chat/1?a=b",
        account: Some("account-1"),
        body_bytes: body.len(),
    };
    head.hash().with_body(body.as_bytes())
}

fn end(endpoint: u64) -> End {
    End {
        endpoint,
        software: software_id("llm", "v1"),
        beginning: true,
    }
}

fn late_end(endpoint: u64) -> End {
    End {
        beginning: false,
        ..end(endpoint)
    }
}

/// What one instance knows after these ends.
fn after(content: RequestFingerprint, ends: &[End]) -> Suspects {
    let mut suspects = Suspects::default();
    for end in ends {
        suspects.ended(content, *end, SECOND);
    }
    suspects
}

fn told(suspects: &Suspects) -> Vec<Told> {
    suspects.news(SECOND)
}

#[test]
fn content_id_each_part_changed_another_one() {
    let head = FingerprintHead {
        method: "POST",
        host: "site.example",
        path: "/a/",
        account: Some("one"),
        body_bytes: 4,
    };
    let id = |head: &FingerprintHead<'_>, body: &str| head.hash().with_body(body.as_bytes());
    let first = id(&head, "body");
    let others = [
        id(
            &FingerprintHead {
                method: "GET",
                ..head
            },
            "body",
        ),
        id(
            &FingerprintHead {
                host: "b.example",
                ..head
            },
            "body",
        ),
        id(
            &FingerprintHead {
                path: "/a/?b",
                ..head
            },
            "body",
        ),
        id(
            &FingerprintHead {
                account: None,
                ..head
            },
            "body",
        ),
        id(
            &FingerprintHead {
                account: Some("on"),
                path: "/a/e",
                ..head
            },
            "body",
        ),
        id(&head, "bodz"),
    ];
    assert!(!others.contains(&first));
    assert_eq!(first, id(&head, "body"));
}

#[test]
fn content_id_as_text_and_back() {
    let id = content("x");
    assert_eq!(id.to_string().parse(), Ok(id));
    for wrong in [
        "",
        "suspect",
        "+00000000000000000000000000000000000000000000000",
    ] {
        assert!(wrong.parse::<RequestFingerprint>().is_err(), "{wrong:?}");
    }
}

#[test]
fn verdict_three_ends_at_its_beginning_refused() {
    let id = content("x");
    let mut suspects = after(id, &[end(1), end(2)]);
    assert_eq!(suspects.verdict(id, SECOND), Verdict::Suspected);
    assert_eq!(
        suspects.ended(id, end(2), SECOND),
        Change::None,
        "the same endpoint"
    );
    assert_eq!(suspects.ended(id, end(3), SECOND), Change::NowRefused);
    assert_eq!(suspects.verdict(id, SECOND), Verdict::Refused);
    assert_eq!(suspects.verdict(content("y"), SECOND), Verdict::Sound);
}

#[test]
fn verdict_ends_while_it_ran_on_six_needed() {
    let id = content("x");
    let mut suspects = after(id, &[1, 2, 3, 4, 5].map(late_end));
    assert_eq!(suspects.verdict(id, SECOND), Verdict::Suspected);
    suspects.ended(id, late_end(6), SECOND);
    assert_eq!(suspects.verdict(id, SECOND), Verdict::Refused);
}

/// Equal requests that run at each endpoint are cut with each that ends: seen to run on at another one, it is not their beginning that ends endpoints.
#[test]
fn verdict_seen_to_run_on_elsewhere_three_ends_do_not_refuse() {
    let id = content("x");
    let mut suspects = after(id, &[end(1)]);
    suspects.ran_on(id, SECOND);
    suspects.ended(id, end(2), SECOND);
    suspects.ended(id, end(3), SECOND);
    assert_eq!(suspects.verdict(id, SECOND), Verdict::Suspected);
}

#[test]
fn survived_later_ends_do_not_count_any_more() {
    let id = content("x");
    let mut suspects = after(id, &[end(1), end(2), end(3)]);
    assert_eq!(
        suspects.survived(id, software_id("llm", "v1"), SECOND),
        Change::News
    );
    for endpoint in 4..12 {
        suspects.ended(id, end(endpoint), SECOND);
    }
    assert_eq!(suspects.verdict(id, SECOND), Verdict::Sound);
}

#[test]
fn survived_peers_that_refuse_it_let_it_go() {
    let id = content("x");
    let mut one = after(id, &[end(1), end(2), end(3)]);
    let mut other = Suspects::default();
    other.take(&told(&one)[0], SECOND);
    assert_eq!(other.verdict(id, SECOND), Verdict::Refused);
    one.survived(id, software_id("llm", "v1"), SECOND);
    other.take(&told(&one)[0], SECOND);
    assert_eq!(other.verdict(id, SECOND), Verdict::Sound);
    // An older word comes late.
    let late = told(&after(id, &[end(7), end(8), end(9)]));
    assert_eq!(other.take(&late[0], SECOND), Change::None);
}

#[test]
fn let_go_counted_from_nothing() {
    let id = content("x");
    let mut suspects = after(id, &[end(1), end(2), end(3)]);
    assert!(suspects.let_go(id, SECOND));
    assert_eq!(suspects.verdict(id, SECOND), Verdict::Sound);
    for endpoint in [4, 5, 6] {
        suspects.ended(id, end(endpoint), SECOND);
    }
    assert_eq!(suspects.verdict(id, SECOND), Verdict::Refused);
    assert!(!suspects.let_go(content("never seen"), SECOND));
}

#[test]
fn verdict_long_after_the_last_end_sound_again() {
    let id = content("x");
    let suspected = after(id, &[end(1), end(2)]);
    let refused = after(id, &[end(1), end(2), end(3)]);
    let in_two_hours = Duration::from_hours(2);
    assert_eq!(suspected.verdict(id, in_two_hours), Verdict::Sound);
    assert_eq!(refused.verdict(id, in_two_hours), Verdict::Refused);
    assert_eq!(
        refused.verdict(id, Duration::from_hours(25)),
        Verdict::Sound
    );
}

#[test]
fn begin_trial_new_software_one_at_a_time_and_two_in_all() {
    let id = content("x");
    let mut suspects = after(id, &[end(1), end(2), end(3)]);
    let version = |version: &str| software_id("llm", version);
    assert!(
        !suspects.begin_trial(id, version("v1"), SECOND),
        "it ended these"
    );
    assert!(suspects.begin_trial(id, version("v2"), SECOND));
    assert!(
        !suspects.begin_trial(id, version("v3"), SECOND),
        "one is under way"
    );
    let ended = |endpoint, of: &str| End {
        software: version(of),
        ..end(endpoint)
    };
    suspects.ended(id, ended(4, "v2"), SECOND);
    let later = Duration::from_mins(10);
    assert!(!suspects.begin_trial(id, version("v2"), later));
    assert!(suspects.begin_trial(id, version("v3"), later));
    suspects.ended(id, ended(5, "v3"), later);
    assert!(
        !suspects.begin_trial(id, version("v4"), later * 2),
        "two trials were made"
    );
}

#[test]
fn to_keep_from_the_second_end_on_by_who_saw_it() {
    let id = content("x");
    let mut saw = after(id, &[end(1)]);
    assert!(
        saw.to_keep(false, SECOND).is_empty(),
        "one end is not worth a call"
    );
    saw.ended(id, end(2), SECOND);
    let due = saw.to_keep(false, SECOND);
    assert_eq!(due.len(), 1);
    saw.kept(&due[0]);
    assert!(saw.to_keep(false, SECOND).is_empty());
    let mut heard = Suspects::default();
    heard.take(&due[0], SECOND);
    assert!(heard.to_keep(false, SECOND * 5).is_empty());
    assert!(
        heard.to_keep(true, SECOND).is_empty(),
        "who saw it may still tell"
    );
    assert_eq!(heard.to_keep(true, SECOND * 5).len(), 1);
}

#[test]
fn to_keep_found_innocent_told_to_the_store_that_holds_it() {
    let id = content("x");
    let mut suspects = after(id, &[end(1), end(2)]);
    let due = suspects.to_keep(false, SECOND);
    suspects.kept(&due[0]);
    suspects.survived(id, software_id("llm", "v1"), SECOND);
    let due = suspects.to_keep(false, SECOND);
    assert!(due[0].innocent && due[0].ends.is_empty(), "{due:?}");
}

/// Ever new contents, each under one end: memory stays bounded, and what is refused stays known.
#[test]
fn ended_a_million_contents_bounded_and_the_refused_one_kept() {
    let refused = content("refused");
    let mut suspects = after(refused, &[end(1), end(2), end(3)]);
    let head = refused.head;
    for number in 0..1_000_000_u64 {
        let id = RequestFingerprint {
            head,
            full: u128::from(number),
        };
        suspects.ended(id, end(number), SECOND);
    }
    assert!(suspects.len() <= 4_096, "{}", suspects.len());
    assert_eq!(suspects.verdict(refused, SECOND), Verdict::Refused);
    assert_eq!(suspects.news(SECOND).len(), NEWS_MAX);
    assert_eq!(
        suspects.news(SECOND)[0].content,
        refused,
        "most points first"
    );
}

#[test]
fn knows_head_no_content_with_it_nothing_to_read() {
    let id = content("x");
    let mut suspects = after(id, &[end(1)]);
    assert!(suspects.has_head(id.head));
    assert!(!suspects.has_head(content("longer").head));
    suspects.expire(Duration::from_hours(2));
    assert!(!suspects.has_head(id.head));
    assert!(suspects.is_empty());
}

proptest! {
    /// Whoever hears of the same ends, in whatever order and however often, comes to the same verdict.
    #[test]
    fn take_any_order_same_verdict(
        ends in prop::collection::vec((0..6_u64, any::<bool>()), 1..12),
        order in any::<u64>(),
    ) {
        let id = content("x");
        let apart: Vec<Told> = ends
            .iter()
            .flat_map(|(endpoint, beginning)| {
                told(&after(id, &[End { beginning: *beginning, ..end(*endpoint) }]))
            })
            .collect();
        let mut one = Suspects::default();
        for told in &apart {
            one.take(told, SECOND);
        }
        let mut other = Suspects::default();
        let mut mixed = apart.clone();
        mixed.extend(apart.iter().cloned());
        let places = mixed.len();
        let turn = usize::try_from(order).unwrap_or_default() % places;
        mixed.rotate_left(turn);
        mixed.reverse();
        for told in &mixed {
            other.take(told, SECOND);
        }
        prop_assert_eq!(one.verdict(id, SECOND), other.verdict(id, SECOND));
        prop_assert_eq!(&told(&one)[0].ends, &told(&other)[0].ends);
    }
}

/// Software that finishes what other software ends under says nothing of that one.
#[test]
fn survived_on_other_software_refused_where_others_ended() {
    let id = content("x");
    let mut suspects = after(id, &[end(1), end(2), end(3)]);
    let mended = software_id("llm", "v2");
    assert_eq!(suspects.survived(id, mended, SECOND), Change::News);
    assert_eq!(suspects.verdict(id, SECOND), Verdict::Refused);
    assert!(suspects.is_sound_on(id, mended));
    assert!(!suspects.is_sound_on(id, software_id("llm", "v1")));
    let mut other = Suspects::default();
    other.take(&told(&suspects)[0], SECOND);
    assert!(other.is_sound_on(id, mended));
}

/// Time until all of a site know what one instance has seen, by heartbeats alone: the worst case, in which nothing is passed on within a round, out of
/// turn or by the store.
fn known_by_all_after(instances: usize) -> Duration {
    let id = content("x");
    let mut hall = Hall::of(instances);
    hall.play(SECOND);
    let mut suspects: Vec<Suspects> = (0..instances).map(|_| Suspects::default()).collect();
    let seen_at = hall.clock.now();
    for endpoint in [1, 2, 3] {
        suspects[0].ended(id, end(endpoint), seen_at);
    }
    let refuses = |suspects: &Suspects, now| suspects.verdict(id, now) == Verdict::Refused;
    while !suspects.iter().all(|one| refuses(one, seen_at)) {
        let now = hall.clock.now();
        let news: Vec<Vec<Told>> = suspects.iter().map(|one| one.news(now)).collect();
        for from in 0..instances {
            for to in hall.told(from) {
                for told in &news[from] {
                    suspects[to].take(told, now);
                }
                for told in &news[to] {
                    suspects[from].take(told, now);
                }
            }
        }
        hall.clock.advance(PERIOD);
    }
    hall.clock.now().saturating_sub(seen_at)
}

#[test]
fn news_site_of_300_known_by_all_within_three_seconds() {
    let took = known_by_all_after(300);
    println!("300 instances know after {took:?}");
    assert!(took <= SECOND * 3, "{took:?}");
}

#[test]
fn news_site_of_2300_known_by_all_within_four_seconds() {
    let took = known_by_all_after(2_300);
    println!("2,300 instances know after {took:?}");
    assert!(took <= SECOND * 4, "{took:?}");
}
