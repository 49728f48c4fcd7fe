//! Keys and leases of the stand-in, without I/O.

use dahliawood_model::FastMap;
use dahliawood_store::protocol;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// One key.
#[derive(Clone, Debug, PartialEq, Eq)]
struct KeyRecord {
    value: String,
    version: u64,
    lease: Option<u64>,
}

/// One lease.
#[derive(Clone, Copy, Debug)]
struct LeaseRecord {
    ttl: Duration,
    ends_at: Instant,
}

/// Why a write was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteRefusal {
    /// The key has this version, not the expected one.
    Conflict(u64),
    /// The value is too long.
    TooLarge,
    /// The lease lapsed or never was.
    NoLease,
}

/// All keys and leases.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    keys: BTreeMap<String, KeyRecord>,
    leases: FastMap<u64, LeaseRecord>,
    writes: u64,
    last_lease: u64,
}

impl KeyTable {
    /// The entry of a key.
    pub fn get(&self, key: &str) -> protocol::KeyEntry {
        let record = self.keys.get(key);
        protocol::KeyEntry {
            key: key.to_owned(),
            version: record.map_or(0, |record| record.version),
            value: record.map(|record| record.value.clone()),
        }
    }

    /// The version of a key, zero where it is absent.
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
    /// A [`WriteRefusal`]; nothing is changed.
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
        self.compare(key, expected)?;
        self.writes += 1;
        let record = KeyRecord {
            value,
            version: self.writes,
            lease,
        };
        self.keys.insert(key.to_owned(), record);
        Ok(self.writes)
    }

    /// Removes a key.
    ///
    /// # Errors
    ///
    /// [`WriteRefusal::Conflict`]; nothing is changed.
    pub fn delete(&mut self, key: &str, expected: Option<u64>) -> Result<(), WriteRefusal> {
        self.compare(key, expected)?;
        if self.keys.remove(key).is_some() {
            self.writes += 1;
        }
        Ok(())
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        let record = LeaseRecord {
            ttl,
            ends_at: now + ttl,
        };
        self.leases.insert(self.last_lease, record);
        self.last_lease
    }

    /// Keeps a lease for another whole time and returns that, or `None` where it lapsed.
    pub fn keep(&mut self, lease: u64, now: Instant) -> Option<Duration> {
        let record = self.leases.get_mut(&lease)?;
        record.ends_at = now + record.ttl;
        Some(record.ttl)
    }

    /// Ends a lease; returns the keys that went with it.
    pub fn revoke(&mut self, lease: u64) -> Vec<String> {
        self.leases.remove(&lease);
        self.drop_orphans()
    }

    /// Ends the leases that lapsed; returns the keys that went with them.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let count = self.leases.len();
        self.leases.retain(|_, record| record.ends_at > now);
        if self.leases.len() == count {
            return Vec::new();
        }
        self.drop_orphans()
    }

    fn drop_orphans(&mut self) -> Vec<String> {
        let leases = &self.leases;
        let gone: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, record)| record.lease.is_some_and(|id| !leases.contains_key(&id)))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &gone {
            self.keys.remove(key);
            self.writes += 1;
        }
        gone
    }

    fn compare(&self, key: &str, expected: Option<u64>) -> Result<(), WriteRefusal> {
        let version = self.version(key);
        match expected {
            Some(expected) if expected != version => Err(WriteRefusal::Conflict(version)),
            _ => Ok(()),
        }
    }
}
