//! Callers that look instances up before they connect, and what they are told.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;
use serde_json::Value;
use support::node::call;

use super::callers;
use super::callers::End;
use super::callers::PATHS;
use super::checks::Violation;
use super::homes;
use super::world::Soak;
use super::world::ZONES;

/// Callers in each zone, one of which keeps what it is told for longer.
const CALLERS_PER_ZONE: usize = 2;

/// How many times as long it keeps it.
const LONG_KEEP: u32 = 3;

/// Instances that a caller asks, at most.
const MAX_ASKED: usize = 3;

/// Time that a caller grants each of them.
const LOOK_UP_TIME: Duration = Duration::from_secs(1);

/// Pause before a caller that was told nothing asks again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Pause between two requests of a caller, in ms.
const PAUSE_MS: std::ops::Range<u64> = 20..100;

/// Pause between two looks at whom callers are served by.
const LOOK: Duration = Duration::from_millis(100);

/// What an instance told a caller.
#[derive(Clone, Debug)]
struct Told {
    region: &'static str,
    /// Index of the instance that answered.
    by: usize,
    /// Indices of the instances that it named, or the one that the caller chose.
    named: Vec<usize>,
    /// Path and id of the request that the caller sent there, if it sent one.
    request: Option<(&'static str, String)>,
    asked: Instant,
    /// When the answer came, or the request was sent.
    used: Instant,
}

#[derive(Debug, Default)]
struct Noted {
    told: Vec<Told>,
    refused: usize,
    /// When each caller last sent a request that its own region served.
    served: Vec<Option<Instant>>,
    not_back: Option<Violation>,
}

/// What the callers of a run were told, and did because of it.
#[derive(Debug, Default)]
pub(super) struct Lookups(Mutex<Noted>);

impl Lookups {
    fn noted(&self) -> MutexGuard<'_, Noted> {
        self.0.lock().expect("no panic under the lock")
    }

