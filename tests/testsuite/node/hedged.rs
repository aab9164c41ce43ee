//! Requests whose target is silent for so long that another target is asked,
//! which refuses them late.

use std::time::Duration;

use hyper::StatusCode;
use support::block_on;
use support::node::Mode;
use support::node::PlatformTarget;
use support::node::SilentAnswer;
use support::node::SilentTarget;
use support::node::Site;
use support::node::Stage;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::until;

/// Silence of the first target. It ends after the other one's refusal.
const SILENCE: Duration = Duration::from_millis(3200);

/// Time after which the other target refuses.
const REFUSED_AFTER: Duration = Duration::from_millis(600);

/// Asks a silent target, beside one that refuses after a while.
fn check_beside_a_late_refusal(answer: SilentAnswer, service: &str, route: &str, stage: Stage) {
    block_on(async {
        let site = Site::start().await;
        let first = SilentTarget::start_by_path(answer, SILENCE).await;
        site.register_at("i-1", first.address, service, "north-a");
        let node = site.instance("near", "north-a", "north").await;
        let second = PlatformTarget::start("i-2").await;
        second.set(Mode::FullAfter(REFUSED_AFTER));
        let call = Call::new("r-1", &format!("/{route}/{}", stage.segment())).key(KEY);
        let joining = async {
            until("the target has the request", async || {
                !first.requests().is_empty()
            })
            .await;
            site.register(&second, service, "north-a");
        };
        let (got, ()) = tokio::join!(call.send(node.front), joining);
        assert_eq!(second.arrivals().len(), 1, "{}", node.logged());
        assert_eq!(got.status, StatusCode::OK, "{}", node.logged());
        assert!(got.whole, "{got:?}");
        assert_eq!(first.completed(), ["r-1"]);
    });
}

// Failure: a request was cancelled at its sound target 300 ms after another one
// had got it, which refused it later, and the caller got neither's answer.
support::cases! {
    check_beside_a_late_refusal:
    plain_request_beside_a_late_refusal(
        SilentAnswer::Plain, "orders", "status", Stage::BeforeHead
    );
    stream_without_an_event_beside_a_late_refusal(
        SilentAnswer::Events, "model", "quote", Stage::AfterHead
    );
}
