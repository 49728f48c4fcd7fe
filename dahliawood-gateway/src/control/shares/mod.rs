//! Reports customers' demand to the head, and takes the parts of their limits from it.

use crate::clock;
use crate::control::ControlState;
use crate::control::vms::VmRecord;
use async_std::task;
use dahliawood_model::catalog::CatalogCustomer;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::client::error::CallError;
use dahliawood_peer::gateway::message::{CustomerShare, ShareAnswer, ShareReport};
use dahliawood_quota::grant::book::{GivenPart, PartReport};
use dahliawood_steer::rendezvous;
use std::rc::Rc;
use std::time::Duration;

/// How often demand is reported.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The same while this VM holds no part.
const FIRST_INTERVAL: Duration = Duration::from_millis(200);

/// Reports until the task is cancelled.
pub async fn run(state: Rc<ControlState>) {
    let mut has_parts = false;
    loop {
        task::sleep(if has_parts {
            REPORT_INTERVAL
        } else {
            FIRST_INTERVAL
        })
        .await;
        let vms = state.shared.vms.load_full();
        let Some(head) = head(&vms) else {
            continue;
        };
        let asked = clock::now();
        let report = report(&state, asked);
        let answered = match head.name == report.from {
            true => Ok(answer(&state, &report)),
            false => ask(&state, head, &report).await,
        };
        match answered {
            Ok(answer) => {
                has_parts = answer.is_head && !answer.entries.is_empty();
                take(&state, &answer, asked);
            }
            Err(error) => {
                has_parts = false;
                state.peers.forget(head.peer);
                log::debug!("the head does not answer: {error}");
            }
        }
        state.peers.retain(&vms);
    }
}

/// The VM that gives out the parts: all VMs that know the same ones agree on it.
fn head(vms: &[VmRecord]) -> Option<&VmRecord> {
    vms.iter()
        .min_by_key(|vm| rendezvous::name_hash(vm.name.as_bytes()))
}

/// What this VM reports.
fn report(state: &ControlState, now: TimeStamp) -> ShareReport {
    ShareReport {
        from: state.shared.settings.name.clone(),
        is_leaving: state.shared.is_closed(),
        entries: entries(state, now),
    }
}

/// Demand and parts of this VM, for every customer that has a limit.
fn entries(state: &ControlState, now: TimeStamp) -> Vec<CustomerShare> {
    let Some(catalog) = state.shared.catalog.load_full() else {
        return Vec::new();
    };
    let windows = state.shared.windows();
    let parts = state.shared.parts();
    let limited = catalog.customers.values().filter(|spec| spec.rate > 0.0);
    let entry = |customer: &CatalogCustomer| CustomerShare {
        customer: customer.name.clone(),
        demand: windows.demand(&customer.name, now),
        share: parts.held(&customer.name, now),
    };
    limited.map(entry).collect()
}

async fn ask(
    state: &ControlState,
    head: &VmRecord,
    report: &ShareReport,
) -> Result<ShareAnswer, CallError> {
    let client = state.peers.client(head.peer).await?;
    client.shares(report).await
}

fn take(state: &ControlState, answer: &ShareAnswer, asked: TimeStamp) {
    let mut parts = state.shared.parts();
    for entry in &answer.entries {
        let given = GivenPart {
            customer: entry.customer.clone(),
            part: entry.share,
            demand: entry.demand,
        };
        parts.take(&given, asked);
    }
}

/// Answers a VM that takes this one for the head.
pub fn answer(state: &ControlState, report: &ShareReport) -> ShareAnswer {
    let vms = state.shared.vms.load();
    let own = &state.shared.settings.name;
    let mut book = state.book.borrow_mut();
    if head(&vms).is_none_or(|head| head.name != *own) {
        book.step_down();
        return ShareAnswer::default();
    }
    if report.is_leaving {
        book.release(&report.from);
        return ShareAnswer::default();
    }
    let members: Vec<&str> = vms.iter().map(|vm| vm.name.as_str()).collect();
    let reports: Vec<PartReport> = report.entries.iter().map(part_report).collect();
    let now = clock::now();
    let parts = book.report(&report.from, &reports, &members, now);
    if !book.has_majority(&members, now) {
        return ShareAnswer::default();
    }
    let entries = parts.into_iter().map(|given| CustomerShare {
        customer: given.customer,
        share: given.part,
        demand: given.demand,
    });
    ShareAnswer {
        is_head: true,
        entries: entries.collect(),
    }
}

fn part_report(entry: &CustomerShare) -> PartReport {
    PartReport {
        customer: entry.customer.clone(),
        demand: entry.demand,
        part: entry.share,
    }
}
