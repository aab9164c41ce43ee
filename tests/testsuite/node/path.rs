//! The whole path: instances as processes before stand-ins of the platform.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use support::block_on;
use support::node::Mode;
use support::node::Node;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// Starts one instance before one target of the order desk.
async fn desk() -> (Site, PlatformTarget, Node) {
    let site = Site::start().await;
    let target = PlatformTarget::start("i-1").await;
    site.register(&target, "orders", "north-a");
    let node = site.instance("one", "north-a", "north").await;
    (site, target, node)
}

#[test]
fn a_request_reaches_its_target_without_the_key() {
    block_on(async {
        let (_site, target, node) = desk().await;
        let call = Call::new("r-1", "/status/7?lang=es")
            .key(KEY)
            .header("tenant-id", "somebody-else")
            .header("kv-hold", "9")
            .header("x-own", "kept");
        let got = call.send(node.front).await;
        assert_eq!(got.status, StatusCode::OK);
        assert_eq!(got.body, "answer of i-1");
        assert_eq!(got.header("server-stamp"), "stamp-of-i-1");
        assert_eq!(got.header("request-id"), "r-1");
        let arrivals = target.arrivals();
        let [arrival] = &arrivals[..] else {
            panic!("{} arrivals", arrivals.len());
        };
        assert_eq!(arrival.line, "POST /status/7?lang=es");
        assert_eq!(&arrival.body[..], b"question");
        assert_eq!(arrival.header("tenant-id"), "parish");
        assert_eq!(arrival.header("target-instance"), "i-1");
        assert_eq!(arrival.header("x-own"), "kept");
        assert_eq!(arrival.header("host"), "desk.example");
        let left: u64 = arrival
            .header("request-deadline")
            .parse()
            .expect("a number");
        assert!((3000..=4000).contains(&left), "{left} ms left");
        assert!(!arrival.headers.contains_key("authorization"));
        assert!(!arrival.headers.contains_key("kv-hold"));
        assert!(!format!("{:?}", arrival.headers).contains(KEY));
        assert!(!node.logged().contains(KEY));
    });
}

/// Sends one request to a target in a mode and checks status and arrivals.
fn check_outcome(path: &str, mode: Mode, status: u16, arrivals: usize) {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-1").await;
        target.set(mode);
        let is_model = path.starts_with("/quote") || path.starts_with("/chat");
        let service = if is_model { "model" } else { "orders" };
        site.register(&target, service, "north-a");
        let node = site.instance("one", "north-a", "north").await;
        let got = Call::new("r-1", path).key(KEY).send(node.front).await;
        assert_eq!(got.status.as_u16(), status, "{got:?}");
        assert_eq!(target.arrivals().len(), arrivals);
    });
}

support::cases! {
    check_outcome:
    an_idempotent_request_that_fails_is_passed_on_as_it_failed("/status/1", Mode::Fail, 500, 1);
    a_request_once_only_that_is_lost_is_not_sent_again("/deposit/1", Mode::Lose, 502, 1);
    a_request_once_only_with_a_foreign_answer_is_unknown("/deposit/1", Mode::Foreign, 502, 1);
    a_request_that_no_target_ran_is_refused_as_not_run("/deposit/1", Mode::Full, 503, 1);
    a_stream_that_may_not_go_on_elsewhere_is_not_sent_again("/chat/1", Mode::Lose, 502, 1);
}

#[test]
fn a_cut_stream_goes_on_elsewhere_without_a_gap() {
    block_on(async {
        let site = Site::start().await;
        let cut = PlatformTarget::start("i-1").await;
        cut.set(Mode::Cut(4));
        site.register(&cut, "model", "north-a");
        let node = site.instance("one", "north-a", "north").await;
        let whole = PlatformTarget::start("i-2").await;
        whole.set(Mode::Events(3));
        let streaming = Call::new("r-1", "/quote/1").key(KEY);
        let streaming = streaming.send(node.front);
        let joining = async {
            until("the stream has begun", async || !cut.arrivals().is_empty()).await;
            site.register(&whole, "model", "north-a");
        };
        let (got, ()) = tokio::join!(streaming, joining);
        assert!(got.whole, "{got:?}");
        assert_eq!(got.event_ids(), (1..=7).collect::<Vec<_>>());
        assert_eq!(got.header("server-stamp"), "stamp-of-i-1");
        assert_eq!(whole.arrivals()[0].header("last-event-id"), "4");
    });
}

#[test]
fn a_cut_stream_that_may_not_go_on_ends_visibly() {
    block_on(async {
        let site = Site::start().await;
        let cut = PlatformTarget::start("i-1").await;
        cut.set(Mode::Cut(4));
        site.register(&cut, "model", "north-a");
        let node = site.instance("one", "north-a", "north").await;
        let got = Call::new("r-1", "/chat/1").key(KEY).send(node.front).await;
        assert!(!got.whole, "{got:?}");
        assert_eq!(got.event_ids(), vec![1, 2, 3, 4]);
        assert!(!got.body.contains("id: 99"), "half an event went out");
    });
}

