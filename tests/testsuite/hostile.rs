//! Hostile input on the link between instances and on the operators' interface.

use std::net::SocketAddr;
use std::sync::Arc;

use chiverelay_decisions::event::Stamp;
use chiverelay_sibling::Envelope;
use chiverelay_sibling::Forward;
use chiverelay_sibling::Message;
use chiverelay_sibling::PREVIOUS_VERSION;
use chiverelay_sibling::VERSION;
use chiverelay_sibling::encode;
use quinn::crypto::rustls::QuicClientConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use serde_json::json;
use support::block_on;
use support::caller;
use support::cases;
use support::process;
use support::site::Site;
use support::site::TOKEN;
use support::site::document;
use support::site::eventually;

/// Which certificate a client shows.
#[derive(Clone, Copy, Debug)]
enum Shows {
    /// None.
    Nothing,
    /// One of another authority.
    Foreign,
    /// One of the authority, for instance cusco-9.
    Own,
    /// One of the authority that names no instance.
    Nameless,
}

fn certs(dir: &str, more: &[&str]) {
    let mut args = vec!["certs", "--dir", dir];
    args.extend(more);
    let output = process::output("chiverelay", &args);
    assert!(output.status.success(), "{output:?}");
}

/// Makes a certificate of the site's authority for a name of another form.
fn nameless(site: &Site) -> (String, String) {
    let read = |name: &str| std::fs::read_to_string(site.path(name)).expect("a file");
    let ca_key = rcgen::KeyPair::from_pem(&read("ca.key")).expect("a key");
    let issuer = rcgen::Issuer::from_ca_cert_pem(&read("ca.pem"), ca_key).expect("an authority");
    let key = rcgen::KeyPair::generate().expect("a key");
    let params = rcgen::CertificateParams::new(vec!["gateway.example".to_owned()]);
    let cert = params
        .expect("a name")
        .signed_by(&key, &issuer)
        .expect("a certificate");
    (cert.pem(), key.serialize_pem())
}

fn client_config(site: &Site, shows: Shows) -> quinn::ClientConfig {
    let read = |path: String| std::fs::read_to_string(path).expect("a file");
    let dir = tempfile::TempDir::new().expect("a folder");
    let foreign = dir.path().to_str().expect("a plain path");
    let name = ["--instance", "cusco-9", "--region", "cusco"];
    let shown = match shows {
        Shows::Nothing => None,
        Shows::Foreign => {
            certs(foreign, &[]);
            certs(foreign, &name);
            let file = |name: &str| read(format!("{foreign}/{name}"));
            Some((file("cusco-9.pem"), file("cusco-9.key")))
        }
        Shows::Own => {
            certs(&site.path(""), &name);
            Some((
                read(site.path("cusco-9.pem")),
                read(site.path("cusco-9.key")),
            ))
        }
        Shows::Nameless => Some(nameless(site)),
    };
    let mut roots = RootCertStore::empty();
    let ca = CertificateDer::from_pem_slice(read(site.path("ca.pem")).as_bytes());
    roots.add(ca.expect("a certificate")).expect("an authority");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("protocol versions")
        .with_root_certificates(roots);
    let mut cfg = match shown {
        None => builder.with_no_client_auth(),
        Some((cert, key)) => {
            let cert = CertificateDer::from_pem_slice(cert.as_bytes()).expect("a certificate");
            let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).expect("a key");
            builder
                .with_client_auth_cert(vec![cert], key)
                .expect("a certificate")
        }
    };
    cfg.alpn_protocols = vec![b"chiverelay/1".to_vec()];
    quinn::ClientConfig::new(Arc::new(
        QuicClientConfig::try_from(cfg).expect("a cipher suite"),
    ))
}

/// Sends messages, each on a stream of its own, and returns what came back.
async fn send(site: &Site, shows: Shows, messages: &[Vec<u8>]) -> Vec<Vec<u8>> {
    let local: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let mut endpoint = quinn::Endpoint::client(local).expect("an endpoint");
    endpoint.set_default_client_config(client_config(site, shows));
    let address = site.daemon("lima-1").sibling;
    let connecting = endpoint.connect(address, "lima-1.lima.chiverelay");
    let Ok(conn) = connecting.expect("an address").await else {
        return Vec::new();
    };
    let mut replies = Vec::new();
    for message in messages {
        let Ok((mut tx, mut rx)) = conn.open_bi().await else {
            return replies;
        };
        // The other end may close at any time.
        let _ = tx.write_all(message).await;
        let _ = tx.finish();
        replies.push(rx.read_to_end(1 << 20).await.unwrap_or_default());
    }
    // A refusal of the certificate arrives after the handshake.
    if matches!(shows, Shows::Own) {
        conn.close(0_u32.into(), b"");
    } else {
        conn.closed().await;
    }
    replies
}

fn framed(data: &[u8]) -> Vec<u8> {
    let mut buf = (data.len() as u32).to_be_bytes().to_vec();
    buf.extend(data);
    buf
}

fn envelope(version: u16, message: Message) -> Vec<u8> {
    let envelope = Envelope {
        version,
        stamp: Stamp::default(),
        message,
    };
    framed(&encode(&envelope).expect("a message"))
}

fn forward() -> Message {
    Message::Forward(Forward {
        id: "one-of-a-kind".into(),
        account: Some("encargos".into()),
        route: "deposits".into(),
        pool: "model".into(),
        config_version: 1,
        remaining_ms: 10_000,
        is_resumed: false,
        prompt_tokens: 1,
        max_answer_tokens: None,
        prefix: Vec::new(),
        parts: Vec::new(),
        attempts: 1,
        last_event_id: None,
        software: None,
        method: "POST".to_owned(),
        path_and_query: "/deposits".to_owned(),
        headers: Vec::new(),
        body: b"lantern".to_vec(),
    })
}

