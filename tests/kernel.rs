//! The kernel's decisions, one by one, on a clock moved by hand.

#[path = "kernel/cold.rs"]
mod cold;
#[path = "kernel/config.rs"]
mod config;
#[path = "kernel/cooldown.rs"]
mod cooldown;
#[path = "kernel/crash_suspects.rs"]
mod crash_suspects;
#[path = "kernel/engine_ledger.rs"]
mod engine_ledger;
#[path = "kernel/evacuation.rs"]
mod evacuation;
#[path = "kernel/fleet.rs"]
mod fleet;
#[path = "kernel/freshness.rs"]
mod freshness;
#[path = "kernel/group.rs"]
mod group;
#[path = "kernel/hall.rs"]
mod hall;
#[path = "kernel/instance_count.rs"]
mod instance_count;
#[path = "kernel/lengths.rs"]
mod lengths;
#[path = "kernel/limit.rs"]
mod limit;
#[path = "kernel/losses.rs"]
mod losses;
#[path = "kernel/membership.rs"]
mod membership;
#[path = "kernel/owner_contact.rs"]
mod owner_contact;
#[path = "kernel/parsers.rs"]
mod parsers;
#[path = "kernel/permits.rs"]
mod permits;
#[path = "kernel/placement.rs"]
mod placement;
#[path = "kernel/response_time.rs"]
mod response_time;
#[path = "kernel/retry.rs"]
mod retry;
#[path = "kernel/room_queue.rs"]
mod room_queue;
#[path = "kernel/routes.rs"]
mod routes;
#[path = "kernel/site_rules.rs"]
mod site_rules;
#[path = "kernel/standings.rs"]
mod standings;
#[path = "kernel/store_contact.rs"]
mod store_contact;
#[path = "kernel/store_sources.rs"]
mod store_sources;
