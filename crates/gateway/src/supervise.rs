//! Background tasks that an instance can't do without. One that ends before the
//! shutdown is started again.

use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::Metrics;

/// Pause before a task that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs the future that `start` returns, and a new one whenever it panics or
/// returns before `stop` is cancelled. The future itself has to return once
/// `stop` is cancelled.
///
/// Each such end is logged and counted under the task's name.
pub fn spawn<F, T>(
    name: &'static str,
    metrics: Arc<Metrics>,
    stop: CancellationToken,
    mut start: F,
) -> JoinHandle<()>
where
    F: FnMut() -> T + Send + 'static,
    T: Future<Output = ()> + Send,
{
    tokio::spawn(async move {
        loop {
            // INVARIANT: the state that the task shares is behind locks that
            // are usable after a panic.
            let running = AssertUnwindSafe(async { start().await });
            let result = running.catch_unwind().await;
            if stop.is_cancelled() {
                return;
            }
            let reason = match &result {
                Ok(()) => "it returned",
                Err(panic) => panic_message(panic.as_ref()),
            };
            log::error!(target: "tasks", task = name, reason; "background task ended; it is started again");
            metrics.count_task_restart(name);
            let pausing = tokio::time::sleep(RESTART_DELAY);
            if stop.run_until_cancelled(pausing).await.is_none() {
                return;
            }
        }
    })
}

/// Returns the message of a panic that was caught.
pub fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("it panicked")
}
