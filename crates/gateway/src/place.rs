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
const FAR_ROUND_TRIP: Duration = Duration::from_millis(115);

/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// What placing a request needs to know of it, beside its life cycle.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The route.
    pub(crate) route: Arc<RouteSpec>,
    /// The pool.
    pub(crate) pool: Arc<PoolSpec>,
    /// The prompt's parts.
    pub(crate) parts: Arc<[PromptPart]>,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Targets that may still run the request.
    pub(crate) attempts: u32,
}

/// A place at a target, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Held<D>
where
    D: Dialect,
{
    gateway: Arc<Gateway<D>>,
    place: Option<Reservation>,
    since: Duration,
    read_at: Option<Duration>,
    estimate: Estimate,
}

impl<D> Held<D>
where
    D: Dialect,
{
    /// Returns where the target can copy parts of the prompt from.
    pub(crate) fn source(&self) -> Option<SocketAddr> {
        self.estimate.cache_source
    }

    /// Returns what was expected of the target.
    pub(crate) fn estimate(&self) -> &Estimate {
        &self.estimate
    }

    /// Returns the time since the target was chosen.
    pub(crate) fn age(&self) -> Duration {
        self.gateway.clock.now().saturating_sub(self.since)
    }

    /// Notes that the target has read the prompt.
    pub(crate) fn read(&mut self) {
        let took = self.age();
        let Some(place) = &mut self.place else {
            return;
        };
        self.read_at = Some(self.since + took);
        let mut traffic = self.gateway.beliefs.traffic.lock();
        traffic.record_first_event(place, took);
        traffic.record_prompt_read(place);
    }

    /// Notes that the target gave a whole plain answer.
    pub(crate) fn answered(&self) {
        if let Some(place) = &self.place {
            let took = self.age();
            self.gateway
                .beliefs
                .traffic
                .lock()
                .record_answer(place, took);
        }
    }

    /// Gives the place back.
    pub(crate) fn end(mut self, ended: TargetOutcome) {
        self.release(ended);
    }

    fn release(&mut self, ended: TargetOutcome) {
        if let Some(place) = self.place.take() {
            let now = self.gateway.clock.now();
            let mut traffic = self.gateway.beliefs.traffic.lock();
            if let (TargetOutcome::Answered, Some(read_at)) = (ended, self.read_at) {
                traffic.record_generation(&place, now.saturating_sub(read_at));
            }
            traffic.release(place, ended, now);
        }
    }
}

impl<D> Drop for Held<D>
where
    D: Dialect,
{
    fn drop(&mut self) {
        self.release(TargetOutcome::Cancelled);
    }
}

/// Where a caller's request goes next.
#[derive(Debug)]
pub(crate) enum Next<D>
where
    D: Dialect,
{
    /// To a target of this region.
    Here(Box<PlacedHere<D, Direct>>),
    /// To an instance of another region.
    Away(Request<PlacedRemote, Direct>),
}

