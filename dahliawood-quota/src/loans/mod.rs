//! Short loans of unspent allowance, and leases of whole shares, between VMs.
//!
//! A lender subtracts before it answers. A loan ends at the borrower a fixed time after the
//! borrower *sent* its ask, and at the lender that time after it *granted*, so the lender has it
//! back only when it can no longer be used. A lost message costs allowance for one loan time; none
//! creates any.

pub mod borrowed;
pub mod forecast;
pub mod lease;
pub mod ledger;
