//! Unit tests of the kernel's decisions, on a manual clock.

#[path = "kernel/account_counts.rs"]
mod account_counts;
#[path = "kernel/admission_queue.rs"]
mod admission_queue;
#[path = "kernel/byte_budget.rs"]
mod byte_budget;
#[path = "kernel/cold_start.rs"]
mod cold_start;
#[path = "kernel/config.rs"]
mod config;
#[path = "kernel/connect_timeout.rs"]
mod connect_timeout;
#[path = "kernel/cooldown.rs"]
mod cooldown;
#[path = "kernel/crash_suspects.rs"]
mod crash_suspects;
#[path = "kernel/crashing_segments.rs"]
mod crashing_segments;
#[path = "kernel/crowded_engines.rs"]
mod crowded_engines;
#[path = "kernel/engine_ledger.rs"]
mod engine_ledger;
#[path = "kernel/engine_pace.rs"]
mod engine_pace;
#[path = "kernel/evacuation.rs"]
mod evacuation;
#[path = "kernel/fleet.rs"]
mod fleet;
#[path = "kernel/freshness.rs"]
mod freshness;
#[path = "kernel/gateway_decisions.rs"]
mod gateway_decisions;
#[path = "kernel/group.rs"]
mod group;
#[path = "kernel/hall.rs"]
mod hall;
#[path = "kernel/instance_count.rs"]
mod instance_count;
#[path = "kernel/length_estimates.rs"]
mod length_estimates;
#[path = "kernel/limit.rs"]
mod limit;
#[path = "kernel/losses.rs"]
mod losses;
#[path = "kernel/member_states.rs"]
mod member_states;
#[path = "kernel/membership.rs"]
mod membership;
#[path = "kernel/move_schedule.rs"]
mod move_schedule;
#[path = "kernel/owner_contact.rs"]
mod owner_contact;
#[path = "kernel/pace_replay.rs"]
mod pace_replay;
#[path = "kernel/parsers.rs"]
mod parsers;
#[path = "kernel/permits.rs"]
mod permits;
#[path = "kernel/placement.rs"]
mod placement;
#[path = "kernel/presence.rs"]
mod presence;
#[path = "kernel/reachability.rs"]
mod reachability;
#[path = "kernel/recently_listed.rs"]
mod recently_listed;
#[path = "kernel/region.rs"]
mod region;
#[path = "kernel/response_time.rs"]
mod response_time;
#[path = "kernel/retry.rs"]
mod retry;
#[path = "kernel/rollout.rs"]
mod rollout;
#[path = "kernel/rollout_statuses.rs"]
mod rollout_statuses;
#[path = "kernel/room.rs"]
mod room;
#[path = "kernel/routes.rs"]
mod routes;
#[path = "kernel/rules.rs"]
mod rules;
#[path = "kernel/run_state.rs"]
mod run_state;
#[path = "kernel/shorter_first.rs"]
mod shorter_first;
#[path = "kernel/standby_copies.rs"]
mod standby_copies;
#[path = "kernel/stop_deadlines.rs"]
mod stop_deadlines;
#[path = "kernel/store_contact.rs"]
mod store_contact;
#[path = "kernel/store_sources.rs"]
mod store_sources;
#[path = "kernel/stream_timing.rs"]
mod stream_timing;
#[path = "kernel/transfer_budget.rs"]
mod transfer_budget;
