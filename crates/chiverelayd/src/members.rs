//! The other instances: who they are, which of them live, and links to them.

mod discover;
mod heartbeat;
mod record;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chiverelay_decisions::gateway::Sibling;
use chiverelay_decisions::membership;
use chiverelay_decisions::membership::MemberStatus;
use chiverelay_decisions::membership::Profile;
use chiverelay_decisions::membership::RemoteSummaries;
use chiverelay_decisions::membership::Roster;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::tables::LockRank;
use chiverelay_decisions::tables::RankedMutex;
use chiverelay_sibling as sibling;
use chiverelay_sibling::Link;
use chiverelay_sibling::Up;
use chiverelay_store as store;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::context::Context;
use crate::settings::Settings;
use crate::shares;

pub(crate) use heartbeat::answer;
pub(crate) use heartbeat::leave;

/// Time between two rounds of heartbeats.
const INTERVAL: Duration = Duration::from_secs(1);

/// The addresses that an instance listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Addresses {
    /// For callers.
    pub(crate) caller: SocketAddr,
    /// For operators.
    pub(crate) operator: SocketAddr,
    /// For siblings.
    pub(crate) sibling: SocketAddr,
    /// Where the endpoint for siblings listens.
    pub(crate) listening: SocketAddr,
}

/// An instance that is not known to be dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    /// Name.
    pub(crate) instance: Instance,
    /// Where it is.
    pub(crate) profile: Profile,
    /// Configuration version, as last heard.
    pub(crate) config_version: u64,
}

/// What this instance knows of membership.
///
/// # Invariants
///
/// The locks here are of one rank and never held together.
#[derive(Debug)]
pub(crate) struct Membership {
    roster: RankedMutex<Roster>,
    /// What other regions have of each pool.
    summaries: RankedMutex<RemoteSummaries>,
    /// Instances that the registry lists as leaving.
    leaving: RankedMutex<HashSet<Instance>>,
    /// The lease of the record, on which the record of a holder of shares
    /// hangs too. It is renewed in one place only.
    lease: watch::Sender<Option<store::Lease<store::Held>>>,
}

impl Membership {
    /// Starts with this instance alone.
    pub(crate) fn new(settings: &Settings, addresses: &Addresses, wall: Duration) -> Self {
        let profile = Profile {
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            caller: addresses.caller,
            operator: addresses.operator,
            sibling: addresses.sibling,
        };
        let incarnation = wall.as_millis() as u64;
        let roster = Roster::new(settings.instance.clone(), incarnation, profile);
        Self {
            roster: RankedMutex::new(LockRank::Members, roster),
            summaries: RankedMutex::new(LockRank::Members, RemoteSummaries::default()),
            leaving: RankedMutex::new(LockRank::Members, HashSet::new()),
            lease: watch::Sender::new(None),
        }
    }

    /// Returns the incarnation of this instance.
    pub(crate) fn incarnation(&self) -> u64 {
        self.roster.lock().own_update().incarnation
    }

    /// Follows the instance's lease in the store.
    pub(crate) fn lease(&self) -> watch::Receiver<Option<store::Lease<store::Held>>> {
        self.lease.subscribe()
    }
}

/// Keeps the record and the roster until the instance stops.
pub(crate) async fn run(cx: Arc<Context>) {
    tokio::spawn(record::run(Arc::clone(&cx)));
    tokio::spawn(discover::run(Arc::clone(&cx)));
    tokio::spawn(discover::follow_registry(Arc::clone(&cx)));
    let mut rounds = tokio::time::interval(INTERVAL);
    // A round that waited for answers is not made up for.
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = cx.stop.cancelled() => return,
            _ = rounds.tick() => {}
        }
        record::check(&cx);
        let now = cx.clock.now();
        cx.membership.roster.lock().tick(now);
        heartbeat::round(&cx).await;
        cx.metrics.queue_depth(cx.pool.waiting());
        cx.metrics.store_calls(cx.store.gate().calls());
    }
}

