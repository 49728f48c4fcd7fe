//! A whole fleet in one process, on loopback: real daemons, with stand-ins for the platform and the
//! targets.

use crate::{platform, target};
use async_std::task;
use dahliawood_config::parse;
use dahliawood_daemon::{run, settings};
use dahliawood_model::keys::{ArenaKey, DomainKey};
use dahliawood_model::tables;
use dahliawood_store::protocol;
use dahliawood_wire::one_shot;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// How long a new revision may take until it is in force on every daemon.
const REVISION_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of the revision that is in force.
const REVISION_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a daemon waits for requests in flight when it shuts down.
const DRAIN_LIMIT: Duration = Duration::from_secs(10);

/// The size and the configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The text of the operators' file; the addresses of its targets are replaced by free ones.
    pub file_text: String,
    /// Number of entry VMs; they are assigned to the failure domains round robin.
    pub vms: usize,
    /// How long a request runs at a target, unless the request overrides it.
    pub delay: Duration,
}

/// Why a fleet cannot start, or cannot apply a file.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum FleetError {
    /// The operators' file is invalid.
    #[snafu(display("the operators' file is invalid:\n{report}"))]
    InvalidFile {
        /// All mistakes found in the file.
        report: dahliawood_config::report::CheckReport,
    },
    /// A stand-in cannot listen.
    #[snafu(display("a stand-in cannot listen: {source}"))]
    StandIn {
        /// The cause.
        source: std::io::Error,
    },
    /// A daemon cannot start.
    #[snafu(display("a daemon cannot start: {source}"))]
    Daemon {
        /// The cause.
        source: run::error::StartError,
    },
    /// The file is rejected, or is not in force on every daemon within 30 s.
    #[snafu(display("the file is not in force: {detail}"))]
    Apply {
        /// The answer of the operators' API, or which revision is missing.
        detail: String,
    },
}

/// A running fleet.
pub struct EmbeddedFleet {
    /// The stand-in of the platform.
    pub platform: platform::PlatformHandle,
    /// The targets, in the order of the file.
    pub targets: Vec<target::TargetHandle>,
    /// The daemons.
    pub daemons: Vec<run::DaemonHandle>,
    /// The operators' file with the addresses that the targets listen on.
    pub text: String,
    /// The same file, parsed.
    pub config: tables::FleetConfig,
}

/// The loopback address with port 0, so that the system picks a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Starts the platform, the targets and the daemons, and applies the file.
///
/// # Errors
/// Fails where the file is invalid, a stand-in or a daemon cannot start, or the file is not in
/// force on every daemon within 30 s.
pub async fn start(options: &FleetOptions) -> Result<EmbeddedFleet, FleetError> {
    use snafu::ResultExt;
    let parsed = parse::file("fleet", &options.file_text);
    let config = parsed.map_err(|report| FleetError::InvalidFile { report })?;
    let (targets, text) = start_targets(&config, options).context(StandInSnafu)?;
    let config =
        parse::file("fleet", &text).map_err(|report| FleetError::InvalidFile { report })?;
    let platform = platform::start(platform::PlatformOptions::default());
    let platform = platform.await.context(StandInSnafu)?;
    let mut daemons = Vec::new();
    for index in 0..options.vms {
        let domain = DomainKey::from_index(index % config.domains.len());
        let name = format!("vm-{:02}", index + 1);
        let settings = vm_settings(&name, &config.domains[domain].name, platform.address());
        let daemon = run::start(settings).await.context(DaemonSnafu)?;
        platform.put_live(live_entry(&daemon));
        daemons.push(daemon);
    }
    let fleet = EmbeddedFleet {
        platform,
        targets,
        daemons,
        text,
        config,
    };
    fleet.apply(&fleet.text).await?;
    fleet.wait_for_revision(1).await?;
    Ok(fleet)
}

