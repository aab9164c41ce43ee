//! Extra attempts at requests whose target is slow, but not silent for longer
//! than a sound one may be.

use std::time::Duration;

use chiverelay_platform::settings::environment::EXTRA_ATTEMPT_QUANTILE;
use chiverelay_platform::settings::environment::EXTRA_ATTEMPT_RATIO;
use hyper::StatusCode;
use serde_json::json;
use support::block_on;
use support::cases;
use support::node::Got;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::SilentAnswer;
use support::node::SilentTarget;
use support::node::Site;
use support::node::Stage;
use support::node::call;
use support::node::call::Call;
use support::node::silent::EVENTS;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// Silence of a slow target. It ends before the limit on silence.
const SLOW: Duration = Duration::from_millis(1700);

/// Silence of a target that is slower still.
const SLOWER: Duration = Duration::from_millis(3500);

/// Answers after which it is known when one is slow.
const USUAL_ANSWERS: usize = 80;

/// Times at which they are sent, as the retry budget counts requests of one
/// moment apart.
const MOMENTS: usize = 4;

/// Time after which it counts requests in another interval.
const COUNTED_APART: Duration = Duration::from_millis(250);

/// Requests of which one goes to the slow target first.
const MAX_CALLS: usize = 20;

/// Requests that targets answer at once before each slow one. The ratio allows an
/// extra attempt for every other request: without these it may be that none is left
/// whenever the first target of two is chosen first.
const EARNING: usize = 2;

/// Time in which the log takes as many lines of successes as it does.
const LOG_PERIOD: Duration = Duration::from_millis(1100);

/// What operators and the configuration allow.
#[derive(Clone, Copy)]
struct Allowed {
    ratio: Option<&'static str>,
    quantile: &'static str,
    max_attempts: u32,
}

const ALLOWED: Allowed = Allowed {
    ratio: Some("0.5"),
    quantile: "0.9",
    max_attempts: 2,
};

/// Starts a site and an instance.
async fn start(allowed: Allowed) -> (Site, Node) {
    let mut site = Site::start().await;
    if let Some(ratio) = allowed.ratio {
        site.set_variable(EXTRA_ATTEMPT_RATIO, ratio);
        site.set_variable(EXTRA_ATTEMPT_QUANTILE, allowed.quantile);
    }
    let mut document = configuration(4);
    for route in document["routes"].as_array_mut().expect("routes") {
        route["max_attempts"] = json!(allowed.max_attempts);
        route["timeout_ms"] = json!(6000);
    }
    site.store.put("op/config", &document);
    let node = site.instance("near", "north-a", "north").await;
    (site, node)
}

/// Waits until an instance knows as many targets.
async fn until_known(node: &Node, targets: usize) {
    let line = format!("chiverelay_targets_usable {targets}");
    until("the targets are known", async || {
        let got = call::get(node.metrics, "/metrics").await;
        got.is_ok_and(|got| got.body.lines().any(|l| l == line))
    })
    .await;
}

/// Returns how often something became of an extra attempt.
async fn count(node: &Node, event: &str) -> u64 {
    let got = call::get(node.metrics, "/metrics").await.expect("metrics");
    let name = format!("chiverelay_extra_attempts_total{{event=\"{event}\"}} ");
    let value = got.body.lines().find_map(|line| line.strip_prefix(&name));
    value.map_or(0, |value| value.parse().expect("a count"))
}

/// Waits until an instance has logged a text.
async fn until_logged(node: &Node, text: &str) {
    until(text, async || node.logged().contains(text)).await;
}

/// Sends requests that targets answer at once.
async fn send_usual(node: &Node, path: &str) {
    for _ in 0..MOMENTS {
        for _ in 0..USUAL_ANSWERS / MOMENTS {
            let got = Call::new("r-0", path).key(KEY).send(node.front).await;
            assert_eq!(got.status, StatusCode::OK, "{}", node.logged());
        }
        tokio::time::sleep(COUNTED_APART).await;
    }
    tokio::time::sleep(LOG_PERIOD).await;
}

/// Sends requests until one has reached the slow target first, as `is_first`
/// tells of a request's id. Returns its id and answer.
async fn send_slow<F>(node: &Node, path: &str, mut is_first: F) -> (String, Got)
where
    F: FnMut(&str) -> bool,
{
    for n in 1..=MAX_CALLS {
        let id = format!("r-{n}");
        let got = Call::new(&id, path).key(KEY).send(node.front).await;
        if is_first(&id) {
            return (id, got);
        }
    }
    panic!("never at the slow target first: {}", node.logged());
}

