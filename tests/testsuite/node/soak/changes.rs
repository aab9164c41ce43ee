//! Changes of the configuration in the course of a run.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use support::node::PlatformStore;
use support::node::site::configuration;

use super::Profile;
use super::homes::Homes;
use super::trouble::UPLOAD_BYTES;

/// Version of the first configuration of a run.
const FIRST_VERSION: u64 = 10;

/// Time after which a configuration is in force everywhere.
pub(super) const APPLY_TIME: Duration = Duration::from_secs(3);

/// Values of the idle limit, in ms.
const IDLE_MS: [u64; 3] = [800, 2000, 15_000];

/// Values of the limit on the time of a head, in ms.
const HEAD_MS: [u64; 2] = [1000, 3000];

/// Values of the limit on the size of a head.
const HEAD_BYTES: [u64; 3] = [8192, 16_384, 32_768];

/// Values of the timeout of the routes, in ms.
const TIMEOUT_MS: [u64; 3] = [2500, 3000, 4000];

/// Values of the tenant's rate, in tokens a second.
const RATES: [f64; 3] = [1e6, 30_000.0, 6_000.0];

/// What callers and checks know of a configuration.
#[derive(Clone, Copy, Debug)]
struct Terms {
    written: Instant,
    idle: Duration,
    timeout: Duration,
    account_homes: Homes,
    route_homes: [Homes; ROUTES.len()],
}

/// Routes of the configuration, in its order.
const ROUTES: [&str; 4] = ["status", "deposit", "quote", "chat"];

/// A configuration as its values.
#[derive(Clone, Copy, Debug)]
struct Values {
    idle_ms: u64,
    head_ms: u64,
    head_bytes: u64,
    timeout_ms: u64,
    rate: f64,
    /// Share of the status route's requests that the spare service gets.
    spare_share: f64,
    account_homes: Homes,
    route_homes: [Homes; ROUTES.len()],
}

/// The values of the first and the last configuration of a run.
const STANDARD: Values = Values {
    idle_ms: 15_000,
    head_ms: 3000,
    head_bytes: 16_384,
    timeout_ms: 4000,
    rate: 1e6,
    spare_share: 0.0,
    account_homes: &[],
    route_homes: [&[]; ROUTES.len()],
};

#[derive(Debug)]
struct State {
    version: u64,
    /// Largest body of a request; that of the usual configuration if none.
    max_body_bytes: Option<usize>,
    values: Values,
    terms: Vec<Terms>,
}

/// Writes configurations and knows those of the run.
#[derive(Debug)]
pub(super) struct Changes(Mutex<State>);

impl Changes {
    /// Writes the first configuration.
    pub(super) fn begin(store: &PlatformStore, profile: Profile) -> Self {
        let changes = Self(Mutex::new(State {
            version: FIRST_VERSION,
            max_body_bytes: (profile == Profile::Broken).then_some(UPLOAD_BYTES),
            values: STANDARD,
            terms: Vec::new(),
        }));
        changes.restore(store);
        changes
    }

    /// Writes the standard configuration.
    pub(super) fn restore(&self, store: &PlatformStore) {
        self.write(store, |values| *values = STANDARD);
    }

    /// Changes one value at random.
    pub(super) fn change(&self, store: &PlatformStore, rng: &mut StdRng) {
        let kind = rng.random_range(0..6);
        let mut pick = |len: usize| rng.random_range(0..len);
        self.write(store, |values| match kind {
            0 => values.idle_ms = IDLE_MS[pick(IDLE_MS.len())],
            1 => values.head_ms = HEAD_MS[pick(HEAD_MS.len())],
            2 => values.head_bytes = HEAD_BYTES[pick(HEAD_BYTES.len())],
            3 => values.timeout_ms = TIMEOUT_MS[pick(TIMEOUT_MS.len())],
            4 => values.rate = RATES[pick(RATES.len())],
            _ => values.spare_share = [0.0, 0.5, 1.0][pick(3)],
        });
    }

    /// Moves the homes of a route or of the account, chosen at random.
    pub(super) fn move_homes(&self, store: &PlatformStore, homes: Homes, rng: &mut StdRng) {
        let at = rng.random_range(0..=ROUTES.len());
        self.write(store, |values| match values.route_homes.get_mut(at) {
            Some(route) => *route = homes,
            None => values.account_homes = homes,
        });
    }

