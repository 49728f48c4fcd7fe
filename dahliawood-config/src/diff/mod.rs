//! The differences between two configurations.
//!
//! Each configuration is converted to entities with named fields. An entity in only one of the two
//! is added or removed, and each differing field of an entity in both is one change. Entities are
//! identified by name, so a renamed entity appears as removed and added. The list of changes is
//! empty if and only if the canonical texts are equal. It never contains a salt or a digest: if the
//! hash of a key differs, both values read `(not shown)`.

mod entities;

use dahliawood_model::tables;
use std::collections::BTreeSet;

/// The kinds of entities in a configuration, in the order in which changes are listed.
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
    /// The deployment as a whole.
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

/// One difference between two configurations.
#[derive(
    Clone, Debug, PartialEq, Eq, derive_more::Display, serde::Serialize, serde::Deserialize,
)]
#[display("{change} {entity} {name}{}", change.detail())]
pub struct ConfigChange {
    /// Kind of the entity.
    pub entity: EntityKind,
    /// Name of the entity.
    pub name: String,
    /// The difference.
    #[serde(flatten)]
    pub change: ChangeKind,
}

/// How an entity differs between two configurations; `Display` is `+`, `-` or `~`.
#[derive(
    Clone, Debug, PartialEq, Eq, derive_more::Display, serde::Serialize, serde::Deserialize,
)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum ChangeKind {
    /// Only the new configuration contains the entity.
    #[display("+")]
    Added,
    /// Only the old configuration contains the entity.
    #[display("-")]
    Removed,
    /// Both configurations contain the entity, and one of its fields differs.
    #[display("~")]
    Changed {
        /// Name of the field.
        field: String,
        /// Value in the old configuration.
        old: String,
        /// Value in the new configuration.
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

/// All differences from `old` to `new`, ordered by kind and name.
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

/// Compares the fields pairwise: entities of one kind have the same fields in the same order.
fn field_changes(old: &[entities::EntityField], new: &[entities::EntityField]) -> Vec<ChangeKind> {
    old.iter()
        .zip(new)
        .filter(|(old, new)| old.value != new.value)
        .map(|(old, new)| ChangeKind::Changed {
            field: old.field.to_owned(),
            old: old.display_value(),
            new: new.display_value(),
        })
        .collect()
}
