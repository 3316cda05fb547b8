//! Model checking: exhaustive search of the state spaces of small models of the core protocols. The
//! steps of the models call the functions of the kernel.

#[path = "model/config_state.rs"]
mod config_state;
#[path = "model/lease.rs"]
mod lease;
#[path = "model/search.rs"]
mod search;
#[path = "model/tickets.rs"]
mod tickets;
