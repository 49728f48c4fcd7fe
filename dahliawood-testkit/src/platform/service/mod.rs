//! The state that all connections of the stand-in share.

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

/// Whether a call changes anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// It does not.
    Read,
    /// It does.
    Write,
}

/// What became of a call before it took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallGate {
    /// It may go on.
    Open,
    /// It is above the rate.
    OverRate,
    /// The connection closes without an answer.
    Dropped,
}

#[derive(Debug)]
struct ServiceState {
    table: state::KeyTable,
    stale: Option<state::KeyTable>,
    snapshots: Vec<state::KeyTable>,
    live: live::LiveHistory,
    faults: faults::FaultSettings,
    counters: limits::CallCounters,
    writes: limits::RateBucket,
    reads: limits::RateBucket,
    waiters: FastMap<String, Vec<oneshot::Sender<()>>>,
    stop: Option<oneshot::Sender<()>>,
    rng: rngs::StdRng,
}

/// All state, behind one lock that is never held over an await.
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
            stale: None,
            snapshots: Vec::new(),
            live: live::LiveHistory::new(now),
            faults: faults::FaultSettings::default(),
            counters: limits::CallCounters::default(),
            writes: limits::RateBucket::new(options.rates.writes_per_second, now),
            reads: limits::RateBucket::new(options.rates.reads_per_second, now),
            waiters: FastMap::default(),
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
        state.stale = match settings.stale_read_percent {
            0 => None,
            _ => state.stale.take().or_else(|| Some(state.table.clone())),
        };
        state.faults = settings;
        state.waiters.clear();
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
        state.waiters.clear();
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

    pub(super) fn expire(&self) {
        let mut state = self.lock();
        let gone = state.table.expire(Instant::now());
        for key in &gone {
            state.wake(key);
        }
    }

    /// Counts a call, keeps it waiting as the faults say, and says whether it may take effect.
    pub(super) async fn admit(&self, kind: CallKind) -> CallGate {
        let faults = self.faults();
        if faults.silent {
            future::pending::<()>().await;
        }
        if faults.down {
            return CallGate::Dropped;
        }
        if !self.lock().count(kind) {
            return CallGate::OverRate;
        }
        if faults.delay_ms > 0 {
            async_std::task::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if self.faults().down {
            return CallGate::Dropped;
        }
        CallGate::Open
    }

    /// Whether the answer of a write that took effect is lost.
    pub(super) fn loses_reply(&self) -> bool {
        let mut state = self.lock();
        let percent = state.faults.lose_reply_percent;
        state.draw(percent)
    }

    /// Reads a key as `get` and `list` do.
    pub(super) fn get(&self, key: &str) -> protocol::KeyEntry {
        let mut state = self.lock();
        let entry = state.read_table().get(key);
        state.counters.value_bytes += entry.value.as_ref().map_or(0, String::len) as u64;
        entry
    }

    /// Reads all keys under a prefix.
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

    /// Waits until a key's version is another than `after`, at most for `wait`.
    ///
    /// Returns `None` where the service goes down meanwhile.
    pub(super) async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Option<protocol::KeyEntry> {
        let ends_at = Instant::now() + wait;
        loop {
            let woken = match self.check_watch(key, after) {
                WatchCheck::Changed(entry) => return Some(entry),
                WatchCheck::Down => return None,
                WatchCheck::Wait(woken) => woken,
            };
            let left = ends_at.saturating_duration_since(Instant::now());
            if future::timeout(left, woken).await.is_err() {
                return Some(self.get(key));
            }
        }
    }

    /// The live list with its lag.
    pub(super) fn live(&self) -> protocol::LiveList {
        let state = self.lock();
        let lag = Duration::from_millis(state.faults.live_lag_ms);
        state.live.read(lag, Instant::now())
    }

    /// Writes to the table and wakes the watches of a key.
    pub(super) fn write<T>(&self, key: &str, apply: impl FnOnce(&mut state::KeyTable) -> T) -> T {
        let mut state = self.lock();
        let before = state.table.version(key);
        let result = apply(&mut state.table);
        if state.table.version(key) != before {
            state.wake(key);
        }
        result
    }

    /// Ends a lease and wakes the watches of its keys.
    pub(super) fn revoke(&self, lease: u64) {
        let mut state = self.lock();
        let gone = state.table.revoke(lease);
        for key in &gone {
            state.wake(key);
        }
    }

    /// Counts the bytes of a value that was received.
    pub(super) fn count_bytes(&self, bytes: usize) {
        self.lock().counters.value_bytes += bytes as u64;
    }

    fn check_watch(&self, key: &str, after: u64) -> WatchCheck {
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
            .waiters
            .entry(key.to_owned())
            .or_default()
            .push(sender);
        WatchCheck::Wait(woken)
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

enum WatchCheck {
    Changed(protocol::KeyEntry),
    Wait(oneshot::Receiver<()>),
    Down,
}

impl ServiceState {
    fn count(&mut self, kind: CallKind) -> bool {
        let now = Instant::now();
        let (bucket, counter) = match kind {
            CallKind::Read => (&mut self.reads, &mut self.counters.reads),
            CallKind::Write => (&mut self.writes, &mut self.counters.writes),
        };
        let admitted = bucket.take(now);
        if admitted {
            *counter += 1;
        } else {
            self.counters.refused += 1;
        }
        admitted
    }

    fn read_table(&mut self) -> &state::KeyTable {
        let percent = self.faults.stale_read_percent;
        let is_stale = self.draw(percent);
        match &self.stale {
            Some(stale) if is_stale => stale,
            _ => &self.table,
        }
    }

    fn draw(&mut self, percent: u8) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    fn wake(&mut self, key: &str) {
        // A dropped sender wakes its receiver.
        self.waiters.remove(key);
    }
}
