//! Copies of the coordinator's table, at the VMs that rank next to it.
//!
//! This handles the loss of the coordinator: what it allocated counts at its successor, also of customers
//! that were active at no other VM.

use crate::clock;
use crate::control::ControlState;
use crate::control::shares::select_coordinator;
use crate::control::vms::VmRecord;
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::gateway::message::{CustomerNeed, ShareReport, ShareResponse};
use dahliawood_quota::allocation;
use dahliawood_quota::allocation::coordinator::AllocatedTotal;
use dahliawood_quota::allocation::copy::{STANDBYS, TableCopy};
use dahliawood_steer::rendezvous;
use std::time::Duration;

/// A copy of a coordinator's table, with the name of that VM.
#[derive(Clone, Debug)]
pub struct CoordinatorCopy {
    coordinator: String,
    table: TableCopy,
}

/// Whether a VM keeps a copy of the coordinator's table: the VMs that rank next to it, one of which
/// would succeed it.
fn is_standby(vms: &[VmRecord], own: &str) -> bool {
    let own_hash = rendezvous::name_hash(own.as_bytes());
    let ahead = vms
        .iter()
        .filter(|vm| rendezvous::name_hash(vm.name.as_bytes()) < own_hash);
    (1..=STANDBYS).contains(&ahead.count())
}

/// Asks for a copy of the coordinator's table, and tells a coordinator that may not know it the copy
/// of an earlier one.
pub fn exchange_table(state: &ControlState, report: &mut ShareReport, has_coordinator: bool) {
    let vms = state.shared.vms.load();
    report.wants_table = is_standby(&vms, &report.from);
    let copy = state.table_copy.borrow();
    let Some(copy) = copy.as_ref() else {
        return;
    };
    let is_same = select_coordinator(&vms).is_some_and(|vm| vm.name == copy.coordinator);
    if is_same && has_coordinator {
        return;
    }
    let window = state.shared.settings.bounds.quota_window;
    let now = clock::now();
    report.has_table = true;
    let active = report.entries.iter().enumerate();
    let active: FastMap<String, usize> = active
        .map(|(place, entry)| (entry.customer.clone(), place))
        .collect();
    for (customer, total) in copy.table.totals(window, now) {
        let age = told_age(&total);
        let entry = match active.get(customer) {
            // Its own sum is as recent.
            Some(place) if is_as_recent(&report.entries[*place], age) => continue,
            Some(place) => &mut report.entries[*place],
            None => {
                report.entries.push(CustomerNeed {
                    customer: customer.to_owned(),
                    ..CustomerNeed::default()
                });
                let last = report.entries.len() - 1;
                &mut report.entries[last]
            }
        };
        entry.total = total.fraction as f32;
        entry.total_left = millis_left(total.age, window);
        entry.total_coordinator = total.coordinator;
        entry.total_age = age;
    }
}

/// Whether the sum in a report is not older than `age`, milliseconds.
fn is_as_recent(entry: &CustomerNeed, age: Option<u32>) -> bool {
    entry.total_age.is_some_and(|own| Some(own) <= age)
}

/// How long a sum of this age stays valid if all VMs report or are gone, milliseconds: what VMs of earlier
/// versions tell and understand.
pub fn millis_left(age: Duration, window: Duration) -> u32 {
    allocation::counted_time(window)
        .saturating_sub(age)
        .as_millis() as u32
}

/// The age that a VM tells of a sum, milliseconds; `None` if it has none.
pub fn told_age(total: &AllocatedTotal) -> Option<u32> {
    u32::try_from(total.age.as_millis()).ok()
}

/// The sum in a report; VMs of earlier versions tell how long it stays valid.
pub fn told_total(entry: &CustomerNeed, window: Duration) -> AllocatedTotal {
    let left = Duration::from_millis(entry.total_left.into());
    let age = match entry.total_age {
        Some(age) => Duration::from_millis(age.into()),
        None if left.is_zero() => return AllocatedTotal::default(),
        None => allocation::counted_time(window).saturating_sub(left),
    };
    AllocatedTotal {
        fraction: entry.total.into(),
        coordinator: entry.total_coordinator,
        age,
    }
}

/// Keeps the table that a coordinator has sent; drops a copy that is no longer kept up to date.
pub fn keep_table(
    state: &ControlState,
    report: &ShareReport,
    coordinator: &str,
    response: &ShareResponse,
    requested_at: TimeStamp,
) {
    let Some(table) = &response.table else {
        if response.is_coordinator && !report.wants_table {
            state.table_copy.replace(None);
        }
        return;
    };
    let totals = table
        .iter()
        .map(|entry| (entry.customer.clone(), f64::from(entry.total)));
    state.table_copy.replace(Some(CoordinatorCopy {
        coordinator: coordinator.to_owned(),
        table: TableCopy::new(response.incarnation, requested_at, totals),
    }));
}

/// Ends this VM's time as the coordinator; its table is what its successor has to know.
pub fn step_down(state: &ControlState, now: TimeStamp) {
    let mut coordinator = state.coordinator.borrow_mut();
    if let Some(totals) = coordinator.totals(now) {
        state.table_copy.replace(Some(CoordinatorCopy {
            coordinator: state.shared.settings.name.clone(),
            table: TableCopy::new(state.incarnation, now, totals.into_iter()),
        }));
    }
    coordinator.step_down();
}
