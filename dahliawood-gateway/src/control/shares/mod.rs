//! Exchange of customers' limits between VMs: each VM reports its customers' usage and need to the
//! coordinator, which allocates to it a fraction of each customer's limit.

pub mod limits;
pub mod standby;

use crate::admission_queue::WaitingRequests;
use crate::clock;
use crate::control::ControlState;
use crate::control::vms::VmRecord;
use crate::front::handler::admission;
use async_std::future::timeout;
use async_std::task;
use dahliawood_model::catalog::CatalogCustomer;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::client::error::CallError;
use dahliawood_peer::gateway::message::{CustomerNeed, CustomerShare, ShareReport, ShareResponse};
use dahliawood_quota::allocation::REPORT_INTERVAL;
use dahliawood_quota::allocation::coordinator::{
    CustomerAllocation, ReportList, ReportSource, UsageReport,
};
use dahliawood_quota::allocation::local::{AllocationNeed, LimitUsage};
use dahliawood_quota::usage_limit::UsageLimit;
use dahliawood_steer::rendezvous;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The same interval while no coordinator answers this VM.
const NO_COORDINATOR_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two calls; requests that start to wait meanwhile share the next call.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(10);

/// Reports until the task is cancelled.
pub async fn run(state: Rc<ControlState>) {
    let mut has_coordinator = false;
    let mut reported_at = clock::now();
    loop {
        let interval = match has_coordinator {
            true => REPORT_INTERVAL,
            false => NO_COORDINATOR_INTERVAL,
        };
        let rest = interval.saturating_sub(clock::now().since(reported_at));
        let is_requested = timeout(rest, state.shared.admission_queue.wait_for_request())
            .await
            .is_ok();
        let waiting = state.shared.admission_queue.take();
        if !is_requested {
            reported_at = clock::now();
        }
        let mut report = report(&state, &waiting, !is_requested);
        if !is_requested {
            observe_members(&state);
            standby::exchange_table(&state, &mut report, has_coordinator);
        }
        has_coordinator = exchange_report(&state, &report).await;
        state
            .shared
            .admission_queue
            .set_coordinator_available(has_coordinator);
        // Resumes the waiting requests, whether or not the coordinator answered.
        drop(waiting);
        task::sleep(MIN_CALL_INTERVAL).await;
    }
}

/// Notes which VMs are off the list of registered VMs.
fn observe_members(state: &ControlState) {
    let vms = state.shared.vms.load();
    let names = vms.iter().map(|vm| vm.name.as_str());
    state.absent.borrow_mut().set_members(names, clock::now());
}

/// Reports to the coordinator and applies its response; returns whether a coordinator answered.
async fn exchange_report(state: &ControlState, report: &ShareReport) -> bool {
    let vms = state.shared.vms.load_full();
    state.peers.retain(&vms);
    let Some(coordinator) = select_coordinator(&vms) else {
        return false;
    };
    let requested_at = clock::now();
    let answered = if coordinator.name == report.from {
        Ok(handle_report(state, report))
    } else {
        standby::step_down(state, requested_at);
        call_coordinator(state, coordinator, report).await
    };
    match answered {
        Ok(response) => {
            apply_response(state, &response, requested_at);
            standby::keep_table(state, report, &coordinator.name, &response, requested_at);
            response.is_coordinator
        }
        Err(error) => {
            state.peers.forget(coordinator.peer);
            log::debug!("the coordinator did not answer: {error}");
            false
        }
    }
}

/// The VM that allocates customers' limits; all VMs with the same list of VMs select the same one.
fn select_coordinator(vms: &[VmRecord]) -> Option<&VmRecord> {
    vms.iter()
        .min_by_key(|vm| rendezvous::name_hash(vm.name.as_bytes()))
}

/// Builds this VM's report: a complete one has all active customers, any other only customers with
/// waiting requests.
fn report(state: &ControlState, waiting: &WaitingRequests, is_complete: bool) -> ShareReport {
    ShareReport {
        from: state.shared.settings.name.clone(),
        incarnation: state.incarnation,
        age: clock::now().since(state.started),
        is_leaving: state.shared.has_stopped_accepting(),
        entries: entries(state, waiting, is_complete),
        wants_table: false,
        has_table: false,
        has_absent: state.absent.borrow().has_any(clock::now()),
    }
}

fn entries(
    state: &ControlState,
    waiting: &WaitingRequests,
    is_complete: bool,
) -> Vec<CustomerNeed> {
    let Some(catalog) = state.shared.catalog.load_full() else {
        return Vec::new();
    };
    let now = clock::now();
    let need = |customer: &CatalogCustomer| {
        let waiting = waiting.get(&customer.name).map_or(0, Vec::len);
        if customer.rate <= 0.0 || (waiting == 0 && !is_complete) {
            return None;
        }
        need(state, customer, waiting as f64, now)
    };
    catalog.customers.values().filter_map(need).collect()
}

