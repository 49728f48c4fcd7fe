//! The command `events`: the events of all VMs, merged by their hybrid logical time stamps.

use crate::args::OperatorArgs;
use crate::exit::CommandFailure;
use crate::{operator, output};
use async_std::task;
use dahliawood_daemon::operator::reply;
use dahliawood_events::{clock, ring};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Poll interval of `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Selects the events that are shown.
#[derive(Clone, Debug, Default)]
pub struct EventFilter {
    /// Only events of the last `since` seconds.
    pub since: Option<u64>,
    /// Keep showing new events.
    pub is_following: bool,
    /// Only events of this VM.
    pub vm: Option<String>,
    /// Only events of this kind.
    pub kind: Option<String>,
}

/// The new events of all VMs from one poll.
#[derive(Debug, Default)]
struct EventBatch {
    /// Events in time order.
    events: Vec<ring::TimedEvent>,
    /// Messages about VMs some of whose events are missing.
    gaps: Vec<String>,
}

/// Prints the events of all VMs in time order.
///
/// # Errors
/// Fails if no VM answers a status request. If a single VM does not return its events, a message is
/// printed on standard error instead.
pub async fn run(
    operator: &OperatorArgs,
    filter: &EventFilter,
    output: output::OutputMode,
) -> Result<(), CommandFailure> {
    let earliest = clock::HybridStamp::from_wall_micros(earliest_micros(filter.since));
    let mut positions = BTreeMap::new();
    loop {
        let batch = poll(operator, filter, &mut positions).await?;
        batch.gaps.iter().for_each(|gap| eprintln!("{gap}"));
        let shown = batch.events.iter().filter(|event| event.stamp >= earliest);
        let is_kind = |event: &&ring::TimedEvent| {
            filter
                .kind
                .as_deref()
                .is_none_or(|kind| event.kind.name() == kind)
        };
        for event in shown.filter(is_kind) {
            output.print(event, || println!("{event}"));
        }
        if !filter.is_following {
            return Ok(());
        }
        task::sleep(FOLLOW_INTERVAL).await;
    }
}

/// Wall time of the earliest events that are shown, microseconds since the Unix epoch.
fn earliest_micros(since: Option<u64>) -> u64 {
    let Some(seconds) = since else { return 0 };
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let earliest = now.saturating_sub(Duration::from_secs(seconds));
    u64::try_from(earliest.as_micros()).unwrap_or(u64::MAX)
}

/// Fetches the events after `positions` from every VM, and advances `positions`.
async fn poll(
    operator: &OperatorArgs,
    filter: &EventFilter,
    positions: &mut BTreeMap<String, u64>,
) -> Result<EventBatch, CommandFailure> {
    let status: reply::StatusReply = operator::get_json(operator, "/v1/status").await?;
    let mut batch = EventBatch::default();
    let is_asked = |name: &String| filter.vm.as_ref().is_none_or(|vm| vm == name);
    for name in status.vms.iter().map(|vm| vm.name.clone()).filter(is_asked) {
        let after = positions.entry(name.clone()).or_default();
        match page(operator, &name, *after).await {
            Ok(page) => {
                if page.lost > 0 {
                    batch.gaps.push(format!(
                        "{name}: {} events were dropped before they could be read",
                        page.lost
                    ));
                }
                *after = page.next;
                batch
                    .events
                    .extend(page.events.into_iter().filter_map(parse_event));
            }
            Err(failure) => batch
                .gaps
                .push(format!("{name}: cannot read its events: {failure}")),
        }
    }
    batch
        .events
        .sort_by(|one, other| (one.stamp, &one.vm).cmp(&(other.stamp, &other.vm)));
    Ok(batch)
}

/// Fetches one page of a VM's events.
async fn page(
    operator: &OperatorArgs,
    vm: &str,
    after: u64,
) -> Result<reply::EventsReply, CommandFailure> {
    operator::get_json(operator, &format!("/v1/events?vm={vm}&after={after}")).await
}

/// Parses an event; `None` for an event that this version does not know, from a newer VM.
fn parse_event(value: serde_json::Value) -> Option<ring::TimedEvent> {
    serde_json::from_value(value).ok()
}
