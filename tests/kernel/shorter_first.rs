//! Shorter generations first: a crowd of many short ones beside few long ones, and its bound.

use std::time::Duration;

use larkwick::kernel::admission_queue::{
    Admission, AdmissionPolicy, AdmissionQueue, AdmissionRequest, QueueTicket, RefusalReason,
};
use larkwick::kernel::engine_ledger::{EngineLedger, EngineRequirements, ListedEngine, RunDemand};
use larkwick::kernel::fair_shares::AccountWeights;
use larkwick::kernel::rollout_evidence::Version;
use proptest::prelude::{prop_assert, proptest};

use crate::crowded_engines::{Counts, Kind, Load, Outcome, replay, steady};

const SHORT: Kind = Kind {
    prompt_tokens: 1_500,
    output_tokens: 120,
    priority: 2,
    objective: Duration::from_millis(3_600),
    patience: Duration::from_millis(15_600),
};
/// The fifth beneath the largest tenth.
const LARGE: Kind = Kind {
    prompt_tokens: 4_000,
    output_tokens: 500,
    ..SHORT
};
const LARGEST: Kind = Kind {
    prompt_tokens: 8_000,
    output_tokens: 900,
    ..SHORT
};
/// Time until the objective of those in the tests of the order.
const OWN_TIME: Duration = Duration::from_hours(1);
/// A generation is not overtaken by those that arrive later than it by this part of its time.
const OVERTAKEN_WITHIN_DIVISOR: u32 = 4;

fn shorter_first() -> AdmissionPolicy {
    AdmissionPolicy {
        shorter_first: true,
        wait_past_objective: true,
        ..AdmissionPolicy::default()
    }
}

/// The same without shorter ones first.
fn by_arrival() -> AdmissionPolicy {
    AdmissionPolicy {
        shorter_first: false,
        ..shorter_first()
    }
}

/// Eight engines get more than they can serve for six seconds.
fn crowd(policy: AdmissionPolicy, usual_per_s: f64, burst_per_s: f64) -> Outcome {
    let mut arrivals = Vec::new();
    let kinds = [
        ("short", SHORT, 0.7),
        ("large", LARGE, 0.2),
        ("largest", LARGEST, 0.1),
    ];
    for (name, kind, share) in kinds {
        arrivals.extend(steady(name, kind, 0.0, 24.0, usual_per_s * share));
        let further_per_s = (burst_per_s - usual_per_s) * share;
        arrivals.extend(steady(name, kind, 4.0, 10.0, further_per_s));
    }
    replay(Load {
        policy,
        engines: 8,
        arrivals,
        ends_at: Duration::from_secs(40),
        leave_interval: None,
        owner_lost_at: None,
    })
}

fn assert_more_in_time(with: &Outcome, without: &Outcome) {
    let in_time = |outcome: &Outcome| outcome.by_priority[&2].in_time;
    assert!(in_time(with) > in_time(without), "{with:?} {without:?}");
    let of_all = whole_share(&with.by_priority[&2]);
    for name in ["large", "largest"] {
        let share = whole_share(&with.by_account[name]);
        assert!(share >= 0.5 * of_all, "{name} {with:?}");
    }
}

#[test]
fn admit_waiting_burst_more_served_in_time() {
    let with = crowd(shorter_first(), 10.0, 30.0);
    assert_more_in_time(&with, &crowd(by_arrival(), 10.0, 30.0));
}

#[test]
fn admit_waiting_crowd_that_lasts_more_served_in_time() {
    let with = crowd(shorter_first(), 24.0, 30.0);
    assert_more_in_time(&with, &crowd(by_arrival(), 24.0, 30.0));
}

fn whole_share(counts: &Counts) -> f64 {
    f64::from(counts.whole()) / f64::from(counts.asked)
}

/// An engine with one slot, which is taken, and a queue.
struct OneSlot {
    ledger: EngineLedger,
    queue: AdmissionQueue,
    running: String,
    runs: Vec<(QueueTicket, String)>,
}

impl OneSlot {
    fn new(policy: AdmissionPolicy) -> Self {
        let mut ledger = EngineLedger::default();
        ledger.set_engines(vec![ListedEngine {
            id: "e".to_owned(),
            slots: 1,
            memory_tokens: 40_000,
            ..ListedEngine::default()
        }]);
        let mut queue = AdmissionQueue::default();
        queue.set_policy(policy);
        queue.request_admission(
            &mut ledger,
            request("first", "", 1_000, Duration::ZERO),
            Duration::ZERO,
        );
        Self {
            ledger,
            queue,
            running: "first".to_owned(),
            runs: Vec::new(),
        }
    }

