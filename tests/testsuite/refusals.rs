//! What refusals say: what was wrong, where, and what the caller can do. The
//! guide lists each message.

use support::block_on;
use support::caller;
use support::cases;
use support::site::Site;
use support::site::document;

/// The guide's page of refusals.
const PAGE: &str = include_str!("../../guide/src/refusals.md");

/// Sends what `write` makes of a key and expects a message.
fn check_message(write: fn(&str) -> String, code: &str, message: &str) {
    block_on(async {
        let mut site = Site::empty().await;
        let settings = serde_json::json!({"caller": {
            "listen": "127.0.0.1:0", "max-body": 1000,
            "header-timeout-ms": 500, "body-timeout-ms": 500,
        }});
        site.start_daemon("lima-1", "lima", &settings);
        let (_, service) = site.service().await;
        site.apply("lima-1", document(&[], &[("orders-1", service, "lima")]))
            .await;
        let granted = site.grant("lima-1", "encargos").await;
        let request = write(&granted.key).replace('\n', "\r\n");
        let address = site.daemon("lima-1").caller;
        let answer = caller::raw(address, request.as_bytes())
            .await
            .expect("the connection ends");
        let (_, body) = answer.split_once("\r\n\r\n").expect("a head");
        let document: serde_json::Value = serde_json::from_str(body).expect("a document");
        let error = &document["error"];
        assert_eq!(error["code"], code, "{body}");
        let said = error["message"].as_str().unwrap_or_default();
        assert!(said.starts_with(message), "{said}");
        assert!(!said.contains(&granted.key), "{said}");
        let end = match error["outcome"].as_str() {
            Some("not_run") => ". The request did not run.",
            _ => ". The request may have run.",
        };
        assert!(said.ends_with(end), "{said}");
    });
}

fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\nhost: gateway\nconnection: close\n{headers}\
         content-length: {length}\n\n{body}"
    )
}

fn with_key(key: &str, path: &str, headers: &str, body: &str) -> String {
    post(
        path,
        &format!("authorization: Bearer {key}\n{headers}"),
        body,
    )
}

/// Path of a chat.
const CHAT: &str = "/v1/chat/completions";

cases! {
    check_message:
    not_json(
        |k| with_key(k, CHAT, "", "{\"model\": \"m\",\n nonsense}"),
        "malformed",
        "the body is not the JSON asked for, at line 2, column 2"
    );
    no_model(
        |k| with_key(k, CHAT, "", "{\"messages\": []}"),
        "malformed",
        "the body lacks the field `model`"
    );
    key_in_a_header(
        |k| with_key(k, "/orders", &format!("x-note: {k}\n"), "{}"),
        "malformed",
        "the header `x-note` holds a key"
    );
    key_in_the_query(
        |k| with_key(k, &format!("/orders?a={k}"), "", "{}"),
        "malformed",
        "the query holds a key"
    );
    key_in_the_path(
        |k| with_key(k, &format!("/orders/{k}"), "", "{}"),
        "malformed",
        "the path holds a key"
    );
    key_in_the_body(
        |k| with_key(k, "/orders", "", &format!("{{\"note\": \"{k}\"}}")),
        "malformed",
        "the body holds a key"
    );
    two_keys(
        |k| with_key(k, "/orders", "x-api-key: other\n", "{}"),
        "unauthenticated",
        "more than one key is shown"
    );
    no_key(|_| post("/orders", "", "{}"), "unauthenticated", "no key in force is shown");
    too_large(
        |k| with_key(k, "/orders", "", &"y".repeat(2000)),
        "too_large",
        "the body has more than 1000 bytes"
    );
    slow_head(|_| "GET /orde".to_owned(), "receive_timeout", "the head did not arrive whole");
    slow_body(
        |k| with_key(k, "/orders", "", "{}").replace("length: 2", "length: 9"),
        "receive_timeout",
        "the body did not arrive whole"
    );
    length_and_chunks(
        |k| with_key(k, "/orders", "transfer-encoding: chunked\n", "0\n\n"),
        "malformed",
        "the head states both Content-Length and Transfer-Encoding"
    );
    unknown_path(|k| with_key(k, "/nowhere", "", "{}"), "no_route", "no route takes this path");
    two_operations(
        |k| with_key(k, "/deposits", "idempotency-key: a\nidempotency-key: b\n", "{}"),
        "malformed",
        "the request names more than one operation"
    );
    not_a_ticket(
        |k| with_key(k, "/deposits", "x-operation-ticket: abc\n", "{}"),
        "malformed",
        "`X-Operation-Ticket` does not hold a ticket"
    );
    empty_idempotency_key(
        |k| with_key(k, "/deposits", "idempotency-key:\n", "{}"),
        "malformed",
        "`Idempotency-Key` must be text of 1 to"
    );
}

/// Returns the quoted texts of the module that words the messages.
fn messages() -> Vec<String> {
    let source = include_str!("../../crates/caller/src/explain.rs");
    let joined = source.replace("\\\n             ", "");
    let quoted = joined.split('"').skip(1).step_by(2);
    let quoted = quoted.filter(|text| !text.starts_with("{what}"));
    quoted.map(str::to_owned).collect()
}

#[test]
fn the_guide_lists_each_message() {
    let page = PAGE.split_whitespace().collect::<Vec<_>>().join(" ");
    let messages = messages();
    assert!(messages.len() > 25, "{messages:?}");
    let missing: Vec<_> = messages.iter().filter(|m| !page.contains(*m)).collect();
    assert!(missing.is_empty(), "not on the page: {missing:#?}");
}
