//! The instances that a caller is told of.

use std::net::SocketAddr;
use std::time::Duration;

use chiverelay_decisions::directory;
use chiverelay_decisions::directory::Caller;
use chiverelay_decisions::directory::Candidate;
use chiverelay_decisions::directory::Distance;
use chiverelay_decisions::directory::NoInstanceReason;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::reachability::prefer_reaching;

use super::MemberRecord;
use super::MemberState;
use super::Members;
use super::table::Member;
use super::table::MemberTable;

/// The answer to a caller's lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Nearest {
    /// Where callers connect to the instances; empty if nobody is named.
    pub(crate) addresses: Vec<SocketAddr>,
    /// How far they are, or why there are none.
    pub(crate) distance: Result<Distance, NoInstanceReason>,
    /// What the answer rests on.
    pub(crate) basis: LookupBasis,
}

/// What was known of other instances when a caller asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LookupBasis {
    /// Number of ready instances in all regions, this one included.
    pub(crate) ready: usize,
    /// Number of other instances in the caller's region that have a record or
    /// still send status messages, ready or not.
    pub(crate) known_in_region: usize,
    /// Time since one of these was last heard of.
    pub(crate) silence_in_region: Option<Duration>,
}

/// A ready instance.
struct Ready<'a> {
    record: &'a MemberRecord,
    is_cut_off: bool,
}

impl Members {
    /// Lists the caller addresses of the ready instances nearest to a caller:
    /// those in its zone, else those in its region, else those in other regions
    /// where it may be led. The larger an instance, the more answers list it.
    /// Those that reach no target are left out while the others of the same
    /// distance are at least as many; `is_cut_off` tells that of this one.
    pub(crate) fn nearest_ready(
        &self,
        caller: &Caller,
        is_cut_off: bool,
        now: Duration,
    ) -> Nearest {
        let own = self.own.borrow().clone();
        let table = self.table.lock();
        let mut ready = list_ready(&table, now);
        if own.state == MemberState::Ready {
            let record = &own;
            ready.push(Ready { record, is_cut_off });
        }
        let basis = LookupBasis::new(&table, &caller.region, ready.len(), now);
        let distance = |ready: &Ready<'_>| {
            let record = ready.record;
            caller.distance_to(&record.zone, &record.region)
        };
        let nearest = ready.iter().filter_map(distance).min();
        let near = ready.into_iter().filter(|ready| distance(ready) == nearest);
        let near = match nearest {
            Some(_) => prefer_reaching(near.collect(), |ready| ready.is_cut_off),
            None => Vec::new(),
        };
        let near = near.into_iter().map(Candidate::from).collect();
        drop(table);
        let key = format!("{:x}", rand::random::<u64>());
        Nearest {
            addresses: directory::choose_advertised(near, &key),
            distance: nearest.ok_or_else(|| caller.host_regions.reason_for_none(basis.ready)),
            basis,
        }
    }
}

impl From<Ready<'_>> for Candidate<SocketAddr> {
    fn from(ready: Ready<'_>) -> Self {
        Self {
            instance: ready.record.instance.clone(),
            capacity: ready.record.capacity,
            address: ready.record.callers,
        }
    }
}

fn list_ready(table: &MemberTable, now: Duration) -> Vec<Ready<'_>> {
    let members = table.members.values();
    let ready = members.filter(|member| table.is_ready(member, now));
    let ready = ready.map(|member| Ready {
        record: &member.record,
        is_cut_off: member.is_cut_off,
    });
    ready.collect()
}

impl LookupBasis {
    fn new(table: &MemberTable, region: &Region, ready: usize, now: Duration) -> Self {
        let members = table.members.values();
        let in_region = members.filter(|member| member.record.region == *region);
        let seen: Vec<_> = in_region.map(Member::last_seen).collect();
        Self {
            ready,
            known_in_region: seen.len(),
            silence_in_region: seen.into_iter().max().map(|at| now.saturating_sub(at)),
        }
    }
}
