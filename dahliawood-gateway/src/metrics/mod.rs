//! Prometheus metrics of a gateway: counters, a latency histogram and a gauge.

use dahliawood_steer::placement::work::RouteEstimate;
use prometheus::{
    GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
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
    /// Requests that other VMs served for this one, and this one for others, by side and outcome.
    pub forwards: IntCounterVec,
    /// 1 while this VM reaches no target.
    pub cut_off: IntGauge,
    /// What other VMs said of targets and this VM's own connections contradict.
    pub contradictions: IntCounter,
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

impl GatewayMetrics {
    /// Registers all metrics, with the value zero.
    ///
    /// # Errors
    /// Fails if a metric name is invalid or registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("dahliawood".to_owned()), None)?;
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let requests = counter("requests_total", "Requests of callers.", &["outcome"])?;
        let sends = counter("sends_total", "Requests sent to targets.", &["outcome"])?;
        let sheds = counter(
            "sheds_total",
            "Requests refused for load, by priorities of customer and route.",
            &["service", "rank", "reason"],
        )?;
        let options = Opts::new("shed_share", "Refused share of the requests of a rank.");
        let shed_share = GaugeVec::new(options, &["service", "rank"])?;
        registry.register(Box::new(shed_share.clone()))?;
        let store_calls = counter(
            "store_calls_total",
            "Calls to the store.",
            &["call", "outcome"],
        )?;
        let lookups = counter("lookups_total", "Look-ups.", &["outcome"])?;
        let statements = IntCounter::new(
            "statements_total",
            "Times that a target newly said something of itself.",
        )?;
        registry.register(Box::new(statements.clone()))?;
        let quarantines = IntCounter::new(
            "quarantines_total",
            "Requests that began to be held back because they crash targets.",
        )?;
        registry.register(Box::new(quarantines.clone()))?;
        let given_back = IntCounter::new(
            "limit_given_back_total",
            "Requests that did not run and were given back to their customers' limits.",
        )?;
        registry.register(Box::new(given_back.clone()))?;
        let memory_refusals = counter(
            "memory_refusals_total",
            "Requests and connections that ended because bodies take too much memory.",
            &["kind"],
        )?;
        let forwards = counter(
            "forwards_total",
            "Requests forwarded to other VMs (side 'origin') and for them (side 'helper').",
            &["side", "outcome"],
        )?;
        let cut_off = IntGauge::new("cut_off", "1 while this VM reaches no target.")?;
        registry.register(Box::new(cut_off.clone()))?;
        let contradictions = IntCounter::new(
            "contradictions_total",
            "What other VMs said of targets and this VM's connections contradict.",
        )?;
        registry.register(Box::new(contradictions.clone()))?;
        let loads = counter(
            "loads_total",
            "Loads of targets exchanged with other VMs: sent, adopted, or ignored by reason.",
            &["outcome"],
        )?;
        let load_calls = counter(
            "load_calls_total",
            "Calls to the VMs that collect loads.",
            &["outcome"],
        )?;
        let options = Opts::new(
            "spillover_level",
            "Share of a service's objects that run in other regions.",
        );
        let spillover_level = GaugeVec::new(options, &["service"])?;
        registry.register(Box::new(spillover_level.clone()))?;
        let waiting = IntGauge::new("requests_waiting", "Requests that wait for a slot.")?;
        registry.register(Box::new(waiting.clone()))?;
        let waits = counter("waits_total", "Waits for a slot.", &["outcome"])?;
        let options = HistogramOpts::new("wait_seconds", "Time waited for a slot.");
        let wait_time = Histogram::with_opts(options.buckets(WAIT_BOUNDS.to_vec()))?;
        registry.register(Box::new(wait_time.clone()))?;
        let options = HistogramOpts::new("request_seconds", "From a request to its answer.");
        let latency = Histogram::with_opts(options.buckets(LATENCY_BOUNDS.to_vec()))?;
        registry.register(Box::new(latency.clone()))?;
        let in_flight = IntGauge::new("requests_in_flight", "Requests that are being served.")?;
        registry.register(Box::new(in_flight.clone()))?;
        let gauge = |name: &str, help: &str, label: &str| {
            let labels = ["service", "route", "visit", label];
            let gauge = GaugeVec::new(Opts::new(name, help), &labels)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let work = gauge(
            "work_seconds",
            "Estimated work of requests, without queueing and network.",
            "statistic",
        )?;
        let late_work = gauge(
            "late_work",
            "Requests whose work was not expected to end in time, while their estimate is current.",
            "outcome",
        )?;
        Ok(Self {
            registry,
            requests,
            sends,
            sheds,
            shed_share,
            store_calls,
            lookups,
            statements,
            quarantines,
            given_back,
            memory_refusals,
            forwards,
            cut_off,
            contradictions,
            loads,
            load_calls,
            spillover_level,
            waiting,
            waits,
            wait_time,
            latency,
            in_flight,
            work,
            late_work,
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
