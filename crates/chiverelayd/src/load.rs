//! Polls the load and the cache events of this region's engines.
//!
//! Each engine is polled by one instance of its region, chosen by rendezvous
//! hashing among those that serve. It passes changed reports on to the others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::config::PoolEntry;
use chiverelay_decisions::config::PoolKind;
use chiverelay_decisions::gateway;
use chiverelay_decisions::gateway::Tables;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Pool;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::placement::LoadReport;
use chiverelay_decisions::placement::prefix;
use chiverelay_decisions::silence;
use chiverelay_sibling::Message;
use chiverelay_sibling::TargetLoad;
use chiverelay_target as target;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use xxhash_rust::xxh3::xxh3_64;

use crate::context::Context;
use crate::members;

/// Time between two polls of an engine.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time for an engine to answer a poll.
const TIMEOUT: Duration = Duration::from_millis(800);

/// An unchanged report is passed on with every so many polls.
const REFRESH: u64 = 5;

/// Time for siblings to take the reports.
const PASS_TIMEOUT: Duration = Duration::from_millis(800);

/// Reports passed on last, by target.
type Passed = HashMap<Target, LoadReport>;

/// When the first of the polls was sent that a target has not answered since.
type Silences = HashMap<Target, Duration>;

/// What came of a poll.
enum Polled {
    /// The engine's report.
    Report(LoadReport),
    /// No answer came in time. The poll was sent at this time.
    Unanswered(Duration),
    /// The engine publishes no report, or the poll failed.
    Nothing,
}

/// Polls until the instance stops.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut passed = Passed::new();
    let mut silences = Silences::new();
    for round in 0_u64.. {
        tokio::select! {
            () = cx.stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let peers = peers(&cx);
        let polled = poll(&cx, &peers).await;
        let reports = note_silences(&cx, &mut silences, polled);
        if round.is_multiple_of(REFRESH) {
            passed.clear();
        }
        let loads = changed(&mut passed, reports);
        if !loads.is_empty() {
            pass_on(&cx, &peers, loads).await;
        }
        cx.pump();
    }
}

/// Lists the other instances of the region that serve.
fn peers(cx: &Context) -> Vec<Instance> {
    let mut peers = Vec::new();
    cx.tables.siblings.for_each(|name, sibling| {
        if sibling.serving && sibling.region == cx.settings.region {
            peers.push(name.clone());
        }
    });
    peers
}

/// Tells whether this instance polls a target.
fn is_mine(cx: &Context, peers: &[Instance], target: &Target) -> bool {
    let key = xxh3_64(target.as_str().as_bytes());
    let own = prefix::rendezvous_weight(key, cx.settings.instance.as_str());
    peers
        .iter()
        .all(|p| prefix::rendezvous_weight(key, p.as_str()) <= own)
}

/// Polls the engines that are this instance's to poll.
async fn poll(cx: &Arc<Context>, peers: &[Instance]) -> Vec<(Pool, Target, Polled)> {
    let config = cx.tables.config.get();
    let mut polls = JoinSet::new();
    for (pool, entry) in &config.pools {
        if entry.kind != PoolKind::Engine {
            continue;
        }
        for (name, entry) in &entry.targets {
            if entry.region != cx.settings.region || !is_mine(cx, peers, name) {
                continue;
            }
            let (cx, pool, name) = (Arc::clone(cx), pool.clone(), name.clone());
            let address = entry.address;
            polls.spawn(async move {
                let polled = poll_one(&cx, &pool, &name, address).await;
                (pool, name, polled)
            });
        }
    }
    polls.join_all().await
}

/// Returns the reports. A poll without an answer counts as a failure once the
/// engine was silent for longer than a sound one.
fn note_silences(
    cx: &Context,
    silences: &mut Silences,
    polled: Vec<(Pool, Target, Polled)>,
) -> Vec<(Target, LoadReport)> {
    let now = cx.clock.now();
    let mut next = Silences::new();
    let mut reports = Vec::new();
    for (pool, name, polled) in polled {
        match polled {
            Polled::Report(report) => reports.push((name, report)),
            Polled::Unanswered(at) => {
                let since = silences.get(&name).copied().unwrap_or(at);
                if silence::is_failure(now.saturating_sub(since)) {
                    cx.observe(&pool, &name, gateway::record_failure);
                }
                next.insert(name, since);
            }
            Polled::Nothing => {}
        }
    }
    *silences = next;
    reports
}

