//! VMs that follow the service, or each other in a chain.

use crate::outages::service::{ModelService, OutageScope};
use crate::outages::{
    BrokenRules, CONTACT_MS, HistoryPlan, LEAVE_BOUND_MS, TARGETS, VMS, VMS_PER_DOMAIN,
};
use dahliawood_model::FastSet;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_store::keyspace::availability::AnswerSpan;
use dahliawood_store::keyspace::call::KeyspaceItem;
use dahliawood_store::keyspace::view::{KeyspaceView, RelaySource};
use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;

const STEP_MS: u64 = 20;
/// Time that a message and its answer take, milliseconds.
const CALL_MS: u64 = 20;
/// Time between two calls for changes, to the service and to another VM, milliseconds.
const FOLLOW_MS: u64 = 500;
const RELAY_MS: u64 = 200;
/// Age of a VM's knowledge from which it leaves its relay, milliseconds.
const MAX_AGE_MS: u64 = 1_100;
/// Time between two copies from other VMs, milliseconds.
const COPY_MS: u64 = 350;
/// Time between two renewals of a VM that follows the service, and one that follows another VM,
/// milliseconds.
const RENEW_MS: [u64; 2] = [1_300, 1_800];
/// Interval at which a VM drops what it retains no longer, milliseconds.
const EXPIRY_MS: u64 = 500;
/// How long a process is gone that is restarted, milliseconds.
const RESTART_MS: u64 = 500;
/// How old a first read may be, milliseconds.
const OLD_READ_MS: u64 = 4_000;

/// What VMs tell their followers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Telling {
    /// When the service answered.
    Answers,
    /// The same, and what they retain as if it existed, as earlier versions did.
    RetainedAsExisting,
    /// How much longer they hold removals back, as versions before those did.
    RestOfHold,
}

struct ModelVm {
    view: KeyspaceView,
    started_ms: u64,
    /// Whether the first read was confirmed.
    is_confirmed: bool,
    has_read: bool,
    /// The service answered the latest call.
    is_up: bool,
    /// Every change before this time is known.
    current_ms: u64,
    next_ask_ms: u64,
    next_renewal_ms: u64,
    next_copy_ms: u64,
    next_expiry_ms: u64,
    backoff_ms: u64,
    /// Keys of the targets that it uses.
    used: FastSet<String>,
    /// When the VM last began to be in touch.
    calm_ms: u64,
}

impl ModelVm {
    fn new(now_ms: u64) -> Self {
        Self {
            view: KeyspaceView::new(|_| true).with_leaving(|_, value| value == b"leaving"),
            started_ms: now_ms,
            is_confirmed: false,
            has_read: false,
            is_up: true,
            current_ms: 0,
            next_ask_ms: now_ms,
            next_renewal_ms: now_ms,
            next_copy_ms: now_ms,
            next_expiry_ms: now_ms,
            backoff_ms: 400,
            used: FastSet::default(),
            calm_ms: now_ms,
        }
    }
}

pub struct ModelFleet {
    pub now_ms: u64,
    pub broken: BrokenRules,
    plan: HistoryPlan,
    telling: Telling,
    rng: StdRng,
    service: ModelService,
    vms: Vec<ModelVm>,
}

fn at(millis: u64) -> TimeStamp {
    TimeStamp::from_millis(1_000_000 + millis)
}

/// The answer to a call that ends at `now_ms`.
fn own_answer(now_ms: u64) -> AnswerSpan {
    AnswerSpan::of_answer(
        at(now_ms).before(Duration::from_millis(CALL_MS)),
        at(now_ms),
    )
}

impl ModelFleet {
    pub fn new(plan: HistoryPlan, telling: Telling, mut rng: StdRng) -> Self {
        let service = ModelService::new(TARGETS, &mut rng);
        Self {
            now_ms: 0,
            broken: BrokenRules::default(),
            plan,
            telling,
            rng,
            service,
            vms: (0..VMS).map(|_| ModelVm::new(2_000)).collect(),
        }
    }

    /// Whether the service is away for all, and whether leases pause.
    fn is_away(&self) -> (bool, bool) {
        let now = self
            .plan
            .outages
            .iter()
            .filter(|outage| outage.is_at(self.now_ms));
        let pauses = now.filter_map(|outage| match outage.scope {
            OutageScope::All { do_leases_pause } => Some(do_leases_pause),
            _ => None,
        });
        pauses.fold((false, false), |(_, pauses), pause| (true, pauses | pause))
    }

