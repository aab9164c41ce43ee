//! Gauges of the state of an instance, set each time the metrics are rendered.

use std::sync::Arc;
use std::time::Duration;

use prometheus::Gauge;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

use super::PREFIX;
use crate::log_writer::LineCounts;

/// State of an instance at one moment, as shown by its gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GaugeValues {
    /// Time since the store last answered.
    pub store_age: Duration,
    /// Version of the current catalog, or 0 if there is none.
    pub catalog_version: u64,
    /// Time since the current catalog was read.
    pub catalog_age: Duration,
    /// Number of targets that have a record.
    pub targets: usize,
    /// Number of targets that may get new requests.
    pub usable_targets: usize,
    /// Number of other instances that have a record or still send status
    /// messages.
    pub instances: usize,
    /// Number of other instances that are ready.
    pub ready_instances: usize,
    /// Longest time for which one of the ready instances has been silent.
    pub max_silence: Duration,
    /// Number of open links to other instances.
    pub links: usize,
    /// Whether this instance is a hub.
    pub is_hub: bool,
    /// Number of instances that report to this one.
    pub reporters: usize,
    /// Number of requests and streams that have not ended.
    pub open_requests: usize,
    /// Bytes of bodies and buffered answers.
    pub request_memory: u64,
    /// Limit on the bytes of bodies and buffered answers.
    pub request_memory_limit: u64,
    /// Bytes of memory that the process has in use.
    pub resident_memory: u64,
    /// Bytes of memory that the process may use.
    pub memory_limit: u64,
    /// Number of open requests from which on others are refused.
    pub max_requests: usize,
    /// Number of open connections of callers.
    pub caller_connections: usize,
    /// Number of those that carry no request.
    pub idle_caller_connections: usize,
    /// Number of callers' connections from which on requests of others are
    /// refused.
    pub max_caller_connections: usize,
    /// Number of open connections to targets, also idle ones.
    pub target_connections: usize,
    /// Largest number of open connections to targets.
    pub max_target_connections: usize,
    /// Number of quarantined prompt parts.
    pub quarantined_parts: usize,
    /// Requests that are suspended, as targets crashed under them.
    pub suspended_requests: usize,
}

/// The gauges.
#[derive(Debug)]
pub(super) struct Gauges {
    store_age: Gauge,
    store_era: IntGauge,
    catalog_version: IntGauge,
    catalog_age: Gauge,
    targets: IntGauge,
    usable_targets: IntGauge,
    instances: IntGauge,
    ready_instances: IntGauge,
    max_silence: Gauge,
    links: IntGauge,
    is_hub: IntGauge,
    reporters: IntGauge,
    open_requests: IntGauge,
    request_memory: IntGauge,
    request_memory_limit: IntGauge,
    resident_memory: IntGauge,
    memory_limit: IntGauge,
    max_requests: IntGauge,
    caller_connections: IntGauge,
    idle_caller_connections: IntGauge,
    max_caller_connections: IntGauge,
    target_connections: IntGauge,
    max_target_connections: IntGauge,
    quarantined_parts: IntGauge,
    suspended_requests: IntGauge,
    log_written: IntGauge,
    log_dropped: IntGauge,
}

