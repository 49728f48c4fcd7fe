//! A limit on the bytes that all bodies being read take together.

use crate::raw::error::ReadError;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The bytes that bodies may take together.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
}

/// The part of a budget that one body has taken; dropping it gives the part back.
#[derive(Debug)]
pub struct BudgetShare<'a> {
    budget: &'a ByteBudget,
    bytes: usize,
}

impl ByteBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: AtomicUsize::new(0),
        }
    }

    /// Bytes that are taken.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// A share without bytes.
    pub fn share(&self) -> BudgetShare<'_> {
        BudgetShare {
            budget: self,
            bytes: 0,
        }
    }
}

impl BudgetShare<'_> {
    /// Takes as many bytes as are missing to `bytes`.
    ///
    /// # Errors
    /// Fails if the budget does not have them; the share stays as it is.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), ReadError> {
        let missing = bytes.saturating_sub(self.bytes);
        let limit = self.budget.limit;
        let grown = |used: usize| used.checked_add(missing).filter(|used| *used <= limit);
        let used = &self.budget.used;
        let taken = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grown);
        if taken.is_err() {
            return Err(ReadError::BudgetExhausted { limit });
        }
        self.bytes += missing;
        Ok(())
    }
}

impl Drop for BudgetShare<'_> {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
