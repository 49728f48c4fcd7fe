//! The retry budgets of services.

use dahliawood_daemon::front::budget;
use dahliawood_fate::retry;
use dahliawood_model::keys::{ArenaKey, ServiceKey};

/// Retries that a service gets in a row.
fn drain(table: &budget::BudgetTable, service: ServiceKey, percent: u32) -> usize {
    let spend = || table.with(service, percent, retry::RetryBudget::spend);
    std::iter::repeat_with(spend)
        .take_while(|is_spent| *is_spent)
        .count()
}

#[test]
fn a_service_spends_its_share_and_no_other_one_s() {
    let table = budget::BudgetTable::default();
    let [first, second, third] = [0, 1, 2].map(ServiceKey::from_index);
    let burst = drain(&table, first, 10);
    assert!(burst > 0);
    (0..100).for_each(|_| table.with(first, 10, retry::RetryBudget::earn));
    assert_eq!(drain(&table, first, 10), 10);
    assert_eq!(drain(&table, second, 10), burst);
    assert_eq!(drain(&table, third, 0), 0);
}

#[test]
fn a_changed_share_holds_at_once() {
    let table = budget::BudgetTable::default();
    let service = ServiceKey::from_index(0);
    table.with(service, 10, retry::RetryBudget::earn);
    assert_eq!(drain(&table, service, 0), 0);
    assert!(drain(&table, service, 5) > 0);
}