/// Sends messages and waits until the instance has counted the refusal; it
/// must still serve afterwards, and the deposit has run as often as wanted.
fn check_sibling(shows: Shows, messages: fn() -> Vec<Vec<u8>>, reason: &str, runs: u64) {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let (service, address) = site.service().await;
        site.apply("lima-1", document(&[], &[("orders-1", address, "lima")]))
            .await;
        let granted = site.grant("lima-1", "encargos").await;
        send(&site, shows, &messages()).await;
        let name = format!("sibling.refused reason={reason}");
        let client = site.daemon("lima-1").client();
        eventually("the refusal is counted", async || {
            let status = client.status().await.expect("a status");
            status.counters.get(&name) == Some(&1)
        })
        .await;
        assert_eq!(service.runs().get("lantern").copied().unwrap_or(0), runs);
        let address = site.daemon("lima-1").caller;
        let answer = caller::post(address, "/orders", &granted.key, &json!({})).await;
        assert!(answer.expect("an answer").status.is_success());
    });
}

cases! {
    check_sibling:
    no_certificate(Shows::Nothing, || vec![envelope(VERSION, forward())], "handshake", 0);
    another_authority(Shows::Foreign, || vec![envelope(VERSION, forward())], "handshake", 0);
    no_instance_name(Shows::Nameless, || vec![envelope(VERSION, forward())], "no_name", 0);
    garbage(Shows::Own, || vec![framed(&[0xff; 40])], "malformed", 0);
    garbage_of_this_version(Shows::Own, || vec![framed(&[VERSION as u8, 0, 0, 0xee])], "malformed", 0);
    trailing_bytes(
        Shows::Own,
        || {
            let mut message = envelope(VERSION, forward())[4..].to_vec();
            message.push(0);
            vec![framed(&message)]
        },
        "malformed",
        0
    );
    empty_message(Shows::Own, || vec![framed(&[])], "malformed", 0);
    oversized(Shows::Own, || vec![vec![0xff; 64]], "oversized", 0);
    old_version(Shows::Own, || vec![envelope(PREVIOUS_VERSION - 1, forward())], "version", 0);
    newer_version(Shows::Own, || vec![envelope(VERSION + 1, forward())], "version", 0);
    replayed(
        Shows::Own,
        || vec![envelope(VERSION, forward()), envelope(VERSION, forward())],
        "replayed",
        1
    );
}

#[test]
fn a_sibling_of_the_authority_is_answered() {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let beat = Message::Withdrawn(Vec::new());
        let replies = send(&site, Shows::Own, &[envelope(VERSION, beat)]).await;
        let reply: Envelope = chiverelay_sibling::decode(&replies[0][4..]).expect("an answer");
        assert_eq!(reply.message, Message::Withdrawn(Vec::new()));
    });
}

/// Sends bytes to the operators' interface and expects a status.
fn check_operator(write: fn(&str) -> String, status: u16, reason: &str) {
    block_on(async {
        let site = Site::start(&[("lima-1", "lima")]).await;
        let request = write(TOKEN).replace('\n', "\r\n");
        let operator = site.daemon("lima-1").operator;
        let answer = caller::raw(operator, request.as_bytes()).await;
        let answer = answer.expect("the connection ends");
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{answer}"
        );
        let client = site.daemon("lima-1").client();
        let counters = client.status().await.expect("a status").counters;
        let name = format!("operator.refused reason={reason}");
        let want = u64::from(!reason.is_empty());
        assert_eq!(
            counters.get(&name).copied().unwrap_or(0),
            want,
            "{counters:?}"
        );
        assert_eq!(client.config().await.expect("a configuration").version, 0);
    });
}

fn call(line: &str, token: &str, body: &str) -> String {
    format!(
        "{line} HTTP/1.1\nhost: gateway\nauthorization: Bearer {token}\nconnection: close\n\
         content-length: {}\n\n{body}",
        body.len()
    )
}

cases! {
    check_operator:
    without_a_token(
        |_| "GET /v1/keys HTTP/1.1\nhost: gateway\nconnection: close\n\n".to_owned(),
        401,
        "unauthenticated"
    );
    a_wrong_token(|_| call("GET /v1/keys", "wrong", ""), 401, "unauthenticated");
    a_digest_in_place_of_the_token(
        |t| call("GET /v1/keys", &chiverelay_decisions::config::hex(t.as_bytes()), ""),
        401,
        "unauthenticated"
    );
    a_drain_without_a_token(|_| call("POST /v1/drain", "", ""), 401, "unauthenticated");
    a_body_that_is_not_json(|t| call("PUT /v1/config", t, "hello"), 400, "malformed");
    a_body_with_unknown_keys(
        |t| call("PUT /v1/config", t, "{\"expected\":0,\"document\":{},\"force\":true}"),
        400,
        "malformed"
    );
    a_deeply_nested_body(|t| call("PUT /v1/config", t, &"[".repeat(100_000)), 400, "malformed");
    a_faulty_document(
        |t| call(
            "PUT /v1/config",
            t,
            "{\"expected\":0,\"document\":{\"accounts\":{\"a b\":{\"rate\":0,\"burst\":0}}}}"
        ),
        422,
        ""
    );
    an_unknown_call(|t| call("GET /v1/secrets", t, ""), 404, "");
    a_key_that_is_no_key(|t| call("DELETE /v1/keys/a%20b", t, ""), 404, "");
    not_http(|_| "hello\n\n".to_owned(), 400, "");
}
