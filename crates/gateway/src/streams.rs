//! What instances tell each other of the streams that began with them, so that
//! a caller can resume one at any instance, at targets of the software that
//! began it.

mod marks;
mod origin;

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::streams::BeganStreams;
use chiverelay_decisions::streams::PoolSoftware;
use chiverelay_decisions::streams::SoftwareHistory;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Link;
use chiverelay_sibling::Message;
use chiverelay_sibling::StreamsBegan;
use chiverelay_sibling::Up;

use crate::Dialect;
use crate::Gateway;
use crate::place::PlacementContext;

/// Number of hubs of the region that are told of a stream, as one may fail.
const TOLD_HUBS: usize = 2;

/// Time for which a message waits at a busy link.
const TELL_TIMEOUT: Duration = Duration::from_secs(1);

/// The streams that began lately, and the software that may have begun some.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    pub(crate) began: BeganStreams,
    pub(crate) software: SoftwareHistory,
}

impl Streams {
    /// Sets the time for which streams and software are remembered.
    pub(crate) fn set_lifetime(&mut self, lifetime: Duration) {
        self.began.set_lifetime(lifetime);
        self.software.set_retention(lifetime);
    }
}

/// A stream whose answer has begun.
#[derive(Clone, Debug)]
pub(crate) struct StartedStream {
    /// The caller's request that it began with.
    pub(crate) id: RequestId,
    pub(crate) pool: Pool,
}

impl StartedStream {
    /// Returns the stream that a request begins or resumes, if callers may
    /// resume it.
    pub(crate) fn of(id: &RequestId, cx: &PlacementContext) -> Option<Self> {
        cx.route.kind.is_resumable().then(|| Self {
            id: id.clone(),
            pool: cx.pool.name.clone(),
        })
    }
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Records what began a stream, before its first event goes out. Others are
    /// told while the pool may have had several versions of software.
    pub(crate) fn record_stream(
        self: &Arc<Self>,
        stream: StartedStream,
        software: &SoftwareVersion,
    ) {
        let now = self.clock.now();
        let origin = PoolSoftware {
            pool: stream.pool.clone(),
            software: software.clone(),
        };
        let mut streams = self.tables.streams.lock();
        streams.began.record(&stream.id, origin, now);
        let possible = streams.software.possible(&stream.pool, now);
        drop(streams);
        if possible.len() > 1 {
            self.tell_streams(stream.pool, vec![(stream.id, software.clone())]);
        }
    }

    /// Tells others of all streams of a pool that are known here. They were not
    /// told while the pool had one version of software only.
    pub(crate) fn tell_all_streams(self: &Arc<Self>, pool: &Pool) {
        let now = self.clock.now();
        let known = self.tables.streams.lock().began.list(pool, now);
        if !known.is_empty() {
            self.tell_streams(pool.clone(), known);
        }
    }

    /// Tells hubs of this region, and through one of them a further hub and the
    /// other regions.
    fn tell_streams(self: &Arc<Self>, pool: Pool, streams: Vec<(RequestId, SoftwareVersion)>) {
        let began = StreamsBegan {
            pool,
            streams,
            is_passed_on: false,
        };
        if self.topology.lock().is_hub {
            let hubs = self.links_to_region_hubs().into_iter().take(TOLD_HUBS);
            self.tell_each(hubs.collect(), &began);
            self.tell_other_regions(&began);
            return;
        }
        let mut hubs = self.links_to_hubs(self.clock.now()).into_iter();
        let first = hubs.next();
        let others = hubs.take(TOLD_HUBS - 1).collect();
        self.tell_each(others, &began);
        let passed_on = StreamsBegan {
            is_passed_on: true,
            ..began
        };
        self.tell_each(first.into_iter().collect(), &passed_on);
    }

    /// Tells one hub of each other region.
    fn tell_other_regions(self: &Arc<Self>, began: &StreamsBegan) {
        let links = self.list_hub_links(|region| *region != self.settings.region);
        let mut told: Vec<Region> = Vec::new();
        for link in links {
            let region = &link.peer().region;
            if !told.contains(region) {
                told.push(region.clone());
                self.tell_each(vec![link], began);
            }
        }
    }

    fn tell_each(self: &Arc<Self>, links: Vec<Link<Up>>, began: &StreamsBegan) {
        for link in links {
            let message = Message::StreamsBegan(began.clone());
            let stop = self.stop.clone();
            tokio::spawn(async move {
                let telling = tokio::time::timeout(TELL_TIMEOUT, link.tell(message));
                if let Some(Ok(Err(e))) = stop.run_until_cancelled(telling).await {
                    log::debug!(target: "streams", error:% = e; "streams not told");
                }
            });
        }
    }

    /// Records the streams that another instance tells of.
    pub(crate) fn receive_streams(self: &Arc<Self>, from: &Identity, told: &StreamsBegan) {
        let now = self.clock.now();
        let mut streams = self.tables.streams.lock();
        for (id, software) in &told.streams {
            let origin = PoolSoftware {
                pool: told.pool.clone(),
                software: software.clone(),
            };
            streams.began.record(id, origin, now);
        }
        drop(streams);
        if told.is_passed_on && from.region == self.settings.region {
            let passed_on = StreamsBegan {
                is_passed_on: false,
                ..told.clone()
            };
            let mut hubs = self.links_to_region_hubs();
            hubs.truncate(1);
            self.tell_each(hubs, &passed_on);
            self.tell_other_regions(&passed_on);
        }
    }

    /// Lists the links to the other hubs of this region, for a hub.
    fn links_to_region_hubs(&self) -> Vec<Link<Up>> {
        self.list_hub_links(|region| *region == self.settings.region)
    }

    /// Lists the links to the other hubs in regions that `is_included` accepts,
    /// for a hub.
    fn list_hub_links<F>(&self, is_included: F) -> Vec<Link<Up>>
    where
        F: Fn(&Region) -> bool,
    {
        let topology = Arc::clone(&self.topology.lock());
        let is_hub = |name: &Instance| topology.other_hubs.contains(name);
        let mut links = self.links.list_open();
        links.retain(|link| is_hub(&link.peer().instance) && is_included(&link.peer().region));
        links
    }
}
