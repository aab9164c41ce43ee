//! Hands used tickets over to a sibling when the instance stops as planned.

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::handover::Decider;
use chiverelay_decisions::handover::HandoverCommit;
use chiverelay_decisions::handover::HandoverPart;
use chiverelay_decisions::handover::Sealed;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::rendezvous;
use chiverelay_decisions::tickets::Origin;
use chiverelay_sibling::Identity;
use chiverelay_sibling::Message;
use tokio::task::JoinSet;

use crate::context::Context;
use crate::members;
use crate::operations;

/// Siblings that may be the heir of an origin.
///
/// More come to stand before the heir only if so many instances of the region
/// start within the life of a ticket and are chosen before it.
const HEIRS: usize = 3;

/// Time for one message.
const TRY: Duration = Duration::from_secs(1);

/// Time for all of it.
const LIMIT: Duration = Duration::from_secs(10);

/// Time between two tries of a commit.
const PAUSE: Duration = Duration::from_millis(100);

/// Returns who may decide on an origin's tickets in place of its issuer: the
/// first of its region, those that leave included.
pub(crate) fn heirs(cx: &Context, origin: &Origin) -> Vec<Instance> {
    let mut heirs = chosen(cx, origin, false);
    for heir in chosen(cx, origin, true) {
        if !heirs.contains(&heir) {
            heirs.push(heir);
        }
    }
    heirs
}

fn chosen(cx: &Context, origin: &Origin, serving: bool) -> Vec<Instance> {
    let region = members::region(cx, &origin.issuer);
    let region = region.unwrap_or_else(|| cx.settings.region.clone());
    let mut names = Vec::new();
    if region == cx.settings.region && !(serving && cx.drain.is_cancelled()) {
        names.push(cx.settings.instance.clone());
    }
    cx.tables.siblings.for_each(|name, s| {
        if s.region == region && (s.serving || !serving) {
            names.push(name.clone());
        }
    });
    let chosen = rendezvous::top_names(&origin.to_string(), &names, HEIRS);
    chosen.into_iter().cloned().collect()
}

/// Stops deciding on tickets and hands them over, as far as there is time.
pub(crate) async fn run(cx: &Arc<Context>) {
    let sealed = cx
        .operations
        .deciders()
        .seal(rand::random(), cx.clock.now());
    let mut handed = JoinSet::new();
    for decider in sealed {
        let cx = Arc::clone(cx);
        handed.spawn(async move { hand_over(&cx, decider).await });
    }
    if tokio::time::timeout(LIMIT, handed.join_all())
        .await
        .is_err()
    {
        log::warn!("handover: no time for all tickets");
    }
}

async fn hand_over(cx: &Context, decider: Decider<Sealed>) {
    let origin = decider.origin();
    for heir in chosen(cx, &origin, true) {
        if !tell_parts(cx, &heir, &decider).await {
            continue;
        }
        // From here on no other heir is asked, as this one may have it.
        let commit = Message::Commit(decider.commit());
        match committed(cx, &heir, commit).await {
            true => log::info!("handover: {heir} has the tickets of {origin}"),
            false => log::warn!("handover: {heir} has lost the tickets of {origin}"),
        }
        return;
    }
    log::info!("handover: nobody takes the tickets of {origin}");
}

/// Tells the commit until it is answered.
async fn committed(cx: &Context, heir: &Instance, commit: Message) -> bool {
    loop {
        let reply = operations::send(cx, heir, commit.clone(), TRY).await;
        if let Some(Message::Word(taken)) = reply {
            return taken;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn tell_parts(cx: &Context, heir: &Instance, decider: &Decider<Sealed>) -> bool {
    for part in decider.parts() {
        if !agrees(cx, heir, Message::Part(part.clone())).await {
            return false;
        }
    }
    true
}

async fn agrees(cx: &Context, heir: &Instance, message: Message) -> bool {
    let reply = operations::send(cx, heir, message, TRY).await;
    matches!(reply, Some(Message::Word(true)))
}

/// Takes a part of a sibling's tickets.
pub(crate) fn take_part(cx: &Context, from: &Identity, part: HandoverPart) -> bool {
    let now = cx.clock.now();
    let mut deciders = cx.operations.deciders();
    from.region == cx.settings.region && deciders.receive_part(part, now)
}

/// Becomes the decider of a sibling's tickets.
pub(crate) fn take_commit(cx: &Context, from: &Identity, commit: HandoverCommit) -> bool {
    let now = cx.clock.now();
    let mut deciders = cx.operations.deciders();
    from.region == cx.settings.region && deciders.receive_commit(commit, now)
}
