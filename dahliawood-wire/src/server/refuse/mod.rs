//! Error responses that the server loop sends itself, without a response from the handler.

use super::error::{ConnectionError, ResponseTruncatedSnafu};
use super::{CallerConnection, ConnectionEnd, Step};
use crate::{problem, stream};
use dahliawood_request::verdict;
use http_types::headers::CONNECTION;
use http_types::{Method, StatusCode};
use snafu::ResultExt;
use std::sync::atomic::Ordering;

impl<IO: stream::WireStream> CallerConnection<'_, IO> {
    /// Responds with a problem document and ends the connection, because the start of the next
    /// request is unknown.
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
            log::trace!("writing an error response failed: {error}");
        }
        Ok(Step::End(ConnectionEnd::Refused(status)))
    }

    /// Ends a response that could not be written in full.
    ///
    /// If its body failed before any byte was written, the caller receives a problem document
    /// instead. Otherwise the connection ends inside the response, so that the caller detects the
    /// truncation.
    pub(super) async fn fail_response(
        &mut self,
        source: stream::TransferError,
    ) -> Result<Step, ConnectionError> {
        let not_begun = self.written.load(Ordering::Relaxed) == 0;
        if !not_begun || !matches!(source, stream::TransferError::Body { .. }) {
            return Err(ConnectionError::ResponseTruncated { source });
        }
        let document = problem::ProblemDocument {
            name: "answer-cut",
            status: StatusCode::BadGateway,
            title: "The answer was cut",
            detail: "the target's answer ended before it was whole".to_owned(),
            ran: verdict::RunVerdict::MayHaveRun,
            retry_after: None,
        };
        let mut response = document.into_response();
        response.insert_header(CONNECTION, "close");
        let written = self.write(response, Method::Get).await;
        written.context(ResponseTruncatedSnafu)?;
        Ok(Step::End(ConnectionEnd::Closed))
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
