//! Tests of the services' retry budgets.

use dahliawood_daemon::front::budget;
use dahliawood_model::keys::{ArenaKey, ServiceKey};
use dahliawood_request::retry;

/// Spends retries until the budget refuses one; returns the number spent.
fn spend_all(table: &budget::BudgetTable, service: ServiceKey, percent: u32) -> usize {
    let spend = || table.with(service, percent, retry::RetryBudget::spend);
    std::iter::repeat_with(spend)
        .take_while(|is_spent| *is_spent)
        .count()
}

#[test]
fn each_service_spends_its_own_retry_budget() {
    let table = budget::BudgetTable::default();
    let [first, second, third] = [0, 1, 2].map(ServiceKey::from_index);
    let burst = spend_all(&table, first, 10);
    assert!(burst > 0);
    (0..100).for_each(|_| table.with(first, 10, retry::RetryBudget::earn));
    assert_eq!(spend_all(&table, first, 10), 10);
    assert_eq!(spend_all(&table, second, 10), burst);
    assert_eq!(spend_all(&table, third, 0), 0);
}

#[test]
fn a_changed_retry_percent_applies_at_once() {
    let table = budget::BudgetTable::default();
    let service = ServiceKey::from_index(0);
    table.with(service, 10, retry::RetryBudget::earn);
    assert_eq!(spend_all(&table, service, 0), 0);
    assert!(spend_all(&table, service, 5) > 0);
}
