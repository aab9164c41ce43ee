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

mod buckets;
mod digest;
mod life;
mod member;
mod peers;
mod roster;
mod summaries;
mod tell;
mod versions;

pub use digest::Digest;
pub use digest::Profile;
pub use digest::RegionAge;
pub use digest::RegionVersion;
pub use digest::Status;
pub use digest::Word;
pub use life::SUSPICION;
pub use member::Member;
pub use peers::FANOUT;
pub use peers::MESH;
pub use peers::RELAYS;
pub use roster::FAR_SILENCE;
pub use roster::Roster;
pub use summaries::Aged;
pub use summaries::MAX_PASSED;
pub use summaries::RegionSummaries;
pub use summaries::Summaries;
pub use tell::MAX_NEWS;
