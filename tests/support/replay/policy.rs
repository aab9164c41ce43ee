//! The ways to place requests that are compared.

use chiverelay_decisions::placement::Objective;
use chiverelay_decisions::placement::prefix;

/// A way to place requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The engines in turn.
    RoundRobin,
    /// The engine with the fewest requests of the instance.
    LeastInFlight,
    /// The engine by rendezvous hashing of the prompt's first block.
    PrefixHash,
    /// The gateway's decisions.
    Gateway(Objective),
}

impl Policy {
    /// The three that the gateway is compared with.
    pub const PLAIN: [Self; 3] = [Self::RoundRobin, Self::LeastInFlight, Self::PrefixHash];

    /// Returns the policy's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastInFlight => "least in flight",
            Self::PrefixHash => "prefix hash",
            Self::Gateway(_) => "gateway",
        }
    }

    /// Chooses among engines, given the instance's requests at each.
    pub(super) fn choose(
        self,
        engines: &[usize],
        running: &[u64],
        turn: usize,
        chain: &[u64],
    ) -> Option<usize> {
        let first = chain.first().copied().unwrap_or_default();
        match self {
            Self::RoundRobin | Self::Gateway(_) => {
                engines.get(turn.checked_rem(engines.len())?).copied()
            }
            Self::LeastInFlight => engines
                .iter()
                .copied()
                .min_by_key(|e| (running[*e], (e + turn) % engines.len())),
            Self::PrefixHash => engines
                .iter()
                .copied()
                .max_by_key(|e| prefix::rendezvous_weight(first, &e.to_string())),
        }
    }
}
