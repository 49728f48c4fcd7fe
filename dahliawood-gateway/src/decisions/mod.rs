//! Which configuration version, and whose entries of the key space, decided each request: for the log.
//!
//! A request that is handled by an old version, or sent to a target that left, can be recognised only
//! afterwards and elsewhere, so every decision is logged. One line names the decisions of a short time,
//! with the origin of each entry that they used; it is written before entries change, so that it tells
//! what held when they were made.

use crate::clock;
use crate::structured_log::{EventClass, StructuredLog};
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use serde::Serialize;
use std::collections::BTreeMap;

/// Most decisions that one line names.
const MAX_DECISIONS: usize = 128;

/// From where a VM has an entry of the key space.
#[derive(Clone, Debug)]
pub struct EntryOrigin {
    /// Revision of its write.
    pub revision: u64,
    /// The VM, or the store, from which this VM learned of it.
    pub from: String,
    /// When this VM learned of it.
    pub learned_at: TimeStamp,
}

/// What was decided on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecisionOutcome {
    /// It is sent to the target with this id.
    Target(String),
    /// It is refused, for this reason.
    Refused(String),
}

/// A decision on a request.
#[derive(Clone, Debug)]
pub struct RequestDecision {
    /// The id that the caller gave the request.
    pub id: Option<String>,
    /// The configuration version.
    pub version: u64,
    /// Name of the route, empty if none matches.
    pub route: String,
    /// What was decided.
    pub outcome: DecisionOutcome,
}

/// The decisions that are not logged yet, and the origins of the entries that decisions use.
#[derive(Debug, Default)]
pub struct DecisionRecords {
    pending: Vec<RequestDecision>,
    /// The version in force, and its origin.
    catalog: Option<(u64, EntryOrigin)>,
    targets: FastMap<String, EntryOrigin>,
    /// From whom this VM learns of changes, and before which time it knows every acknowledged one.
    source: String,
    current_at: TimeStamp,
}

/// Log event for decisions made by one configuration version.
#[derive(Serialize)]
struct DecisionsEvent<'a> {
    version: u64,
    /// The origin of the version, if it is the one in force.
    #[serde(skip_serializing_if = "Option::is_none")]
    origin: Option<OriginFields<'a>>,
    /// From whom this VM learns of changes, and how old its knowledge is.
    from: &'a str,
    age_ms: u128,
    /// Id, route, and target or reason of each request.
    requests: Vec<[&'a str; 3]>,
    /// The origins of the targets' entries.
    targets: BTreeMap<&'a str, OriginFields<'a>>,
}

#[derive(Serialize)]
struct OriginFields<'a> {
    revision: u64,
    from: &'a str,
    learned_ms_ago: u128,
}

impl EntryOrigin {
    fn fields(&self, now: TimeStamp) -> OriginFields<'_> {
        OriginFields {
            revision: self.revision,
            from: &self.from,
            learned_ms_ago: now.since(self.learned_at).as_millis(),
        }
    }
}

impl DecisionRecords {
    /// Adds a decision.
    pub fn record(&mut self, decision: RequestDecision, log: &StructuredLog) {
        self.pending.push(decision);
        if self.pending.len() >= MAX_DECISIONS {
            self.write(log);
        }
    }

    /// Records from whom this VM learns of changes, and how old its knowledge is.
    pub fn set_knowledge(&mut self, source: String, current_at: TimeStamp) {
        self.source = source;
        self.current_at = current_at;
    }

    /// Records the origin of the configuration that comes into force.
    pub fn set_catalog(&mut self, version: u64, origin: EntryOrigin, log: &StructuredLog) {
        self.write(log);
        self.catalog = Some((version, origin));
    }

    /// Records the origin of a target's entry.
    pub fn set_target(&mut self, id: &str, origin: EntryOrigin) {
        self.targets.insert(id.to_owned(), origin);
    }

    /// Forgets a target's entry, which is gone.
    pub fn remove_target(&mut self, id: &str, log: &StructuredLog) {
        if self.targets.contains_key(id) {
            self.write(log);
            self.targets.remove(id);
        }
    }

    /// Logs what is not logged yet: a line for each version.
    pub fn write(&mut self, log: &StructuredLog) {
        let mut pending = std::mem::take(&mut self.pending);
        pending.sort_by_key(|decision| decision.version);
        for decisions in pending.chunk_by(|a, b| a.version == b.version) {
            log.write(EventClass::State, "decisions", || self.event(decisions));
        }
    }

    /// The event for decisions by one version.
    fn event<'a>(&'a self, decisions: &'a [RequestDecision]) -> DecisionsEvent<'a> {
        let now = clock::now();
        let version = decisions.first().map_or(0, |decision| decision.version);
        let in_force = self.catalog.as_ref();
        let in_force = in_force.filter(|(in_force, _)| *in_force == version);
        let requests = decisions.iter().map(|decision| {
            let id = decision.id.as_deref().unwrap_or_default();
            let outcome = match &decision.outcome {
                DecisionOutcome::Target(outcome) | DecisionOutcome::Refused(outcome) => outcome,
            };
            [id, &decision.route, outcome]
        });
        let targets = decisions.iter().filter_map(|decision| {
            let DecisionOutcome::Target(id) = &decision.outcome else {
                return None;
            };
            let origin = self.targets.get(id)?;
            Some((id.as_str(), origin.fields(now)))
        });
        DecisionsEvent {
            version,
            origin: in_force.map(|(_, origin)| origin.fields(now)),
            from: &self.source,
            age_ms: now.since(self.current_at).as_millis(),
            requests: requests.collect(),
            targets: targets.collect(),
        }
    }
}
