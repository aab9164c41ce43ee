//! What began a stream that a caller resumes.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::RequestId;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::streams;
use chiverelay_sibling::AskStream;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Link;
use chiverelay_sibling::Message;
use chiverelay_sibling::StreamInfo;
use chiverelay_sibling::Up;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use super::CallerStream;
use super::word::Lookup;
use super::word::Word;
use crate::Dialect;
use crate::Gateway;

/// Time limit for asking others what began a stream while its pool may have had
/// several versions of software.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// The same while it can have had one, and others are asked whether they know of
/// more.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(150);

/// Part of the limit in which a hub asks others for an instance that is none, so
/// that its reply comes in time.
const HUB_LIMIT_DIVISOR: u32 = 2;

/// Time between two looks for a link to ask on.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without an answer of the store after which others may know of software
/// that this instance doesn't.
const MAX_STORE_AGE: Duration = Duration::from_secs(3);

/// Retry delay for a stream that no other instance could be asked about.
const NOT_ASKED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Largest number of streams that others are asked about at once. Asking shares
/// the links with forwarded requests.
pub(crate) const MAX_ASKS: usize = 32;

/// The software that may continue a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StreamSoftware {
    /// The stream is known.
    Known(SoftwareVersion),
    /// The stream is not known, but the pool can have had no other software.
    Only(SoftwareVersion),
    /// The pool has had no target at all.
    NoTarget,
    /// Nothing can continue the stream, or it is not known what could. The delay
    /// is set if another attempt may succeed.
    Refused(Option<Duration>),
}

/// What others know of a stream.
#[derive(Debug, Default)]
struct Asked {
    info: StreamInfo,
    /// Number of instances that answered.
    answers: usize,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Finds the software that may continue a stream. `id` is that of the request
    /// that resumes it.
    pub(super) async fn find_stream_software(
        self: &Arc<Self>,
        stream: &CallerStream,
        id: &RequestId,
    ) -> StreamSoftware {
        let ask = AskStream {
            key: stream.key.clone(),
            pool: stream.pool.clone(),
        };
        let started = Instant::now();
        let mut info = self.own_stream_info(&ask);
        let now = self.clock.now();
        let own = self.tables.streams.lock().began.find_record(&ask.key, now);
        let mut answers = 0;
        if info.began_by.is_none() {
            let asked = self.ask_others(&ask, ask_limit(&info)).await;
            answers = asked.answers;
            merge(&mut info, asked.info);
        }
        let is_well_informed = self.is_well_informed();
        info.is_history_complete &= answers > 0 || is_well_informed;
        let found = self.choose_stream_software(&stream.pool, &info, answers);
        let word = match (&found, own) {
            (StreamSoftware::Known(_), Some(record)) => Word::Own(record),
            (StreamSoftware::Known(_), None) => Word::Asked,
            (StreamSoftware::Only(_), _) if is_well_informed => Word::Store,
            (StreamSoftware::Only(_), _) => Word::Others,
            (StreamSoftware::NoTarget | StreamSoftware::Refused(_), _) => Word::None,
        };
        let lookup = Lookup {
            info: &info,
            answers,
            word,
            is_usable: !matches!(found, StreamSoftware::Refused(_)),
            took: started.elapsed(),
        };
        self.log_lookup(&ask.key, id, &lookup);
        found
    }

    fn choose_stream_software(
        &self,
        pool: &Pool,
        info: &StreamInfo,
        answers: usize,
    ) -> StreamSoftware {
        let known = info.began_by.as_ref();
        // The route has moved to another pool since the stream began.
        if known.is_some_and(|known| known.pool != *pool) {
            return StreamSoftware::Refused(None);
        }
        let known = known.map(|known| known.software.clone());
        let is_known = known.is_some();
        let is_complete = info.is_history_complete;
        let software = streams::software_of_stream(known, &info.possible_versions, is_complete);
        let has_target = |software: &SoftwareVersion| {
            let fleet = self.tables.fleet.lock();
            fleet.has_software(pool, software)
        };
        match software {
            Some(software) if !has_target(&software) => StreamSoftware::Refused(None),
            Some(software) if is_known => StreamSoftware::Known(software),
            Some(software) => StreamSoftware::Only(software),
            None if info.possible_versions.is_empty() => StreamSoftware::NoTarget,
            None => {
                let is_worth_a_retry = answers == 0 && self.knows_other_instances();
                StreamSoftware::Refused(is_worth_a_retry.then_some(NOT_ASKED_RETRY_AFTER))
            }
        }
    }

