//! Requests that wait at a VM for a slot of a service, instead of being refused at once.
//!
//! This handles a load pattern in which callers of different priorities compete for too few slots. Slots
//! become free one at a time; without a queue each goes to whoever asks next, so an urgent request that
//! arrives a moment too early is refused, and a long request that may only be sent to targets with short queues
//! hardly ever finds one. The queue holds requests for a short time and gives the next slot to the most
//! urgent. A request joins only if a slot is expected within its limit, and is refused when
//! that has passed.
//!
//! The queue holds plain data. What comes of a change is returned by [`WaitingQueue::take_events`].

mod end_rate;
pub mod limit;
mod service;

use crate::placement::rank::RequestRank;
use crate::placement::waiting::limit::StartLimit;
use crate::placement::waiting::service::{ServiceQueue, TurnRound};
use crate::queue::fair;
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use std::time::Duration;

/// Requests that may wait at a VM: several seconds of the arrivals of a small VM.
pub const MAX_REQUESTS: usize = 256;
/// Bytes of requests that may wait at a VM, a twentieth of the memory of the smallest VM.
pub const MAX_BYTES: usize = 8 << 20;
/// Shortest time between two rounds without news, and the time for which a request has its turn: several
/// tries fit into an eighth of the shortest target latency (31 ms of 250 ms).
pub const ROUND_INTERVAL: Duration = Duration::from_millis(15);
/// Requests that may find no room in one round: bounds the choices that one event costs.
const MAX_FAILURES: usize = 4;
/// Part of the expected time until a target has room after which the request tries again: expectations
/// come from old reports and often are too long.
const CHECK_FRACTION: f64 = 0.5;

/// Key of a waiting request; keys rise in the order of joining.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitKey(u64);

/// A request that is to wait.
#[derive(Clone, Debug)]
pub struct WaitRequest<'a> {
    /// Name of its service.
    pub service: &'a str,
    /// Its rank.
    pub rank: RequestRank,
    /// Hash of the name of its customer, 0 for none.
    pub customer: u64,
    /// Bytes that it holds.
    pub bytes: usize,
    /// Until when it may wait.
    pub limit: StartLimit,
    /// Time until a target is expected to have room for it.
    pub room_in: Duration,
}

/// Why a request cannot wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinRefusal {
    /// No slot is expected within its limit.
    NoSlotInTime,
    /// The queue is full of requests of the same or higher ranks.
    Full,
    /// The VM is shutting down.
    Closed,
}

/// Why a waiting request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitEnd {
    /// It got no slot within its limit.
    Late,
    /// A more urgent request needed its place.
    Displaced,
    /// The VM is shutting down.
    Stopped,
    /// A new configuration does not allow it as it is.
    Reconfigured,
}

impl WaitEnd {
    /// Name of the outcome in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Displaced => "displaced",
            Self::Stopped => "stopped",
            Self::Reconfigured => "reconfigured",
        }
    }
}

/// Whether a request that was given its turn may use it, by the time that its task runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnAnswer {
    /// It may try to start.
    Granted,
    /// Its turn was passed on meanwhile; it goes on waiting.
    Passed,
    /// Its limit has passed, or it was refused: it is not in the queue any more.
    Late,
}

/// What came of a change of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEvent {
    /// It is this request's turn: it may start if a target has room now, and says so by
    /// [`WaitingQueue::start`] or [`WaitingQueue::keep`].
    Turn(WaitKey),
    /// This request has left the queue and is refused.
    Refused(WaitKey, WaitEnd),
}

/// A waiting request.
#[derive(Clone, Debug)]
struct WaitingEntry {
    key: WaitKey,
    service: String,
    rank: RequestRank,
    customer: u64,
    bytes: usize,
    limit: StartLimit,
    /// When it tries again if there is no news.
    room_at: TimeStamp,
    /// Whether it let its turn pass without saying anything.
    is_stuck: bool,
}

/// The requests that wait at a VM, for all services.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    entries: FastMap<WaitKey, WaitingEntry>,
    services: FastMap<String, ServiceQueue>,
    bytes: usize,
    next_key: u64,
    is_closed: bool,
    events: Vec<QueueEvent>,
}

