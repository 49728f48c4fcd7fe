//! Resumes a large response body from another target if the first target's body is interrupted.
//!
//! A response can be resumed if it declares a length and a strong validator. The missing bytes are
//! requested with `Range` and `If-Range`, and the partial response is used only if it contains
//! exactly the missing bytes of the same representation. Otherwise the body fails with the error
//! that interrupted it.

use crate::body;
use futures::future::BoxFuture;
use futures::io::AsyncRead;
use http_types::headers::{ACCEPT_RANGES, CONTENT_RANGE, ETAG, IF_RANGE};
use http_types::{Body, Method, Request, Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll, ready};

/// The missing part of a response body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumeRange {
    /// Offset of the first missing byte.
    pub from: usize,
    /// Length of the complete representation, in bytes.
    pub total: usize,
    /// The strong validator of the representation (its `ETag`).
    pub validator: String,
}

impl ResumeRange {
    /// Adds the headers that limit a request to the missing bytes.
    pub fn apply_to(&self, request: &mut Request) {
        request.insert_header("range", format!("bytes={}-", self.from));
        request.insert_header(IF_RANGE, &*self.validator);
    }

    /// Whether a response contains exactly the missing bytes.
    fn matches_response(&self, response: &Response) -> bool {
        let expected = format!("bytes {}-{}/{}", self.from, self.total - 1, self.total);
        response.status() == StatusCode::PartialContent
            && header(response, &CONTENT_RANGE) == Some(&expected)
            && header(response, &ETAG) == Some(&self.validator)
            && response.len() == Some(self.total - self.from)
    }
}

/// Requests the missing bytes from another target; `None` if that is not possible.
pub type RangeFetch =
    Box<dyn Fn(ResumeRange) -> BoxFuture<'static, Option<Response>> + Send + Sync>;

/// Makes the body of the response to `method` resume after an interruption, at most `max_retries`
/// times.
///
/// `request_ranged` states whether the caller itself requested a range; the response to such a
/// request, and any response that cannot be resumed, is returned unchanged. `fetch` is responsible
/// for spending a retry budget.
pub fn resumable(
    mut response: Response,
    method: Method,
    request_ranged: bool,
    max_retries: u32,
    fetch: RangeFetch,
) -> Response {
    let Some(range) = whole_range(&response).filter(|_| method == Method::Get && !request_ranged)
    else {
        return response;
    };
    let total = range.total;
    body::replace(&mut response, |response| {
        let reader = ResumingReader {
            state: ResumeState::Reading(response.take_body()),
            range,
            retries_left: max_retries,
            fetch,
        };
        response.set_body(body::buffered(reader, Some(total)));
    });
    response
}

/// The range of the complete body; `None` if the response cannot be resumed.
fn whole_range(response: &Response) -> Option<ResumeRange> {
    let validator = header(response, &ETAG)?;
    let strong = validator.starts_with('"') && validator.ends_with('"') && validator.len() > 1;
    let refused = header(response, &ACCEPT_RANGES) == Some("none");
    if response.status() != StatusCode::Ok || !strong || refused {
        return None;
    }
    Some(ResumeRange {
        from: 0,
        total: response.len().filter(|total| *total > 0)?,
        validator: validator.to_owned(),
    })
}

fn header<'a>(response: &'a Response, name: &http_types::headers::HeaderName) -> Option<&'a str> {
    response.header(name).map(|values| values.as_str())
}

enum ResumeState {
    Reading(Body),
    /// Waits for the missing bytes; the error is reported if the body cannot be resumed.
    Fetching(Mutex<BoxFuture<'static, Option<Response>>>, io::ErrorKind),
}

struct ResumingReader {
    state: ResumeState,
    range: ResumeRange,
    retries_left: u32,
    fetch: RangeFetch,
}

impl AsyncRead for ResumingReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        loop {
            match &mut this.state {
                ResumeState::Reading(body) => {
                    match ready!(Pin::new(body).poll_read(context, output)) {
                        Ok(count) => {
                            this.range.from += count;
                            return Poll::Ready(Ok(count));
                        }
                        Err(error) if this.retries_left == 0 => return Poll::Ready(Err(error)),
                        Err(error) => this.fetch_rest(error.kind()),
                    }
                }
                ResumeState::Fetching(fetching, error) => {
                    let error = *error;
                    let fetching = fetching.get_mut().map_err(|_| io::Error::from(error))?;
                    let response = ready!(fetching.as_mut().poll(context));
                    match response.filter(|response| this.range.matches_response(response)) {
                        Some(mut part) => this.state = ResumeState::Reading(part.take_body()),
                        None if this.retries_left == 0 => return Poll::Ready(Err(error.into())),
                        None => this.fetch_rest(error),
                    }
                }
            }
        }
    }
}

impl ResumingReader {
    fn fetch_rest(&mut self, error: io::ErrorKind) {
        self.retries_left -= 1;
        let fetching = (self.fetch)(self.range.clone());
        self.state = ResumeState::Fetching(Mutex::new(fetching), error);
    }
}
