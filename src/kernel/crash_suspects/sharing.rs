//! What instances tell each other of crash suspects, and what they write to the store.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use super::CrashSuspects;
use super::suspect::SuspectReport;
use crate::kernel::fingerprint::Fingerprint;

/// Maximum number of suspects in the store at a time, so that a client that crashes endpoints with
/// ever new requests cannot fill it.
pub const STORED_MAX: usize = 256;
/// The rest of the places in the store is for suspects that are refused.
const STORED_NOT_REFUSED_MAX: usize = STORED_MAX / 4 * 3;
/// After this time another instance writes a suspect to the store if the instance that saw the
/// crash has not done so.
const STORE_FALLBACK_AFTER: Duration = Duration::from_secs(1);
/// How long a change is gossiped; all of 2,300 instances know of it after 2 s
/// (`news_site_of_2300_*`).
const GOSSIP_FOR: Duration = Duration::from_secs(10);
/// Maximum number of suspects in one message, those with the most points first. About 60 bytes
/// each.
pub const UPDATES_MAX: usize = 16;

impl CrashSuspects {
    /// Records that the store holds this state of a suspect.
    pub fn mark_stored(&mut self, report: &SuspectReport) {
        if let Some(suspect) = self.by_fingerprint.get_mut(&report.fingerprint) {
            suspect.stored = Some(suspect.reported_state(report));
        }
    }

    /// Records that the store no longer holds a suspect.
    pub fn mark_not_stored(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) {
            suspect.stored = None;
        }
    }

    /// Records that the store holds exactly these suspects, so that the others are written again.
    /// Returns whether the store has lost any.
    pub fn sync_stored(&mut self, stored: &BTreeSet<Fingerprint>) -> bool {
        let mut any_lost = false;
        for (fingerprint, suspect) in &mut self.by_fingerprint {
            if suspect.stored.is_some() && !stored.contains(fingerprint) {
                suspect.stored = None;
                any_lost = true;
            }
        }
        any_lost
    }

    /// Returns the suspects to gossip to peers, for some time after each change; [`UPDATES_MAX`] at
    /// most. Half of the places are for what was found innocent, the latest first, the others for
    /// those with the most points, the latest first; each leaves its places to the other.
    #[must_use]
    pub fn recent_updates(&self, now: Duration) -> Vec<SuspectReport> {
        let all = self.by_fingerprint.iter();
        let recent = all.filter(|(_, suspect)| {
            let has_state = suspect.epoch > 0 || !suspect.crashes.is_empty();
            has_state && now.saturating_sub(suspect.changed_at) < GOSSIP_FOR
        });
        let (mut innocent, mut suspected): (Vec<_>, Vec<_>) =
            recent.partition(|(_, suspect)| suspect.innocent);
        innocent.sort_by_key(|(_, suspect)| Reverse(suspect.changed_at));
        suspected
            .sort_by_key(|(_, suspect)| (Reverse(suspect.points()), Reverse(suspect.changed_at)));
        let innocent_max = UPDATES_MAX - suspected.len().min(UPDATES_MAX / 2);
        innocent.truncate(innocent_max);
        suspected.truncate(UPDATES_MAX - innocent.len());
        let updates = suspected.into_iter().chain(innocent);
        updates
            .map(|(fingerprint, suspect)| suspect.report(*fingerprint, now))
            .collect()
    }

    /// Returns the suspects that this instance must write to the store. Those that crashed an
    /// endpoint here are due at once. With `is_fallback_writer`, suspects that other instances
    /// should have written by now are included.
    #[must_use]
    pub fn due_for_store(&self, is_fallback_writer: bool, now: Duration) -> Vec<SuspectReport> {
        let all = self.by_fingerprint.iter();
        let due = all.filter(|(_, suspect)| {
            let is_overdue = now.saturating_sub(suspect.changed_at) >= STORE_FALLBACK_AFTER;
            suspect.needs_storing() && (suspect.crashed_here || is_fallback_writer && is_overdue)
        });
        let (known, new): (Vec<_>, Vec<_>) = due.partition(|(_, suspect)| suspect.stored.is_some());
        let (refused, others): (Vec<_>, Vec<_>) = new
            .into_iter()
            .partition(|(fingerprint, _)| self.culprit_of(**fingerprint).is_some());
        let all = self.by_fingerprint.values();
        let stored = all.filter(|suspect| suspect.stored.is_some()).count();
        let refused = refused.into_iter().take(STORED_MAX.saturating_sub(stored));
        let others_max = STORED_NOT_REFUSED_MAX.saturating_sub(stored);
        let due = known.into_iter().chain(refused);
        let due = due.chain(others.into_iter().take(others_max));
        due.map(|(fingerprint, suspect)| suspect.report(*fingerprint, now))
            .collect()
    }

    /// Returns all suspects, for the state dump.
    pub fn reports(&self, now: Duration) -> impl Iterator<Item = SuspectReport> {
        let all = self.by_fingerprint.iter();
        all.map(move |(fingerprint, suspect)| suspect.report(*fingerprint, now))
    }
}
