//! Counts by client account in bounded memory.

use larkwick::kernel::account_counts::{AccountCounts, NAMED_ACCOUNTS_MAX};
use larkwick::kernel::admission_queue::RefusalReason;
use larkwick::kernel::engine_ledger::RunDemand;

fn demand(account: &str, prompt_tokens: u32) -> RunDemand {
    RunDemand {
        prompt_tokens,
        generated_max_tokens: 100,
        account: Some(account.to_owned()),
        ..RunDemand::default()
    }
}

/// Twenty thousand accounts with one call each, beside one with a call for every hundredth of theirs.
#[test]
fn record_many_small_accounts_large_one_named_none_lost() {
    let mut counts = AccountCounts::default();
    for number in 0..20_000 {
        counts.record_granted(&demand(&format!("a{number}"), 100));
        if number % 100 == 0 {
            counts.record_refused(&demand("large", 20_000), RefusalReason::QueueTooSlow);
        }
    }
    let named: Vec<_> = counts.named().collect();
    assert!(named.len() <= NAMED_ACCOUNTS_MAX);
    let large = named.iter().find(|(account, _)| *account == "large");
    let refused = &large.expect("named").1.refused;
    assert_eq!(refused[&RefusalReason::QueueTooSlow], 200);
    let granted: u64 = named.iter().map(|(_, counts)| counts.granted).sum();
    assert_eq!(granted + counts.others().granted, 20_000);
}
