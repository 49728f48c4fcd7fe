//! `events`: one time line over all VMs, merged by their hybrid logical clocks.

use crate::args::OperatorArgs;
use crate::exit::CommandFailure;
use crate::{operator, output};
use async_std::task;
use dahliawood_daemon::operator::reply;
use dahliawood_events::{clock, ring};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time between two questions while following.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// What is shown of the time line.
#[derive(Clone, Debug, Default)]
pub struct EventFilter {
    /// Only events after this many seconds ago.
    pub since: Option<u64>,
    /// Go on with new events.
    pub is_following: bool,
    /// Only this VM's.
    pub vm: Option<String>,
    /// Only this kind.
    pub kind: Option<String>,
}

/// One round over all VMs.
#[derive(Debug, Default)]
struct TimeLine {
    events: Vec<ring::TimedEvent>,
    gaps: Vec<String>,
}

/// Shows the time line.
///
/// # Errors
/// Fails where no VM answers at the start; later silence is said in the time line.
pub async fn run(
    operator: &OperatorArgs,
    filter: &EventFilter,
    output: output::OutputMode,
) -> Result<(), CommandFailure> {
    let earliest = clock::HybridStamp::from_wall_micros(earliest_micros(filter.since));
    let mut positions = BTreeMap::new();
    loop {
        let line = round(operator, filter, &mut positions).await?;
        line.gaps.iter().for_each(|gap| eprintln!("{gap}"));
        let shown = line.events.iter().filter(|event| event.stamp >= earliest);
        let is_kind = |event: &&ring::TimedEvent| {
            filter
                .kind
                .as_deref()
                .is_none_or(|kind| event.kind.name() == kind)
        };
        for event in shown.filter(is_kind) {
            output.show(event, || println!("{event}"));
        }
        if !filter.is_following {
            return Ok(());
        }
        task::sleep(FOLLOW_INTERVAL).await;
    }
}

/// Wall time before which nothing is shown, microseconds.
fn earliest_micros(since: Option<u64>) -> u64 {
    let Some(seconds) = since else { return 0 };
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let earliest = now.saturating_sub(Duration::from_secs(seconds));
    u64::try_from(earliest.as_micros()).unwrap_or(u64::MAX)
}

/// Asks every VM for what is new.
async fn round(
    operator: &OperatorArgs,
    filter: &EventFilter,
    positions: &mut BTreeMap<String, u64>,
) -> Result<TimeLine, CommandFailure> {
    let status: reply::StatusReply = operator::get_json(operator, "/v1/status").await?;
    let mut line = TimeLine::default();
    let is_asked = |name: &String| filter.vm.as_ref().is_none_or(|vm| vm == name);
    for name in status.vms.iter().map(|vm| vm.name.clone()).filter(is_asked) {
        let after = positions.entry(name.clone()).or_default();
        match page(operator, &name, *after).await {
            Ok(page) => {
                if page.lost > 0 {
                    line.gaps
                        .push(format!("{name}: {} events are lost", page.lost));
                }
                *after = page.next;
                line.events
                    .extend(page.events.into_iter().filter_map(parsed));
            }
            Err(failure) => line
                .gaps
                .push(format!("{name}: its events are missing: {failure}")),
        }
    }
    line.events
        .sort_by(|one, other| (one.stamp, &one.vm).cmp(&(other.stamp, &other.vm)));
    Ok(line)
}

/// A page of one VM's events.
async fn page(
    operator: &OperatorArgs,
    vm: &str,
    after: u64,
) -> Result<reply::EventsReply, CommandFailure> {
    operator::get_json(operator, &format!("/v1/events?vm={vm}&after={after}")).await
}

/// An event of a version that this one does not know is left out.
fn parsed(value: serde_json::Value) -> Option<ring::TimedEvent> {
    serde_json::from_value(value).ok()
}
