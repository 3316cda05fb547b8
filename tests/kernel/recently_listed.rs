//! Endpoints that vanish from the list for a moment.

use std::time::Duration;

use larkwick::kernel::cooldown::EndpointCooldowns;
use larkwick::kernel::recently_listed::{RecentlyListed, UNLISTED_KEPT_FOR};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a rest that is forgotten while the store's older copy lacks the entry of the
/// endpoint that asked for it: three calls reached it before the end of its rest (soak, seed 7014).
#[test]
fn prune_endpoint_unlisted_for_a_moment_keeps_its_cooldown() {
    let mut listed = RecentlyListed::default();
    let mut cooldowns = EndpointCooldowns::default();
    listed.update(["one", "other"].into_iter(), SECOND);
    cooldowns.start("one", SECOND * 5, SECOND);
    listed.update(["other"].into_iter(), SECOND * 2);
    cooldowns.prune(|endpoint| listed.contains(endpoint), SECOND * 2);
    assert!(cooldowns.is_cooling_down("one", SECOND * 2));
}

#[test]
fn update_endpoint_gone_for_long_forgotten() {
    let mut listed = RecentlyListed::default();
    listed.update(["one", "other"].into_iter(), SECOND);
    listed.update(["other"].into_iter(), SECOND + UNLISTED_KEPT_FOR);
    assert!(!listed.contains("one"));
    assert!(listed.contains("other"));
}
