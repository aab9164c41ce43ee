//! Where a request goes: a target of this region, or an instance of another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chiverelay_decisions::catalog::PoolSpec;
use chiverelay_decisions::catalog::RouteSpec;
use chiverelay_decisions::fleet::KnownTarget;
use chiverelay_decisions::names::Instance;
use chiverelay_decisions::names::Region;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::refusal::Code;
use chiverelay_decisions::refusal::Refusal;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Placed;
use chiverelay_decisions::request::PlacedRemote;
use chiverelay_decisions::request::Request;
use chiverelay_decisions::step::Peer;
use chiverelay_decisions::step::Step;
use chiverelay_decisions::traffic::Estimate;
use chiverelay_decisions::traffic::MIN_SPILL_GAIN;
use chiverelay_decisions::traffic::NoTargetReason;
use chiverelay_decisions::traffic::PromptPart;
use chiverelay_decisions::traffic::RegionChoice;
use chiverelay_decisions::traffic::Reservation;
use chiverelay_decisions::traffic::TargetChoice;
use chiverelay_decisions::traffic::TargetOutcome;
use chiverelay_decisions::traffic::TargetQuery;

use crate::Dialect;
use crate::Gateway;

/// Round trip that is expected to another region, beside what its targets take.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(115);

/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// What placing a request needs to know of it, beside its life cycle.
#[derive(Clone, Debug)]
pub(crate) struct PlacementContext {
    /// The route.
    pub(crate) route: Arc<RouteSpec>,
    /// The pool.
    pub(crate) pool: Arc<PoolSpec>,
    /// The prompt's parts.
    pub(crate) parts: Arc<[PromptPart]>,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Targets that may still run the request.
    pub(crate) attempts_left: u32,
}

/// A place at a target, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct ReservationGuard<D>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
    place: Option<Reservation>,
    chosen_at: Duration,
    first_event_at: Option<Duration>,
    estimate: Estimate,
}

impl<D> ReservationGuard<D>
where
    D: Dialect,
{
    /// Returns where the target can copy parts of the prompt from.
    pub(crate) fn cache_source(&self) -> Option<SocketAddr> {
        self.estimate.cache_source
    }

    /// Returns what was expected of the target.
    pub(crate) fn estimate(&self) -> &Estimate {
        &self.estimate
    }

    /// Returns the time since the target was chosen.
    pub(crate) fn age(&self) -> Duration {
        self.gateway.clock.now().saturating_sub(self.chosen_at)
    }

    /// Notes that the target has read the prompt.
    pub(crate) fn record_first_event(&mut self) {
        let took = self.age();
        let Some(place) = &mut self.place else {
            return;
        };
        self.first_event_at = Some(self.chosen_at + took);
        let mut traffic = self.gateway.tables.traffic.lock();
        traffic.record_first_event(place, took);
        traffic.record_prompt_read(place);
    }

    /// Notes that the target gave a whole plain answer.
    pub(crate) fn record_answer(&self) {
        if let Some(place) = &self.place {
            let took = self.age();
            self.gateway
                .tables
                .traffic
                .lock()
                .record_answer(place, took);
        }
    }

    /// Gives the place back.
    pub(crate) fn finish(mut self, ended: TargetOutcome) {
        self.release(ended);
    }

    fn release(&mut self, ended: TargetOutcome) {
        if let Some(place) = self.place.take() {
            let now = self.gateway.clock.now();
            let mut traffic = self.gateway.tables.traffic.lock();
            if let (TargetOutcome::Answered, Some(read_at)) = (ended, self.first_event_at) {
                traffic.record_generation(&place, now.saturating_sub(read_at));
            }
            traffic.release(place, ended, now);
        }
    }
}

impl<D> Drop for ReservationGuard<D>
where
    D: Dialect,
{
    fn drop(&mut self) {
        self.release(TargetOutcome::Cancelled);
    }
}

/// Where a caller's request goes next.
#[derive(Debug)]
pub(crate) enum Destination<D>
where
    D: Dialect,
{
    /// To a target of this region.
    Local(Box<LocalPlacement<D, Direct>>),
    /// To an instance of another region.
    Remote(Request<PlacedRemote, Direct>),
}

