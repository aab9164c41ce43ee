//! What the adapter decodes: configuration, records, requests and answers.

use std::collections::HashMap;
use std::time::Duration;

use chiverelay_decisions::catalog::RouteKind;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Zone;
use chiverelay_gateway::Dialect;
use chiverelay_gateway::HeldHeaders;
use chiverelay_gateway::Outbound;
use chiverelay_gateway::ResponseVerdict;
use chiverelay_platform::catalog;
use chiverelay_platform::codec;
use chiverelay_platform::codec::PlatformCodec;
use chiverelay_platform::records;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use serde_json::json;
use support::cases;
use support::node::site::KEY;
use support::node::site::configuration;

#[test]
fn a_configuration_becomes_a_catalog() {
    let catalog = catalog::decode(configuration(7).to_string().as_bytes()).expect("readable");
    assert_eq!(catalog.version, 7);
    let terms = catalog
        .find("desk.example", "/quote/1", Some(KEY))
        .expect("covered");
    assert_eq!(terms.route.kind, RouteKind::Stream { resumable: true });
    assert_eq!(terms.route.timeout, Duration::from_millis(4000));
    assert_eq!(terms.route.max_attempts, 2);
    let account = terms.account.expect("an account");
    assert_eq!(account.name.as_str(), "parish");
    assert_eq!(account.limit.expect("a limit").default_charge, 200);
    let pool = catalog.pool(&"model".into()).expect("a pool");
    assert_eq!(pool.engine.as_ref().expect("an engine").slots, 64);
    assert_eq!(pool.cold.requests_per_s, 13.0);
}

#[test]
fn a_configuration_of_an_unknown_kind_is_refused_whole() {
    let mut document = configuration(7);
    document["routes"][2]["type"] = json!("duplex");
    let e = catalog::decode(document.to_string().as_bytes()).expect_err("refused");
    assert!(e.to_string().contains("duplex"), "{e}");
}

fn check_record(change: &[(&str, serde_json::Value)], names_a_target: bool) {
    let zones = HashMap::from([(Zone::from("north-a"), Region::from("north"))]);
    let mut record = json!({
        "service": "orders", "address": "10.128.0.9:8080", "zone": "north-a", "version": "v1",
        "slots": 6, "state": "ready", "warmup_left_ms": 0, "sequence": 4,
    });
    for (field, value) in change {
        if value.is_null() {
            record.as_object_mut().expect("an object").remove(*field);
        } else {
            record[*field] = value.clone();
        }
    }
    let decoded = records::decode_target(record.to_string().as_bytes(), &zones);
    assert_eq!(decoded.is_ok(), names_a_target, "{decoded:?}");
}

cases! {
    check_record:
    a_whole_record(&[], true);
    a_record_with_a_field_of_tomorrow(&[("colour", json!("tin"))], true);
    a_record_of_a_draining_target(&[("state", json!("draining"))], true);
    a_record_without_an_address(&[("address", json!(null))], false);
    a_record_with_slots_as_text(&[("slots", json!("6"))], false);
    a_record_in_an_unknown_state(&[("state", json!("sleeping"))], false);
    a_record_of_an_unknown_zone(&[("zone", json!("west-a"))], false);
    a_record_without_a_sequence(&[("sequence", json!(null))], false);
}

fn outbound() -> Outbound {
    Outbound {
        id: "r-1".into(),
        method: Method::GET,
        path_and_query: "/status/1".to_owned(),
        headers: HeldHeaders::default(),
        body: bytes::Bytes::new(),
        account: None,
        priority: 1,
        is_streaming: false,
        last_event_id: None,
    }
}

fn classify(
    status: u16,
    headers: &[(&'static str, &'static str)],
    is_reused: bool,
) -> ResponseVerdict {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    let status = StatusCode::from_u16(status).expect("a status");
    PlatformCodec.classify_response(&outbound(), status, &map, is_reused)
}

fn check_verdict(status: u16, headers: &[(&'static str, &'static str)], want: ResponseVerdict) {
    assert_eq!(classify(status, headers, false), want);
}