#[test]
fn a_withdrawn_key_is_refused_though_the_watch_heard_nothing() {
    block_on(async {
        let (site, _target, node) = desk().await;
        let call = Call::new("r-1", "/status/1").key(KEY);
        assert_eq!(call.send(node.front).await.status, StatusCode::OK);
        // The store drops its history: watches hear nothing of the change, are
        // cut, and the next ones hear nothing either.
        site.store.mute(true);
        let mut withdrawn = configuration(4);
        withdrawn["tenants"][0]["api_keys"] = json!([]);
        site.store.put("op/config", &withdrawn);
        site.store.forget();
        let started = std::time::Instant::now();
        until("the key is refused", async || {
            call.send(node.front).await.status == StatusCode::UNAUTHORIZED
        })
        .await;
        assert!(
            started.elapsed() < Duration::from_secs(3),
            "{:?}",
            started.elapsed()
        );
    });
}

#[test]
fn a_draining_target_gets_nothing_more() {
    block_on(async {
        let (site, target, node) = desk().await;
        let call = Call::new("r-1", "/status/1").key(KEY);
        assert_eq!(call.send(node.front).await.status, StatusCode::OK);
        site.register_as(&target, "orders", "north-a", "draining", 0);
        until("the target is passed over", async || {
            call.send(node.front).await.status == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
        let arrivals = target.arrivals().len();
        call.send(node.front).await;
        assert_eq!(target.arrivals().len(), arrivals);
    });
}

#[test]
fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    block_on(async {
        let (site, _target, node) = desk().await;
        let call = Call::new("r-1", "/status/1").key(KEY);
        site.store.put("op/evacuate/north-a", &json!({}));
        until("the zone is passed over", async || {
            call.send(node.front).await.status == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
        site.store.remove("op/evacuate/north-a");
        until("the zone is back", async || {
            call.send(node.front).await.status == StatusCode::OK
        })
        .await;
    });
}

#[test]
fn an_unreadable_configuration_leaves_the_last_one_in_force() {
    block_on(async {
        let (site, _target, node) = desk().await;
        site.store
            .put_bytes("op/config", b"{\"version\": 4, \"routes\": 7}");
        site.store.put_bytes("servers/stranger", b"\xff\xfe");
        until("the log names both", async || {
            let log = node.logged();
            log.contains("the previous catalog stays in force") && log.contains("record ignored")
        })
        .await;
        let got = Call::new("r-1", "/status/1")
            .key(KEY)
            .send(node.front)
            .await;
        assert_eq!(got.status, StatusCode::OK);
    });
}

#[test]
fn a_stop_lets_an_open_request_end() {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-1").await;
        target.set(Mode::Slow(Duration::from_millis(1500)));
        site.register(&target, "orders", "north-a");
        let mut node = site.instance("one", "north-a", "north").await;
        let _other = site.instance("two", "north-a", "north").await;
        let call = Call::new("r-1", "/deposit/1").key(KEY);
        let stopping = async {
            until("the request runs", async || !target.arrivals().is_empty()).await;
            node.process.terminate();
            node.until_ready(false).await;
        };
        let (got, ()) = tokio::join!(call.send(node.front), stopping);
        assert_eq!(got.status, StatusCode::OK);
        assert_eq!(got.header("connection"), "close");
        assert!(tokio::task::block_in_place(|| node.process.wait()));
        let records = site.store.keys("chiverelay/");
        assert_eq!(records, ["chiverelay/instances/two"], "a record is left");
    });
}

#[test]
fn a_stop_waits_for_the_other_instance_of_the_region() {
    block_on(async {
        let site = Site::start().await;
        let one = site.instance("one", "north-a", "north").await;
        let _far = site.instance("far", "south-a", "south").await;
        one.process.terminate();
        // Nobody else of the region is ready, so it goes on for a while.
        tokio::time::sleep(Duration::from_millis(600)).await;
        one.until_ready(true).await;
        let _two = site.instance("two", "north-a", "north").await;
        let started = std::time::Instant::now();
        one.until_ready(false).await;
        assert!(
            started.elapsed() < Duration::from_millis(1800),
            "{:?}",
            started.elapsed()
        );
    });
}

/// What is taken later may be cut at the end of the time for a stop.
#[test]
fn a_stop_takes_no_request_after_three_seconds() {
    block_on(async {
        let (_site, _target, node) = desk().await;
        node.process.terminate();
        let stopped = std::time::Instant::now();
        let mut last = Duration::ZERO;
        while stopped.elapsed() < Duration::from_millis(4500) {
            let call = Call::new("r-1", "/status/1").key(KEY);
            if call.exchange(node.front).await.is_ok() {
                last = stopped.elapsed();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert!(
            last < Duration::from_secs(3),
            "taken {last:?} after the signal"
        );
    });
}

#[test]
fn an_instance_that_knows_no_configuration_refuses_and_says_so() {
    block_on(async {
        let site = Site::start().await;
        site.store.refuse(Some(StatusCode::SERVICE_UNAVAILABLE));
        let node = site.spawn("one", "north-a", "north");
        until("the instance listens", async || {
            call::get(node.ready, "/v1/ready").await.is_ok()
        })
        .await;
        let got = Call::new("r-1", "/status/1")
            .key(KEY)
            .send(node.front)
            .await;
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(!got.header("retry-after").is_empty());
        site.store.refuse(None);
        node.until_ready(true).await;
    });
}

/// Pattern: all instances start at once while callers keep coming.
#[test]
fn a_request_at_the_start_waits_for_the_first_listings() {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-1").await;
        site.register(&target, "orders", "north-a");
        site.store.refuse(Some(StatusCode::SERVICE_UNAVAILABLE));
        let node = site.spawn("one", "north-a", "north");
        until("the instance listens", async || {
            call::get(node.ready, "/v1/ready").await.is_ok()
        })
        .await;
        let call = Call::new("r-1", "/status/1").key(KEY);
        let returning = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            site.store.refuse(None);
        };
        let (got, ()) = tokio::join!(call.send(node.front), returning);
        assert_eq!(got.status, StatusCode::OK, "{got:?}");
    });
}

