//! What instances tell each other of the streams that began with them, so that
//! a caller can resume one at any instance, at targets of the software that
//! began it.

mod lookup;
mod lookup_log;
mod mark_reads;
mod marks;

pub(crate) use lookup::MAX_ASKS;
pub use mark_reads::MarksRead;
pub(crate) use mark_reads::SharedMarkReads;

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::catalog::MatchedRoute;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::streams::BeganStreams;
use chiverelay_decisions::streams::PoolSoftware;
use chiverelay_decisions::streams::SoftwareHistory;
use chiverelay_decisions::streams::StreamKey;
use chiverelay_decisions::streams::StreamSource;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Link;
use chiverelay_sibling::Message;
use chiverelay_sibling::StreamsBegan;
use chiverelay_sibling::Up;

use crate::Dialect;
use crate::Gateway;
use crate::Inbound;
use crate::Outbound;
use crate::message::HandleResult;
use crate::place::PlacementContext;
use crate::request_log::RequestLog;
use lookup::StreamSoftware;

/// Number of hubs of the region that are told of a stream, as one may fail.
const TOLD_HUBS: usize = 2;

/// Largest number of streams in one message, which stays far below the largest
/// one that instances take.
const MAX_TOLD_TOGETHER: usize = 200;

/// Time for which a message waits at a busy link.
const TELL_TIMEOUT: Duration = Duration::from_secs(1);

/// The streams that began lately, and the software that may have begun some.
#[derive(Debug, Default)]
pub(crate) struct Streams {
    pub(crate) began: BeganStreams,
    pub(crate) software: SoftwareHistory,
    /// When all marks in the store were last read, on the local monotonic clock.
    /// It is for the log only: what a read shows of a stream depends on when the
    /// read began, which [`SharedMarkReads`] has.
    pub(crate) marks_read_at: Option<Duration>,
    /// Latest era of the store in which all marks were read for lookups.
    pub(crate) marks_era: u64,
}

impl Streams {
    /// Sets the time for which streams and software are remembered.
    pub(crate) fn set_lifetime(&mut self, lifetime: Duration) {
        self.began.set_lifetime(lifetime);
        self.software.set_retention(lifetime);
    }
}

/// The stream that a caller's request begins or resumes.
#[derive(Clone, Debug)]
pub(crate) struct CallerStream {
    pub(crate) key: StreamKey,
    pub(crate) pool: Pool,
    pub(crate) is_resumed: bool,
}

impl CallerStream {
    /// Returns the stream of a request, if callers may resume it.
    pub(crate) fn of(inbound: &Inbound, matched: &MatchedRoute, pool: &Pool) -> Option<Self> {
        let account = matched.account.as_ref().map(|account| account.name.clone());
        matched.route.kind.is_resumable().then(|| Self {
            key: StreamKey {
                account,
                id: inbound.stream_id().clone(),
            },
            pool: pool.clone(),
            is_resumed: inbound.is_resuming(),
        })
    }
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Runs a request of a resumable stream. A stream that is resumed is bound to
    /// the software that began it, and one that begins is recorded before its
    /// first event goes out.
    pub(crate) async fn run_stream(
        self: &Arc<Self>,
        stream: CallerStream,
        req: Request<Admitted, Direct>,
        mut cx: PlacementContext,
        out: Outbound,
        request_log: &mut RequestLog,
    ) -> HandleResult {
        if !stream.is_resumed {
            let deadline = req.meta().deadline;
            self.wait_for_marked_software(&stream.pool, deadline).await;
        } else {
            match self.find_stream_software(&stream, req.meta()).await {
                StreamSoftware::Known(software) => {
                    cx.is_resumed = true;
                    cx.software = Some(software);
                }
                // Nothing shows that the answer has begun, so the request gets no
                // more room than a new one.
                StreamSoftware::Only(software) => cx.software = Some(software),
                StreamSoftware::NoTarget => {}
                StreamSoftware::Refused(retry_after) => {
                    let mut refusal = req.refuse(Code::NotResumable, Step::Place, Peer::Local);
                    refusal.retry_after = retry_after;
                    return Err(refusal);
                }
            }
        }
        let handled = self.run_attempts(req, cx, out, request_log).await;
        if let Ok(reply) = &handled
            && reply.status.is_success()
            && let Some(software) = &reply.software
        {
            self.record_stream(stream, software);
        }
        handled
    }

    /// Records what began or continues a stream. Others are told of one that
    /// began while the pool may have had several versions of software, or while
    /// the store, which could tell that there is but one, does not answer.
    fn record_stream(self: &Arc<Self>, stream: CallerStream, software: &SoftwareVersion) {
        let now = self.clock.now();
        let is_store_unreachable = self.tables.fleet.lock().is_store_unreachable();
        let CallerStream {
            key,
            pool,
            is_resumed,
        } = stream;
        let source = match is_resumed {
            true => StreamSource::Resumed,
            false => StreamSource::Own,
        };
        let origin = PoolSoftware {
            pool: pool.clone(),
            software: software.clone(),
        };
        let mut streams = self.tables.streams.lock();
        // The store may not have told this instance of it.
        let is_new = streams.software.observe_stream(&origin, now);
        streams.began.record(&key, origin.clone(), source, now);
        let possible = streams.software.possible(&pool, now);
        let is_mark_due = streams.software.has_unmarked_stream(&origin);
        drop(streams);
        if is_mark_due {
            self.software_changed.notify_one();
        }
        if is_new {
            self.handle_new_software(&origin);
        } else if !is_resumed && (possible.len() > 1 || is_store_unreachable) {
            self.tell_streams(&pool, &[(key, software.clone())]);
        }
    }

    /// Tells others of all streams that began here, as the store has stopped
    /// answering.
    pub(crate) fn tell_streams_of_all_pools(self: &Arc<Self>) {
        let now = self.clock.now();
        let pools = self.tables.streams.lock().began.list_own_pools(now);
        for pool in &pools {
            self.tell_all_streams(pool);
        }
    }

    /// Tells others of all streams of a pool that began here. They were not told
    /// while the pool had one version of software only.
    pub(crate) fn tell_all_streams(self: &Arc<Self>, pool: &Pool) {
        let now = self.clock.now();
        let own = self.tables.streams.lock().began.list_own(pool, now);
        for streams in own.chunks(MAX_TOLD_TOGETHER) {
            self.tell_streams(pool, streams);
        }
    }

    /// Tells hubs of this region, and through one of them a further hub and the
    /// other regions.
    fn tell_streams(self: &Arc<Self>, pool: &Pool, streams: &[(StreamKey, SoftwareVersion)]) {
        let began = StreamsBegan {
            pool: pool.clone(),
            streams: streams.to_vec(),
            pass_on: false,
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
            pass_on: true,
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
        let mut new = Vec::new();
        let mut streams = self.tables.streams.lock();
        for (key, software) in &told.streams {
            let origin = PoolSoftware {
                pool: told.pool.clone(),
                software: software.clone(),
            };
            if streams.software.observe(&origin, now) {
                new.push(origin.clone());
            }
            streams.began.record(key, origin, StreamSource::Told, now);
        }
        drop(streams);
        for software in &new {
            self.handle_new_software(software);
        }
        if told.pass_on && from.region == self.settings.region {
            let passed_on = StreamsBegan {
                pass_on: false,
                ..told.clone()
            };
            // It may be the one that the sender has told itself.
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
