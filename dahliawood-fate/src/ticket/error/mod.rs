//! Errors of tickets.

/// The text is no ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum TicketError {
    /// It does not have a ticket's parts.
    #[snafu(display("a ticket is `dw1-` and five hexadecimal parts joined by hyphens"))]
    Shape,
    /// One of its parts is no hexadecimal number of the right length.
    #[snafu(display("a part of the ticket is not hexadecimal or has a wrong length"))]
    Part,
}
