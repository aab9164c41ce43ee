//! Cluster membership: which instances exist and which of them are alive.
//!
//! Instances of one region exchange heartbeats by gossip: in each round an
//! instance sends heartbeats to a few others. An instance that leaves two
//! heartbeats in a row unanswered becomes suspect and receives no work. Unless
//! it answers with a higher incarnation before the suspicion timeout, it is
//! declared dead. A heartbeat carries a digest of recent changes. Periodically
//! it also carries hashes of the whole member list, and the reply contains the
//! members that differ. Between regions only a few instances of each region,
//! its relays, exchange such digests, so the size of a message does not grow
//! with the number of instances.
//!
//! The result of merging digests does not depend on their order: the highest
//! incarnation wins, and within it the highest status. An incarnation is a
//! number that an instance raises to refute a suspicion.
//!
//! A member is up until it is suspect or dead. It is reachable if it is up and,
//! in the case of another region, that region was heard from recently. It is
//! live if it is reachable and serving.

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