#[test]
fn the_directory_drops_an_instance_that_was_killed() {
    block_on(async {
        let site = Site::start().await;
        let one = site.instance("one", "north-a", "north").await;
        let mut two = site.instance("two", "north-a", "north").await;
        let names = async |node: &Node| {
            let path = "/v1/resolve?name=desk.example&region=north&zone=north-a";
            let got = call::get(node.directory, path).await.expect("an answer");
            got.body
        };
        let second = two.front.to_string();
        until("both are named", async || {
            names(&one).await.contains(&second)
        })
        .await;
        two.process.kill();
        let killed = std::time::Instant::now();
        until("the killed one is not named", async || {
            !names(&one).await.contains(&second)
        })
        .await;
        assert!(
            killed.elapsed() < Duration::from_secs(5),
            "{:?}",
            killed.elapsed()
        );
    });
}

/// Pattern: a region comes back whole, and its targets are cold.
#[test]
fn instances_that_start_together_share_what_cold_targets_take() {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-1").await;
        target.set(Mode::Events(1));
        site.register_as(&target, "model", "north-a", "ready", 60_000);
        let names = ["one", "two", "three"];
        let nodes = names.map(|name| site.spawn(name, "north-a", "north"));
        for node in &nodes {
            node.until_ready(true).await;
        }
        // All three ask at once, within a second of their start.
        let calls = (0..30).flat_map(|n| nodes.iter().map(move |node| (n, node)));
        let calls = calls.map(|(n, node)| async move {
            let id = format!("r-{n}-{}", node.front);
            Call::new(&id, "/chat/1").key(KEY).send(node.front).await
        });
        futures_util::future::join_all(calls).await;
        // 13 a second, half as many again, and 3.
        let arrivals = target.arrivals().len();
        assert!(arrivals <= 22, "{arrivals} requests in one second");
    });
}

#[test]
fn metrics_count_answers_and_refusals() {
    block_on(async {
        let (_site, _target, node) = desk().await;
        Call::new("r-1", "/status/1")
            .key(KEY)
            .send(node.front)
            .await;
        Call::new("r-2", "/nowhere/1")
            .key(KEY)
            .send(node.front)
            .await;
        let got = call::get(node.metrics, "/metrics").await.expect("metrics");
        assert!(
            got.body
                .contains("chiverelay_requests_total{status=\"2xx\"} 1"),
            "{}",
            got.body
        );
        assert!(
            got.body.contains("code=\"no_route\",ran=\"not_run\"} 1"),
            "{}",
            got.body
        );
        let read = |name: &str| {
            let lines = got.body.lines();
            let value = lines.filter_map(|line| line.strip_prefix(name)).next();
            let value = value.and_then(|value| value.trim().parse::<f64>().ok());
            value.unwrap_or_else(|| panic!("no {name} in {}", got.body))
        };
        assert_eq!(read("chiverelay_targets "), 1.0);
        assert_eq!(read("chiverelay_targets_usable "), 1.0);
        assert_eq!(read("chiverelay_instances_ready "), 0.0);
        assert_eq!(read("chiverelay_requests_open "), 0.0);
        assert!(read("chiverelay_catalog_version ") >= 1.0);
        assert!(read("chiverelay_store_age_seconds ") < 2.0);
        assert!(read("chiverelay_catalog_age_seconds ") < 60.0);
    });
}

#[test]
fn a_caller_that_leaves_before_an_answer_is_logged() {
    block_on(async {
        let (_site, target, node) = desk().await;
        target.set(Mode::Slow(Duration::from_secs(5)));
        let call = Call::new("r-left", "/status/1").key(KEY);
        let leaving = tokio::time::timeout(Duration::from_millis(300), call.exchange(node.front));
        assert!(leaving.await.is_err());
        until("a line of the caller that left", async || {
            let log = node.logged();
            let mut lines = log.lines().filter(|line| line.contains("r-left"));
            lines.any(|line| line.contains("caller left before an answer"))
        })
        .await;
    });
}
