//! The bytes of a target's responses.

use crate::instance::InstanceState;
use dahliawood_wire::raw::fields::FieldList;
use dahliawood_wire::raw::write;

/// The header fields by which a target tells of itself in each response.
pub(super) fn statements(state: &InstanceState) -> FieldList {
    let mut fields = FieldList::default();
    if let Some(limit) = state.stated_limit {
        fields.push("Server-Limit", limit.to_string());
    }
    if state.is_leaving {
        fields.push("Server-Leaving", "1");
    }
    fields
}

/// A refusal that says that the request has not run.
pub(super) fn not_executed(status: u16, attempt: Option<&str>, state: &InstanceState) -> Vec<u8> {
    let mut fields = statements(state);
    if let Some(attempt) = attempt {
        fields.push("X-Dahliawood-Attempt-Id", attempt);
    }
    fields.push("X-Dahliawood-Not-Executed", "1");
    if let (503, Some(pause)) = (status, &state.pause) {
        fields.push("Retry-After", pause.clone());
    }
    write::response(status, &fields, b"", false)
}

/// A response without a body whose head announces one.
pub(super) fn with_missing_body(response: &[u8], length: usize) -> Vec<u8> {
    let text = String::from_utf8_lossy(response);
    text.replace("Content-Length: 0", &format!("Content-Length: {length}"))
        .into_bytes()
}

/// A response whose end is that of its connection.
pub(super) fn without_content_length(response: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(response);
    let lines = text.split("\r\n");
    let kept: Vec<&str> = lines
        .filter(|line| !line.starts_with("Content-Length"))
        .collect();
    kept.join("\r\n").into_bytes()
}
