//! Placement of a request: selects a target in this region, or an instance in
//! another region to forward the request to.

mod cut_off;
mod extra_attempt;
mod refusals;
mod reserve;

use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::catalog::PoolSpec;
use chiverelay_decisions::catalog::RouteSpec;
use chiverelay_decisions::config::Residency;
use chiverelay_decisions::fleet::KnownTarget;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::SoftwareVersion;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::HasGrant;
use chiverelay_decisions::request::Origin;
use chiverelay_decisions::request::Placed;
use chiverelay_decisions::request::PlacedRemote;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::suspension::RequestDigest;
use chiverelay_decisions::traffic::Estimate;
use chiverelay_decisions::traffic::MIN_FORWARD_GAIN;
use chiverelay_decisions::traffic::NoTargetReason;
use chiverelay_decisions::traffic::PromptPart;
use chiverelay_decisions::traffic::RegionChoice;
use chiverelay_decisions::traffic::RegionShares;
use chiverelay_decisions::traffic::StatedLimitUse;
use chiverelay_decisions::traffic::TargetChoice;
use chiverelay_decisions::traffic::TargetQuery;

use crate::Dialect;
use crate::Gateway;
use crate::extra_attempt::ExtraAttemptOutcome;
use crate::members::SETTLING_TIME;
use crate::quarantine;
use crate::reservation_guard::ReservationGuard;
use crate::sent_count::SentCount;
use refusals::check_forward;
use refusals::check_prompts;
use refusals::check_wait;
use refusals::is_timely;
use refusals::refuse_no_target;

/// Assumed network round trip to any other region. It is added to the estimated
/// wait at that region's targets.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(115);

/// Properties of a request that its placement depends on, in addition to those
/// in [`Request`].
#[derive(Clone, Debug)]
pub(crate) struct PlacementContext {
    /// Route of the catalog that the request matched.
    pub(crate) route: Arc<RouteSpec>,
    /// Path of the request, without the query.
    pub(crate) path: Arc<str>,
    /// Pool of targets that serve the request.
    pub(crate) pool: Arc<PoolSpec>,
    /// Version of that catalog.
    pub(crate) catalog_version: u64,
    /// Priority of the request; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Whether no route of the pool has more urgent requests.
    pub(crate) is_most_urgent: bool,
    /// Digest of the request's content.
    pub(crate) digest: RequestDigest,
    /// Parts of the prompt, in order, by which cached prefixes are recognized.
    pub(crate) parts: Arc<[PromptPart]>,
    /// Length of the prompt in tokens, 0 if it was not stated.
    pub(crate) prompt_tokens: u64,
    /// Number of targets that may still run the request.
    pub(crate) attempts_left: u32,
    /// Number of targets that this instance sent the request to.
    pub(crate) sent_count: SentCount,
    /// Whether the answer has begun and is to be continued.
    pub(crate) is_resumed: bool,
    /// Software of the target that began the answer, once it has begun.
    pub(crate) software: Option<SoftwareVersion>,
    /// What became of the last extra attempt.
    pub(crate) extra_attempt: Option<ExtraAttemptOutcome>,
}

impl PlacementContext {
    /// Tells whether a target of this software may answer the request; `None` if
    /// its software is unknown.
    pub(crate) fn accepts_software(&self, software: Option<&SoftwareVersion>) -> bool {
        self.software.is_none() || self.software.as_ref() == software
    }
}

/// Destination of the next attempt at a caller's request.
#[derive(Debug)]
pub(crate) enum Destination<D>
where
    D: Dialect,
{
    /// A target in this region.
    Local(Box<LocalPlacement<D, Direct>>),
    /// An instance in another region, or in this one while this instance reaches
    /// no target.
    Remote(Request<PlacedRemote, Direct>),
}

