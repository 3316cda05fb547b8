//! Permits for endpoints that announce a limit: single requests, and a site whose instances have
//! different views of each other.

use std::collections::BTreeMap;
use std::time::Duration;

use larkwick::kernel::instance_count::InstanceCounter;
use larkwick::kernel::membership::rendezvous;
use larkwick::kernel::permits::{
    IssuerShare, LimitShare, PERMIT_VALID_FOR, PermitDecision, PermitIssuer, REQUEST_AGAIN_AFTER,
    RequestedPermits,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const NOW: Duration = Duration::from_secs(100);
const ENDPOINT: &str = "e";

const fn limit(per_s: f64, reachable: usize, total: usize) -> LimitShare {
    LimitShare {
        per_s,
        share: IssuerShare { reachable, total },
    }
}

/// Returns the number of permits granted to requesters that ask in turn every 10 ms.
fn count_granted(
    permits: &mut PermitIssuer,
    limit: LimitShare,
    requesters: &[&str],
    seconds: u64,
) -> u32 {
    let attempts = (0..seconds * 100).zip(requesters.iter().cycle());
    let decisions = attempts.map(|(number, requester)| {
        let now = NOW + Duration::from_millis(number * 10);
        permits.request(ENDPOINT, requester, limit, now)
    });
    let granted = decisions.filter(|decision| *decision == PermitDecision::Granted);
    u32::try_from(granted.count()).expect("fits u32")
}

#[test]
fn request_all_requesters_together_get_the_limit() {
    let mut permits = PermitIssuer::default();
    let granted_count = count_granted(&mut permits, limit(2.5, 6, 6), &["a", "b", "c", "d"], 40);
    assert!(
        (97..=101).contains(&granted_count),
        "{granted_count} of 100"
    );
}

#[test]
fn request_some_instances_reachable_only_their_share_granted() {
    let mut permits = PermitIssuer::default();
    let granted_count = count_granted(&mut permits, limit(2.5, 3, 6), &["a", "b", "c"], 40);
    assert!((47..=51).contains(&granted_count), "{granted_count} of 50");
}

#[test]
fn request_single_requester_capped_at_one_and_a_half_even_shares() {
    let mut permits = PermitIssuer::default();
    let granted_count = count_granted(&mut permits, limit(3.0, 5, 6), &["a"], 40);
    assert!((29..=31).contains(&granted_count), "{granted_count} of 30");
}

#[test]
fn request_issuer_without_members_denies() {
    let mut permits = PermitIssuer::default();
    let granted_count = count_granted(&mut permits, limit(100.0, 0, 1), &["a"], 10);
    assert_eq!(granted_count, 0);
}

#[test]
fn request_limit_of_zero_still_probed() {
    let mut permits = PermitIssuer::default();
    let granted_count = count_granted(&mut permits, limit(0.0, 6, 6), &["a", "b", "c", "d"], 40);
    assert!(
        (8..=10).contains(&granted_count),
        "{granted_count}: one in four seconds"
    );
}

#[test]
fn request_largest_limit_never_denied() {
    let mut permits = PermitIssuer::default();
    let granted_count = count_granted(&mut permits, limit(f64::MAX, 6, 6), &["a", "b"], 1);
    assert!(granted_count >= 99, "{granted_count} of 100");
}

#[test]
fn request_after_long_idle_burst_capped_at_a_quarter_second() {
    let mut permits = PermitIssuer::default();
    permits.start_accrual(ENDPOINT, Duration::ZERO);
    let limit = limit(20.0, 6, 6);
    let attempts = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let decisions = attempts.map(|requester| permits.request(ENDPOINT, requester, limit, NOW));
    let granted_count = decisions
        .iter()
        .filter(|decision| **decision == PermitDecision::Granted)
        .count();
    assert_eq!(granted_count, 6);
}

#[test]
fn request_denied_granted_at_the_returned_time() {
    let mut permits = PermitIssuer::default();
    let limit = limit(0.8, 6, 6);
    let PermitDecision::NotBefore(at) = permits.request(ENDPOINT, "a", limit, NOW) else {
        panic!("an issuer starts with an empty bucket");
    };
    assert_eq!(at, NOW + Duration::from_millis(1_250));
    assert_eq!(
        permits.request(ENDPOINT, "a", limit, at),
        PermitDecision::Granted
    );
}

#[test]
fn unused_permit_kept_until_it_expires() {
    let mut requested = RequestedPermits::default();
    requested.record_denial(ENDPOINT, NOW + Duration::from_mins(1), NOW);
    let retry_at = NOW + REQUEST_AGAIN_AFTER;
    assert_eq!(requested.denied_until(ENDPOINT, NOW), Some(retry_at));
    assert_eq!(requested.denied_until(ENDPOINT, retry_at), None);
    let expires_at = NOW + PERMIT_VALID_FOR;
    requested.keep_unused(ENDPOINT, expires_at);
    assert_eq!(requested.denied_until(ENDPOINT, NOW), None);
    assert_eq!(requested.take_unused(ENDPOINT, NOW), Some(expires_at));
    assert_eq!(requested.take_unused(ENDPOINT, NOW), None, "one request");
    requested.keep_unused(ENDPOINT, expires_at);
    assert_eq!(requested.take_unused(ENDPOINT, expires_at), None);
}

const STEP: Duration = Duration::from_millis(20);
const STEPS: u32 = 3_000;
/// A member without contact for this long counts as unreachable, as in `membership`.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The period over which users count requests.
const PERIOD: Duration = Duration::from_secs(4);

/// A fault in the site.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The instances below this number cannot reach the others.
    Partition(usize),
    /// Two instances cannot reach each other.
    LinkDown(usize, usize),
    /// One instance is paused and keeps the permits it has been granted.
    Paused(usize),
    /// One instance is killed and restarted.
    Restart(usize),
    /// All instances are killed and restarted.
    RestartAll,
}