    fn reaches_service(&self, vm: usize) -> bool {
        let mut now = self
            .plan
            .outages
            .iter()
            .filter(|outage| outage.is_at(self.now_ms));
        !now.any(|outage| match outage.scope {
            OutageScope::All { .. } => true,
            OutageScope::Domain(domain) => domain == vm / VMS_PER_DOMAIN,
            OutageScope::Vm(other) => other == vm,
        })
    }

    fn is_running(&self, vm: usize) -> bool {
        self.vms[vm].started_ms <= self.now_ms
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        let is_now = |at: u64| (now_ms - STEP_MS..now_ms).contains(&at);
        let (is_away, do_leases_pause) = self.is_away();
        self.service.step(now_ms, is_away, do_leases_pause, STEP_MS);
        for index in 0..self.plan.leaves.len() {
            let (target, leaves_ms, kind) = self.plan.leaves[index];
            // A target waits until the service acknowledges that it leaves.
            let is_due = now_ms > leaves_ms && !is_away;
            if is_due && self.service.left_ms(target).is_none() {
                self.service.leave(target, kind, now_ms);
            }
        }
        if self.plan.compactions.iter().any(|at| is_now(*at)) {
            self.service.compact();
        }
        for index in 0..self.plan.restarts.len() {
            let (vm, restarts_ms) = self.plan.restarts[index];
            if is_now(restarts_ms) {
                self.vms[vm] = ModelVm::new(now_ms + RESTART_MS);
            }
        }
        for vm in 0..VMS {
            if self.is_running(vm) {
                self.step_vm(vm);
            }
            self.check(vm, is_away);
        }
    }

    fn step_vm(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        if now_ms >= self.vms[vm].next_renewal_ms {
            let is_answered = self.reaches_service(vm);
            let own = &mut self.vms[vm];
            let interval = RENEW_MS[usize::from(!vm.is_multiple_of(VMS_PER_DOMAIN))];
            match is_answered {
                true => own.view.record_answers(own_answer(now_ms)),
                false => own.view.record_failure(),
            }
            own.next_renewal_ms = now_ms + if is_answered { interval } else { 400 };
        }
        if now_ms >= self.vms[vm].next_ask_ms {
            self.ask(vm);
        }
        let own = &self.vms[vm];
        let asks_others = !own.is_up || own.view.is_settling(at(now_ms));
        if now_ms >= own.next_copy_ms && asks_others && own.is_confirmed {
            self.vms[vm].next_copy_ms = now_ms + COPY_MS;
            self.copy(vm);
        }
        let own = &mut self.vms[vm];
        if now_ms >= own.next_expiry_ms {
            own.next_expiry_ms = now_ms + EXPIRY_MS;
            own.view.expire(at(now_ms));
        }
        if own.is_confirmed {
            let used = own.view.known();
            let used = used.filter(|(_, write)| *write.value != *b"leaving");
            own.used = used.map(|(key, _)| key.clone()).collect();
        }
    }

    /// The VM that another one follows: each the one before it in its failure domain, so that knowledge
    /// passes through up to three VMs.
    fn relay(&self, vm: usize) -> Option<usize> {
        let relay = (!vm.is_multiple_of(VMS_PER_DOMAIN)).then(|| vm - 1)?;
        let is_fresh = |vm: &ModelVm| self.now_ms < vm.current_ms + MAX_AGE_MS;
        let is_sound =
            self.is_running(relay) && self.vms[relay].is_confirmed && is_fresh(&self.vms[relay]);
        (is_sound && is_fresh(&self.vms[vm])).then_some(relay)
    }

    fn ask(&mut self, vm: usize) {
        if self.vms[vm].has_read
            && let Some(relay) = self.relay(vm)
        {
            self.vms[vm].next_ask_ms = self.now_ms + RELAY_MS;
            return self.follow_vm(vm, relay);
        }
        if !self.reaches_service(vm) {
            let spread = self.rng.random_range(0.5..1.5_f64);
            let own = &mut self.vms[vm];
            own.view.record_failure();
            own.is_up = false;
            own.is_confirmed |= own.has_read;
            own.next_ask_ms = self.now_ms + (own.backoff_ms as f64 * spread) as u64;
            own.backoff_ms = (own.backoff_ms * 2).min(1_600);
            return;
        }
        self.vms[vm].next_ask_ms = self.now_ms + FOLLOW_MS;
        self.follow_service(vm);
    }

