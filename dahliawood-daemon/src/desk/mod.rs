//! The allowance book behind a short lock: traffic threads take from it, the control thread runs it.

use async_std::channel::{Receiver, Sender, TrySendError, bounded};
use dahliawood_model::FastMap;
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::manager::{self, effect};
use dahliawood_quota::{amount, limit, options};
use futures::channel::oneshot;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What a refused caller is told where the VM knows no share yet.
const RETRY_UNKNOWN: Duration = Duration::from_secs(1);

/// The book and who waits for its answers.
pub struct QuotaDesk {
    state: Mutex<DeskState>,
    nudge: Sender<()>,
    /// Wakes the control thread when a request waits.
    pub nudged: Receiver<()>,
}

/// What the lock holds.
#[derive(Default)]
pub struct DeskState {
    /// The book, `None` until a configuration is known.
    pub book: Option<manager::QuotaManager>,
    /// What the control thread still has to carry out.
    backlog: Vec<effect::QuotaEffect>,
    waiting: FastMap<effect::WaitTicket, oneshot::Sender<effect::Admission>>,
}

impl Default for QuotaDesk {
    fn default() -> Self {
        let (nudge, nudged) = bounded(1);
        Self {
            state: Mutex::default(),
            nudge,
            nudged,
        }
    }
}

impl QuotaDesk {
    /// The longest loan that any VM grants.
    pub fn longest_loan(&self) -> Duration {
        options::QuotaOptions::default().max_loan_time
    }

    /// The book and its waiters; held for microseconds only.
    pub fn lock(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an amount of a limit, such as bytes of a link, in the same way.
    ///
    /// # Errors
    /// Refused: when it may be worth another try.
    pub async fn admit_amount(
        &self,
        name: &str,
        amount: amount::TokenAmount,
        deadline: TimeStamp,
        now: TimeStamp,
    ) -> Result<effect::QuotaPermit, Duration> {
        let (wait, limit) = match self.ask(name, amount, deadline, now)? {
            AskOutcome::Granted(permit) => return Ok(permit),
            AskOutcome::Waiting(wait, limit) => (wait, limit),
        };
        let mut cancel = WaitGuard {
            desk: self,
            limit,
            ticket: Some(wait.ticket),
        };
        let admission = wait.receiver.await;
        cancel.ticket = None;
        match admission {
            Ok(effect::Admission::Granted(permit)) => Ok(permit),
            Ok(effect::Admission::Refused { retry_after }) => Err(retry_after),
            _ => Err(RETRY_UNKNOWN),
        }
    }

    /// Takes one unit of a limit, such as a request of a customer, waiting for a loan where that can
    /// come in time.
    ///
    /// # Errors
    /// Refused: when it may be worth another try.
    pub async fn admit(
        &self,
        name: &str,
        deadline: TimeStamp,
        now: TimeStamp,
    ) -> Result<effect::QuotaPermit, Duration> {
        self.admit_amount(name, amount::TokenAmount::ONE, deadline, now)
            .await
    }

    /// Takes one unit only where this VM has it at hand.
    pub fn try_admit(
        &self,
        name: &str,
        deadline: TimeStamp,
        now: TimeStamp,
    ) -> Option<effect::QuotaPermit> {
        let mut state = self.lock();
        let book = state.book.as_mut()?;
        let limit = book.limit(name)?;
        match book.admit(limit, deadline, now) {
            effect::Admission::Granted(permit) => Some(permit),
            effect::Admission::Waiting { ticket, .. } => {
                book.cancel(limit, ticket);
                None
            }
            effect::Admission::Refused { .. } => None,
        }
    }

    /// The part of its burst of a limit that this VM could take now, 0 to 1; 0 where it holds none.
    pub fn free_share(&self, name: &str, now: TimeStamp) -> f64 {
        let mut state = self.lock();
        let Some(book) = state.book.as_mut() else {
            return 0.0;
        };
        let Some(limit) = book.limit(name) else {
            return 0.0;
        };
        let burst = book.bucket(limit).burst().micros;
        if burst == 0 {
            return 0.0;
        }
        (book.available(limit, now).micros as f64 / burst as f64).min(1.0)
    }

    /// Gives back a unit of a count.
    pub fn release(&self, permit: effect::QuotaPermit, now: TimeStamp) {
        let has_backlog = self.lock().release(permit, now);
        if has_backlog {
            self.nudge();
        }
    }

    /// Wakes the control thread; one wake-up that is not yet taken is enough.
    pub fn nudge(&self) {
        if let Err(TrySendError::Closed(())) = self.nudge.try_send(()) {
            log::debug!("the control thread has ended");
        }
    }

    fn ask(
        &self,
        name: &str,
        amount: amount::TokenAmount,
        deadline: TimeStamp,
        now: TimeStamp,
    ) -> Result<AskOutcome, Duration> {
        let mut state = self.lock();
        let book = state.book.as_mut().ok_or(RETRY_UNKNOWN)?;
        let limit = book.limit(name).ok_or(RETRY_UNKNOWN)?;
        match book.admit_amount(limit, amount, deadline, now) {
            effect::Admission::Granted(permit) => Ok(AskOutcome::Granted(permit)),
            effect::Admission::Refused { retry_after } => Err(retry_after),
            effect::Admission::Waiting { ticket, .. } => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                drop(state);
                self.nudge();
                Ok(AskOutcome::Waiting(TicketWait { ticket, receiver }, limit))
            }
        }
    }
}

impl DeskState {
    /// Gives back a unit of a count; who is served by it is told at once, the rest is left to the
    /// control thread. Says whether there is something left to it.
    fn release(&mut self, permit: effect::QuotaPermit, now: TimeStamp) -> bool {
        let Some(book) = self.book.as_mut() else {
            return false;
        };
        for effect in book.release(permit, now) {
            match effect {
                effect::QuotaEffect::Resolved { ticket, admission } => {
                    self.resolve(ticket, admission);
                }
                other => self.backlog.push(other),
            }
        }
        !self.backlog.is_empty()
    }

    /// One step of the book, and what is to be carried out.
    pub fn tick(&mut self, now: TimeStamp) -> Vec<effect::QuotaEffect> {
        let mut effects = std::mem::take(&mut self.backlog);
        effects.extend(self.book.iter_mut().flat_map(|book| book.tick(now)));
        effects
    }

    /// Passes on the answer to a request that waits; a grant that nobody takes any more is lost to
    /// the customer until its bucket refills.
    pub fn resolve(&mut self, ticket: effect::WaitTicket, admission: effect::Admission) {
        if let Some(sender) = self.waiting.remove(&ticket) {
            let _left = sender.send(admission);
        }
    }
}

/// What the book answered at once.
enum AskOutcome {
    Granted(effect::QuotaPermit),
    Waiting(TicketWait, limit::LimitKey),
}

/// A request that waits for allowance.
struct TicketWait {
    ticket: effect::WaitTicket,
    receiver: oneshot::Receiver<effect::Admission>,
}

/// Cancels a wait whose caller has gone.
struct WaitGuard<'a> {
    desk: &'a QuotaDesk,
    limit: limit::LimitKey,
    ticket: Option<effect::WaitTicket>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let mut state = self.desk.lock();
        state.waiting.remove(&ticket);
        if let Some(book) = state.book.as_mut() {
            book.cancel(self.limit, ticket);
        }
    }
}
