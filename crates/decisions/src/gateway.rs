//! The decisions on one request's way, in their order, over the shared tables.

mod admit;
mod place;

use std::time::Duration;

use crate::config::Config;
use crate::keys::Withdrawn;
use crate::limits::Bucket;
use crate::names::Account;
use crate::names::Instance;
use crate::names::Region;
use crate::names::Target;
use crate::placement::Load;
use crate::tables::Rank;
use crate::tables::Ranked;
use crate::tables::Sharded;
use crate::tables::Snapshot;

pub use admit::Ask;
pub use admit::admit;
pub use admit::admit_forwarded;
pub use admit::settle;
pub use place::Placement;
pub use place::eject;
pub use place::finish;
pub use place::place;
pub use place::place_forwarded;
pub use place::start;

/// A sibling that can take forwarded requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sibling {
    /// The sibling's region.
    pub region: Region,
    /// When it was last heard, on the local monotonic clock.
    pub heard: Duration,
    /// Whether it takes new work.
    pub serving: bool,
}

/// The tables that workers share.
#[derive(Debug)]
pub struct Tables {
    /// The configuration in force.
    pub config: Snapshot,
    /// Keys that are withdrawn.
    pub withdrawn: Ranked<Withdrawn>,
    /// Limits by account.
    pub accounts: Sharded<Account, Bucket>,
    /// Load by target.
    pub targets: Sharded<Target, Load>,
    /// Known siblings.
    pub siblings: Sharded<Instance, Sibling>,
}

impl Tables {
    /// Makes tables with an empty configuration.
    pub fn new() -> Self {
        Self {
            config: Snapshot::new(Config::default()),
            withdrawn: Ranked::new(Rank::Keys, Withdrawn::default()),
            accounts: Sharded::new(Rank::Accounts),
            targets: Sharded::new(Rank::Targets),
            siblings: Sharded::new(Rank::Siblings),
        }
    }
}

impl Default for Tables {
    fn default() -> Self {
        Self::new()
    }
}
