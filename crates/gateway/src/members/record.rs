//! What an instance tells the others of itself in its record in the store.

use std::net::SocketAddr;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Zone;
use chiverelay_decisions::registration::ProcessRecord;
use serde::Deserialize;
use serde::Serialize;

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The instance does not accept requests yet.
    Starting,
    /// The instance accepts requests.
    Ready,
    /// The instance is shutting down and accepts no new requests.
    Leaving,
}

/// An instance's record in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the instance.
    pub instance: Instance,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Region of the instance.
    pub region: Region,
    /// Address at which callers connect.
    pub callers: SocketAddr,
    /// Address at which the other instances connect.
    pub siblings: SocketAddr,
    /// Digest of the certificate that the instance presents to the others.
    pub certificate: String,
    /// Random number that identifies the process, so that a restart under the
    /// same name is recognized.
    pub incarnation: u64,
    /// Lifecycle state.
    pub state: MemberState,
    /// Processor time that the instance has, in thousandths of a core.
    #[serde(default)]
    pub capacity: u32,
}

impl ProcessRecord for MemberRecord {
    fn incarnation(&self) -> u64 {
        self.incarnation
    }
}
