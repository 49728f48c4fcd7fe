//! Tickets: a non-idempotent request with a ticket runs at most once, however often it is re-sent.
//!
//! A ticket names its holder, the only VM incarnation that may run the request. The holder keeps a
//! record from before the dispatch until after the ticket has expired; any other VM forwards a
//! request with the ticket to the holder. Once that incarnation is gone the request never runs
//! again: the report on it is the journaled outcome, or else "may have run".
//!
//! Issuing needs no memory: a ticket carries an authentication code over its parts and the
//! customer's name, keyed with a secret that never leaves the holder.

pub mod error;
pub mod issuer;
pub mod outcome;
pub mod status;
pub mod table;

use dahliawood_model::stamp;
use error::{PartSnafu, ShapeSnafu, TicketError};
use snafu::OptionExt;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

/// Prefix of every ticket.
const PREFIX: &str = "dw1";
/// Length of an authentication code, bytes.
pub const CODE_BYTES: usize = 16;
/// Length of a port, bytes.
const PORT_BYTES: usize = 2;

/// One run of the daemon at one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VmIncarnation {
    /// Address for callers and peers.
    pub address: SocketAddr,
    /// Incarnation number, unique among all runs of the daemon at the address.
    pub incarnation: u64,
}

/// A ticket for one non-idempotent request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestTicket {
    /// The only VM incarnation that may run the request.
    pub holder: VmIncarnation,
    /// Latest time at which the request may start, by the holder's clock.
    pub not_after: stamp::TimeStamp,
    /// Serial number, unique among the holder's tickets.
    pub serial: u64,
    /// Authenticates the other parts and the customer.
    pub code: [u8; CODE_BYTES],
}

impl RequestTicket {
    /// Parses a ticket from the value of an `Idempotency-Key` header, with or without quotes.
    ///
    /// # Errors
    /// The text is not a valid ticket.
    pub fn from_field(field: &str) -> Result<Self, TicketError> {
        let field = field.trim();
        field
            .strip_prefix('"')
            .and_then(|inner| inner.strip_suffix('"'))
            .unwrap_or(field)
            .parse()
    }
}

impl fmt::Display for RequestTicket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{PREFIX}-{}-{:016x}-{:016x}-{:016x}-{}",
            hex::encode(address_bytes(self.holder.address)),
            self.holder.incarnation,
            self.not_after.as_micros(),
            self.serial,
            hex::encode(self.code),
        )
    }
}

impl FromStr for RequestTicket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let mut parts = text.split('-');
        if parts.next() != Some(PREFIX) {
            return Err(TicketError::Shape);
        }
        let address = parse_address(parts.next().context(ShapeSnafu)?)?;
        let incarnation = parse_number(parts.next().context(ShapeSnafu)?)?;
        let not_after = parse_number(parts.next().context(ShapeSnafu)?)?;
        let serial = parse_number(parts.next().context(ShapeSnafu)?)?;
        let code = parse_bytes(parts.next().context(ShapeSnafu)?)?;
        if parts.next().is_some() {
            return Err(TicketError::Shape);
        }
        Ok(Self {
            holder: VmIncarnation {
                address,
                incarnation,
            },
            not_after: stamp::TimeStamp::from_micros(not_after),
            serial,
            code,
        })
    }
}

fn address_bytes(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

fn parse_address(text: &str) -> Result<SocketAddr, TicketError> {
    let bytes = hex::decode(text).ok().context(PartSnafu)?;
    let split = bytes.len().checked_sub(PORT_BYTES).context(PartSnafu)?;
    let (ip, port) = bytes.split_at(split);
    let ip = <[u8; 4]>::try_from(ip)
        .map(IpAddr::from)
        .or_else(|_| <[u8; 16]>::try_from(ip).map(IpAddr::from))
        .ok()
        .context(PartSnafu)?;
    Ok(SocketAddr::new(ip, u16::from_be_bytes([port[0], port[1]])))
}

fn parse_number(text: &str) -> Result<u64, TicketError> {
    parse_bytes(text).map(u64::from_be_bytes)
}

fn parse_bytes<const N: usize>(text: &str) -> Result<[u8; N], TicketError> {
    let mut bytes = [0; N];
    hex::decode_to_slice(text, &mut bytes)
        .map_err(drop)
        .ok()
        .context(PartSnafu)?;
    Ok(bytes)
}

/// Where to send a request with a ticket, or a query about one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketRoute {
    /// This VM is the holder.
    Here,
    /// Forward to the holder at this address.
    Forward(SocketAddr),
    /// The holder is gone: the request never runs again, and only the journal may have its outcome.
    Journal,
}

/// Whether a holder may still be running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderPresence {
    /// It may still be running; a holder that does not answer counts as possible.
    Possible,
    /// It is gone for good: another incarnation serves at its address, or it has been missing from
    /// the list of VMs for long enough.
    Gone,
}

/// Where the VM `own` sends a request with `ticket`, or a query about it.
pub fn route(
    ticket: &RequestTicket,
    own: VmIncarnation,
    presence: impl FnOnce(VmIncarnation) -> HolderPresence,
) -> TicketRoute {
    if ticket.holder == own {
        return TicketRoute::Here;
    }
    if ticket.holder.address == own.address {
        return TicketRoute::Journal;
    }
    match presence(ticket.holder) {
        HolderPresence::Possible => TicketRoute::Forward(ticket.holder.address),
        HolderPresence::Gone => TicketRoute::Journal,
    }
}
