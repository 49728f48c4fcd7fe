//! The state that all connections of the stand-in share, with faults, limits and watches.

use super::faults;
use super::limits;
use super::live;
use super::state;
use async_std::future;
use dahliawood_model::FastMap;
use dahliawood_store::protocol;
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::Shared;
use rand::{Rng, SeedableRng, rngs};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Whether a call reads or writes; each kind has its own rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// Changes nothing.
    Read,
    /// Changes keys or leases.
    Write,
}

/// The decision on a call before the call takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallAdmission {
    /// The call may take effect.
    Admitted,
    /// The call is above the rate limit.
    OverRate,
    /// The service is down: the connection closes without a response.
    Disconnected,
}

#[derive(Debug)]
struct ServiceState {
    table: state::KeyTable,
    stale_table: Option<state::KeyTable>,
    snapshots: Vec<state::KeyTable>,
    live: live::LiveHistory,
    faults: faults::FaultSettings,
    counters: limits::CallCounters,
    writes: limits::TokenBucket,
    reads: limits::TokenBucket,
    watchers: FastMap<String, Vec<oneshot::Sender<()>>>,
    stop: Option<oneshot::Sender<()>>,
    rng: rngs::StdRng,
}

/// The shared state behind one lock, which is never held across an await.
#[derive(Debug)]
pub(super) struct PlatformService {
    state: Mutex<ServiceState>,
    stopped: Shared<oneshot::Receiver<()>>,
}

impl PlatformService {
    pub(super) fn new(options: &super::PlatformOptions) -> Self {
        let now = Instant::now();
        let (stop, stopped) = oneshot::channel();
        let state = ServiceState {
            table: state::KeyTable::default(),
            stale_table: None,
            snapshots: Vec::new(),
            live: live::LiveHistory::new(now),
            faults: faults::FaultSettings::default(),
            counters: limits::CallCounters::default(),
            writes: limits::TokenBucket::new(options.rates.writes_per_second, now),
            reads: limits::TokenBucket::new(options.rates.reads_per_second, now),
            watchers: FastMap::default(),
            stop: Some(stop),
            rng: rngs::StdRng::seed_from_u64(options.seed),
        };
        Self {
            state: Mutex::new(state),
            stopped: stopped.shared(),
        }
    }

    pub(super) fn set_faults(&self, settings: faults::FaultSettings) {
        let mut state = self.lock();
        state.stale_table = match settings.stale_read_percent {
            0 => None,
            _ => state
                .stale_table
                .take()
                .or_else(|| Some(state.table.clone())),
        };
        state.faults = settings;
        state.watchers.clear();
    }

    pub(super) fn faults(&self) -> faults::FaultSettings {
        self.lock().faults.clone()
    }

    pub(super) fn counters(&self) -> limits::CallCounters {
        self.lock().counters
    }

    pub(super) fn snapshot(&self) -> u64 {
        let mut state = self.lock();
        let copy = state.table.clone();
        state.snapshots.push(copy);
        state.snapshots.len() as u64
    }

    pub(super) fn restore(&self, id: u64) -> bool {
        let mut state = self.lock();
        let index = (id as usize).wrapping_sub(1);
        let Some(table) = state.snapshots.get(index).cloned() else {
            return false;
        };
        state.table = table;
        state.watchers.clear();
        true
    }

    pub(super) fn put_live(&self, vm: protocol::LiveVm) {
        self.lock().live.put(vm, Instant::now());
    }

    pub(super) fn remove_live(&self, name: &str) {
        self.lock().live.remove(name, Instant::now());
    }

    pub(super) fn stop(&self) {
        self.lock().stop.take();
    }

    /// Resolves once the stand-in stops.
    pub(super) fn stopped(&self) -> Shared<oneshot::Receiver<()>> {
        self.stopped.clone()
    }

    /// Removes expired leases with their keys, and wakes the watches of these keys.
    pub(super) fn expire(&self) {
        let mut state = self.lock();
        let removed = state.table.expire(Instant::now());
        for key in &removed {
            state.wake_watchers(key);
        }
    }

