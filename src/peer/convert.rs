//! Conversions between the kernel's types and the messages exchanged by instances.

use std::time::Duration;

use uuid::Uuid;

use super::generated as wire;
use crate::kernel::clock::millis;
use crate::kernel::crash_suspects::{EndpointCrash, SuspectReport};
use crate::kernel::engine_ledger::{EngineRequirements, MoveResult, ReportedRun, RunDemand};
use crate::kernel::evacuation::EvacuatedHalls;
use crate::kernel::fingerprint::{Fingerprint, HeadHash};
use crate::kernel::gossip::Gossip;
use crate::kernel::group::ReserveRequest;
use crate::kernel::member_states::MemberState;
use crate::kernel::membership::{Incarnation, PeerStatus};
use crate::kernel::pause_counts::{EnginePauses, PauseCounts};
use crate::kernel::position::Position;
use crate::kernel::region::AllowedRegions;
use crate::kernel::rollout::Phase;
use crate::kernel::rollout_evidence::{RolloutOutcome, Version};

/// A field of a peer's message is missing or invalid; contains its name.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("field {0} of a peer's message is missing or invalid")]
pub struct InvalidMessageField(pub(crate) &'static str);

impl From<InvalidMessageField> for tonic::Status {
    fn from(error: InvalidMessageField) -> Self {
        Self::invalid_argument(error.to_string())
    }
}

/// Parses the id in the named field of a message.
pub(crate) fn parse_id(text: &str, field: &'static str) -> Result<Uuid, InvalidMessageField> {
    text.parse().map_err(|_| InvalidMessageField(field))
}

impl From<&Incarnation> for wire::Incarnation {
    fn from(incarnation: &Incarnation) -> Self {
        Self {
            name: incarnation.name.clone(),
            id: incarnation.id.to_string(),
        }
    }
}

impl TryFrom<wire::Incarnation> for Incarnation {
    type Error = InvalidMessageField;

    fn try_from(message: wire::Incarnation) -> Result<Self, InvalidMessageField> {
        Ok(Self {
            id: parse_id(&message.id, "incarnation")?,
            name: message.name,
        })
    }
}

impl From<&PeerStatus> for wire::Status {
    fn from(status: &PeerStatus) -> Self {
        Self {
            incarnation: Some((&status.incarnation).into()),
            hall: status.hall.clone(),
            caller_address: status.caller_address.clone(),
            peer_address: status.peer_address.clone(),
            operator_address: status.operator_address.clone(),
            leaving: status.leaving,
            ticket_epoch: status.ticket_epoch,
            config_next_offset: status.config_next_offset,
        }
    }
}

impl TryFrom<wire::Status> for PeerStatus {
    type Error = InvalidMessageField;

    fn try_from(message: wire::Status) -> Result<Self, InvalidMessageField> {
        let incarnation = message
            .incarnation
            .ok_or(InvalidMessageField("incarnation"))?;
        Ok(Self {
            incarnation: incarnation.try_into()?,
            hall: message.hall,
            caller_address: message.caller_address,
            peer_address: message.peer_address,
            operator_address: message.operator_address,
            leaving: message.leaving,
            ticket_epoch: message.ticket_epoch,
            config_next_offset: message.config_next_offset,
        })
    }
}

impl From<&EvacuatedHalls> for wire::EvacuatedHalls {
    fn from(evacuated: &EvacuatedHalls) -> Self {
        Self {
            halls: evacuated.halls.iter().cloned().collect(),
            complete_to: evacuated.complete_to.offset(),
            era: evacuated.complete_to.era(),
        }
    }
}

impl From<wire::EvacuatedHalls> for EvacuatedHalls {
    fn from(message: wire::EvacuatedHalls) -> Self {
        Self {
            halls: message.halls.into_iter().collect(),
            complete_to: Position::new(message.era, message.complete_to),
        }
    }
}

impl From<MemberState> for wire::Standing {
    fn from(state: MemberState) -> Self {
        Self {
            member: state.member,
            life: state.refutations,
            silent: state.unreachable,
        }
    }
}

impl From<wire::Standing> for MemberState {
    fn from(message: wire::Standing) -> Self {
        Self {
            member: message.member,
            refutations: message.life,
            unreachable: message.silent,
        }
    }
}

impl From<Gossip> for wire::Gossip {
    fn from(gossip: Gossip) -> Self {
        Self {
            suspected: gossip.suspected,
            heard: gossip.reachable,
            standings: gossip.states.into_iter().map(Into::into).collect(),
            asks_whole: gossip.requests_full_sync,
            is_whole: gossip.is_full_sync,
        }
    }
}

impl From<wire::Gossip> for Gossip {
    fn from(message: wire::Gossip) -> Self {
        Self {
            suspected: message.suspected,
            reachable: message.heard,
            states: message.standings.into_iter().map(Into::into).collect(),
            requests_full_sync: message.asks_whole,
            is_full_sync: message.is_whole,
        }
    }
}

impl From<&SuspectReport> for wire::Suspect {
    fn from(report: &SuspectReport) -> Self {
        let crashes = report.crashes.iter().map(|crash| wire::EndpointEnd {
            endpoint: crash.endpoint,
            software: crash.software,
            beginning: crash.at_start,
        });
        Self {
            head: report.fingerprint.head.0,
            whole: report.fingerprint.full.to_be_bytes().to_vec(),
            life: report.epoch,
            innocent: report.innocent,
            ran_on: report.ran_past_start,
            ends: crashes.collect(),
            last_end_ms_ago: millis(report.last_crash_age),
            sound_on: report.finished_on.clone(),
        }
    }
}

impl TryFrom<wire::Suspect> for SuspectReport {
    type Error = InvalidMessageField;

    fn try_from(message: wire::Suspect) -> Result<Self, InvalidMessageField> {
        let full = message
            .whole
            .try_into()
            .map_err(|_| InvalidMessageField("whole"))?;
        let crashes = message.ends.into_iter().map(|crash| EndpointCrash {
            endpoint: crash.endpoint,
            software: crash.software,
            at_start: crash.beginning,
        });
        Ok(Self {
            fingerprint: Fingerprint {
                head: HeadHash(message.head),
                full: u128::from_be_bytes(full),
            },
            epoch: message.life,
            innocent: message.innocent,
            ran_past_start: message.ran_on,
            crashes: crashes.collect(),
            last_crash_age: Duration::from_millis(message.last_end_ms_ago),
            finished_on: message.sound_on,
        })
    }
}

/// Encodes a reservation request to the owner of a group.
pub(crate) fn reserve_to_wire(group: &str, request: &ReserveRequest) -> wire::ReserveRequest {
    wire::ReserveRequest {
        group: group.to_owned(),
        reservation_id: request.reservation_id.to_string(),
        entry: request.entry.clone(),
        account: request.account.clone(),
        share: request.share,
        model: request.model.clone(),
        prompt_tokens: request.prompt_tokens,
        max_tokens: request.max_tokens,
        priority: request.priority,
        deadline_ms: millis(request.deadline),
        prefix: request.prefix,
        candidates: request.candidates.clone(),
    }
}

/// Decodes a reservation request at the owner of the group.
pub(crate) fn reserve_from_wire(
    message: wire::ReserveRequest,
) -> Result<ReserveRequest, InvalidMessageField> {
    Ok(ReserveRequest {
        reservation_id: parse_id(&message.reservation_id, "reservation_id")?,
        entry: message.entry,
        account: message.account,
        share: message.share,
        model: message.model,
        prompt_tokens: message.prompt_tokens,
        max_tokens: message.max_tokens,
        priority: message.priority,
        deadline: Duration::from_millis(message.deadline_ms),
        prefix: message.prefix,
        candidates: message.candidates,
    })
}

/// Returns the whole milliseconds of a time, at most the largest number.
fn millis_u32(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn non_empty(text: String) -> Option<String> {
    (!text.is_empty()).then_some(text)
}

impl From<&RunDemand> for wire::Demand {
    fn from(demand: &RunDemand) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "an estimate needs no more precision"
        )]
        let made_hint_tokens = demand.generated_hint_tokens.unwrap_or_default() as f32;
        let regions = demand.requirements.regions.names().into_iter().flatten();
        Self {
            run: demand.run.clone(),
            prompt_tokens: demand.prompt_tokens,
            made_max_tokens: demand.generated_max_tokens,
            made_hint_tokens,
            priority: demand.priority,
            target_version: demand.requirements.version == Version::Target,
            restricts_regions: demand.requirements.regions.is_restricted(),
            regions: regions.cloned().collect(),
            account: demand.account.clone().unwrap_or_default(),
            pause_max_ms: demand.pause_max.map_or(0, millis_u32),
            // Zero means that it is not known.
            first_event_within_ms: demand
                .first_event_within
                .map_or(0, |within| millis_u32(within).max(1)),
            wants_copy: demand.wants_copy,
        }
    }
}

