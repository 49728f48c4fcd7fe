//! Errors of tickets.

/// The text is not a valid ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum TicketError {
    /// The prefix or the number of parts is wrong.
    #[snafu(display("a ticket is `dw1-` and five hexadecimal parts joined by hyphens"))]
    Shape,
    /// A part is not hexadecimal or has the wrong length.
    #[snafu(display("a part of the ticket is not hexadecimal or has a wrong length"))]
    Part,
}
