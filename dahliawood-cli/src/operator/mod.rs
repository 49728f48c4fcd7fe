//! Calls to the operators' API of the fleet: the first VM that answers is used.

use crate::args::OperatorArgs;
use crate::exit::CommandFailure;
use dahliawood_wire::one_shot;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// The most that one call may take beyond what the call itself waits for.
const CALL_DEADLINE: Duration = Duration::from_secs(5);

/// A call to the operators' API.
#[derive(Clone, Copy, Debug)]
pub struct OperatorCall<'a> {
    /// Method in upper case.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Body.
    pub body: &'a str,
    /// How long the VM itself may wait before it answers.
    pub wait: Duration,
}

impl<'a> OperatorCall<'a> {
    /// A call that reads.
    pub fn get(path: &'a str) -> Self {
        Self {
            method: "GET",
            path,
            body: "",
            wait: Duration::ZERO,
        }
    }
}

/// Reads from the first VM that answers.
///
/// # Errors
/// Fails where none answers.
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

/// Reads JSON from the first VM that answers.
///
/// # Errors
/// Fails where none answers, or the answer is another than expected.
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

/// Reads an answer's JSON.
///
/// # Errors
/// Fails where it is another than expected.
pub fn parse<T: DeserializeOwned>(outcome: &one_shot::CallOutcome) -> Result<T, CommandFailure> {
    let failed = |error| CommandFailure::Unreachable(format!("an unexpected answer: {error}"));
    serde_json::from_slice(&outcome.body).map_err(failed)
}

/// Calls one VM.
///
/// # Errors
/// Fails where it gives no whole answer in time.
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
