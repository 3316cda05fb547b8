//! Decision logic without sockets, threads or clock reads: time and randomness are passed in.
//!
//! The daemon, unit tests with a manual clock and the model checker all run these functions.

pub mod admission_queue;
pub mod attempt;
pub mod backoff;
pub mod clock;
pub mod cold_start;
pub mod config;
pub mod content;
pub mod departures;
pub mod endpoint_entry;
pub mod endpoint_signals;

pub mod engine_ledger;
mod engine_moves;
mod engine_run;
pub mod evacuation;
pub mod event_split;
pub mod exclusive_task;
pub mod fairness;
pub mod fleet;
pub mod freshness;
pub mod gossip;
pub mod group;
pub mod health;
pub mod label;
pub mod lease;
pub mod length_estimates;
pub mod limit;
pub mod live_view;
pub mod member_states;
pub mod membership;
pub mod object;
pub mod owner_contact;
pub mod pace;
pub mod peer_monitor;
pub mod permits;
pub mod placement;
pub mod policy;
pub mod position;
pub mod rest;
pub mod retry;
pub mod roles;
pub mod route;
pub mod rules;
pub mod sharers;
pub mod store_contact;
pub mod store_sources;
pub mod stream;
pub mod suspects;
pub mod ticket;
