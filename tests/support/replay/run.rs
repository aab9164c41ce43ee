//! Runs a trace by a policy on a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use chiverelay_decisions::limits::TokenBucket;
use chiverelay_decisions::names::Target;
use chiverelay_decisions::placement::LoadReport;
use chiverelay_decisions::request::Admitted;
use chiverelay_decisions::request::Direct;
use chiverelay_decisions::request::Dispatched;
use chiverelay_decisions::request::Forwarded;
use chiverelay_decisions::request::Request;

use super::engine::CacheEvent;
use super::engine::Engine;
use super::engine::PREFILL_RATE;
use super::gateway::Gateway;
use super::measure::DEADLINE;
use super::measure::Measures;
use super::measure::Outcome;
use super::policy::Policy;
use super::trace::ACCOUNTS;
use super::trace::FAULT_FROM;
use super::trace::FAULT_TO;
use super::trace::LENGTH;
use super::trace::Trace;

/// Instances in each region.
pub(super) const INSTANCES: usize = 2;

/// One way between regions.
pub(super) const FAR: Duration = Duration::from_millis(55);

/// One way within a region.
pub(super) const NEAR: Duration = Duration::from_millis(1);

/// Lag of load reports and cache events.
const LAG: Duration = Duration::from_millis(300);

/// Time for which a plain policy leaves out an engine that refused.
const DOWN: Duration = Duration::from_secs(5);

/// Time until a request that was passed on over a cut link counts as lost.
const SILENCE: Duration = Duration::from_secs(5);

/// Attempts at a request.
const ATTEMPTS: usize = 4;

/// Tokens a second that an account may use, for one engine of the site.
const RATES: [u64; ACCOUNTS] = [8000, 1700, 8000, 8000, 8000];

/// Mean time of an answer's token at an engine, shared by a full batch.
const DECODE: Duration = Duration::from_micros(1900);

#[derive(Debug)]
pub(super) enum Event {
    Arrive(usize),
    Lost(usize),
    Forwarded {
        ask: usize,
        to: usize,
    },
    Submit {
        ask: usize,
        engine: usize,
    },
    First {
        ask: usize,
        engine: usize,
        incarnation: u64,
    },
    Done {
        ask: usize,
        engine: usize,
        incarnation: u64,
    },
    Deliver {
        engine: usize,
        report: LoadReport,
        events: Vec<CacheEvent>,
    },
    Hedge(usize),
    Tick(u64),
    FaultBegins,
    EngineGone(usize),
    FaultEnds,
}

/// What an instance holds of a request while others work on it.
#[derive(Debug, Default)]
pub(super) enum Held {
    /// Nothing.
    #[default]
    Nothing,
    /// A caller's request that waits.
    Waiting(Request<Admitted, Direct>),
    /// A sibling's request that waits.
    WaitingForwarded(Request<Admitted, Forwarded>),
    /// A caller's request at a target.
    Sent(Request<Dispatched, Direct>),
    /// A sibling's request at a target.
    SentForwarded(Request<Dispatched, Forwarded>),
}

#[derive(Debug, Default)]
pub(super) struct Job {
    pub(super) held: Held,
    pub(super) instance: usize,
    pub(super) copies: Vec<usize>,
    attempts: usize,
    away: bool,
    refused: bool,
    limited: bool,
    pub(super) first: Option<Duration>,
}

/// What a decision asks for.
#[derive(Debug)]
pub(super) enum Action {
    /// Send the request to an engine.
    Send(usize, Held),
    /// Pass the request to an instance of another region.
    PassOn(usize, Held),
    /// Keep it waiting.
    Wait(Held),
    /// Refuse it.
    Refuse,
}

