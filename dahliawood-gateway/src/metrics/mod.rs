//! Prometheus metrics of a gateway: counters, a latency histogram and a gauge.

use dahliawood_steer::placement::work::RouteEstimate;
use prometheus::core::Collector;
use prometheus::{
    Gauge, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use std::time::Duration;

/// Upper bounds of the latency histogram, seconds.
const LATENCY_BOUNDS: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0];

/// Upper bounds of the histogram of waits, seconds.
const WAIT_BOUNDS: [f64; 6] = [0.015, 0.03, 0.06, 0.125, 0.25, 0.5];

/// All metrics of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests of callers, by outcome.
    pub requests: IntCounterVec,
    /// Requests sent to targets, by outcome.
    pub sends: IntCounterVec,
    /// Requests refused for load where requests differ in priority, by service, rank and reason.
    pub sheds: IntCounterVec,
    /// Refused share of each rank of a service.
    pub shed_share: GaugeVec,
    /// Calls to the store, by kind and outcome.
    pub store_calls: IntCounterVec,
    /// How old this VM's knowledge of the key space is, seconds.
    pub knowledge_age: Gauge,
    /// Times that this VM began to learn of changes from another source, by its kind.
    pub source_changes: IntCounterVec,
    /// Look-ups, by outcome.
    pub lookups: IntCounterVec,
    /// Times that a target newly said something of itself.
    pub statements: IntCounter,
    /// Requests that began to be held back because they crash targets.
    pub quarantines: IntCounter,
    /// Admitted requests that did not run and were given back to their customers' limits.
    pub given_back: IntCounter,
    /// Requests and connections that ended because bodies take too much memory, by what was short.
    pub memory_refusals: IntCounterVec,
    /// Callers' connections that were kept open after their last response, by what ended that.
    pub lingering: IntCounterVec,
    /// Requests that other VMs served for this one, and this one for others, by side and outcome.
    pub forwards: IntCounterVec,
    /// 1 while this VM reaches no target.
    pub cut_off: IntGauge,
    /// What other VMs said of targets and this VM's own connections contradict.
    pub contradictions: IntCounter,
    /// Writes that the store carried out after one of which the writer said later.
    pub late_writes: IntCounter,
    /// Keys that are gone from the store and still held.
    pub held_keys: IntGauge,
    /// Removals of keys that were held back.
    pub held_removals: IntCounter,
    /// Changes of the warm-ups of targets, by change and cause.
    pub warmups: IntCounterVec,
    /// Targets that are warming up.
    pub warming_targets: IntGauge,
    /// Loads of targets that were told to other VMs, taken over from them, or ignored, by outcome.
    pub loads: IntCounterVec,
    /// Calls to the VMs that collect loads, by outcome.
    pub load_calls: IntCounterVec,
    /// Share of a service's objects that run in other regions, by service.
    pub spillover_level: GaugeVec,
    /// Requests that wait for a slot.
    pub waiting: IntGauge,
    /// Waits for a slot, by outcome.
    pub waits: IntCounterVec,
    /// Time waited for a slot, seconds.
    pub wait_time: Histogram,
    /// Time from the head of a request to its response, seconds.
    pub latency: Histogram,
    /// Number of requests being served.
    pub in_flight: IntGauge,
    /// Estimated work, seconds, by service, route, visit and statistic.
    pub work: GaugeVec,
    /// Requests whose work was not expected to end in time, by service, route, visit and outcome.
    pub late_work: GaugeVec,
}

/// A registry that is being filled.
struct MetricsRegistry(Registry);

impl MetricsRegistry {
    fn register<C: Collector + Clone + 'static>(&self, metric: C) -> Result<C, prometheus::Error> {
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn counter(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        self.register(IntCounter::new(name, help)?)
    }

    fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        self.register(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        self.register(IntGauge::new(name, help)?)
    }

    fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<GaugeVec, prometheus::Error> {
        self.register(GaugeVec::new(Opts::new(name, help), labels)?)
    }

    fn histogram(
        &self,
        name: &str,
        help: &str,
        bounds: &[f64],
    ) -> Result<Histogram, prometheus::Error> {
        let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
        self.register(Histogram::with_opts(options)?)
    }
}

