//! The adapter to the users' platform: its names, formats and calls, decoded once into larkwick's own types. It decides nothing.
//!
//! | file | subject |
//! |---|---|
//! | `names` | header names and paths |
//! | `store` | the platform's log, as a client |
//! | `operator_config` | the operator's configuration |
//! | `servers` | the endpoints' entries |
//! | `ingress` | what callers send and get |
//! | `directory` | the question where to connect |
//! | `engine` | what endpoints get and answer |
//! | `unknown` | what the platform says and the adapter does not know |

pub mod directory;
pub mod engine;
pub mod ingress;
pub mod names;
pub mod operator_config;
pub mod servers;
pub mod store;
mod unknown;
