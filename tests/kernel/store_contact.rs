//! How soon instances know that the store has stopped answering.

use std::time::Duration;

use larkwick::kernel::store_contact::StoreContact;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The store becomes unavailable for all while engines drain with 1.5 s of notice: an instance that
/// learns of a reader's failure knows at once, before its data is old.
#[test]
fn is_unavailable_reported_failure_known_before_data_is_old() {
    let mut reader = StoreContact::default();
    let last_answer = Some(ms(10_000));
    assert!(!reader.is_unavailable(last_answer));
    reader.record_failure(ms(10_050));
    assert!(reader.is_unavailable(last_answer));
    let time_since_failure = reader.time_since_failure(ms(10_060)).expect("failed");
    // Another instance with a different clock origin, whose last data is equally old.
    let mut owner = StoreContact::default();
    owner.record_failure(ms(70_070).saturating_sub(time_since_failure));
    assert!(owner.is_unavailable(Some(ms(70_010))));
}

/// Two readers fail shortly after one another and read from each other: neither takes the other's
/// older data as a sign that the store is available again.
#[test]
fn is_unavailable_readers_that_read_from_each_other_agree() {
    let mut first = StoreContact::default();
    first.record_failure(ms(10_050));
    // The other reader replied with data from before the failure.
    assert!(first.is_unavailable(Some(ms(10_040))));
}

/// The store rejects one reader and answers others.
#[test]
fn is_unavailable_answer_after_the_failure_store_is_available() {
    let mut rejected = StoreContact::default();
    rejected.record_failure(ms(10_050));
    assert!(!rejected.is_unavailable(Some(ms(10_400))));
}
