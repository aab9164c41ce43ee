//! Where a request runs: what is known of targets and regions, and the
//! expected time to the first token that follows from it.

mod cache;
mod health;
mod link;
mod load;
pub mod prefix;
mod queue;
mod retry;
mod score;
mod summary;

pub use cache::CacheView;
pub use cache::Gap;
pub use health::Health;
pub use health::Sign;
pub use health::Status;
pub use link::DEFAULT_MBITS;
pub use link::DEFAULT_ROUND_TRIP_MS;
pub use link::DEFAULT_SHARE_PERCENT;
pub use link::DEFAULT_ZONE_ROUND_TRIP_MS;
pub use link::Link;
pub use link::LinkSpec;
pub use link::Network;
pub use load::Load;
pub use load::Novelty;
pub use load::Report;
pub use queue::FairQueue;
pub use queue::Full;
pub use retry::RetryBudget;
pub use score::Estimate;
pub use score::Weights;
pub use summary::Summary;