impl WaitingQueue {
    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes that the waiting requests hold.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// What came of the changes since the last call.
    pub fn take_events(&mut self) -> Vec<QueueEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether a request that arrives may start although others wait: not before one of the same or a
    /// higher rank, nor before one of a lower rank that was passed over too often.
    pub fn may_pass(&self, service: &str, rank: RequestRank) -> bool {
        let queue = self.services.get(service);
        queue.is_none_or(|queue| queue.may_pass(rank))
    }

    /// Adds a request. Makes room for it by refusing requests of lower ranks if the queue is full.
    ///
    /// # Errors
    /// Fails if the request would wait in vain, or if there is no place for it.
    pub fn join(
        &mut self,
        request: &WaitRequest<'_>,
        now: TimeStamp,
    ) -> Result<WaitKey, JoinRefusal> {
        if self.is_closed {
            return Err(JoinRefusal::Closed);
        }
        if now.after(request.room_in) > request.limit.until {
            return Err(JoinRefusal::NoSlotInTime);
        }
        let key = self.insert(request, now);
        // Where a target has room at once, those ahead wait for others, or take it before this one.
        let has_room = request.room_in.is_zero();
        if !has_room && self.expected_start(key, now) > request.limit.until {
            self.remove(key);
            return Err(JoinRefusal::NoSlotInTime);
        }
        if !self.make_room(request.rank, now) {
            self.remove(key);
            return Err(JoinRefusal::Full);
        }
        Ok(key)
    }

    /// Takes up a turn that was given; tells whether the request may try to start now.
    pub fn take_turn(&mut self, key: WaitKey, now: TimeStamp) -> TurnAnswer {
        let Some(entry) = self.entries.get_mut(&key) else {
            return TurnAnswer::Late;
        };
        entry.is_stuck = false;
        if now >= entry.limit.until {
            self.leave(key, now);
            return TurnAnswer::Late;
        }
        let service = self.entries.get(&key).map(|entry| entry.service.as_str());
        let round = service.and_then(|service| self.round(service));
        match round.is_some_and(|round| round.holder == key) {
            true => TurnAnswer::Granted,
            false => TurnAnswer::Passed,
        }
    }

    /// Records that a waiting request starts, and passes its turn on.
    pub fn start(&mut self, key: WaitKey, now: TimeStamp) {
        if let Some(entry) = self.entries.get(&key)
            && let Some(queue) = self.services.get_mut(&entry.service)
        {
            queue.serve(entry.rank, entry.customer);
            queue.record_start(entry.rank);
        }
        self.leave(key, now);
    }

    /// Records that a request starts that did not wait.
    pub fn record_direct_start(&mut self, service: &str, rank: RequestRank) {
        if let Some(queue) = self.services.get_mut(service) {
            queue.record_start(rank);
        }
    }

    /// Records that a request whose turn it was found no room, and passes its turn on. Returns whether it
    /// may go on waiting; otherwise it has left the queue, as no slot is expected in time any more.
    pub fn keep(&mut self, key: WaitKey, room_in: Duration, now: TimeStamp) -> bool {
        let Some(entry) = self.entries.get_mut(&key) else {
            return false;
        };
        entry.is_stuck = false;
        entry.room_at = now.after(room_in.mul_f64(CHECK_FRACTION));
        if now.after(room_in) > entry.limit.until {
            self.leave(key, now);
            return false;
        }
        let service = entry.service.clone();
        let round = self.services.get_mut(&service);
        if let Some(round) = round.and_then(|queue| queue.round.as_mut())
            && round.holder == key
        {
            round.failures += 1;
            self.pass_turn(&service, now);
        }
        true
    }

    /// Removes a request, whose caller has left or whose wait ended otherwise, and passes its turn on.
    pub fn leave(&mut self, key: WaitKey, now: TimeStamp) {
        let Some(entry) = self.remove(key) else {
            return;
        };
        let queue = self.services.get(&entry.service);
        let round = queue.and_then(|queue| queue.round.as_ref());
        if round.is_some_and(|round| round.holder == key) {
            self.pass_turn(&entry.service, now);
        }
    }

    /// Removes a request that is refused for a given reason.
    pub fn refuse(&mut self, key: WaitKey, end: WaitEnd, now: TimeStamp) {
        if self.entries.contains_key(&key) {
            self.events.push(QueueEvent::Refused(key, end));
            self.leave(key, now);
        }
    }

