//! What differs between two configurations.
//!
//! Both are seen as entities with named fields; an entity that only one of them has is added or
//! removed, and each field of a common entity that differs is a change. Entities are told apart by
//! their names, so a renamed one is removed and added. The list is empty exactly where the
//! canonical texts are equal. No salt and no digest is ever part of it: where the hash behind a
//! key id differs, both sides read `(not shown)`.

mod entities;

use dahliawood_model::tables;
use std::collections::BTreeSet;

/// The kinds of entity of a configuration, in the order that changes are joined.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    derive_more::Display,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum EntityKind {
    /// The deployment itself.
    #[display("fleet")]
    Fleet,
    /// A region.
    #[display("region")]
    Region,
    /// A failure domain.
    #[display("failure domain")]
    Domain,
    /// A link, named `A - B`.
    #[display("link")]
    Link,
    /// A place.
    #[display("place")]
    Place,
    /// A client block, named by its address and prefix.
    #[display("client block")]
    Block,
    /// A service.
    #[display("service")]
    Service,
    /// A method with a path, named `GET /path`.
    #[display("route")]
    Route,
    /// A target.
    #[display("target")]
    Target,
    /// A customer.
    #[display("customer")]
    Customer,
    /// A key, named by its public id.
    #[display("key")]
    Key,
    /// A drain, named by its subject: `target NAME`, `domain NAME` or `region NAME`.
    #[display("drain")]
    Drain,
}

/// One difference.
#[derive(
    Clone, Debug, PartialEq, Eq, derive_more::Display, serde::Serialize, serde::Deserialize,
)]
#[display("{change} {entity} {name}{}", change.detail())]
pub struct ConfigChange {
    /// What kind of entity differs.
    pub entity: EntityKind,
    /// Its name.
    pub name: String,
    /// How it differs.
    #[serde(flatten)]
    pub change: ChangeKind,
}

/// How an entity differs; `Display` is `+`, `-` or `~`.
#[derive(
    Clone, Debug, PartialEq, Eq, derive_more::Display, serde::Serialize, serde::Deserialize,
)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum ChangeKind {
    /// Only the new configuration has it.
    #[display("+")]
    Added,
    /// Only the old configuration has it.
    #[display("-")]
    Removed,
    /// Both have it, with a field that differs.
    #[display("~")]
    Changed {
        /// The field's name.
        field: String,
        /// Its value in the old configuration.
        old: String,
        /// Its value in the new one.
        new: String,
    },
}

impl ChangeKind {
    fn detail(&self) -> String {
        match self {
            Self::Added | Self::Removed => String::new(),
            Self::Changed { field, old, new } => format!(": {field} {old} -> {new}"),
        }
    }
}

/// All differences from `old` to `new`, in the order of kind and name.
pub fn between(old: &tables::FleetConfig, new: &tables::FleetConfig) -> Vec<ConfigChange> {
    let old = entities::entities(old);
    let new = entities::entities(new);
    let names: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    names
        .into_iter()
        .flat_map(|name| entity_changes(name, old.get(name), new.get(name)))
        .collect()
}

fn entity_changes(
    name: &entities::EntityName,
    old: Option<&Vec<entities::EntityField>>,
    new: Option<&Vec<entities::EntityField>>,
) -> Vec<ConfigChange> {
    let changes = match (old, new) {
        (Some(old), Some(new)) => field_changes(old, new),
        (Some(_), None) => vec![ChangeKind::Removed],
        (None, _) => vec![ChangeKind::Added],
    };
    changes
        .into_iter()
        .map(|change| ConfigChange {
            entity: name.kind,
            name: name.name.clone(),
            change,
        })
        .collect()
}

/// Entities of one kind have the same fields in the same order.
fn field_changes(old: &[entities::EntityField], new: &[entities::EntityField]) -> Vec<ChangeKind> {
    old.iter()
        .zip(new)
        .filter(|(old, new)| old.value != new.value)
        .map(|(old, new)| ChangeKind::Changed {
            field: old.field.to_owned(),
            old: old.shown(),
            new: new.shown(),
        })
        .collect()
}
