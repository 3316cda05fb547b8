//! Estimates of residual output length and of survival probabilities.

use larkwick::kernel::length_estimates::{HORIZONS_TOKENS, LengthEstimates, LengthTable};

/// Returns whether `left` is within a quarter of `right`, the resolution of the table's buckets.
fn is_close(left: f64, right: f64) -> bool {
    (left - right).abs() <= 0.25 * right
}

#[test]
fn residual_excludes_lengths_already_exceeded() {
    let mut table = LengthTable::default();
    for _ in 0..100 {
        table.observe(10);
        table.observe(1_000);
    }
    let fresh = table.residual(0).expect("observed");
    assert!(is_close(fresh.mean_tokens, 505.0), "{fresh:?}");
    let after_shorter = table.residual(100).expect("observed");
    assert!(
        is_close(after_shorter.mean_tokens, 900.0),
        "{after_shorter:?}"
    );
    assert!(table.residual(5_000).is_none());
}

#[test]
fn survival_falls_from_one_to_zero() {
    let mut table = LengthTable::default();
    for length in 1..=1_000 {
        table.observe(length);
    }
    let survival = table.survival(0).expect("observed");
    assert!((survival[0] - 1.0).abs() < 1e-9);
    assert!(
        survival.windows(2).all(|pair| pair[1] <= pair[0]),
        "{survival:?}"
    );
    let at_512 = HORIZONS_TOKENS
        .iter()
        .position(|horizon| *horizon == 512)
        .expect("horizon");
    assert!(is_close(survival[at_512], 0.488), "{survival:?}");
    assert!(survival.last() < Some(&0.01), "{survival:?}");
}

#[test]
fn estimates_account_table_used_after_enough_observations() {
    let mut estimates = LengthEstimates::default();
    for _ in 0..1_000 {
        estimates.observe("m", "others", 1_000);
    }
    for _ in 0..10 {
        estimates.observe("m", "short", 10);
    }
    let before = estimates.residual("m", "short", 0, 100_000).mean_tokens;
    assert!(before > 500.0, "ten observations are not enough: {before}");
    for _ in 0..50 {
        estimates.observe("m", "short", 10);
    }
    let later = estimates.residual("m", "short", 0, 100_000).mean_tokens;
    assert!(later < 20.0, "{later}");
}

#[test]
fn estimates_limited_by_declared_maximum() {
    let estimates = LengthEstimates::default();
    assert!(estimates.residual("m", "a", 90, 100).mean_tokens <= 10.0);
    let survival = estimates.survival("m", "a", 90, 100);
    assert!(
        survival[2..].iter().all(|probability| *probability == 0.0),
        "{survival:?}"
    );
}

#[test]
fn estimates_longer_than_observed_expected_to_double() {
    let mut estimates = LengthEstimates::default();
    estimates.observe("m", "a", 10);
    let residual = estimates.residual("m", "a", 5_000, 100_000).mean_tokens;
    assert!((residual - 5_000.0).abs() < 1.0, "{residual}");
}
