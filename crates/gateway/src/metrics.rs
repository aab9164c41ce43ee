//! Counters, gauges and latency histograms in the Prometheus text format.

mod gauges;
mod limits;

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use chiverelay_decisions::directory::Distance;
use chiverelay_decisions::directory::NoInstanceReason;
use chiverelay_decisions::refusal::Refusal;
use hyper::StatusCode;
use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;

use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::continuation::SoftwareMatch;
use crate::links::CloseCause;
use crate::log_writer::LineCounts;
use crate::lookup;
use crate::relay::AnswerOrigin;
use crate::relay::EndCause;

pub use gauges::GaugeValues;
use gauges::Gauges;
pub use limits::LimitAction;
pub use limits::Resource;

/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0, 10.0,
];

/// The metrics of a gateway process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    unanswered: IntCounterVec,
    interruptions: IntCounterVec,
    continuations: IntCounterVec,
    lookups: IntCounterVec,
    cut_answers: IntCounterVec,
    region_conflicts: IntCounterVec,
    barred_requests: IntCounterVec,
    attempts: IntCounterVec,
    retry_decisions: IntCounterVec,
    extra_attempts: IntCounterVec,
    crash_checks: IntCounterVec,
    connection_uses: IntCounterVec,
    forwards: IntCounterVec,
    target_cuts: IntCounterVec,
    cut_off_forwards: IntCounterVec,
    sibling_refusals: IntCounterVec,
    memory_denials: IntCounterVec,
    store_calls: IntCounterVec,
    task_restarts: IntCounterVec,
    limit_hits: IntCounterVec,
    log_counts: OnceLock<Arc<LineCounts>>,
    gauges: Gauges,
    first_byte_times: HistogramVec,
    attempt_times: HistogramVec,
    forward_times: HistogramVec,
    stream_times: HistogramVec,
    store_call_times: HistogramVec,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates metrics with all counters at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            requests: counter(
                &registry,
                "requests_total",
                "Answers by status class.",
                &["status"],
            ),
            refusals: counter(
                &registry,
                "refusals_total",
                "Refusals by code, and whether the request may have run.",
                &["code", "ran"],
            ),
            unanswered: counter(
                &registry,
                "unanswered_requests_total",
                "Requests that were read completely and got no complete answer, by cause.",
                &["cause"],
            ),
            interruptions: counter(
                &registry,
                "answer_interruptions_total",
                "Answers that ended early, by where they came from and why.",
                &["origin", "cause"],
            ),
            continuations: counter(
                &registry,
                "continued_streams_total",
                "Streams that went on at another target, by whether its software began them.",
                &["software"],
            ),
            region_conflicts: counter(
                &registry,
                "region_conflicts_total",
                "Attempts and forwards that were not sent, as the catalog in force bars the region.",
                &["to"],
            ),
            barred_requests: counter(
                &registry,
                "barred_requests_total",
                "Requests that arrived in a region where they may not run, by who sent them.",
                &["from"],
            ),
            lookups: counter(
                &registry,
                "lookups_total",
                "Lookups of instances by how far those are that callers were told of, or why there were none.",
                &["nearest"],
            ),
            cut_answers: counter(
                &registry,
                "cut_answers_total",
                "Answers of other instances that ended as this one closed the link, by cause.",
                &["cause"],
            ),
            attempts: counter(
                &registry,
                "attempts_total",
                "Attempts at targets by outcome.",
                &["outcome"],
            ),
            retry_decisions: counter(
                &registry,
                "retries_total",
                "Retries that the retry budget allowed or denied.",
                &["decision"],
            ),
            extra_attempts: counter(
                &registry,
                "extra_attempts_total",
                "Extra attempts at requests whose target was slow to answer, by what became of them.",
                &["event"],
            ),
            crash_checks: counter(
                &registry,
                "crash_checks_total",
                "Checks of targets that lost requests, by whether they had crashed.",
                &["result"],
            ),
            connection_uses: counter(
                &registry,
                "target_connections_total",
                "Connections used for requests, by whether they were new.",
                &["kind"],
            ),
            forwards: counter(
                &registry,
                "forwards_total",
                "Requests passed on to other instances.",
                &[],
            ),
            target_cuts: counter(
                &registry,
                "target_cuts_total",
                "Times that no target of the region could be reached, by event.",
                &["event"],
            ),
            cut_off_forwards: counter(
                &registry,
                "cut_off_forwards_total",
                "Requests passed on within the region, as no target could be reached.",
                &[],
            ),
            sibling_refusals: counter(
                &registry,
                "sibling_refusals_total",
                "Connections and messages of other instances that were refused.",
                &["reason"],
            ),
            memory_denials: counter(
                &registry,
                "memory_denials_total",
                "What did not fit into the memory of requests.",
                &["what"],
            ),
            store_calls: counter(
                &registry,
                "store_calls_total",
                "Calls of the store by kind and result.",
                &["kind", "result"],
            ),
            task_restarts: counter(
                &registry,
                "task_restarts_total",
                "Background tasks that ended unexpectedly and were started again.",
                &["task"],
            ),
            limit_hits: counter(
                &registry,
                "limit_hits_total",
                "What was refused, closed or delayed at a limit of a resource.",
                &["resource", "action"],
            ),
            log_counts: OnceLock::new(),
            gauges: Gauges::new(&registry),
            first_byte_times: histogram(
                &registry,
                "first_byte_seconds",
                "Time to the beginning of an answer.",
                &["result"],
            ),
            attempt_times: histogram(
                &registry,
                "attempt_seconds",
                "Time until a target's answer begins, or until it fails to, by outcome.",
                &["outcome"],
            ),
            forward_times: histogram(
                &registry,
                "forward_seconds",
                "Time until another instance's answer begins, or until it fails to.",
                &["outcome"],
            ),
            stream_times: histogram(
                &registry,
                "stream_seconds",
                "Time to the end of a stream, by outcome.",
                &["outcome"],
            ),
            store_call_times: histogram(
                &registry,
                "store_call_seconds",
                "Time of a call of the store.",
                &["kind"],
            ),
            registry,
        }
    }

    /// Creates a series with the label value `none` for every labeled metric,
    /// so that the output lists metrics that have counted nothing yet. Used by
    /// tests that check the list of metrics.
    pub fn create_all_series(&self) {
        for counter in [
            &self.requests,
            &self.unanswered,
            &self.cut_answers,
            &self.region_conflicts,
            &self.barred_requests,
            &self.attempts,
            &self.retry_decisions,
            &self.extra_attempts,
            &self.crash_checks,
            &self.connection_uses,
            &self.target_cuts,
            &self.sibling_refusals,
            &self.memory_denials,
            &self.task_restarts,
        ] {
            counter.with_label_values(&["none"]);
        }
        self.refusals.with_label_values(&["none", "none"]);
        self.limit_hits.with_label_values(&["none", "none"]);
        self.interruptions.with_label_values(&["none", "none"]);
        self.continuations.with_label_values(&["same"]);
        self.lookups.with_label_values(&["none"]);
        self.store_calls.with_label_values(&["none", "none"]);
        self.forwards.with_label_values::<&str>(&[]);
        self.cut_off_forwards.with_label_values::<&str>(&[]);
        for histogram in [
            &self.first_byte_times,
            &self.attempt_times,
            &self.forward_times,
            &self.stream_times,
            &self.store_call_times,
        ] {
            histogram.with_label_values(&["none"]);
        }
    }

    /// Returns all metrics as text, with gauges set to the given values.
    pub fn render(&self, values: &GaugeValues) -> String {
        self.gauges.set(values);
        if let Some(counts) = self.log_counts.get() {
            self.gauges.set_log_counts(counts);
        }
        let mut buf = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::warn!(target: "metrics", error:% = e; "metrics can't be written");
        }
        String::from_utf8_lossy(&buf).into_owned()
    }

    pub(crate) fn record_reply(&self, status: StatusCode, took: Duration) {
        let class = match status.as_u16() {
            200..300 => "2xx",
            300..400 => "3xx",
            400..500 => "4xx",
            _ => "5xx",
        };
        self.requests.with_label_values(&[class]).inc();
        let histogram = self.first_byte_times.with_label_values(&["answered"]);
        histogram.observe(took.as_secs_f64());
    }

    pub(crate) fn record_refusal(&self, refusal: &Refusal, took: Duration) {
        let labels = [refusal.code.as_str(), refusal.outcome.as_str()];
        self.refusals.with_label_values(&labels).inc();
        let histogram = self.first_byte_times.with_label_values(&["refused"]);
        histogram.observe(took.as_secs_f64());
    }

    /// Counts a lookup by how far the instances are that were named, or by why
    /// none were.
    pub(crate) fn count_lookup(&self, result: Result<Distance, NoInstanceReason>) {
        let labels = [lookup::result_name(result)];
        self.lookups.with_label_values(&labels).inc();
    }

    /// Counts a stream that goes on at another target.
    pub(crate) fn count_continuation(&self, software: SoftwareMatch) {
        let labels = [software.as_str()];
        self.continuations.with_label_values(&labels).inc();
    }

    /// Counts an answer that ended early, whether or not it was resumed.
    pub(crate) fn count_interruption(&self, origin: AnswerOrigin, cause: EndCause) {
        let labels = [origin.as_str(), cause.as_str()];
        self.interruptions.with_label_values(&labels).inc();
    }

    /// Counts an attempt or a forward that was not sent, as the catalog in force
    /// bars the region.
    pub(crate) fn count_region_conflict(&self, to: &'static str) {
        self.region_conflicts.with_label_values(&[to]).inc();
    }

    /// Counts a request that arrived in a region where it may not run.
    pub(crate) fn count_barred_request(&self, from: &'static str) {
        self.barred_requests.with_label_values(&[from]).inc();
    }

    /// Counts answers that a link carried when this instance closed it.
    pub(crate) fn count_cut_answers(&self, cause: CloseCause, count: usize) {
        let counter = self.cut_answers.with_label_values(&[cause.as_str()]);
        counter.inc_by(count as u64);
    }

    /// Counts a request that was read completely and got no complete answer.
    pub fn count_unanswered(&self, cause: &str) {
        self.unanswered.with_label_values(&[cause]).inc();
    }

    /// Records an attempt at a target and the time until its answer began or
    /// the attempt failed.
    pub(crate) fn record_attempt(&self, outcome: &str, took: Duration) {
        self.attempts.with_label_values(&[outcome]).inc();
        let histogram = self.attempt_times.with_label_values(&[outcome]);
        histogram.observe(took.as_secs_f64());
    }

    pub(crate) fn count_connection_use(&self, is_new: bool) {
        let kind = if is_new { "new" } else { "kept" };
        self.connection_uses.with_label_values(&[kind]).inc();
    }

    /// Counts a request that was forwarded.
    pub(crate) fn count_forward(&self) {
        self.forwards.with_label_values::<&str>(&[]).inc();
    }

    /// Counts the begin or the end of a time in which no target of the region can
    /// be reached.
    pub(crate) fn count_target_cut(&self, is_cut_off: bool) {
        let label = match is_cut_off {
            true => "found",
            false => "over",
        };
        self.target_cuts.with_label_values(&[label]).inc();
    }

    /// Counts a request that is forwarded within the region.
    pub(crate) fn count_cut_off_forward(&self) {
        self.cut_off_forwards.with_label_values::<&str>(&[]).inc();
    }

    /// Records the time until another instance's answer began or forwarding the
    /// request failed.
    pub(crate) fn record_forward(&self, outcome: &str, took: Duration) {
        let histogram = self.forward_times.with_label_values(&[outcome]);
        histogram.observe(took.as_secs_f64());
    }

    pub(crate) fn count_retry_decision(&self, is_allowed: bool) {
        let label = match is_allowed {
            true => "allowed",
            false => "denied",
        };
        self.retry_decisions.with_label_values(&[label]).inc();
    }

    /// Counts the start or the end of an extra attempt, or why there is none.
    pub(crate) fn count_extra_attempt(&self, event: &str) {
        self.extra_attempts.with_label_values(&[event]).inc();
    }

    /// Counts a check of a target that lost requests.
    pub(crate) fn count_crash_check(&self, has_crashed: bool) {
        let label = match has_crashed {
            true => "crashed",
            false => "running",
        };
        self.crash_checks.with_label_values(&[label]).inc();
    }

    pub(crate) fn count_sibling_refusal(&self, reason: &str) {
        self.sibling_refusals.with_label_values(&[reason]).inc();
    }

    /// Counts what was refused or not buffered for lack of memory.
    pub(crate) fn count_memory_denial(&self, what: &str) {
        self.memory_denials.with_label_values(&[what]).inc();
    }

    /// Records the end of a relayed answer, which need not be a stream.
    pub(crate) fn record_stream(&self, outcome: &str, took: Duration) {
        let histogram = self.stream_times.with_label_values(&[outcome]);
        histogram.observe(took.as_secs_f64());
    }

    /// Records a call to the store.
    pub fn record_store_call(&self, kind: &str, result: &str, took: Duration) {
        self.store_calls.with_label_values(&[kind, result]).inc();
        let histogram = self.store_call_times.with_label_values(&[kind]);
        histogram.observe(took.as_secs_f64());
    }

    /// Counts a background task that ended unexpectedly.
    pub(crate) fn count_task_restart(&self, task: &str) {
        self.task_restarts.with_label_values(&[task]).inc();
    }

    /// Counts what was done at a limit of a resource.
    pub fn count_limit_hit(&self, resource: Resource, action: LimitAction) {
        let labels = [resource.as_str(), action.as_str()];
        self.limit_hits.with_label_values(&labels).inc();
    }

    /// Sets the era of the store's data, which rises each time the store comes
    /// back from an older copy.
    pub fn set_store_era(&self, era: u64) {
        self.gauges.set_store_era(era);
    }

    /// Sets the counts of log lines to show as gauges.
    pub(crate) fn set_log_counts(&self, counts: Arc<LineCounts>) {
        if self.log_counts.set(counts).is_err() {
            log::debug!(target: "metrics", "the counts of log lines were set before");
        }
    }
}

/// Prefix of every metric.
const PREFIX: &str = "chiverelay";

fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let opts = Opts::new(format!("{PREFIX}_{name}"), help);
    let counter = IntCounterVec::new(opts, labels).expect("names and labels are well formed");
    registry
        .register(Box::new(counter.clone()))
        .expect("names are distinct");
    counter
}

fn histogram(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts =
        HistogramOpts::new(format!("{PREFIX}_{name}"), help).buckets(LATENCY_BUCKETS.to_vec());
    let histogram = HistogramVec::new(opts, labels).expect("names and labels are well formed");
    registry
        .register(Box::new(histogram.clone()))
        .expect("names are distinct");
    histogram
}
