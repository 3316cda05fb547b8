//! Serves the routes of a site: forwards calls to the endpoints of their service, unchanged except
//! for what larkwick sets.
//!
//! | file | subject |
//! |---|---|
//! | `app` | start-up and graceful shutdown of an instance |
//! | `node`, `in_flight` | shared state of an instance, in shards with a lock each; calls and connections in flight, and the lifecycle stage |
//! | `caller_addresses` | the addresses that the directory names to callers |
//! | `site_store` | interface to the platform's store, implemented by plug-ins |
//! | `shared_store`, `subject_cache` | cached access to the store, directly or through peers |
//! | `store_follower` | synchronizes configuration, endpoints and members with the store |
//! | `catch_up` | fetches a newer configuration from a peer if the primary path through the store is late |
//! | `heartbeat` | heartbeats and gossip between members |
//! | `live_members` | cached view of the live members |
//! | `listener` | HTTP listeners for callers, readiness checks and the directory |
//! | `operator_api` | HTTP routes for operators |
//! | `peers`, `chunked_pages` | the gRPC service for other instances, and the transfer of pages in chunks |
//! | `inbound_call`, `message_heads`, `response_body` | a call in flight, heads of requests and responses, and the response body |
//! | `hall_evacuation` | evacuation of halls, by order of the operator or as received from members |
//! | `aborted_requests`, `endpoint_presence`, `presence_probe` | requests that their endpoint aborted, which endpoints have ended, and the probe that tells |
//! | `answer_ends` | whether an answer that ended with its connection is whole |
//! | `crash_suspects` | requests that crash endpoints, and whether a request may be sent |
//! | `held_calls` | calls held until the instance is ready |
//! | `request_handler` | handles the requests of callers |
//! | `plain_call`, `plain_attempt`, `late_attempts`, `endpoint_selection` | calls with a single response, one attempt of a call, attempts that stay open beside the next, and the selection of an endpoint |
//! | `generation`, `engine_attempt`, `started_generation`, `relay` | placement of generations, attempts at engines, and forwarding of their events, also after a move |
//! | `capacity_wait`, `excluded_engines` | how long a generation waits for capacity, and the engines that it must not be placed on |
//! | `read_ahead` | reads generations ahead of callers that read slowly |
//! | `former_run` | what becomes of a generation at its engine before it goes on elsewhere |
//! | `takeover` | detects generations whose connection to their engine stalled, and resumes stopped ones |
//! | `upstream` | connection pools of the endpoints |
//! | `reach_monitor` | which endpoints this instance reaches, and whether one that it does not reach is down |
//! | `call_forwarding`, `forwarded_call` | calls passed on to a peer that reaches the endpoints, and those that peers pass on |
//! | `endpoint_signals` | handles the signals in the response headers of endpoints |
//! | `endpoint_cooldowns` | effect of endpoint cooldowns on calls |
//! | `retry_budgets` | the budget for sends beyond the first of a request |
//! | `shutdown` | ends the waits of calls in time at an instance that stops |
//! | `send_checks` | checks right before a request is sent |
//! | `permits` | rate-limit permits for endpoints that announce a limit |
//! | `runs`, `moves` | the generations served here, and how they move to another engine |
//! | `suspend_aware_waits` | waits that respect deadlines also after a suspension of the machine |
//! | `work_counters` | counters of the work that grows with the size of the site |
//! | `engine_reports` | polls engines for whether they drain while the endpoint list is not updated |
//! | `ownership` | which instance owns the engines of a service |
//! | `placement` | how a generation gets an engine from the owner, or from this instance alone if it cannot reach the owner |
//! | `ledgers`, `engine_list`, `coordinator`, `move_orders` | the engines and generations of a service as the owner sees them, and the decisions on them |
//! | `rollouts`, `rollout_reports`, `version_choice` | orders of roll-outs, the reports to the owner and its decisions, what the store has recorded, and which version a request goes to |
//! | `run_reports` | reports the generations served here to the owners of their services |

pub(crate) mod aborted_requests;
mod account_metrics;
mod admission_policy;
mod answer_ends;
pub mod app;
pub(crate) mod call_forwarding;
mod caller_addresses;
pub(crate) mod capacity_wait;
pub(crate) mod catch_up;
pub mod chunked_pages;
pub(crate) mod coordinator;
pub(crate) mod crash_suspects;
pub(crate) mod endpoint_cooldowns;
pub(crate) mod endpoint_presence;
pub(crate) mod endpoint_selection;
pub(crate) mod endpoint_signals;
pub(crate) mod engine_attempt;
mod engine_list;
pub(crate) mod engine_reports;
pub(crate) mod excluded_engines;
pub(crate) mod former_run;
pub(crate) mod forwarded_call;
pub(crate) mod generation;
pub(crate) mod hall_evacuation;
pub(crate) mod heartbeat;
pub(crate) mod held_calls;
pub(crate) mod in_flight;
pub(crate) mod inbound_call;
mod late_attempts;
pub(crate) mod ledgers;
pub(crate) mod listener;
pub(crate) mod live_members;
pub mod message_heads;
mod move_orders;
pub(crate) mod moves;
pub(crate) mod node;
pub(crate) mod operator_api;
pub(crate) mod ownership;
pub(crate) mod peers;
pub(crate) mod permits;
pub(crate) mod placement;
pub(crate) mod plain_attempt;
pub(crate) mod plain_call;
pub(crate) mod presence_probe;
pub(crate) mod reach_monitor;
pub(crate) mod read_ahead;
pub(crate) mod relay;
pub(crate) mod request_handler;
pub(crate) mod response_body;
pub(crate) mod retry_budgets;
pub(crate) mod rollout_reports;
pub(crate) mod rollouts;
pub(crate) mod run_reports;
pub(crate) mod runs;
pub(crate) mod send_checks;
pub(crate) mod shared_store;
pub(crate) mod shutdown;
pub mod site_store;
pub(crate) mod started_generation;
pub(crate) mod store_follower;
pub(crate) mod subject_cache;
pub(crate) mod suspend_aware_waits;
pub(crate) mod takeover;
pub(crate) mod upstream;
pub(crate) mod version_choice;
pub(crate) mod work_counters;
