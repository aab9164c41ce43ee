//! Background tasks that end unexpectedly.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use chiverelay_gateway::GaugeValues;
use chiverelay_gateway::Metrics;
use chiverelay_gateway::supervise;
use support::block_on;
use support::cases;
use support::node::site::until;
use tokio_util::sync::CancellationToken;

/// How a task ends at its first start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Panic,
    PanicAtStart,
    Return,
}

/// Guards against a task that vanishes unseen, as the one that follows the
/// targets did after a panic.
fn check_restart(end: End) {
    block_on(async {
        let metrics = Arc::new(Metrics::new());
        let stop = CancellationToken::new();
        let starts = Arc::new(AtomicUsize::new(0));
        let (counted, cancel) = (Arc::clone(&starts), stop.clone());
        let task = supervise::spawn("example", Arc::clone(&metrics), stop.clone(), move || {
            let is_first = counted.fetch_add(1, Ordering::Relaxed) == 0;
            assert!(!is_first || end != End::PanicAtStart, "fails to start");
            let cancel = cancel.clone();
            async move {
                if !is_first {
                    return cancel.cancelled().await;
                }
                assert!(end != End::Panic, "fails while it runs");
            }
        });
        until("it runs again", async || {
            starts.load(Ordering::Relaxed) == 2
        })
        .await;
        let text = metrics.render(&GaugeValues::default());
        let line = "chiverelay_task_restarts_total{task=\"example\"} 1";
        assert!(text.contains(line), "{text}");
        stop.cancel();
        assert!(task.await.is_ok());
        assert_eq!(starts.load(Ordering::Relaxed), 2);
    });
}

cases! {
    check_restart:
    a_task_that_panics_is_started_again(End::Panic);
    a_task_that_panics_at_its_start_is_started_again(End::PanicAtStart);
    a_task_that_returns_is_started_again(End::Return);
}
