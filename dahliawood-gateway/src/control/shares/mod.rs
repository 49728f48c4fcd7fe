//! Reports customers' demand to the head, and takes the parts of their limits from it.

use crate::clock;
use crate::control::ControlState;
use crate::control::vms::VmRecord;
use async_std::task;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_peer::client::error::CallError;
use dahliawood_peer::gateway::message::{CustomerShare, ShareAnswer};
use dahliawood_quota::grant::book::PartReport;
use dahliawood_steer::rendezvous;
use std::rc::Rc;
use std::time::Duration;

/// How often demand is reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Reports until the task is cancelled.
pub async fn run(state: Rc<ControlState>) {
    loop {
        task::sleep(REPORT_INTERVAL).await;
        let vms = state.shared.vms.load_full();
        let Some(head) = head(&vms) else {
            continue;
        };
        let asked = clock::now();
        let entries = entries(&state, asked);
        let own = &state.shared.settings.name;
        let answered = match head.name == *own {
            true => Ok(answer(&state, own, &entries)),
            false => ask(&state, head, &entries).await,
        };
        match answered {
            Ok(answer) if answer.is_head => take(&state, &answer, asked),
            Ok(_) => {}
            Err(error) => {
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

/// Demand and parts of this VM.
fn entries(state: &ControlState, now: TimeStamp) -> Vec<CustomerShare> {
    let is_leaving = state.shared.is_leaving();
    let windows = state.shared.windows();
    let parts = state.shared.parts();
    let entry = |(customer, demand): (&String, f64)| CustomerShare {
        customer: customer.clone(),
        demand: if is_leaving { 0.0 } else { demand },
        share: parts.held(customer, now),
    };
    windows.demands(now).map(entry).collect()
}

async fn ask(
    state: &ControlState,
    head: &VmRecord,
    entries: &[CustomerShare],
) -> Result<ShareAnswer, CallError> {
    let client = state.peers.client(head.peer).await?;
    client.shares(&state.shared.settings.name, entries).await
}

fn take(state: &ControlState, answer: &ShareAnswer, asked: TimeStamp) {
    let mut parts = state.shared.parts();
    for entry in &answer.entries {
        parts.take(&entry.customer, entry.share, asked);
    }
}

/// Answers a VM that takes this one for the head.
pub fn answer(state: &ControlState, from: &str, entries: &[CustomerShare]) -> ShareAnswer {
    let vms = state.shared.vms.load();
    let own = &state.shared.settings.name;
    let mut book = state.book.borrow_mut();
    if head(&vms).is_none_or(|head| head.name != *own) {
        book.step_down();
        return ShareAnswer::default();
    }
    let members: Vec<&str> = vms.iter().map(|vm| vm.name.as_str()).collect();
    let reports: Vec<PartReport> = entries.iter().map(report).collect();
    let now = clock::now();
    let parts = book.report(from, &reports, &members, now);
    if !book.has_majority(&members, now) {
        return ShareAnswer::default();
    }
    let entries = parts.into_iter().map(|(customer, share)| CustomerShare {
        customer,
        share,
        demand: 0.0,
    });
    ShareAnswer {
        is_head: true,
        entries: entries.collect(),
    }
}

fn report(entry: &CustomerShare) -> PartReport {
    PartReport {
        customer: entry.customer.clone(),
        demand: entry.demand,
        part: entry.share,
    }
}
