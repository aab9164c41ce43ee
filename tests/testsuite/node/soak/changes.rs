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

/// Version of the first configuration of a run.
const FIRST_VERSION: u64 = 10;

/// Time after which a configuration is in force everywhere.
const APPLY_TIME: Duration = Duration::from_secs(3);

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
}

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
}

/// The values of the first and the last configuration of a run.
const STANDARD: Values = Values {
    idle_ms: 15_000,
    head_ms: 3000,
    head_bytes: 16_384,
    timeout_ms: 4000,
    rate: 1e6,
    spare_share: 0.0,
};

#[derive(Debug)]
struct State {
    version: u64,
    values: Values,
    terms: Vec<Terms>,
}

/// Writes configurations and knows those of the run.
#[derive(Debug)]
pub(super) struct Changes(Mutex<State>);

impl Changes {
    /// Writes the first configuration.
    pub(super) fn begin(store: &PlatformStore) -> Self {
        let changes = Self(Mutex::new(State {
            version: FIRST_VERSION,
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
        };
        state.terms.push(terms);
        store.put("op/config", &document(state.version, &state.values));
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
        let state = self.0.lock().expect("no panic under the lock");
        let terms = &state.terms;
        let in_force = terms.iter().enumerate().filter(|(i, terms_now)| {
            let next = terms.get(i + 1);
            let is_replaced = next.is_some_and(|next| next.written + APPLY_TIME < from);
            terms_now.written <= until && !is_replaced
        });
        let timeouts: Vec<_> = in_force.map(|(_, terms)| terms.timeout).collect();
        let shortest = timeouts.iter().min().copied();
        let longest = timeouts.iter().max().copied();
        shortest
            .zip(longest)
            .expect("a run begins with a configuration")
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
    let routes = config["routes"].as_array_mut().expect("routes");
    for route in &mut *routes {
        route["timeout_ms"] = json!(values.timeout_ms);
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
