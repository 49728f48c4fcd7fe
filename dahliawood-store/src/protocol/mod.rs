//! The JSON documents of the platform's HTTP interface.
//!
//! | call | path | body | answer |
//! |---|---|---|---|
//! | get | `GET /v1/kv/KEY` | | [`KeyEntry`] |
//! | watch | `GET /v1/kv/KEY?after=VERSION&wait_ms=N` | | [`KeyEntry`], at the latest after `N` ms |
//! | list | `GET /v1/list?prefix=PREFIX` | | [`KeyList`] |
//! | put | `PUT /v1/kv/KEY` | [`PutBody`] | [`VersionBody`], 409 with the version found |
//! | delete | `DELETE /v1/kv/KEY?expected=VERSION` | | [`VersionBody`], 409 likewise |
//! | lease | `POST /v1/leases` | [`LeaseBody`] | [`LeaseGrant`] |
//! | keep | `POST /v1/leases/ID` | | [`LeaseGrant`], 404 where it lapsed |
//! | revoke | `DELETE /v1/leases/ID` | | 204 |
//! | live list | `GET /v1/live` | | [`LiveList`] |
//!
//! A version is the number of writes that the whole service had taken when the key was last
//! written, so a key that is deleted and made again has a higher one. Zero stands for an absent
//! key. 413 refuses a value above [`VALUE_LIMIT_BYTES`], 429 a call above the rate, and neither
//! takes effect; 503 says nothing about that.

use serde::{Deserialize, Serialize};

/// The longest value, bytes.
pub const VALUE_LIMIT_BYTES: usize = 1 << 20;

/// A key with its value, or with none where it is absent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// The key.
    pub key: String,
    /// Version of the last write, zero where the key is absent.
    pub version: u64,
    /// UTF-8 text, `None` where the key is absent.
    pub value: Option<String>,
}

/// All keys under a prefix, in order of key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyList {
    /// The keys with their values.
    pub entries: Vec<KeyEntry>,
}

/// A write of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutBody {
    /// UTF-8 text.
    pub value: String,
    /// Version that the key must have, zero for absent; `None` writes in any case.
    #[serde(default)]
    pub expected: Option<u64>,
    /// Lease that the key disappears with.
    #[serde(default)]
    pub lease: Option<u64>,
}

/// Version of a key after a write, or the version found where the write was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionBody {
    /// The version.
    pub version: u64,
}

/// Asks for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBody {
    /// How long it lasts without being kept, milliseconds.
    pub ttl_ms: u64,
}

/// A lease granted or kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Id of the lease.
    pub lease: u64,
    /// How long it lasts without being kept, milliseconds.
    pub ttl_ms: u64,
}

/// Whether a VM stays or is about to go.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum LiveState {
    /// It runs.
    #[default]
    #[display("live")]
    Live,
    /// It will be stopped.
    #[display("leaving")]
    Leaving,
}

/// A VM as the platform knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveVm {
    /// Name, unique among VMs.
    pub name: String,
    /// Where it answers callers and operators, `IP:PORT`.
    pub http: String,
    /// Where it answers its peers, `IP:PORT`.
    pub peer: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Which start of a process under this name it is, where the platform knows it.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Whether it stays.
    #[serde(default)]
    pub state: LiveState,
}

/// The live and leaving VMs, in order of name, as the platform saw them some time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveList {
    /// The VMs.
    pub vms: Vec<LiveVm>,
}
