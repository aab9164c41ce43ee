//! A target that asks for a pause, before a running instance.

use std::time::Duration;
use std::time::Instant;

use support::block_on;
use support::node::Mode;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

/// Pause that the target asks for, in seconds.
const PAUSE: &str = "3.0";

/// Time after the refusal in which requests that were on their way may arrive.
const GRACE: Duration = Duration::from_millis(500);

/// Time for which requests are sent, less than the pause.
const SENDING_TIME: Duration = Duration::from_millis(2500);

fn call(n: usize) -> Call {
    Call::new(&format!("r-{n}"), "/status/1").key(KEY)
}

/// A target that turned a request away and named a pause got requests as
/// before. They are refused at once and told when to come back.
#[test]
fn a_target_that_asks_for_a_pause_gets_no_requests() {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-1").await;
        site.register(&target, "orders", "north-a");
        let node = site.instance("one", "north-a", "north").await;
        until("requests are served", async || {
            call(0).send(node.front).await.status.is_success()
        })
        .await;

        target.set(Mode::Pausing(PAUSE));
        let got = call(1).send(node.front).await;
        let paused_at = Instant::now();
        assert_eq!(got.status.as_u16(), 503);
        target.set(Mode::Answer);
        tokio::time::sleep(GRACE).await;
        let before = target.arrivals().len();
        let mut n = 1;
        while paused_at.elapsed() < SENDING_TIME {
            n += 1;
            let got = call(n).send(node.front).await;
            assert_eq!(got.status.as_u16(), 503);
            assert!(got.header("retry-after").parse::<f64>().expect("seconds") > 0.0);
        }
        assert_eq!(target.arrivals().len(), before, "of {n} requests");

        until("requests are served after the pause", async || {
            call(0).send(node.front).await.status.is_success()
        })
        .await;
    });
}
