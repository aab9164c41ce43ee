//! What began a stream that a caller resumes.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::request::RequestMeta;
use chiverelay_decisions::streams::Binding;
use chiverelay_decisions::streams::History;
use chiverelay_decisions::streams::LOOKUP_TIMEOUT;
use chiverelay_decisions::streams::StreamKnowledge;
use chiverelay_decisions::streams::StreamRecord;
use chiverelay_sibling::AskStream;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Link;
use chiverelay_sibling::Message;
use chiverelay_sibling::Up;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use super::CallerStream;
use super::lookup_log::BindingSource;
use super::lookup_log::StreamLookup;
use crate::Dialect;
use crate::Gateway;

/// Time for which one round of questions is waited for while the pool can have
/// had one version of software, which is nearly always so.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which this instance's own read of the marks is waited for before
/// others are asked to read them.
const READ_TIMEOUT: Duration = Duration::from_millis(350);

/// Part of the limit in which a hub asks others for an instance that is none, so
/// that its reply comes in time.
const HUB_LIMIT_DIVISOR: u32 = 2;

/// Time between two looks for a link to ask on.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Retry delay for a stream of which others may know more later.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

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
    knowledge: StreamKnowledge,
    /// Number of instances that answered.
    answers: usize,
}

/// What is known of a stream so far.
#[derive(Debug)]
struct LookupState {
    ask: AskStream,
    /// When the request arrived, on the local monotonic clock.
    arrived_at: Duration,
    /// When the lookup has to end.
    until: Instant,
    knowledge: StreamKnowledge,
    /// Number of instances that answered in one round.
    answers: usize,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Finds the software that may continue a stream. `meta` is that of the
    /// request that resumes it.
    pub(super) async fn find_stream_software(
        self: &Arc<Self>,
        stream: &CallerStream,
        meta: &RequestMeta,
    ) -> StreamSoftware {
        let ask = AskStream {
            key: stream.key.clone(),
            pool: stream.pool.clone(),
            confirm: false,
        };
        let (started, now) = (Instant::now(), self.clock.now());
        let left = meta.deadline.saturating_sub(now);
        let mut state = LookupState {
            arrived_at: meta.received,
            // Some of the time is left for the request itself.
            until: started + LOOKUP_TIMEOUT.min(left * 3 / 4),
            knowledge: self.own_knowledge(&ask, meta.received),
            answers: 0,
            ask,
        };
        let own = self
            .tables
            .streams
            .lock()
            .began
            .find_record(&stream.key, now);
        if state.knowledge.began_by.is_none() {
            self.ask_for_knowledge(&mut state).await;
        }
        let found = self.choose_stream_software(&state);
        let lookup = StreamLookup {
            knowledge: &state.knowledge,
            answers: state.answers,
            source: self.binding_source(&found, own, state.arrived_at),
            is_usable: !matches!(found, StreamSoftware::Refused(_)),
            took: started.elapsed(),
        };
        self.log_lookup(&stream.key, &meta.id, &lookup);
        found
    }

    /// Tells by what a lookup found the software. `own` is what this instance had
    /// on record of the stream before it asked others.
    fn binding_source(
        &self,
        found: &StreamSoftware,
        own: Option<StreamRecord>,
        arrived_at: Duration,
    ) -> BindingSource {
        let is_own_read = self.has_read_marks_since(arrived_at);
        match (found, own) {
            (StreamSoftware::Known(_), Some(record)) => BindingSource::Own(record),
            (StreamSoftware::Known(_), None) => BindingSource::Asked,
            (StreamSoftware::Only(_), _) if is_own_read => BindingSource::Store,
            (StreamSoftware::Only(_), _) => BindingSource::Others,
            (StreamSoftware::NoTarget | StreamSoftware::Refused(_), _) => BindingSource::None,
        }
    }

    /// Asks others for the stream, and the store for the software of its pool,
    /// until it is known what may continue the stream.
    async fn ask_for_knowledge(self: &Arc<Self>, state: &mut LookupState) {
        let has_several = |state: &LookupState| state.knowledge.possible_versions.len() > 1;
        let started = Instant::now();
        let is_several_at_first = has_several(state);
        let until = match is_several_at_first {
            true => state.until,
            false => {
                self.mark_reads.want(state.arrived_at);
                state.until.min(started + CONFIRM_TIMEOUT)
            }
        };
        self.ask_round(state, until).await;
        if state.knowledge.began_by.is_some() || is_several_at_first {
            return;
        }
        let read_until = state.until.min(started + READ_TIMEOUT);
        self.mark_reads.wait_for(state.arrived_at, read_until).await;
        self.add_own_knowledge(state);
        match state.knowledge.binding(&state.ask.pool) {
            // The read told of another version, so others may need longer.
            Binding::OneOfSeveral => self.ask_round(state, state.until).await,
            Binding::Unconfirmed(_) => {
                state.ask.confirm = true;
                self.confirm_by_others(state).await;
            }
            _ => {}
        }
    }

