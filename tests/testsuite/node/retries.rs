//! What resumed streams take from the retry budget.

use std::time::Duration;

use support::block_on;
use support::node::Mode;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

/// Time after the start from which on an instance has its whole share of the
/// retry budget.
const SETTLED: Duration = Duration::from_millis(4100);

/// Number of streams. Some of them are cut, and tried at the full target next.
const STREAMS: usize = 12;

/// Failure: a stream that was resumed took two retries from the budget after a
/// target had refused it, though only one more target got it.
#[test]
fn a_resumed_stream_takes_one_retry_for_each_request_sent() {
    block_on(async {
        let site = Site::start().await;
        let targets = [
            PlatformTarget::start("i-1").await,
            PlatformTarget::start("i-2").await,
            PlatformTarget::start("i-3").await,
        ];
        for (target, mode) in targets
            .iter()
            .zip([Mode::Cut(4), Mode::Full, Mode::Events(3)])
        {
            target.set(mode);
            site.register(target, "model", "north-a");
        }
        let node = site.instance("one", "north-a", "north").await;
        tokio::time::sleep(SETTLED).await;
        for n in 0..STREAMS {
            let call = Call::new(&format!("r-{n}"), "/quote/1").key(KEY);
            let got = call.send(node.front).await;
            assert!(got.whole, "{got:?}");
        }
        let sent: usize = targets.iter().map(|target| target.arrivals().len()).sum();
        let retries = sent - STREAMS;
        let taken = || node.logged().matches("\"allowed\":true").count();
        until("the log is written", async || taken() >= retries).await;
        assert_eq!(taken(), retries, "{}", node.logged());
    });
}