impl From<wire::Demand> for RunDemand {
    fn from(message: wire::Demand) -> Self {
        let hint = f64::from(message.made_hint_tokens);
        Self {
            run: message.run,
            prompt_tokens: message.prompt_tokens,
            generated_max_tokens: message.made_max_tokens,
            generated_hint_tokens: (hint > 0.0).then_some(hint),
            priority: message.priority,
            account: non_empty(message.account),
            pause_max: non_zero_ms(message.pause_max_ms),
            first_event_within: non_zero_ms(message.first_event_within_ms),
            wants_copy: message.wants_copy,
            requirements: EngineRequirements {
                version: version_from_wire(message.target_version),
                regions: if message.restricts_regions {
                    AllowedRegions::only(message.regions)
                } else {
                    AllowedRegions::default()
                },
            },
        }
    }
}

fn non_zero_ms(length_ms: u32) -> Option<Duration> {
    (length_ms > 0).then(|| Duration::from_millis(u64::from(length_ms)))
}

fn version_from_wire(is_target: bool) -> Version {
    if is_target {
        Version::Target
    } else {
        Version::Current
    }
}

impl From<&RolloutOutcome> for wire::RolloutOutcome {
    fn from(outcome: &RolloutOutcome) -> Self {
        Self {
            route: outcome.route.clone(),
            target_version: outcome.version == Version::Target,
            failed: outcome.failed,
            latency_ms: u32::try_from(millis(outcome.latency)).unwrap_or(u32::MAX),
        }
    }
}