struct Instance {
    permits: PermitIssuer,
    counter: InstanceCounter,
    last_contact: BTreeMap<usize, Duration>,
    paused_until: Duration,
    /// When it reads the list of all instance names.
    names_known_at: Duration,
    /// When the permits that it holds expire.
    unused_permits: Vec<Duration>,
}

impl Instance {
    fn new(now: Duration, names_known_at: Duration) -> Self {
        Self {
            permits: PermitIssuer::default(),
            counter: InstanceCounter::default(),
            last_contact: BTreeMap::new(),
            paused_until: now,
            names_known_at,
            unused_permits: Vec::new(),
        }
    }

    fn is_reachable(&self, other: usize, now: Duration) -> bool {
        let last_contact = self.last_contact.get(&other);
        last_contact.is_some_and(|at| now.saturating_sub(*at) < CONTACT_TIMEOUT)
    }
}

struct Site {
    random: StdRng,
    names: Vec<String>,
    instances: Vec<Instance>,
    faults: Vec<(Fault, Duration)>,
    limit_per_s: f64,
    now: Duration,
    sent: Vec<Duration>,
}

impl Site {
    fn new(count: usize, limit_per_s: f64, seed: u64) -> Self {
        let instances = (0..count).map(|_| Instance::new(Duration::ZERO, Duration::ZERO));
        Self {
            random: StdRng::seed_from_u64(seed),
            names: (0..count).map(|number| format!("n{number}")).collect(),
            instances: instances.collect(),
            faults: Vec::new(),
            limit_per_s,
            now: Duration::ZERO,
            sent: Vec::new(),
        }
    }

    fn inject(&mut self, fault: Fault, duration: Duration) {
        let until = self.now + duration;
        match fault {
            Fault::Partition(_) | Fault::LinkDown(..) => self.faults.push((fault, until)),
            Fault::Paused(instance) => {
                let instance = instance % self.instances.len();
                self.instances[instance].paused_until = until;
            }
            Fault::Restart(instance) => self.restart(instance % self.instances.len()),
            Fault::RestartAll => (0..self.instances.len()).for_each(|index| self.restart(index)),
        }
    }

    fn restart(&mut self, instance: usize) {
        let names_known_in = Duration::from_millis(self.random.random_range(0..1_500));
        self.instances[instance] = Instance::new(self.now, self.now + names_known_in);
    }

    fn is_paused(&self, instance: usize) -> bool {
        self.now < self.instances[instance].paused_until
    }

    fn can_reach(&self, instance: usize, other: usize) -> bool {
        let cuts_link = |fault: &Fault| match *fault {
            Fault::Partition(boundary) => {
                let boundary = 1 + boundary % (self.names.len() - 1);
                (instance < boundary) != (other < boundary)
            }
            Fault::LinkDown(first, second) => {
                let count = self.names.len();
                let pair = [first % count, second % count];
                pair == [instance, other] || pair == [other, instance]
            }
            _ => false,
        };
        let is_link_down = self.faults.iter().any(|(fault, _)| cuts_link(fault));
        !is_link_down && !self.is_paused(instance) && !self.is_paused(other)
    }

