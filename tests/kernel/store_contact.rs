//! How soon instances know that the store has stopped answering.

use std::time::Duration;

use larkwick::kernel::store_contact::StoreContact;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The store goes away for all while engines leave with 1.5 s of notice: whoever is told of a reader's failure knows at once, before its words
/// are old.
#[test]
fn is_away_told_of_a_failure_known_before_words_are_old() {
    let mut reader = StoreContact::default();
    let last_word = Some(ms(10_000));
    assert!(!reader.is_away(last_word));
    reader.failed(ms(10_050));
    assert!(reader.is_away(last_word));
    let told = reader.failed_ago(ms(10_060)).expect("failed");
    // Another instance, whose clock began elsewhere; its last word is as old.
    let mut owner = StoreContact::default();
    owner.failed(ms(70_070).saturating_sub(told));
    assert!(owner.is_away(Some(ms(70_010))));
}

/// Two readers that fail a moment apart and read from each other: neither takes the other's older word for a sign that the store is back.
#[test]
fn is_away_readers_that_read_from_each_other_stay_sure() {
    let mut first = StoreContact::default();
    first.failed(ms(10_050));
    // The other one answered with what it heard before that.
    assert!(first.is_away(Some(ms(10_040))));
}

/// One reader is turned away while the store answers others.
#[test]
fn is_away_word_after_the_failure_store_is_there() {
    let mut turned_away = StoreContact::default();
    turned_away.failed(ms(10_050));
    assert!(!turned_away.is_away(Some(ms(10_400))));
}
