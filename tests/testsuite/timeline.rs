//! The time line of events over all instances.

use std::time::Duration;

use chiverelay_decisions::event::Event;
use chiverelay_decisions::event::EventFilter;
use chiverelay_decisions::event::EventRing;
use chiverelay_decisions::event::NewEvent;
use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::event::Timeline;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_operator::api::GrantedKey;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use serde_json::json;
use support::block_on;
use support::caller;
use support::cases;
use support::process;
use support::site::Site;
use support::site::TOKEN;
use support::site::document;

fn event(instance: &str, request: &str, account: Option<&str>, wall_ms: u64) -> Event {
    Event {
        stamp: Stamp {
            wall_ms,
            counter: 0,
        },
        instance: instance.into(),
        request: Some(request.into()),
        account: account.map(Into::into),
        step: Step::Admit,
        peer: Peer::Local,
        what: "admitted".to_owned(),
    }
}

fn check_filter(filter: EventFilter, want: bool) {
    let event = event("lima-1", "r1", Some("encargos"), 100);
    assert_eq!(filter.matches(&event), want);
}

cases! {
    check_filter:
    anything(EventFilter::default(), true);
    the_request(EventFilter { request: Some("r1".into()), ..EventFilter::default() }, true);
    another_request(EventFilter { request: Some("r2".into()), ..EventFilter::default() }, false);
    the_account(EventFilter { account: Some("encargos".into()), ..EventFilter::default() }, true);
    another_account(EventFilter { account: Some("caja".into()), ..EventFilter::default() }, false);
    the_instance(EventFilter { instance: Some("lima-1".into()), ..EventFilter::default() }, true);
    another_instance(EventFilter { instance: Some("cusco-1".into()), ..EventFilter::default() }, false);
    from_its_time(EventFilter { from_ms: 100, ..EventFilter::default() }, true);
    from_a_later_time(EventFilter { from_ms: 101, ..EventFilter::default() }, false);
    to_its_time(EventFilter { to_ms: 100, ..EventFilter::default() }, true);
    to_an_earlier_time(EventFilter { to_ms: 99, ..EventFilter::default() }, false);
    all_but_one(
        EventFilter {
            request: Some("r1".into()),
            account: Some("encargos".into()),
            instance: Some("lima-1".into()),
            from_ms: 0,
            to_ms: 99,
        },
        false
    );
}

fn entry(what: String) -> NewEvent {
    NewEvent {
        request: None,
        account: None,
        step: Step::Forward,
        peer: Peer::Local,
        what,
    }
}

/// Whatever the wall clocks say, a message sorts before what follows from it.
fn causes_come_first(steps: Vec<(bool, u8, u8)>) -> bool {
    let rings = [
        EventRing::new("a".into(), 1000),
        EventRing::new("b".into(), 1000),
    ];
    steps.into_iter().all(|(from, sent_at, taken_at)| {
        let (from, to) = match from {
            true => (&rings[0], &rings[1]),
            false => (&rings[1], &rings[0]),
        };
        let wall = |ms: u8| Duration::from_millis(u64::from(ms));
        let sent = from.record(wall(sent_at), entry("sent".to_owned()));
        to.advance_clock(from.latest());
        sent < to.record(wall(taken_at), entry("taken".to_owned()))
    })
}

#[test]
fn stamps_follow_messages() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 6))
        .tests(500)
        .quickcheck(causes_come_first as fn(Vec<(bool, u8, u8)>) -> bool);
}

#[test]
fn a_ring_says_what_it_dropped() {
    let ring = EventRing::new("lima-1".into(), 10);
    for i in 0..25 {
        ring.record(Duration::from_millis(i), entry(i.to_string()));
    }
    let page = ring.page(|_| true);
    assert_eq!((page.events.len(), page.dropped), (10, 15));
    let mut timeline = Timeline::default();
    timeline.add_page(&"lima-1".into(), page, &EventFilter::default());
    assert_eq!(timeline.dropped["lima-1"], 15);
}

