//! Seeded input for every decoder: no panic, and a clear error or a value.

use bytes::Bytes;
use chiverelay_decisions::Config;
use chiverelay_decisions::answer::AnswerChecker;
use chiverelay_decisions::answer::AnswerError;
use chiverelay_decisions::answer::Framing;
use chiverelay_decisions::config::split_key;
use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::keys::KeyDetector;
use chiverelay_decisions::keys::PresentedKey;
use chiverelay_decisions::publication::Root;
use chiverelay_decisions::tickets::Issuer;
use chiverelay_decisions::tickets::SIGNING_KEY_BYTES;
use chiverelay_decisions::tickets::Ticket;
use chiverelay_decisions::tickets::Validity;
use chiverelay_operator::api::Apply;
use chiverelay_operator::document;
use chiverelay_operator::file;
use chiverelay_sibling::Envelope;
use chiverelay_sibling::Forward;
use chiverelay_sibling::Frame;
use chiverelay_sibling::MAX_FRAME;
use chiverelay_sibling::Message;
use chiverelay_sibling::VERSION;
use chiverelay_sibling::decode;
use chiverelay_sibling::decode_envelope;
use chiverelay_sibling::encode;
use std::time::Duration;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

/// Rounds of each property.
const ROUNDS: u64 = 3000;

fn check<T>(seed: u64, property: T)
where
    T: Testable,
{
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, seed))
        .tests(ROUNDS)
        .quickcheck(property);
}

/// A change to a valid text or message.
#[derive(Clone, Debug)]
enum Damage {
    Flip(usize, u8),
    Cut(usize),
    Insert(usize, Vec<u8>),
    Repeat(usize, u8),
}

impl Arbitrary for Damage {
    fn arbitrary(g: &mut Gen) -> Self {
        let at = usize::arbitrary(g);
        match u8::arbitrary(g) % 4 {
            0 => Self::Flip(at, u8::arbitrary(g)),
            1 => Self::Cut(at),
            2 => Self::Insert(at, Vec::arbitrary(g)),
            _ => Self::Repeat(at, u8::arbitrary(g)),
        }
    }
}

impl Damage {
    fn apply(&self, data: &mut Vec<u8>) {
        let place = |at: &usize, len: usize| at % (len + 1);
        match self {
            Self::Flip(at, with) => {
                let at = place(at, data.len());
                if let Some(byte) = data.get_mut(at) {
                    *byte ^= with;
                }
            }
            Self::Cut(at) => data.truncate(place(at, data.len())),
            Self::Insert(at, more) => {
                let at = place(at, data.len());
                data.splice(at..at, more.iter().copied());
            }
            Self::Repeat(at, times) => {
                let tail = data[place(at, data.len())..].to_vec();
                for _ in 0..times % 8 {
                    data.extend_from_slice(&tail);
                }
            }
        }
    }
}

fn damaged(valid: &[u8], damages: &[Damage]) -> Vec<u8> {
    let mut data = valid.to_vec();
    for damage in damages.iter().take(4) {
        damage.apply(&mut data);
    }
    data
}

const DOCUMENT: &str = r#"{
    // A comment.
    "routes": {"chat": {"path": "/v1", "pool": "p", "accounts": ["a"], "residency": ["lima"]}},
    "pools": {"p": {"kind": "engine", "targets": {
        "t": {"address": "10.0.0.1:80", "region": "lima", "zone": "lima-a"}}}},
    "accounts": {"a": {"rate": 1, "burst": 2}},
}"#;

/// A document is read, or has faults that stand within its text.
fn document_is_read_or_faulty(text: &str) -> bool {
    let lines = text.matches('\n').count() + 1;
    match document::parse(text) {
        Ok(_) => true,
        Err(faults) => {
            let within = |f: &file::Fault| (1..=lines).contains(&f.line) && f.column > 0;
            !faults.is_empty() && faults.iter().all(|f| within(f) && !f.reason.is_empty())
        }
    }
}

#[test]
fn documents_of_any_text() {
    fn property(text: String) -> bool {
        document_is_read_or_faulty(&text)
    }
    check(1, property as fn(String) -> bool);
}

