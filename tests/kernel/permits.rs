//! Permits for endpoints that name a limit: one by one, and in a site whose instances see each other differently.

use std::collections::BTreeMap;
use std::time::Duration;

use larkwick::kernel::membership::rendezvous;
use larkwick::kernel::permits::{
    ASKED_AGAIN_AFTER, Answer, AskedPermits, LimitShare, PERMIT_LASTS, Permits, SumShare,
};
use larkwick::kernel::sharers::Sharers;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const NOW: Duration = Duration::from_secs(100);
const ENDPOINT: &str = "e";

const fn limit(per_s: f64, lending: usize, of: usize) -> LimitShare {
    LimitShare {
        per_s,
        share: SumShare { lending, of },
    }
}

/// Permits granted to askers that ask in turn each 10 ms for so many seconds.
fn granted(permits: &mut Permits, limit: LimitShare, askers: &[&str], seconds: u64) -> u32 {
    let asks = (0..seconds * 100).zip(askers.iter().cycle());
    let answers = asks.map(|(number, asker)| {
        let now = NOW + Duration::from_millis(number * 10);
        permits.ask(ENDPOINT, asker, limit, now)
    });
    let granted = answers.filter(|answer| *answer == Answer::Granted);
    u32::try_from(granted.count()).expect("few")
}

#[test]
fn ask_all_askers_together_get_what_the_endpoint_takes() {
    let mut permits = Permits::default();
    let got = granted(&mut permits, limit(2.5, 6, 6), &["a", "b", "c", "d"], 40);
    assert!((97..=101).contains(&got), "{got} of 100");
}

#[test]
fn ask_part_of_the_instances_heard_that_part_given() {
    let mut permits = Permits::default();
    let got = granted(&mut permits, limit(2.5, 3, 6), &["a", "b", "c"], 40);
    assert!((47..=51).contains(&got), "{got} of 50");
}

#[test]
fn ask_one_asker_alone_gets_half_as_much_again_as_its_even_part_at_most() {
    let mut permits = Permits::default();
    let got = granted(&mut permits, limit(3.0, 5, 6), &["a"], 40);
    assert!((29..=31).contains(&got), "{got} of 30");
}

#[test]
fn ask_giver_that_knows_no_members_gives_nothing() {
    let mut permits = Permits::default();
    let got = granted(&mut permits, limit(100.0, 0, 1), &["a"], 10);
    assert_eq!(got, 0);
}

#[test]
fn ask_endpoint_that_takes_nothing_tried_now_and_then() {
    let mut permits = Permits::default();
    let got = granted(&mut permits, limit(0.0, 6, 6), &["a", "b", "c", "d"], 40);
    assert!((8..=10).contains(&got), "{got}: one in four seconds");
}

#[test]
fn ask_largest_limit_there_is_no_end_of_permits() {
    let mut permits = Permits::default();
    let got = granted(&mut permits, limit(f64::MAX, 6, 6), &["a", "b"], 1);
    assert!(got >= 99, "{got} of 100");
}

#[test]
fn ask_after_a_long_pause_no_more_than_a_quarter_of_a_second_at_once() {
    let mut permits = Permits::default();
    permits.begin(ENDPOINT, Duration::ZERO);
    let limit = limit(20.0, 6, 6);
    let asks = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let got = asks.map(|asker| permits.ask(ENDPOINT, asker, limit, NOW));
    let got = got.iter().filter(|one| **one == Answer::Granted).count();
    assert_eq!(got, 6);
}

#[test]
fn ask_refused_told_when_and_granted_then() {
    let mut permits = Permits::default();
    let limit = limit(0.8, 6, 6);
    let Answer::NotBefore(at) = permits.ask(ENDPOINT, "a", limit, NOW) else {
        panic!("a giver begins with nothing");
    };
    assert_eq!(at, NOW + Duration::from_millis(1_250));
    assert_eq!(permits.ask(ENDPOINT, "a", limit, at), Answer::Granted);
}