/// A request that has a place at a target of this region.
#[derive(Debug)]
pub(crate) struct LocalPlacement<D, O>
where
    D: Dialect,
{
    /// The request.
    pub(crate) req: Request<Placed, O>,
    /// Its place.
    pub(crate) reservation: ReservationGuard<D>,
    /// The target.
    pub(crate) known: KnownTarget,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Chooses a target of this region or an instance of another one.
    ///
    /// # Errors
    ///
    /// Refuses a request that has nowhere to go, or that can't be in time.
    pub(crate) fn choose_destination(
        self: &Arc<Self>,
        req: Request<Admitted, Direct>,
        cx: &PlacementContext,
    ) -> Result<Destination<D>, Refusal> {
        let now = self.clock.now();
        let own_region = &self.settings.region;
        let allowed = req.grant().residency.allows(own_region);
        let local = match allowed {
            true => self.choose_target(own_region, cx, req.tried_targets(), now),
            false => Err(NoTargetReason::NoTarget),
        };
        let remote = self.choose_remote_region(&req, cx, now);
        let left = req.meta().deadline.saturating_sub(now);
        let remote = match (&local, remote) {
            (Ok(local), Some(remote)) if !is_remote_worthwhile(local, &remote) => None,
            (_, remote) => remote,
        };
        if let Some(remote) = remote {
            check_wait(&req, cx, &remote.estimate, left)?;
            return self.place_remotely(req, cx, &remote, now).or_else(|req| {
                let local = local.map_err(|reason| refuse_no_target(&req, reason));
                self.place_at_choice(*req, cx, local, left, now)
            });
        }
        let local = local.map_err(|reason| refuse_no_target(&req, reason));
        self.place_at_choice(req, cx, local, left, now)
    }

    fn place_at_choice(
        self: &Arc<Self>,
        req: Request<Admitted, Direct>,
        cx: &PlacementContext,
        local: Result<TargetChoice, Refusal>,
        left: Duration,
        now: Duration,
    ) -> Result<Destination<D>, Refusal> {
        let choice = local?;
        check_wait(&req, cx, &choice.estimate, left)?;
        let placed = self.reserve(req, cx, &choice, now)?;
        Ok(Destination::Local(Box::new(placed)))
    }

    /// Chooses a target of this region.
    ///
    /// # Errors
    ///
    /// Refuses a request that has nowhere to go, or that can't be in time.
    pub(crate) fn place_locally<O>(
        self: &Arc<Self>,
        req: Request<Admitted, O>,
        cx: &PlacementContext,
    ) -> Result<LocalPlacement<D, O>, Refusal> {
        let now = self.clock.now();
        let choice = self
            .choose_target(&self.settings.region, cx, req.tried_targets(), now)
            .map_err(|reason| refuse_no_target(&req, reason))?;
        let left = req.meta().deadline.saturating_sub(now);
        if choice.estimate.wait > left {
            return Err(refuse_past_deadline(&req, choice.estimate.wait, left));
        }
        self.reserve(req, cx, &choice, now)
    }

    fn choose_target(
        &self,
        region: &Region,
        cx: &PlacementContext,
        tried: &[Target],
        now: Duration,
    ) -> Result<TargetChoice, NoTargetReason> {
        let divisor = self.members.conservative_divisor_in(region, now);
        let demand = TargetQuery {
            prompt_tokens: cx.prompt_tokens,
            parts: &cx.parts,
            excluded: tried,
            random: rand::random(),
        };
        let fleet = self.tables.fleet.lock();
        let mut traffic = self.tables.traffic.lock();
        traffic.choose_target(&fleet, &cx.pool, region, &demand, divisor, now)
    }

    /// Finds the best of the other regions that may answer and have an
    /// instance to ask.
    fn choose_remote_region(
        &self,
        req: &Request<Admitted, Direct>,
        cx: &PlacementContext,
        now: Duration,
    ) -> Option<RegionChoice> {
        let regions = self.tables.fleet.lock().regions(&cx.pool.name);
        let mut best: Option<RegionChoice> = None;
        for region in regions {
            let residency = &req.grant().residency;
            if region == self.settings.region
                || !residency.allows(&region)
                || self.choose_instance(&region, req, now).is_none()
            {
                continue;
            }
            let Ok(choice) = self.choose_target(&region, cx, req.tried_targets(), now) else {
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

    /// Chooses the instance of a region to ask.
    fn choose_instance(
        &self,
        region: &Region,
        req: &Request<Admitted, Direct>,
        now: Duration,
    ) -> Option<Instance> {
        let mut ready = self.members.list_ready_in(region, now);
        ready.retain(|name| !req.asked_siblings().contains(name) && self.links.get(name).is_some());
        if ready.is_empty() {
            return None;
        }
        let at = rand::random::<u32>() as usize % ready.len();
        Some(ready.swap_remove(at))
    }

    /// Places a request at an instance of a region.
    ///
    /// # Errors
    ///
    /// Gives the request back if no instance there can be asked.
    fn place_remotely(
        self: &Arc<Self>,
        req: Request<Admitted, Direct>,
        cx: &PlacementContext,
        remote: &RegionChoice,
        now: Duration,
    ) -> Result<Destination<D>, Box<Request<Admitted, Direct>>> {
        let Some(instance) = self.choose_instance(&remote.region, &req, now) else {
            return Err(Box::new(req));
        };
        let req = req.place_remote(instance, remote.region.clone())?;
        let tokens = remote.estimate.prefill_tokens;
        let mut traffic = self.tables.traffic.lock();
        traffic.record_forward(&remote.region, &cx.pool.name, tokens, now);
        Ok(Destination::Remote(req))
    }

    fn reserve<O>(
        self: &Arc<Self>,
        req: Request<Admitted, O>,
        cx: &PlacementContext,
        choice: &TargetChoice,
        now: Duration,
    ) -> Result<LocalPlacement<D, O>, Refusal> {
        let region = self.settings.region.clone();
        let known = self.tables.fleet.lock().get(&choice.target).cloned();
        let place = Reservation {
            target: choice.target.clone(),
            pool: cx.pool.name.clone(),
            prefill_tokens: choice.estimate.prefill_tokens,
            queued_prefill_tokens: choice.estimate.queued_prefill_tokens,
            reserved_at: now,
            cache_source: choice.estimate.cache_source,
            requests_per_slot: choice.estimate.requests_per_slot,
        };
        let divisor = self.members.conservative_divisor_in(&region, now);
        let is_reserved = known.as_ref().is_some_and(|known| {
            let mut traffic = self.tables.traffic.lock();
            traffic.try_reserve(&place, &cx.parts, known, &cx.pool, divisor, now)
        });
        let Some(known) = known.filter(|_| is_reserved) else {
            return Err(refuse_no_target(&req, NoTargetReason::AllCold));
        };
        let reservation = ReservationGuard {
            gateway: Arc::clone(self),
            first_event_at: None,
            place: Some(place),
            chosen_at: now,
            estimate: choice.estimate,
        };
        match req.place(choice.target.clone(), region) {
            Ok(req) => Ok(LocalPlacement {
                req,
                reservation,
                known,
            }),
            Err(req) => Err(refuse_no_target(&req, NoTargetReason::NoTarget)),
        }
    }
}

/// Tells whether another region is so much faster that the way there pays.
fn is_remote_worthwhile(local: &TargetChoice, remote: &RegionChoice) -> bool {
    let local = &local.estimate;
    let is_faster = local.cost > remote.estimate.cost + MIN_SPILL_GAIN;
    is_faster && (remote.estimate.has_free_slot || !local.has_free_slot)
}

fn refuse_no_target<O>(req: &Request<Admitted, O>, reason: NoTargetReason) -> Refusal {
    log::info!(
        target: "place",
        id = req.meta().id.as_str(),
        pool = req.grant().pool.as_str(),
        tried = req.tried_targets().len(),
        why:? = reason;
        "no target"
    );
    let code = match reason {
        NoTargetReason::NoTarget | NoTargetReason::NoneHealthy => Code::Unavailable,
        NoTargetReason::AllFull | NoTargetReason::AllCold => Code::Overloaded,
    };
    req.refusal(code, Step::Place, Peer::Local)
        .retry_after(NO_TARGET_RETRY_AFTER)
}

/// Time after which a request that had nowhere to go is worth another try.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Checks that a request's turn comes in time.
///
/// # Errors
///
/// Refuses a request that would wait past its deadline, or that would be late
/// only as too many are before it.
fn check_wait<O>(
    req: &Request<Admitted, O>,
    cx: &PlacementContext,
    estimate: &Estimate,
    left: Duration,
) -> Result<(), Refusal> {
    if estimate.wait > left {
        return Err(refuse_past_deadline(req, estimate.wait, left));
    }
    if estimate.is_late_from_queueing(cx.route.target_latency) {
        let refusal = req.refusal(Code::Overloaded, Step::Place, Peer::Local);
        return Err(refusal.retry_after(estimate.queue_delay.max(MIN_RETRY_AFTER)));
    }
    Ok(())
}

/// Refuses a request that would wait past its deadline.
fn refuse_past_deadline<O>(req: &Request<Admitted, O>, wait: Duration, left: Duration) -> Refusal {
    let over = wait.saturating_sub(left).max(MIN_RETRY_AFTER);
    req.refusal(Code::DeadlineExceeded, Step::Place, Peer::Local)
        .retry_after(over)
}