#[test]
fn documents_that_were_damaged() {
    fn property(damages: Vec<Damage>) -> bool {
        let data = damaged(DOCUMENT.as_bytes(), &damages);
        document_is_read_or_faulty(&String::from_utf8_lossy(&data))
    }
    assert!(document::parse(DOCUMENT).is_ok());
    check(2, property as fn(Vec<Damage>) -> bool);
}

#[test]
fn stored_values_that_were_damaged() {
    fn property(damages: Vec<Damage>) -> bool {
        let valid = serde_json::to_vec(&Config::default()).expect("a configuration");
        let data = damaged(&valid, &damages);
        // Whatever can be read can also be checked.
        if let Ok(config) = serde_json::from_slice::<Config>(&data) {
            config.check();
        }
        let _ = serde_json::from_slice::<Apply>(&data);
        let _ = Root::parse(&data);
        true
    }
    check(3, property as fn(Vec<Damage>) -> bool);
}

#[test]
fn manifests_that_were_damaged() {
    fn property(damages: Vec<Damage>) -> bool {
        let data = damaged(&Root::default().encode(), &damages);
        match Root::parse(&data) {
            Ok(manifest) => Root::parse(&manifest.encode()).as_ref() == Ok(&manifest),
            Err(fault) => !format!("{fault:?}").is_empty(),
        }
    }
    check(4, property as fn(Vec<Damage>) -> bool);
}

fn envelope() -> Envelope {
    Envelope {
        version: VERSION,
        stamp: Stamp::default(),
        message: Message::Forward(Forward {
            id: "id".into(),
            account: Some("a".into()),
            route: "r".into(),
            pool: "model".into(),
            config_version: 1,
            remaining_ms: 1,
            is_resumed: false,
            prompt_tokens: 2,
            max_answer_tokens: Some(3),
            prefix: vec![4, 5],
            parts: Vec::new(),
            attempts: 1,
            last_event_id: None,
            software: None,
            method: "GET".to_owned(),
            path_and_query: "/".to_owned(),
            headers: vec![("accept".to_owned(), b"*".to_vec())],
            body: b"body".to_vec(),
        }),
    }
}

/// A message that is read can be written, and is read the same again.
fn message_is_read_or_refused(data: &[u8]) -> bool {
    let again = decode_envelope(data).map(|envelope| {
        let data = encode(&envelope).expect("what was read is small enough");
        decode::<Envelope>(&data).ok() == Some(envelope)
    });
    let frame = decode::<Frame>(data).map(|frame| {
        let data = encode(&frame).expect("what was read is small enough");
        decode::<Frame>(&data).ok() == Some(frame)
    });
    let fine = |result: Result<bool, chiverelay_sibling::Error>| match result {
        Ok(same) => same,
        Err(e) => !e.to_string().is_empty(),
    };
    fine(again) && fine(frame)
}

#[test]
fn messages_of_any_bytes() {
    fn property(data: Vec<u8>) -> bool {
        message_is_read_or_refused(&data)
    }
    check(5, property as fn(Vec<u8>) -> bool);
}

#[test]
fn messages_that_were_damaged() {
    fn property(damages: Vec<Damage>) -> bool {
        let valid = encode(&envelope()).expect("a message");
        message_is_read_or_refused(&damaged(&valid, &damages))
    }
    check(6, property as fn(Vec<Damage>) -> bool);
}

/// A length that says more than there is takes no memory and is refused.
#[test]
fn messages_that_announce_too_much() {
    let mut data = encode(&Frame::Data(Vec::new())).expect("a message");
    data.pop();
    // The largest length that a message can announce.
    data.extend([0xff, 0xff, 0xff, 0xff, 0x0f]);
    assert!(decode::<Frame>(&data).is_err());
    let large = Frame::Data(vec![0; MAX_FRAME + 1]);
    assert!(encode(&large).is_err());
}

#[test]
fn keys_of_any_text() {
    fn property(text: String) -> bool {
        let text = format!("ck_{text}");
        match split_key(&text) {
            Some((id, secret)) => format!("ck_{id}.{secret}") == text,
            None => !text.contains('.'),
        }
    }
    check(7, property as fn(String) -> bool);
}