/// A request that has a place at a target of this region.
#[derive(Debug)]
pub(crate) struct PlacedHere<D, O>
where
    D: Dialect,
{
    /// The request.
    pub(crate) req: Request<Placed, O>,
    /// Its place.
    pub(crate) held: Held<D>,
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
    pub(crate) fn place(
        self: &Arc<Self>,
        req: Request<Admitted, Direct>,
        job: &Job,
    ) -> Result<Next<D>, Refusal> {
        let now = self.clock.now();
        let here = &self.settings.region;
        let allowed = req.grant().residency.allows(here);
        let local = match allowed {
            true => self.choose(here, job, req.tried_targets(), now),
            false => Err(NoTargetReason::NoTarget),
        };
        let far = self.choose_far(&req, job, now);
        let left = req.meta().deadline.saturating_sub(now);
        let far = match (&local, far) {
            (Ok(local), Some(far)) if !is_worth_it(local, &far) => None,
            (_, far) => far,
        };
        if let Some(far) = far {
            check_turn(&req, job, &far.estimate, left)?;
            return self.go(req, job, &far, now).or_else(|req| {
                let local = local.map_err(|why| nowhere(&req, why));
                self.stay(*req, job, local, left, now)
            });
        }
        let local = local.map_err(|why| nowhere(&req, why));
        self.stay(req, job, local, left, now)
    }

    fn stay(
        self: &Arc<Self>,
        req: Request<Admitted, Direct>,
        job: &Job,
        local: Result<TargetChoice, Refusal>,
        left: Duration,
        now: Duration,
    ) -> Result<Next<D>, Refusal> {
        let choice = local?;
        check_turn(&req, job, &choice.estimate, left)?;
        let placed = self.take(req, job, &choice, now)?;
        Ok(Next::Here(Box::new(placed)))
    }

    /// Chooses a target of this region.
    ///
    /// # Errors
    ///
    /// Refuses a request that has nowhere to go, or that can't be in time.
    pub(crate) fn place_here<O>(
        self: &Arc<Self>,
        req: Request<Admitted, O>,
        job: &Job,
    ) -> Result<PlacedHere<D, O>, Refusal> {
        let now = self.clock.now();
        let choice = self
            .choose(&self.settings.region, job, req.tried_targets(), now)
            .map_err(|why| nowhere(&req, why))?;
        let left = req.meta().deadline.saturating_sub(now);
        if choice.estimate.wait > left {
            return Err(too_late(&req, choice.estimate.wait, left));
        }
        self.take(req, job, &choice, now)
    }

    fn choose(
        &self,
        region: &Region,
        job: &Job,
        tried: &[Target],
        now: Duration,
    ) -> Result<TargetChoice, NoTargetReason> {
        let divisor = self.members.strict_divisor_in(region, now);
        let demand = TargetQuery {
            prompt_tokens: job.prompt_tokens,
            parts: &job.parts,
            excluded: tried,
            random: rand::random(),
        };
        let fleet = self.beliefs.fleet.lock();
        let mut traffic = self.beliefs.traffic.lock();
        traffic.choose_target(&fleet, &job.pool, region, &demand, divisor, now)
    }

    /// Finds the best of the other regions that may answer and have an
    /// instance to ask.
    fn choose_far(
        &self,
        req: &Request<Admitted, Direct>,
        job: &Job,
        now: Duration,
    ) -> Option<RegionChoice> {
        let regions = self.beliefs.fleet.lock().regions(&job.pool.name);
        let mut best: Option<RegionChoice> = None;
        for region in regions {
            let residency = &req.grant().residency;
            if region == self.settings.region
                || !residency.allows(&region)
                || self.ask_in(&region, req, now).is_none()
            {
                continue;
            }
            let Ok(choice) = self.choose(&region, job, req.tried_targets(), now) else {
                continue;
            };
            let mut estimate = choice.estimate;
            estimate.wait += FAR_ROUND_TRIP;
            estimate.cost += FAR_ROUND_TRIP;
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
    fn ask_in(
        &self,
        region: &Region,
        req: &Request<Admitted, Direct>,
        now: Duration,
    ) -> Option<Instance> {
        let mut ready = self.members.ready_in(region, now);
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
    fn go(
        self: &Arc<Self>,
        req: Request<Admitted, Direct>,
        job: &Job,
        far: &RegionChoice,
        now: Duration,
    ) -> Result<Next<D>, Box<Request<Admitted, Direct>>> {
        let Some(instance) = self.ask_in(&far.region, &req, now) else {
            return Err(Box::new(req));
        };
        let req = req.place_remote(instance, far.region.clone())?;
        let tokens = far.estimate.prefill_tokens;
        let mut traffic = self.beliefs.traffic.lock();
        traffic.record_forward(&far.region, &job.pool.name, tokens, now);
        Ok(Next::Away(req))
    }

    fn take<O>(
        self: &Arc<Self>,
        req: Request<Admitted, O>,
        job: &Job,
        choice: &TargetChoice,
        now: Duration,
    ) -> Result<PlacedHere<D, O>, Refusal> {
        let region = self.settings.region.clone();
        let known = self.beliefs.fleet.lock().get(&choice.target).cloned();
        let place = Reservation {
            target: choice.target.clone(),
            pool: job.pool.name.clone(),
            prefill_tokens: choice.estimate.prefill_tokens,
            queued_prefill_tokens: choice.estimate.queued_prefill_tokens,
            reserved_at: now,
            cache_source: choice.estimate.cache_source,
            requests_per_slot: choice.estimate.requests_per_slot,
        };
        let divisor = self.members.strict_divisor_in(&region, now);
        let taken = known.as_ref().is_some_and(|known| {
            let mut traffic = self.beliefs.traffic.lock();
            traffic.try_reserve(&place, &job.parts, known, &job.pool, divisor, now)
        });
        let Some(known) = known.filter(|_| taken) else {
            return Err(nowhere(&req, NoTargetReason::AllCold));
        };
        let held = Held {
            gateway: Arc::clone(self),
            read_at: None,
            place: Some(place),
            since: now,
            estimate: choice.estimate,
        };
        match req.place(choice.target.clone(), region) {
            Ok(req) => Ok(PlacedHere { req, held, known }),
            Err(req) => Err(nowhere(&req, NoTargetReason::NoTarget)),
        }
    }
}

/// Tells whether another region is so much faster that the way there pays.
fn is_worth_it(local: &TargetChoice, far: &RegionChoice) -> bool {
    let local = &local.estimate;
    let gained = local.cost > far.estimate.cost + MIN_SPILL_GAIN;
    gained && (far.estimate.has_free_slot || !local.has_free_slot)
}

fn nowhere<O>(req: &Request<Admitted, O>, why: NoTargetReason) -> Refusal {
    log::info!(
        target: "place",
        id = req.meta().id.as_str(),
        pool = req.grant().pool.as_str(),
        tried = req.tried_targets().len(),
        why:? = why;
        "no target"
    );
    let code = match why {
        NoTargetReason::NoTarget | NoTargetReason::NoneHealthy => Code::Unavailable,
        NoTargetReason::AllFull | NoTargetReason::AllCold => Code::Overloaded,
    };
    req.refusal(code, Step::Place, Peer::Local)
        .retry_after(NOWHERE_RETRY)
}

/// Time after which a request that had nowhere to go is worth another try.
const NOWHERE_RETRY: Duration = Duration::from_millis(500);

/// Checks that a request's turn comes in time.
///
/// # Errors
///
/// Refuses a request that would wait past its deadline, or that would be late
/// only as too many are before it.
fn check_turn<O>(
    req: &Request<Admitted, O>,
    job: &Job,
    estimate: &Estimate,
    left: Duration,
) -> Result<(), Refusal> {
    if estimate.wait > left {
        return Err(too_late(req, estimate.wait, left));
    }
    if estimate.is_late_from_queueing(job.route.target_latency) {
        let refusal = req.refusal(Code::Overloaded, Step::Place, Peer::Local);
        return Err(refusal.retry_after(estimate.queue_delay.max(MIN_RETRY_AFTER)));
    }
    Ok(())
}

/// Refuses a request that would wait past its deadline.
fn too_late<O>(req: &Request<Admitted, O>, wait: Duration, left: Duration) -> Refusal {
    let over = wait.saturating_sub(left).max(MIN_RETRY_AFTER);
    req.refusal(Code::DeadlineExceeded, Step::Place, Peer::Local)
        .retry_after(over)
}
