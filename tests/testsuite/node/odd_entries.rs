//! Odd entries that another writer left in the store, at the decoders and at
//! a running instance.

use std::collections::HashMap;

use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Zone;
use chiverelay_platform::catalog;
use chiverelay_platform::records;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use support::block_on;
use support::cases;
use support::node::PlatformTarget;
use support::node::Site;
use support::node::call;
use support::node::call::Call;
use support::node::site::KEY;
use support::node::site::configuration;
use support::node::site::until;

/// Levels of nesting beyond what any decoder of the project reads.
const DEEP: usize = 100_000;

fn nested(open: &str, close: &str) -> String {
    format!("{}{}", open.repeat(DEEP), close.repeat(DEEP))
}

/// A target's record whose field has this JSON text as its value.
fn record_with(field: &str, value: &str) -> String {
    let fields = [
        ("service", "\"orders\""),
        ("address", "\"10.128.0.9:8080\""),
        ("zone", "\"north-a\""),
        ("slots", "6"),
        ("state", "\"ready\""),
        ("warmup_left_ms", "0"),
        ("born", "1700000000000"),
        ("sequence", "4"),
    ];
    let kept = fields.iter().filter(|(name, _)| *name != field);
    let kept: Vec<String> = kept.map(|(name, v)| format!("\"{name}\":{v}")).collect();
    format!("{{\"{field}\":{value},{}}}", kept.join(","))
}

/// Guards against a record whose decoding panics, which ended the task that
/// follows the targets.
fn check_odd_record(field: &str, value: &str) {
    let zones = HashMap::from([(Zone::from("north-a"), Region::from("north"))]);
    let decoded = records::decode_target(record_with(field, value).as_bytes(), &zones);
    assert!(decoded.is_err(), "{decoded:?}");
}

cases! {
    check_odd_record:
    a_warmup_too_large("warmup_left_ms", "1e300");
    a_warmup_beyond_every_number("warmup_left_ms", "1e999");
    a_warmup_of_more_seconds_than_a_duration_holds("warmup_left_ms", "2e22");
    a_warmup_that_ends_after_every_clock("warmup_left_ms", "1.844674407370955e22");
    a_warmup_nested_deeply("warmup_left_ms", &nested("[", "]"));
    a_port_out_of_range("address", "\"10.128.0.9:65536\"");
    a_port_with_many_digits("address", "\"10.128.0.9:99999999999999999999\"");
    a_port_of_zero("address", "\"10.128.0.9:0\"");
    an_address_of_no_machine("address", "\"0.0.0.0:8080\"");
    an_address_of_many_machines("address", "\"224.0.0.1:8080\"");
    an_address_with_a_negative_port("address", "\"10.128.0.9:-1\"");
    more_slots_than_a_number_holds("slots", "4294967296");
    negative_slots("slots", "-1");
    slots_with_a_fraction("slots", "6.5");
    a_start_too_large("born", "18446744073709551616");
    a_sequence_too_large("sequence", "1e300");
    a_zone_nested_deeply("zone", &nested("{\"a\":", "}").replace(":}", ":1}"));
    a_state_of_null("state", "null");
}

/// Guards against a record that is lost for a field that nothing reads.
#[test]
fn a_field_of_tomorrow_may_nest_deeply() {
    let zones = HashMap::from([(Zone::from("north-a"), Region::from("north"))]);
    let record = record_with("tomorrow", &nested("[", "]"));
    let decoded = records::decode_target(record.as_bytes(), &zones);
    assert!(decoded.is_ok(), "{decoded:?}");
}

/// Guards against a configuration whose decoding panics, which ended the task
/// that follows the operator's keys.
fn check_odd_configuration(pointer: &str, value: Value) {
    let mut document = configuration(7);
    *document.pointer_mut(pointer).expect("a field") = value;
    let decoded = catalog::decode(document.to_string().as_bytes());
    assert!(decoded.is_ok(), "{decoded:?}");
}

