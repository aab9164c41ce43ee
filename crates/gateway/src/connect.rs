//! Connections to targets for attempts at requests.

use std::time::Duration;

use chiverelay_decisions::fleet::KnownTarget;
use chiverelay_decisions::names::Target;
use chiverelay_target::connection_pool::PooledConnection;
use chiverelay_target::connection_pool::Purpose;

use crate::Dialect;
use crate::Gateway;
use crate::place::PlacementContext;

/// Maximum idle time of a reused connection for a request that may run at most
/// once. The limit is short because the outcome is unknown if the target closes
/// the connection while the request is being sent.
const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_millis(400);

/// Maximum idle time of a reused connection for all other requests.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Why there is no connection to a target, for the log.
#[derive(Debug)]
pub(crate) enum ConnectFailure {
    /// The target can't be reached.
    Unreachable(String),
    /// This instance has no connection left.
    LocalLimit(String),
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Takes a connection to a target from the pool or opens one.
    ///
    /// # Errors
    ///
    /// Fails if the target can't be reached in time, or if no more connections may
    /// be open.
    pub(crate) async fn connect(
        &self,
        target: &Target,
        known_target: &KnownTarget,
        deadline: Duration,
        purpose: Purpose,
        cx: &PlacementContext,
    ) -> Result<PooledConnection, ConnectFailure> {
        let max_idle = match cx.route.kind.is_repeatable() {
            true => MAX_IDLE,
            false => MAX_IDLE_NON_REPEATABLE,
        };
        let left = deadline.saturating_sub(self.clock.now());
        let connecting =
            self.connections
                .acquire(target, known_target.record.address, max_idle, purpose);
        let connecting = tokio::time::timeout(left, connecting);
        let connected = tokio::select! {
            biased;
            connected = connecting => connected,
            () = self.reach.until_cut_off() => {
                let reason = "no target of the region can be reached";
                return Err(ConnectFailure::Unreachable(reason.to_owned()));
            }
        };
        match connected {
            Ok(Ok(conn)) => {
                self.metrics.count_connection_use(conn.is_new());
                Ok(conn)
            }
            Ok(Err(e)) if e.is_local_limit() => Err(ConnectFailure::LocalLimit(e.to_string())),
            Ok(Err(e)) => Err(ConnectFailure::Unreachable(e.to_string())),
            Err(_) => Err(ConnectFailure::Unreachable("timeout".to_owned())),
        }
    }
}
