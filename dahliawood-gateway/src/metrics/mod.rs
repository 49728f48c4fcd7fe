//! Prometheus metrics of a gateway: counters, a latency histogram and a gauge.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use std::time::Duration;

/// Upper bounds of the latency histogram, seconds.
const LATENCY_BOUNDS: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0];

/// All metrics of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests of callers, by outcome.
    pub requests: IntCounterVec,
    /// Requests sent to targets, by outcome.
    pub sends: IntCounterVec,
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
    /// Time from the head of a request to its response, seconds.
    pub latency: Histogram,
    /// Number of requests being served.
    pub in_flight: IntGauge,
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
        let options = HistogramOpts::new("request_seconds", "From a request to its answer.");
        let latency = Histogram::with_opts(options.buckets(LATENCY_BOUNDS.to_vec()))?;
        registry.register(Box::new(latency.clone()))?;
        let in_flight = IntGauge::new("requests_in_flight", "Requests that are being served.")?;
        registry.register(Box::new(in_flight.clone()))?;
        Ok(Self {
            registry,
            requests,
            sends,
            store_calls,
            lookups,
            statements,
            quarantines,
            given_back,
            memory_refusals,
            forwards,
            cut_off,
            contradictions,
            latency,
            in_flight,
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

    /// Counts a request that was forwarded, on the side of the VM that sends it or of the one that
    /// helps.
    pub fn record_forward(&self, side: &str, outcome: &str) {
        self.forwards.with_label_values(&[side, outcome]).inc();
    }

    /// Counts a call to the store.
    pub fn record_store_call(&self, call: &str, is_answered: bool) {
        let outcome = if is_answered { "answered" } else { "failed" };
        self.store_calls.with_label_values(&[call, outcome]).inc();
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