    /// Refuses all requests, and all that want to join later.
    pub fn close(&mut self, now: TimeStamp) {
        self.is_closed = true;
        for queue in self.services.values_mut() {
            queue.round = None;
        }
        self.refuse_all(|_| true, WaitEnd::Stopped, now);
    }

    /// Records that a request of this VM at a service ended, and lets waiting requests try to start.
    pub fn record_end(&mut self, service: &str, now: TimeStamp) {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), ServiceQueue::default());
        }
        if let Some(queue) = self.services.get_mut(service) {
            queue.ends.record(now);
        }
        self.begin_round(service, now);
    }

    /// Lets requests of all services try to start, as targets may have room by newer reports.
    pub fn record_news(&mut self, now: TimeStamp) {
        for service in self.waiting_services() {
            self.begin_round(&service, now);
        }
    }

    /// When [`Self::tick`] is due, `None` while no request waits.
    pub fn next_tick(&self) -> Option<TimeStamp> {
        let due = self.entries.values().map(|entry| {
            if entry.is_stuck {
                return entry.limit.until;
            }
            let queue = self.services.get(&entry.service);
            let next_round = queue.map_or(TimeStamp::ZERO, |queue| {
                let since = queue.round.as_ref().map(|round| round.since);
                since.unwrap_or(queue.last_round).after(ROUND_INTERVAL)
            });
            entry.room_at.max(next_round).min(entry.limit.until)
        });
        due.min()
    }

    /// Refuses requests that are past their limit, passes on turns that were not used, and lets requests try
    /// whose targets are expected to have room by now.
    pub fn tick(&mut self, now: TimeStamp) {
        self.refuse_all(|entry| now >= entry.limit.until, WaitEnd::Late, now);
        for service in self.waiting_services() {
            if let Some(round) = self.round(&service) {
                if now.since(round.since) < ROUND_INTERVAL {
                    continue;
                }
                let holder = round.holder;
                if let Some(entry) = self.entries.get_mut(&holder) {
                    entry.is_stuck = true;
                }
                self.pass_turn(&service, now);
            }
            let is_due = self.services.get(&service).is_some_and(|queue| {
                queue.round.is_none() && now.since(queue.last_round) >= ROUND_INTERVAL
            });
            if is_due {
                self.open_round(&service, true, now);
            }
        }
    }

    fn waiting_services(&self) -> Vec<String> {
        let names = self.entries.values().map(|entry| &entry.service);
        let mut names: Vec<String> = names.cloned().collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    fn round(&self, service: &str) -> Option<&TurnRound> {
        self.services.get(service)?.round.as_ref()
    }

    /// Begins a round because a slot may have become free; one that is in progress is repeated.
    fn begin_round(&mut self, service: &str, now: TimeStamp) {
        let Some(queue) = self.services.get_mut(service) else {
            return;
        };
        match &mut queue.round {
            Some(round) => round.has_news = true,
            None => self.open_round(service, false, now),
        }
    }

    fn open_round(&mut self, service: &str, is_timed: bool, now: TimeStamp) {
        let Some(holder) = self.next_in_order(service, &[], is_timed, now) else {
            return;
        };
        if let Some(queue) = self.services.get_mut(service) {
            queue.last_round = now;
            queue.round = Some(TurnRound {
                holder,
                since: now,
                tried: vec![holder],
                failures: 0,
                is_timed,
                has_news: false,
            });
            self.events.push(QueueEvent::Turn(holder));
        }
    }

    /// Gives the next request of a round its turn, or ends the round.
    fn pass_turn(&mut self, service: &str, now: TimeStamp) {
        let Some(round) = self
            .services
            .get_mut(service)
            .and_then(|queue| queue.round.take())
        else {
            return;
        };
        let next = match round.failures < MAX_FAILURES {
            true => self.next_in_order(service, &round.tried, round.is_timed, now),
            false => None,
        };
        match next {
            Some(holder) => self.continue_round(service, round, holder, now),
            None if round.has_news => self.open_round(service, false, now),
            None => {}
        }
    }

    fn continue_round(
        &mut self,
        service: &str,
        mut round: TurnRound,
        holder: WaitKey,
        now: TimeStamp,
    ) {
        round.tried.push(holder);
        (round.holder, round.since) = (holder, now);
        if let Some(queue) = self.services.get_mut(service) {
            queue.round = Some(round);
            self.events.push(QueueEvent::Turn(holder));
        }
    }

    /// The first request in order that may have a turn.
    fn next_in_order(
        &self,
        service: &str,
        tried: &[WaitKey],
        is_timed: bool,
        now: TimeStamp,
    ) -> Option<WaitKey> {
        let may_try = |entry: &WaitingEntry| {
            let is_due = !is_timed || entry.room_at <= now;
            is_due && !entry.is_stuck && now < entry.limit.until && !tried.contains(&entry.key)
        };
        let order = self.services.get(service)?.order(&self.entries);
        let mut entries = order.iter().filter_map(|key| self.entries.get(key));
        entries.find(|entry| may_try(entry)).map(|entry| entry.key)
    }

    /// When a request is expected to start, by the number of those ahead of it.
    fn expected_start(&self, key: WaitKey, now: TimeStamp) -> TimeStamp {
        let Some(entry) = self.entries.get(&key) else {
            return TimeStamp::MAX;
        };
        let queue = self.services.get(&entry.service);
        let wait = queue.map_or(Duration::ZERO, |queue| {
            let order = queue.order(&self.entries);
            let ahead = order.iter().position(|other| *other == key).unwrap_or(0);
            let rate = queue.ends.per_second(now);
            match ahead {
                0 => Duration::ZERO,
                _ => rate.map_or(Duration::ZERO, |rate| fair::wait_time(ahead as f64, rate)),
            }
        });
        now.after(wait)
    }

    fn insert(&mut self, request: &WaitRequest<'_>, now: TimeStamp) -> WaitKey {
        let key = WaitKey(self.next_key);
        self.next_key += 1;
        let entry = WaitingEntry {
            key,
            service: request.service.to_owned(),
            rank: request.rank,
            customer: request.customer,
            bytes: request.bytes,
            limit: request.limit,
            room_at: now.after(request.room_in.mul_f64(CHECK_FRACTION)),
            is_stuck: false,
        };
        let queue = self.services.entry(entry.service.clone()).or_default();
        queue.add(key, entry.rank, entry.customer);
        self.bytes += entry.bytes;
        self.entries.insert(key, entry);
        key
    }

    fn remove(&mut self, key: WaitKey) -> Option<WaitingEntry> {
        let entry = self.entries.remove(&key)?;
        self.bytes -= entry.bytes;
        if let Some(queue) = self.services.get_mut(&entry.service) {
            queue.remove(key, entry.rank);
        }
        Some(entry)
    }

    /// Refuses requests of ranks below `rank`, the lowest and latest first, until the queue is within its
    /// bounds; refuses none if that does not suffice.
    fn make_room(&mut self, rank: RequestRank, now: TimeStamp) -> bool {
        if self.entries.len() <= MAX_REQUESTS && self.bytes <= MAX_BYTES {
            return true;
        }
        let mut lower: Vec<&WaitingEntry> = self.entries.values().collect();
        lower.retain(|entry| entry.rank > rank);
        lower.sort_by_key(|entry| (entry.rank, entry.limit.latest_start, entry.key));
        let (mut requests, mut bytes) = (self.entries.len(), self.bytes);
        let mut displaced = Vec::new();
        while requests > MAX_REQUESTS || bytes > MAX_BYTES {
            let Some(entry) = lower.pop() else {
                return false;
            };
            (requests, bytes) = (requests - 1, bytes - entry.bytes);
            displaced.push(entry.key);
        }
        for key in displaced {
            self.refuse(key, WaitEnd::Displaced, now);
        }
        true
    }

    fn refuse_all(
        &mut self,
        is_refused: impl Fn(&WaitingEntry) -> bool,
        end: WaitEnd,
        now: TimeStamp,
    ) {
        let refused = self.entries.values().filter(|entry| is_refused(entry));
        let mut keys: Vec<WaitKey> = refused.map(|entry| entry.key).collect();
        keys.sort_unstable();
        for key in keys {
            self.refuse(key, end, now);
        }
    }
}