cases! {
    check_odd_configuration:
    a_timeout_too_large("/routes/0/timeout_ms", json!(1e300));
    a_latency_target_too_large("/routes/0/target_latency_ms", json!(1e300));
    an_event_gap_too_large("/routes/0/gap_aim_ms", json!(1e300));
    a_pool_that_warms_up_for_ever("/services/1/warmup_s", json!(1e300));
    a_cold_limit_too_large("/services/1/cold_per_s", json!(1e300));
    a_rate_too_large("/tenants/0/rate_per_s", json!(1e300));
    an_idle_timeout_too_large("/limits/idle_timeout_ms", json!(u64::MAX));
}

/// Guards against an odd entry after which an instance no longer hears of
/// targets: the entry is there at the start, or comes while it is followed.
fn check_odd_entry(key: &str, value: &[u8], is_listed: bool) {
    block_on(async {
        let site = Site::start().await;
        let put_odd = || site.store.put_bytes(key, value);
        if is_listed {
            put_odd();
        }
        let first = PlatformTarget::start("i-1").await;
        site.register(&first, "orders", "north-a");
        let node = site.instance("one", "north-a", "north").await;
        if !is_listed {
            put_odd();
        }
        let call = Call::new("r-1", "/status/1").key(KEY);
        assert_eq!(call.send(node.front).await.status, StatusCode::OK);
        let later = PlatformTarget::start("i-2").await;
        site.register(&later, "orders", "north-a");
        site.store.remove("servers/i-1");
        until("the later target serves", async || {
            call.send(node.front).await.body == "answer of i-2"
        })
        .await;
        assert!(!node.logged().contains("\"level\":\"ERROR\""));
    });
}

cases! {
    check_odd_entry:
    a_listed_entry_with_a_number_too_large("servers/i-0", record_with("warmup_left_ms", "1e300").as_bytes(), true);
    a_written_entry_with_a_number_too_large("servers/i-0", record_with("warmup_left_ms", "1e300").as_bytes(), false);
    a_listed_entry_nested_deeply("servers/i-0", nested("[", "]").as_bytes(), true);
    a_written_entry_nested_deeply("servers/i-0", nested("{\"a\":", "}").as_bytes(), false);
    a_listed_entry_with_a_port_out_of_range("servers/i-0", record_with("address", "\"10.0.0.1:70000\"").as_bytes(), true);
    a_listed_entry_of_other_bytes("servers/i-0", b"\xff\xfe\x00", true);
    a_listed_entry_of_nothing("servers/i-0", b"", true);
}

/// Guards against a listing that ends at a key that is not quoted in the query
/// for the next page.
fn check_odd_key(key: &str) {
    block_on(async {
        let site = Site::start().await;
        // Four entries are a page, so the next one begins after the odd key.
        for name in ["servers/0", "servers/1", "servers/2", key] {
            site.store.put_bytes(name, b"{}");
        }
        let target = PlatformTarget::start("z").await;
        site.register(&target, "orders", "north-a");
        let node = site.instance("one", "north-a", "north").await;
        let call = Call::new("r-1", "/status/1").key(KEY);
        assert_eq!(call.send(node.front).await.status, StatusCode::OK);
    });
}

cases! {
    check_odd_key:
    a_key_with_signs_of_a_query("servers/a&after=b#c?d+e");
    a_key_with_a_percent_sign("servers/a%zz%");
    a_key_with_a_space("servers/an odd key");
    a_key_in_another_script("servers/c\u{e9}\u{4e2d}");
}

/// Guards against a page that is lost as a whole for one item that can't be
/// read, and against a target that is taken away by such an item.
fn check_odd_item(item: Value) {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-1").await;
        site.register(&target, "orders", "north-a");
        site.store.add_odd_item(item);
        let node = site.instance("one", "north-a", "north").await;
        let call = Call::new("r-1", "/status/1").key(KEY);
        assert_eq!(call.send(node.front).await.body, "answer of i-1");
        let later = PlatformTarget::start("i-2").await;
        site.register(&later, "orders", "north-a");
        site.store.remove("servers/i-1");
        until("the later target serves", async || {
            call.send(node.front).await.body == "answer of i-2"
        })
        .await;
    });
}

