//! Exchange of customers' limits between VMs: each VM reports its customers' usage and need to the
//! coordinator, which allocates to it a fraction of each customer's limit.

use crate::asks::WaitingRequests;
use crate::clock;
use crate::control::ControlState;
use crate::control::vms::VmRecord;
use crate::front::handler;
use async_std::future::timeout;
use async_std::task;
use dahliawood_model::catalog::CatalogCustomer;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::client::error::CallError;
use dahliawood_peer::gateway::message::{CustomerNeed, CustomerShare, ShareReport, ShareResponse};
use dahliawood_quota::allocation::coordinator::{
    AllocatedTotal, CustomerAllocation, ReportSource, UsageReport,
};
use dahliawood_quota::allocation::local::{AllocationNeed, LimitUsage};
use dahliawood_steer::rendezvous;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How often a VM reports all its active customers.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The same interval while no coordinator answers this VM.
const FIRST_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two calls; requests that start to wait meanwhile share the next call.
const LEAST_INTERVAL: Duration = Duration::from_millis(10);

/// Demand below which an otherwise inactive customer is not reported, requests per second.
const NO_DEMAND: f64 = 0.01;

/// Reports until the task is cancelled.
pub async fn run(state: Rc<ControlState>) {
    let mut has_head = false;
    let mut reported = clock::now();
    loop {
        let interval = match has_head {
            true => REPORT_INTERVAL,
            false => FIRST_INTERVAL,
        };
        let rest = interval.saturating_sub(clock::now().since(reported));
        let is_asked = timeout(rest, state.shared.asks.rung()).await.is_ok();
        let waiting = state.shared.asks.take();
        if !is_asked {
            reported = clock::now();
        }
        let report = report(&state, &waiting, !is_asked);
        has_head = send(&state, &report).await;
        state.shared.asks.set_head(has_head);
        // Resumes the waiting requests, whether or not the coordinator answered.
        drop(waiting);
        task::sleep(LEAST_INTERVAL).await;
    }
}

/// Reports to the coordinator and applies its response; returns whether a coordinator answered.
async fn send(state: &ControlState, report: &ShareReport) -> bool {
    let vms = state.shared.vms.load_full();
    state.peers.retain(&vms);
    let Some(head) = head(&vms) else {
        return false;
    };
    let asked = clock::now();
    let answered = match head.name == report.from {
        true => Ok(answer(state, report)),
        false => ask(state, head, report).await,
    };
    match answered {
        Ok(answer) => {
            take(state, &answer, asked);
            answer.is_coordinator
        }
        Err(error) => {
            state.peers.forget(head.peer);
            log::debug!("the coordinator did not answer: {error}");
            false
        }
    }
}

/// The VM that allocates customers' limits; all VMs with the same list of VMs select the same one.
fn head(vms: &[VmRecord]) -> Option<&VmRecord> {
    vms.iter()
        .min_by_key(|vm| rendezvous::name_hash(vm.name.as_bytes()))
}

/// Builds this VM's report: a complete one has all active customers, any other only customers with
/// waiting requests.
fn report(state: &ControlState, waiting: &WaitingRequests, is_full: bool) -> ShareReport {
    ShareReport {
        from: state.shared.settings.name.clone(),
        incarnation: state.life,
        age: clock::now().since(state.started),
        is_leaving: state.shared.is_closed(),
        entries: entries(state, waiting, is_full),
    }
}

fn entries(state: &ControlState, waiting: &WaitingRequests, is_full: bool) -> Vec<CustomerNeed> {
    let Some(catalog) = state.shared.catalog.load_full() else {
        return Vec::new();
    };
    let now = clock::now();
    let vms = state.shared.vms.load().len();
    let need = |customer: &CatalogCustomer| {
        let waiting = waiting.get(&customer.name).map_or(0, Vec::len);
        if customer.rate <= 0.0 || (waiting == 0 && !is_full) {
            return None;
        }
        need(state, customer, waiting as f64, vms, now)
    };
    catalog.customers.values().filter_map(need).collect()
}