async fn poll_one(cx: &Context, pool: &Pool, name: &Target, address: SocketAddr) -> Polled {
    let asked = cx.clock.now();
    let report = match target::fetch_load(&cx.targets, name, address, TIMEOUT).await {
        Ok(Some(report)) => report,
        Ok(None) => return Polled::Nothing,
        Err(target::Error::Timeout { .. }) => {
            log::debug!("load: {name}: no answer in time");
            return Polled::Unanswered(asked);
        }
        Err(e) => {
            log::debug!("load: {e}");
            note_failure(cx, pool, name, &e);
            return Polled::Nothing;
        }
    };
    let target = name.clone();
    let taken = move |tables: &Tables| {
        gateway::apply_load_report(tables, &target, report, asked);
        gateway::cache_sequence(tables, &target)
    };
    let Some(after) = cx.pool.consult(pool.as_str(), taken).await else {
        return Polled::Nothing;
    };
    match target::cache::fetch_events(&cx.targets, name, address, after, TIMEOUT).await {
        Ok(page) => apply(cx, pool, name, page.events),
        Err(e) => log::debug!("load: {e}"),
    }
    Polled::Report(report)
}

fn note_failure(cx: &Context, pool: &Pool, name: &Target, e: &target::Error) {
    match e {
        target::Error::Connect { .. } => cx.observe(pool, name, gateway::mark_unreachable),
        _ => cx.observe(pool, name, gateway::record_failure),
    }
}

fn apply(cx: &Context, pool: &Pool, name: &Target, events: Vec<target::cache::CacheEvent>) {
    let name = name.clone();
    cx.pool.tell(pool.as_str(), move |tables| {
        for event in &events {
            let (stored, removed) = (&event.stored, &event.removed);
            let applied =
                gateway::apply_cache_event(tables, &name, event.sequence, stored, removed);
            if let Err(gap) = applied {
                log::debug!(
                    "load: target {name}: cache events {} to {} are missing",
                    gap.last_applied + 1,
                    gap.received - 1
                );
            }
        }
    });
}

/// Returns the reports that say something new.
fn changed(passed: &mut Passed, reports: Vec<(Target, LoadReport)>) -> Vec<TargetLoad> {
    let same = |a: &LoadReport, b: &LoadReport| {
        LoadReport { sequence: 0, ..*a } == LoadReport { sequence: 0, ..*b }
    };
    reports
        .into_iter()
        .filter(|(name, report)| {
            let last = passed.insert(name.clone(), *report);
            last.is_none_or(|last| !same(&last, report))
        })
        .map(|(target, report)| TargetLoad { target, report })
        .collect()
}

async fn pass_on(cx: &Arc<Context>, peers: &[Instance], loads: Vec<TargetLoad>) {
    let mut sends = JoinSet::new();
    for peer in peers {
        let (cx, peer) = (Arc::clone(cx), peer.clone());
        let message = Message::Loads(loads.clone());
        sends.spawn(async move {
            let asked = async {
                let link = members::link(&cx, &peer).await?;
                link.ask(cx.events.latest(), message).await
            };
            if let Ok(Err(e)) = tokio::time::timeout(PASS_TIMEOUT, asked).await {
                log::debug!("load: {e}");
            }
        });
    }
    sends.join_all().await;
}

/// Takes note of reports that a sibling of this region passed on.
pub(crate) fn hear(cx: &Context, region: &Region, loads: &[TargetLoad]) {
    if *region != cx.settings.region {
        return;
    }
    let (config, now) = (cx.tables.config.get(), cx.clock.now());
    for load in loads {
        let has = |entry: &PoolEntry| entry.targets.contains_key(&load.target);
        // A target that is not known here yet is reported again soon.
        let Some((pool, _)) = config.pools.iter().find(|(_, entry)| has(entry)) else {
            continue;
        };
        let load = load.clone();
        cx.pool.tell(pool.as_str(), move |tables| {
            gateway::apply_load_report(tables, &load.target, load.report, now);
        });
    }
    cx.pump();
}
