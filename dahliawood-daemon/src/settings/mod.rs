//! Settings of the daemon: flags, each with its environment variable, checked all at once.

pub mod error;

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a graceful shutdown waits for requests in flight unless told otherwise.
const DEFAULT_DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// The longest drain limit that is accepted.
const MAX_DRAIN_LIMIT: Duration = Duration::from_secs(3_600);

/// Where callers are answered unless told otherwise.
const DEFAULT_LISTEN: &str = "127.0.0.1:8080";
/// Where other VMs are answered unless told otherwise.
const DEFAULT_PEER_LISTEN: &str = "127.0.0.1:8081";
/// Where operators are answered unless told otherwise.
const DEFAULT_OPERATOR_LISTEN: &str = "127.0.0.1:8082";

/// What an address has to look like.
const ACCEPTS_ADDRESS: &str = "an IP address and a port, such as 10.1.2.3:8080 or [::1]:8080";
/// What a name has to look like.
const ACCEPTS_NAME: &str = "1 to 63 letters, digits, dots and hyphens";
/// What a drain limit has to look like.
const ACCEPTS_SECONDS: &str = "whole seconds, 0 to 3600";
/// What a log level has to look like.
const ACCEPTS_LEVEL: &str = "one of error, warn, info, debug, trace";

/// Settings as they were given, not checked yet.
#[derive(Clone, Debug, Default, Bpaf)]
#[bpaf(options("dahliawoodd"), version)]
/// The daemon of an entry VM: answers look-ups, forwards requests, keeps the limits.
///
/// Every flag can be given by the environment variable beside it; a flag goes before its variable.
/// `ASYNC_STD_THREAD_COUNT` sets the number of traffic threads, one a core by default.
pub struct RawSettings {
    /// This VM's name in the live list
    #[bpaf(long, env("DAHLIAWOOD_NAME"), argument("NAME"), optional)]
    pub name: Option<String>,
    /// The failure domain that this VM is in, as the operators' file names it
    #[bpaf(long, env("DAHLIAWOOD_DOMAIN"), argument("DOMAIN"), optional)]
    pub domain: Option<String>,
    /// Where callers are answered, by default 127.0.0.1:8080
    #[bpaf(long, env("DAHLIAWOOD_LISTEN"), argument("ADDRESS"), optional)]
    pub listen: Option<String>,
    /// Where other VMs are answered, by default 127.0.0.1:8081
    #[bpaf(long, env("DAHLIAWOOD_PEER_LISTEN"), argument("ADDRESS"), optional)]
    pub peer_listen: Option<String>,
    /// Where operators are answered, by default 127.0.0.1:8082
    #[bpaf(long, env("DAHLIAWOOD_OPERATOR_LISTEN"), argument("ADDRESS"), optional)]
    pub operator_listen: Option<String>,
    /// The platform's key-value service
    #[bpaf(long, env("DAHLIAWOOD_STORE"), argument("ADDRESS"), optional)]
    pub store: Option<String>,
    /// The platform's list of live VMs, by default at the address of the key-value service
    #[bpaf(long, env("DAHLIAWOOD_LIVE_LIST"), argument("ADDRESS"), optional)]
    pub live_list: Option<String>,
    /// Where metrics are sent as statsd over UDP; none are sent by default
    #[bpaf(long, env("DAHLIAWOOD_STATSD"), argument("ADDRESS"), optional)]
    pub statsd: Option<String>,
    /// How long a graceful shutdown waits for requests in flight, by default 30
    #[bpaf(long, env("DAHLIAWOOD_DRAIN_LIMIT"), argument("SECONDS"), optional)]
    pub drain_limit: Option<String>,
    /// What is logged, by default info: error, warn, info, debug or trace
    #[bpaf(long, env("DAHLIAWOOD_LOG"), argument("LEVEL"), optional)]
    pub log: Option<String>,
}

/// Checked settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// This VM's name.
    pub name: String,
    /// Its failure domain's name.
    pub domain: String,
    /// Where callers are answered.
    pub listen: SocketAddr,
    /// Where other VMs are answered.
    pub peer_listen: SocketAddr,
    /// Where operators are answered.
    pub operator_listen: SocketAddr,
    /// The key-value service.
    pub store: SocketAddr,
    /// The live list.
    pub live_list: SocketAddr,
    /// Where metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// How long a graceful shutdown waits for requests in flight.
    pub drain_limit: Duration,
    /// What is logged.
    pub log: log::LevelFilter,
}

/// Checks settings, and reports everything that is wrong with them in one go.
///
/// # Errors
/// Fails with one finding for each missing or bad setting.
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

/// The setting's value, or a finding where it is missing or not accepted.
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

/// The address of a setting that may be left out.
fn optional(
    findings: &mut Vec<error::SettingFinding>,
    flag: &'static str,
    text: Option<&str>,
    parse: impl Fn(&str) -> Option<SocketAddr>,
) -> Option<SocketAddr> {
    text.and_then(|text| required(findings, flag, Some(text), ACCEPTS_ADDRESS, parse))
}

/// An address with a port.
fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// A name as the live list and the file have it.
fn parse_name(text: &str) -> Option<String> {
    let fits = (1..=63).contains(&text.len());
    let plain = text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b".-".contains(&byte));
    (fits && plain).then(|| text.to_owned())
}

/// A drain limit.
fn parse_limit(text: &str) -> Option<Duration> {
    let limit = Duration::from_secs(text.parse().ok()?);
    (limit <= MAX_DRAIN_LIMIT).then_some(limit)
}
