//! Limits that endpoints name.

use std::time::Duration;

use larkwick::kernel::limit::{LIMIT_NEWS_MAX, LimitChange, LimitWord, Limits};
use proptest::prelude::*;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(100_000 + millis)
}

const FEW: LimitWord = LimitWord::PerS(2.0);
const MORE: LimitWord = LimitWord::PerS(5.0);

#[test]
fn take_limit_holds_until_an_answer_without_one() {
    let mut limits = Limits::default();
    assert_eq!(limits.take("e", LimitWord::Unsaid, at(0), at(1)), None);
    let began = limits.take("e", FEW, at(2), at(3));
    assert_eq!(began, Some(LimitChange::Began(2.0)));
    assert_eq!(limits.per_s("e"), Some(2.0));
    assert_eq!(limits.per_s("another start"), None);
    assert_eq!(limits.take("e", FEW, at(4), at(5)), None, "no news");
    let ended = limits.take("e", LimitWord::Unsaid, at(6), at(7));
    assert_eq!(ended, Some(LimitChange::Ended));
    assert_eq!(limits.per_s("e"), None);
    let again = limits.take("e", FEW, at(8), at(9));
    assert_eq!(again, Some(LimitChange::Began(2.0)));
}

#[test]
fn take_answer_asked_for_before_the_need_does_not_end_it() {
    let mut limits = Limits::default();
    limits.take("e", FEW, at(10), at(20));
    limits.take("e", LimitWord::Unsaid, at(0), at(30));
    limits.take("e", LimitWord::Unsaid, at(20), at(40));
    assert_eq!(limits.per_s("e"), Some(2.0));
    limits.take("e", LimitWord::Unsaid, at(21), at(41));
    assert_eq!(limits.per_s("e"), None);
}

#[test]
fn take_higher_limit_of_an_answer_that_crossed_the_lower_holds() {
    let mut limits = Limits::default();
    limits.take("e", FEW, at(10), at(20));
    assert_eq!(limits.take("e", MORE, at(0), at(30)), None);
    assert_eq!(limits.per_s("e"), Some(2.0));
    let raised = limits.take("e", MORE, at(21), at(40));
    assert_eq!(raised, Some(LimitChange::Changed(5.0)));
    let lowered = limits.take("e", FEW, at(0), at(50));
    assert_eq!(lowered, Some(LimitChange::Changed(2.0)));
}

#[test]
fn take_what_cannot_be_read_changes_nothing() {
    let mut limits = Limits::default();
    assert_eq!(limits.take("e", LimitWord::Unreadable, at(0), at(1)), None);
    assert!(limits.is_empty());
    limits.take("e", FEW, at(2), at(3));
    limits.take("e", LimitWord::Unreadable, at(4), at(5));
    assert_eq!(limits.per_s("e"), Some(2.0));
}

#[test]
fn tidy_starts_that_are_gone_forgotten() {
    let mut limits = Limits::default();
    limits.take("gone", FEW, at(0), at(1));
    limits.take("e", FEW, at(0), at(1));
    limits.tidy(|endpoint| endpoint == "e", at(2));
    assert_eq!(limits.len(), 1);
}

/// What one instance tells another, some time later.
fn told(from: &Limits, to: &mut Limits, at: Duration, later: Duration) {
    for news in from.news(0, at) {
        to.take_news(&news, later);
    }
}

#[test]
fn take_news_begin_and_end_reach_those_that_did_not_hear() {
    let (mut heard, mut other) = (Limits::default(), Limits::default());
    heard.take("e", FEW, at(0), at(10));
    told(&heard, &mut other, at(100), at(101));
    assert_eq!(other.per_s("e"), Some(2.0));
    heard.take("e", LimitWord::Unsaid, at(200), at(210));
    told(&heard, &mut other, at(300), at(301));
    assert_eq!(other.per_s("e"), None);
}

