//! Adapter to the users' platform: decodes its names, formats and calls into larkwick's own types
//! in one place. It makes no decisions.
//!
//! | file | subject |
//! |---|---|
//! | `names` | header names and paths |
//! | `store` | client of the platform's log |
//! | `store_records` | encoding and decoding of the log's records |
//! | `operator_config` | the operator's configuration |
//! | `endpoint_entries` | entries that endpoints write about themselves |
//! | `rollouts` | roll-out orders and their status |
//! | `ingress` | requests of callers, and error responses to them |
//! | `prompt_segments` | the segments that a request names for its prompt |
//! | `directory` | response to the query for addresses to connect to |
//! | `engine` | requests to endpoints and their responses |
//! | `unknown_names` | logs and counts names that the adapter does not know |

pub mod directory;
pub mod endpoint_entries;
pub mod engine;
pub mod ingress;
pub mod names;
pub mod operator_config;
mod prompt_segments;
mod rollouts;
pub mod store;
mod store_records;
mod unknown_names;
