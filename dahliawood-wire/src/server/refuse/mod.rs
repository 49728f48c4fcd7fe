//! Refusals of requests that no handler sees.

use super::error::ConnectionError;
use super::{CallerConnection, ConnectionEnd, Step};
use crate::{problem, stream};
use dahliawood_fate::verdict;
use http_types::headers::CONNECTION;
use http_types::{Method, StatusCode};

impl<IO: stream::WireStream> CallerConnection<'_, IO> {
    /// Answers with a problem document and ends the connection: where the next request begins is
    /// not known.
    pub(super) async fn refuse(
        &mut self,
        status: StatusCode,
        detail: &str,
    ) -> Result<Step, ConnectionError> {
        let document = problem::ProblemDocument {
            name: name(status),
            status,
            title: status.canonical_reason(),
            detail: detail.to_owned(),
            ran: verdict::RunVerdict::NotRun,
            retry_after: None,
        };
        let mut response = document.into_response();
        response.insert_header(CONNECTION, "close");
        let written = self.write(response, Method::Get).await;
        if let Err(error) = written {
            log::trace!("a refusal was not written: {error}");
        }
        Ok(Step::End(ConnectionEnd::Refused(status)))
    }
}

fn name(status: StatusCode) -> &'static str {
    match status {
        StatusCode::RequestHeaderFieldsTooLarge => "head-too-large",
        StatusCode::RequestTimeout => "head-timeout",
        StatusCode::NotImplemented => "unknown-encoding",
        StatusCode::ExpectationFailed => "unknown-expectation",
        _ => "malformed-request",
    }
}