pub(super) struct World<'a> {
    pub(super) trace: &'a Trace,
    pub(super) now: Duration,
    pub(super) engines: Vec<Engine>,
    pub(super) names: Vec<Target>,
    pub(super) cut: Option<usize>,
    pub(super) hedge_after: Option<Duration>,
    pub(super) hedged: usize,
    policy: Policy,
    pub(super) gateways: Vec<Gateway>,
    woken: Arc<Mutex<Vec<usize>>>,
    pub(super) jobs: Vec<Job>,
    running: Vec<Vec<u64>>,
    down: Vec<Vec<Duration>>,
    turns: Vec<usize>,
    limits: Vec<TokenBucket>,
    links: [[Duration; 3]; 3],
    link_busy: Duration,
    events: Vec<Option<Event>>,
    heap: BinaryHeap<Reverse<(Duration, usize)>>,
}

/// Replays a trace by a policy.
pub fn replay(trace: &Trace, policy: Policy) -> Measures {
    let mut world = World::new(trace, policy);
    world.run();
    world.measures()
}

impl<'a> World<'a> {
    pub(super) fn new(trace: &'a Trace, policy: Policy) -> Self {
        let mut engines = Vec::new();
        for (region, (_, n)) in trace.user.regions().into_iter().enumerate() {
            engines.extend((0..n).map(|_| Engine::new(region)));
        }
        let names: Vec<Target> = (0..engines.len())
            .map(|e| Target::from(format!("engine-{e}")))
            .collect();
        let instances = 3 * INSTANCES;
        let woken = Arc::new(Mutex::new(Vec::new()));
        let n = engines.len();
        let regions: Vec<usize> = engines.iter().map(|e| e.region).collect();
        let gateways = match policy {
            Policy::Gateway(weights) => (0..instances)
                .map(|g| Gateway::new(trace.user, weights, g, &names, &regions, &woken))
                .collect(),
            _ => Vec::new(),
        };
        Self {
            trace,
            now: Duration::ZERO,
            engines,
            names,
            cut: None,
            hedge_after: None,
            hedged: 0,
            policy,
            gateways,
            woken,
            jobs: trace.asks.iter().map(|_| Job::default()).collect(),
            running: vec![vec![0; n]; instances],
            down: vec![vec![Duration::ZERO; n]; instances],
            turns: vec![0; instances],
            limits: RATES
                .iter()
                .map(|r| TokenBucket::full(r * n as u64, r * n as u64 * 10, Duration::ZERO))
                .collect(),
            links: Default::default(),
            link_busy: Duration::ZERO,
            events: Vec::new(),
            heap: BinaryHeap::new(),
        }
    }

