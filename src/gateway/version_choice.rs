//! Which version a request goes to while its service is rolled out, and the endpoints that the
//! versions use.

use rand::RngExt;

use super::inbound_call::Call;
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::membership::rendezvous_weight;
use crate::kernel::rollout::{Phase, draw_version};
use crate::kernel::rollout_evidence::Version;

/// A roll-out as it affects requests.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RolloutView {
    pub(crate) target_version: String,
    pub(crate) phase: Phase,
}

impl RolloutView {
    pub(crate) fn version_of(&self, entry: &EndpointEntry) -> Version {
        if entry.software == self.target_version {
            Version::Target
        } else {
            Version::Current
        }
    }
}

/// The version that was drawn for a call.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct VersionChoice {
    view: RolloutView,
    version: Version,
}

impl VersionChoice {
    /// Draws a version with the share that the phase of the roll-out directs.
    pub(super) fn draw(view: RolloutView) -> Self {
        let version = draw_version(view.phase, rand::rng().random_range(0.0..1.0));
        Self { view, version }
    }

    /// Returns the version on which the next attempt runs. A call that an endpoint of the new
    /// version has failed is repeated on the current one.
    pub(crate) fn version(&self, is_retry: bool) -> Version {
        match self.view.phase {
            Phase::Canary { .. } if is_retry => Version::Current,
            _ => self.version,
        }
    }

    /// Returns whether the next attempt may use an endpoint.
    pub(crate) fn allows(&self, entry: &EndpointEntry, is_retry: bool) -> bool {
        self.view.version_of(entry) == self.version(is_retry)
    }
}

/// Returns the endpoints that the next attempt of a call may use, of those that accept work.
pub(crate) fn usable_endpoints(
    call: &Call,
    ready: Vec<EndpointEntry>,
    is_retry: bool,
) -> Vec<EndpointEntry> {
    let Some(choice) = &call.version_choice else {
        return ready;
    };
    let (mut allowed, others): (Vec<_>, Vec<_>) = ready
        .into_iter()
        .partition(|entry| choice.allows(entry, is_retry));
    let version = choice.version(is_retry);
    match choice.view.phase {
        Phase::Canary { .. } if version == Version::Target => {
            let count = call.gateway.canary_endpoint_count(others.len());
            let ids = allowed.iter().map(|entry| entry.id.as_str()).collect();
            let chosen = canary_endpoints(&choice.view.target_version, ids, count);
            allowed.retain(|entry| chosen.contains(&entry.id));
            if allowed.is_empty() { others } else { allowed }
        }
        Phase::Finishing | Phase::Completed if allowed.is_empty() => others,
        _ => allowed,
    }
}

/// Returns how many endpoints of the new version share the requests of the canary phase, so that
/// each gets about as many as one of the current version: a version may be bad only under load.
pub(super) fn canary_endpoint_count(share: f64, current_endpoints: usize) -> usize {
    let current = u32::try_from(current_endpoints).unwrap_or(u32::MAX);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a number that fits"
    )]
    let count = (share * f64::from(current)).round() as usize;
    count.max(1)
}

/// Returns the endpoints of the new version that are used in the canary phase; the same ones at all
/// instances.
pub(crate) fn canary_endpoints(
    target_version: &str,
    mut target_endpoints: Vec<&str>,
    count: usize,
) -> Vec<String> {
    target_endpoints
        .sort_unstable_by_key(|id| std::cmp::Reverse(rendezvous_weight(target_version, id)));
    target_endpoints.truncate(count);
    target_endpoints.into_iter().map(str::to_owned).collect()
}
