//! The messages in which instances exchange membership information.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::names::Instance;
use crate::names::Region;
use crate::names::Zone;

/// Status of one incarnation of an instance. Within an incarnation it never
/// goes back to a lower value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStatus {
    /// The instance has started but does not accept work yet.
    Starting,
    /// The instance accepts work.
    Serving,
    /// The instance is shutting down and accepts no new work.
    Leaving,
    /// The instance left heartbeats unanswered. It can refute the suspicion by
    /// raising its incarnation.
    Suspect,
    /// The instance was suspect for too long, or has terminated.
    Dead,
}

/// Region, availability zone and addresses of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Profile {
    /// Region of the instance.
    pub region: Region,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address on which the instance accepts callers' requests.
    pub caller: SocketAddr,
    /// Address of the operator interface.
    pub operator: SocketAddr,
    /// Address on which the instance accepts connections of other instances.
    pub sibling: SocketAddr,
}

/// Membership information about one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct MemberUpdate {
    /// Name of the instance.
    pub instance: Instance,
    /// Incarnation of the instance. Updates about lower incarnations are
    /// ignored.
    pub incarnation: u64,
    /// Status of this incarnation.
    pub status: MemberStatus,
    /// Configuration version that the instance has in force.
    pub config_version: u64,
    /// Location and addresses of the instance. `None` if the receiver can be
    /// expected to know them.
    pub profile: Option<Profile>,
}

/// Time since a region was last heard from.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RegionAge {
    /// The region.
    pub region: Region,
    /// Milliseconds since any instance of the region was heard from, directly
    /// or through other instances.
    pub age_ms: u64,
}

/// Configuration version of a region's serving instances.
///
/// A receiver applies the version only while its own list of the region has the
/// hash `roster_hash`. This may be at any later time, because the version of an
/// incarnation never decreases.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RegionConfigVersion {
    /// The region.
    pub region: Region,
    /// Hash of the region's instances with their incarnations and statuses.
    #[serde(rename = "roster")]
    pub roster_hash: u32,
    /// Version that every serving instance has, except those in `behind`.
    pub config_version: u64,
    /// Serving instances that have an older version.
    pub behind: Vec<Instance>,
}

/// Membership information that a heartbeat or its reply carries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GossipDigest {
    /// Updates about instances, the sender's own first.
    #[serde(rename = "words")]
    pub updates: Vec<MemberUpdate>,
    /// Time since each other region was last heard from.
    pub regions: Vec<RegionAge>,
    /// Configuration versions of regions that changed recently.
    pub versions: Vec<RegionConfigVersion>,
    /// Hash of each bucket, a group of instances whose names hash to the same
    /// number. They are sent to ask for the members on which the lists differ;
    /// otherwise the list is empty.
    #[serde(rename = "buckets")]
    pub bucket_hashes: Vec<u32>,
}
