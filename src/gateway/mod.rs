//! Serves the routes of a site: calls are passed to the endpoints of their service, unchanged but for what larkwick sets.
//!
//! | file | subject |
//! |---|---|
//! | `app` | starts an instance and stops it as planned |
//! | `node` | the state of an instance, in shards |
//! | `site_store` | the platform's store, as a trait with plug-ins |
//! | `shared_store`, `subject_cache` | the store, read directly or through other instances |
//! | `follow` | keeps configuration, endpoints and members in step with the store |
//! | `heartbeat` | which members live |
//! | `live_members` | the view of the members that live, kept until it changes |
//! | `listener` | connections of callers |
//! | `inbound_call`, `answer_body` | a call on its way, and the body of its answer |
//! | `halls` | halls that the operator empties |
//! | `broken_off` | requests that their endpoint broke off |
//! | `suspects` | contents that endpoints ended under, and what may be sent |
//! | `held` | calls that come before anything is known |
//! | `caller` | from a caller's request to its answer |
//! | `plain_call`, `endpoint_choice` | calls with one answer, and the endpoint that they go to |
//! | `generation`, `started`, `relay` | generations: placed, then passed on event by event, also when they move |
//! | `takeover` | generations whose connection to their engine has gone silent |
//! | `upstream` | connections to endpoints |
//! | `endpoint_words`, `rests` | what endpoints say of themselves in any answer; what it means to calls that they ask for rest |
//! | `permits` | requests to endpoints that name a limit: who gives the permits for them |
//! | `runs`, `moves` | the generations served here, and how they move to another engine |
//! | `waits` | waits that end in time, also where the machine was suspended |
//! | `tally` | counts of what grows with the site |
//! | `engine_reports` | asks engines whether they leave while the list is silent |
//! | `ownership` | who owns a service's engines |
//! | `ledgers`, `coordinator` | places and moves, by the owner or alone |
//! | `run_reports` | what the owners are told |

pub(crate) mod answer_body;
pub mod app;
pub(crate) mod broken_off;
pub mod call;
pub(crate) mod caller;
pub(crate) mod catch_up;
pub(crate) mod coordinator;
pub(crate) mod endpoint_choice;
pub(crate) mod endpoint_words;
pub(crate) mod engine_reports;
pub(crate) mod follow;
pub(crate) mod generation;
pub(crate) mod halls;
pub(crate) mod heartbeat;
pub(crate) mod held;
pub(crate) mod inbound_call;
pub(crate) mod ledgers;
pub(crate) mod listener;
pub(crate) mod live_members;
pub(crate) mod moves;
pub(crate) mod node;
pub(crate) mod operators;
pub(crate) mod ownership;
pub mod parts;
pub(crate) mod peers;
pub(crate) mod permits;
pub(crate) mod plain_call;
pub(crate) mod relay;
pub(crate) mod rests;
pub(crate) mod run_reports;
pub(crate) mod runs;
pub(crate) mod shared_store;
pub mod site_store;
pub(crate) mod started;
pub(crate) mod subject_cache;
pub(crate) mod suspects;
pub(crate) mod takeover;
pub(crate) mod tally;
pub(crate) mod upstream;
pub(crate) mod waits;
