//! Measures membership at four fleet sizes: idle cost, detection of dead VMs, and false suspicions
//! under message loss.
//!
//! All membership tables run in one thread in virtual time. Bytes are those of a dense encoding,
//! plus the headers of one datagram for each message. Processor time includes the event loop, so it
//! is an upper bound. Memory is that of a single table.

use dahliawood_membership::options::MemberOptions;
use dahliawood_membership::table::MemberState;
use dahliawood_testkit::figures::{FigureReport, FigureTarget};
use dahliawood_testkit::members::{MemberFleet, MemberFleetOptions};
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Fleet sizes: VMs, regions, failure domains.
const FLEET_SIZES: [(usize, usize, usize); 4] =
    [(11, 3, 6), (50, 5, 14), (200, 5, 14), (920, 5, 14)];
/// The share of messages that are lost.
const MESSAGE_LOSS: f64 = 0.01;
/// Time from the start of the fleet to the first measurement.
const WARM_UP: Duration = Duration::from_secs(30);
/// Duration of the idle phase.
const IDLE_PERIOD: Duration = Duration::from_secs(60);
/// Number of VMs that die, one after another.
const DEATHS: usize = 11;
/// Resolution of the time until look-ups at no VM name a dead VM any more.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for look-ups to stop naming a dead VM.
const NAMED_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for a restarted VM to become known to all VMs.
const RESTART_PERIOD: Duration = Duration::from_secs(15);
/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: f64 = 28.0;
/// Bound on a daemon's control traffic in total, bytes per second.
const CONTROL_BYTES: f64 = 3_000.0;
/// Bound on a daemon's processor time, percent of a core.
const CORE_PERCENT: f64 = 1.8;
/// Bound on a daemon's memory, bytes.
const MEMORY_BYTES: f64 = 256e6;
/// Bound on the time until look-ups stop naming a dead VM, seconds.
const NAMED_SECONDS: f64 = 3.0;

/// Runs the measurement at all sizes.
pub fn run(seed: u64, report: &mut FigureReport) {
    for (members, regions, domains) in FLEET_SIZES {
        let mut fleet = MemberFleet::new(MemberFleetOptions {
            members,
            regions,
            domains,
            seed,
            options: MemberOptions::default(),
        });
        fleet.faults.loss = MESSAGE_LOSS;
        fleet.run(WARM_UP);
        measure_idle(&mut fleet, report);
        measure_deaths(&mut fleet, report);
    }
}

/// Messages and bytes sent by all VMs so far.
fn sent(fleet: &MemberFleet) -> (u64, u64) {
    let sums = |sum: (u64, u64), vm: &dahliawood_testkit::members::MemberVm| {
        (sum.0 + vm.messages_sent, sum.1 + vm.bytes_sent)
    };
    fleet.vms.iter().fold((0, 0), sums)
}

/// Processor time of this thread, seconds.
fn processor_seconds() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Measures the idle fleet.
fn measure_idle(fleet: &mut MemberFleet, report: &mut FigureReport) {
    let members = fleet.vms.len();
    let unknown = (0..members).map(|subject| members - 1 - fleet.vms_listing(subject).count());
    let unknown: usize = unknown.sum();
    drain_changes(fleet);
    let (messages, bytes) = sent(fleet);
    let processor = processor_seconds();
    fleet.run(IDLE_PERIOD);
    let processor = processor_seconds() - processor;
    let (messages_after, bytes_after) = sent(fleet);
    let per_member = members as f64 * IDLE_PERIOD.as_secs_f64();
    let messages = (messages_after - messages) as f64 / per_member;
    let bytes = (bytes_after - bytes) as f64 / per_member;
    let suspicions = drain_changes(fleet);
    let none = FigureTarget::None;
    let name = |figure: &str| format!("membership.{members}.{figure}");
    report.figure(name("unnamed-after-start"), unknown as f64, "pairs", none);
    report.figure(name("messages-sent"), messages, "1/s", none);
    report.figure(name("dense-bytes-sent"), bytes, "B/s", none);
    let bound = FigureTarget::AtMost(CONTROL_BYTES);
    let with_headers = bytes + messages * HEADER_BYTES;
    report.figure(name("datagram-bytes-sent"), with_headers, "B/s", bound);
    let percent = 100.0 * processor / per_member;
    let bound = FigureTarget::AtMost(CORE_PERCENT);
    report.figure(name("processor"), percent, "%", bound);
    let tables = fleet.vms.iter().filter_map(|vm| vm.table.as_ref());
    let memory = tables.map(dahliawood_membership::table::MemberTable::memory_bytes);
    let bound = FigureTarget::AtMost(MEMORY_BYTES);
    report.figure(name("memory"), memory.max().unwrap_or(0) as f64, "B", bound);
    report.figure(name("false-suspicions"), suspicions as f64, "in 60 s", none);
}

/// Takes the pending state changes from all tables; returns how many left the live state.
fn drain_changes(fleet: &mut MemberFleet) -> usize {
    let tables = fleet.vms.iter_mut().filter_map(|vm| vm.table.as_mut());
    let changes = tables.flat_map(|table| table.changes().collect::<Vec<_>>());
    changes
        .filter(|change| change.before == MemberState::Live)
        .count()
}

/// Kills and restarts VMs one after another, and measures how long look-ups still name each.
fn measure_deaths(fleet: &mut MemberFleet, report: &mut FigureReport) {
    let members = fleet.vms.len();
    let mut named_seconds: Vec<f64> = Vec::new();
    for death in 0..DEATHS {
        let dead = death * members / DEATHS;
        fleet.kill(dead);
        let killed_at = fleet.now();
        while fleet.vms_listing(dead).next().is_some()
            && fleet.now() < killed_at.after(NAMED_TIMEOUT)
        {
            fleet.run(POLL_INTERVAL);
        }
        named_seconds.push(fleet.now().since(killed_at).as_secs_f64());
        fleet.start(dead);
        fleet.run(RESTART_PERIOD);
    }
    named_seconds.sort_by(f64::total_cmp);
    let bound = FigureTarget::AtMost(NAMED_SECONDS);
    let name = |figure: &str| format!("membership.{members}.{figure}");
    report.figure(
        name("dead-named-p50"),
        named_seconds[DEATHS / 2],
        "s",
        bound,
    );
    report.figure(
        name("dead-named-max"),
        named_seconds[DEATHS - 1],
        "s",
        bound,
    );
}
