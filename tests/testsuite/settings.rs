//! Settings and the operators' document: checked whole, every fault at its place.

use std::path::Path;

use chiverelay_operator::document;
use support::block_on;
use support::cases;
use support::process;
use support::site::Site;

/// Checks that a document has exactly these faults.
fn check_document(text: &str, want: &[&str]) {
    let faults = match document::parse(text) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    };
    assert_eq!(faults, want);
}

const WHOLE: &str = r#"{
    // Routes say who may ask for what.
    "routes": {"chat": {"path": "/v1/chat/completions", "pool": "engines", "accounts": ["encargos"]}},
    "pools": {"engines": {"kind": "engine", "targets": {
        "e1": {"address": "10.0.0.1:8000", "region": "lima", "zone": "lima-a"},
    }}},
    "accounts": {"encargos": {"rate": 10, "burst": 100}},
}"#;

cases! {
    check_document:
    whole(WHOLE, &[]);
    empty_tables("{}", &[]);
    empty_file("", &["1:1: the file is empty"]);
    broken_off("{\"routes\": {", &["1:12: Unterminated object"]);
    missing_comma(
        "{\"routes\": {} \"pools\": {}}",
        &["1:14: Expected comma"]
    );
    not_an_object("[]", &["1:1: an object is expected, not a list"]);
    unknown_keys(
        "{\n  \"route\": {},\n  \"pool\": {}\n}",
        &["2:3: unknown key route", "3:3: unknown key pool"]
    );
    key_twice(
        "{\"routes\": {},\n\"routes\": {}}",
        &["2:1: the key routes stands twice"]
    );
    name_twice(
        "{\"accounts\": {\"a\": {\"rate\": 1, \"burst\": 1},\n\"a\": {\"rate\": 1, \"burst\": 1}}}",
        &["2:1: accounts: the key a stands twice"]
    );
    all_faults_at_once(
        r#"{
    "routes": {
        "chat": {"path": "v1", "pool": "nowhere", "accounts": ["ghost"], "modle": "x"},
        "talk": {"path": "v2", "pool": "nowhere", "accounts": ["ghost"]},
    },
    "pools": {"engines": {"kind": "motor", "targets": {
        "e1": {"address": "localhost:80", "region": "Lima", "zone": "lima-a"},
    }}},
    "accounts": {"encargos": {"rate": 0, "burst": -1}, "caja": {"rate": 0, "burst": 1}},
}"#,
        &[
            "3:26: routes.chat.path: a path starts with /",
            "3:40: routes.chat.pool: no pool nowhere",
            "3:63: routes.chat.accounts: no account ghost",
            "3:74: routes.chat: unknown key modle",
            "4:26: routes.talk.path: a path starts with /",
            "4:40: routes.talk.pool: no pool nowhere",
            "4:63: routes.talk.accounts: no account ghost",
            "6:35: pools.engines.kind: \"motor\" is neither \"engine\" nor \"service\"",
            "7:27: pools.engines.targets.e1.address: \"localhost:80\" is not an IP address and port",
            "7:53: pools.engines.targets.e1.region: a name in certificates has small letters, \
             digits and inner hyphens only",
            "9:51: accounts.encargos.burst: a whole number up to 18446744073709551615 is expected",
            "9:73: accounts.caja.rate: a rate is at least 1",
        ]
    );
    column_in_characters(
        "{\"ñandú\": 1, \"b\": 2}",
        &["1:2: unknown key ñandú", "1:14: unknown key b"]
    );
    faulty_pool_is_still_defined(
        r#"{"routes": {"chat": {"path": "/", "pool": "p"}},
"pools": {"p": {"kind": "engine"}}}"#,
        &["2:16: pools.p: the key targets is missing"]
    );
    residency_without_target(
        r#"{"routes": {"chat": {"path": "/", "pool": "p", "open": true, "residency": ["cusco"]}},
"pools": {"p": {"kind": "engine", "targets": {
"e1": {"address": "10.0.0.1:8000", "region": "lima", "zone": "lima-a"}}}}}"#,
        &["1:75: routes.chat.residency: pool p has no target in these regions"]
    );
    account_residency_without_target(
        r#"{"routes": {"chat": {"path": "/", "pool": "p", "accounts": ["a"]}},
"pools": {"p": {"kind": "engine", "targets": {
"e1": {"address": "10.0.0.1:8000", "region": "lima", "zone": "lima-a"}}}},
"accounts": {"a": {"rate": 1, "burst": 1, "residency": ["cusco"]}}}"#,
        &["1:60: routes.chat.accounts: pool p has no target where account a may run"]
    );
    routes_that_match_alike(
        r#"{"routes": {"a": {"path": "/x", "pool": "p", "open": true},
"b": {"path": "/x", "pool": "p", "open": true}}, "pools": {"p": {"kind": "engine", "targets": {}}}}"#,
        &["2:15: routes.b.path: route a has the same path and model"]
    );
    name_with_spaces(
        "{\"accounts\": {\"a b\": {\"rate\": 1, \"burst\": 1}}}",
        &["1:15: accounts: a name has letters, digits and -_.:/@ only"]
    );
    pools_out_of_bounds(
        r#"{"pools": {"p": {"kind": "engine", "targets": {},
"panic-percent": 101,
"ramp-ms": 3600001,
"slots": 0}}}"#,
        &[
            "2:18: pools.p.panic-percent: a share is at most 100 percent",
            "3:12: pools.p.ramp-ms: a ramp is at most 3600000 ms",
            "4:10: pools.p.slots: slots are at least 1",
        ]
    );
    open_route_with_accounts(
        r#"{"routes": {"a": {"path": "/x", "pool": "p", "open": true, "accounts": ["c"]}},
"pools": {"p": {"kind": "engine", "targets": {}}}, "accounts": {"c": {"rate": 1, "burst": 1}}}"#,
        &["1:72: routes.a.accounts: an open route lists no accounts"]
    );
}

