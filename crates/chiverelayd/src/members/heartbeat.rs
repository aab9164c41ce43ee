//! Heartbeats between instances.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::gateway;
use chiverelay_decisions::membership::GossipDigest;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_sibling as sibling;
use chiverelay_sibling::Heartbeat;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Link;
use chiverelay_sibling::Message;
use chiverelay_sibling::Up;
use tokio::task::JoinSet;

use super::link;
use super::record;
use super::refresh_own;
use super::update_one;
use super::update_tables;
use crate::context::Context;
use crate::keys;

/// Time for the answer to a heartbeat.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Sends this round's heartbeats and waits for their answers.
pub(super) async fn round(cx: &Arc<Context>) {
    refresh_own(cx);
    update_tables(cx);
    let now = cx.clock.now();
    let peers = cx.membership.roster.lock().heartbeat_recipients(now);
    let mut beats = JoinSet::new();
    for peer in peers {
        let cx = Arc::clone(cx);
        beats.spawn(async move { beat(&cx, &peer).await });
    }
    beats.join_all().await;
}

async fn beat(cx: &Arc<Context>, peer: &Instance) {
    let now = cx.clock.now();
    let (digest, tells_pools, passes_pools) = {
        let mut roster = cx.membership.roster.lock();
        let digest = roster.heartbeat_digest(peer, now);
        (
            digest,
            roster.sends_own_summaries(peer),
            roster.relays_summaries(peer),
        )
    };
    let pass = || cx.membership.summaries.lock().take_due(now);
    let message = Message::Heartbeat(Heartbeat {
        summaries: tells_pools
            .then(|| gateway::pool_summaries(&cx.tables, &cx.settings.region, now)),
        passed: passes_pools.then(pass).unwrap_or_default(),
        ..heartbeat(cx, digest)
    });
    let asked = async { exchange(cx, &link(cx, peer).await?, message).await };
    match tokio::time::timeout(TIMEOUT, asked).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => miss(cx, peer, &e.to_string()),
        Err(_) => miss(cx, peer, "no answer in time"),
    }
}

async fn exchange(
    cx: &Arc<Context>,
    link: &Link<Up>,
    message: Message,
) -> Result<(), sibling::Error> {
    let reply = link.ask(cx.events.latest(), message).await?;
    cx.events.advance_clock(reply.stamp);
    if let Message::Heartbeat(beat) = reply.message {
        hear(cx, link.peer(), &beat);
    }
    Ok(())
}

/// Asks seeds, one after the other, until one of them answers. Its answer has
/// every instance that it knows.
pub(super) async fn ask_seeds(cx: &Arc<Context>) {
    for seed in &cx.settings.seeds {
        let name = &seed.instance;
        if *name == cx.settings.instance {
            continue;
        }
        let digest = cx
            .membership
            .roster
            .lock()
            .heartbeat_digest(name, cx.clock.now());
        let message = Message::Heartbeat(heartbeat(cx, digest));
        let asked = async {
            let link = cx.endpoint.connect(name, &seed.region, seed.address);
            exchange(cx, &link.await?, message).await
        };
        match tokio::time::timeout(TIMEOUT, asked).await {
            Ok(Ok(())) => return,
            Ok(Err(e)) => log::debug!("members: seed {name}: {e}"),
            Err(_) => log::debug!("members: seed {name}: no answer in time"),
        }
    }
}

fn miss(cx: &Context, peer: &Instance, reason: &str) {
    log::debug!("members: {peer}: {reason}");
    let now = cx.clock.now();
    cx.membership
        .roster
        .lock()
        .record_missed_heartbeat(peer, now);
    update_one(cx, peer);
}

fn heartbeat(cx: &Context, digest: GossipDigest) -> Heartbeat {
    Heartbeat {
        digest,
        withdrawn: cx.tables.withdrawn_keys.lock().pending_digest(),
        summaries: None,
        passed: Vec::new(),
    }
}

/// Takes note of a sibling's heartbeat and returns the answer to it.
pub(crate) fn answer(cx: &Arc<Context>, from: &Identity, beat: &Heartbeat) -> Heartbeat {
    record::check(cx);
    hear(cx, from, beat);
    refresh_own(cx);
    let now = cx.clock.now();
    let digest = {
        let mut roster = cx.membership.roster.lock();
        roster.reply_digest(&from.instance, &beat.digest, now)
    };
    heartbeat(cx, digest)
}

/// Tells whether a digest's word on its speaker agrees with the certificate.
fn agrees(from: &Identity, digest: &GossipDigest) -> bool {
    let own = digest.updates.first();
    own.is_some_and(|word| {
        let profile = word.profile.as_ref();
        word.instance == from.instance && profile.is_some_and(|p| p.region == from.region)
    })
}

fn hear(cx: &Arc<Context>, from: &Identity, beat: &Heartbeat) {
    let name = &from.instance;
    if !agrees(from, &beat.digest) {
        log::warn!("members: {name}: the digest is not its own");
        return;
    }
    let now = cx.clock.now();
    cx.membership
        .roster
        .lock()
        .apply_digest(Some(name), &beat.digest, now);
    match beat.digest.updates.len() {
        1 => update_one(cx, name),
        _ => update_tables(cx),
    }
    hear_summaries(cx, from, beat, now);
    keys::compare(cx, name, beat.withdrawn);
}

/// Takes note of what regions have of each pool. Only an instance of this
/// region may speak for others.
fn hear_summaries(cx: &Context, from: &Identity, beat: &Heartbeat, now: Duration) {
    let here = &cx.settings.region;
    let mut regions = Vec::new();
    {
        let mut known = cx.membership.summaries.lock();
        if from.region == *here {
            known.record_relayed(&beat.passed, now);
            regions.extend(beat.passed.iter().map(|p| p.region.clone()));
        } else if let Some(summaries) = &beat.summaries {
            known.record_region(&from.region, summaries, now);
            regions.push(from.region.clone());
        }
    }
    for region in regions {
        update_summaries(cx, &region);
    }
}

/// Brings what the table of siblings has of a region's pools up to date.
fn update_summaries(cx: &Context, region: &Region) {
    let summaries = cx.membership.summaries.lock().in_region(region);
    let mut names = Vec::new();
    cx.tables.siblings.for_each(|name, sibling| {
        if sibling.region == *region {
            names.push(name.clone());
        }
    });
    for name in names {
        cx.tables.siblings.with(&name, |sibling| {
            if let Some(sibling) = sibling {
                sibling.summaries = summaries.clone();
            }
        });
    }
}

/// Tells siblings, the store and the registry that this instance leaves.
pub(crate) async fn leave(cx: &Arc<Context>) {
    let told = round(cx);
    let removed = record::remove(cx);
    let deregistered = async {
        if let Some(registry) = &cx.registry
            && let Err(e) = registry.deregister(&cx.settings.instance).await
        {
            log::warn!("members: {e}");
        }
    };
    tokio::join!(told, removed, deregistered);
}