/// Starts the targets on free ports, and returns them with the file text that has their addresses.
fn start_targets(
    config: &tables::FleetConfig,
    options: &FleetOptions,
) -> std::io::Result<(Vec<target::TargetHandle>, String)> {
    let mut text = options.file_text.clone();
    let mut targets = Vec::new();
    for spec in config.targets.values() {
        let handle = target::start(
            any_port(),
            target::TargetOptions {
                name: spec.name.clone(),
                slots: spec.slots as usize,
                delay: options.delay,
                bytes: 0,
            },
        )?;
        let declared = format!("address = \"{}\"", spec.address);
        text = text.replace(&declared, &format!("address = \"{}\"", handle.address));
        targets.push(handle);
    }
    Ok((targets, text))
}

/// The settings of one daemon, whose listeners all use free ports.
pub fn vm_settings(name: &str, domain: &str, platform: SocketAddr) -> settings::DaemonSettings {
    settings::DaemonSettings {
        name: name.to_owned(),
        domain: domain.to_owned(),
        listen: any_port(),
        peer_listen: any_port(),
        operator_listen: any_port(),
        store: platform,
        live_list: platform,
        statsd: None,
        drain_limit: DRAIN_LIMIT,
        log: log::LevelFilter::Warn,
    }
}

/// The entry of a daemon in the platform's live list.
pub fn live_entry(daemon: &run::DaemonHandle) -> protocol::LiveVm {
    protocol::LiveVm {
        name: daemon.shared.settings.name.clone(),
        http: daemon.listen.to_string(),
        peer: daemon.peer_listen.to_string(),
        domain: daemon.shared.settings.domain.clone(),
        incarnation: None,
        state: protocol::LiveState::Live,
    }
}

impl EmbeddedFleet {
    /// Applies a file through the operators' API of the first daemon.
    ///
    /// # Errors
    /// Fails where the call fails or the file is rejected.
    pub async fn apply(&self, text: &str) -> Result<(), FleetError> {
        let operator = self.daemons[0].operator_listen;
        let write = format!("{:016x}", rand::random::<u64>());
        let url = format!("http://{operator}/v1/config?write={write}&wait=10");
        let options = one_shot::CallOptions {
            body: text,
            deadline: REVISION_TIMEOUT,
            ..one_shot::CallOptions::new("PUT", &url)
        };
        let called = one_shot::call(&options).await;
        let outcome = called.map_err(|error| FleetError::Apply {
            detail: error.to_string(),
        })?;
        match outcome.status {
            200 => Ok(()),
            _ => Err(FleetError::Apply {
                detail: outcome.text().into_owned(),
            }),
        }
    }

    /// Waits until every daemon has a revision, or a newer one, in force and sees all VMs as live.
    ///
    /// # Errors
    /// Fails where this takes longer than 30 s.
    pub async fn wait_for_revision(&self, revision: u64) -> Result<(), FleetError> {
        let start = Instant::now();
        while start.elapsed() < REVISION_TIMEOUT {
            if self
                .daemons
                .iter()
                .all(|daemon| self.is_up_to_date(daemon, revision))
            {
                return Ok(());
            }
            task::sleep(REVISION_POLL_INTERVAL).await;
        }
        let detail = format!("revision {revision} is not in force on every daemon in time");
        Err(FleetError::Apply { detail })
    }

    fn is_up_to_date(&self, daemon: &run::DaemonHandle, revision: u64) -> bool {
        let snapshot = daemon.shared.snapshot.load();
        snapshot.as_ref().is_some_and(|snapshot| {
            let live = snapshot.vms.iter();
            let live = live.filter(|vm| vm.state == dahliawood_steer::lookup::VmState::Live);
            snapshot.state.revision >= revision && live.count() == self.daemons.len()
        })
    }

    /// Shuts all daemons down gracefully, at the same time.
    pub async fn shutdown(self) {
        let stops = self.daemons.into_iter().map(run::DaemonHandle::shutdown);
        futures::future::join_all(stops).await;
    }
}
