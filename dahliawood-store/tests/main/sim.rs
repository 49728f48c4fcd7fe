//! A simulated clock and a simulated store with faults, for running the store's code in virtual
//! time.

use dahliawood_model::stamp;
use dahliawood_store::client;
use dahliawood_store::clock;
use dahliawood_store::head;
use dahliawood_store::protocol;
use dahliawood_testkit::platform::state;
use futures::channel::oneshot;
use futures::executor::LocalPool;
use futures::future::BoxFuture;
use futures::task::LocalSpawnExt;
use rand::{Rng, SeedableRng, rngs};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

type Effect = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct ClockState {
    now: stamp::TimeStamp,
    timers: BTreeMap<(stamp::TimeStamp, u64), Effect>,
    count: u64,
}

/// Virtual time, which advances only when all tasks wait for it.
#[derive(Clone, Default)]
pub struct SimClock {
    state: Arc<Mutex<ClockState>>,
    started: Arc<Mutex<Vec<BoxFuture<'static, ()>>>>,
}

impl SimClock {
    pub fn now(&self) -> stamp::TimeStamp {
        self.state.lock().unwrap().now
    }

    pub fn after(&self, span: Duration, effect: Effect) {
        let mut state = self.state.lock().unwrap();
        state.count += 1;
        let key = (state.now.after(span), state.count);
        state.timers.insert(key, effect);
    }

    pub fn sleep(&self, span: Duration) -> impl Future<Output = ()> + Send + 'static {
        let (sender, receiver) = oneshot::channel::<()>();
        self.after(span, Box::new(move || drop(sender)));
        async move {
            let _canceled = receiver.await;
        }
    }

    /// Starts a task at the next call of [`SimClock::run_until`].
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.started.lock().unwrap().push(Box::pin(task));
    }

    /// Runs all tasks until `end`.
    pub fn run_until(&self, pool: &mut LocalPool, end: stamp::TimeStamp) {
        loop {
            let started = std::mem::take(&mut *self.started.lock().unwrap());
            for task in started {
                pool.spawner().spawn_local(task).unwrap();
            }
            pool.run_until_stalled();
            let mut state = self.state.lock().unwrap();
            let next = state
                .timers
                .first_entry()
                .filter(|timer| timer.key().0 <= end);
            let Some(timer) = next else {
                state.now = end;
                return;
            };
            let ((at, _), effect) = timer.remove_entry();
            state.now = at;
            drop(state);
            effect();
        }
    }

    pub fn source(&self, seed: u64) -> clock::TimeSource {
        let (now, sleep) = (self.clone(), self.clone());
        let rng = Mutex::new(rngs::StdRng::seed_from_u64(seed));
        clock::TimeSource {
            now: Arc::new(move || now.now()),
            sleep: Arc::new(move |span| Box::pin(sleep.sleep(span))),
            jitter: Arc::new(move || rng.lock().unwrap().random()),
        }
    }
}

/// Fault probabilities of calls, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimFaults {
    pub down: u8,
    pub lost_reply: u8,
    pub late_effect: u8,
    pub stale: u8,
}

/// The most writes that a stale read may miss.
const STALE_DEPTH: usize = 20;

/// State of the simulated store.
pub struct SimStore {
    pub table: state::KeyTable,
    pub past: Vec<state::KeyTable>,
    pub faults: SimFaults,
    pub live: Vec<protocol::LiveVm>,
    /// Every revision that was accepted in any state of the store, including states lost by a
    /// restore.
    pub accepted: Vec<head::RevisionStamp>,
    restores: u64,
    rng: rngs::StdRng,
}

pub type SharedStore = Arc<Mutex<SimStore>>;

pub fn store(seed: u64) -> SharedStore {
    Arc::new(Mutex::new(SimStore {
        table: state::KeyTable::default(),
        past: Vec::new(),
        faults: SimFaults::default(),
        live: Vec::new(),
        accepted: Vec::new(),
        restores: 0,
        rng: rngs::StdRng::seed_from_u64(seed),
    }))
}

impl SimStore {
    fn draw(&mut self, percent: u8) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// The state that a read returns, which may be stale.
    fn read(&mut self) -> &state::KeyTable {
        let percent = self.faults.stale;
        let past = self.past.len();
        if past > 0 && self.draw(percent) {
            let index = self
                .rng
                .random_range(past.saturating_sub(STALE_DEPTH)..past);
            return &self.past[index];
        }
        &self.table
    }

    /// The current head.
    pub fn head(&self) -> head::HeadDocument {
        let entry = self.table.get(head::HEAD_KEY);
        head::HeadDocument::parse(entry.value.as_deref()).unwrap()
    }

    /// Restores the state before the last `writes` writes.
    pub fn restore(&mut self, writes: usize) {
        if let Some(index) = self.past.len().checked_sub(writes) {
            self.table = self.past[index].clone();
            self.past.truncate(index);
            self.restores += 1;
        }
    }

