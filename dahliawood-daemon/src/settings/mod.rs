//! Settings of the daemon: flags, each with its environment variable.
//!
//! All settings are validated together, so that an operator sees all mistakes in one run.

pub mod error;

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::time::Duration;

/// Default limit on how long a graceful shutdown waits for requests in flight.
const DEFAULT_DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// The longest drain limit that is accepted.
const MAX_DRAIN_LIMIT: Duration = Duration::from_secs(3_600);

/// Default address for callers.
const DEFAULT_LISTEN: &str = "127.0.0.1:8080";
/// Default address for other VMs.
const DEFAULT_PEER_LISTEN: &str = "127.0.0.1:8081";
/// Default address for operators.
const DEFAULT_OPERATOR_LISTEN: &str = "127.0.0.1:8082";

/// Accepted form of an address.
const ACCEPTS_ADDRESS: &str = "an IP address and a port, such as 10.1.2.3:8080 or [::1]:8080";
/// Accepted form of a name.
const ACCEPTS_NAME: &str = "1 to 63 letters, digits, dots and hyphens";
/// Accepted form of a drain limit.
const ACCEPTS_SECONDS: &str = "whole seconds, 0 to 3600";
/// Accepted log levels.
const ACCEPTS_LEVEL: &str = "one of error, warn, info, debug, trace";

/// Settings as given, not yet validated.
#[derive(Clone, Debug, Default, Bpaf)]
#[bpaf(options("dahliawoodd"), version)]
/// The daemon of an entry VM: answers look-ups, forwards requests, enforces limits.
///
/// Every flag can also be set by the environment variable beside it; the flag takes precedence.
/// `ASYNC_STD_THREAD_COUNT` sets the number of traffic threads, by default one per core.
pub struct RawSettings {
    /// This VM's name in the live list
    #[bpaf(long, env("DAHLIAWOOD_NAME"), argument("NAME"), optional)]
    pub name: Option<String>,
    /// The name of this VM's failure domain in the operators' file
    #[bpaf(long, env("DAHLIAWOOD_DOMAIN"), argument("DOMAIN"), optional)]
    pub domain: Option<String>,
    /// The address for callers, by default 127.0.0.1:8080
    #[bpaf(long, env("DAHLIAWOOD_LISTEN"), argument("ADDRESS"), optional)]
    pub listen: Option<String>,
    /// The address for other VMs, by default 127.0.0.1:8081
    #[bpaf(long, env("DAHLIAWOOD_PEER_LISTEN"), argument("ADDRESS"), optional)]
    pub peer_listen: Option<String>,
    /// The address for operators, by default 127.0.0.1:8082
    #[bpaf(long, env("DAHLIAWOOD_OPERATOR_LISTEN"), argument("ADDRESS"), optional)]
    pub operator_listen: Option<String>,
    /// The address of the platform's key-value service
    #[bpaf(long, env("DAHLIAWOOD_STORE"), argument("ADDRESS"), optional)]
    pub store: Option<String>,
    /// The address of the platform's list of live VMs, by default that of the key-value service
    #[bpaf(long, env("DAHLIAWOOD_LIVE_LIST"), argument("ADDRESS"), optional)]
    pub live_list: Option<String>,
    /// The address for metrics as statsd over UDP; by default, no metrics are sent
    #[bpaf(long, env("DAHLIAWOOD_STATSD"), argument("ADDRESS"), optional)]
    pub statsd: Option<String>,
    /// The longest wait of a graceful shutdown for requests in flight, by default 30
    #[bpaf(long, env("DAHLIAWOOD_DRAIN_LIMIT"), argument("SECONDS"), optional)]
    pub drain_limit: Option<String>,
    /// The log level, by default info: error, warn, info, debug or trace
    #[bpaf(long, env("DAHLIAWOOD_LOG"), argument("LEVEL"), optional)]
    pub log: Option<String>,
}

