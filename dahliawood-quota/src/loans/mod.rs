//! Short loans of unspent tokens, and leases of whole shares, between VMs.
//!
//! A VM that runs out of tokens borrows some from a VM that has tokens left. The issuer of a rate
//! limit, which is its first responsive home, leases the whole shares of the other homes, so that a
//! small burst is held in one place.
//!
//! A lender subtracts the tokens before it answers. A loan ends at the borrower a fixed time after
//! the borrower *sent* its request, and at the lender that time after the lender *granted* it, so
//! the lender reuses the room only when the borrower can no longer spend the tokens. A lost message
//! costs allowance for one loan time; no lost, late or repeated message creates allowance.

pub mod borrowed;
pub mod forecast;
pub mod lease;
pub mod ledger;
