//! What this VM knows of the key space, for logs and metrics: from whom, since when, and how old it
//! is.

use crate::clock;
use crate::control::ControlState;
use crate::structured_log::EventClass;
use dahliawood_model::stamp::TimeStamp;
use serde::Serialize;
use std::time::Duration;

/// From whom a VM learns of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, derive_more::Display)]
pub enum KnowledgeSource {
    /// Nobody yet.
    #[default]
    #[display("nobody")]
    Nobody,
    /// The store.
    #[display("store")]
    Store,
    /// The VM of this name.
    #[display("{_0}")]
    Vm(String),
}

/// From whom this VM learns of changes, and since when.
#[derive(Clone, Debug, Default)]
pub struct KnowledgeRecord {
    source: KnowledgeSource,
    since: TimeStamp,
    is_old: bool,
}

/// Log event for a change of the source.
#[derive(Serialize)]
struct SourceEvent {
    from: String,
    before: String,
    followed_ms: u128,
    age_ms: u128,
}

/// Log event for knowledge that is old, or current again.
#[derive(Serialize)]
struct AgeEvent {
    is_old: bool,
    from: String,
    age_ms: u128,
}

impl KnowledgeRecord {
    /// From whom this VM learns of changes.
    pub fn source(&self) -> &KnowledgeSource {
        &self.source
    }
}

/// How old this VM's knowledge is: the time since it was last known to be current, or since the start of
/// the process.
pub fn age(state: &ControlState, now: TimeStamp) -> Duration {
    let current_at = state.sources.borrow().current_at();
    now.since(current_at.unwrap_or(state.started))
}

/// Records from whom this VM learns of changes, and logs it if it is another source than before.
pub fn set_source(state: &ControlState, source: KnowledgeSource) {
    let now = clock::now();
    let mut knowledge = state.knowledge.borrow_mut();
    if knowledge.source == source {
        return;
    }
    let metrics = &state.shared.metrics;
    let kind = match source {
        KnowledgeSource::Vm(_) => "vm",
        _ => "store",
    };
    metrics.source_changes.with_label_values(&[kind]).inc();
    let before = std::mem::replace(&mut knowledge.source, source);
    let since = std::mem::replace(&mut knowledge.since, now);
    let event = || SourceEvent {
        from: knowledge.source.to_string(),
        before: before.to_string(),
        followed_ms: now.since(since).as_millis(),
        age_ms: age(state, now).as_millis(),
    };
    state.shared.log.write(EventClass::State, "source", event);
}

/// Passes on from whom this VM learns of changes and how old its knowledge is, for the log of decisions.
pub fn tell_decisions(state: &ControlState) {
    let source = state.knowledge.borrow().source.to_string();
    let current_at = state.sources.borrow().current_at();
    let current_at = current_at.unwrap_or(state.started);
    state.shared.decisions().set_knowledge(source, current_at);
}

/// Sets the metric of the age, and logs when the knowledge becomes old or current again.
pub fn observe_age(state: &ControlState, now: TimeStamp) {
    let age = age(state, now);
    state.shared.metrics.knowledge_age.set(age.as_secs_f64());
    let is_old = !state.sources.borrow().is_current(now);
    state.shared.set_knowledge_old(is_old);
    tell_decisions(state);
    let mut knowledge = state.knowledge.borrow_mut();
    if std::mem::replace(&mut knowledge.is_old, is_old) == is_old {
        return;
    }
    let event = || AgeEvent {
        is_old,
        from: knowledge.source.to_string(),
        age_ms: age.as_millis(),
    };
    state
        .shared
        .log
        .write(EventClass::State, "knowledge", event);
}