/// Runs `chiverelay timeline --json` with further arguments.
fn timeline(site: &Site, name: &str, more: &[&str]) -> Timeline {
    let token = site.path("token");
    std::fs::write(&token, TOKEN).expect("the token can be written");
    let address = site.daemon(name).operator.to_string();
    let mut args = vec!["timeline", "--json", "--instance", &address];
    args.extend(["--token-file", &token]);
    args.extend(more);
    let output = process::output("chiverelay", &args);
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("a time line")
}

async fn two_regions() -> (Site, GrantedKey) {
    let site = Site::start(&[("lima-1", "lima"), ("cusco-1", "cusco")]).await;
    let (_, engine) = site.engine("engine-1", Duration::ZERO).await;
    site.apply("lima-1", document(&[("engine-1", engine, "cusco")], &[]))
        .await;
    let granted = site.grant("lima-1", "encargos").await;
    (site, granted)
}

#[test]
fn a_forwarded_request_is_in_order_over_both_instances() {
    block_on(async {
        let (site, granted) = two_regions().await;
        for _ in 0..30 {
            let body = json!({"model": "taller-llm", "max_tokens": 1, "messages": []});
            let address = site.daemon("lima-1").caller;
            let answer = caller::post(address, "/v1/chat/completions", &granted.key, &body)
                .await
                .expect("an answer");
            assert!(answer.whole);
            let id = answer.headers["x-request-id"].to_str().expect("an id");
            let timeline = timeline(&site, "cusco-1", &["--request", id]);
            assert!(timeline.missing.is_empty());
            let place = |instance: &str, what: &str| {
                let mut events = timeline.events.iter();
                events
                    .position(|e| e.instance.as_str() == instance && e.what.starts_with(what))
                    .unwrap_or_else(|| panic!("no {what} at {instance}: {timeline:?}"))
            };
            let order = [
                place("lima-1", "admitted"),
                place("lima-1", "passed on"),
                place("cusco-1", "taken"),
                place("cusco-1", "sent"),
                place("cusco-1", "status 200"),
                place("lima-1", "whole answer"),
            ];
            assert!(order.is_sorted(), "{timeline:?}");
        }
    });
}

#[test]
fn a_refusal_says_why_where_and_for_whom() {
    block_on(async {
        let (site, granted) = two_regions().await;
        let body = json!({"model": "taller-llm", "messages": []});
        let address = site.daemon("lima-1").caller;
        let answer = caller::post(address, "/nowhere", &granted.key, &body)
            .await
            .expect("an answer");
        let id = answer.headers["x-request-id"].to_str().expect("an id");
        let timeline = timeline(
            &site,
            "cusco-1",
            &["--account", "encargos", "--request", id],
        );
        let last = timeline.events.last().expect("an event");
        assert_eq!(last.what, "refused: no_route, not_run");
        assert_eq!((last.step, &last.peer), (Step::Route, &Peer::Local));
    });
}

#[test]
fn a_withdrawn_key_still_names_its_account() {
    block_on(async {
        let (site, granted) = two_regions().await;
        let client = site.daemon("lima-1").client();
        client.withdraw(&granted.id).await.expect("a withdrawal");
        let address = site.daemon("lima-1").caller;
        let answer = caller::post(address, "/orders", &granted.key, &json!({})).await;
        assert_eq!(answer.expect("an answer").status.as_u16(), 401);
        let timeline = timeline(&site, "lima-1", &["--account", "encargos"]);
        let mut events = timeline.events.iter();
        assert!(events.any(|e| e.what == "refused: unauthenticated, not_run"));
    });
}

#[test]
fn an_instance_that_cannot_be_asked_is_named() {
    block_on(async {
        let (mut site, _) = two_regions().await;
        site.daemon_mut("cusco-1").process.kill();
        let timeline = timeline(&site, "lima-1", &[]);
        assert!(timeline.missing.contains_key("cusco-1"), "{timeline:?}");
    });
}
