//! Settings of the gateway.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use chiverelay_decisions::allowance::Tolerance;
use chiverelay_decisions::extra_attempts::ExtraAttemptLimit;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Zone;
use chiverelay_decisions::resources::ResourceLimits;
use chiverelay_decisions::retry_budget::RetryLimit;
use chiverelay_decisions::traffic::ColdLimitTolerance;

/// Settings that a front end passes to the gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub instance: Instance,
    /// Availability zone of this instance.
    pub zone: Zone,
    /// Region of this instance.
    pub region: Region,
    /// Region of each availability zone.
    pub zone_regions: HashMap<Zone, Region>,
    /// Processor time that this instance has, in thousandths of a core.
    pub capacity: u32,
    /// Memory and descriptors that this instance has.
    pub resources: ResourceLimits,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Address at which the other instances connect.
    pub sibling_address: SocketAddr,
    /// Retry budget of each pool: how many retries are allowed in relation to
    /// the pool's requests.
    pub retry_limit: RetryLimit,
    /// Limit on extra attempts at requests whose target is slow to answer.
    /// `None` means no extra attempts.
    pub extra_attempts: Option<ExtraAttemptLimit>,
    /// Tolerated overrun of client accounts' limits.
    pub account_limit_tolerance: Tolerance,
    /// Tolerated overrun of the limit on new requests to cold targets, which
    /// are still warming up.
    pub cold_limit_tolerance: ColdLimitTolerance,
    /// Interval at which targets write their records in the store.
    pub target_heartbeat: Duration,
    /// Time limit for a graceful shutdown.
    pub shutdown_grace: Duration,
}