    fn follow_service(&mut self, vm: usize) {
        let now = at(self.now_ms);
        let own = &mut self.vms[vm];
        own.is_up = true;
        own.backoff_ms = 400;
        if !own.has_read {
            let age = self.rng.random_range(0..OLD_READ_MS);
            let (items, revision) = self.service.old_list(self.now_ms.saturating_sub(age));
            own.view.replace(items, revision, now);
            own.has_read = true;
            return;
        }
        own.view.record_answers(own_answer(self.now_ms));
        if let Some(changes) = self.service.since(own.view.revision()) {
            own.view.apply(changes, self.service.revision, now);
        } else {
            let (items, revision) = self.service.list();
            own.view.replace(items, revision, now);
        }
        own.is_confirmed = true;
        own.current_ms = self.now_ms - CALL_MS;
    }

    /// What a VM learns from another one with any answer.
    fn hear(&mut self, vm: usize, other: usize) {
        let told = self.vms[other].view.answers();
        let now = at(self.now_ms);
        let settles_in = self.vms[other].view.settles_in(now);
        let own = &mut self.vms[vm];
        match (self.telling, told) {
            (Telling::Answers | Telling::RetainedAsExisting, Some(span)) => {
                own.view.record_answers(span);
            }
            (Telling::RestOfHold, _) if !settles_in.is_zero() => {
                own.view.hold_removals(now.after(settles_in));
            }
            _ => {}
        }
    }

    fn follow_vm(&mut self, vm: usize, relay: usize) {
        self.hear(vm, relay);
        let after = self.vms[vm].view.revision();
        let Some(told) = self.vms[relay].view.changes_since(after) else {
            return self.copy_from(vm, relay);
        };
        let current_ms = self.vms[relay].current_ms;
        let own = &mut self.vms[vm];
        own.view.apply(told.items, told.revision, at(self.now_ms));
        own.is_confirmed = true;
        own.is_up = true;
        own.current_ms = own.current_ms.max(current_ms);
    }

    /// Copies from another VM, or asks it when the service answered.
    fn copy(&mut self, vm: usize) {
        let other = self.rng.random_range(0..VMS);
        if other == vm || !self.is_running(other) || !self.vms[other].is_confirmed {
            return;
        }
        self.hear(vm, other);
        if !self.vms[vm].is_up {
            self.copy_from(vm, other);
        }
    }

    fn copy_from(&mut self, vm: usize, other: usize) {
        let now = at(self.now_ms);
        let view = &self.vms[other].view;
        let is_fresh = self.now_ms < self.vms[other].current_ms + MAX_AGE_MS;
        let copy = view.copy(is_fresh, now);
        let (revision, is_settled) = (copy.revision, copy.is_settled);
        let source = RelaySource {
            revision,
            is_settled,
            tells_answers: self.telling != Telling::RestOfHold,
        };
        let told = match self.telling {
            Telling::RetainedAsExisting => view.copy(false, now).entries,
            Telling::Answers | Telling::RestOfHold => copy.entries,
        };
        let known = told.into_iter().map(|(key, write)| KeyspaceItem {
            key: key.to_owned(),
            value: Some(write.value.to_vec()),
            revision: write.revision,
        });
        let items: Vec<KeyspaceItem> = known.collect();
        let current_ms = self.vms[other].current_ms;
        let own = &mut self.vms[vm];
        if !own.view.has_newer(source) {
            return;
        }
        let listed = items.iter().map(|item| item.key.clone()).collect();
        own.view.apply_relayed(items, &listed, source, now);
        if is_settled {
            own.current_ms = own.current_ms.max(current_ms);
        }
    }

    /// Checks what a VM uses.
    fn check(&mut self, vm: usize, is_away: bool) {
        let is_calm = self.is_running(vm) && self.reaches_service(vm) && !is_away;
        let now_ms = self.now_ms;
        let own = &mut self.vms[vm];
        if !is_calm {
            own.calm_ms = now_ms;
        }
        let is_in_touch = now_ms >= own.calm_ms + CONTACT_MS;
        for target in 0..TARGETS {
            let is_used = own.used.contains(self.service.key(target));
            match self.service.left_ms(target) {
                Some(left_ms) if now_ms > left_ms + LEAVE_BOUND_MS => {
                    self.broken.used_after_leave += usize::from(is_used && is_in_touch);
                }
                // A process that is new may never have known it.
                None if now_ms > own.started_ms + 8_000 && !own.used.is_empty() => {
                    let was_started_calm = self.plan.outages.iter().all(|outage| {
                        outage.until_ms + 4_000 < own.started_ms
                            || outage.from_ms > own.started_ms + 6_000
                    });
                    self.broken.dropped_alive += usize::from(!is_used && was_started_calm);
                }
                _ => {}
            }
        }
    }
}
