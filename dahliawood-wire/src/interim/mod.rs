//! Which informational responses (status 1xx) may come before a final one, for all readers.
//!
//! A client must be able to read them although it asked for none (RFC 9110, section 15.2). They have no
//! body (section 8.6): one that announces a body is no response, or the text of that body would be taken
//! for the next one.

/// The most informational responses before a final one.
pub const MAX_RESPONSES: u32 = 16;
/// Status of a change of protocol, which no client here asks for.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Whether a response with this status is an informational one, which is skipped.
///
/// # Errors
/// The response is informational and not one that may come; the error says why.
pub fn is_skipped(status: u16, announces_body: bool) -> Result<bool, &'static str> {
    match status {
        SWITCHING_PROTOCOLS => Err("an upgrade that was not asked for"),
        100..200 if announces_body => Err("an informational response that announces a body"),
        status => Ok((100..200).contains(&status)),
    }
}