cases! {
    check_verdict:
    an_own_answer(200, &[("request-id", "r-1"), ("server-stamp", "s")], ResponseVerdict::Ran);
    a_failure_of_its_own(500, &[("request-id", "r-1"), ("server-stamp", "s")], ResponseVerdict::Ran);
    an_answer_without_a_signature(200, &[("request-id", "r-1")], ResponseVerdict::Mismatched);
    an_answer_to_another_request(200, &[("request-id", "r-2"), ("server-stamp", "s")], ResponseVerdict::Mismatched);
    an_answer_without_an_id(200, &[("server-stamp", "s")], ResponseVerdict::Mismatched);
    a_full_target(503, &[("not-executed", "1")], ResponseVerdict::Rejected);
    a_late_word_on_another_request(503, &[("request-id", "r-2"), ("not-executed", "1")], ResponseVerdict::Mismatched);
    another_target(421, &[("instance-id", "i-9")], ResponseVerdict::Misdirected);
    another_target_for_another_request(421, &[("request-id", "r-2")], ResponseVerdict::Mismatched);
}

/// What comes on a connection that carried an earlier request may be a repeated
/// answer to that.
fn check_verdict_on_a_kept_connection(
    status: u16,
    headers: &[(&'static str, &'static str)],
    want: ResponseVerdict,
) {
    assert_eq!(classify(status, headers, true), want);
}

cases! {
    check_verdict_on_a_kept_connection:
    a_full_target_that_names_the_request(503, &[("request-id", "r-1"), ("not-executed", "1")], ResponseVerdict::Rejected);
    another_target_that_names_the_request(421, &[("request-id", "r-1")], ResponseVerdict::Misdirected);
    a_full_target_that_names_no_request(503, &[("not-executed", "1")], ResponseVerdict::Mismatched);
    another_target_that_names_no_request(421, &[("instance-id", "i-9")], ResponseVerdict::Mismatched);
}

fn check_pause(status: u16, retry_after: &'static str, want: Option<Duration>) {
    let status = StatusCode::from_u16(status).expect("a status");
    let value = HeaderValue::from_static(retry_after);
    let map = HeaderMap::from_iter([(hyper::header::RETRY_AFTER, value)]);
    assert_eq!(PlatformCodec.requested_pause(status, &map), want);
}

cases! {
    check_pause:
    a_pause_with_fractions(503, "1.25", Some(Duration::from_millis(1250)));
    a_pause_that_no_clock_holds(503, "1e300", Some(Duration::MAX));
    no_pause_without_a_refusal(200, "2", None);
    no_pause_of_nothing(503, "0", None);
    no_pause_below_nothing(503, "-3", None);
    no_pause_that_is_no_number(503, "NaN", None);
    no_pause_without_an_end(503, "inf", None);
    no_pause_until_a_date(503, "Sat, 05 Dec 2026 08:00:00 GMT", None);
}

fn check_max_rejections(value: &'static str, want: Option<u32>) {
    let name = HeaderName::from_static("server-brittle");
    let map = HeaderMap::from_iter([(name, HeaderValue::from_static(value))]);
    assert_eq!(PlatformCodec.max_rejections(&map), want);
}

cases! {
    check_max_rejections:
    a_target_that_survives_some("12", Some(12));
    a_target_that_survives_none("0", Some(0));
    a_target_that_survives_a_fraction("2.9", Some(2));
    no_number_below_nothing("-1", None);
    no_number_at_all("many", None);
    no_number_without_an_end("inf", None);
}

fn check_leaving(value: &'static str, is_leaving: bool) {
    let name = HeaderName::from_static("server-leaving");
    let map = HeaderMap::from_iter([(name, HeaderValue::from_static(value))]);
    assert_eq!(PlatformCodec.is_leaving(&map), is_leaving);
}

cases! {
    check_leaving:
    a_target_that_leaves("1", true);
    a_target_that_does_not_leave("0", false);
    a_target_that_says_nothing_clear("yes", false);
}

#[test]
fn headers_of_a_caller_lose_what_only_the_gateway_says() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("authorization", "Bearer secret"),
        ("connection", "x-hop, model"),
        ("x-hop", "1"),
        ("model", "m"),
        ("kv-from", "10.0.0.1:1/2"),
        ("pin-duration", "4000"),
        ("request-priority", "0"),
        ("token-usage", "10,20"),
        ("transfer-encoding", "chunked"),
    ] {
        headers.insert(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    let kept = codec::filter_caller_headers(headers);
    let mut names: Vec<&str> = kept.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, ["model", "token-usage"]);
}

#[test]
fn parts_of_a_prompt_are_read_up_to_the_first_that_is_not_one() {
    let parts = codec::parse_prompt_parts("5c1e07a2:800, 91bd3f06:410,oops,e4:2");
    let parts: Vec<_> = parts.iter().map(|p| (p.id, p.tokens)).collect();
    assert_eq!(parts, [(0x5c1e_07a2, 800), (0x91bd_3f06, 410)]);
}
