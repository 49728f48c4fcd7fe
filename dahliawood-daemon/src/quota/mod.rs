//! The VM's quota manager behind a lock that is held briefly.
//!
//! Traffic threads take quota from the manager; the control thread advances it and carries out its
//! effects.

use async_std::channel::{Receiver, Sender, TrySendError, bounded};
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::manager::{self, effect};
use dahliawood_quota::{amount, limit, options};
use futures::channel::oneshot;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The retry delay given to a refused caller if this VM has no quota manager, or no such limit,
/// yet.
const RETRY_NO_QUOTA: Duration = Duration::from_secs(1);

/// The quota manager and the requests that wait for its answers.
pub struct SharedManager {
    state: Mutex<ManagerState>,
    wake: Sender<()>,
    /// Receives a message whenever the control thread has to act, for instance because a request
    /// waits.
    pub wakeups: Receiver<()>,
}

/// The state behind the lock.
#[derive(Default)]
pub struct ManagerState {
    /// The quota manager, `None` until a configuration is known.
    pub manager: Option<manager::QuotaManager>,
    /// Effects that the control thread still has to carry out.
    backlog: Vec<effect::QuotaEffect>,
    waiting: FastMap<effect::WaitTicket, oneshot::Sender<effect::Admission>>,
}

impl Default for SharedManager {
    fn default() -> Self {
        let (wake, wakeups) = bounded(1);
        Self {
            state: Mutex::default(),
            wake,
            wakeups,
        }
    }
}

impl SharedManager {
    /// The longest duration of a loan that any VM grants.
    pub fn max_loan_time(&self) -> Duration {
        options::QuotaOptions::default().max_loan_time
    }

    /// Locks the manager and its waiting requests. Hold the lock for microseconds only.
    pub fn lock(&self) -> MutexGuard<'_, ManagerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an amount of a limit, such as bytes of a link; waits for a loan if one can arrive
    /// before `deadline`.
    ///
    /// # Errors
    /// Fails if the request is refused, with the time after which the caller may try again.
    pub async fn admit_amount(
        &self,
        name: &str,
        amount: amount::TokenAmount,
        deadline: TimeStamp,
        now: TimeStamp,
    ) -> Result<effect::QuotaPermit, Duration> {
        let (wait, limit) = match self.begin_admission(name, amount, deadline, now)? {
            AdmitOutcome::Granted(permit) => return Ok(permit),
            AdmitOutcome::Waiting(wait, limit) => (wait, limit),
        };
        let mut cancel = CancelGuard {
            quota: self,
            limit,
            ticket: Some(wait.ticket),
        };
        let admission = wait.receiver.await;
        cancel.ticket = None;
        match admission {
            Ok(effect::Admission::Granted(permit)) => Ok(permit),
            Ok(effect::Admission::Refused { retry_after }) => Err(retry_after),
            _ => Err(RETRY_NO_QUOTA),
        }
    }

    /// Takes one unit of a limit, such as a request of a customer; waits for a loan if one can
    /// arrive before `deadline`.
    ///
    /// # Errors
    /// Fails if the request is refused, with the time after which the caller may try again.
    pub async fn admit(
        &self,
        name: &str,
        deadline: TimeStamp,
        now: TimeStamp,
    ) -> Result<effect::QuotaPermit, Duration> {
        self.admit_amount(name, amount::TokenAmount::ONE, deadline, now)
            .await
    }

    /// Takes one unit of a limit if this VM has one available now, without waiting.
    pub fn try_admit(
        &self,
        name: &str,
        deadline: TimeStamp,
        now: TimeStamp,
    ) -> Option<effect::QuotaPermit> {
        let mut state = self.lock();
        let manager = state.manager.as_mut()?;
        let limit = manager.limit(name)?;
        match manager.admit(limit, deadline, now) {
            effect::Admission::Granted(permit) => Some(permit),
            effect::Admission::Waiting { ticket, .. } => {
                manager.cancel(limit, ticket);
                None
            }
            effect::Admission::Refused { .. } => None,
        }
    }

