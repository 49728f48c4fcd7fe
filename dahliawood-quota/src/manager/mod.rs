//! The facade of this package: manages all limits of one VM.
//!
//! Traffic threads call [`QuotaManager::admit`] and [`QuotaManager::release`] under a lock that is
//! held briefly. The control thread calls [`QuotaManager::tick`], ideally every 10 ms and soon
//! after an admission that waits, passes in the messages and store answers that arrive, and carries
//! out the effects that the calls return.

pub mod effect;
mod receive;
mod state;

use crate::shares::{document, holder, liveness, plan};
use crate::{amount, home, limit, member, message, options};
use dahliawood_model::{FastMap, stamp};
use std::time::Duration;

/// How long a VM that did not answer is skipped before it is tried again.
const UNRESPONSIVE_RETRY: Duration = Duration::from_secs(2);
/// How often the return of a leased share is requested.
const RECALL_INTERVAL: Duration = Duration::from_millis(100);

/// The state of the VM that all its limits share.
#[derive(Clone, Copy)]
struct SharedState {
    is_active: bool,
    is_leaving: bool,
    me: member::HolderId,
}

impl SharedState {
    fn context<'a>(
        self,
        options: &'a options::QuotaOptions,
        unresponsive: &'a FastMap<member::HolderId, stamp::TimeStamp>,
        now: stamp::TimeStamp,
    ) -> state::StateContext<'a> {
        state::StateContext {
            options,
            is_active: self.is_active,
            is_leaving: self.is_leaving,
            me: self.me,
            unresponsive,
            now,
        }
    }
}

/// Manages all limits of one VM.
#[derive(Clone, Debug)]
pub struct QuotaManager {
    options: options::QuotaOptions,
    table: limit::LimitTable,
    specs: Vec<limit::LimitSpec>,
    revision: u64,
    states: Vec<state::LimitState>,
    holder: holder::ShareHolder,
    liveness: liveness::MemberLiveness,
    last_ticket: u64,
    last_serial: u64,
    unresponsive: FastMap<member::HolderId, stamp::TimeStamp>,
    next_recall_at: stamp::TimeStamp,
    effects: Vec<effect::QuotaEffect>,
}

impl QuotaManager {
    /// Creates the manager of a VM that starts at `now` and knows no limit.
    pub fn new(
        me: member::MemberEntry,
        options: options::QuotaOptions,
        now: stamp::TimeStamp,
    ) -> Self {
        Self {
            options,
            table: limit::LimitTable::default(),
            specs: Vec::new(),
            revision: 0,
            states: Vec::new(),
            liveness: liveness::MemberLiveness::new(me.id, now),
            holder: holder::ShareHolder::new(me),
            last_ticket: 0,
            last_serial: 0,
            unresponsive: FastMap::default(),
            next_recall_at: stamp::TimeStamp::ZERO,
            effects: Vec::new(),
        }
    }

