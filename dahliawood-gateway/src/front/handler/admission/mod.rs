//! Admits requests within their customers' limits, and gives back those that have not run.

use crate::clock;
use crate::forward::{RoutedRequest, RunProgress};
use crate::front::refusal::RefusalCause;
use crate::state::GatewayState;
use crate::structured_log::EventClass;
use async_std::future::timeout;
use dahliawood_model::catalog::{CatalogCustomer, FleetCatalog};
use dahliawood_model::stamp::TimeStamp;
use dahliawood_quota::usage_limit::{LimitTerms, UsageLimit};
use dahliawood_quota::window::CountedRequest;
use serde::Serialize;
use std::time::Duration;

/// The longest that a request waits for the coordinator's response.
const ALLOCATION_WAIT: Duration = Duration::from_millis(200);

/// Fraction of the tolerated excess over a limit that is handed out; the rest covers the moments in
/// which VMs have different configuration versions.
const SLACK_FRACTION: f64 = 0.5;

/// Log event for a customer's limit that was reached on this VM.
#[derive(Serialize)]
struct LimitEvent<'a> {
    customer: &'a str,
    rate: f64,
    burst: f64,
    /// The fraction of the limit that is allocated to this VM, without the even split.
    part: f64,
    /// Requests that this VM admits per window.
    most: f64,
    /// Requests that it admits at once.
    at_once: f64,
    /// Requests of the window that have run or are being served.
    counted: u32,
}

/// A request that its customer's limit counts. Gives the request back when it is dropped, if the
/// request has not run: it was refused, or its caller left before anything was sent.
pub struct AdmittedRequest<'a> {
    state: &'a GatewayState,
    customer: &'a str,
    counted: Option<CountedRequest>,
    progress: &'a RunProgress,
}

impl<'a> AdmittedRequest<'a> {
    /// A request that is about to be forwarded; `counted` is `None` if no limit counts it.
    pub fn new(
        state: &'a GatewayState,
        catalog: &'a FleetCatalog,
        routed: &RoutedRequest,
        counted: Option<CountedRequest>,
        progress: &'a RunProgress,
    ) -> Self {
        let customer = routed.customer;
        Self {
            state,
            customer: customer.map_or("", |key| &catalog.customers[key].name),
            counted,
            progress,
        }
    }
}

impl Drop for AdmittedRequest<'_> {
    fn drop(&mut self) {
        if !self.progress.has_not_run() {
            return;
        }
        let Some(counted) = self.counted.take() else {
            return;
        };
        let mut windows = self.state.windows();
        if windows.give_back(self.customer, counted, clock::now()) {
            self.state.metrics.given_back.inc();
        }
    }
}

/// Admits a request within this VM's allocation of the customer's limit; if that is used up, waits
/// once for the coordinator to be asked for more. Returns how the limit counts the request, `None`
/// if the customer has no limit.
///
/// # Errors
/// Fails if there is no room.
pub async fn admit(
    state: &GatewayState,
    customer: &CatalogCustomer,
    arrived: TimeStamp,
) -> Result<Option<CountedRequest>, RefusalCause> {
    if customer.rate <= 0.0 {
        return Ok(None);
    }
    let name = &customer.name;
    let limit = local_limit(state, customer, arrived);
    let mut admitted = state.windows().admit(name, &limit, arrived);
    if admitted.is_err()
        && let Some(resumed) = state.admission_queue.enqueue(name, arrived)
    {
        // Whether the coordinator gave more shows in the allocation that this VM holds now.
        let _resumed = timeout(ALLOCATION_WAIT, resumed).await;
        let now = clock::now();
        let limit = local_limit(state, customer, now);
        admitted = state.windows().admit_again(name, &limit, arrived, now);
        if admitted.is_err() {
            state.admission_queue.mark_exhausted(name, now);
        }
    }
    let admitted = admitted.map_err(|_| refuse(state, customer));
    admitted.map(Some)
}

fn refuse(state: &GatewayState, customer: &CatalogCustomer) -> RefusalCause {
    let now = clock::now();
    let part = state.allocations().held(&customer.name, now);
    let most = local_limit(state, customer, now);
    let mut windows = state.windows();
    let counted = windows.admitted(&customer.name, now);
    let wait = windows.next_return(&customer.name, &most, now);
    drop(windows);
    let event = || LimitEvent {
        customer: &customer.name,
        rate: customer.rate,
        burst: customer.burst,
        part,
        most: most.per_window,
        at_once: most.at_once,
        counted,
    };
    state.log.write(EventClass::Notable, "limit", event);
    RefusalCause::OverLimit(wait)
}

/// Requests of a customer that all VMs together may admit.
pub fn fleet_limit(state: &GatewayState, customer: &CatalogCustomer) -> UsageLimit {
    let bounds = &state.settings.bounds;
    let owed = customer.rate * bounds.quota_window.as_secs_f64() + customer.burst;
    UsageLimit::new(&LimitTerms {
        rate: customer.rate,
        burst: customer.burst,
        window: bounds.quota_window,
        extra: bounds.quota_slack * SLACK_FRACTION,
        most: owed * (1.0 + bounds.quota_overage) + bounds.quota_slack,
        vms: state.location().fleet_sharers.count(),
    })
}

/// Requests of a customer that this VM may admit.
fn local_limit(state: &GatewayState, customer: &CatalogCustomer, now: TimeStamp) -> UsageLimit {
    let even = state.even_fraction();
    let fraction = state.allocations().usable(&customer.name, even, now);
    fleet_limit(state, customer).part(fraction, even)
}