    /// The fraction of this VM's burst of a limit that is available now, 0 to 1; 0 if the VM holds
    /// no burst.
    pub fn available_fraction(&self, name: &str, now: TimeStamp) -> f64 {
        let mut state = self.lock();
        let Some(manager) = state.manager.as_mut() else {
            return 0.0;
        };
        let Some(limit) = manager.limit(name) else {
            return 0.0;
        };
        let burst = manager.bucket(limit).burst().micros;
        if burst == 0 {
            return 0.0;
        }
        (manager.available(limit, now).micros as f64 / burst as f64).min(1.0)
    }

    /// Returns a unit of a count.
    pub fn release(&self, permit: effect::QuotaPermit, now: TimeStamp) {
        let has_backlog = self.lock().release(permit, now);
        if has_backlog {
            self.wake();
        }
    }

    /// Wakes the control thread; does nothing more if a wake-up is already pending.
    pub fn wake(&self) {
        if let Err(TrySendError::Closed(())) = self.wake.try_send(()) {
            log::debug!("cannot wake the control thread, which has ended");
        }
    }

    fn begin_admission(
        &self,
        name: &str,
        amount: amount::TokenAmount,
        deadline: TimeStamp,
        now: TimeStamp,
    ) -> Result<AdmitOutcome, Duration> {
        let mut state = self.lock();
        let manager = state.manager.as_mut().ok_or(RETRY_NO_QUOTA)?;
        let limit = manager.limit(name).ok_or(RETRY_NO_QUOTA)?;
        match manager.admit_amount(limit, amount, deadline, now) {
            effect::Admission::Granted(permit) => Ok(AdmitOutcome::Granted(permit)),
            effect::Admission::Refused { retry_after } => Err(retry_after),
            effect::Admission::Waiting { ticket, .. } => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                drop(state);
                self.wake();
                Ok(AdmitOutcome::Waiting(
                    PendingAdmission { ticket, receiver },
                    limit,
                ))
            }
        }
    }
}

impl ManagerState {
    /// Returns a unit of a count. Waiting requests that get the unit are resolved at once; other
    /// effects are queued for the control thread. Returns whether effects are queued.
    fn release(&mut self, permit: effect::QuotaPermit, now: TimeStamp) -> bool {
        let Some(manager) = self.manager.as_mut() else {
            return false;
        };
        for effect in manager.release(permit, now) {
            match effect {
                effect::QuotaEffect::Resolved { ticket, admission } => {
                    self.resolve(ticket, admission);
                }
                other => self.backlog.push(other),
            }
        }
        !self.backlog.is_empty()
    }

    /// Advances the manager to `now` and returns all effects to carry out.
    pub fn tick(&mut self, now: TimeStamp) -> Vec<effect::QuotaEffect> {
        let mut effects = std::mem::take(&mut self.backlog);
        effects.extend(
            self.manager
                .iter_mut()
                .flat_map(|manager| manager.tick(now)),
        );
        effects
    }

    /// Passes an admission to the request that waits for it. If that request has gone, a granted
    /// permit is lost to the customer until its bucket refills.
    pub fn resolve(&mut self, ticket: effect::WaitTicket, admission: effect::Admission) {
        if let Some(sender) = self.waiting.remove(&ticket) {
            let _unsent = sender.send(admission);
        }
    }
}

/// The immediate answer of the quota manager.
enum AdmitOutcome {
    Granted(effect::QuotaPermit),
    Waiting(PendingAdmission, limit::LimitKey),
}

/// A request that waits for quota.
struct PendingAdmission {
    ticket: effect::WaitTicket,
    receiver: oneshot::Receiver<effect::Admission>,
}

/// Cancels a waiting request when its future is dropped, as happens if the caller disconnects.
struct CancelGuard<'a> {
    quota: &'a SharedManager,
    limit: limit::LimitKey,
    ticket: Option<effect::WaitTicket>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let mut state = self.quota.lock();
        state.waiting.remove(&ticket);
        if let Some(manager) = state.manager.as_mut() {
            manager.cancel(self.limit, ticket);
        }
    }
}