impl Gauges {
    pub(super) fn new(registry: &Registry) -> Self {
        let count = |name, help| register_count(registry, name, help);
        let seconds = |name, help| register_seconds(registry, name, help);
        Self {
            store_age: seconds("store_age_seconds", "Time since the store last answered."),
            store_era: count("store_era", "Era of the store's data."),
            catalog_version: count("catalog_version", "Version of the catalog in force."),
            // "It" is the catalog in force.
            catalog_age: seconds("catalog_age_seconds", "Time since it was read."),
            targets: count("targets", "Targets that have a record."),
            usable_targets: count("targets_usable", "Targets that may get new requests."),
            // Instances with a voice are those that still send status messages.
            instances: count("instances", "Other instances with a record or a voice."),
            // "Them" are the instances that the previous metric counts.
            ready_instances: count("instances_ready", "Those of them that take requests."),
            // "Those" are the ready instances; a word is a status message or a
            // record update.
            max_silence: seconds(
                "instances_oldest_word_seconds",
                "Longest time since one of those told of itself.",
            ),
            links: count("links_open", "Open links to other instances."),
            is_hub: count("is_hub", "1 if this instance is a hub."),
            reporters: count("reporters", "Instances that report to this one."),
            open_requests: count("requests_open", "Requests and streams that have not ended."),
            request_memory: count(
                "request_memory_bytes",
                "Bytes of bodies and buffered answers.",
            ),
            request_memory_limit: count(
                "request_memory_limit_bytes",
                "Limit on the bytes of bodies and buffered answers.",
            ),
            resident_memory: count("resident_memory_bytes", "Memory that the process uses."),
            memory_limit: count("memory_limit_bytes", "Memory that the process may use."),
            max_requests: count(
                "requests_limit",
                "Open requests from which on others are refused.",
            ),
            caller_connections: count("caller_connections_open", "Connections of callers."),
            idle_caller_connections: count(
                "caller_connections_idle",
                "Connections of callers that carry no request.",
            ),
            max_caller_connections: count(
                "caller_connections_limit",
                "Connections of callers from which on requests of others are refused.",
            ),
            target_connections: count("target_connections_open", "Connections to targets."),
            max_target_connections: count(
                "target_connections_limit",
                "Largest number of connections to targets.",
            ),
            quarantined_parts: count(
                "quarantined_parts",
                "Prompt parts that are quarantined, as they crashed targets.",
            ),
            suspended_requests: count(
                "suspended_requests",
                "Requests that are suspended, as targets crashed under them.",
            ),
            log_written: count("log_lines_written", "Log lines written since the start."),
            log_dropped: count("log_lines_dropped", "Log lines dropped since the start."),
        }
    }

    pub(super) fn set(&self, values: &GaugeValues) {
        self.store_age.set(values.store_age.as_secs_f64());
        self.catalog_version.set(signed(values.catalog_version));
        self.catalog_age.set(values.catalog_age.as_secs_f64());
        self.targets.set(signed(values.targets));
        self.usable_targets.set(signed(values.usable_targets));
        self.instances.set(signed(values.instances));
        self.ready_instances.set(signed(values.ready_instances));
        self.max_silence.set(values.max_silence.as_secs_f64());
        self.links.set(signed(values.links));
        self.is_hub.set(i64::from(values.is_hub));
        self.reporters.set(signed(values.reporters));
        self.open_requests.set(signed(values.open_requests));
        self.request_memory.set(signed(values.request_memory));
        self.request_memory_limit
            .set(signed(values.request_memory_limit));
        self.resident_memory.set(signed(values.resident_memory));
        self.memory_limit.set(signed(values.memory_limit));
        self.max_requests.set(signed(values.max_requests));
        self.caller_connections
            .set(signed(values.caller_connections));
        self.idle_caller_connections
            .set(signed(values.idle_caller_connections));
        self.max_caller_connections
            .set(signed(values.max_caller_connections));
        self.target_connections
            .set(signed(values.target_connections));
        self.max_target_connections
            .set(signed(values.max_target_connections));
        self.quarantined_parts.set(signed(values.quarantined_parts));
        self.suspended_requests
            .set(signed(values.suspended_requests));
    }

    pub(super) fn set_store_era(&self, era: u64) {
        self.store_era.set(signed(era));
    }

    pub(super) fn set_log_counts(&self, counts: &Arc<LineCounts>) {
        self.log_written.set(signed(counts.written()));
        self.log_dropped.set(signed(counts.dropped()));
    }
}

/// Converts a count to the type that gauges store.
fn signed<N>(count: N) -> i64
where
    N: TryInto<i64>,
{
    count.try_into().unwrap_or(i64::MAX)
}

fn register_count(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let opts = Opts::new(format!("{PREFIX}_{name}"), help);
    let gauge = IntGauge::with_opts(opts).expect("the name is well formed");
    registry
        .register(Box::new(gauge.clone()))
        .expect("names are distinct");
    gauge
}

fn register_seconds(registry: &Registry, name: &str, help: &str) -> Gauge {
    let opts = Opts::new(format!("{PREFIX}_{name}"), help);
    let gauge = Gauge::with_opts(opts).expect("the name is well formed");
    registry
        .register(Box::new(gauge.clone()))
        .expect("names are distinct");
    gauge
}