impl GatewayMetrics {
    /// Registers all metrics, with the value zero.
    ///
    /// # Errors
    /// Fails if a metric name is invalid or registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let metrics = MetricsRegistry(Registry::new_custom(Some("dahliawood".to_owned()), None)?);
        let work_labels = |label| ["service", "route", "visit", label];
        Ok(Self {
            requests: metrics.counters("requests_total", "Requests of callers.", &["outcome"])?,
            sends: metrics.counters("sends_total", "Requests sent to targets.", &["outcome"])?,
            sheds: metrics.counters("sheds_total", "Requests refused for load, by priorities of customer and route.", &["service", "rank", "reason"])?,
            shed_share: metrics.gauges("shed_share", "Refused share of the requests of a rank.", &["service", "rank"])?,
            store_calls: metrics.counters("store_calls_total", "Calls to the store.", &["call", "outcome"])?,
            knowledge_age: metrics.register(Gauge::new("knowledge_age_seconds", "Time since this VM's knowledge of the key space was last known to be current.")?)?,
            source_changes: metrics.counters("knowledge_source_changes_total", "Times that this VM began to learn of changes from another source, by its kind.", &["kind"])?,
            lookups: metrics.counters("lookups_total", "Look-ups.", &["outcome"])?,
            statements: metrics.counter("statements_total", "Times that a target newly said something of itself.")?,
            quarantines: metrics.counter("quarantines_total", "Requests that began to be held back because they crash targets.")?,
            given_back: metrics.counter("limit_given_back_total", "Requests that did not run and were given back to their customers' limits.")?,
            memory_refusals: metrics.counters("memory_refusals_total", "Requests and connections that ended because bodies take too much memory.", &["kind"])?,
            lingering: metrics.counters("lingering_closes_total", "Connections of callers that were kept open after their last response, by what ended that.", &["outcome"])?,
            forwards: metrics.counters("forwards_total", "Requests forwarded to other VMs (side 'origin') and for them (side 'helper').", &["side", "outcome"])?,
            cut_off: metrics.gauge("cut_off", "1 while this VM reaches no target.")?,
            contradictions: metrics.counter("contradictions_total", "What other VMs said of targets and this VM's connections contradict.")?,
            held_keys: metrics.gauge("held_keys", "Keys that are gone from the store and still held.")?,
            held_removals: metrics.counter("held_removals_total", "Removals of keys that were held back.")?,
            late_writes: metrics.counter("late_writes_total", "Writes that the store carried out late.")?,
            warmups: metrics.counters("warmups_total", "Warm-ups of targets that began, ended or were set back.", &["change", "cause"])?,
            warming_targets: metrics.gauge("warming_targets", "Targets that are warming up.")?,
            loads: metrics.counters("loads_total", "Loads of targets exchanged with other VMs: sent, adopted, or ignored by reason.", &["outcome"])?,
            load_calls: metrics.counters("load_calls_total", "Calls to the VMs that collect loads.", &["outcome"])?,
            spillover_level: metrics.gauges("spillover_level", "Share of a service's objects that run in other regions.", &["service"])?,
            waiting: metrics.gauge("requests_waiting", "Requests that wait for a slot.")?,
            waits: metrics.counters("waits_total", "Waits for a slot.", &["outcome"])?,
            wait_time: metrics.histogram("wait_seconds", "Time waited for a slot.", &WAIT_BOUNDS)?,
            latency: metrics.histogram("request_seconds", "From a request to its answer.", &LATENCY_BOUNDS)?,
            in_flight: metrics.gauge("requests_in_flight", "Requests that are being served.")?,
            work: metrics.gauges("work_seconds", "Estimated work of requests, without queueing and network.", &work_labels("statistic"))?,
            late_work: metrics.gauges("late_work", "Requests whose work was not expected to end in time, while their estimate is current.", &work_labels("outcome"))?,
            registry: metrics.0,
        })
    }

    /// Counts a request of a caller.
    pub fn record_request(&self, outcome: &str, taken: Duration) {
        self.requests.with_label_values(&[outcome]).inc();
        self.latency.observe(taken.as_secs_f64());
    }

    /// Counts a request sent to a target.
    pub fn record_send(&self, outcome: &str) {
        self.sends.with_label_values(&[outcome]).inc();
    }

    /// Counts a request that was refused for load where requests differ in priority.
    pub fn record_shed(&self, service: &str, rank: &str, reason: &str) {
        self.sheds.with_label_values(&[service, rank, reason]).inc();
    }

    /// Sets the refused share of a rank of a service.
    pub fn set_shed_share(&self, service: &str, rank: &str, share: f64) {
        let gauge = self.shed_share.with_label_values(&[service, rank]);
        gauge.set(share);
    }

    /// Counts a request that was forwarded, on the side of the VM that sends it or of the one that
    /// helps.
    pub fn record_forward(&self, side: &str, outcome: &str) {
        self.forwards.with_label_values(&[side, outcome]).inc();
    }

    /// Counts changes of warm-ups.
    pub fn record_warmups(&self, change: &str, cause: &str, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.warmups
            .with_label_values(&[change, cause])
            .inc_by(count);
    }

    /// Counts loads of targets that were told to other VMs, taken over or ignored.
    pub fn record_loads(&self, outcome: &str, count: usize) {
        let counter = self.loads.with_label_values(&[outcome]);
        counter.inc_by(count as u64);
    }

    /// Counts a call to a VM that collects loads.
    pub fn record_load_call(&self, outcome: &str) {
        self.load_calls.with_label_values(&[outcome]).inc();
    }

    /// Counts the end of a wait for a slot.
    pub fn record_wait(&self, outcome: &str, waited: Duration) {
        self.waits.with_label_values(&[outcome]).inc();
        self.wait_time.observe(waited.as_secs_f64());
    }

    /// Counts a call to the store.
    pub fn record_store_call(&self, call: &str, is_answered: bool) {
        let outcome = if is_answered { "answered" } else { "failed" };
        self.store_calls.with_label_values(&[call, outcome]).inc();
    }

    /// Sets the estimate of a route's work.
    pub fn set_work(&self, service: &str, route: &str, known: &RouteEstimate) {
        let RouteEstimate {
            estimate,
            trials,
            refusals,
            ..
        } = known;
        let visit = known.visit.label();
        let times = [
            ("mean", estimate.mean),
            ("median", estimate.median),
            ("q90", estimate.high),
        ];
        for (statistic, work) in times {
            let labels = [service, route, visit, statistic];
            self.work.with_label_values(&labels).set(work.as_secs_f64());
        }
        for (outcome, count) in [("tried", trials), ("refused", refusals)] {
            let labels = [service, route, visit, outcome];
            self.late_work.with_label_values(&labels).set(*count as f64);
        }
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| {
                log::error!("cannot encode the metrics: {error}");
                String::new()
            })
    }
}
