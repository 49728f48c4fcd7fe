//! A randomized soak test of the gateway: VMs run as real processes, faults are injected from
//! outside them, and the fleet's guarantees are checked from what callers and targets observe.
//!
//! A plan is drawn from a seed. It sets when which link is slow, reset or silent, when which
//! process is paused, killed or terminated and started again, and what the operators change.
//! Everything but the processes of the VMs runs in this process, on loopback. Thread scheduling
//! differs from run to run, so a seed that failed once may pass the next time.
//!
//! Limitations: setting clocks back needs privileges that the soak does not have, so pausing a
//! process is the only fault that its clock sees. VMs have no disk. A fault of links between VMs concerns
//! those on which a VM is reached, not those on which it reaches others.

pub mod caller;
pub mod check;
pub mod configuration;
pub mod environment;
pub mod plan;
mod ports;
pub mod proxy;
pub mod vm;

use async_std::task;
use caller::{CallerRecord, SoakCaller};
use check::{GuaranteeViolation, SoakRecords};
use environment::SoakEnvironment;
use plan::SoakPlan;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The settings of a soak run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Seed from which the callers' requests, and most plans, are drawn.
    pub seed: u64,
    /// Number of VMs.
    pub vms: usize,
    /// Number of failure domains; VMs of one follow each other if there are enough.
    pub domains: usize,
    /// Number of targets of all services.
    pub targets: usize,
    /// Whether each VM has links of its own to targets, which can be cut; many descriptors.
    pub has_target_links: bool,
    /// Whether VMs reach each other by links, which can have faults.
    pub has_peer_links: bool,
    /// Number of callers; each sends one request at a time.
    pub callers: usize,
    /// The faults and changes to inject: drawn from the seed with [`SoakPlan::draw`], or fixed.
    pub plan: SoakPlan,
    /// Whether the guarantees with bounds in seconds are checked too; they hold only on a machine
    /// that is not busy.
    pub check_time_bounds: bool,
}

/// The result of a soak run.
#[derive(Debug)]
pub struct SoakOutcome {
    /// Number of requests that callers sent.
    pub requests: usize,
    /// Number of requests that were answered with status 200.
    pub served: usize,
    /// Number of requests handled by VMs in full contact, and by those with stretched bounds.
    pub judged: [usize; 2],
    /// The longest time after which a VM in contact still handled a request by an older configuration
    /// version.
    pub version_delay: Duration,
    /// The same for a request that was sent to a target that had begun to leave.
    pub departure_delay: Duration,
    /// Violated guarantees, with the first few violations of each.
    pub violations: Vec<GuaranteeViolation>,
    /// Directory of the VMs' logs; kept only where a guarantee was violated.
    pub logs: PathBuf,
}

/// Time for which callers send requests before the first fault.
const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Time from the end of the last fault to the end of the run. In its last quarter, all requests
/// must be served.
const COOL_DOWN_TIME: Duration = Duration::from_secs(8);
/// Wait after the last caller ended, before the requests that ran at the targets are collected.
const FINAL_WAIT: Duration = Duration::from_secs(4);

/// Runs one plan and checks the guarantees.
///
/// # Errors
/// Fails where a stand-in or a process cannot be started, or a signal cannot be sent.
pub async fn run(options: &SoakOptions) -> io::Result<SoakOutcome> {
    let plan = &options.plan;
    let mut environment = SoakEnvironment::start(options).await?;
    let started = Instant::now();
    let end = WARM_UP_TIME + plan.end() + COOL_DOWN_TIME;
    let callers: Vec<_> = (0..options.callers)
        .map(|index| SoakCaller::new(options.seed, index, environment.fronts()))
        .map(|caller| task::spawn(caller.run(started + end)))
        .collect();
    for step in &plan.steps {
        sleep_until(started + WARM_UP_TIME + step.at).await;
        environment.apply(step).await?;
    }
    sleep_until(started + end).await;
    let mut requests: Vec<CallerRecord> = Vec::new();
    for caller in callers {
        requests.extend(caller.await);
    }
    task::sleep(FINAL_WAIT).await;
    let records = SoakRecords {
        requests,
        runs: environment.runs(),
        refusals: environment.refusals(),
        changes: environment.changes(),
        faults: environment.faults(),
        must_serve_from: started + end.saturating_sub(COOL_DOWN_TIME / 4),
    };
    let mut violations = check::request_guarantees(&records);
    violations.extend(check::limit_guarantees(
        &records,
        configuration::SMALL_LIMIT,
    ));
    if options.check_time_bounds {
        violations.extend(check::time_bound_guarantees(&records));
        violations.extend(check::configuration::guarantees(&records));
        violations.extend(check::departures::guarantees(&records));
        violations.extend(check::statements::guarantees(&records));
        violations.extend(check::cuts::guarantees(&records));
    }
    violations.extend(environment.wait_until_healthy().await);
    let served = records
        .requests
        .iter()
        .filter(|request| request.is_served());
    Ok(SoakOutcome {
        requests: records.requests.len(),
        served: served.count(),
        judged: check::configuration::judged(&records),
        version_delay: check::configuration::longest_delay(&records),
        departure_delay: check::departures::longest_delay(&records),
        logs: environment.shut_down(!violations.is_empty()),
        violations,
    })
}

async fn sleep_until(at: Instant) {
    task::sleep(at.saturating_duration_since(Instant::now())).await;
}
