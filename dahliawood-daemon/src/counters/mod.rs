//! Counters of what the VM does, kept in process and sent as statsd deltas through cadence.

use cadence::{Counted, NopMetricSink, StatsdClient, UdpMetricSink};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

/// Prefix of every metric.
const METRIC_PREFIX: &str = "dahliawood";

macro_rules! counter_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal,)*) => {
        /// What is counted.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum CounterKind {
            $($(#[$doc])* $kind,)*
        }

        /// All kinds with the name of their metric, in order.
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
    /// Requests refused since the key was missing, wrong or withdrawn.
    RefusedKey = "requests.refused.key",
    /// Requests refused since the customer may not make them.
    RefusedGrant = "requests.refused.grant",
    /// Requests refused over the customer's rate and burst.
    RefusedRate = "requests.refused.rate",
    /// Requests refused since no target had room in time.
    RefusedBusy = "requests.refused.busy",
    /// Requests refused for another reason.
    RefusedOther = "requests.refused.other",
    /// Requests that failed at a target and got no answer.
    Failed = "requests.failed",
    /// Second and later tries of a request.
    Retries = "requests.retries",
    /// Caller connections taken.
    Connections = "connections",
    /// Beats exchanged with other VMs.
    Heartbeats = "peer.beats",
    /// Calls to other VMs that failed.
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

/// One counter as it is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CounterReading {
    /// Name of the metric.
    pub name: &'static str,
    /// Its value since the start of the process.
    pub value: u64,
}

impl CounterTable {
    /// Counts one.
    pub fn count(&self, kind: CounterKind) {
        self.counts[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The value of one counter.
    pub fn value(&self, kind: CounterKind) -> u64 {
        self.counts[kind as usize].load(Ordering::Relaxed)
    }

    /// All counters.
    pub fn readings(&self) -> Vec<CounterReading> {
        let reading = |(kind, name): &(CounterKind, &'static str)| CounterReading {
            name,
            value: self.value(*kind),
        };
        KINDS.iter().map(reading).collect()
    }
}

/// Sends what counters gained since the last call.
pub struct MetricSender {
    client: StatsdClient,
    sent: Vec<u64>,
}

impl MetricSender {
    /// A sender to `statsd`, or one that sends nothing.
    ///
    /// # Errors
    /// Fails where no UDP socket can be had.
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

    /// Sends the gains of `table`; a datagram that is lost is lost.
    pub fn send(&mut self, table: &CounterTable) {
        for (sent, reading) in self.sent.iter_mut().zip(table.readings()) {
            let delta = reading.value - *sent;
            if delta > 0 && self.client.count(reading.name, delta).is_ok() {
                *sent = reading.value;
            }
        }
    }
}