#[test]
fn take_news_older_than_what_is_known_changes_nothing() {
    let (mut first, mut second) = (Limits::default(), Limits::default());
    first.take("e", FEW, at(0), at(10));
    let old = first.news(0, at(20));
    second.take("e", FEW, at(0), at(5));
    second.take("e", LimitWord::Unsaid, at(50), at(60));
    for news in &old {
        // It is as old as it was when it was told, and took a while.
        let late = at(20) + Duration::from_millis(5);
        assert_eq!(second.take_news(news, late), None);
    }
    assert_eq!(second.per_s("e"), None);
    second.take("e", FEW, at(100), at(110));
    told(&first, &mut second, at(120), at(121));
    assert_eq!(second.per_s("e"), Some(2.0), "an old end after a new need");
}

#[test]
fn news_of_many_few_in_a_heartbeat_and_each_in_turn() {
    let mut limits = Limits::default();
    let count = 40;
    for number in 0..count {
        limits.take(&format!("e{number:02}"), FEW, at(0), at(1));
    }
    let mut other = Limits::default();
    for first in (0..count).step_by(LIMIT_NEWS_MAX) {
        let news = limits.news(first, at(2));
        assert_eq!(news.len(), LIMIT_NEWS_MAX);
        for one in &news {
            other.take_news(one, at(3));
        }
    }
    assert_eq!(other.len(), count);
    let much_later = at(0) + Duration::from_mins(1);
    assert!(limits.news(0, much_later).is_empty(), "news no more");
}

/// A request to an endpoint: sent, answered there and heard of so many milliseconds after the one before was sent.
#[derive(Debug, Clone, Copy)]
struct Request {
    after: u64,
    answered_in: u64,
    heard_in: u64,
}

fn requests() -> impl Strategy<Value = Vec<Request>> {
    let request = (0_u64..400, 0_u64..2_000, 0_u64..2_000);
    let request = request.prop_map(|(after, answered_in, heard_in)| Request {
        after,
        answered_in,
        heard_in,
    });
    prop::collection::vec(request, 1..60)
}

/// What the endpoint names from so many milliseconds on; nothing at first.
fn named() -> impl Strategy<Value = Vec<(u64, LimitWord)>> {
    let word = prop_oneof![
        Just(LimitWord::Unsaid),
        (0.1_f64..5.0).prop_map(LimitWord::PerS)
    ];
    prop::collection::vec((0_u64..12_000, word), 1..6).prop_map(|mut named| {
        named.sort_by_key(|(at, _)| *at);
        named
    })
}

fn word_at(named: &[(u64, LimitWord)], at: u64) -> LimitWord {
    let before = named.iter().rev().find(|(from, _)| *from <= at);
    before.map_or(LimitWord::Unsaid, |(_, word)| *word)
}

proptest! {
    /// Answers cross as they like: none that was made before the last one that named a limit ends it, and what the endpoint says last is what is known once a
    /// request that was sent after all others were heard of has been answered.
    #[test]
    fn take_answers_that_cross_no_older_one_ends_a_limit(requests in requests(), named in named()) {
        let mut sent_at = 0;
        let mut heard: Vec<(u64, u64, u64)> = Vec::new();
        for request in &requests {
            sent_at += request.after;
            let made_at = sent_at + request.answered_in;
            heard.push((made_at + request.heard_in, sent_at, made_at));
        }
        heard.sort_unstable();
        let mut limits = Limits::default();
        let mut named_made_at = None;
        for (heard_at, sent_at, made_at) in &heard {
            let word = word_at(&named, *made_at);
            let was_limited = limits.per_s("e").is_some();
            limits.take("e", word, at(*sent_at), at(*heard_at));
            if was_limited && limits.per_s("e").is_none() {
                prop_assert!(named_made_at < Some(*made_at));
            }
            if matches!(word, LimitWord::PerS(_)) {
                named_made_at = named_made_at.max(Some(*made_at));
            }
        }
        let last = heard.last().map_or(0, |(heard_at, ..)| *heard_at) + 20_000;
        let word = word_at(&named, last);
        limits.take("e", word, at(last), at(last + 1));
        let known = limits.per_s("e").map_or(LimitWord::Unsaid, LimitWord::PerS);
        prop_assert_eq!(known, word);
    }
}
