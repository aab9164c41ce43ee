//! All decisions of the gateway, without I/O, clocks or message encoding.
//!
//! Callers pass in the time, as a [`std::time::Duration`] since the process
//! started, and random numbers. The crates that talk to callers, targets, other
//! instances and the store encode and transmit what is decided here, so another
//! front end can use the same code.

pub mod admission;
pub mod allowance;
pub mod answer;
pub mod audience;
pub mod backoff;
pub mod call_limit;
pub mod catalog;
pub mod config;
pub mod directory;
pub mod event;
pub mod extra_attempts;
pub mod fleet;
pub mod gateway;
pub mod handover;
pub mod idempotency;
pub mod keys;
pub mod limits;
pub mod membership;
pub mod memory_budget;
pub mod names;
pub mod pacing;
pub mod placement;
pub mod progress;
pub mod publication;
pub mod quarantine;
pub mod reachability;
pub mod refusal;
pub mod registration;
pub mod rendezvous;
pub mod request;
pub mod resources;
pub mod retry_budget;
pub mod revision;
pub mod route_use;
pub mod settlements;
pub mod shutdown;
pub mod silence;
pub mod step;
pub mod store_lag;
pub mod store_session;
pub mod streams;
pub mod suspension;
pub mod tables;
pub mod tickets;
pub mod topology;
pub mod traffic;
pub mod unanswered;
pub mod window;

pub use catalog::Catalog;
pub use config::Config;
pub use refusal::Refusal;
pub use request::Request;
