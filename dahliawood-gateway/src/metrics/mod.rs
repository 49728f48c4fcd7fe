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
    /// Requests that other VMs served for this one, and this one for others, by side and outcome.
    pub forwards: IntCounterVec,
    /// 1 while this VM reaches no target.
    pub cut_off: IntGauge,
    /// What other VMs said of targets and this VM's own connections contradict.
    pub contradictions: IntCounter,
    /// Changes of the warm-ups of targets, by change and cause.
    pub warmups: IntCounterVec,
    /// Targets that are warming up.
    pub warming_targets: IntGauge,
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
        let warmups = counter(
            "warmups_total",
            "Warm-ups of targets that began, ended or were set back.",
            &["change", "cause"],
        )?;
        let warming_targets = IntGauge::new("warming_targets", "Targets that are warming up.")?;
        registry.register(Box::new(warming_targets.clone()))?;
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
            forwards,
            cut_off,
            contradictions,
            warmups,
            warming_targets,
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

    /// Counts changes of warm-ups.
    pub fn record_warmups(&self, change: &str, cause: &str, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.warmups
            .with_label_values(&[change, cause])
            .inc_by(count);
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
