//! Links between instances: how many streams one carries at once.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::memory_budget::MemoryBudget;
use chiverelay_decisions::memory_budget::Reservation;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Outcome;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_sibling::Certificates;
use chiverelay_sibling::Endpoint;
use chiverelay_sibling::Envelope;
use chiverelay_sibling::Error;
use chiverelay_sibling::Forward;
use chiverelay_sibling::Frame;
use chiverelay_sibling::FrameSender;
use chiverelay_sibling::Handler;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Link;
use chiverelay_sibling::Message;
use chiverelay_sibling::Pins;
use chiverelay_sibling::Refused;
use chiverelay_sibling::Up;
use chiverelay_sibling::VERSION;
use futures_util::future::join_all;
use support::block_on;
use support::cases;
use tokio::runtime::Runtime;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

/// Time between two looks at what is not there yet.
const PAUSE: Duration = Duration::from_millis(2);

/// Streams that a new link carries at once.
const AT_FIRST: usize = 128;

/// Bytes of an answer that takes more than one flight.
const LARGE: usize = 960 * 1024;

/// Memory for a forwarded request, in bytes.
const MEMORY: u64 = 1024 * 1024;

fn large_frame() -> Frame {
    Frame::Data(vec![7; LARGE])
}

/// Answers control messages once it is released, and forwarded requests with a
/// large answer.
#[derive(Default)]
struct Holding {
    held: AtomicUsize,
    release: Notify,
    /// An answer to a forwarded request has been finished.
    finished: Notify,
}

impl Handler for Holding {
    async fn control(&self, _: &Identity, stamp: Stamp, _: Message) -> Envelope {
        let released = self.release.notified();
        self.held.fetch_add(1, Ordering::Relaxed);
        released.await;
        Envelope {
            version: VERSION,
            stamp,
            message: Message::Done,
        }
    }

    fn reserve_forward(&self, bytes: usize) -> Result<Reservation, Refusal> {
        let reserved = MemoryBudget::new(MEMORY).reserve(bytes);
        reserved.map_err(|_| Refusal::not_run(Code::Overloaded, Step::Receive, Peer::Local))
    }

    async fn forward(
        &self,
        _: &Identity,
        _: Stamp,
        _: Forward,
        _: Reservation,
        mut tx: FrameSender,
    ) {
        tx.send(&large_frame()).await.expect("it is awaited");
        tx.send(&Frame::End).await.expect("it is awaited");
        tx.finish().await;
        self.finished.notify_one();
    }

    fn refused(&self, _: Refused) {}
}

/// Two instances of which the first one has a link to the second.
struct Pair {
    link: Link<Up>,
    far: Endpoint,
    holding: Arc<Holding>,
    _guard: DropGuard,
}

fn bind(name: &str, pins: &Pins) -> (Endpoint, Identity) {
    let identity = Identity {
        instance: name.into(),
        region: "lima".into(),
    };
    let certs = Certificates::generate(&identity, pins.clone()).expect("certificates");
    pins.set(&identity.instance, &certs.digest());
    let local = "127.0.0.1:0".parse().expect("an address");
    (
        Endpoint::bind(local, &certs).expect("an endpoint"),
        identity,
    )
}

impl Pair {
    async fn start() -> Self {
        let pins = Pins::default();
        let (near, _) = bind("lima-1", &pins);
        let (far, identity) = bind("lima-2", &pins);
        let address = far.address();
        let holding = Arc::new(Holding::default());
        let stop = CancellationToken::new();
        tokio::spawn(far.clone().run(Arc::clone(&holding), stop.clone()));
        let link = near
            .connect(&identity.instance, &identity.region, address)
            .await
            .expect("a link");
        Self {
            link,
            far,
            holding,
            _guard: stop.drop_guard(),
        }
    }

    async fn ask(&self) -> Result<Envelope, Error> {
        self.link.ask(Stamp::default(), Message::Done).await
    }

