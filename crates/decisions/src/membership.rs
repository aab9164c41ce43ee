//! Who the instances are and which of them live.
//!
//! Instances of a region send each other heartbeats, each to a few others in
//! turn; one that gives no answer twice is suspect, gets no work, and is dead
//! unless it answers with a higher incarnation. A heartbeat carries a digest
//! of what changed; now and then also hashes of everything, and the answer
//! what differs. Between regions a few relays exchange such digests. So an
//! instance's messages do not grow with the number of instances. Merging is a
//! join: whatever the order in which digests arrive, the highest incarnation
//! and its highest status win.

mod digest;
mod exchange;
mod hashes;
mod life;
mod member;
mod peers;
mod roster;
mod summaries;
mod versions;

pub use digest::GossipDigest;
pub use digest::MemberStatus;
pub use digest::MemberUpdate;
pub use digest::Profile;
pub use digest::RegionAge;
pub use digest::RegionConfigVersion;
pub use exchange::MAX_UPDATES;
pub use life::SUSPICION_TIMEOUT;
pub use member::Member;
pub use peers::FANOUT;
pub use peers::MAX_FULL_MESH;
pub use peers::RELAYS_PER_REGION;
pub use roster::REGION_TIMEOUT;
pub use roster::Roster;
pub use summaries::AgedSummary;
pub use summaries::MAX_RELAYED_SUMMARIES;
pub use summaries::RegionSummaries;
pub use summaries::RemoteSummaries;
