//! Exhaustive search of small specifications of the core protocols. Their steps call the kernel's own functions.

#[path = "model/config_fold.rs"]
mod config_fold;
#[path = "model/lease.rs"]
mod lease;
#[path = "model/search.rs"]
mod search;
#[path = "model/tickets.rs"]
mod tickets;
