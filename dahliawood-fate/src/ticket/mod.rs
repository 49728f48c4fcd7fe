//! Tickets: a non-idempotent request that carries one runs at most once, whoever re-sends it.
//!
//! A ticket names the only VM incarnation that may run its request. That VM keeps a record from
//! before the dispatch until after the ticket has expired; any other VM forwards a request with the
//! ticket there. Once the incarnation is gone the ticket never runs again, and what became of it is
//! its journalled outcome or a true "may have run".
//!
//! Issuing costs no memory: a ticket carries an authentication code over its own parts and its
//! customer's name, with a secret that its VM never tells.

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

/// What every ticket begins with.
const PREFIX: &str = "dw1";
/// Bytes of an authentication code.
pub const CODE_BYTES: usize = 16;
/// Bytes of a port.
const PORT_BYTES: usize = 2;

/// One life of the daemon at one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VmIncarnation {
    /// Where it serves callers and its peers reach it.
    pub address: SocketAddr,
    /// Differs between any two daemons that ever serve at the address.
    pub incarnation: u64,
}

/// A ticket for one non-idempotent request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestTicket {
    /// The only VM incarnation that may run the request.
    pub holder: VmIncarnation,
    /// The last moment at which the request may begin to run, by the holder's clock.
    pub not_after: stamp::TimeStamp,
    /// Differs between any two tickets of a holder.
    pub serial: u64,
    /// Authenticates the other parts and the customer.
    pub code: [u8; CODE_BYTES],
}

impl RequestTicket {
    /// Reads a ticket from an `Idempotency-Key` field, with or without its quotes.
    ///
    /// # Errors
    /// The text is no ticket.
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

/// Where a request with a ticket, or a question about one, goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketRoute {
    /// This VM holds it.
    Here,
    /// Another VM holds it.
    Forward(SocketAddr),
    /// Its holder is gone: only the journal can tell, and it never runs again.
    Journal,
}

/// What is known of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderPresence {
    /// It may still be there. Silence alone does not show that it is not.
    Possible,
    /// It is gone for good: another incarnation serves at its address, or the list of VMs has been
    /// without it for long enough.
    Gone,
}

/// Where a request with `ticket`, or a question about it, goes from the VM `own`.
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