    fn wait(&mut self, run: &str, account: &str, prompt_tokens: u32, now: Duration) {
        let request = request(run, account, prompt_tokens, now);
        match self.queue.request_admission(&mut self.ledger, request, now) {
            Admission::Queued(ticket) => self.runs.push((ticket, run.to_owned())),
            other => panic!("{other:?}"),
        }
    }

    /// Returns the runs in the order in which they get the slot.
    fn serve(&mut self, now: Duration) -> Vec<String> {
        let mut served = Vec::new();
        for _ in 0..self.runs.len() {
            self.ledger.release(&self.running);
            let outcomes = self.queue.admit_waiting(&mut self.ledger, now);
            let placed = outcomes.iter().find(|outcome| outcome.granted.is_some());
            let ticket = placed.expect("one is placed").ticket;
            let run = self.runs.iter().find(|run| run.0 == ticket).expect("waits");
            self.running.clone_from(&run.1);
            served.push(run.1.clone());
        }
        served
    }
}

fn request(run: &str, account: &str, prompt_tokens: u32, now: Duration) -> AdmissionRequest {
    AdmissionRequest {
        demand: RunDemand {
            run: run.to_owned(),
            prompt_tokens,
            generated_max_tokens: 1,
            account: Some(account.to_owned()),
            ..RunDemand::default()
        },
        entry: "n".to_owned(),
        excluded: Vec::new(),
        objective_at: now + OWN_TIME,
        deadline: now + OWN_TIME,
    }
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

#[test]
fn admit_waiting_shares_of_accounts_shorter_first_within_an_account() {
    let mut policy = shorter_first();
    policy.shares = Some(AccountWeights::default());
    let mut one_slot = OneSlot::new(policy);
    one_slot.wait("a-long", "a", 20_000, secs(1));
    one_slot.wait("b-long", "b", 20_000, secs(1));
    one_slot.wait("a-short", "a", 500, secs(2));
    one_slot.wait("a-shorter", "a", 400, secs(2));
    assert_eq!(
        one_slot.serve(secs(3)),
        ["a-shorter", "b-long", "a-short", "a-long"]
    );
}

#[test]
fn set_policy_switched_off_while_waiting_by_arrival() {
    let mut one_slot = OneSlot::new(shorter_first());
    one_slot.wait("long", "a", 20_000, secs(1));
    one_slot.wait("short", "a", 500, secs(2));
    one_slot.queue.set_policy(AdmissionPolicy::default());
    assert_eq!(one_slot.serve(secs(3)), ["long", "short"]);
}

#[test]
fn request_admission_new_version_full_told_apart() {
    let mut one_slot = OneSlot::new(shorter_first());
    let mut request = request("new", "a", 500, secs(1));
    request.demand.requirements = EngineRequirements {
        version: Version::Target,
        ..EngineRequirements::default()
    };
    request.deadline = secs(1);
    request.objective_at = secs(1);
    let answer = one_slot
        .queue
        .request_admission(&mut one_slot.ledger, request, secs(1));
    let Admission::Refused(refusal) = answer else {
        panic!("{answer:?}")
    };
    assert_eq!(refusal.reason, RefusalReason::NewVersionFull);
}

proptest! {
    #[test]
    fn admit_waiting_random_sizes_none_overtaken_beyond_the_bound(
        calls in proptest::collection::vec((0..60_u64, 100..20_000_u32), 2..40),
    ) {
        let mut one_slot = OneSlot::new(shorter_first());
        let mut now = Duration::ZERO;
        let mut arrived_at = std::collections::BTreeMap::new();
        for (number, (gap_s, prompt_tokens)) in calls.iter().enumerate() {
            now += secs(*gap_s);
            let run = number.to_string();
            one_slot.wait(&run, "a", *prompt_tokens, now);
            arrived_at.insert(run, now);
        }
        let served = one_slot.serve(now);
        let arrivals: Vec<Duration> = served.iter().map(|run| arrived_at[run]).collect();
        for (turn, later) in arrivals.iter().enumerate() {
            let overtaken = arrivals[turn..].iter().min().expect("itself");
            let by = later.saturating_sub(*overtaken);
            prop_assert!(by <= OWN_TIME / OVERTAKEN_WITHIN_DIVISOR, "{by:?}");
        }
    }
}