/// Sets the own status and version in the roster.
fn refresh_own(cx: &Context) {
    let version = cx.tables.config.get().version;
    let status = if cx.drain.is_cancelled() {
        MemberStatus::Leaving
    } else if cx.synced.load(Ordering::Acquire) && shares::is_ready(cx) {
        MemberStatus::Serving
    } else {
        MemberStatus::Starting
    };
    cx.membership.roster.lock().set_own(status, version);
}

/// An instance as the tables are to have it.
struct Row {
    member: Member,
    dead: bool,
    reached: bool,
    serving: bool,
}

fn row(roster: &Roster, name: &Instance, known: &membership::Member, now: Duration) -> Row {
    Row {
        member: Member {
            instance: name.clone(),
            profile: known.profile.clone(),
            config_version: known.config_version,
        },
        dead: known.status() == MemberStatus::Dead,
        reached: roster.is_reachable(known, now),
        serving: roster.is_live(known, now),
    }
}

/// Brings the tables in line with the roster.
fn update_tables(cx: &Context) {
    let now = cx.clock.now();
    let roster = cx.membership.roster.lock();
    let members = roster.members().iter();
    let rows: Vec<_> = members
        .map(|(name, known)| row(&roster, name, known, now))
        .collect();
    drop(roster);
    let up = rows.iter().filter(|row| !row.dead).count();
    cx.store.gate().set_fleet(up as u32 + 1);
    for row in rows {
        update_row(cx, row, now);
    }
}

/// Brings the tables in line with what the roster has of one instance.
fn update_one(cx: &Context, name: &Instance) {
    let now = cx.clock.now();
    let roster = cx.membership.roster.lock();
    let known = roster.members().get(name);
    let row = known.map(|known| row(&roster, name, known, now));
    drop(roster);
    if let Some(row) = row {
        update_row(cx, row, now);
    }
}

fn update_row(cx: &Context, row: Row, now: Duration) {
    let name = row.member.instance.clone();
    let serving = row.serving && !cx.membership.leaving.lock().contains(&name);
    if row.reached {
        let region = &row.member.profile.region;
        let is_known = cx.tables.siblings.with(&name, |s| s.is_some());
        let summaries = match is_known {
            true => Vec::new(),
            false => cx.membership.summaries.lock().in_region(region),
        };
        let make = || Sibling {
            region: region.clone(),
            last_heard: now,
            serving,
            summaries,
        };
        cx.tables.siblings.with_or_insert(&name, make, |sibling| {
            sibling.last_heard = now;
            sibling.serving = serving;
        });
    } else {
        cx.tables.siblings.remove(&name);
    }
    if !row.dead {
        cx.members.insert(name, row.member);
        return;
    }
    if cx.members.remove(&name).is_some() {
        log::info!("members: {name} is dead");
    }
    if let Some(link) = cx.links.remove(&name) {
        // Others may be wrong about it. A dead one ends its link by silence.
        drop(link.drain());
    }
}

/// Returns the region of an instance, also of one that is dead.
pub(crate) fn region(cx: &Context, instance: &Instance) -> Option<Region> {
    if *instance == cx.settings.instance {
        return Some(cx.settings.region.clone());
    }
    let roster = cx.membership.roster.lock();
    let known = roster.members().get(instance);
    known.map(|known| known.profile.region.clone())
}

/// Returns a link to an instance, made if there is none.
pub(crate) async fn link(cx: &Context, instance: &Instance) -> Result<Link<Up>, sibling::Error> {
    let open = cx.links.with(instance, |link| link.cloned());
    if let Some(link) = open
        && !link.is_lost()
    {
        return Ok(link);
    }
    let profile = cx.members.with(instance, |m| m.map(|m| m.profile.clone()));
    let Some(profile) = profile else {
        return Err(sibling::Error::Connect {
            instance: instance.clone(),
            reason: "no such instance".to_owned(),
        });
    };
    let link = cx
        .endpoint
        .connect(instance, &profile.region, profile.sibling)
        .await?;
    cx.links.insert(instance.clone(), link.clone());
    Ok(link)
}
