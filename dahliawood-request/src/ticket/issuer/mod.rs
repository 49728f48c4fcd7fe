//! Issues tickets and verifies those that this incarnation issued.

use super::{CODE_BYTES, RequestTicket, VmIncarnation, address_bytes};
use dahliawood_model::stamp;
use sha2::{Digest, Sha256};
use std::fmt;
use std::time::Duration;

/// Bytes of an issuer's secret.
pub const SECRET_BYTES: usize = 32;

/// Issues the tickets of one VM incarnation.
pub struct TicketIssuer {
    holder: VmIncarnation,
    secret: [u8; SECRET_BYTES],
    serial: u64,
}

impl fmt::Debug for TicketIssuer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("TicketIssuer")
            .field("holder", &self.holder)
            .finish_non_exhaustive()
    }
}

impl TicketIssuer {
    /// An issuer; `secret` must be random and unique to this incarnation.
    pub fn new(holder: VmIncarnation, secret: [u8; SECRET_BYTES]) -> Self {
        Self {
            holder,
            secret,
            serial: 0,
        }
    }

    /// The incarnation that holds the issued tickets.
    pub fn holder(&self) -> VmIncarnation {
        self.holder
    }

    /// Issues a ticket for `customer`; its request may start until `lifetime` from now.
    pub fn issue(
        &mut self,
        customer: &str,
        lifetime: Duration,
        now: stamp::TimeStamp,
    ) -> RequestTicket {
        self.serial += 1;
        let mut ticket = RequestTicket {
            holder: self.holder,
            not_after: now.after(lifetime),
            serial: self.serial,
            code: [0; CODE_BYTES],
        };
        ticket.code = self.code(&ticket, customer);
        ticket
    }

    /// Whether this incarnation issued the ticket to `customer`.
    pub fn issued(&self, ticket: &RequestTicket, customer: &str) -> bool {
        let code = self.code(ticket, customer);
        let differing = code
            .iter()
            .zip(ticket.code)
            .fold(0, |differing, (ours, theirs)| differing | (ours ^ theirs));
        ticket.holder == self.holder && differing == 0
    }

    /// The authentication code: a keyed SHA-256 digest with the secret at both ends. Parts of
    /// variable length are prefixed with their length.
    fn code(&self, ticket: &RequestTicket, customer: &str) -> [u8; CODE_BYTES] {
        let address = address_bytes(ticket.holder.address);
        let mut hasher = Sha256::new();
        hasher.update(self.secret);
        for part in [&address[..], customer.as_bytes()] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(ticket.holder.incarnation.to_be_bytes());
        hasher.update(ticket.not_after.as_micros().to_be_bytes());
        hasher.update(ticket.serial.to_be_bytes());
        hasher.update(self.secret);
        let digest = hasher.finalize();
        std::array::from_fn(|index| digest[index])
    }
}