/// Writes a character of a key in one of the ways that must be seen through.
fn write(byte: u8, way: u8) -> String {
    match way % 5 {
        0 => format!("%{byte:02X}"),
        1 => format!("%25{byte:02x}"),
        2 => format!("\\u00{byte:02x}"),
        3 => char::from(byte).to_ascii_uppercase().to_string(),
        _ => char::from(byte).to_string(),
    }
}

/// A key is found in any text and behind any mixture of codes.
#[test]
fn a_hidden_key_is_found() {
    fn property(before: Vec<u8>, after: Vec<u8>, ways: Vec<u8>) -> bool {
        let key = format!("ck_{}.{}", "0a1b2c3d4e5f6789", "0f".repeat(24));
        let ways = ways.iter().copied().chain(std::iter::repeat(4));
        let hidden: String = key
            .bytes()
            .zip(ways)
            .map(|(b, way)| write(b, way))
            .collect();
        let text = [before.as_slice(), b" ", hidden.as_bytes(), b" ", &after].concat();
        let shown = PresentedKey::from(key.as_str());
        KeyDetector::new(None).contains_key(&text)
            && KeyDetector::new(Some(&shown)).contains_key(&text)
    }
    check(8, property as fn(Vec<u8>, Vec<u8>, Vec<u8>) -> bool);
}

/// Text without a key is let through.
#[test]
fn ordinary_text_holds_no_key() {
    fn property(text: Vec<u8>) -> bool {
        !KeyDetector::new(None).contains_key(&text)
    }
    check(9, property as fn(Vec<u8>) -> bool);
}

/// A ticket is refused, or its issuer issued just this one.
fn ticket_is_issued_or_refused(text: &str) -> bool {
    let now = Duration::from_secs(1);
    let validity = Validity {
        use_by: 2 * now,
        expires: 3 * now,
    };
    let issuer = Issuer::new("lima-1".into(), 5, [6; SIGNING_KEY_BYTES]);
    let issued = issuer.issue(7, validity);
    match text.parse::<Ticket>() {
        Ok(ticket) => issuer.verify(&ticket, now).is_some() == (ticket == issued),
        Err(e) => !e.to_string().is_empty(),
    }
}

#[test]
fn tickets_of_any_text() {
    fn property(text: String) -> bool {
        ticket_is_issued_or_refused(&text)
    }
    check(10, property as fn(String) -> bool);
}

#[test]
fn tickets_that_were_damaged() {
    fn property(damages: Vec<Damage>) -> bool {
        let validity = Validity {
            use_by: Duration::from_secs(2),
            expires: Duration::from_secs(3),
        };
        let issuer = Issuer::new("lima-1".into(), 5, [6; SIGNING_KEY_BYTES]);
        let valid = issuer.issue(7, validity).to_string();
        let data = damaged(valid.as_bytes(), &damages);
        ticket_is_issued_or_refused(&valid)
            && ticket_is_issued_or_refused(&String::from_utf8_lossy(&data))
    }
    check(11, property as fn(Vec<Damage>) -> bool);
}

const STREAM: &str = "id: 1\r\ndata: {\"usage\":{\"total_tokens\":3}}\r\n\r\n\
    : comment\n\nid: 2\ndata: a\ndata: b\n\ndata: [DONE]\n\n";

/// Passes a stream on in pieces; what passes is a start of it.
fn pass_stream(data: &[u8], size: usize) -> (Result<(), AnswerError>, u64) {
    let mut checker = AnswerChecker::new(Framing::Events);
    let mut passed = Vec::new();
    for piece in data.chunks(size) {
        match checker.push(Bytes::copy_from_slice(piece)) {
            Ok(data) => passed.extend(data),
            Err(fault) => return (Err(fault), 0),
        }
        assert!(data.starts_with(&passed));
    }
    (checker.check_end(), checker.count_tokens(1))
}

/// A stream gets one verdict, in whatever pieces it comes.
#[test]
fn streams_that_were_damaged() {
    fn property(damages: Vec<Damage>, size: usize) -> bool {
        let data = damaged(STREAM.as_bytes(), &damages);
        pass_stream(&data, size % 32 + 1) == pass_stream(&data, data.len().max(1))
    }
    assert_eq!(pass_stream(STREAM.as_bytes(), 1), (Ok(()), 3));
    check(12, property as fn(Vec<Damage>, usize) -> bool);
}
