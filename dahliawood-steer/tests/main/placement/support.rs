//! Tables, VMs, requests and results that the tests of placement share.

use dahliawood_model::FastMap;
use dahliawood_model::catalog::TargetEntry;
use dahliawood_model::catalog::TargetLoad;
use dahliawood_model::catalog::TargetReport;
use dahliawood_model::keys::TargetKey;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::health::ResultKind;
use dahliawood_steer::placement::choose::ColdLimit;
use dahliawood_steer::placement::choose::PlacementChoice;
use dahliawood_steer::placement::choose::PlacementQuery;
use dahliawood_steer::placement::choose::QueueTurn;
use dahliawood_steer::placement::choose::VmLocation;
use dahliawood_steer::placement::table::PlacementTable;
use dahliawood_steer::placement::table::TargetResult;
use std::time::Duration;

pub const SERVICE: &str = "service";
pub const SLOTS: u32 = 3;
pub const START: TimeStamp = TimeStamp::from_millis(1_000_000);
pub const SERVICE_TIME: Duration = Duration::from_millis(120);

pub fn regions() -> FastMap<String, String> {
    let pairs = [("a-1", "a"), ("a-2", "a"), ("b-1", "b"), ("c-1", "c")];
    pairs
        .into_iter()
        .map(|(domain, region)| (domain.to_owned(), region.to_owned()))
        .collect()
}

pub fn vm_location(domain: &str, vms: usize) -> VmLocation {
    numbered_location(domain, 0, vms)
}

/// Location of one of `vms` VMs that have been registered for long and know of each other.
pub fn numbered_location(domain: &str, number: usize, vms: usize) -> VmLocation {
    let name = |vm: usize| format!("vm-{vm}");
    let mut location = VmLocation::new(&name(number), domain, &regions()[domain]);
    let names: Vec<String> = (0..vms).map(name).collect();
    let listed = || names.iter().map(String::as_str);
    let sharers = &mut location.sharers;
    sharers.set_listed(listed(), START.before(Duration::from_secs(60)));
    sharers.set_listed(listed(), START);
    sharers.confirm(START.after(Duration::from_secs(60)));
    location
}

pub fn entry(id: usize, domain: &str) -> TargetEntry {
    TargetEntry {
        id: format!("target-{id}"),
        address: ([10, 0, 0, id as u8], 80).into(),
        service: SERVICE.to_owned(),
        domain: domain.to_owned(),
        slots: SLOTS,
        is_draining: false,
        cold_for: Duration::ZERO,
        started_millis: 1,
    }
}

/// A table with the given number of targets in each failure domain.
pub fn table(counts: &[(&str, usize)]) -> PlacementTable {
    let mut table = PlacementTable::new(regions());
    let domains = counts
        .iter()
        .flat_map(|(domain, count)| std::iter::repeat_n(*domain, *count));
    for (id, domain) in domains.enumerate() {
        table.upsert(entry(id, domain), START);
    }
    table
}

pub fn query(object: u64) -> PlacementQuery<'static> {
    PlacementQuery {
        service: SERVICE,
        route: 0,
        object: Some(object),
        is_bulk: false,
        regions: [&[], &[]],
        rank: None,
        tried: &[],
        max_wait: Duration::from_millis(100),
        time_left: Duration::from_secs(2),
        cold: ColdLimit {
            per_second: 20.0,
            lasts: Duration::from_secs(3),
        },
        turn: QueueTurn::Arriving,
    }
}

pub fn chosen(choice: PlacementChoice) -> Option<TargetKey> {
    match choice {
        PlacementChoice::Target(key) => Some(key),
        _ => None,
    }
}

pub fn domain_of(table: &PlacementTable, key: TargetKey) -> String {
    table.get(key).unwrap().entry.domain.clone()
}

pub fn report(load: Option<TargetLoad>) -> Option<TargetReport> {
    load.map(|_| TargetReport {
        load,
        ..TargetReport::default()
    })
}

pub fn answered(load: Option<TargetLoad>) -> TargetResult {
    TargetResult {
        kind: ResultKind::Answered,
        latency: SERVICE_TIME,
        report: report(load),
        expected_wait: Duration::ZERO,
        connect_time: None,
        route: 0,
        visit: None,
        slack: Duration::from_millis(100),
    }
}

/// The result of a request at a target with all slots in use and `waiting` requests in its queue.
pub fn busy_result(waiting: u32, now: TimeStamp) -> TargetResult {
    answered(Some(TargetLoad {
        running: SLOTS,
        waiting,
        slots: SLOTS,
        pace: None,
        received_at: now,
    }))
}

pub fn fill(table: &mut PlacementTable, domain: &str, waiting: u32, now: TimeStamp) {
    let keys = table.services[SERVICE].targets.clone();
    for key in keys {
        if domain_of(table, key) == domain {
            table.begin(key, now);
            table.finish(key, busy_result(waiting, now), now);
        }
    }
}
