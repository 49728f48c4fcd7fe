//! A randomized soak of the gateway: real processes, faults from outside them, and the promises
//! that callers and targets can see.
//!
//! One history is drawn from a seed: when which link is slow, reset or silent, when which process is
//! paused, killed or ended and started again, and what the operators change meanwhile. All parts but
//! the VMs' processes run in this one, on loopback. What a thread of the machine does in between
//! differs from run to run, so that a seed that failed once need not fail again.
//!
//! Shortcomings: clocks cannot be set back without rights that the soak does not have, so a pause of
//! a process is all that its clock sees; VMs have no disk; links between VMs are not cut alone.

pub mod caller;
pub mod check;
pub mod plan;
pub mod proxy;
pub mod vm;
pub mod world;

use async_std::task;
use caller::{CallerRecord, SoakCaller};
use check::{BrokenPromise, SoakRecords};
use plan::SoakPlan;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use world::SoakWorld;

/// What a soak is started with.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The daemon's program.
    pub program: PathBuf,
    /// What the callers' requests, and most histories, are drawn from.
    pub seed: u64,
    /// VMs.
    pub vms: usize,
    /// Callers, each with one request at a time.
    pub callers: usize,
    /// What is played; drawn from the seed with [`SoakPlan::draw`], or written down.
    pub plan: SoakPlan,
    /// Whether bounds in seconds are checked, which need a machine that is not busy.
    pub check_time_bounds: bool,
}

/// What a soak came to.
#[derive(Debug)]
pub struct SoakOutcome {
    /// Requests of callers.
    pub requests: usize,
    /// Those that were answered with success.
    pub served: usize,
    /// Promises that were broken, the first ones of each kind.
    pub broken_promises: Vec<BrokenPromise>,
    /// Where the logs of the VMs are; kept where a promise was broken.
    pub logs: PathBuf,
}

/// Time before the first fault.
const WARM_TIME: Duration = Duration::from_secs(2);
/// Time after the last fault; the last part of it is checked as a calm one.
const CALM_TIME: Duration = Duration::from_secs(8);
/// How long callers may take to end.
const END_TIME: Duration = Duration::from_secs(4);

/// Plays one history.
///
/// # Errors
/// A stand-in or a process cannot be started.
pub async fn run(options: &SoakOptions) -> io::Result<SoakOutcome> {
    let plan = &options.plan;
    let mut world = SoakWorld::start(options).await?;
    let started = Instant::now();
    let end = WARM_TIME + plan.end() + CALM_TIME;
    let callers: Vec<_> = (0..options.callers)
        .map(|index| SoakCaller::new(options.seed, index, world.fronts()))
        .map(|caller| task::spawn(caller.run(started + end)))
        .collect();
    for step in &plan.steps {
        sleep_until(started + WARM_TIME + step.at).await;
        world.apply(step).await?;
    }
    sleep_until(started + end).await;
    let mut requests: Vec<CallerRecord> = Vec::new();
    for caller in callers {
        requests.extend(caller.await);
    }
    task::sleep(END_TIME).await;
    let records = SoakRecords {
        requests,
        runs: world.runs(),
        changes: world.changes.clone(),
        faults: world.faults.clone(),
        calm_from: started + end.saturating_sub(CALM_TIME / 4),
    };
    let mut broken_promises = check::requests(&records);
    broken_promises.extend(check::limits(&records, world::SMALL_LIMIT));
    if options.check_time_bounds {
        broken_promises.extend(check::bounds(&records));
    }
    broken_promises.extend(world.until_whole().await);
    let served = records
        .requests
        .iter()
        .filter(|request| request.is_served());
    Ok(SoakOutcome {
        requests: records.requests.len(),
        served: served.count(),
        logs: world.end(!broken_promises.is_empty()),
        broken_promises,
    })
}

async fn sleep_until(at: Instant) {
    task::sleep(at.saturating_duration_since(Instant::now())).await;
}