fn path(route: &str, stage: Stage) -> String {
    format!("/{route}/{}", stage.segment())
}

/// Asks a slow target beside one that answers at once.
fn check_win(answer: SilentAnswer, service: &str, route: &str, stage: Stage) {
    block_on(async {
        let (site, node) = start(ALLOWED).await;
        let slow = SilentTarget::start_by_path(answer, SLOW).await;
        site.register_at("i-1", slow.address, service, "north-a");
        let quick = PlatformTarget::start("i-2").await;
        if answer == SilentAnswer::Events {
            quick.set(Mode::Events(EVENTS));
        }
        site.register(&quick, service, "north-a");
        until_known(&node, 2).await;
        send_usual(&node, &format!("/{route}/1")).await;
        let was_asked = |id: &str| slow.requests().iter().any(|r| r == id);
        let (id, got) = send_slow(&node, &path(route, stage), was_asked).await;
        assert_eq!(got.status, StatusCode::OK, "{}", node.logged());
        assert!(got.whole, "{got:?}");
        match answer {
            SilentAnswer::Events => assert_eq!(got.event_ids(), [1, 2, 3, 4]),
            SilentAnswer::Plain => assert_eq!(got.body, "answer of i-2"),
        }
        until("the slow target is rid of the request", async || {
            slow.left().iter().any(|(left, _)| *left == id)
        })
        .await;
        assert!(!slow.completed().contains(&id));
        assert!(count(&node, "won").await >= 1, "{}", node.logged());
        until_logged(&node, "\"extra\":\"won\"").await;
        until_logged(&node, "\"outcome\":\"overtaken\"").await;
    });
}

cases! {
    check_win:
    a_plain_request_is_answered_by_the_other_target(
        SilentAnswer::Plain, "orders", "status", Stage::BeforeHead
    );
    a_stream_without_an_event_is_begun_by_the_other_target(
        SilentAnswer::Events, "model", "quote", Stage::AfterHead
    );
}

/// The extra attempt takes longer than what is left of the first one.
#[test]
fn the_extra_attempt_is_cancelled_if_the_first_target_answers() {
    block_on(async {
        let (site, node) = start(ALLOWED).await;
        let first = SilentTarget::start_by_path(SilentAnswer::Plain, SLOW).await;
        site.register_at("i-1", first.address, "orders", "north-a");
        let second = SilentTarget::start_by_path(SilentAnswer::Plain, SLOWER).await;
        site.register_at("i-2", second.address, "orders", "north-a");
        until_known(&node, 2).await;
        send_usual(&node, "/status/1").await;
        // With the second target first, the extra attempt wins.
        let mut id = String::new();
        for n in 1..=MAX_CALLS {
            id = format!("r-{n}");
            for _ in 0..EARNING {
                let quick = Call::new("r-0", "/status/1").key(KEY);
                assert_eq!(quick.send(node.front).await.status, StatusCode::OK);
            }
            let call = Call::new(&id, &path("status", Stage::BeforeHead)).key(KEY);
            let got = call.send(node.front).await;
            assert_eq!(got.status, StatusCode::OK, "{}", node.logged());
            if count(&node, "cancelled").await > 0 {
                break;
            }
        }
        assert!(first.completed().contains(&id), "{}", node.logged());
        until("the second target is rid of the request", async || {
            second.left().iter().any(|(left, _)| *left == id)
        })
        .await;
        assert_eq!(count(&node, "cancelled").await, 1, "{}", node.logged());
        until_logged(&node, "\"extra\":\"cancelled\"").await;
    });
}

/// Asks a slow target beside one that could answer, and must not be asked.
fn check_stays(allowed: Allowed, route: &str, denial: Option<&str>) {
    block_on(async {
        let (site, node) = start(allowed).await;
        let slow = SilentTarget::start_by_path(SilentAnswer::Plain, SLOW).await;
        site.register_at("i-1", slow.address, "orders", "north-a");
        let quick = PlatformTarget::start("i-2").await;
        site.register(&quick, "orders", "north-a");
        until_known(&node, 2).await;
        send_usual(&node, "/status/1").await;
        let was_asked = |id: &str| slow.requests().iter().any(|r| r == id);
        let (id, got) = send_slow(&node, &path(route, Stage::BeforeHead), was_asked).await;
        assert_eq!(got.status, StatusCode::OK, "{}", node.logged());
        assert!(slow.completed().contains(&id), "{}", node.logged());
        let arrivals = quick.arrivals();
        let asked = arrivals.iter().filter(|a| a.header("request-id") == id);
        assert_eq!(asked.count(), 0, "{}", node.logged());
        assert_eq!(count(&node, "started").await, 0, "{}", node.logged());
        if let Some(denial) = denial {
            assert!(count(&node, denial).await >= 1, "{}", node.logged());
        }
    });
}