    /// Applies the limits of a configuration revision. A revision older than the last is ignored.
    pub fn configure(
        &mut self,
        revision: u64,
        specs: Vec<limit::LimitSpec>,
        now: stamp::TimeStamp,
    ) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        self.table.revise(specs.clone());
        self.specs = specs;
        for (key, spec) in self.table.iter() {
            match self.states.get_mut(key.index()) {
                Some(state) => state.set_spec(spec),
                None => self.states.push(state::LimitState::new(key, spec, now)),
            }
        }
        self.apply_document(now);
    }

    /// The key of the limit with this name; it stays the same over all revisions.
    pub fn limit(&self, name: &str) -> Option<limit::LimitKey> {
        self.table.key(name)
    }

    /// Takes one unit of a limit (a customer's request or a slot), or queues the request.
    pub fn admit(
        &mut self,
        limit: limit::LimitKey,
        deadline: stamp::TimeStamp,
        now: stamp::TimeStamp,
    ) -> effect::Admission {
        self.admit_amount(limit, amount::TokenAmount::ONE, deadline, now)
    }

    /// Takes `amount` of a limit, such as bytes of a link, or queues the request. A count always
    /// gives one unit, whatever the amount.
    pub fn admit_amount(
        &mut self,
        limit: limit::LimitKey,
        amount: amount::TokenAmount,
        deadline: stamp::TimeStamp,
        now: stamp::TimeStamp,
    ) -> effect::Admission {
        self.last_ticket += 1;
        let ticket = effect::WaitTicket(self.last_ticket);
        let shared = self.shared(now);
        let context = shared.context(&self.options, &self.unresponsive, now);
        self.states[limit.index()].admit(ticket, amount, deadline, context)
    }

    /// Ends the use of a slot and returns the effects to carry out: a waiting request may get the
    /// slot at once. For a rate limit, nothing is released.
    pub fn release(
        &mut self,
        permit: effect::QuotaPermit,
        now: stamp::TimeStamp,
    ) -> Vec<effect::QuotaEffect> {
        self.states[permit.limit.index()].release(permit.source);
        self.serve_waiting(permit.limit, now);
        std::mem::take(&mut self.effects)
    }

    /// Removes a waiting request, for instance because its caller disconnected.
    pub fn cancel(&mut self, limit: limit::LimitKey, ticket: effect::WaitTicket) {
        self.states[limit.index()].cancel(ticket);
    }

    /// The homes of a limit for a caller in `region`: the issuer first for a small customer, the
    /// homes of the caller's region first for a large one. Empty before the first read of the share
    /// document.
    pub fn homes(&self, limit: limit::LimitKey, region: &str) -> Vec<member::HolderId> {
        let spec = self.table.spec(limit);
        let tag = limit::LimitTag::of(&spec.name);
        let members = &self.holder.document().members;
        let homes = home::home_vms(tag, &spec.homes, members);
        let homes = if spec.is_large() {
            home::sort_by_region(homes, region)
        } else {
            homes
        };
        homes.into_iter().map(|home| home.id).collect()
    }

    /// The token bucket of a limit on this VM: its rate, burst and level, without loans.
    pub fn bucket(&self, limit: limit::LimitKey) -> &crate::bucket::TokenBucket {
        self.states[limit.index()].bucket()
    }

    /// The amount of a limit that this VM can take at once, out of its shares and its loans.
    pub fn available(
        &mut self,
        limit: limit::LimitKey,
        now: stamp::TimeStamp,
    ) -> amount::TokenAmount {
        let shared = self.shared(now);
        let context = shared.context(&self.options, &self.unresponsive, now);
        self.states[limit.index()].available(context)
    }

    fn shared(&mut self, now: stamp::TimeStamp) -> SharedState {
        let is_active = self.is_active(now);
        let me = self.holder.me();
        SharedState {
            is_active,
            is_leaving: me.leaving,
            me: me.id,
        }
    }

    /// Whether this VM may use its shares at `now`. It may use loans that it holds in any case.
    pub fn is_active(&mut self, now: stamp::TimeStamp) -> bool {
        self.holder
            .set_epoch(self.liveness.epoch(&self.options, now));
        self.liveness.is_proven(&self.options, now) && self.holder.is_confirmed()
    }

    /// The newest share document that this VM has read.
    pub fn document(&self) -> &document::ShareDocument {
        self.holder.document()
    }

    /// Begins a planned stop, in which the VM gives up its shares.
    pub fn leave(&mut self) {
        self.holder.leave();
    }

    /// Whether the VM has given up all shares in a planned stop.
    pub fn is_released(&self) -> bool {
        self.holder.is_released()
    }

    /// Applies the live list; the read of the list began at `read_at`.
    pub fn apply_live_list(
        &mut self,
        list: &[member::HolderId],
        read_at: stamp::TimeStamp,
        now: stamp::TimeStamp,
    ) {
        let members = &self.holder.document().members;
        self.liveness
            .apply_live_list(list, members, &self.options, read_at, now);
    }

    /// Applies the share document as read from the store; `None` if the store has none.
    pub fn apply_read(
        &mut self,
        document: Option<document::ShareDocument>,
        version: document::ShareVersion,
        now: stamp::TimeStamp,
    ) {
        if self.holder.apply_read(document, version, now) {
            self.apply_document(now);
        }
    }

    /// Applies the outcome of the [`effect::QuotaEffect::WriteShares`] with this serial.
    pub fn apply_write_outcome(
        &mut self,
        serial: u64,
        outcome: holder::WriteOutcome,
        now: stamp::TimeStamp,
    ) {
        if self.holder.apply_outcome(serial, outcome, now) {
            self.apply_document(now);
        }
    }

    fn apply_document(&mut self, now: stamp::TimeStamp) {
        let me = self.holder.me().id;
        let may_raise = self.holder.may_raise();
        let document = self.holder.document();
        if self.holder.has_read() {
            self.liveness.update_members(&document.members, now);
        }
        for (key, spec) in self.table.iter() {
            let entry = document.limit(&spec.name);
            let grant = entry.and_then(|entry| entry.grant(me));
            let homes = entry.map(|entry| holding_homes(entry, &document.members));
            let homes = homes.unwrap_or_default();
            self.states[key.index()].apply(grant, homes, may_raise, now);
        }
    }

    fn send_leases(&mut self, due: Vec<state::DueLeaseMessage>) {
        for due in due {
            self.send(due.to, due.message);
        }
    }

    fn recall_shares(&mut self, now: stamp::TimeStamp) {
        if now < self.next_recall_at {
            return;
        }
        self.next_recall_at = now.after(RECALL_INTERVAL);
        for (key, spec) in self.table.iter() {
            let tag = limit::LimitTag::of(&spec.name);
            if let Some(to) = self.states[key.index()].due_recall() {
                let recall = message::LeaseRecall { tag };
                self.effects.push(send_effect(to, recall));
            }
        }
    }

    /// Advances all limits, the probes and the share document to `now`, and returns the effects to
    /// carry out.
    pub fn tick(&mut self, now: stamp::TimeStamp) -> Vec<effect::QuotaEffect> {
        for index in 0..self.states.len() {
            let key = limit::LimitKey(index as u32);
            self.step_limit(key, now);
        }
        self.recall_shares(now);
        self.probe_peers(now);
        self.update_shares(now);
        std::mem::take(&mut self.effects)
    }

    fn step_limit(&mut self, key: limit::LimitKey, now: stamp::TimeStamp) {
        let shared = self.shared(now);
        let context = shared.context(&self.options, &self.unresponsive, now);
        let state = &mut self.states[key.index()];
        let unresponsive = state.expire(context);
        let leases = state.update_leases(&mut self.last_serial, context);
        for lender in unresponsive {
            self.unresponsive
                .insert(lender, now.after(UNRESPONSIVE_RETRY));
        }
        self.send_leases(leases);
        self.serve_waiting(key, now);
        self.report_loans(key, now);
        self.borrow(key, now);
    }

    fn serve_waiting(&mut self, key: limit::LimitKey, now: stamp::TimeStamp) {
        let shared = self.shared(now);
        let context = shared.context(&self.options, &self.unresponsive, now);
        for resolved in self.states[key.index()].serve_waiting(context) {
            self.effects.push(effect::QuotaEffect::Resolved {
                ticket: resolved.ticket,
                admission: resolved.admission,
            });
        }
    }

    fn report_loans(&mut self, key: limit::LimitKey, now: stamp::TimeStamp) {
        let shared = self.shared(now);
        let context = shared.context(&self.options, &self.unresponsive, now);
        for due in self.states[key.index()].reports(context) {
            self.effects.push(send_effect(due.lender, due.report));
        }
    }

    fn borrow(&mut self, key: limit::LimitKey, now: stamp::TimeStamp) {
        let shared = self.shared(now);
        let context = shared.context(&self.options, &self.unresponsive, now);
        let serial = message::LoanSerial(self.last_serial + 1);
        if let Some(due) = self.states[key.index()].next_request(serial, context) {
            self.last_serial += 1;
            self.send(due.lender, due.request);
        }
    }

    fn probe_peers(&mut self, now: stamp::TimeStamp) {
        let members = &self.holder.document().members;
        let due = self.liveness.due_probes(members, &self.options, now);
        for due in due {
            self.send(due.to, due.probe);
        }
    }

    fn update_shares(&mut self, now: stamp::TimeStamp) {
        let input = holder::HolderInput {
            revision: self.revision,
            specs: &self.specs,
            options: &self.options,
        };
        let (table, states) = (&self.table, &mut self.states);
        let lower = |name: &str, size: plan::ShareSize| match table.key(name) {
            Some(key) => states[key.index()].lower(size, now),
            None => plan::LoweredShare::default(),
        };
        let intent = self.holder.tick(&mut self.liveness, input, lower, now);
        let effect = intent.map(|intent| match intent {
            holder::ShareIntent::Read => effect::QuotaEffect::ReadShares,
            holder::ShareIntent::Write(write) => effect::QuotaEffect::WriteShares(write),
        });
        self.effects.extend(effect);
    }

    fn send(&mut self, to: member::HolderId, message: impl Into<message::QuotaMessage>) {
        self.effects.push(send_effect(to, message));
    }
}

fn send_effect(
    to: member::HolderId,
    message: impl Into<message::QuotaMessage>,
) -> effect::QuotaEffect {
    effect::QuotaEffect::Send {
        to,
        message: message.into(),
    }
}

/// The homes that hold a share of a limit, in order of rank.
fn holding_homes(
    entry: &document::LimitEntry,
    members: &[member::MemberEntry],
) -> Vec<member::HolderId> {
    let tag = limit::LimitTag::of(&entry.spec.name);
    let homes = home::home_vms(tag, &entry.spec.homes, members);
    let holds = |id: &member::HolderId| {
        let grant = entry.grant(*id);
        grant.is_some_and(|grant| !grant.burst.is_zero())
    };
    homes.iter().map(|home| home.id).filter(holds).collect()
}
