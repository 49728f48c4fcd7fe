//! Client of the operators' API: tries the configured VMs in order and uses the first that answers.

use crate::args::OperatorArgs;
use crate::exit::CommandFailure;
use dahliawood_wire::one_shot;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Deadline of one call, in addition to the time that the VM may wait before it answers.
const CALL_DEADLINE: Duration = Duration::from_secs(5);

/// A call to the operators' API.
#[derive(Clone, Copy, Debug)]
pub struct OperatorCall<'a> {
    /// HTTP method in upper case.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Request body.
    pub body: &'a str,
    /// How long the VM itself may wait before it answers.
    pub wait: Duration,
}

impl<'a> OperatorCall<'a> {
    /// A GET call.
    pub fn get(path: &'a str) -> Self {
        Self {
            method: "GET",
            path,
            body: "",
            wait: Duration::ZERO,
        }
    }
}

/// Sends a GET request to the VMs in order, until one answers.
///
/// # Errors
/// Fails if no VM answers.
pub async fn get(
    operator: &OperatorArgs,
    path: &str,
) -> Result<one_shot::CallOutcome, CommandFailure> {
    let mut failures = Vec::new();
    for address in operator.addresses.split(',').map(str::trim) {
        match call(address, OperatorCall::get(path)).await {
            Ok(outcome) => return Ok(outcome),
            Err(error) => failures.push(format!("{address}: {error}")),
        }
    }
    Err(CommandFailure::Unreachable(format!(
        "no VM answers: {}",
        failures.join("; ")
    )))
}

/// Sends a GET request to the VMs in order, until one answers, and parses the JSON in the response.
///
/// # Errors
/// Fails if no VM answers, if the status is not 200, or if the body is not a `T`.
pub async fn get_json<T: DeserializeOwned>(
    operator: &OperatorArgs,
    path: &str,
) -> Result<T, CommandFailure> {
    let outcome = get(operator, path).await?;
    if outcome.status != 200 {
        let text = outcome.text();
        return Err(CommandFailure::Unreachable(format!(
            "{}: {text}",
            outcome.status
        )));
    }
    parse(&outcome)
}

/// Parses the JSON body of a response.
///
/// # Errors
/// Fails if the body is not a `T`.
pub fn parse<T: DeserializeOwned>(outcome: &one_shot::CallOutcome) -> Result<T, CommandFailure> {
    let failed = |error| CommandFailure::Unreachable(format!("unexpected response: {error}"));
    serde_json::from_slice(&outcome.body).map_err(failed)
}

/// Sends one request to the VM at `address`.
///
/// # Errors
/// Fails if there is no complete response before the deadline.
pub async fn call(
    address: &str,
    call: OperatorCall<'_>,
) -> Result<one_shot::CallOutcome, one_shot::error::CallError> {
    let url = format!("http://{address}{}", call.path);
    let options = one_shot::CallOptions {
        body: call.body,
        deadline: CALL_DEADLINE + call.wait,
        ..one_shot::CallOptions::new(call.method, &url)
    };
    one_shot::call(&options).await
}
