//! A single HTTP call over a new connection; for the command line, the testkit and tests.

pub mod error;

use crate::client;
use async_std::future as timed;
use async_std::net::TcpStream;
use error::{BodySnafu, CallError, ConnectSnafu, ExchangeSnafu};
use futures::io::AsyncReadExt;
use http_types::headers::{HeaderName, HeaderValue};
use http_types::{Method, Request, Url};
use snafu::ResultExt;
use std::str::FromStr;
use std::time::Duration;

/// An HTTP call.
#[derive(Clone, Debug)]
pub struct CallOptions<'a> {
    /// Method in upper case.
    pub method: &'a str,
    /// Absolute URL with the scheme `http`.
    pub url: &'a str,
    /// Header names and values.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body.
    pub body: &'a str,
    /// Maximum time for the whole call.
    pub deadline: Duration,
}

impl<'a> CallOptions<'a> {
    /// A call without headers and body, with a deadline of ten seconds.
    pub fn new(method: &'a str, url: &'a str) -> Self {
        Self {
            method,
            url,
            headers: &[],
            body: "",
            deadline: Duration::from_secs(10),
        }
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// HTTP status.
    pub status: u16,
    /// Header names in lower case with their values; one entry per value.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl CallOutcome {
    /// The first value of a header, whose `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header == name)
            .map(|(_, value)| value.as_str())
    }

    /// The body as text.
    pub fn text(&self) -> std::borrow::Cow<'_, str> {
        String::from_utf8_lossy(&self.body)
    }
}

/// Makes a call and waits for the complete response.
///
/// # Errors
/// The call is invalid, or no complete response was received within the deadline.
pub async fn call(options: &CallOptions<'_>) -> Result<CallOutcome, CallError> {
    let request = request(options)?;
    timed::timeout(options.deadline, Box::pin(run(request, options.deadline)))
        .await
        .unwrap_or(Err(CallError::Deadline))
}

async fn run(request: Request, deadline: Duration) -> Result<CallOutcome, CallError> {
    let address = address(request.url())?;
    let stream = TcpStream::connect(&*address)
        .await
        .context(ConnectSnafu { address: &*address })?;
    stream
        .set_nodelay(true)
        .context(ConnectSnafu { address: &*address })?;
    let options = client::ExchangeOptions {
        response_timeout: deadline,
        stall_timeout: deadline,
        ..client::ExchangeOptions::default()
    };
    let exchanged = client::exchange(stream, request, &options, |_| {}).await;
    let mut response = exchanged.context(ExchangeSnafu)?.response;
    let mut body = Vec::new();
    response.read_to_end(&mut body).await.context(BodySnafu)?;
    let headers = response
        .iter()
        .flat_map(|(name, values)| values.iter().map(move |value| (name, value)))
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect();
    Ok(CallOutcome {
        status: response.status().into(),
        headers,
        body,
    })
}

fn request(options: &CallOptions<'_>) -> Result<Request, CallError> {
    let method = Method::from_str(options.method).map_err(|error| invalid(&error))?;
    let url = Url::parse(options.url).map_err(|error| invalid(&error))?;
    let mut request = Request::new(method, url);
    request.set_body(options.body);
    for (name, value) in options.headers {
        let name = HeaderName::from_str(name).map_err(|error| invalid(&error))?;
        let value = HeaderValue::from_str(value).map_err(|error| invalid(&error))?;
        request.append_header(name, value);
    }
    request.insert_header("connection", "close");
    Ok(request)
}

fn address(url: &Url) -> Result<String, CallError> {
    let port = url.port_or_known_default();
    match (url.scheme(), url.host_str(), port) {
        ("http", Some(host), Some(port)) => Ok(format!("{host}:{port}")),
        _ => Err(invalid("only http URLs with a host are supported")),
    }
}

fn invalid(reason: &(impl ToString + ?Sized)) -> CallError {
    CallError::Invalid {
        reason: reason.to_string(),
    }
}