/// Checks the settings that `write` makes of good ones with `chiverelayd check`.
fn check_settings(write: fn(&mut serde_json::Value), want: &[&str]) {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let mut settings = site.settings("lima-1", "lima");
        write(&mut settings);
        let path = site.path("checked.jsonc");
        let text = serde_json::to_string_pretty(&settings).expect("settings");
        std::fs::write(&path, text).expect("settings can be written");
        let output = process::output("chiverelayd", &["check", &path]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        let dir = site.path("");
        let dir = Path::new(&dir).display().to_string();
        let lines: Vec<String> = stderr.lines().map(|l| l.replace(&dir, "")).collect();
        assert_eq!(lines, want);
        assert_eq!(
            output.status.code(),
            Some(if want.is_empty() { 0 } else { 2 })
        );
    });
}

cases! {
    check_settings:
    good_settings(|_| {}, &[]);
    several_faults(
        |s| {
            s["workers"] = 0.into();
            s["threads"] = "four".into();
            s["operator"]["token-digest"] = "short".into();
            s["caller"]["lisen"] = 1.into();
            s["store"] = serde_json::json!({});
        },
        &[
            "checked.jsonc:3:5: caller: unknown key lisen",
            "checked.jsonc:9:21: operator.token-digest: a SHA-256 in 64 small hexadecimal digits \
             is expected",
            "checked.jsonc:19:12: store: the key address is missing",
            "checked.jsonc:20:14: threads: a whole number up to 18446744073709551615 is expected",
            "checked.jsonc:21:14: workers: the value is at least 1",
        ]
    );
    a_network_of_its_own(
        |s| s["network"] = serde_json::json!({
            "zone-round-trip-ms": 3,
            "link": {"mbits": 2000, "share-percent": 20, "round-trip-ms": 110},
            "links": {"cusco": {"mbits": 140}},
        }),
        &[]
    );
    faults_of_the_network(
        |s| s["network"] = serde_json::json!({
            "link": {"mbits": 0, "share-percent": 101},
            "links": {"cusco": {"round-trip-ms": 10001, "mbit": 1}, "Cusco Sur": {}},
            "zone-round-trip-ms": -1,
        }),
        &[
            "checked.jsonc:8:16: network.link.mbits: the value is at least 1",
            "checked.jsonc:9:24: network.link.share-percent: a share is 1 to 100 percent",
            "checked.jsonc:12:7: network.links: a name in certificates has small letters, digits and \
             inner hyphens only",
            "checked.jsonc:14:9: network.links.cusco: unknown key mbit",
            "checked.jsonc:15:26: network.links.cusco.round-trip-ms: a round trip is at most 10000 ms",
            "checked.jsonc:18:27: network.zone-round-trip-ms: a whole number up to \
             18446744073709551615 is expected",
        ]
    );
    missing_files(
        |s| {
            s["sibling"]["ca"] = "/nonexistent/ca".into();
            s["sibling"]["key"] = "/nonexistent/key".into();
        },
        &[
            "checked.jsonc:13:11: sibling.ca: /nonexistent/ca: No such file or directory (os error 2)",
            "checked.jsonc:15:12: sibling.key: /nonexistent/key: No such file or directory (os error 2)",
        ]
    );
    another_name_than_the_certificate(
        |s| s["instance"] = "cusco-9".into(),
        &["configure: lima-1.pem: the certificate names lima-1 in lima, the settings cusco-9 in lima"]
    );
    a_name_unfit_for_certificates(
        |s| s["region"] = "Lima Norte".into(),
        &["checked.jsonc:10:13: region: a name in certificates has small letters, digits and inner \
           hyphens only"]
    );
}

/// The example configurations of the operators' page have no faults.
fn check_example(name: &str) {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/configurations");
    if let Err(e) = document::read(&dir.join(name)) {
        panic!("{e}");
    }
}

cases! {
    check_example:
    example_of_hojalateria("hojalateria.jsonc");
    example_of_pochoirs("pochoirs.jsonc");
}
