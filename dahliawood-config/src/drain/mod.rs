//! The subject of a drain, identified by name.

use dahliawood_model::tables;
use snafu::Snafu;

/// The subject of a drain, identified by kind and name. `Display` and `FromStr` use `target NAME`,
/// `domain NAME` and `region NAME`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub enum DrainName {
    /// A failure domain.
    #[display("domain {_0}")]
    Domain(String),
    /// A region.
    #[display("region {_0}")]
    Region(String),
    /// A single target.
    #[display("target {_0}")]
    Target(String),
}

impl DrainName {
    /// The field of a `[[drain]]` table that holds the name.
    pub fn field(&self) -> &'static str {
        match self {
            Self::Domain(_) => "domain",
            Self::Region(_) => "region",
            Self::Target(_) => "target",
        }
    }

    /// The name without its kind.
    pub fn name(&self) -> &str {
        match self {
            Self::Domain(name) | Self::Region(name) | Self::Target(name) => name,
        }
    }

    /// The kind and name of `subject`, whose key must belong to `config`.
    pub fn of(config: &tables::FleetConfig, subject: tables::DrainSubject) -> Self {
        match subject {
            tables::DrainSubject::Domain(key) => Self::Domain(config.domains[key].name.clone()),
            tables::DrainSubject::Region(key) => Self::Region(config.regions[key].name.clone()),
            tables::DrainSubject::Target(key) => Self::Target(config.targets[key].name.clone()),
        }
    }
}

/// A text does not have the form of a drain's subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected `target NAME`, `domain NAME` or `region NAME`"))]
pub struct DrainNameError;

impl std::str::FromStr for DrainName {
    type Err = DrainNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (field, name) = text.split_once(' ').ok_or(DrainNameError)?;
        let name = name.to_owned();
        match field {
            "domain" => Ok(Self::Domain(name)),
            "region" => Ok(Self::Region(name)),
            "target" => Ok(Self::Target(name)),
            _ => Err(DrainNameError),
        }
    }
}