    /// Answers another instance. A hub asks the others of its region for an
    /// instance that is none.
    pub(crate) async fn answer_for_stream(
        self: &Arc<Self>,
        from: &Identity,
        ask: &AskStream,
    ) -> StreamInfo {
        let mut info = self.own_stream_info(ask);
        let topology = Arc::clone(&self.topology.lock());
        let is_asked_by_hub = topology.other_hubs.contains(&from.instance);
        if info.began_by.is_none() && topology.is_hub && !is_asked_by_hub {
            let links = self.links_to_region_hubs();
            let asked = ask_each(ask, links, ask_limit(&info) / HUB_LIMIT_DIVISOR).await;
            merge(&mut info, asked.info);
        }
        info
    }

    /// Observes the software on record, and returns what this instance itself
    /// knows of a stream.
    fn own_stream_info(self: &Arc<Self>, ask: &AskStream) -> StreamInfo {
        let now = self.clock.now();
        self.observe_software(now);
        // A store that came back from an older copy may have lost marks.
        let may_lack_marks = self.store_lag.read_revision().era > 0;
        let streams = self.tables.streams.lock();
        StreamInfo {
            began_by: streams.began.find(&ask.key, now).cloned(),
            possible_versions: streams.software.possible(&ask.pool, now),
            is_history_complete: !may_lack_marks || now >= streams.began.lifetime(),
        }
    }

    /// Tells whether no other instance can know more of the store than this one.
    fn is_well_informed(&self) -> bool {
        let store_age = self.tables.store_age(self.clock.now());
        store_age < MAX_STORE_AGE || !self.knows_other_instances()
    }

    fn knows_other_instances(&self) -> bool {
        self.members.summarize(self.clock.now()).known > 0
    }

    /// Asks the instances that were told of this region's streams. An instance
    /// that has just started waits for its first link.
    async fn ask_others(self: &Arc<Self>, ask: &AskStream, limit: Duration) -> Asked {
        let started = Instant::now();
        let asking = async {
            // The semaphore is never closed.
            let _permit = self.stream_asks.acquire().await.ok();
            let links = self.wait_for_links_to_ask().await;
            let left = limit.saturating_sub(started.elapsed());
            ask_each(ask, links, left).await
        };
        let asked = tokio::time::timeout(limit + LINK_POLL_INTERVAL, asking).await;
        asked.unwrap_or_default()
    }

    async fn wait_for_links_to_ask(&self) -> Vec<Link<Up>> {
        loop {
            let links = self.links_to_ask();
            if !links.is_empty() || !self.knows_other_instances() {
                return links;
            }
            tokio::time::sleep(LINK_POLL_INTERVAL).await;
        }
    }

    /// Lists the links to the hubs that were told of this region's streams, or
    /// all links if there is none to these.
    fn links_to_ask(&self) -> Vec<Link<Up>> {
        let is_hub = self.topology.lock().is_hub;
        let hubs = match is_hub {
            true => self.links_to_region_hubs(),
            false => self.links_to_hubs(self.clock.now()),
        };
        match hubs.is_empty() {
            true => self.links.list_open(),
            false => hubs,
        }
    }
}

/// Returns the time limit for asking others.
fn ask_limit(info: &StreamInfo) -> Duration {
    match info.possible_versions.len() > 1 {
        true => ASK_TIMEOUT,
        false => CONFIRM_TIMEOUT,
    }
}

/// Asks several instances at once, until one knows the stream, all have answered
/// or the limit has passed.
async fn ask_each(ask: &AskStream, links: Vec<Link<Up>>, limit: Duration) -> Asked {
    let until = Instant::now() + limit;
    let asking = links.iter().map(|link| ask_one(link, ask, until));
    let mut asking: FuturesUnordered<_> = asking.collect();
    let mut asked = Asked::default();
    while let Some(answer) = asking.next().await {
        let Some(answer) = answer else {
            continue;
        };
        asked.answers += 1;
        merge(&mut asked.info, answer);
        if asked.info.began_by.is_some() {
            break;
        }
    }
    asked
}

async fn ask_one(link: &Link<Up>, ask: &AskStream, until: Instant) -> Option<StreamInfo> {
    let asking = link.ask(Stamp::default(), Message::AskStream(ask.clone()));
    let answer = tokio::time::timeout_at(until, asking).await;
    match answer.ok()?.ok()?.message {
        Message::StreamInfo(origin) => Some(origin),
        _ => None,
    }
}

/// Adds what another instance knows.
fn merge(info: &mut StreamInfo, other: StreamInfo) {
    info.began_by = info.began_by.take().or(other.began_by);
    info.is_history_complete |= other.is_history_complete;
    for software in other.possible_versions {
        if !info.possible_versions.contains(&software) {
            info.possible_versions.push(software);
        }
    }
}