    fn exchange_heartbeats(&mut self) {
        let count = self.names.len();
        for instance in 0..count {
            for other in (0..count).filter(|other| *other != instance) {
                if self.can_reach(instance, other) {
                    let now = self.now;
                    self.instances[instance].last_contact.insert(other, now);
                }
            }
            if self.is_paused(instance) {
                continue;
            }
            let now = self.now;
            let observer = &self.instances[instance];
            let others = (0..count).filter(|other| *other != instance);
            let listed = others.filter(|other| {
                now >= observer.names_known_at || observer.last_contact.contains_key(other)
            });
            let listed: Vec<(&str, bool)> = listed
                .map(|other| {
                    (
                        self.names[other].as_str(),
                        observer.is_reachable(other, now),
                    )
                })
                .collect();
            self.instances[instance]
                .counter
                .observe(listed.into_iter(), now);
        }
    }

    /// Returns the instance that one instance believes to be the issuer.
    fn issuer(&self, instance: usize) -> usize {
        let reachable_names = (0..self.names.len()).filter(|other| {
            *other == instance || self.instances[instance].is_reachable(*other, self.now)
        });
        let reachable_names = reachable_names.map(|other| self.names[other].as_str());
        let issuer = rendezvous(ENDPOINT, reachable_names).expect("itself at least");
        let position = self.names.iter().position(|name| name == issuer);
        position.expect("a name")
    }

    fn request_permit(&mut self, instance: usize) {
        let issuer = self.issuer(instance);
        let is_reached = issuer == instance || self.can_reach(instance, issuer);
        if !is_reached
            || self.issuer(issuer) != issuer
            || self.now < self.instances[issuer].names_known_at
        {
            return;
        }
        let others = (0..self.names.len()).filter(|other| *other != issuer);
        let reachable_names =
            others.filter(|other| self.instances[issuer].is_reachable(*other, self.now));
        let reachable = 1 + reachable_names.count();
        let requester = self.names[instance].clone();
        let now = self.now;
        let issuing = &mut self.instances[issuer];
        let share = limit(self.limit_per_s, reachable, issuing.counter.count());
        if issuing.permits.request(ENDPOINT, &requester, share, now) == PermitDecision::Granted {
            self.instances[instance]
                .unused_permits
                .push(now + PERMIT_VALID_FOR);
        }
    }

    /// Uses the permits of an instance, at once or some time later.
    fn use_permits(&mut self, instance: usize) {
        let now = self.now;
        let mut unused_permits = std::mem::take(&mut self.instances[instance].unused_permits);
        unused_permits.retain(|expires_at| now < *expires_at);
        while !unused_permits.is_empty() && self.random.random_bool(0.4) {
            unused_permits.pop();
            self.sent.push(now);
        }
        self.instances[instance].unused_permits = unused_permits;
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.faults.retain(|(_, until)| now < *until);
        if self.now.as_millis().is_multiple_of(100) {
            self.exchange_heartbeats();
        }
        for instance in 0..self.names.len() {
            if self.is_paused(instance) {
                continue;
            }
            if self.random.random_bool(0.5) {
                self.request_permit(instance);
            }
            self.use_permits(instance);
        }
    }

    fn max_within_period(&self) -> usize {
        let within = |first: &Duration| {
            let period = *first..*first + PERIOD;
            self.sent.iter().filter(|at| period.contains(*at)).count()
        };
        self.sent.iter().map(within).max().unwrap_or_default()
    }
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0_usize..9).prop_map(Fault::Partition),
        (0_usize..9, 0_usize..9).prop_map(|(instance, other)| Fault::LinkDown(instance, other)),
        (0_usize..9).prop_map(Fault::Paused),
        (0_usize..9).prop_map(Fault::Restart),
        Just(Fault::RestartAll),
    ]
}

/// The step at which each fault begins, the fault, and its duration in milliseconds.
fn faults() -> impl Strategy<Value = Vec<(u32, Fault, u64)>> {
    prop::collection::vec((0..STEPS, any_fault(), 100_u64..40_000), 0..6)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Over any period, all instances together send at most one and a half times the endpoint's
    /// limit plus five requests, whichever instance each believes to be the issuer.
    #[test]
    fn request_site_with_faults_sum_within_limit(
        count in 2_usize..9,
        limit_per_s in prop_oneof![Just(0.0), 0.1_f64..40.0],
        faults in faults(),
        seed in any::<u64>(),
    ) {
        let mut site = Site::new(count, limit_per_s, seed);
        for step in 0..STEPS {
            for (at, fault, duration_ms) in &faults {
                if *at == step {
                    site.inject(*fault, Duration::from_millis(*duration_ms));
                }
            }
            site.step();
        }
        let max_sent = u32::try_from(site.max_within_period()).expect("fits u32");
        let allowed = 1.5 * limit_per_s * PERIOD.as_secs_f64() + 5.0;
        prop_assert!(f64::from(max_sent) <= allowed, "{} of {}", max_sent, allowed);
    }
}
