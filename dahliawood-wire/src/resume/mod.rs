//! Large answers that go on from another target where the first one breaks off.
//!
//! An answer can be resumed where its target gave a length and a strong validator: the rest is
//! asked for with `Range` and `If-Range`, and taken only where the answer is exactly that rest of
//! the same representation. Otherwise the body fails as it would without this module.

use crate::body;
use futures::future::BoxFuture;
use futures::io::AsyncRead;
use http_types::headers::{ACCEPT_RANGES, CONTENT_RANGE, ETAG, IF_RANGE};
use http_types::{Body, Method, Request, Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll, ready};

/// What of an answer is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumeRange {
    /// The first missing byte.
    pub from: usize,
    /// Bytes of the whole representation.
    pub total: usize,
    /// Its strong validator.
    pub validator: String,
}

impl ResumeRange {
    /// Makes a request ask for the missing bytes only.
    pub fn apply_to(&self, request: &mut Request) {
        request.insert_header("range", format!("bytes={}-", self.from));
        request.insert_header(IF_RANGE, &*self.validator);
    }

    /// Whether an answer is exactly what is missing.
    fn matches_response(&self, response: &Response) -> bool {
        let expected = format!("bytes {}-{}/{}", self.from, self.total - 1, self.total);
        response.status() == StatusCode::PartialContent
            && header(response, &CONTENT_RANGE) == Some(&expected)
            && header(response, &ETAG) == Some(&self.validator)
            && response.len() == Some(self.total - self.from)
    }
}

/// Asks another target for what is missing; `None` where none can be asked.
pub type RangeFetch =
    Box<dyn Fn(ResumeRange) -> BoxFuture<'static, Option<Response>> + Send + Sync>;

/// Makes the body of an answer to `method` go on from where it breaks off, `max_retries` times at most.
///
/// `request_ranged` says whether the caller itself asked for a range; such an answer, and one that
/// cannot be resumed, is returned as it is. `fetch` is where a retry budget is spent.
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

/// All of an answer that can be resumed.
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
    /// The error is reported where nobody can go on.
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
                    let answer = ready!(fetching.as_mut().poll(context));
                    match answer.filter(|answer| this.range.matches_response(answer)) {
                        Some(mut answer) => this.state = ResumeState::Reading(answer.take_body()),
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
