//! Retry budgets of the services.
//!
//! Budgets are local to a VM: each VM of the fleet counts only its own first attempts. A budget
//! starts full, and is reset to full when the operators change the service's retry percentage.
//! Budgets are indexed by `ServiceKey`, so a configuration file that reorders services passes the
//! balance of one service on to another.

use dahliawood_model::FastMap;
use dahliawood_model::keys::ServiceKey;
use dahliawood_request::retry;
use std::sync::{Mutex, PoisonError};

/// Number of retries that a service may make at once after a time without retries.
const RETRY_BURST: u32 = 20;

/// The retry budgets of all services.
#[derive(Debug, Default)]
pub struct BudgetTable {
    budgets: Mutex<FastMap<ServiceKey, ServiceBudget>>,
}

/// The retry budget of one service, and the retry percentage for which it was created.
#[derive(Debug)]
struct ServiceBudget {
    percent: u32,
    budget: retry::RetryBudget,
}

impl ServiceBudget {
    fn new(percent: u32) -> Self {
        Self {
            percent,
            budget: retry::RetryBudget::new(percent, RETRY_BURST),
        }
    }
}

impl BudgetTable {
    /// Runs `change` on a service's budget; `percent` is the service's retry percentage in the
    /// configuration in force. `change` runs under a lock and must take microseconds only.
    pub fn with<T>(
        &self,
        service: ServiceKey,
        percent: u32,
        change: impl FnOnce(&mut retry::RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = budgets
            .entry(service)
            .or_insert_with(|| ServiceBudget::new(percent));
        if entry.percent != percent {
            *entry = ServiceBudget::new(percent);
        }
        change(&mut entry.budget)
    }
}
