//! Secrets, of which nothing may be logged or stand in the time line.

use std::time::Duration;

use chiverelay_decisions::tickets::Issuer;
use chiverelay_operator::Client;
use serde_json::json;
use support::block_on;
use support::caller;
use support::site::Site;
use support::site::TOKEN;
use support::site::document;
use support::site::eventually;

/// A secret that no key has, and an operators' token that no instance takes.
const WRONG: &str = "gibtesnichtgibtesnichtgibtesnicht";

/// Returns the lines of the private keys in a file.
fn key_lines(site: &Site, file: &str) -> Vec<String> {
    let text = std::fs::read_to_string(site.path(file)).expect("a private key");
    let lines = text.lines().filter(|line| !line.starts_with("-----"));
    lines.map(str::to_owned).collect()
}

/// Uses and misuses a key, then withdraws it and uses it again.
async fn run(site: &Site) -> Vec<String> {
    let granted = site.grant("lima-1", "encargos").await;
    let (id, secret) = granted.key.split_once('.').expect("a key of two parts");
    let wrong = format!("{id}.{WRONG}");
    let address = site.daemon("lima-1").caller;
    let chat = json!({"model": "m", "max_tokens": 2, "messages": []});
    let in_body = json!({"messages": [{"role": "user", "content": granted.key.as_str()}]});
    let path = format!("/orders?key={}", granted.key);
    let sends = [
        ("/orders", granted.key.as_str(), &json!({}), 200),
        ("/v1/chat/completions", granted.key.as_str(), &chat, 200),
        ("/v1/chat/completions", granted.key.as_str(), &in_body, 400),
        ("/orders", wrong.as_str(), &json!({}), 401),
        (path.as_str(), granted.key.as_str(), &json!({}), 400),
    ];
    for (path, key, body, status) in sends {
        let answer = caller::post(address, path, key, body)
            .await
            .expect("an answer");
        assert_eq!(answer.status.as_u16(), status, "{}", answer.text());
    }
    let daemon = site.daemon("cusco-1");
    let intruder = Client::new(
        daemon.operator,
        Duration::from_secs(10),
        Some(WRONG.to_owned()),
    );
    assert!(intruder.status().await.is_err());
    let client = daemon.client();
    client.withdraw(&granted.id).await.expect("a withdrawal");
    eventually("the key is refused", async || {
        let answer = caller::post(address, "/orders", &granted.key, &json!({})).await;
        answer.expect("an answer").status == 401
    })
    .await;
    vec![secret.to_owned(), WRONG.to_owned(), TOKEN.to_owned()]
}

#[test]
fn none_is_logged_or_told() {
    block_on(async {
        let daemons = ["lima-1", "cusco-1"];
        let site = Site::start_logged(&[("lima-1", "lima"), ("cusco-1", "cusco")]).await;
        let (_, engine) = site.engine("engine-1", Duration::ZERO).await;
        let (_, service) = site.service().await;
        // The engine is in the other region, so that a request is passed on.
        let document = document(
            &[("engine-1", engine, "cusco")],
            &[("orders-1", service, "lima")],
        );
        site.apply("lima-1", document).await;
        let mut secrets = run(&site).await;
        for name in daemons {
            secrets.extend(key_lines(&site, &format!("{name}.key")));
        }
        for name in daemons {
            let client = site.daemon(name).client();
            let events = client.events().await.expect("the time line").events;
            let events = serde_json::to_string(&events).expect("events in JSON");
            let log = site.log(name);
            assert!(
                log.contains(" DEBUG ") && events.contains("withdrawn"),
                "{log}"
            );
            for secret in &secrets {
                assert!(!log.contains(secret.as_str()), "{name} logs {secret}");
                assert!(!events.contains(secret.as_str()), "{name} tells {secret}");
            }
        }
    });
}

/// The key that signs tickets is in no text that a log could be made of.
#[test]
fn an_issuer_hides_its_key() {
    let issuer = Issuer::new("lima-1".into(), 7, [173; 32]);
    let text = format!("{issuer:?}");
    assert!(!text.contains("173") && !text.contains("ad, ad"), "{text}");
}