    fn write<F>(&self, store: &PlatformStore, mut set: F)
    where
        F: FnMut(&mut Values),
    {
        let mut state = self.0.lock().expect("no panic under the lock");
        set(&mut state.values);
        state.version += 1;
        let terms = Terms {
            written: Instant::now(),
            idle: Duration::from_millis(state.values.idle_ms),
            timeout: Duration::from_millis(state.values.timeout_ms),
            account_homes: state.values.account_homes,
            route_homes: state.values.route_homes,
        };
        state.terms.push(terms);
        let mut config = document(state.version, &state.values);
        if let Some(bytes) = state.max_body_bytes {
            config["limits"]["max_body_bytes"] = json!(bytes);
        }
        store.put("op/config", &config);
    }

    /// Returns the larger of the last two idle limits.
    pub(super) fn idle_limit(&self) -> Duration {
        let state = self.0.lock().expect("no panic under the lock");
        let last = state.terms.iter().rev().take(2).map(|terms| terms.idle);
        last.max().expect("a run begins with a configuration")
    }

    /// Returns the shortest and the longest timeout of a route that may have
    /// been in force within a span of time.
    pub(super) fn timeouts(&self, from: Instant, until: Instant) -> (Duration, Duration) {
        let terms = self.in_force(from, until, |written| Some(written + APPLY_TIME));
        let timeouts: Vec<_> = terms.iter().map(|terms| terms.timeout).collect();
        let shortest = timeouts.iter().min().copied();
        let longest = timeouts.iter().max().copied();
        shortest
            .zip(longest)
            .expect("a run begins with a configuration")
    }

    /// Returns the homes of a path's route and of the account in each
    /// configuration that may have been in force within a span of time. `applied`
    /// tells when one that was written at a time is in force everywhere, if it is.
    pub(super) fn homes<F>(
        &self,
        path: &str,
        from: Instant,
        until: Instant,
        applied: F,
    ) -> Vec<(Homes, Homes)>
    where
        F: Fn(Instant) -> Option<Instant>,
    {
        let route = path.split('/').nth(1);
        let at = ROUTES.iter().position(|name| Some(*name) == route);
        let at = at.expect("a path of a route");
        let terms = self.in_force(from, until, applied);
        let homes = terms.iter().map(|t| (t.route_homes[at], t.account_homes));
        homes.collect()
    }

    /// Returns the homes of all routes, in their order, in each configuration that
    /// may have been in force within a span of time.
    pub(super) fn route_homes<F>(
        &self,
        from: Instant,
        until: Instant,
        applied: F,
    ) -> Vec<[Homes; ROUTES.len()]>
    where
        F: Fn(Instant) -> Option<Instant>,
    {
        let terms = self.in_force(from, until, applied);
        terms.iter().map(|terms| terms.route_homes).collect()
    }

    /// Returns what the configurations state that may have been in force within a
    /// span of time.
    fn in_force<F>(&self, from: Instant, until: Instant, applied: F) -> Vec<Terms>
    where
        F: Fn(Instant) -> Option<Instant>,
    {
        let state = self.0.lock().expect("no panic under the lock");
        let terms = &state.terms;
        let in_force = terms.iter().enumerate().filter(|(i, terms_now)| {
            let next = terms.get(i + 1).and_then(|next| applied(next.written));
            let is_replaced = next.is_some_and(|next| next < from);
            terms_now.written <= until && !is_replaced
        });
        in_force.map(|(_, terms)| *terms).collect()
    }
}

/// Returns the document of a configuration.
fn document(version: u64, values: &Values) -> Value {
    let mut config = configuration(version);
    config["limits"]["idle_timeout_ms"] = json!(values.idle_ms);
    config["limits"]["header_timeout_ms"] = json!(values.head_ms);
    config["limits"]["max_header_bytes"] = json!(values.head_bytes);
    config["tenants"][0]["rate_per_s"] = json!(values.rate);
    config["tenants"][0]["burst"] = json!(values.rate);
    config["tenants"][0]["allowed_regions"] = json!(values.account_homes);
    let routes = config["routes"].as_array_mut().expect("routes");
    for (route, homes) in routes.iter_mut().zip(values.route_homes) {
        route["timeout_ms"] = json!(values.timeout_ms);
        route["allowed_regions"] = json!(homes);
    }
    routes[0]["weighted_backends"] = json!([
        {"service": "orders", "weight": 1.0 - values.spare_share},
        {"service": "spare", "weight": values.spare_share},
    ]);
    let services = config["services"].as_array_mut().expect("services");
    let mut spare = services[0].clone();
    spare["name"] = json!("spare");
    services.push(spare);
    config
}
