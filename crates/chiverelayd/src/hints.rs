//! Follows what the platform's list says of targets.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::gateway;

use crate::context::Context;

/// Longest time between two lists, so that a target which the platform calls
/// leaving gets no new work after three seconds.
const INTERVAL: Duration = Duration::from_secs(2);

/// Gives no new work to targets that the list calls leaving, until the
/// instance stops. What the list does not have means nothing.
pub(crate) async fn run(cx: Arc<Context>) {
    let Some(registry) = &cx.registry else {
        return;
    };
    loop {
        match registry.leaving_targets().await {
            Ok(leaving) => gateway::set_leaving_targets(&cx.tables, &leaving, cx.clock.now()),
            Err(e) => log::debug!("hints: {e}"),
        }
        let pause = INTERVAL.mul_f64(0.5 + rand::random::<f64>() / 2.0);
        tokio::select! {
            () = cx.stop.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
    }
}
