//! Residual lengths and survival.

use larkwick::kernel::estimate::{Estimates, HORIZONS_TOKENS, LengthTable};

/// Whether two numbers agree to a quarter, as far as the table's buckets tell.
fn about(left: f64, right: f64) -> bool {
    (left - right).abs() <= 0.25 * right
}

#[test]
fn residual_two_lengths_known_after_the_shorter_is_passed() {
    let mut table = LengthTable::default();
    for _ in 0..100 {
        table.observe(10);
        table.observe(1_000);
    }
    let fresh = table.residual(0).expect("seen");
    assert!(about(fresh.mean_tokens, 505.0), "{fresh:?}");
    let passed = table.residual(100).expect("seen");
    assert!(about(passed.mean_tokens, 900.0), "{passed:?}");
    assert!(table.residual(5_000).is_none());
}

#[test]
fn survival_falls_from_one_to_zero() {
    let mut table = LengthTable::default();
    for length in 1..=1_000 {
        table.observe(length);
    }
    let survival = table.survival(0).expect("seen");
    assert!((survival[0] - 1.0).abs() < 1e-9);
    assert!(
        survival.windows(2).all(|pair| pair[1] <= pair[0]),
        "{survival:?}"
    );
    let at_512 = HORIZONS_TOKENS
        .iter()
        .position(|horizon| *horizon == 512)
        .expect("horizon");
    assert!(about(survival[at_512], 0.488), "{survival:?}");
    assert!(survival.last() < Some(&0.01), "{survival:?}");
}

#[test]
fn estimates_account_table_only_after_enough() {
    let mut estimates = Estimates::default();
    for _ in 0..1_000 {
        estimates.observe("m", "others", 1_000);
    }
    for _ in 0..10 {
        estimates.observe("m", "short", 10);
    }
    let early = estimates.residual("m", "short", 0, 100_000).mean_tokens;
    assert!(early > 500.0, "ten are not enough: {early}");
    for _ in 0..50 {
        estimates.observe("m", "short", 10);
    }
    let later = estimates.residual("m", "short", 0, 100_000).mean_tokens;
    assert!(later < 20.0, "{later}");
}

#[test]
fn estimates_never_beyond_declared_maximum() {
    let estimates = Estimates::default();
    assert!(estimates.residual("m", "a", 90, 100).mean_tokens <= 10.0);
    let survival = estimates.survival("m", "a", 90, 100);
    assert!(
        survival[2..].iter().all(|runs| *runs == 0.0),
        "{survival:?}"
    );
}

#[test]
fn estimates_stream_beyond_all_seen_expected_to_double() {
    let mut estimates = Estimates::default();
    estimates.observe("m", "a", 10);
    let residual = estimates.residual("m", "a", 5_000, 100_000).mean_tokens;
    assert!((residual - 5_000.0).abs() < 1.0, "{residual}");
}