/// A request with a reservation at a target in this region. `O` is the origin
/// of the request: a caller (`Direct`) or another instance (`Forwarded`).
#[derive(Debug)]
pub(crate) struct LocalPlacement<D, O>
where
    D: Dialect,
{
    /// The request, placed at the target.
    pub(crate) req: Request<Placed, O>,
    /// Reservation at the target.
    pub(crate) reservation: ReservationGuard<D>,
    /// Record of the target at the time of the choice.
    pub(crate) known_target: KnownTarget,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Chooses between a target in this region and an instance in another one.
    /// Another region is preferred only if its estimate is so much better that
    /// the round trip pays off.
    ///
    /// # Errors
    ///
    /// Refuses the request if no target can take it, or if it could not be
    /// answered before its deadline or the end of a shutdown.
    pub(crate) fn choose_destination(
        self: &Arc<Self>,
        req: Request<Admitted, Direct>,
        cx: &PlacementContext,
    ) -> Result<Destination<D>, Refusal> {
        let now = self.clock.now();
        self.check_shutdown(&req, cx, Duration::ZERO, now)?;
        self.check_crashes(&req, cx, now)?;
        let req = match self.place_at_substitute(req, cx, now) {
            Ok(placed) => return Ok(placed),
            Err(req) => *req,
        };
        let left = req.meta().deadline.saturating_sub(now);
        let (local, remote) = self.choose_regions(&req, cx, req.tried_targets(), now);
        if let Some(remote) = remote {
            match local {
                Err(reason) if reason.is_independent_of_load() => {
                    check_forward(&req, cx, &remote.estimate, left)?;
                }
                _ => check_wait(&req, cx, &remote.estimate, left)?,
            }
            self.check_shutdown(&req, cx, remote.estimate.queue_delay, now)?;
            // Without a local target, each instance forwards as its callers come,
            // and not all at once when a region fills up.
            let callers_ratio = match local {
                Ok(_) => self.members.callers_ratio(now),
                Err(_) => 1.0,
            };
            let placed = self.place_remotely(req, cx, &remote, callers_ratio, now);
            return placed.or_else(|req| {
                let local = local.map_err(|reason| refuse_no_target(&req, reason, now));
                self.reserve_if_in_time(*req, cx, local, left, now)
            });
        }
        let local = local.map_err(|reason| refuse_no_target(&req, reason, now));
        self.reserve_if_in_time(req, cx, local, left, now)
    }

    /// Chooses the best target of this region that was not tried, and another
    /// region if that is better or there is no such target.
    fn choose_regions<S, O>(
        &self,
        req: &Request<S, O>,
        cx: &PlacementContext,
        tried: &[Target],
        now: Duration,
    ) -> (Result<TargetChoice, NoTargetReason>, Option<RegionChoice>)
    where
        S: HasGrant,
    {
        let allowed = self.residency_now(req, cx);
        if self.reach.is_cut_off() {
            return self.choose_regions_when_cut_off(req, cx, &allowed, tried, now);
        }
        let local = self.choose_local_target(cx, &allowed, tried, now);
        // Limited targets of other regions are left to the instances there, but
        // they are better than none.
        let remote = self.choose_remote_region(req, cx, &allowed, StatedLimitUse::Avoid, now);
        let remote = match (&local, remote) {
            (Err(_), None) => {
                self.choose_remote_region(req, cx, &allowed, StatedLimitUse::Ignore, now)
            }
            (_, remote) => remote,
        };
        let target_latency = cx.route.target_latency;
        let remote = match (&local, remote) {
            (Ok(local), Some(remote)) if !is_remote_worthwhile(local, &remote) => None,
            (Ok(_), Some(remote)) if remote.estimate.is_late_behind_prompts(target_latency) => None,
            (_, remote) => remote,
        };
        (local, remote)
    }

    /// Reserves capacity at the local target that was chosen, if it can answer
    /// in time.
    fn reserve_if_in_time(
        self: &Arc<Self>,
        req: Request<Admitted, Direct>,
        cx: &PlacementContext,
        local: Result<TargetChoice, Refusal>,
        left: Duration,
        now: Duration,
    ) -> Result<Destination<D>, Refusal> {
        let choice = local?;
        check_wait(&req, cx, &choice.estimate, left)?;
        self.check_shutdown(&req, cx, choice.estimate.queue_delay, now)?;
        let placed = self.reserve(req, cx, &choice, now)?;
        Ok(Destination::Local(Box::new(placed)))
    }

    /// Chooses a target in this region and reserves capacity there.
    ///
    /// # Errors
    ///
    /// Refuses the request if no target can take it, or if it could not be
    /// answered before its deadline or the end of a shutdown.
    pub(crate) fn place_locally<O>(
        self: &Arc<Self>,
        req: Request<Admitted, O>,
        cx: &PlacementContext,
    ) -> Result<LocalPlacement<D, O>, Refusal> {
        self.place_locally_if(req, cx, check_prompts)
    }

    /// Like [`Gateway::place_locally`], with a further condition on the estimate.
    fn place_locally_if<O, F>(
        self: &Arc<Self>,
        req: Request<Admitted, O>,
        cx: &PlacementContext,
        check: F,
    ) -> Result<LocalPlacement<D, O>, Refusal>
    where
        F: FnOnce(&Request<Admitted, O>, &PlacementContext, &Estimate) -> Result<(), Refusal>,
    {
        let now = self.clock.now();
        self.check_shutdown(&req, cx, Duration::ZERO, now)?;
        self.check_crashes(&req, cx, now)?;
        let choice = self
            .choose_local_target(cx, &self.residency_now(&req, cx), req.tried_targets(), now)
            .map_err(|reason| refuse_no_target(&req, reason, now))?;
        // The instance that forwarded the request knew less of these targets. An
        // answer that has begun goes on, however late.
        let left = req.meta().deadline.saturating_sub(now);
        check_wait(&req, cx, &choice.estimate, left)?;
        check(&req, cx, &choice.estimate)?;
        self.check_shutdown(&req, cx, choice.estimate.queue_delay, now)?;
        self.reserve(req, cx, &choice, now)
    }

    /// Checks that the request is not suspended and that no part of its prompt
    /// is quarantined, as targets crashed.
    fn check_crashes<O>(
        &self,
        req: &Request<Admitted, O>,
        cx: &PlacementContext,
        now: Duration,
    ) -> Result<(), Refusal> {
        if let Some(left) = self.suspended_for(cx.digest, &req.meta().id, now) {
            let refusal = req.refusal(Code::Suspended, Step::Place, Peer::Local);
            return Err(refusal.with_retry_after(left));
        }
        let Some(part) = self.find_quarantined_part(&req.meta().id, &cx.parts, now) else {
            return Ok(());
        };
        let refusal = req.refusal(Code::Quarantined, Step::Place, Peer::Local);
        Err(quarantine::name_part(refusal, part))
    }

    /// Chooses the best target of this region that was not tried yet, if this
    /// region is among those that are allowed.
    fn choose_local_target(
        &self,
        cx: &PlacementContext,
        allowed: &Residency,
        tried: &[Target],
        now: Duration,
    ) -> Result<TargetChoice, NoTargetReason> {
        let region = &self.settings.region;
        if !allowed.allows(region) {
            return Err(NoTargetReason::NoTarget);
        }
        let rank = |target: &Target| self.members.rank_in_region(target.as_str(), now);
        let shares = self.local_shares(&rank, now);
        self.choose_target(region, cx, allowed, tried, shares, now)
    }

    /// Returns how the limits of the targets of this region are divided. `rank`
    /// returns the position of this instance for a target among the instances
    /// of the region.
    fn local_shares<'a>(
        &self,
        rank: &'a dyn Fn(&Target) -> usize,
        now: Duration,
    ) -> RegionShares<'a> {
        let region = &self.settings.region;
        RegionShares {
            divisor: self.members.conservative_divisor_in(region, now),
            // Right after the start too few instances are known to tell.
            rank: (now >= SETTLING_TIME).then_some(rank),
            stated: StatedLimitUse::Share {
                instances: self.members.max_known_in(region),
                rank,
            },
        }
    }

    /// Tells whether another target, of this region or of another one, could
    /// answer a request in place of the one that it was sent to.
    pub(crate) fn has_other_destination<O>(
        &self,
        req: &Request<Dispatched, O>,
        cx: &PlacementContext,
    ) -> bool
    where
        O: Origin,
    {
        if !O::MAY_BE_FORWARDED {
            return self.has_other_timely_local_target(req, cx);
        }
        let now = self.clock.now();
        if self.has_substitute(req, cx, now) {
            return true;
        }
        let deadline = req.meta().deadline;
        let left = deadline.saturating_sub(now);
        // The conditions of `choose_destination`, except that the queue estimate of
        // another region always counts, as the request already has a target.
        let estimate = match self.choose_regions(req, cx, &tried_with_current(req), now) {
            (_, Some(remote)) => remote.estimate,
            (Ok(local), None) => local.estimate,
            (Err(_), None) => return false,
        };
        is_timely(cx, &estimate, left)
            && self.can_end_before_shutdown(cx, deadline, estimate.queue_delay, now)
    }

    /// Tells whether another target of this region could continue an answer in
    /// place of the one that it was sent to.
    pub(crate) fn has_other_local_target<O>(
        &self,
        req: &Request<Dispatched, O>,
        cx: &PlacementContext,
    ) -> bool {
        // The same condition as of `place_locally` for an answer that goes on.
        self.is_other_local_target(req, cx, |estimate, left| estimate.wait <= left)
    }

    /// Tells whether another target of this region could begin an answer in
    /// time in place of the one that the request was sent to.
    pub(crate) fn has_other_timely_local_target<O>(
        &self,
        req: &Request<Dispatched, O>,
        cx: &PlacementContext,
    ) -> bool {
        self.is_other_local_target(req, cx, |estimate, left| is_timely(cx, estimate, left))
    }

    /// Tells whether the best of the other targets of this region is suitable,
    /// given its estimate and the time to the deadline.
    fn is_other_local_target<O, F>(
        &self,
        req: &Request<Dispatched, O>,
        cx: &PlacementContext,
        is_suitable: F,
    ) -> bool
    where
        F: FnOnce(&Estimate, Duration) -> bool,
    {
        let now = self.clock.now();
        let deadline = req.meta().deadline;
        let left = deadline.saturating_sub(now);
        let allowed = self.residency_now(req, cx);
        let choice = self.choose_local_target(cx, &allowed, &tried_with_current(req), now);
        choice.is_ok_and(|TargetChoice { estimate, .. }| {
            is_suitable(&estimate, left)
                && self.can_end_before_shutdown(cx, deadline, estimate.queue_delay, now)
        })
    }

    /// Chooses the best target of a region that was not tried yet.
    fn choose_target(
        &self,
        region: &Region,
        cx: &PlacementContext,
        allowed: &Residency,
        tried: &[Target],
        shares: RegionShares<'_>,
        now: Duration,
    ) -> Result<TargetChoice, NoTargetReason> {
        let avoided = match cx.software {
            Some(_) => Vec::new(),
            None => self.software_awaiting_mark(&cx.pool.name, now),
        };
        let query = TargetQuery {
            priority: cx.priority,
            may_fill_queue: cx.is_most_urgent || cx.is_resumed,
            prompt_tokens: cx.prompt_tokens,
            parts: &cx.parts,
            excluded: tried,
            software: cx.software.as_ref(),
            avoided_software: &avoided,
            residency: allowed,
            random: rand::random(),
        };
        let fleet = self.tables.fleet.lock();
        let mut traffic = self.tables.traffic.lock();
        traffic.choose_target(&fleet, &cx.pool, region, &query, shares, now)
    }

    /// Returns the other region with the lowest estimated cost, among those
    /// that the request may go to and in which an instance can be reached.
    /// The instance itself is chosen in `place_remotely`.
    fn choose_remote_region<S, O>(
        &self,
        req: &Request<S, O>,
        cx: &PlacementContext,
        allowed: &Residency,
        stated: StatedLimitUse<'_>,
        now: Duration,
    ) -> Option<RegionChoice>
    where
        S: HasGrant,
    {
        let regions = self.tables.fleet.lock().usable_regions(&cx.pool.name);
        let mut best: Option<RegionChoice> = None;
        for region in regions {
            if region == self.settings.region
                || !allowed.allows(&region)
                || self.choose_instance(&region, req, now).is_none()
            {
                continue;
            }
            let shares = RegionShares {
                divisor: self.members.conservative_divisor_in(&region, now),
                rank: None,
                stated,
            };
            let Ok(choice) =
                self.choose_target(&region, cx, allowed, req.tried_targets(), shares, now)
            else {
                continue;
            };
            let mut estimate = choice.estimate;
            estimate.wait += REMOTE_ROUND_TRIP;
            estimate.cost += REMOTE_ROUND_TRIP;
            if best
                .as_ref()
                .is_none_or(|b| estimate.cost < b.estimate.cost)
            {
                best = Some(RegionChoice { region, estimate });
            }
        }
        best
    }

    /// Chooses a ready and connected instance of a region at random, leaving
    /// out those that were asked before or reach no target there.
    fn choose_instance<S, O>(
        &self,
        region: &Region,
        req: &Request<S, O>,
        now: Duration,
    ) -> Option<Instance> {
        let mut linked = self.links.list_open_in(region);
        linked.retain(|name| !req.asked_siblings().contains(name));
        let mut ready = self.members.filter_reaching(linked, now);
        if ready.is_empty() {
            return None;
        }
        let i = rand::random::<u32>() as usize % ready.len();
        Some(ready.swap_remove(i))
    }
}

/// Returns whether another region's estimated cost is lower than that of the
/// local choice by more than [`MIN_FORWARD_GAIN`]. A region without a free slot
/// is not preferred to a local target that has one.
fn is_remote_worthwhile(local: &TargetChoice, remote: &RegionChoice) -> bool {
    let local = &local.estimate;
    let is_faster = local.cost > remote.estimate.cost + MIN_FORWARD_GAIN;
    is_faster && (remote.estimate.has_free_slot || !local.has_free_slot)
}

/// Returns the targets that were tried, with the one that has the request.
fn tried_with_current<O>(req: &Request<Dispatched, O>) -> Vec<Target> {
    let mut tried = req.tried_targets().to_vec();
    if let Peer::Target(current) = req.peer() {
        tried.push(current.clone());
    }
    tried
}
