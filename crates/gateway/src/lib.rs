//! The request path of an instance, independent of any front end.
//!
//! A front end is the crate that speaks the protocols of callers, store and
//! targets and starts the process. It decodes their messages into the types of
//! this package. It implements [`Dialect`], which encodes requests for
//! targets and classifies their answers, and passes each change in the store as
//! a [`StoreUpdate`] to [`Gateway::apply`]. [`Gateway::handle`] runs a caller's
//! request and returns the answer.
//!
//! Requests share tables, each behind a lock that has a position in the lock
//! order [`chiverelay_decisions::tables::LockRank`]. The worker thread that
//! runs a request makes its decisions while holding these locks, and never
//! holds one across a wait.

mod answer;
mod attempt_failure;
mod charge;
mod clock;
mod connect;
mod continuation;
mod crash_check;
mod dispatch;
mod extra_attempt;
mod fleet_copy;
mod forward;
mod gateway;
mod handle;
mod hedge;
mod held_headers;
mod leave;
mod link_check;
mod links;
mod loan;
mod log_rate_limit;
pub mod log_writer;
mod lookup;
mod members;
mod memory;
mod message;
mod metrics;
mod outcome;
mod place;
mod quarantine;
mod rate_limiter;
mod reach;
mod relay;
mod remote_answer;
mod remote_relay;
mod report;
mod reporters;
mod request_log;
mod reservation_guard;
mod residency;
mod resources;
mod sent_count;
mod settings;
mod shutdown;
mod sibling_handler;
mod status;
mod store_lag;
mod streams;
pub mod supervise;
mod suspension;
mod tables;
mod target_notices;
mod topology;

pub use chiverelay_sibling::Error as SiblingError;
pub use clock::Clock;
pub use gateway::Gateway;
pub use held_headers::HeldHeaders;
pub use members::MemberRecord;
pub use members::MemberState;
pub use memory::RequestMemory;
pub use message::AttemptContext;
pub use message::BodyStream;
pub use message::Dialect;
pub use message::HandleResult;
pub use message::Inbound;
pub use message::Outbound;
pub use message::Reply;
pub use message::ReplyBody;
pub use message::ResponseVerdict;
pub use message::route_host;
pub use metrics::GaugeValues;
pub use metrics::LimitAction;
pub use metrics::Metrics;
pub use metrics::Resource;
pub use relay::IncompleteAnswer;
pub use settings::Settings;
pub use streams::MarksRead;
pub use tables::StoreUpdate;
