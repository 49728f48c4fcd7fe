//! Status of a ticket as reported to callers and operators.

use crate::verdict;

/// Who asks for a ticket's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketAsker<'a> {
    /// A customer, by name; gets reports on its own tickets only.
    Customer(&'a str),
    /// An operator.
    Operator,
}

/// State of a ticket's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum TicketState {
    /// The ticket was not issued to this customer.
    #[display("unknown")]
    Unknown,
    /// The request has not started and still may.
    #[display("not-begun")]
    NotBegun,
    /// The request was dispatched and has not ended.
    #[display("running")]
    Running,
    /// A target answered the request.
    #[display("answered {status}")]
    Answered {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The request ended without a complete answer.
    #[display("failed")]
    Failed,
    /// There is no record, or no longer one.
    #[display("forgotten")]
    Forgotten,
}

/// Source of a reported state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum KnownBy {
    /// The ticket's holder.
    #[display("holder")]
    Holder,
    /// The journal of a holder that is gone.
    #[display("journal")]
    Journal,
    /// None: the holder is gone and its journal has no entry.
    #[display("holder-gone")]
    HolderGone,
}

/// Report on a ticket's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct TicketReport {
    /// State of the request.
    #[serde(flatten)]
    pub state: TicketState,
    /// Whether the request may have run.
    pub ran: verdict::RunVerdict,
    /// Source of the state.
    pub known_by: KnownBy,
}

impl TicketReport {
    /// The report if the holder is gone and its journal has no entry.
    pub fn holder_gone() -> Self {
        Self {
            state: TicketState::Forgotten,
            ran: verdict::RunVerdict::MayHaveRun,
            known_by: KnownBy::HolderGone,
        }
    }
}
