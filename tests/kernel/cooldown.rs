//! Cooldowns that endpoints ask for.

use std::time::Duration;

use larkwick::kernel::cooldown::{
    COOLDOWN_MAX, EXEMPT_REQUESTS_MAX, EndpointCooldowns, ServiceAvailability,
};

const NOW: Duration = Duration::from_secs(100);

const fn after(seconds: u64) -> Duration {
    Duration::from_secs(100 + seconds)
}

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn start_lasts_until_its_end() {
    let mut cooldowns = EndpointCooldowns::default();
    assert!(cooldowns.start("e", seconds(3), NOW));
    assert!(cooldowns.is_cooling_down("e", after(2)));
    assert!(!cooldowns.is_cooling_down("e", after(3)));
    assert!(!cooldowns.is_cooling_down("other", NOW));
}

#[test]
fn start_shorter_after_longer_keeps_the_later_end() {
    let mut cooldowns = EndpointCooldowns::default();
    cooldowns.start("e", seconds(5), NOW);
    assert!(
        !cooldowns.start("e", seconds(1), after(1)),
        "already cooling down"
    );
    assert_eq!(cooldowns.ends_at("e", after(2)), Some(after(5)));
    cooldowns.start("e", seconds(5), after(2));
    assert_eq!(cooldowns.ends_at("e", after(2)), Some(after(7)));
}

#[test]
fn start_zero_or_endless_bounded() {
    let mut cooldowns = EndpointCooldowns::default();
    assert!(!cooldowns.start("e", Duration::ZERO, NOW));
    assert!(!cooldowns.is_cooling_down("e", NOW));
    cooldowns.start("e", Duration::MAX, NOW);
    assert_eq!(cooldowns.ends_at("e", NOW), Some(NOW + COOLDOWN_MAX));
}

#[test]
fn try_admit_exempt_limited_in_one_cooldown() {
    let mut cooldowns = EndpointCooldowns::default();
    cooldowns.start("e", seconds(3), NOW);
    let admitted = (0..10).filter(|_| cooldowns.try_admit_exempt("e", NOW));
    assert_eq!(admitted.count(), EXEMPT_REQUESTS_MAX as usize);
    cooldowns.start("e", seconds(3), after(1));
    assert!(
        !cooldowns.try_admit_exempt("e", after(3)),
        "the same cooldown, extended"
    );
    assert!(
        cooldowns.try_admit_exempt("e", after(4)),
        "not cooling down"
    );
    cooldowns.start("e", seconds(3), after(9));
    assert!(cooldowns.try_admit_exempt("e", after(9)), "a new cooldown");
}

#[test]
fn prune_over_or_gone_removed() {
    let mut cooldowns = EndpointCooldowns::default();
    for (endpoint, cooldown) in [("over", 1), ("gone", 9), ("cooling", 9)] {
        cooldowns.start(endpoint, seconds(cooldown), NOW);
    }
    cooldowns.prune(|endpoint| endpoint != "gone", after(2));
    let left: Vec<&str> = cooldowns.cooling_down(NOW).collect();
    assert_eq!(left, ["cooling"]);
}

#[test]
fn for_request_one_endpoint_available() {
    let cooldowns = [Some(after(3)), None];
    assert_eq!(
        ServiceAvailability::for_request(cooldowns, after(9)),
        ServiceAvailability::Available
    );
    assert_eq!(
        ServiceAvailability::for_request([], after(9)),
        ServiceAvailability::Available
    );
}

#[test]
fn for_request_all_cooling_down_earliest_end_decides() {
    let cooldowns = [Some(after(3)), Some(after(2))];
    assert_eq!(
        ServiceAvailability::for_request(cooldowns, after(2)),
        ServiceAvailability::AvailableAt { at: after(2) }
    );
    let unavailable = ServiceAvailability::Unavailable { until: after(2) };
    assert_eq!(
        ServiceAvailability::for_request(cooldowns, after(1)),
        unavailable
    );
}
