//! State of targets, regions and links from which the placement of a request
//! is decided, and the estimated time to the first token.

mod cache;
mod estimate;
mod health;
mod link;
pub mod prefix;
mod queue;
mod retry;
mod summary;
mod target_state;

pub use cache::CacheView;
pub use cache::SequenceGap;
pub use estimate::LatencyInputs;
pub use estimate::Objective;
pub use health::Health;
pub use health::HealthEvent;
pub use health::HealthStatus;
pub use link::DEFAULT_MBITS;
pub use link::DEFAULT_ROUND_TRIP_MS;
pub use link::DEFAULT_SHARE_PERCENT;
pub use link::DEFAULT_ZONE_ROUND_TRIP_MS;
pub use link::LinkBudget;
pub use link::LinkSpec;
pub use link::Network;
pub use queue::FairQueue;
pub use queue::QueueFull;
pub use retry::RetryBudget;
pub use summary::PoolSummary;
pub use target_state::LoadReport;
pub use target_state::ReportFreshness;
pub use target_state::TargetState;
