//! The kernel's decisions, one by one, on a clock moved by hand.

#[path = "kernel/config.rs"]
mod config;
#[path = "kernel/group.rs"]
mod group;
#[path = "kernel/lengths.rs"]
mod lengths;
#[path = "kernel/membership.rs"]
mod membership;
#[path = "kernel/parsers.rs"]
mod parsers;
#[path = "kernel/placement.rs"]
mod placement;
