//! What each service may spend on second tries.
//!
//! Budgets are this VM's own: each VM of the fleet counts the first tries that it makes itself.
//! They start full, and start anew where the operators change a service's share. They go by the
//! service's key, so that a file which reorders services passes a balance on to another service.

use dahliawood_fate::retry;
use dahliawood_model::FastMap;
use dahliawood_model::keys::ServiceKey;
use std::sync::{Mutex, PoisonError};

/// Retries that a service may spend at once after a quiet time.
const RETRY_BURST: u32 = 20;

/// The budgets of all services.
#[derive(Debug, Default)]
pub struct BudgetTable {
    budgets: Mutex<FastMap<ServiceKey, ServiceBudget>>,
}

/// The budget of one service, and the share it was made for.
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
    /// Runs `change` on a service's budget; `percent` is its share in the file in force. Held for
    /// microseconds only.
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
