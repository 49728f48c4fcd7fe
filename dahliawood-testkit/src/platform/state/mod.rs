//! The keys and leases of the stand-in, without I/O.

use dahliawood_model::FastMap;
use dahliawood_store::protocol;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The value of a key, its version, and the lease that it is attached to.
#[derive(Clone, Debug, PartialEq, Eq)]
struct KeyRecord {
    value: String,
    version: u64,
    lease: Option<u64>,
}

/// The time to live of a lease and when it expires.
#[derive(Clone, Copy, Debug)]
struct LeaseRecord {
    ttl: Duration,
    expires_at: Instant,
}

/// Why a write was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteRefusal {
    /// The key has this version instead of the expected one.
    Conflict(u64),
    /// The value is longer than [`protocol::VALUE_LIMIT_BYTES`].
    TooLarge,
    /// The lease expired or never existed.
    NoLease,
}

/// All keys and leases, with the counter that key versions come from.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    keys: BTreeMap<String, KeyRecord>,
    leases: FastMap<u64, LeaseRecord>,
    last_version: u64,
    last_lease: u64,
}

impl KeyTable {
    /// The entry of a key; version 0 and no value where the key is absent.
    pub fn get(&self, key: &str) -> protocol::KeyEntry {
        let record = self.keys.get(key);
        protocol::KeyEntry {
            key: key.to_owned(),
            version: record.map_or(0, |record| record.version),
            value: record.map(|record| record.value.clone()),
        }
    }

    /// The version of a key, 0 where the key is absent.
    pub fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |record| record.version)
    }

    /// All keys that start with `prefix`.
    pub fn list(&self, prefix: &str) -> protocol::KeyList {
        let entries = self
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, _)| self.get(key))
            .collect();
        protocol::KeyList { entries }
    }

    /// Writes a key and returns its new version.
    ///
    /// # Errors
    ///
    /// Fails with a [`WriteRefusal`]; nothing is changed.
    pub fn put(
        &mut self,
        key: &str,
        value: String,
        expected: Option<u64>,
        lease: Option<u64>,
    ) -> Result<u64, WriteRefusal> {
        if value.len() > protocol::VALUE_LIMIT_BYTES {
            return Err(WriteRefusal::TooLarge);
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(WriteRefusal::NoLease);
        }
        self.check_version(key, expected)?;
        self.last_version += 1;
        let record = KeyRecord {
            value,
            version: self.last_version,
            lease,
        };
        self.keys.insert(key.to_owned(), record);
        Ok(self.last_version)
    }

    /// Removes a key.
    ///
    /// # Errors
    ///
    /// Fails with [`WriteRefusal::Conflict`]; nothing is changed.
    pub fn delete(&mut self, key: &str, expected: Option<u64>) -> Result<(), WriteRefusal> {
        self.check_version(key, expected)?;
        if self.keys.remove(key).is_some() {
            self.last_version += 1;
        }
        Ok(())
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        let record = LeaseRecord {
            ttl,
            expires_at: now + ttl,
        };
        self.leases.insert(self.last_lease, record);
        self.last_lease
    }

    /// Renews a lease for its time to live and returns that time, or `None` where the lease has
    /// expired.
    pub fn renew(&mut self, lease: u64, now: Instant) -> Option<Duration> {
        let record = self.leases.get_mut(&lease)?;
        record.expires_at = now + record.ttl;
        Some(record.ttl)
    }

    /// Removes a lease and its keys; returns these keys.
    pub fn revoke(&mut self, lease: u64) -> Vec<String> {
        self.leases.remove(&lease);
        self.remove_unleased_keys()
    }

    /// Removes expired leases and their keys; returns these keys.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let count = self.leases.len();
        self.leases.retain(|_, record| record.expires_at > now);
        if self.leases.len() == count {
            return Vec::new();
        }
        self.remove_unleased_keys()
    }

    /// Removes the keys whose lease no longer exists; returns these keys.
    fn remove_unleased_keys(&mut self) -> Vec<String> {
        let leases = &self.leases;
        let removed: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, record)| record.lease.is_some_and(|id| !leases.contains_key(&id)))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &removed {
            self.keys.remove(key);
            self.last_version += 1;
        }
        removed
    }

    /// Fails with [`WriteRefusal::Conflict`] where a version is expected and the key has another.
    fn check_version(&self, key: &str, expected: Option<u64>) -> Result<(), WriteRefusal> {
        let version = self.version(key);
        match expected {
            Some(expected) if expected != version => Err(WriteRefusal::Conflict(version)),
            _ => Ok(()),
        }
    }
}
