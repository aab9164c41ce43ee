//! Which of the nearest instances a caller is told of.
//!
//! A caller may always use its own region. It is led to another one only if that
//! bars at most a small share of the requests on the host's bound routes; otherwise
//! it is told of nobody and keeps the instances that it knows.
//!
//! Callers connect to the addresses that they are told of with equal
//! probability. Where instances differ in processor time, an answer that always
//! listed all of them would bring the small ones as many callers as the large
//! ones. An answer therefore lists each instance with a probability in
//! proportion to its capacity.

use std::collections::HashMap;

use crate::catalog::Catalog;
use crate::names::Instance;
use crate::names::Region;
use crate::names::Zone;
use crate::rendezvous;
use crate::route_use::BarredShare;
use crate::route_use::RouteUse;

/// Fewest instances in an answer, if there are as many: callers leave out those
/// that have just failed them.
const MIN_ADVERTISED: usize = 4;

/// How far an instance is from a caller. Nearer ones come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the caller's availability zone.
    SameZone,
    /// In the caller's region.
    SameRegion,
    /// In another region, in which all of the host's routes may run.
    OtherRegion,
    /// In another region, which bars a small share of the host's bound requests.
    OtherRegionPartlyBarred,
}

impl Distance {
    /// Returns the name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SameZone => "zone",
            Self::SameRegion => "region",
            Self::OtherRegion => "other region",
            Self::OtherRegionPartlyBarred => "partly barred",
        }
    }
}

/// Why a caller is told of no instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoInstanceReason {
    /// No instance of any region is ready.
    NoneReady,
    /// The share that each region bars is known, and no ready instance is in an
    /// allowed one.
    Barred,
    /// None is ready in an allowed region, and too few requests were seen to tell
    /// which share at least one region bars.
    UnknownShare,
    /// None is ready in the caller's region, and the catalog lacks the host.
    UnknownHost,
    /// None is ready in the caller's region, and there is no catalog yet.
    NoCatalog,
}

impl NoInstanceReason {
    /// Returns the name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoneReady => "none ready",
            Self::Barred => "barred",
            Self::UnknownShare => "unknown share",
            Self::UnknownHost => "unknown host",
            Self::NoCatalog => "no catalog",
        }
    }
}

/// The regions to which a host's callers may be led from their own one.
///
/// A caller sends the requests of all of the host's routes, with their bodies, to
/// the instances that it is told of. The catalog tells where these may go, and the
/// callers' requests how many of them a region bars. What isn't known is not
/// allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostRegions {
    /// There is no catalog yet.
    NoCatalog,
    /// The catalog has no route of the host.
    UnknownHost,
    /// How much of the host's bound requests each region bars.
    Known(HashMap<Region, BarredShare>),
}

impl HostRegions {
    /// Looks up what each of `regions` bars of a host's requests.
    pub fn find<'a, I>(
        catalog: Option<&Catalog>,
        route_use: &RouteUse,
        host: &str,
        regions: I,
    ) -> Self
    where
        I: IntoIterator<Item = &'a Region>,
    {
        let Some(catalog) = catalog else {
            return Self::NoCatalog;
        };
        if !catalog.has_host(host) {
            return Self::UnknownHost;
        }
        let share = |region: &Region| route_use.barred_share(catalog, host, region);
        let regions = regions.into_iter();
        Self::Known(regions.map(|r| (r.clone(), share(r))).collect())
    }

    fn distance_to(&self, region: &Region) -> Option<Distance> {
        let Self::Known(shares) = self else {
            return None;
        };
        match shares.get(region)? {
            BarredShare::Nothing => Some(Distance::OtherRegion),
            BarredShare::Small => Some(Distance::OtherRegionPartlyBarred),
            BarredShare::Large | BarredShare::Unknown => None,
        }
    }

    /// Returns why the host's callers are told of nobody while `ready` instances
    /// are ready, none of them in the caller's region.
    pub fn reason_for_none(&self, ready: usize) -> NoInstanceReason {
        match self {
            _ if ready == 0 => NoInstanceReason::NoneReady,
            Self::NoCatalog => NoInstanceReason::NoCatalog,
            Self::UnknownHost => NoInstanceReason::UnknownHost,
            Self::Known(shares) => {
                let mut shares = shares.values();
                match shares.any(|share| *share == BarredShare::Unknown) {
                    true => NoInstanceReason::UnknownShare,
                    false => NoInstanceReason::Barred,
                }
            }
        }
    }
}

/// A caller that asks for instances.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// Where the requests of its host may go.
    pub host_regions: HostRegions,
}

impl Caller {
    /// Returns how far an instance is, or `None` if the caller may not be led
    /// there, however few others are ready.
    pub fn distance_to(&self, zone: &Zone, region: &Region) -> Option<Distance> {
        if *zone == self.zone {
            return Some(Distance::SameZone);
        }
        if *region == self.region {
            return Some(Distance::SameRegion);
        }
        self.host_regions.distance_to(region)
    }
}

/// An instance that callers may be told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate<A> {
    /// Its name.
    pub instance: Instance,
    /// Processor time in thousandths of a core; 0 if it is not known.
    pub capacity: u32,
    /// Address at which callers connect.
    pub address: A,
}

/// Chooses the instances of one answer, the largest of which are in every one.
/// If all are equally large, all are chosen. `key` differs from answer to
/// answer.
pub fn choose_advertised<A>(candidates: Vec<Candidate<A>>, key: &str) -> Vec<A> {
    let largest = candidates.iter().map(|l| l.capacity).max().unwrap_or(0);
    let mut ranked: Vec<(f64, A)> = candidates
        .into_iter()
        .map(|candidate| (rank(&candidate, largest, key), candidate.address))
        .collect();
    ranked.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let listed = ranked.iter().take_while(|(rank, _)| *rank < 1.0).count();
    ranked.truncate(listed.max(MIN_ADVERTISED));
    ranked.into_iter().map(|(_, address)| address).collect()
}

/// Returns the rank of an instance, which is below 1 if the answer lists it:
/// always for the largest instances, and for others with a probability in
/// proportion to their capacity.
fn rank<A>(candidate: &Candidate<A>, largest: u32, key: &str) -> f64 {
    let random = rendezvous::weight(key, candidate.instance.as_str());
    // 53 bits are what a float holds, so the fraction stays below 1.
    let fraction = (random >> 11) as f64 / (1_u64 << 53) as f64;
    match candidate.capacity {
        0 => fraction,
        capacity => fraction * f64::from(largest) / f64::from(capacity),
    }
}

/// Returns how many times as many callers several instances have together as one
/// of them, given its capacity and those of the others.
pub fn callers_ratio<I>(own: u32, others: I) -> f64
where
    I: IntoIterator<Item = u32>,
{
    let of = |capacity: u32| match (own, capacity) {
        // Where one is not known, both count as equally large.
        (0, _) | (_, 0) => 1.0,
        _ => f64::from(capacity) / f64::from(own),
    };
    1.0 + others.into_iter().map(of).sum::<f64>()
}
