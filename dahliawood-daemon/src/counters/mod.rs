//! Counters of the VM's work, kept in memory and sent as statsd deltas through cadence.

use cadence::{Counted, NopMetricSink, StatsdClient, UdpMetricSink};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

/// Prefix of every metric.
const METRIC_PREFIX: &str = "dahliawood";

macro_rules! counter_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal,)*) => {
        /// The kinds of counters.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum CounterKind {
            $($(#[$doc])* $kind,)*
        }

        /// All kinds with the names of their metrics, in the order of the enum.
        const KINDS: &[(CounterKind, &str)] = &[$((CounterKind::$kind, $name),)*];
    };
}

counter_kinds! {
    /// Look-ups answered.
    Lookups = "lookups",
    /// Requests admitted within their customer's rate and burst.
    Admitted = "requests.admitted",
    /// Requests answered by a target.
    Answered = "requests.answered",
    /// Requests refused because the key was missing, wrong or withdrawn.
    RefusedKey = "requests.refused.key",
    /// Requests refused because the customer is not granted the service or place.
    RefusedGrant = "requests.refused.grant",
    /// Requests refused because the customer's rate and burst were used up.
    RefusedRate = "requests.refused.rate",
    /// Requests refused because no target had a free slot in time or none could be used.
    RefusedBusy = "requests.refused.busy",
    /// Requests refused for other reasons.
    RefusedOther = "requests.refused.other",
    /// Requests that failed at the targets and got no target's response.
    Failed = "requests.failed",
    /// Second and later attempts of requests, hedges included.
    Retries = "requests.retries",
    /// Connections accepted from callers.
    Connections = "connections",
    /// Heartbeat exchanges started with other VMs, including those that failed.
    Heartbeats = "peer.beats",
    /// Heartbeat exchanges that failed.
    HeartbeatsFailed = "peer.beats.failed",
    /// Calls to the store.
    StoreCalls = "store.calls",
    /// Calls to the store that failed.
    StoreFailed = "store.calls.failed",
}

/// The counters of one process.
#[derive(Debug, Default)]
pub struct CounterTable {
    counts: [AtomicU64; KINDS.len()],
}

/// The value of one counter at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CounterReading {
    /// The name of the metric.
    pub name: &'static str,
    /// The count since the start of the process.
    pub value: u64,
}

impl CounterTable {
    /// Adds one to a counter.
    pub fn count(&self, kind: CounterKind) {
        self.counts[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The current value of one counter.
    pub fn value(&self, kind: CounterKind) -> u64 {
        self.counts[kind as usize].load(Ordering::Relaxed)
    }

    /// The current values of all counters.
    pub fn readings(&self) -> Vec<CounterReading> {
        let reading = |(kind, name): &(CounterKind, &'static str)| CounterReading {
            name,
            value: self.value(*kind),
        };
        KINDS.iter().map(reading).collect()
    }
}

/// Sends the increments of the counters since the last call.
pub struct MetricSender {
    client: StatsdClient,
    sent: Vec<u64>,
}

impl MetricSender {
    /// Creates a sender to `statsd`, or one that sends nothing if `statsd` is `None`.
    ///
    /// # Errors
    /// Fails if the UDP socket cannot be created.
    pub fn new(statsd: Option<SocketAddr>) -> std::io::Result<Self> {
        let client = match statsd {
            None => StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink),
            Some(address) => {
                let bind = if address.is_ipv4() {
                    "0.0.0.0:0"
                } else {
                    "[::]:0"
                };
                let socket = UdpSocket::bind(bind)?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
                StatsdClient::from_sink(METRIC_PREFIX, sink)
            }
        };
        Ok(Self {
            client,
            sent: vec![0; KINDS.len()],
        })
    }

    /// Sends the increments of `table`. A datagram lost on the network is not sent again.
    pub fn send(&mut self, table: &CounterTable) {
        for (sent, reading) in self.sent.iter_mut().zip(table.readings()) {
            let delta = reading.value - *sent;
            if delta > 0 && self.client.count(reading.name, delta).is_ok() {
                *sent = reading.value;
            }
        }
    }
}
