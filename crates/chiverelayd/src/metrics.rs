//! Counters and timers for a StatsD server.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use chiverelay_decisions::limits::NANO_TOKENS_PER_TOKEN;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_store::Calls;
use chiverelay_store::Kind;

/// Prefix of every metric.
const PREFIX: &str = "chiverelay";

/// Metrics waiting to be sent.
const QUEUE: usize = 4096;

/// Sends metrics, to nowhere without an address in the settings, and keeps
/// the sums of the counters for operators.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
    counters: RankedMutex<BTreeMap<String, u64>>,
}

impl Metrics {
    /// Opens the socket.
    pub(crate) fn new(address: Option<&SocketAddr>) -> Result<Self, std::io::Error> {
        let client = match address {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
                let sink = QueuingMetricSink::with_capacity(sink, QUEUE);
                StatsdClient::from_sink(PREFIX, sink)
            }
        };
        Ok(Self {
            client,
            counters: RankedMutex::new(LockRank::Events, BTreeMap::new()),
        })
    }

    /// Returns the sums of the counters by name.
    pub(crate) fn counters(&self) -> BTreeMap<String, u64> {
        self.counters.lock().clone()
    }

    fn count(&self, name: &'static str, tags: &[(&'static str, &str)]) {
        self.add(name, 1, tags);
    }

    fn add(&self, name: &'static str, n: u64, tags: &[(&'static str, &str)]) {
        let mut counter = self.client.count_with_tags(name, n);
        let mut full = name.to_owned();
        for (tag, value) in tags {
            counter = counter.with_tag(tag, value);
            full = format!("{full} {tag}={value}");
        }
        // A metric that can't be queued is lost, which costs no request.
        counter.send();
        *self.counters.lock().entry(full).or_default() += n;
    }

    /// Counts a request.
    pub(crate) fn request(&self) {
        self.count("requests", &[]);
    }

    /// Counts a request that went to another region.
    pub(crate) fn spill(&self) {
        self.count("requests.spilled", &[]);
    }

    /// Counts a refusal by code and outcome.
    pub(crate) fn refusal(&self, refusal: &Refusal) {
        let tags = [
            ("code", refusal.code.as_str()),
            ("outcome", refusal.outcome.as_str()),
        ];
        self.count("refusals", &tags);
    }

    /// Counts a slow caller's connection that was closed for others.
    pub(crate) fn slow_caller_closed(&self) {
        self.count("callers.closed_slow", &[]);
    }

    /// Counts something that a sibling or whoever claims to be one sent and
    /// that was refused.
    pub(crate) fn sibling_refused(&self, reason: &str) {
        self.count("sibling.refused", &[("reason", reason)]);
    }

    /// Counts a call of an operator that was refused.
    pub(crate) fn operator_refused(&self, reason: &str) {
        self.count("operator.refused", &[("reason", reason)]);
    }

    /// Counts tokens that came with a loan or came back.
    pub(crate) fn share_move(&self, kind: &str, nano_tokens: u128) {
        let tokens = u64::try_from(nano_tokens / NANO_TOKENS_PER_TOKEN).unwrap_or(u64::MAX);
        self.count("shares.moves", &[("kind", kind)]);
        self.add("shares.tokens", tokens, &[("kind", kind)]);
    }

    /// Records the time to the first piece of an answer.
    pub(crate) fn first_token(&self, time: Duration) {
        let _ = self.client.time("first_token_ms", time);
    }

    /// Records the jobs that wait for workers.
    pub(crate) fn queue_depth(&self, waiting: usize) {
        let _ = self.client.gauge("queue_depth", waiting as u64);
    }

    /// Records the store's calls so far by kind, and its waiting watches.
    pub(crate) fn store_calls(&self, calls: &Calls) {
        for kind in Kind::ALL {
            self.client
                .gauge_with_tags("store_calls", calls.of(kind))
                .with_tag("kind", kind.as_str())
                .send();
        }
        let _ = self.client.gauge("store_watches", calls.waiting());
    }
}