/// Decodes an outcome that was received at `observed_at`.
pub(crate) fn rollout_outcome(
    message: wire::RolloutOutcome,
    observed_at: Duration,
) -> RolloutOutcome {
    RolloutOutcome {
        route: message.route,
        version: version_from_wire(message.target_version),
        failed: message.failed,
        latency: Duration::from_millis(u64::from(message.latency_ms)),
        observed_at,
    }
}

/// Encodes the directive of an owner; `None` if it has none.
pub(crate) fn rollout_directive(phase: Option<Phase>) -> wire::RolloutDirective {
    let (phase, share) = match phase {
        None => (0, 0.0),
        Some(Phase::Canary { share }) => (1, share),
        Some(Phase::Finishing) => (2, 1.0),
        Some(Phase::Completed) => (3, 1.0),
        Some(Phase::Reverted) => (4, 0.0),
    };
    wire::RolloutDirective { phase, share }
}

/// Decodes a directive; `None` if the owner had none.
pub(crate) fn rollout_phase(message: &wire::RolloutDirective) -> Option<Phase> {
    match message.phase {
        1 => Some(Phase::Canary {
            share: message.share.clamp(0.0, 1.0),
        }),
        2 => Some(Phase::Finishing),
        3 => Some(Phase::Completed),
        4 => Some(Phase::Reverted),
        _ => None,
    }
}

impl From<&ReportedRun> for wire::Run {
    fn from(run: &ReportedRun) -> Self {
        Self {
            demand: Some((&run.demand).into()),
            endpoint: run.endpoint.clone(),
            made_tokens: run.generated_tokens,
            copy_at: run.copy_at.clone().unwrap_or_default(),
        }
    }
}

impl From<&EnginePauses> for wire::EnginePaces {
    fn from(engine: &EnginePauses) -> Self {
        let (classes, counts) = engine.pauses.classes().unzip();
        Self {
            endpoint: engine.endpoint.clone(),
            classes,
            counts,
        }
    }
}

impl From<wire::EnginePaces> for EnginePauses {
    fn from(message: wire::EnginePaces) -> Self {
        let classes = message.classes.into_iter().zip(message.counts);
        Self {
            endpoint: message.endpoint,
            pauses: PauseCounts::from_classes(classes),
        }
    }
}

impl TryFrom<wire::Run> for ReportedRun {
    type Error = InvalidMessageField;

    fn try_from(message: wire::Run) -> Result<Self, InvalidMessageField> {
        Ok(Self {
            demand: message.demand.ok_or(InvalidMessageField("demand"))?.into(),
            endpoint: message.endpoint,
            copy_at: non_empty(message.copy_at),
            generated_tokens: message.made_tokens,
        })
    }
}

/// Returns the endpoint that the owner granted and the one that is to keep a copy, or `None` if
/// there is no capacity.
pub(crate) fn granted_endpoints(reply: wire::PlaceReply) -> Option<(String, Option<String>)> {
    let endpoint = non_empty(reply.endpoint)?;
    Some((endpoint, non_empty(reply.copy_at)))
}

/// Decodes the result of a move.
pub(crate) fn decode_move_result(number: u32) -> MoveResult {
    match number {
        0 => MoveResult::Copied,
        1 => MoveResult::RunGone,
        2 => MoveResult::NoRoom,
        _ => MoveResult::Failed,
    }
}

/// Encodes the result of a move as a number.
pub(crate) fn encode_move_result(result: MoveResult) -> u32 {
    match result {
        MoveResult::Copied => 0,
        MoveResult::RunGone => 1,
        MoveResult::NoRoom => 2,
        MoveResult::Failed => 3,
    }
}