    /// Waits until each caller has sent a request after `since` that its own
    /// region served. Callers that haven't by a time are a violation.
    pub(super) async fn until_back(&self, since: Instant, until: Instant) {
        let is_back = |served: &Option<Instant>| served.is_some_and(|at| at >= since);
        while !self.noted().served.iter().all(is_back) {
            if Instant::now() >= until {
                let mut noted = self.noted();
                noted.not_back = Some(Violation {
                    id: "look-up".to_owned(),
                    rule: "callers weren't served in their own region again",
                    seen: format!("after {since:?}: {:?}", noted.served),
                });
                return;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Returns the answers that named instances in barred regions, the requests
    /// that were sent there because of one, and callers that never came back.
    pub(super) fn violations(&self, soak: &Soak) -> Vec<Violation> {
        let mut noted = self.noted();
        let refused = noted.refused;
        if !noted.told.is_empty() {
            let away = noted.told.iter().filter(|t| t.request.is_some()).count();
            let told = noted.told.len() - away;
            println!("{told} look-ups answered, {refused} not, {away} requests sent elsewhere");
        }
        let mut found: Vec<_> = noted.not_back.take().into_iter().collect();
        found.extend(noted.told.iter().filter_map(|told| told.violation(soak)));
        found
    }
}

impl Told {
    /// Tells whether the host's routes, or that of the request, bar a region in
    /// each configuration that may have been in force since the question, at the
    /// instance that answered.
    fn is_barred(&self, soak: &Soak, region: &str) -> bool {
        let applied = |written| homes::applied_by(soak, written, |at| at == self.by);
        let configurations = soak.changes.route_homes(self.asked, self.used, applied);
        let counts = |path: &str| self.request.as_ref().is_none_or(|(of, _)| *of == path);
        region != self.region
            && configurations.iter().all(|of_routes| {
                let mut routes = PATHS.iter().zip(of_routes);
                routes.any(|(path, homes)| counts(path) && !homes::allow(homes, region))
            })
    }

    fn violation(&self, soak: &Soak) -> Option<Violation> {
        let mut named = self.named.iter().map(|at| &soak.places[*at]);
        let barred = named.find(|place| self.is_barred(soak, place.region))?;
        let (id, rule) = match &self.request {
            Some((_, id)) => (id.as_str(), "a look-up led a body to a barred region"),
            None => ("look-up", "an instance of a barred region was named"),
        };
        Some(Violation {
            id: id.to_owned(),
            rule,
            seen: format!(
                "{} in {} by {}, to a caller in {}, {:?} after the start",
                barred.name,
                barred.region,
                soak.places[self.by].name,
                self.region,
                self.used - soak.begun
            ),
        })
    }
}

/// Has callers in all zones look instances up and send requests, without end.
pub(super) async fn run(soak: &Soak, mut rng: StdRng) {
    let zones = ZONES.iter().cycle().take(ZONES.len() * CALLERS_PER_ZONE);
    let callers = zones.enumerate().map(|(number, (zone, region))| Caller {
        soak,
        number,
        zone,
        region,
        rng: StdRng::seed_from_u64(rng.next_u64()),
        kept: None,
        failed: Vec::new(),
        keep_factor: if number < ZONES.len() { 1 } else { LONG_KEEP },
        is_due_at: Instant::now(),
    });
    let callers: Vec<_> = callers.collect();
    soak.lookups.noted().served.resize(callers.len(), None);
    join_all(callers.into_iter().map(Caller::run)).await;
}

struct Caller<'a> {
    soak: &'a Soak,
    number: usize,
    zone: &'static str,
    region: &'static str,
    rng: StdRng,
    kept: Option<Told>,
    /// Those of the instances it was told of that refused a connection.
    failed: Vec<usize>,
    keep_factor: u32,
    is_due_at: Instant,
}

impl Caller<'_> {
    async fn run(mut self) {
        for n in 0.. {
            if Instant::now() >= self.is_due_at {
                self.look_up().await;
            }
            match self.choose() {
                Some((told, at)) => self.send(told, at, n).await,
                None => self.is_due_at = self.is_due_at.min(Instant::now() + RETRY_PAUSE),
            }
            let pause = Duration::from_millis(self.rng.random_range(PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
    }

    /// Asks the nearest instances, one after another, until one tells whom to
    /// connect to. What it told before is kept if none does.
    async fn look_up(&mut self) {
        let path = format!(
            "/v1/resolve?name=desk.example&region={}&zone={}",
            self.region, self.zone
        );
        for by in self.nearest() {
            let asked = Instant::now();
            let asking = call::get(self.soak.directories[by], &path);
            let Ok(Ok(got)) = tokio::time::timeout(LOOK_UP_TIME, asking).await else {
                continue;
            };
            let Some((named, keep)) = parse(self.soak, &got.body) else {
                self.soak.lookups.noted().refused += 1;
                continue;
            };
            let told = Told {
                region: self.region,
                by,
                named,
                request: None,
                asked,
                used: Instant::now(),
            };
            self.is_due_at = told.used + keep * self.keep_factor;
            self.soak.lookups.noted().told.push(told.clone());
            self.kept = Some(told);
            self.failed.clear();
            return;
        }
        self.is_due_at = Instant::now() + RETRY_PAUSE;
    }

    /// Lists the instances that are asked, those of the own zone first.
    fn nearest(&mut self) -> Vec<usize> {
        let places = &self.soak.places;
        let mut nearest: Vec<_> = (0..places.len()).collect();
        nearest.shuffle(&mut self.rng);
        nearest.sort_by_key(|at| places[*at].zone != self.zone);
        nearest.truncate(MAX_ASKED);
        nearest
    }

    /// Chooses one of the instances that it was told of and that haven't failed.
    fn choose(&mut self) -> Option<(Told, usize)> {
        let told = self.kept.clone()?;
        let left = told.named.iter().filter(|at| !self.failed.contains(at));
        let at = *left.choose(&mut self.rng)?;
        Some((told, at))
    }

    /// Sends a request to an instance on a new connection.
    async fn send(&mut self, told: Told, at: usize, n: usize) {
        let soak = self.soak;
        let path = PATHS[self.rng.random_range(0..PATHS.len())];
        let front = *soak.fronts[at].lock().expect("no panic under the lock");
        let id = format!("l-{}-{n}", self.number);
        let one = callers::attempt_once(at, front, &id, path).await;
        if matches!(one.end, End::NotSent | End::Unopened) {
            self.failed.push(at);
        } else if soak.places[at].region != self.region {
            let led = Told {
                named: vec![at],
                request: Some((path, id)),
                used: one.sent,
                ..told
            };
            soak.lookups.noted().told.push(led);
        } else if one.is_success() {
            soak.lookups.noted().served[self.number] = Some(one.sent);
        }
        soak.note_seen(one);
    }
}

/// Reads which instances an answer names, and for how long it may be kept.
fn parse(soak: &Soak, body: &str) -> Option<(Vec<usize>, Duration)> {
    let document: Value = serde_json::from_str(body).ok()?;
    let keep = Duration::try_from_secs_f64(document["ttl_s"].as_f64()?).ok()?;
    let addresses = document["addresses"].as_array()?.iter();
    let addresses = addresses.filter_map(|address| address.as_str()?.parse().ok());
    let at = |address: SocketAddr| {
        let mut fronts = soak.fronts.iter();
        fronts.position(|front| *front.lock().expect("no panic under the lock") == address)
    };
    let named: Vec<_> = addresses.filter_map(at).collect();
    (!named.is_empty()).then_some((named, keep))
}
