//! The parts of an entry instance, apart from any front end.
//!
//! A front end decodes what callers, the store and the targets say into the
//! types of this package and implements its ports: [`Dialect`] encodes
//! requests for targets and reads the heads of their answers, [`Fact`]s tell
//! what the store holds. [`Gateway::handle`] takes a caller's request to its
//! answer.
//!
//! The parts share tables, each behind a lock with a place in the order of
//! [`chiverelay_decisions::tables::Rank`]; whichever worker of the runtime
//! runs a request makes its decisions under these locks, and none is held
//! while anything waits.

mod allowances;
mod answer;
mod beliefs;
mod charge;
mod clock;
mod dispatch;
mod far_relay;
mod forward;
mod found;
mod gateway;
mod intake;
pub mod journal;
mod links;
mod members;
mod message;
mod metrics;
mod outcome;
mod place;
mod relay;
mod sampler;
mod serve;
mod settings;
mod status;

pub use beliefs::Fact;
pub use chiverelay_sibling::Error as SiblingError;
pub use clock::Clock;
pub use gateway::Gateway;
pub use members::MemberRecord;
pub use members::MemberState;
pub use message::Dialect;
pub use message::Handled;
pub use message::Inbound;
pub use message::Outbound;
pub use message::Pieces;
pub use message::Reply;
pub use message::ReplyBody;
pub use message::Sending;
pub use message::Verdict;
pub use metrics::Metrics;
pub use metrics::Readings;
pub use relay::Broken;
pub use settings::Settings;
