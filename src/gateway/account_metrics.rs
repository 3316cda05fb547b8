//! Metrics by client account, in the text format of Prometheus.
//!
//! They are rendered from the counts of the admission queues, which name few accounts at a time: a
//! recorder of metrics keeps each label that it has seen.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::kernel::account_counts::{AccountCounts, AdmissionCounts};

const OUTCOMES_NAME: &str = "larkwick_account_admissions_total";
const TOKEN_SECONDS_NAME: &str = "larkwick_account_token_seconds_total";

/// Whose counts a line tells.
struct Labels<'a> {
    service: &'a str,
    /// `false` for the accounts that are not told apart.
    is_named: bool,
    account: &'a str,
}

impl Labels<'_> {
    fn text(&self) -> String {
        let scope = if self.is_named { "account" } else { "others" };
        format!(
            "service=\"{}\",scope=\"{scope}\",account=\"{}\"",
            escaped(self.service),
            escaped(self.account),
        )
    }
}

/// Renders the counts by service.
pub(super) fn render(by_service: &BTreeMap<String, AccountCounts>) -> String {
    let mut outcomes = format!("# TYPE {OUTCOMES_NAME} counter\n");
    let mut token_seconds = format!("# TYPE {TOKEN_SECONDS_NAME} counter\n");
    for (service, counts) in by_service {
        let named = counts
            .named()
            .map(|(account, counts)| (true, account, counts));
        for (is_named, account, counts) in named.chain([(false, "", counts.others())]) {
            let labels = Labels {
                service,
                is_named,
                account,
            };
            let labels = labels.text();
            render_outcomes(&mut outcomes, &labels, counts);
            let granted = counts.granted_token_seconds;
            // Writing to a string cannot fail.
            let _ = writeln!(token_seconds, "{TOKEN_SECONDS_NAME}{{{labels}}} {granted}");
        }
    }
    outcomes + &token_seconds
}

fn render_outcomes(text: &mut String, labels: &str, counts: &AdmissionCounts) {
    let refused = counts.refused.iter();
    let refused = refused.map(|(reason, count)| (reason.label(), *count));
    for (outcome, count) in [("granted", counts.granted)].into_iter().chain(refused) {
        let _ = writeln!(
            text,
            "{OUTCOMES_NAME}{{{labels},outcome=\"{outcome}\"}} {count}"
        );
    }
}

fn escaped(label: &str) -> String {
    let label = label.replace('\\', "\\\\");
    label.replace('"', "\\\"").replace('\n', "\\n")
}
