//! What began a stream that a caller resumes.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::event::Stamp;
use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::streams;
use chiverelay_sibling::AskStream;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Link;
use chiverelay_sibling::Message;
use chiverelay_sibling::StreamOrigin;
use chiverelay_sibling::Up;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::Dialect;
use crate::Gateway;
use crate::Inbound;

/// Time limit for a hub to answer, in which it may ask the others of its region.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// Time limit for a hub to answer another hub, or the part of [`ASK_TIMEOUT`] in
/// which a hub asks the others for an instance that is none.
const HUB_TIMEOUT: Duration = Duration::from_millis(400);

/// Which answers of other instances are waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answers {
    /// The first one, whatever it says.
    First,
    /// The first one that knows the stream, or all.
    UntilKnown,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Returns the software that may continue the stream that a request resumes.
    /// `None` if the pool has had no target at all.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run if the software that began the stream is
    /// not known, or has no target left.
    pub(crate) async fn find_stream_software(
        self: &Arc<Self>,
        inbound: &Inbound,
        pool: &Pool,
    ) -> Result<Option<SoftwareVersion>, Refusal> {
        let ask = AskStream {
            id: inbound.stream_id().clone(),
            pool: pool.clone(),
        };
        let mut origin = self.know_of_stream(&ask);
        if origin.software.is_none() {
            let links = self.links_for_streams();
            let asked = ask_for(&ask, links, answers_needed(&origin), ASK_TIMEOUT).await;
            merge(&mut origin, asked);
        }
        let software = streams::software_of_stream(origin.software, &origin.possible);
        log::info!(
            target: "streams",
            id = inbound.id.as_str(),
            began_as = ask.id.as_str(),
            software = software.as_ref().map_or("", SoftwareVersion::as_str),
            possible = origin.possible.len();
            "caller resumes a stream"
        );
        let is_served = |software: &SoftwareVersion| {
            let fleet = self.tables.fleet.lock();
            fleet.has_software(pool, software)
        };
        match software {
            Some(software) if is_served(&software) => Ok(Some(software)),
            None if origin.possible.is_empty() => Ok(None),
            _ => Err(Refusal::not_run(
                Code::NotResumable,
                Step::Place,
                Peer::Local,
            )),
        }
    }

    /// Answers another instance. A hub asks the others of its region for an
    /// instance that is none.
    pub(crate) async fn answer_for_stream(
        self: &Arc<Self>,
        from: &Identity,
        ask: &AskStream,
    ) -> StreamOrigin {
        let mut origin = self.know_of_stream(ask);
        let topology = Arc::clone(&self.topology.lock());
        let is_asked_by_hub = topology.other_hubs.contains(&from.instance);
        if origin.software.is_none() && topology.is_hub && !is_asked_by_hub {
            let links = self.links_to_region_hubs();
            let asked = ask_for(ask, links, answers_needed(&origin), HUB_TIMEOUT).await;
            merge(&mut origin, asked);
        }
        origin
    }

    /// Returns what this instance itself knows of a stream.
    fn know_of_stream(self: &Arc<Self>, ask: &AskStream) -> StreamOrigin {
        let now = self.clock.now();
        self.observe_software(now);
        let streams = self.tables.streams.lock();
        StreamOrigin {
            software: streams.began.find(&ask.id, &ask.pool, now),
            possible: streams.software.possible(&ask.pool, now),
        }
    }

    /// Lists the links to the instances that were told of this region's streams.
    fn links_for_streams(&self) -> Vec<Link<Up>> {
        let is_hub = self.topology.lock().is_hub;
        match is_hub {
            true => self.links_to_region_hubs(),
            false => self.links_to_hubs(self.clock.now()),
        }
    }
}

/// With one version of software, others are only asked whether they know of
/// more.
fn answers_needed(origin: &StreamOrigin) -> Answers {
    match origin.possible.len() > 1 {
        true => Answers::UntilKnown,
        false => Answers::First,
    }
}

/// Asks several instances at once.
async fn ask_for(
    ask: &AskStream,
    links: Vec<Link<Up>>,
    answers: Answers,
    limit: Duration,
) -> StreamOrigin {
    let asked = links.iter().map(|link| ask_one(link, ask, limit));
    let mut asked: FuturesUnordered<_> = asked.collect();
    let mut origin = StreamOrigin::default();
    while let Some(answer) = asked.next().await {
        let Some(answer) = answer else {
            continue;
        };
        merge(&mut origin, answer);
        if origin.software.is_some() || answers == Answers::First {
            break;
        }
    }
    origin
}

async fn ask_one(link: &Link<Up>, ask: &AskStream, limit: Duration) -> Option<StreamOrigin> {
    let asking = link.ask(Stamp::default(), Message::AskStream(ask.clone()));
    let answer = tokio::time::timeout(limit, asking).await;
    match answer.ok()?.ok()?.message {
        Message::StreamOrigin(origin) => Some(origin),
        _ => None,
    }
}

/// Adds what another instance knows.
fn merge(origin: &mut StreamOrigin, other: StreamOrigin) {
    origin.software = origin.software.take().or(other.software);
    for software in other.possible {
        if !origin.possible.contains(&software) {
            origin.possible.push(software);
        }
    }
}
