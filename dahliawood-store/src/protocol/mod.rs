//! The JSON documents of the platform's HTTP interface.
//!
//! | call | path | body | response |
//! |---|---|---|---|
//! | get | `GET /v1/kv/KEY` | | [`KeyEntry`] |
//! | watch | `GET /v1/kv/KEY?after=VERSION&wait_ms=N` | | [`KeyEntry`], after at most `N` ms |
//! | list | `GET /v1/list?prefix=PREFIX` | | [`KeyList`] |
//! | put | `PUT /v1/kv/KEY` | [`PutBody`] | [`VersionBody`], 409 with the version found |
//! | delete | `DELETE /v1/kv/KEY?expected=VERSION` | | [`VersionBody`], 409 likewise |
//! | lease | `POST /v1/leases` | [`LeaseBody`] | [`LeaseGrant`] |
//! | renew | `POST /v1/leases/ID` | | [`LeaseGrant`], 404 if it expired |
//! | revoke | `DELETE /v1/leases/ID` | | 204 |
//! | live list | `GET /v1/live` | | [`LiveList`] |
//!
//! The version of a key is the total number of writes that the service had handled when the key was
//! last written, so a key that is deleted and created again has a higher version than before.
//! Version zero means that the key is absent. 413 rejects a value above [`VALUE_LIMIT_BYTES`] and
//! 429 a call above the rate limit; neither call takes effect. After a 503 the call may or may not
//! have taken effect.

use serde::{Deserialize, Serialize};

/// Largest value, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1 << 20;

/// A key with its value, or without a value if the key is absent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// The key.
    pub key: String,
    /// Version of the last write, zero if the key is absent.
    pub version: u64,
    /// UTF-8 text, `None` if the key is absent.
    pub value: Option<String>,
}

/// All keys with a prefix, sorted by key.
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
    /// Version that the key must have, zero if it must be absent; `None` writes unconditionally.
    #[serde(default)]
    pub expected: Option<u64>,
    /// Lease whose end deletes the key.
    #[serde(default)]
    pub lease: Option<u64>,
}

/// Version of a key after a write, or the version found if the write was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionBody {
    /// The version.
    pub version: u64,
}

/// Requests a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBody {
    /// How long the lease lasts without a renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// A lease that was granted or renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Id of the lease.
    pub lease: u64,
    /// How long the lease lasts without a renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// Whether a VM keeps running or is about to be stopped.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum LiveState {
    /// The VM runs.
    #[default]
    #[display("live")]
    Live,
    /// The VM will be stopped.
    #[display("leaving")]
    Leaving,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveVm {
    /// Name, unique among VMs.
    pub name: String,
    /// Address for callers and operators, `IP:PORT`.
    pub http: String,
    /// Address for peers, `IP:PORT`.
    pub peer: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Incarnation: identifies the start of a process under this name, if the platform knows it.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Whether the VM keeps running.
    #[serde(default)]
    pub state: LiveState,
}

/// The live and leaving VMs, sorted by name. The list lags behind the platform's real state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveList {
    /// The VMs.
    pub vms: Vec<LiveVm>,
}
