//! Requests that a VM which reaches no target has another VM send.
//!
//! Both ends run on the traffic thread. The decision which VM to ask is made by
//! `dahliawood_steer::reach::helper`.

pub mod incoming;
pub mod outgoing;

use dahliawood_peer::forward::message::FieldMessage;
use dahliawood_wire::raw::fields::FieldList;

/// The longest body of a request or response that is forwarded, bytes.
pub const BODY_BYTES: usize = 32 << 20;

/// Header fields as they are sent to another VM.
pub fn encode_fields(fields: &FieldList) -> Vec<FieldMessage> {
    let fields = fields.iter().map(|field| FieldMessage {
        name: field.name.clone(),
        value: field.value.clone(),
    });
    fields.collect()
}

/// Header fields as they were received from another VM.
pub fn decode_fields(fields: Vec<FieldMessage>) -> FieldList {
    let mut list = FieldList::default();
    for field in fields {
        list.push(field.name, field.value);
    }
    list
}