    fn put(&mut self, call: client::PutCall) -> Result<u64, client::error::StoreError> {
        let before = self.table.clone();
        let result = self.table.put(&call.key, call.value, call.expected, None);
        if result.is_ok() {
            self.past.push(before);
            if self.past.len() > STALE_DEPTH {
                self.past.remove(0);
            }
            let new = self
                .head()
                .recent
                .into_iter()
                .filter(|stamp| !self.accepted.contains(stamp));
            let new: Vec<_> = new.collect();
            self.accepted.extend(new);
        }
        result.map_err(|refusal| match refusal {
            state::WriteRefusal::Conflict(found) => client::error::StoreError::Conflict { found },
            state::WriteRefusal::TooLarge => client::error::StoreError::TooLarge,
            state::WriteRefusal::NoLease => client::error::StoreError::LeaseExpired,
        })
    }
}

/// Connection of one process to the store.
#[derive(Clone)]
pub struct SimLink {
    pub clock: SimClock,
    pub store: SharedStore,
    pub is_cut: Arc<AtomicBool>,
}

const DEADLINE: Duration = Duration::from_secs(1);
const WATCH_TICK: Duration = Duration::from_millis(10);

impl SimLink {
    pub fn client(&self) -> client::StoreClient {
        client::StoreClient {
            get: self.reader(|store, key: &String| store.read().get(key)),
            list: self.reader(|store, prefix: &String| store.read().list(prefix)),
            live: self.reader(|store, ()| protocol::LiveList {
                vms: store.live.clone(),
            }),
            put: self.call(|link, call| Box::pin(async move { link.put(call).await })),
            watch: self.call(|link, call: dahliawood_store::client::WatchCall| {
                Box::pin(async move { link.watch(&call.key, call.after, call.wait).await })
            }),
            delete: self.call(|_, _| unused()),
            grant_lease: self.call(|_, _| unused()),
            renew_lease: self.call(|_, _| unused()),
            revoke_lease: self.call(|_, _| unused()),
        }
    }

    fn call<A: 'static, T: 'static>(
        &self,
        run: impl Fn(Self, A) -> client::StoreFuture<T> + Send + Sync + 'static,
    ) -> client::StoreCall<A, T> {
        let link = self.clone();
        Arc::new(move |argument| run(link.clone(), argument))
    }

    fn reader<A: Send + 'static, T: Send + 'static>(
        &self,
        read: impl Fn(&mut SimStore, &A) -> T + Send + Sync + Copy + 'static,
    ) -> client::StoreCall<A, T> {
        self.call(move |link, argument: A| {
            Box::pin(async move {
                link.simulate_latency().await?;
                let answer = read(&mut link.store.lock().unwrap(), &argument);
                link.simulate_latency().await?;
                Ok(answer)
            })
        })
    }

    /// Waits for up to 3 ms of simulated network delay; fails if the connection is lost or cut.
    async fn simulate_latency(&self) -> Result<(), client::error::StoreError> {
        let (micros, is_lost) = {
            let mut store = self.store.lock().unwrap();
            let down = store.faults.down;
            (store.rng.random_range(100..3_000), store.draw(down))
        };
        self.clock.sleep(Duration::from_micros(micros)).await;
        if is_lost || self.is_cut.load(Ordering::Relaxed) {
            return Err(lost());
        }
        Ok(())
    }

    async fn put(&self, call: client::PutCall) -> Result<u64, client::error::StoreError> {
        self.simulate_latency().await?;
        let (is_late, is_lost) = {
            let mut store = self.store.lock().unwrap();
            let faults = store.faults;
            (
                store.draw(faults.late_effect),
                store.draw(faults.lost_reply),
            )
        };
        if is_late {
            return self.put_late(call).await;
        }
        let result = self.store.lock().unwrap().put(call);
        if is_lost {
            self.clock.sleep(DEADLINE).await;
            return Err(client::error::StoreError::Timeout { deadline: DEADLINE });
        }
        self.simulate_latency().await?;
        result
    }

    /// The write takes effect after a delay, possibly after the caller timed out; the caller never
    /// gets the response.
    async fn put_late(&self, call: client::PutCall) -> Result<u64, client::error::StoreError> {
        let delay = self.store.lock().unwrap().rng.random_range(500..4_000);
        let store = Arc::clone(&self.store);
        let restores = store.lock().unwrap().restores;
        // A restore restarts the service, which drops the writes that were still in flight.
        let effect = move || {
            let mut store = store.lock().unwrap();
            if store.restores == restores {
                drop(store.put(call));
            }
        };
        self.clock
            .after(Duration::from_millis(delay), Box::new(effect));
        self.clock.sleep(DEADLINE).await;
        Err(client::error::StoreError::Timeout { deadline: DEADLINE })
    }

    async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<protocol::KeyEntry, client::error::StoreError> {
        let ends_at = self.clock.now().after(wait);
        self.simulate_latency().await?;
        loop {
            let entry = {
                let mut store = self.store.lock().unwrap();
                let table = store.read();
                let is_due = table.version(key) != after || self.clock.now() >= ends_at;
                is_due.then(|| table.get(key))
            };
            if let Some(entry) = entry {
                self.simulate_latency().await?;
                return Ok(entry);
            }
            self.clock.sleep(WATCH_TICK).await;
            if self.is_cut.load(Ordering::Relaxed) || self.store.lock().unwrap().faults.down == 100
            {
                return Err(lost());
            }
        }
    }
}

fn lost() -> client::error::StoreError {
    client::error::StoreError::ConnectionLost {
        reason: "simulated connection loss".to_owned(),
    }
}

fn unused<T: Send + 'static>() -> client::StoreFuture<T> {
    Box::pin(async { unreachable!("the code under test does not make this call") })
}