    /// Counts a call, delays it according to the faults, and decides whether it may take effect.
    pub(super) async fn admit(&self, kind: CallKind) -> CallAdmission {
        let faults = self.faults();
        if faults.silent {
            future::pending::<()>().await;
        }
        if faults.down {
            return CallAdmission::Disconnected;
        }
        if !self.lock().count_call(kind) {
            return CallAdmission::OverRate;
        }
        if faults.delay_ms > 0 {
            async_std::task::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if self.faults().down {
            return CallAdmission::Disconnected;
        }
        CallAdmission::Admitted
    }

    /// Draws whether the response to a write that took effect is lost.
    pub(super) fn draw_lost_reply(&self) -> bool {
        let mut state = self.lock();
        let percent = state.faults.lose_reply_percent;
        state.draw(percent)
    }

    /// Reads a key, from the stale table where the stale-read fault is drawn.
    pub(super) fn get(&self, key: &str) -> protocol::KeyEntry {
        let mut state = self.lock();
        let entry = state.read_table().get(key);
        state.counters.value_bytes += entry.value.as_ref().map_or(0, String::len) as u64;
        entry
    }

    /// Reads all keys under a prefix, from the stale table where the stale-read fault is drawn.
    pub(super) fn list(&self, prefix: &str) -> protocol::KeyList {
        let mut state = self.lock();
        let list = state.read_table().list(prefix);
        let bytes: usize = list
            .entries
            .iter()
            .flat_map(|entry| &entry.value)
            .map(String::len)
            .sum();
        state.counters.value_bytes += bytes as u64;
        list
    }

    /// Waits until the version of a key differs from `after`, at most for `wait`, and returns the
    /// entry.
    ///
    /// Returns `None` where the service goes down during the wait.
    pub(super) async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Option<protocol::KeyEntry> {
        let deadline = Instant::now() + wait;
        loop {
            let woken = match self.check_key(key, after) {
                WatchCheck::Changed(entry) => return Some(entry),
                WatchCheck::Down => return None,
                WatchCheck::Pending(woken) => woken,
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if future::timeout(remaining, woken).await.is_err() {
                return Some(self.get(key));
            }
        }
    }

    /// The live list as of the lag that the faults set.
    pub(super) fn live(&self) -> protocol::LiveList {
        let state = self.lock();
        let lag = Duration::from_millis(state.faults.live_lag_ms);
        state.live.read(lag, Instant::now())
    }

    /// Applies a write to the table, and wakes the watches of `key` where its version changed.
    pub(super) fn write<T>(&self, key: &str, apply: impl FnOnce(&mut state::KeyTable) -> T) -> T {
        let mut state = self.lock();
        let before = state.table.version(key);
        let result = apply(&mut state.table);
        if state.table.version(key) != before {
            state.wake_watchers(key);
        }
        result
    }

    /// Revokes a lease and wakes the watches of its keys.
    pub(super) fn revoke(&self, lease: u64) {
        let mut state = self.lock();
        let removed = state.table.revoke(lease);
        for key in &removed {
            state.wake_watchers(key);
        }
    }

    /// Adds the bytes of a received value to the counters.
    pub(super) fn count_bytes(&self, bytes: usize) {
        self.lock().counters.value_bytes += bytes as u64;
    }

    fn check_key(&self, key: &str, after: u64) -> WatchCheck {
        let mut state = self.lock();
        if state.faults.down {
            return WatchCheck::Down;
        }
        let entry = state.read_table().get(key);
        if entry.version != after {
            state.counters.value_bytes += entry.value.as_ref().map_or(0, String::len) as u64;
            return WatchCheck::Changed(entry);
        }
        let (sender, woken) = oneshot::channel();
        state
            .watchers
            .entry(key.to_owned())
            .or_default()
            .push(sender);
        WatchCheck::Pending(woken)
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

enum WatchCheck {
    Changed(protocol::KeyEntry),
    Pending(oneshot::Receiver<()>),
    Down,
}

impl ServiceState {
    /// Takes a token of the rate limit and counts the call; returns `false` where it is above the
    /// limit.
    fn count_call(&mut self, kind: CallKind) -> bool {
        let now = Instant::now();
        let (bucket, counter) = match kind {
            CallKind::Read => (&mut self.reads, &mut self.counters.reads),
            CallKind::Write => (&mut self.writes, &mut self.counters.writes),
        };
        let admitted = bucket.try_take(now);
        if admitted {
            *counter += 1;
        } else {
            self.counters.refused += 1;
        }
        admitted
    }

    /// The table that a read uses: the stale one where the stale-read fault is drawn.
    fn read_table(&mut self) -> &state::KeyTable {
        let percent = self.faults.stale_read_percent;
        let is_stale = self.draw(percent);
        match &self.stale_table {
            Some(stale_table) if is_stale => stale_table,
            _ => &self.table,
        }
    }

    /// Draws `true` with a probability in percent; draws nothing for 0.
    fn draw(&mut self, percent: u8) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    fn wake_watchers(&mut self, key: &str) {
        // Removing the senders drops them, which wakes their receivers.
        self.watchers.remove(key);
    }
}
