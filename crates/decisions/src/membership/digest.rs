//! What instances say of each other.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::names::Instance;
use crate::names::Region;
use crate::names::Zone;

/// Status of one incarnation of an instance. It only ever rises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStatus {
    /// It does not take work yet.
    Starting,
    /// It takes work.
    Serving,
    /// It takes no new work.
    Leaving,
    /// It gave no answer; it may raise its incarnation.
    Suspect,
    /// It gave no answer for too long, or has ended.
    Dead,
}

/// Where an instance is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Profile {
    /// Region.
    pub region: Region,
    /// Availability zone.
    pub zone: Zone,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Address for siblings.
    pub sibling: SocketAddr,
}

/// What is said of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct MemberUpdate {
    /// The instance.
    pub instance: Instance,
    /// Its incarnation; a higher one makes all words on lower ones void.
    pub incarnation: u64,
    /// Status of the incarnation.
    pub status: MemberStatus,
    /// Its configuration version.
    pub config_version: u64,
    /// Where it is, unless the listener is taken to know.
    pub profile: Option<Profile>,
}

/// How long ago a region was heard.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RegionAge {
    /// The region.
    pub region: Region,
    /// Milliseconds since any instance of it was heard, by anyone in a chain
    /// of tellers.
    pub age_ms: u64,
}

/// Which configuration a region has.
///
/// It holds for the instances that `roster` is the hash of, whenever it is
/// heard, as an incarnation's version never falls.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RegionConfigVersion {
    /// The region.
    pub region: Region,
    /// Hash of the region's instances, their incarnations and statuses.
    #[serde(rename = "roster")]
    pub roster_hash: u32,
    /// Version that all serving instances have but those behind.
    pub config_version: u64,
    /// Serving instances that have an older version.
    pub behind: Vec<Instance>,
}

/// What an instance tells another with a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GossipDigest {
    /// Words on instances, the teller's own first.
    #[serde(rename = "words")]
    pub updates: Vec<MemberUpdate>,
    /// Ages of regions.
    pub regions: Vec<RegionAge>,
    /// Versions of regions, where they changed.
    pub versions: Vec<RegionConfigVersion>,
    /// Hashes of the buckets of instances, if the teller wants the words of
    /// those that differ; otherwise empty.
    #[serde(rename = "buckets")]
    pub bucket_hashes: Vec<u32>,
}
