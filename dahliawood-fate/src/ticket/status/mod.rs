//! What a caller or an operator is told of a ticket.

use crate::verdict;

/// Who asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketAsker<'a> {
    /// A customer, by name; told of its own tickets only.
    Customer(&'a str),
    /// An operator.
    Operator,
}

/// Where a ticket's request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum TicketState {
    /// Not a ticket that this customer was issued.
    #[display("unknown")]
    Unknown,
    /// It has not begun and still may.
    #[display("not-begun")]
    NotBegun,
    /// It is with a target.
    #[display("running")]
    Running,
    /// It was answered.
    #[display("answered {status}")]
    Answered {
        /// HTTP status of the answer.
        status: u16,
    },
    /// It has ended without a whole answer.
    #[display("failed")]
    Failed,
    /// Its record, if there was one, is gone.
    #[display("forgotten")]
    Forgotten,
}

/// How a state is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum KnownBy {
    /// The VM that holds the ticket says so.
    #[display("holder")]
    Holder,
    /// The holder is gone; its journal says so.
    #[display("journal")]
    Journal,
    /// The holder is gone and its journal says nothing.
    #[display("holder-gone")]
    HolderGone,
}

/// What became of a ticket's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct TicketReport {
    /// Where it stands.
    #[serde(flatten)]
    pub state: TicketState,
    /// Whether the request may have run.
    pub ran: verdict::RunVerdict,
    /// How that is known.
    pub known_by: KnownBy,
}

impl TicketReport {
    /// What can be said where the holder is gone and its journal has nothing.
    pub fn holder_gone() -> Self {
        Self {
            state: TicketState::Forgotten,
            ran: verdict::RunVerdict::MayHaveRun,
            known_by: KnownBy::HolderGone,
        }
    }
}
