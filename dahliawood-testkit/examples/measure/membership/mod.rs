//! Membership at four sizes: cost at rest, deaths, and false suspicions under loss.
//!
//! All tables run in one thread in a time of their own. Bytes are those of a dense encoding plus
//! the headers of one datagram each; processor time holds the event loop too, so it is an upper
//! bound; memory is that of one table.

use dahliawood_membership::options::MemberOptions;
use dahliawood_membership::table::MemberState;
use dahliawood_testkit::figures::{FigureReport, FigureTarget};
use dahliawood_testkit::members::{MemberFleet, MemberFleetOptions};
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Fleets: VMs, regions, failure domains.
const SIZES: [(usize, usize, usize); 4] = [(11, 3, 6), (50, 5, 14), (200, 5, 14), (920, 5, 14)];
/// The share of messages that are lost.
const LOSS: f64 = 0.01;
/// Time from the start of the fleet to the first figure.
const WARM_UP: Duration = Duration::from_secs(30);
/// Time at rest.
const REST: Duration = Duration::from_secs(60);
/// VMs that die, one after another.
const DEATHS: usize = 11;
/// Resolution of the time that a dead VM is still named.
const STEP: Duration = Duration::from_millis(20);
/// The longest that a dead VM is waited for.
const NAMED_MOST: Duration = Duration::from_secs(30);
/// Time for a VM that started again to be known to all.
const RETURN: Duration = Duration::from_secs(15);
/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: f64 = 28.0;
/// Bytes a second that a daemon may use for all control together.
const CONTROL_BYTES: f64 = 3_000.0;
/// Percent of a core that a daemon may use.
const CORE_PERCENT: f64 = 1.8;
/// Bytes that a daemon may use.
const MEMORY_BYTES: f64 = 256e6;
/// Seconds within which a dead VM is no longer named.
const NAMED_SECONDS: f64 = 3.0;

/// Runs all sizes.
pub fn run(seed: u64, report: &mut FigureReport) {
    for (members, regions, domains) in SIZES {
        let mut fleet = MemberFleet::new(MemberFleetOptions {
            members,
            regions,
            domains,
            seed,
            options: MemberOptions::default(),
        });
        fleet.faults.loss = LOSS;
        fleet.run(WARM_UP);
        rest(&mut fleet, report);
        deaths(&mut fleet, report);
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

/// The fleet at rest.
fn rest(fleet: &mut MemberFleet, report: &mut FigureReport) {
    let members = fleet.vms.len();
    let unknown = (0..members).map(|subject| members - 1 - fleet.naming(subject).count());
    let unknown: usize = unknown.sum();
    drain_changes(fleet);
    let (messages, bytes) = sent(fleet);
    let processor = processor_seconds();
    fleet.run(REST);
    let processor = processor_seconds() - processor;
    let (messages_after, bytes_after) = sent(fleet);
    let per_member = members as f64 * REST.as_secs_f64();
    let messages = (messages_after - messages) as f64 / per_member;
    let bytes = (bytes_after - bytes) as f64 / per_member;
    let suspicions = drain_changes(fleet);
    let none = FigureTarget::None;
    let name = |figure: &str| format!("membership.{members}.{figure}");
    report.figure(name("unnamed-after-start"), unknown as f64, "pairs", none);
    report.figure(name("messages-sent"), messages, "1/s", none);
    report.figure(name("dense-bytes-sent"), bytes, "B/s", none);
    let most = FigureTarget::AtMost(CONTROL_BYTES);
    let with_headers = bytes + messages * HEADER_BYTES;
    report.figure(name("datagram-bytes-sent"), with_headers, "B/s", most);
    let percent = 100.0 * processor / per_member;
    let most = FigureTarget::AtMost(CORE_PERCENT);
    report.figure(name("processor"), percent, "%", most);
    let tables = fleet.vms.iter().filter_map(|vm| vm.table.as_ref());
    let memory = tables.map(dahliawood_membership::table::MemberTable::memory_bytes);
    let most = FigureTarget::AtMost(MEMORY_BYTES);
    report.figure(name("memory"), memory.max().unwrap_or(0) as f64, "B", most);
    report.figure(name("false-suspicions"), suspicions as f64, "in 60 s", none);
}

/// Takes all changes; says how many were away from live.
fn drain_changes(fleet: &mut MemberFleet) -> usize {
    let tables = fleet.vms.iter_mut().filter_map(|vm| vm.table.as_mut());
    let changes = tables.flat_map(|table| table.changes().collect::<Vec<_>>());
    changes
        .filter(|change| change.before == MemberState::Live)
        .count()
}

/// Deaths one after another, each followed by a new start.
fn deaths(fleet: &mut MemberFleet, report: &mut FigureReport) {
    let members = fleet.vms.len();
    let mut spans: Vec<f64> = Vec::new();
    for death in 0..DEATHS {
        let dead = death * members / DEATHS;
        fleet.kill(dead);
        let killed_at = fleet.now();
        while fleet.naming(dead).next().is_some() && fleet.now() < killed_at.after(NAMED_MOST) {
            fleet.run(STEP);
        }
        spans.push(fleet.now().since(killed_at).as_secs_f64());
        fleet.start(dead);
        fleet.run(RETURN);
    }
    spans.sort_by(f64::total_cmp);
    let most = FigureTarget::AtMost(NAMED_SECONDS);
    let name = |figure: &str| format!("membership.{members}.{figure}");
    report.figure(name("dead-named-p50"), spans[DEATHS / 2], "s", most);
    report.figure(name("dead-named-max"), spans[DEATHS - 1], "s", most);
}
