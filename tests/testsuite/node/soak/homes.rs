//! Homes of routes and accounts that move in the course of a run.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;

use super::Profile;
use super::arrivals::Arrivals;
use super::callers::Seen;
use super::changes::APPLY_TIME;
use super::checks::Violation;
use super::record::Scope;
use super::targets::region_of_target;
use super::world::Soak;

/// Regions in which requests may run; all if there are none.
pub(super) type Homes = &'static [&'static str];

/// Values of homes. Those of a route and of an account have a region in common.
const HOMES: [Homes; 4] = [
    &[],
    &["north", "south"],
    &["south", "west"],
    &["north", "west"],
];

/// Pause between two moves, in ms.
const PAUSE_MS: std::ops::Range<u64> = 300..2000;

/// The same where one configuration is to be in force for a while.
const LONG_PAUSE_MS: std::ops::Range<u64> = 2000..7000;

/// Time without a fault after which an instance has the latest configuration:
/// `contact_ms` of the settings.
pub(super) const CONTACT_TIME: Duration = Duration::from_millis(5000);

/// Tells whether homes allow a region.
pub(super) fn allow(homes: Homes, region: &str) -> bool {
    homes.is_empty() || homes.contains(&region)
}

/// Returns the homes that are two regions.
pub(super) fn of_both(one: &str, other: &str) -> Homes {
    let is_both = |homes: &&Homes| homes.contains(&one) && homes.contains(&other);
    HOMES.iter().find(is_both).expect("each pair has a value")
}

/// Moves the homes of a route or of the account again and again.
pub(super) async fn run(soak: &Soak, profile: Profile, until: Instant, rng: &mut StdRng) {
    let pause_ms = match profile {
        Profile::Outage => LONG_PAUSE_MS,
        _ => PAUSE_MS,
    };
    while Instant::now() < until {
        let pause = Duration::from_millis(rng.random_range(pause_ms.clone()));
        tokio::time::sleep(pause).await;
        let homes = HOMES[rng.random_range(0..HOMES.len())];
        soak.changes.move_homes(&soak.site.store, homes, rng);
    }
}

/// Returns the requests that reached a target of a region which no configuration
/// that may have been in force allowed.
pub(super) fn violations(soak: &Soak, seen: &[Seen], arrivals: &Arrivals) -> Vec<Violation> {
    let outside = seen.iter().filter_map(|one| {
        let mut arrived = arrivals.all(&one.id).iter();
        let outside = arrived.find(|arrived| {
            let until = one.ended.max(arrived.at);
            !is_allowed(soak, one, arrived.target, until)
        })?;
        let mut violation = Violation::new(one, "reached a target outside its homes");
        let region = region_of_target(outside.target);
        let after = outside.at - one.sent;
        violation.seen = format!("in {region} after {after:?}: {}", violation.seen);
        Some(violation)
    });
    outside.collect()
}

fn is_allowed(soak: &Soak, one: &Seen, target: usize, until: Instant) -> bool {
    let region = region_of_target(target);
    let is_passed_by = |at: usize| at == one.at || soak.places[at].region == region;
    let applied = |written| applied_by(soak, written, is_passed_by);
    let homes = soak.changes.homes(one.path, one.sent, until, applied);
    let mut allowed = homes
        .into_iter()
        .map(|(route, account)| allow(route, region) && allow(account, region));
    allowed.any(|is_allowed| is_allowed)
}

/// Returns when a configuration is in force at the instances that a request is
/// passed by: once it had time to be applied and they were in touch with the store.
pub(super) fn applied_by<F>(soak: &Soak, written: Instant, is_passed_by: F) -> Option<Instant>
where
    F: Fn(usize) -> bool,
{
    let counts = |scope| match scope {
        Scope::Store => true,
        Scope::Instance(at) | Scope::StoreLink(at) => is_passed_by(at),
        Scope::Target(_) => false,
    };
    let applied = written + APPLY_TIME;
    soak.record.calm_after(applied, CONTACT_TIME, counts)
}