#[test]
fn asked_permit_not_used_kept_until_it_is_void() {
    let mut asked = AskedPermits::default();
    asked.refused(ENDPOINT, NOW + Duration::from_mins(1), NOW);
    let again = NOW + ASKED_AGAIN_AFTER;
    assert_eq!(asked.none_before(ENDPOINT, NOW), Some(again));
    assert_eq!(asked.none_before(ENDPOINT, again), None);
    let void_at = NOW + PERMIT_LASTS;
    asked.keep(ENDPOINT, void_at);
    assert_eq!(asked.none_before(ENDPOINT, NOW), None);
    assert_eq!(asked.take_kept(ENDPOINT, NOW), Some(void_at));
    assert_eq!(asked.take_kept(ENDPOINT, NOW), None, "one request");
    asked.keep(ENDPOINT, void_at);
    assert_eq!(asked.take_kept(ENDPOINT, void_at), None);
}

const STEP: Duration = Duration::from_millis(20);
const STEPS: u32 = 3_000;
/// A member that was not heard for this long does not live; as in `membership`.
const SILENT_AFTER: Duration = Duration::from_millis(2_500);
/// The span that users count over.
const SPAN: Duration = Duration::from_secs(4);

/// What befalls a site, for so many steps.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The instances below this number hear none of the others.
    Apart(usize),
    /// Two instances do not hear each other.
    Pair(usize, usize),
    /// One stands still, with what it has been granted.
    Still(usize),
    /// One is killed and starts again.
    Killed(usize),
    /// All are killed and start again.
    AllKilled,
}

struct Instance {
    permits: Permits,
    sharers: Sharers,
    heard_at: BTreeMap<usize, Duration>,
    still_until: Duration,
    /// It knows the names of all from then on.
    lists_at: Duration,
    /// When permits that it has are void.
    has: Vec<Duration>,
}

impl Instance {
    fn started(now: Duration, lists_at: Duration) -> Self {
        Self {
            permits: Permits::default(),
            sharers: Sharers::default(),
            heard_at: BTreeMap::new(),
            still_until: now,
            lists_at,
            has: Vec::new(),
        }
    }

