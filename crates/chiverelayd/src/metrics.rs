//! Counters and timers for a StatsD server.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use cadence::CountedExt;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_store::Calls;
use chiverelay_store::Kind;

/// Prefix of every metric.
const PREFIX: &str = "chiverelay";

/// Metrics waiting to be sent.
const QUEUE: usize = 4096;

/// Sends metrics; to nowhere without an address in the settings.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Opens the socket.
    pub(crate) fn new(address: Option<&SocketAddr>) -> Result<Self, std::io::Error> {
        let Some(address) = address else {
            return Ok(Self {
                client: StatsdClient::from_sink(PREFIX, NopMetricSink),
            });
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE);
        Ok(Self {
            client: StatsdClient::from_sink(PREFIX, sink),
        })
    }

    /// Counts a request.
    pub(crate) fn request(&self) {
        // A metric that can't be queued is lost, which costs no request.
        let _ = self.client.incr("requests");
    }

    /// Counts a request that went to another region.
    pub(crate) fn spill(&self) {
        let _ = self.client.incr("requests.spilled");
    }

    /// Counts a refusal by code and outcome.
    pub(crate) fn refusal(&self, refusal: &Refusal) {
        self.client
            .incr_with_tags("refusals")
            .with_tag("code", refusal.code.as_str())
            .with_tag("outcome", refusal.outcome.as_str())
            .send();
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