/// Validated settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// This VM's name.
    pub name: String,
    /// The name of this VM's failure domain.
    pub domain: String,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for other VMs.
    pub peer_listen: SocketAddr,
    /// The address for operators.
    pub operator_listen: SocketAddr,
    /// The address of the key-value service.
    pub store: SocketAddr,
    /// The address of the live list.
    pub live_list: SocketAddr,
    /// The address for metrics, `None` to send none.
    pub statsd: Option<SocketAddr>,
    /// The longest wait of a graceful shutdown for requests in flight.
    pub drain_limit: Duration,
    /// The log level.
    pub log: log::LevelFilter,
}

/// Validates settings and reports all mistakes at once.
///
/// # Errors
/// Fails with one finding for each missing or invalid setting.
pub fn check(raw: &RawSettings) -> Result<DaemonSettings, error::SettingsError> {
    let mut findings = Vec::new();
    let found = &mut findings;
    let name = required(found, "name", raw.name.as_deref(), ACCEPTS_NAME, parse_name);
    let domain = required(
        found,
        "domain",
        raw.domain.as_deref(),
        ACCEPTS_NAME,
        parse_name,
    );
    let listen = raw.listen.as_deref().unwrap_or(DEFAULT_LISTEN);
    let listen = required(
        found,
        "listen",
        Some(listen),
        ACCEPTS_ADDRESS,
        parse_address,
    );
    let peer = raw.peer_listen.as_deref().unwrap_or(DEFAULT_PEER_LISTEN);
    let peer = required(
        found,
        "peer-listen",
        Some(peer),
        ACCEPTS_ADDRESS,
        parse_address,
    );
    let operator = raw
        .operator_listen
        .as_deref()
        .unwrap_or(DEFAULT_OPERATOR_LISTEN);
    let operator = required(
        found,
        "operator-listen",
        Some(operator),
        ACCEPTS_ADDRESS,
        parse_address,
    );
    let store = required(
        found,
        "store",
        raw.store.as_deref(),
        ACCEPTS_ADDRESS,
        parse_address,
    );
    let live = optional(found, "live-list", raw.live_list.as_deref(), parse_address);
    let statsd = optional(found, "statsd", raw.statsd.as_deref(), parse_address);
    let limit = match raw.drain_limit.as_deref() {
        None => Some(DEFAULT_DRAIN_LIMIT),
        given => required(found, "drain-limit", given, ACCEPTS_SECONDS, parse_limit),
    };
    let level = raw.log.as_deref().unwrap_or("info");
    let level = required(found, "log", Some(level), ACCEPTS_LEVEL, |text| {
        text.parse().ok()
    });
    let checked = (|| {
        Some(DaemonSettings {
            name: name?,
            domain: domain?,
            listen: listen?,
            peer_listen: peer?,
            operator_listen: operator?,
            live_list: live.unwrap_or(store?),
            store: store?,
            statsd,
            drain_limit: limit?,
            log: level?,
        })
    })();
    match checked {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(error::SettingsError { findings }),
    }
}

/// Parses the value of a setting; adds a finding if it is missing or invalid.
fn required<T>(
    findings: &mut Vec<error::SettingFinding>,
    flag: &'static str,
    text: Option<&str>,
    accepts: &'static str,
    parse: impl Fn(&str) -> Option<T>,
) -> Option<T> {
    let value = text.and_then(parse);
    if value.is_none() {
        findings.push(error::SettingFinding {
            flag,
            value: text.map(str::to_owned),
            accepts,
        });
    }
    value
}

/// Parses the address of an optional setting; adds a finding if it is invalid.
fn optional(
    findings: &mut Vec<error::SettingFinding>,
    flag: &'static str,
    text: Option<&str>,
    parse: impl Fn(&str) -> Option<SocketAddr>,
) -> Option<SocketAddr> {
    text.and_then(|text| required(findings, flag, Some(text), ACCEPTS_ADDRESS, parse))
}

/// Parses an address with a port.
fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Parses a name in the form that the live list and the configuration file use.
fn parse_name(text: &str) -> Option<String> {
    let fits = (1..=63).contains(&text.len());
    let plain = text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b".-".contains(&byte));
    (fits && plain).then(|| text.to_owned())
}

/// Parses a drain limit.
fn parse_limit(text: &str) -> Option<Duration> {
    let limit = Duration::from_secs(text.parse().ok()?);
    (limit <= MAX_DRAIN_LIMIT).then_some(limit)
}