    fn lives(&self, other: usize, now: Duration) -> bool {
        let heard = self.heard_at.get(&other);
        heard.is_some_and(|at| now.saturating_sub(*at) < SILENT_AFTER)
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
        let instances = (0..count).map(|_| Instance::started(Duration::ZERO, Duration::ZERO));
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

    fn begin(&mut self, fault: Fault, lasts: Duration) {
        let until = self.now + lasts;
        match fault {
            Fault::Apart(_) | Fault::Pair(..) => self.faults.push((fault, until)),
            Fault::Still(one) => {
                let one = one % self.instances.len();
                self.instances[one].still_until = until;
            }
            Fault::Killed(one) => self.kill(one % self.instances.len()),
            Fault::AllKilled => (0..self.instances.len()).for_each(|one| self.kill(one)),
        }
    }

    fn kill(&mut self, one: usize) {
        let lists_in = Duration::from_millis(self.random.random_range(0..1_500));
        self.instances[one] = Instance::started(self.now, self.now + lists_in);
    }

    fn is_still(&self, one: usize) -> bool {
        self.now < self.instances[one].still_until
    }

    fn reach(&self, one: usize, other: usize) -> bool {
        let cut = |fault: &Fault| match *fault {
            Fault::Apart(below) => {
                let below = 1 + below % (self.names.len() - 1);
                (one < below) != (other < below)
            }
            Fault::Pair(first, second) => {
                let count = self.names.len();
                let pair = [first % count, second % count];
                pair == [one, other] || pair == [other, one]
            }
            _ => false,
        };
        let is_cut = self.faults.iter().any(|(fault, _)| cut(fault));
        !is_cut && !self.is_still(one) && !self.is_still(other)
    }

    fn hear(&mut self) {
        let count = self.names.len();
        for one in 0..count {
            for other in (0..count).filter(|other| *other != one) {
                if self.reach(one, other) {
                    let now = self.now;
                    self.instances[one].heard_at.insert(other, now);
                }
            }
            if self.is_still(one) {
                continue;
            }
            let now = self.now;
            let instance = &self.instances[one];
            let others = (0..count).filter(|other| *other != one);
            let named = others
                .filter(|other| now >= instance.lists_at || instance.heard_at.contains_key(other));
            let named: Vec<(&str, bool)> = named
                .map(|other| (self.names[other].as_str(), instance.lives(other, now)))
                .collect();
            self.instances[one].sharers.look(named.into_iter(), now);
        }
    }

    /// The instance that one takes for the giver.
    fn giver(&self, one: usize) -> usize {
        let live = (0..self.names.len())
            .filter(|other| *other == one || self.instances[one].lives(*other, self.now));
        let live = live.map(|other| self.names[other].as_str());
        let giver = rendezvous(ENDPOINT, live).expect("itself at least");
        let place = self.names.iter().position(|name| name == giver);
        place.expect("a name")
    }

    fn ask(&mut self, one: usize) {
        let giver = self.giver(one);
        let is_reached = giver == one || self.reach(one, giver);
        if !is_reached || self.giver(giver) != giver || self.now < self.instances[giver].lists_at {
            return;
        }
        let others = (0..self.names.len()).filter(|other| *other != giver);
        let live = others.filter(|other| self.instances[giver].lives(*other, self.now));
        let lending = 1 + live.count();
        let asker = self.names[one].clone();
        let now = self.now;
        let giving = &mut self.instances[giver];
        let share = limit(self.limit_per_s, lending, giving.sharers.count());
        if giving.permits.ask(ENDPOINT, &asker, share, now) == Answer::Granted {
            self.instances[one].has.push(now + PERMIT_LASTS);
        }
    }

    /// Uses what it was granted, at once or a while later.
    fn send(&mut self, one: usize) {
        let now = self.now;
        let mut has = std::mem::take(&mut self.instances[one].has);
        has.retain(|void| now < *void);
        while !has.is_empty() && self.random.random_bool(0.4) {
            has.pop();
            self.sent.push(now);
        }
        self.instances[one].has = has;
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.faults.retain(|(_, until)| now < *until);
        if self.now.as_millis().is_multiple_of(100) {
            self.hear();
        }
        for one in 0..self.names.len() {
            if self.is_still(one) {
                continue;
            }
            if self.random.random_bool(0.5) {
                self.ask(one);
            }
            self.send(one);
        }
    }

    fn most_within_span(&self) -> usize {
        let within = |first: &Duration| {
            let span = *first..*first + SPAN;
            self.sent.iter().filter(|at| span.contains(*at)).count()
        };
        self.sent.iter().map(within).max().unwrap_or_default()
    }
}

fn a_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0_usize..9).prop_map(Fault::Apart),
        (0_usize..9, 0_usize..9).prop_map(|(one, other)| Fault::Pair(one, other)),
        (0_usize..9).prop_map(Fault::Still),
        (0_usize..9).prop_map(Fault::Killed),
        Just(Fault::AllKilled),
    ]
}

/// When a fault begins, in steps, which, and for how many milliseconds.
fn faults() -> impl Strategy<Value = Vec<(u32, Fault, u64)>> {
    prop::collection::vec((0..STEPS, a_fault(), 100_u64..40_000), 0..6)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// In no span do all instances together send more than half as many again as the endpoint takes, and five, whoever takes whom for the giver.
    #[test]
    fn ask_site_with_faults_sum_kept(
        count in 2_usize..9,
        limit_per_s in prop_oneof![Just(0.0), 0.1_f64..40.0],
        faults in faults(),
        seed in any::<u64>(),
    ) {
        let mut site = Site::new(count, limit_per_s, seed);
        for step in 0..STEPS {
            for (at, fault, lasts_ms) in &faults {
                if *at == step {
                    site.begin(*fault, Duration::from_millis(*lasts_ms));
                }
            }
            site.step();
        }
        let most = u32::try_from(site.most_within_span()).expect("few");
        let allowed = 1.5 * limit_per_s * SPAN.as_secs_f64() + 5.0;
        prop_assert!(f64::from(most) <= allowed, "{} of {}", most, allowed);
    }
}
