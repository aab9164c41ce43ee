//! Who the instances are and which of them live.
//!
//! Instances of a region send each other heartbeats, each to a few others in
//! turn; one that gives no answer twice is suspect, gets no work, and is dead
//! unless it answers with a higher incarnation. A heartbeat carries a digest
//! of what changed. Between regions a few relays exchange such digests. So an
//! instance's messages do not grow with the number of instances. Merging is a
//! join: whatever the order in which digests arrive, the highest incarnation
//! and its highest status win.

mod digest;
mod peers;
mod roster;

pub use digest::Digest;
pub use digest::Profile;
pub use digest::RegionAge;
pub use digest::Status;
pub use digest::Word;
pub use peers::FANOUT;
pub use peers::MESH;
pub use peers::RELAYS;
pub use roster::FAR_SILENCE;
pub use roster::MAX_NEWS;
pub use roster::Member;
pub use roster::Roster;
pub use roster::SUSPICION;