    pub(super) fn at(&mut self, at: Duration, event: Event) {
        self.heap.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    pub(super) fn run(&mut self) {
        for ask in 0..self.trace.asks.len() {
            self.at(self.trace.asks[ask].at, Event::Arrive(ask));
        }
        let end = LENGTH + DEADLINE * 2;
        for tick in 0..end.as_millis() as u64 / 100 {
            self.at(Duration::from_millis(tick * 100), Event::Tick(tick));
        }
        self.at(FAULT_FROM, Event::FaultBegins);
        self.at(FAULT_TO, Event::FaultEnds);
        while let Some(Reverse((at, event))) = self.heap.pop() {
            self.now = at;
            if let Some(event) = self.events[event].take() {
                self.handle(event);
            }
            self.wake();
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(ask) => self.arrive(ask),
            Event::Forwarded { ask, to } => self.forwarded(ask, to),
            Event::Lost(ask) => self.place(ask),
            Event::Submit { ask, engine } => self.submit(ask, engine),
            Event::First {
                ask,
                engine,
                incarnation,
            } => self.first(ask, engine, incarnation),
            Event::Done {
                ask,
                engine,
                incarnation,
            } => self.done(ask, engine, incarnation),
            Event::Deliver {
                engine,
                report,
                events,
            } => {
                let region = self.engines[engine].region;
                for gateway in self.gateways.iter_mut().filter(|g| g.region == region) {
                    gateway.hear(&self.names[engine], report, &events, self.now);
                }
            }
            Event::Hedge(ask) => self.hedge(ask),
            Event::Tick(tick) => self.tick(tick),
            Event::FaultBegins => self.fault_begins(),
            Event::EngineGone(engine) => self.take_down(engine),
            Event::FaultEnds => self.fault_ends(),
        }
    }

    /// Hands a request that was passed on to its receiver.
    fn forwarded(&mut self, ask: usize, to: usize) {
        self.jobs[ask].instance = to;
        self.jobs[ask].held = Held::Nothing;
        let action = self.gateways[to].take_forwarded(&self.trace.asks[ask], ask, self.now);
        self.act(ask, action);
    }

    fn arrive(&mut self, ask: usize) {
        let it = &self.trace.asks[ask];
        self.jobs[ask].instance = it.region * INSTANCES + it.account % INSTANCES;
        if !self.limits[it.account].try_take(it.prompt + it.answer, self.now) {
            self.jobs[ask].limited = true;
            return;
        }
        self.place(ask);
    }

    fn place(&mut self, ask: usize) {
        let g = self.jobs[ask].instance;
        let action = match self.policy {
            Policy::Gateway(_) => {
                let held = std::mem::take(&mut self.jobs[ask].held);
                self.gateways[g].place(&self.trace.asks[ask], ask, held, self.now)
            }
            _ => self.place_plainly(ask, g),
        };
        self.act(ask, action);
    }

    fn place_plainly(&mut self, ask: usize, g: usize) -> Action {
        let region = g / INSTANCES;
        let usable = |e: &usize| self.down[g][*e] <= self.now;
        let all = 0..self.engines.len();
        let mut some: Vec<usize> = all
            .clone()
            .filter(|e| self.engines[*e].region == region)
            .filter(usable)
            .collect();
        if some.is_empty() {
            some = all.filter(usable).collect();
        }
        self.turns[g] += 1;
        let chain = &self.trace.asks[ask].chain;
        match self
            .policy
            .choose(&some, &self.running[g], self.turns[g], chain)
        {
            Some(engine) if self.jobs[ask].attempts < ATTEMPTS => {
                Action::Send(engine, Held::Nothing)
            }
            _ => Action::Refuse,
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        a != b && (self.cut == Some(a) || self.cut == Some(b))
    }

    /// Returns the way of a prompt over the link, which is busy meanwhile.
    pub(super) fn transfer(&mut self, ask: usize, from: usize, to: usize) -> Duration {
        if from == to {
            return NEAR;
        }
        let bits = self.trace.asks[ask].prompt * 4 * 8;
        let time = Duration::from_micros(bits / self.trace.user.link_mbits());
        let end = self.links[from][to].max(self.now) + time;
        self.links[from][to] = end;
        self.link_busy += time;
        self.jobs[ask].away = true;
        end - self.now + FAR
    }

    fn act(&mut self, ask: usize, action: Action) {
        let g = self.jobs[ask].instance;
        match action {
            Action::Send(engine, held) => {
                self.jobs[ask].held = held;
                self.jobs[ask].attempts += 1;
                let (from, to) = (g / INSTANCES, self.engines[engine].region);
                if !self.engines[engine].up || self.is_cut(from, to) {
                    self.fail(ask, engine, true);
                    return;
                }
                self.start(ask, engine);
                let way = self.transfer(ask, from, to);
                self.at(self.now + way, Event::Submit { ask, engine });
                self.plan_hedge(ask);
            }
            Action::PassOn(to, held) => {
                let (from, region) = (g / INSTANCES, to / INSTANCES);
                self.jobs[ask].held = held;
                if self.is_cut(from, region) {
                    self.at(self.now + SILENCE, Event::Lost(ask));
                    return;
                }
                let way = self.transfer(ask, from, region);
                self.at(self.now + way, Event::Forwarded { ask, to });
            }
            Action::Wait(held) => self.jobs[ask].held = held,
            Action::Refuse => self.jobs[ask].refused = true,
        }
    }

    pub(super) fn start(&mut self, ask: usize, engine: usize) {
        let g = self.jobs[ask].instance;
        self.running[g][engine] += 1;
        self.jobs[ask].copies.push(engine);
        if let Some(gateway) = self.gateways.get(g) {
            gateway.start(&self.names[engine]);
        }
    }

    pub(super) fn finish(&mut self, ask: usize, engine: usize) {
        let g = self.jobs[ask].instance;
        self.running[g][engine] -= 1;
        self.jobs[ask].copies.retain(|e| *e != engine);
        if let Some(gateway) = self.gateways.get(g) {
            gateway.finish(&self.names[engine]);
        }
    }

    /// Tries a request again after its engine failed or refused it.
    pub(super) fn fail(&mut self, ask: usize, engine: usize, unreachable: bool) {
        let g = self.jobs[ask].instance;
        self.down[g][engine] = self.now + DOWN;
        if let Some(gateway) = self.gateways.get(g) {
            gateway.fail(&self.names[engine], unreachable, self.now);
        }
        if !self.jobs[ask].copies.is_empty() {
            // Another engine has it too.
            return;
        }
        if self.jobs[ask].attempts >= ATTEMPTS {
            self.jobs[ask].refused = true;
            return;
        }
        self.place(ask);
    }

    fn tick(&mut self, tick: u64) {
        for gateway in &mut self.gateways {
            gateway.pump(self.now);
        }
        if !tick.is_multiple_of(10) || self.gateways.is_empty() {
            return;
        }
        for engine in 0..self.engines.len() {
            let e = &mut self.engines[engine];
            if !e.up {
                let region = e.region;
                for gateway in self.gateways.iter().filter(|g| g.region == region) {
                    gateway.fail(&self.names[engine], true, self.now);
                }
                continue;
            }
            let report = e.report(self.now);
            let mut events = std::mem::take(&mut e.events);
            if tick.is_multiple_of(170) {
                // Some events are lost.
                events.pop();
            }
            self.at(
                self.now + LAG,
                Event::Deliver {
                    engine,
                    report,
                    events,
                },
            );
        }
        for g in 0..self.gateways.len() {
            for h in 0..self.gateways.len() {
                let (a, b) = (self.gateways[g].region, self.gateways[h].region);
                if g != h && !self.is_cut(a, b) {
                    let summaries = self.gateways[g].summaries(self.now);
                    self.gateways[h].hear_sibling(g, summaries, self.now);
                }
            }
        }
        for gateway in &mut self.gateways {
            gateway.forget_silent(self.now);
        }
    }

    fn wake(&mut self) {
        loop {
            let mut woken = self.woken.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(ask) = woken.pop() else {
                return;
            };
            drop(woken);
            // A hedged request that runs already needs no slot.
            if self.jobs[ask].copies.is_empty() {
                self.place(ask);
            }
        }
    }

    pub(super) fn measures(&self) -> Measures {
        let outcomes: Vec<Outcome> = self
            .jobs
            .iter()
            .zip(&self.trace.asks)
            .filter(|(job, _)| !job.limited)
            .map(|(job, ask)| Outcome {
                account: ask.account,
                first: job
                    .first
                    .filter(|_| !job.refused)
                    .map(|first| first - ask.at)
                    .filter(|time| *time <= DEADLINE),
                away: job.away,
            })
            .collect();
        let read: u64 = self.engines.iter().map(|e| e.read).sum();
        let served = self.jobs.iter().zip(&self.trace.asks);
        let answers: u64 = served
            .filter(|(j, _)| j.first.is_some())
            .map(|(_, a)| a.answer)
            .sum();
        let prefill = Duration::from_micros(read * 1_000_000 / PREFILL_RATE);
        Measures::new(
            &outcomes,
            prefill + DECODE * answers as u32 + self.link_busy,
        )
    }
}