    /// Has others read the marks, while this instance's own read may still be
    /// answered.
    async fn confirm_by_others(self: &Arc<Self>, state: &mut LookupState) {
        let (arrived_at, until) = (state.arrived_at, state.until);
        tokio::select! {
            () = self.ask_round(state, until) => {}
            () = self.mark_reads.wait_for(arrived_at, until) => {}
        }
        self.add_own_knowledge(state);
    }

    async fn ask_round(self: &Arc<Self>, state: &mut LookupState, until: Instant) {
        let limit = until.saturating_duration_since(Instant::now());
        let asked = self.ask_others(&state.ask, limit).await;
        state.answers = state.answers.max(asked.answers);
        state.knowledge.merge(asked.knowledge);
    }

    fn add_own_knowledge(self: &Arc<Self>, state: &mut LookupState) {
        let own = self.own_knowledge(&state.ask, state.arrived_at);
        state.knowledge.merge(own);
    }

    fn choose_stream_software(&self, state: &LookupState) -> StreamSoftware {
        let pool = &state.ask.pool;
        let has_target = |software: &SoftwareVersion| {
            let fleet = self.tables.fleet.lock();
            fleet.has_software(pool, software)
        };
        match state.knowledge.binding(pool) {
            Binding::Known(software) if has_target(&software) => StreamSoftware::Known(software),
            Binding::Only(software) if has_target(&software) => StreamSoftware::Only(software),
            Binding::Known(_) | Binding::Only(_) | Binding::OtherPool => {
                StreamSoftware::Refused(None)
            }
            Binding::NoTarget => StreamSoftware::NoTarget,
            Binding::OneOfSeveral => {
                let is_worth_a_retry = state.answers == 0 && self.knows_other_instances();
                StreamSoftware::Refused(is_worth_a_retry.then_some(UNKNOWN_RETRY_AFTER))
            }
            Binding::Unconfirmed(_) => StreamSoftware::Refused(Some(UNKNOWN_RETRY_AFTER)),
        }
    }

    /// Answers another instance. A hub asks the others of its region for an
    /// instance that is none.
    pub(crate) async fn answer_for_stream(
        self: &Arc<Self>,
        from: &Identity,
        ask: &AskStream,
    ) -> StreamKnowledge {
        let asked_at = self.clock.now();
        let mut knowledge = self.own_knowledge(ask, asked_at);
        if knowledge.began_by.is_some() {
            return knowledge;
        }
        // Others were asked for the stream before.
        if ask.confirm {
            self.mark_reads.want(asked_at);
            let until = Instant::now() + READ_TIMEOUT;
            self.mark_reads.wait_for(asked_at, until).await;
            return self.own_knowledge(ask, asked_at);
        }
        let topology = Arc::clone(&self.topology.lock());
        let is_asked_by_hub = topology.other_hubs.contains(&from.instance);
        if topology.is_hub && !is_asked_by_hub {
            let links = self.links_to_region_hubs();
            let limit = match knowledge.possible_versions.len() > 1 {
                true => LOOKUP_TIMEOUT,
                false => CONFIRM_TIMEOUT,
            };
            let asked = ask_each(ask, links, limit / HUB_LIMIT_DIVISOR).await;
            knowledge.merge(asked.knowledge);
        }
        knowledge
    }

    /// Observes the software on record, and returns what this instance itself
    /// knows of a stream for a request that it has since `requested_at`.
    fn own_knowledge(self: &Arc<Self>, ask: &AskStream, requested_at: Duration) -> StreamKnowledge {
        let now = self.clock.now();
        self.observe_software(now);
        let read_era = self.store_lag.read_revision().era;
        let marks_read_at = self.mark_reads.completed();
        let streams = self.tables.streams.lock();
        // The marks may be read before the records are read anew.
        let is_restored_store = read_era.max(streams.marks_era) > 0;
        let lifetime = streams.began.lifetime();
        StreamKnowledge {
            began_by: streams.began.find(&ask.key, now).cloned(),
            possible_versions: streams.software.possible(&ask.pool, now),
            history: History::of(
                is_restored_store,
                now,
                lifetime,
                requested_at,
                marks_read_at,
            ),
        }
    }

    fn has_read_marks_since(&self, at: Duration) -> bool {
        self.mark_reads
            .completed()
            .is_some_and(|read_at| read_at >= at)
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

/// Asks several instances at once, until one knows the stream or has confirmed
/// what it was to confirm, all have answered or the limit has passed.
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
        asked.knowledge.merge(answer);
        let is_confirmed = asked.knowledge.history == History::Confirmed;
        if asked.knowledge.began_by.is_some() || (ask.confirm && is_confirmed) {
            break;
        }
    }
    asked
}

async fn ask_one(link: &Link<Up>, ask: &AskStream, until: Instant) -> Option<StreamKnowledge> {
    let asking = link.ask(Stamp::default(), Message::AskStream(ask.clone()));
    let answer = tokio::time::timeout_at(until, asking).await;
    match answer.ok()?.ok()?.message {
        Message::StreamInfo(knowledge) => Some(knowledge),
        _ => None,
    }
}
