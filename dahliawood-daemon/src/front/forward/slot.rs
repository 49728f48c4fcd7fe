//! Acquires a slot at a target for one attempt; waits in the service's queue if a slot can become
//! free in time.

use crate::front::flight::TargetFlight;
use crate::front::refusal::RefusalCause;
use crate::waiters::WaitingRequest;
use crate::{clock, shared, slots};
use async_std::future::timeout;
use dahliawood_model::keys::{CustomerKey, ServiceKey, TargetKey};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_model::tables;
use dahliawood_quota::limit;
use dahliawood_steer::queue;
use futures::channel::oneshot;
use futures::future::{self, Either};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// Pause between two loan requests for one waiting request after a loan was granted.
const LOAN_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// An attempt that needs a slot.
pub struct AttemptQuery<'a> {
    /// The configuration in force.
    pub config: &'a tables::FleetConfig,
    /// The service of the request.
    pub service: ServiceKey,
    /// The customer of the request, `None` on an open route.
    pub customer: Option<CustomerKey>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Targets at which the request was attempted before.
    pub tried: &'a [TargetKey],
    /// The deadline of the request.
    pub deadline: TimeStamp,
}

/// Acquires a slot.
///
/// If other requests wait for the service, the request is queued behind those of its customer.
///
/// # Errors
/// Fails at once if no target can be used or the wait cannot end before the deadline.
pub async fn acquire(
    shared: &Arc<shared::SharedState>,
    query: &AttemptQuery<'_>,
) -> Result<TargetFlight, RefusalCause> {
    let wanted = match slots::acquire(shared, query.config, query.slot_query()) {
        Ok(slots::SlotOutcome::Acquired(flight)) => return Ok(flight),
        Ok(slots::SlotOutcome::Busy { wanted, .. }) => wanted,
        Err(cause) => return Err(cause),
    };
    let (sender, receiver) = oneshot::channel();
    slots::enqueue(shared, query.service, query.wait_entry(sender))?;
    let receiver = pin!(receiver);
    let loans = pin!(request_loans(shared, query, wanted));
    let wait = future::select(receiver, loans);
    let remaining = query.deadline.since(clock::now());
    match timeout(remaining, wait).await {
        Ok(Either::Left((Ok(result), _))) => result,
        _ => Err(RefusalCause::Busy(queue::SHORTEST_RETRY)),
    }
}

/// Requests loans of a target's slot for as long as this future is polled. A loan that arrives goes
/// to the next request in the queue, which need not be this one.
async fn request_loans(
    shared: &Arc<shared::SharedState>,
    query: &AttemptQuery<'_>,
    wanted: TargetKey,
) {
    let name = limit::slots_name(&query.config.targets[wanted]);
    if query.deadline > clock::now().after(shared.quota.max_loan_time() * 4 / 3) {
        // Even the longest loan would not last for three quarters of the remaining time, so the
        // request waits for one of this VM's own slots.
        return future::pending().await;
    }
    loop {
        match shared
            .quota
            .admit(&name, query.deadline, clock::now())
            .await
        {
            Ok(permit) => {
                shared.quota.release(permit, clock::now());
                slots::tick(shared);
                // If the slot is free but the choice does not use it, the next loan request would
                // be granted at once; the pause prevents a busy loop.
                async_std::task::sleep(LOAN_RETRY_PAUSE).await;
            }
            Err(retry_after) => async_std::task::sleep(retry_after).await,
        }
    }
}

impl AttemptQuery<'_> {
    /// The query for a slot that is free now.
    pub fn slot_query(&self) -> slots::SlotQuery<'_> {
        slots::SlotQuery {
            service: self.service,
            tried: self.tried,
            is_idempotent: self.is_idempotent,
            deadline: self.deadline,
        }
    }

    fn wait_entry(
        &self,
        sender: oneshot::Sender<crate::waiters::SlotResult>,
    ) -> queue::WaitEntry<WaitingRequest> {
        let weight = self
            .customer
            .map_or(1, |customer| self.config.customers[customer].weight);
        let item = WaitingRequest {
            tried: self.tried.to_vec(),
            is_idempotent: self.is_idempotent,
            sender,
        };
        queue::WaitEntry {
            customer: self.customer,
            weight,
            deadline: self.deadline,
            item,
        }
    }
}