/// What one customer uses and needs on this VM, `None` if it is not active here.
fn need(
    state: &ControlState,
    customer: &CatalogCustomer,
    waiting: f64,
    vms: usize,
    now: TimeStamp,
) -> Option<CustomerNeed> {
    let name = &customer.name;
    let window = state.shared.settings.bounds.quota_window;
    let (share, total) = {
        let parts = state.shared.parts();
        (parts.held(name, now), parts.total(name, window, now))
    };
    let mut windows = state.shared.windows();
    let admitted = f64::from(windows.admitted(name, now));
    let demand = windows.demand(name, now);
    if share <= 0.0 && admitted + waiting <= 0.0 && demand < NO_DEMAND {
        return None;
    }
    let limit = LimitUsage {
        limit: handler::whole_limit(&state.shared, customer),
        admitted,
        demand,
        waiting,
    };
    let need = limit.need(vms);
    Some(CustomerNeed {
        customer: name.clone(),
        demand: demand as f32,
        share: share as f32,
        used: need.used as f32,
        wanted: need.wanted as f32,
        per_request: need.per_request as f32,
        total: total.fraction as f32,
        total_left: total.valid_for.as_millis() as u32,
        total_coordinator: total.coordinator,
    })
}

async fn ask(
    state: &ControlState,
    head: &VmRecord,
    report: &ShareReport,
) -> Result<ShareResponse, CallError> {
    let client = state.peers.client(head.peer).await?;
    client.shares(report).await
}

fn take(state: &ControlState, answer: &ShareResponse, asked: TimeStamp) {
    let mut parts = state.shared.parts();
    for entry in &answer.entries {
        let given = CustomerAllocation {
            customer: entry.customer.clone(),
            fraction: entry.share.into(),
            total: entry.total.into(),
            coordinator: answer.incarnation,
        };
        parts.accept(&given, asked);
    }
}

/// Handles the report of a VM that takes this VM for the coordinator.
pub fn answer(state: &ControlState, report: &ShareReport) -> ShareResponse {
    let vms = state.shared.vms.load_full();
    let own = &state.shared.settings.name;
    let mut book = state.book.borrow_mut();
    if head(&vms).is_none_or(|head| head.name != *own) {
        book.step_down();
        return ShareResponse::default();
    }
    if !Arc::ptr_eq(&vms, &state.book_vms.borrow()) {
        book.set_members(vms.iter().map(|vm| vm.name.clone()));
        state.book_vms.replace(vms);
    }
    let reports: Vec<UsageReport> = report.entries.iter().map(part_report).collect();
    let now = clock::now();
    let from = ReportSource {
        name: &report.from,
        incarnation: report.incarnation,
        age: report.age,
    };
    if report.is_leaving {
        book.release(from, &reports, now);
        return ShareResponse::default();
    }
    let parts = book.report(from, &reports, now);
    if !book.has_majority(now) {
        return ShareResponse::default();
    }
    let entries = parts.into_iter().map(|given| CustomerShare {
        customer: given.customer,
        share: given.fraction as f32,
        total: given.total as f32,
    });
    ShareResponse {
        is_coordinator: true,
        incarnation: state.life,
        entries: entries.collect(),
    }
}

fn part_report(entry: &CustomerNeed) -> UsageReport {
    UsageReport {
        customer: entry.customer.clone(),
        demand: entry.demand.into(),
        fraction: entry.share.into(),
        need: AllocationNeed {
            used: entry.used.into(),
            wanted: entry.wanted.into(),
            per_request: entry.per_request.into(),
        },
        total: AllocatedTotal {
            fraction: entry.total.into(),
            coordinator: entry.total_coordinator,
            valid_for: Duration::from_millis(entry.total_left.into()),
        },
    }
}