cases! {
    check_stays:
    a_request_that_runs_at_most_once_stays(ALLOWED, "deposit", None);
    a_request_with_one_attempt_stays(
        Allowed { max_attempts: 1, ..ALLOWED }, "status", None
    );
    a_request_stays_where_no_limit_is_set(
        Allowed { ratio: None, ..ALLOWED }, "status", None
    );
    a_request_stays_when_the_limit_is_reached(
        Allowed { ratio: Some("0.001"), ..ALLOWED }, "status", Some("over limit")
    );
}

/// The other target refuses. The first one is awaited as if nobody had been
/// asked.
#[test]
fn a_refused_extra_attempt_leaves_the_first_one() {
    block_on(async {
        let (site, node) = start(ALLOWED).await;
        let slow = SilentTarget::start_by_path(SilentAnswer::Plain, SLOW).await;
        site.register_at("i-1", slow.address, "orders", "north-a");
        until_known(&node, 1).await;
        send_usual(&node, "/status/1").await;
        let full = PlatformTarget::start("i-2").await;
        full.set(Mode::Full);
        site.register(&full, "orders", "north-a");
        until_known(&node, 2).await;
        let was_started = async || count(&node, "started").await > 0;
        for n in 1..=MAX_CALLS {
            let id = format!("r-{n}");
            let call = Call::new(&id, &path("status", Stage::BeforeHead)).key(KEY);
            let got = call.send(node.front).await;
            assert_eq!(got.status, StatusCode::OK, "{}", node.logged());
            assert!(slow.completed().contains(&id), "{}", node.logged());
            if was_started().await {
                break;
            }
        }
        assert_eq!(count(&node, "failed").await, 1, "{}", node.logged());
    });
}

/// Time to usual answers, long enough for a stop to begin before a request is
/// slow.
const USUAL_TIME: Duration = Duration::from_millis(1000);

/// Usual answers that are awaited at once, fewer than half of the slots.
const AT_ONCE: usize = 4;

/// A stop begins while a request waits at its target. Work that is left behind
/// would end with the process.
#[test]
fn a_stop_starts_no_extra_attempt() {
    block_on(async {
        let (site, node) = start(Allowed {
            quantile: "0.5",
            ..ALLOWED
        })
        .await;
        // With another instance a stop leaves at once.
        let _other = site.instance("other", "north-a", "north").await;
        until("the other instance is known", async || {
            node.logged().contains("link is up")
        })
        .await;
        let targets = [
            PlatformTarget::start("i-1").await,
            PlatformTarget::start("i-2").await,
        ];
        for target in &targets {
            target.set(Mode::Slow(USUAL_TIME));
            site.register(target, "orders", "north-a");
        }
        until_known(&node, 2).await;
        for _ in 0..MOMENTS {
            let usual = || Call::new("r-0", "/status/1").key(KEY);
            let sent = (0..AT_ONCE).map(|_| async { usual().send(node.front).await });
            futures_util::future::join_all(sent).await;
        }
        for target in &targets {
            target.set(Mode::Slow(SLOW));
        }
        let arrived = || {
            let arrivals = targets.iter().flat_map(PlatformTarget::arrivals);
            let arrived = arrivals.filter(|a| a.header("request-id") == "r-1");
            arrived.count()
        };
        let call = Call::new("r-1", "/status/1").key(KEY);
        let stopping = async {
            until("a target has the request", async || arrived() > 0).await;
            node.process.terminate();
        };
        let (got, ()) = tokio::join!(call.send(node.front), stopping);
        assert_eq!(got.status, StatusCode::OK, "{}", node.logged());
        until_logged(&node, "\"leaving\"").await;
        let logged = node.logged();
        let (before, _) = logged.split_once("\"leaving\"").expect("the stop");
        let early = before.matches("\"extra attempt\"").count();
        assert_eq!(arrived(), 1 + early, "{logged}");
    });
}
