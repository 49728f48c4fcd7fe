//! Periodic work of the control thread.

use crate::clock;
use crate::control::{ControlState, answers, apply, copy, knowledge};
use crate::reach;
use crate::structured_log::EventClass;
use async_std::task;
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_steer::placement::warmup::WarmupChange;
use dahliawood_steer::placement::{balance, spillover};
use dahliawood_steer::rendezvous;
use serde::Serialize;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of ticks between two removals of idle connections from the pool.
const SWEEP_TICKS: u32 = 2;

/// Most targets that a log event for warm-ups names.
const MAX_LOGGED_TARGETS: usize = 8;

/// Most connections that are opened per tick to targets whose processes were gone.
const MAX_CHECKS: usize = 16;

/// Log event for a target that accepts connections again, and may be cold.
#[derive(Serialize)]
struct ReturnEvent<'a> {
    target: &'a str,
}

/// Log event for the requests that this VM sent to a cold target since the last tick.
#[derive(Serialize)]
struct ColdEvent<'a> {
    target: &'a str,
    sent: usize,
    /// The most within the window in which they are limited.
    peak: usize,
    /// The longest time from the choice of the target until a request was written, milliseconds.
    longest_delay_ms: u128,
    /// VMs of the region among which the target's limit is divided.
    vms: usize,
}

/// Log event for the warm-ups of targets that changed in the same way since the last tick.
#[derive(Serialize)]
struct WarmupEvent<'a> {
    change: &'a str,
    cause: &'a str,
    count: usize,
    /// Some of the targets.
    targets: &'a [String],
}

/// Log event for the share of a service's objects that run in other regions, in a region with few slots.
#[derive(Serialize)]
struct LevelEvent<'a> {
    service: &'a str,
    level: f64,
    /// Why the level is as it is.
    reason: &'a str,
    /// Share of the objects in each region.
    shares: &'a [(String, f64)],
}

/// Runs the periodic work until the task is cancelled.
pub async fn run(state: Rc<ControlState>) {
    let mut ticks = 0_u32;
    loop {
        task::sleep(spillover::STEP_INTERVAL).await;
        let now = clock::now();
        apply::update_sharers(&state);
        knowledge::observe_age(&state, now);
        balance::adjust_spillover(&mut state.shared.placement(), &state.shared.location(), now);
        report_levels(&state);
        log_cold_usage(&state);
        log_warmups(&state, now);
        update_work_metrics(&state, now);
        check_targets(&state, now);
        let expired = state.view.borrow_mut().expire(now);
        copy::apply_now(&state, &expired);
        answers::log_holds(&state);
        state.shared.decisions().write(&state.shared.log);
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(SWEEP_TICKS) {
            state.shared.pool.sweep();
        }
    }
}

/// Logs the levels that changed, and sets their metric.
fn report_levels(state: &ControlState) {
    let mut table = state.shared.placement();
    let levels = table.services.iter_mut().map(|(service, pool)| {
        let spillover = &mut pool.spillover;
        (service.clone(), spillover.level(), spillover.take_change())
    });
    let levels: Vec<_> = levels.collect();
    // Requests need the table while the events are written.
    drop(table);
    for (service, level, change) in &levels {
        let gauge = &state.shared.metrics.spillover_level;
        gauge.with_label_values(&[service]).set(*level);
        let Some(change) = change else {
            continue;
        };
        let event = || LevelEvent {
            service,
            level: change.level,
            reason: change.reason.name(),
            shares: &change.shares,
        };
        state.shared.log.write(EventClass::State, "level", event);
    }
}

/// Opens connections to targets whose processes were gone, to learn whether they are back.
fn check_targets(state: &Rc<ControlState>, now: TimeStamp) {
    if !state.shared.reach().tracker.is_reachable() {
        // The failures are this VM's own.
        return;
    }
    let due = state.shared.placement().begin_checks(MAX_CHECKS, now);
    for (key, address) in due {
        let state = Rc::clone(state);
        task::spawn_local(async move {
            let is_accepted = reach::probe(&state.shared, address).await.is_ok();
            let now = clock::now();
            let mut table = state.shared.placement();
            if let Some(id) = table.finish_check(key, is_accepted, now) {
                let event = || ReturnEvent { target: id };
                state
                    .shared
                    .log
                    .write(EventClass::State, "target-returned", event);
            }
        });
    }
}

/// Shows the estimates of work in the metrics; those that are expired, or of routes that the
/// configuration does not name, disappear.
fn update_work_metrics(state: &ControlState, now: TimeStamp) {
    let Some(catalog) = state.shared.catalog.load_full() else {
        return;
    };
    let hash = |name: &str| rendezvous::name_hash(name.as_bytes());
    let routes = catalog.routes.values();
    let names: FastMap<u64, &str> = routes
        .map(|route| (hash(&route.name), route.name.as_str()))
        .collect();
    let table = state.shared.placement();
    let estimates: Vec<_> = table
        .services
        .iter()
        .flat_map(|(service, pool)| pool.work.all(now).map(|known| (service.clone(), known)))
        .collect();
    // Requests need the table while the metrics are set.
    drop(table);
    let metrics = &state.shared.metrics;
    metrics.work.reset();
    metrics.late_work.reset();
    for (service, known) in &estimates {
        if let Some(route) = names.get(&known.route) {
            metrics.set_work(service, route, known);
        }
    }
}

fn log_cold_usage(state: &ControlState) {
    let vms = state.shared.location().sharers.count();
    let used = state.shared.placement().take_cold_usage();
    for (target, usage) in &used {
        state
            .shared
            .log
            .write(EventClass::State, "cold", || ColdEvent {
                target,
                sent: usage.sent,
                peak: usage.peak,
                longest_delay_ms: usage.longest_delay.as_millis(),
                vms,
            });
    }
}

/// Logs and counts changes of warm-ups, one event for each kind, as a whole failure domain may change.
fn log_warmups(state: &ControlState, now: TimeStamp) {
    let shared = &state.shared;
    let mut table = shared.placement();
    let changes = table.take_warmup_changes(now);
    let warming = i64::try_from(table.warming_count(now)).unwrap_or(i64::MAX);
    drop(table);
    shared.metrics.warming_targets.set(warming);
    let mut kinds: BTreeMap<(&str, String), Vec<String>> = BTreeMap::new();
    for (target, change) in changes {
        let kind = match change {
            WarmupChange::Begun(cause) => ("begun", cause.to_string()),
            WarmupChange::Ended => ("ended", "warm".to_owned()),
            WarmupChange::SetBack(cause) => ("set-back", cause.to_string()),
        };
        kinds.entry(kind).or_default().push(target);
    }
    for ((change, cause), targets) in &kinds {
        shared.metrics.record_warmups(change, cause, targets.len());
        let event = || WarmupEvent {
            change,
            cause,
            count: targets.len(),
            targets: &targets[..targets.len().min(MAX_LOGGED_TARGETS)],
        };
        shared.log.write(EventClass::State, "warmup", event);
    }
}