/// What one customer uses and needs on this VM, `None` if it is not active here.
fn need(
    state: &ControlState,
    customer: &CatalogCustomer,
    waiting: f64,
    now: TimeStamp,
) -> Option<CustomerNeed> {
    let name = &customer.name;
    let window = state.shared.settings.bounds.quota_window;
    let usage = {
        let limit = admission::fleet_limit(&state.shared, customer);
        let mut windows = state.shared.windows();
        LimitUsage::of(&mut windows, name, &limit, waiting, now)
    };
    let (share, total) = {
        let allocations = state.shared.allocations();
        if !allocations.must_report(name, &usage) {
            return None;
        }
        (
            allocations.held(name, now),
            allocations.total(name, window, now),
        )
    };
    let need = usage.need(state.shared.even_fraction());
    Some(CustomerNeed {
        customer: name.clone(),
        demand: usage.demand as f32,
        share: share as f32,
        used: need.used as f32,
        wanted: need.requested as f32,
        per_request: need.per_request as f32,
        total: total.fraction as f32,
        total_left: standby::millis_left(total.age, window),
        total_coordinator: total.coordinator,
        total_age: standby::told_age(&total),
    })
}

async fn call_coordinator(
    state: &ControlState,
    coordinator: &VmRecord,
    report: &ShareReport,
) -> Result<ShareResponse, CallError> {
    let client = state.peers.client(coordinator.peer).await?;
    client.shares(report).await
}

fn apply_response(state: &ControlState, response: &ShareResponse, requested_at: TimeStamp) {
    let mut allocations = state.shared.allocations();
    for entry in &response.entries {
        let allocation = CustomerAllocation {
            customer: entry.customer.clone(),
            fraction: entry.share.into(),
            total: entry.total.into(),
            coordinator: response.incarnation,
        };
        allocations.accept(&allocation, requested_at);
    }
}

/// Handles the report of a VM that takes this VM for the coordinator.
pub fn handle_report(state: &ControlState, report: &ShareReport) -> ShareResponse {
    let vms = state.shared.vms.load_full();
    let own = &state.shared.settings.name;
    let now = clock::now();
    if select_coordinator(&vms).is_none_or(|vm| vm.name != *own) {
        standby::step_down(state, now);
        return ShareResponse::default();
    }
    let mut coordinator = state.coordinator.borrow_mut();
    if !Arc::ptr_eq(&vms, &state.coordinator_members.borrow()) {
        coordinator.set_members(vms.iter().map(|vm| vm.name.clone()));
        state.coordinator_members.replace(vms);
    }
    let window = state.shared.settings.bounds.quota_window;
    let mut limits = state.limits.borrow_mut();
    limits.refresh(&state.shared);
    let reports = report.entries.iter();
    let reports = reports.map(|entry| usage_report(entry, limits.get(&entry.customer), window));
    let reports: Vec<UsageReport> = reports.collect();
    drop(limits);
    let from = ReportSource {
        name: &report.from,
        incarnation: report.incarnation,
        age: report.age,
    };
    if report.is_leaving {
        coordinator.release(from, &reports, now);
        return ShareResponse::default();
    }
    let list = ReportList {
        customers: &reports,
        has_table: report.has_table,
        has_absent: report.has_absent,
    };
    let allocations = coordinator.report(from, list, now);
    if !coordinator.has_majority(now) {
        return ShareResponse::default();
    }
    let entries = allocations.into_iter().map(|allocation| CustomerShare {
        customer: allocation.customer,
        share: allocation.fraction as f32,
        total: allocation.total as f32,
    });
    let table = match report.wants_table {
        true => coordinator.totals(now),
        false => None,
    };
    let total = |(customer, total)| CustomerShare {
        customer,
        share: 0.0,
        total: total as f32,
    };
    ShareResponse {
        is_coordinator: true,
        incarnation: state.incarnation,
        entries: entries.collect(),
        table: table.map(|totals| totals.into_iter().map(total).collect()),
    }
}

fn usage_report(entry: &CustomerNeed, limit: UsageLimit, window: Duration) -> UsageReport {
    UsageReport {
        customer: entry.customer.clone(),
        demand: entry.demand.into(),
        fraction: entry.share.into(),
        need: AllocationNeed {
            used: entry.used.into(),
            requested: entry.wanted.into(),
            per_request: entry.per_request.into(),
        },
        total: standby::told_total(entry, window),
        limit,
    }
}
