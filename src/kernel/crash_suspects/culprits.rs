//! Which suspects are refused: those that explain crashes which nothing else explains.
//!
//! When an endpoint crashes, all that ran on it is cut off, and all segments of each prompt are
//! suspected alike. Those that are not the cause share only some of its crashes. The suspect with
//! the most crashes is therefore taken for the cause of all of these, and the others are judged by
//! their remaining crashes. A request goes before segments with the same crashes, as
//! it is the narrower explanation; what has run on or been finished goes after all that has not.
//!
//! Segments that have exactly the same crashes cannot be told apart. They are refused only
//! together: the first request with some of them and not the others shows which it is.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::suspect::Suspect;
use crate::kernel::fingerprint::Fingerprint;

/// What is not sent to endpoints: a request, or any request with all of these segments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Culprit {
    /// The request alone, or one segment or several; never empty, sorted.
    pub members: Vec<Fingerprint>,
}

impl Culprit {
    /// Returns whether a request with these fingerprints is refused for it.
    #[must_use]
    pub fn matches(&self, fingerprints: &[Fingerprint]) -> bool {
        let mut members = self.members.iter();
        members.all(|member| fingerprints.contains(member))
    }
}

/// Returns the culprits among suspects that have enough points to be refused.
pub(super) fn find_culprits<'a>(
    suspects: impl Iterator<Item = (Fingerprint, &'a Suspect)>,
) -> Vec<Culprit> {
    let mut suspects: Vec<_> = suspects.collect();
    suspects.sort_by_key(|(fingerprint, suspect)| {
        let is_segment = fingerprint.segment().is_some();
        let has_run = (suspect.innocent, suspect.ran_past_start);
        let crashes = Reverse(suspect.crashes.len());
        (has_run, crashes, is_segment, *fingerprint)
    });
    let mut explained = BTreeSet::new();
    let mut culprits: Vec<Culprit> = Vec::new();
    for (index, (fingerprint, suspect)) in suspects.iter().enumerate() {
        let points = suspect.points_without(&explained);
        let limit = suspect.refuse_at_points();
        if limit.is_none_or(|limit| points < limit) {
            continue;
        }
        let endpoints = endpoints(suspect);
        let alike = suspects[index..].iter().filter(|(other, candidate)| {
            let is_same = other == fingerprint;
            let are_segments = fingerprint.segment().is_some() && other.segment().is_some();
            is_same || (are_segments && has_same_crashes(candidate, suspect))
        });
        let mut members: Vec<Fingerprint> = alike.map(|(member, _)| *member).collect();
        members.sort_unstable();
        explained.extend(endpoints);
        culprits.push(Culprit { members });
    }
    culprits
}

fn has_same_crashes(one: &Suspect, other: &Suspect) -> bool {
    one.innocent == other.innocent
        && one.ran_past_start == other.ran_past_start
        && endpoints(one) == endpoints(other)
}

fn endpoints(suspect: &Suspect) -> BTreeSet<u64> {
    let crashes = suspect.crashes.iter();
    crashes.map(|crash| crash.endpoint).collect()
}
