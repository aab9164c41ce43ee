//! What a front end sets of the gateway's parts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use chiverelay_decisions::allowance::Tolerance;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Zone;
use chiverelay_decisions::traffic::ColdLimitTolerance;
use chiverelay_decisions::window::RetryLimit;

/// What a front end sets of the gateway's parts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance.
    pub instance: Instance,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// The region of each availability zone.
    pub zone_regions: HashMap<Zone, Region>,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the other instances connect.
    pub sibling_address: SocketAddr,
    /// The bound on retries.
    pub retry_limit: RetryLimit,
    /// How far client accounts' limits may be overrun.
    pub tolerance: Tolerance,
    /// How far cold targets' limits may be overrun.
    pub cold_slack: ColdLimitTolerance,
    /// Time for a graceful shutdown.
    pub shutdown_grace: Duration,
}