    /// Asks again for as long as no stream is free.
    async fn ask_until_sent(&self) -> Result<Envelope, Error> {
        loop {
            match self.ask().await {
                Err(Error::NoFreeStream { .. }) => tokio::time::sleep(PAUSE).await,
                reply => return reply,
            }
        }
    }

    /// Answers once so many messages wait for it.
    async fn release_at(&self, count: usize) {
        while self.holding.held.load(Ordering::Relaxed) < count {
            tokio::time::sleep(PAUSE).await;
        }
        self.holding.release.notify_waiters();
    }
}

fn one_thread() -> Runtime {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().expect("a runtime")
}

/// Failure: a message that found no stream free waited for one, with nothing in
/// log or metrics.
#[test]
fn a_message_that_finds_no_stream_free_fails_at_once() {
    // On one thread the other instance can't raise the limit while the messages
    // are sent.
    let runtime = one_thread();
    runtime.block_on(async {
        let pair = Pair::start().await;
        let asks = join_all((0..2 * AT_FIRST).map(|_| pair.ask()));
        let (replies, ()) = tokio::join!(asks, pair.release_at(AT_FIRST));
        let refused =
            |reply: &&Result<Envelope, Error>| matches!(reply, Err(Error::NoFreeStream { .. }));
        assert_eq!(replies.iter().filter(refused).count(), AT_FIRST);
        assert_eq!(replies.iter().filter(|r| r.is_ok()).count(), AT_FIRST);
    });
}

#[test]
fn a_link_carries_more_streams_as_it_fills() {
    block_on(async {
        let pair = Pair::start().await;
        let asks = join_all((0..8 * AT_FIRST).map(|_| pair.ask_until_sent()));
        let (replies, ()) = tokio::join!(asks, pair.release_at(8 * AT_FIRST));
        assert!(replies.iter().all(Result::is_ok), "{replies:?}");
    });
}

fn request() -> Forward {
    Forward {
        id: "r-1".into(),
        account: None,
        route: "chat".into(),
        pool: "model".into(),
        config_version: 1,
        remaining_ms: 1000,
        is_resumed: false,
        prompt_tokens: 1,
        max_answer_tokens: None,
        prefix: Vec::new(),
        parts: Vec::new(),
        attempts: 1,
        last_event_id: None,
        software: None,
        method: "POST".to_owned(),
        path_and_query: "/chat/1".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
    }
}

/// Failure: the end of a forwarded answer was lost, as the instance that had
/// written it closed its links before the other one had received it.
#[test]
fn an_answer_that_is_finished_outlasts_the_close_of_the_endpoint() {
    // On one thread the answer isn't read while it is written.
    one_thread().block_on(async {
        let pair = Pair::start().await;
        let answer = pair.link.forward(Stamp::default(), request()).await;
        let mut answer = answer.expect("an answer");
        let closing = async {
            pair.holding.finished.notified().await;
            pair.far.close().await;
        };
        let reading = async { (answer.next().await, answer.next().await) };
        let ((data, end), ()) = tokio::join!(reading, closing);
        assert_eq!(data.expect("the data"), large_frame());
        assert_eq!(end.expect("the end"), Frame::End);
    });
}

fn check_memory(body_bytes: usize, is_refused: bool) {
    block_on(async {
        let pair = Pair::start().await;
        let req = Forward {
            body: vec![7; body_bytes],
            ..request()
        };
        let sent = pair.link.forward(Stamp::default(), req).await;
        let mut answer = sent.expect("a stream");
        match answer.next().await.expect("a frame") {
            Frame::Refused(refusal) => {
                assert!(is_refused, "{refusal:?}");
                assert_eq!(refusal.outcome, Outcome::NotRun);
            }
            _ => assert!(!is_refused),
        }
    });
}

// Failure: a forwarded request was read whole before there was known to be memory
// for it.
cases! {
    check_memory:
    a_forward_within_the_memory_is_taken(500_000, false);
    a_forward_over_the_memory_is_refused(MEMORY as usize, true);
    a_forward_far_over_the_memory_is_refused(7 * MEMORY as usize, true);
}
