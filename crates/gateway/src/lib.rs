//! The parts of an entry instance, apart from any front end.
//!
//! A front end decodes what callers, the store and the targets say into the
//! types of this package and implements its ports: [`Dialect`] encodes
//! requests for targets and reads the heads of their answers, [`StoreUpdate`]s tell
//! what the store holds. [`Gateway::handle`] takes a caller's request to its
//! answer.
//!
//! The parts share tables, each behind a lock with a place in the order of
//! [`chiverelay_decisions::tables::LockRank`]; whichever worker of the runtime
//! runs a request makes its decisions under these locks, and none is held
//! while anything waits.

mod answer;
mod charge;
mod clock;
mod dispatch;
mod forward;
mod gateway;
mod handle;
mod links;
pub mod log_writer;
mod members;
mod message;
mod metrics;
mod outcome;
mod place;
mod rate_limiter;
mod relay;
mod remote_relay;
mod request_log;
mod sampler;
mod settings;
mod sibling_handler;
mod status;
mod tables;

pub use chiverelay_sibling::Error as SiblingError;
pub use clock::Clock;
pub use gateway::Gateway;
pub use members::MemberRecord;
pub use members::MemberState;
pub use message::AttemptContext;
pub use message::BodyStream;
pub use message::Dialect;
pub use message::HandleResult;
pub use message::Inbound;
pub use message::Outbound;
pub use message::Reply;
pub use message::ReplyBody;
pub use message::ResponseVerdict;
pub use metrics::GaugeValues;
pub use metrics::Metrics;
pub use relay::IncompleteAnswer;
pub use settings::Settings;
pub use tables::StoreUpdate;