cases! {
    check_odd_item:
    an_item_in_another_encoding(json!({"key": "servers/i-0", "value": "*", "revision": 1}));
    an_item_without_a_value(json!({"key": "servers/i-0", "revision": 1}));
    an_item_whose_value_is_a_list(json!({"key": "servers/i-0", "value": [], "revision": 1}));
    an_item_whose_revision_is_text(json!({"key": "servers/i-0", "value": "", "revision": "one"}));
    an_item_with_a_revision_too_large(json!({"key": "servers/i-0", "value": "", "revision": 1e300}));
    an_item_without_a_key(json!({"value": "", "revision": 1}));
    an_item_of_null(json!(null));
}

/// Guards against a target that is lost as another writer wrote over its
/// record.
#[test]
fn an_unreadable_record_takes_no_target_away() {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-1").await;
        site.register(&target, "orders", "north-a");
        let node = site.instance("one", "north-a", "north").await;
        site.store.put_bytes("servers/i-1", b"\xff");
        until("the entry was read", async || {
            node.logged().contains("invalid target record ignored")
        })
        .await;
        let listings = site.store.calls("/v1/kv-range");
        until("all is listed again", async || {
            // A watch that pauses after a change isn't cut.
            site.store.forget();
            site.store.calls("/v1/kv-range") >= listings + 3
        })
        .await;
        let call = Call::new("r-1", "/status/1").key(KEY);
        assert_eq!(call.send(node.front).await.body, "answer of i-1");
    });
}

/// Guards against a request that ends without an answer, as a number in its
/// head overflows a sum.
fn check_odd_header(path: &str, name: &str, value: &str) {
    block_on(async {
        let site = Site::start().await;
        let target = PlatformTarget::start("i-1").await;
        for service in ["orders", "model"] {
            site.register_at(&format!("i-{service}"), target.address, service, "north-a");
        }
        let node = site.instance("one", "north-a", "north").await;
        let call = Call::new("r-1", path).key(KEY).header(name, value);
        let got = call.exchange(node.front).await;
        assert!(got.is_ok(), "{got:?}");
    });
}

cases! {
    check_odd_header:
    a_deadline_too_large("/status/1", "request-deadline", "18446744073709551615");
    token_counts_too_large("/status/1", "token-usage", "18446744073709551615,18446744073709551615");
    a_prompt_too_large("/quote/1", "token-usage", "18446744073709551615,1");
    prompt_parts_too_large("/quote/1", "prompt-prefix", "a:4294967295,b:4294967295,c:4294967295");
    a_last_event_too_late("/quote/1", "last-event-id", "18446744073709551615");
}

/// Guards against an entry that takes the place of another instance's record,
/// so that callers are sent to an address of the entry.
#[test]
fn a_record_under_another_name_replaces_no_instance() {
    block_on(async {
        let site = Site::start().await;
        let one = site.instance("one", "north-a", "north").await;
        let two = site.instance("two", "north-a", "north").await;
        let asked = "/v1/resolve?name=desk.example&region=north&zone=north-a";
        let named = async || {
            let got = call::get(one.directory, asked).await.expect("an answer");
            got.body
        };
        until("both are named", async || {
            named().await.contains(&two.front.to_string())
        })
        .await;
        let odd = json!({
            "instance": "two", "zone": "north-a", "region": "north", "callers": "127.0.0.9:1",
            "siblings": "127.0.0.9:2", "certificate": "", "incarnation": 1, "state": "ready",
        });
        site.store.put("chiverelay/instances/odd", &odd);
        until("the entry was read", async || {
            let logged = one.logged();
            logged.contains("under another name") || logged.contains("\"incarnation\":1,")
        })
        .await;
        assert!(named().await.contains(&two.front.to_string()));
    });
}
