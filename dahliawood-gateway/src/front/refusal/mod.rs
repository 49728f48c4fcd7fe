//! Answers that the VM makes itself.

use dahliawood_wire::raw::fields::FieldList;
use std::time::Duration;

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrontAnswer {
    /// Its status.
    pub status: u16,
    /// Its fields, without framing.
    pub fields: FieldList,
    /// Its body.
    pub body: Vec<u8>,
}

/// When to come back to a VM that does not know what is declared yet.
const RETRY_UNKNOWN: Duration = Duration::from_millis(300);
/// When to come back where no target may serve.
const RETRY_NO_TARGET: Duration = Duration::from_millis(500);

/// Why the VM answers by itself.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum RefusalCause {
    /// Nothing is declared yet.
    #[display("nothing is declared yet")]
    Unknown,
    /// No route has the host and path.
    #[display("no route")]
    NoRoute,
    /// No key, or one that nobody holds.
    #[display("no valid key")]
    BadKey,
    /// The customer's limit is reached.
    #[display("over the customer's limit")]
    OverLimit(Duration),
    /// No target would start it in time.
    #[display("no target has room in time")]
    Busy(Duration),
    /// No target may serve it.
    #[display("no target may serve it")]
    NoTarget,
    /// The request is malformed.
    #[display("malformed: {_0}")]
    Malformed(String),
    /// Its head is too long.
    #[display("the head is too long")]
    HeadTooLong,
    /// Its body is too long.
    #[display("the body is too long")]
    BodyTooLong,
    /// It came too slowly.
    #[display("the request came too slowly")]
    TooSlow,
    /// A target may have run it and gave no whole answer.
    #[display("a target gave no whole answer")]
    Failed,
    /// A target may have run it and its time is over.
    #[display("no answer in time")]
    TimedOut,
}

impl RefusalCause {
    /// The status of the answer. 408, 421, 429 and 503 say that the request has not run.
    pub fn status(&self) -> u16 {
        match self {
            Self::Malformed(_) => 400,
            Self::BadKey => 401,
            Self::NoRoute => 404,
            Self::TooSlow => 408,
            Self::BodyTooLong => 413,
            Self::OverLimit(_) => 429,
            Self::HeadTooLong => 431,
            Self::Failed => 502,
            Self::Unknown | Self::Busy(_) | Self::NoTarget => 503,
            Self::TimedOut => 504,
        }
    }

    /// When the caller may come back.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::OverLimit(wait) | Self::Busy(wait) => Some(*wait),
            Self::Unknown => Some(RETRY_UNKNOWN),
            Self::NoTarget => Some(RETRY_NO_TARGET),
            _ => None,
        }
    }

    /// The answer.
    pub fn answer(&self) -> FrontAnswer {
        let mut fields = FieldList::default();
        fields.push("Content-Type", "text/plain");
        if let Some(wait) = self.retry_after() {
            fields.push("Retry-After", format!("{:.3}", wait.as_secs_f64()));
        }
        FrontAnswer {
            status: self.status(),
            fields,
            body: format!("{self}\n").into_bytes(),
        }
    }
}
