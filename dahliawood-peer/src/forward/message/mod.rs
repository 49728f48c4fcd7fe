//! The messages of forwarded requests as plain structs, with their conversion to and from the schema.

use crate::generated::peer_capnp::{
    ForwardRefusal, forward_outcome, forwarded_request, header_field,
};
use capnp::struct_list;
use std::time::Duration;

/// A header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldMessage {
    /// The name.
    pub name: String,
    /// The value, which is not necessarily UTF-8.
    pub value: Vec<u8>,
}

/// A request of a caller that the sender cannot send to any target itself. Its route, customer and
/// limit have been checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwardedRequest {
    /// Name of the sender.
    pub from: String,
    /// The method.
    pub method: String,
    /// The request target (path and query).
    pub target: String,
    /// The header fields, without the caller's API key.
    pub fields: Vec<FieldMessage>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Version of the configuration by which it was routed.
    pub version: u64,
    /// The service to which it was routed.
    pub service: String,
    /// Name of the customer, `None` if the route needs none.
    pub customer: Option<String>,
    /// Time since it arrived.
    pub spent: Duration,
    /// Time until its deadline.
    pub left: Duration,
    /// Targets to which it may still be sent.
    pub tries_left: u32,
    /// Whether it was sent to a target before.
    pub is_retry: bool,
}

/// A target's response to a forwarded request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwardedResponse {
    /// The HTTP status.
    pub status: u16,
    /// The header fields, without those for framing.
    pub fields: Vec<FieldMessage>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Id of the target.
    pub target_id: String,
}

/// Why another VM did not return a target's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum RefusalMessage {
    /// It reaches no target either, or is shutting down.
    #[display("it reaches no target")]
    Unreachable,
    /// It has an older configuration, or no such route or customer.
    #[display("its configuration is outdated")]
    Outdated,
    /// It works on too many requests of other VMs.
    #[display("it is overloaded")]
    Overloaded,
    /// No target would start to run the request in time.
    #[display("no target has room in time")]
    Busy(Duration),
    /// No target may serve the request.
    #[display("no target may serve it")]
    NoTarget,
    /// The request crashes targets.
    #[display("the request crashes targets")]
    Quarantined,
    /// A target may have run the request, but gave no complete response.
    #[display("a target gave no whole answer")]
    TargetFailed,
    /// A target may have run the request, but did not respond before the deadline.
    #[display("no answer in time")]
    TargetTimeout,
}

impl RefusalMessage {
    /// Whether a target may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::TargetFailed | Self::TargetTimeout)
    }

    /// Whether another VM may be able to serve the request.
    pub fn is_local(self) -> bool {
        matches!(self, Self::Unreachable | Self::Outdated | Self::Overloaded)
    }
}

/// What became of a forwarded request.
pub type ForwardOutcome = Result<ForwardedResponse, RefusalMessage>;

type FieldsBuilder<'a> = struct_list::Builder<'a, header_field::Owned>;
type FieldsReader<'a> = struct_list::Reader<'a, header_field::Owned>;

fn write_fields(fields: &[FieldMessage], mut list: FieldsBuilder<'_>) {
    for (index, field) in (0..list.len()).zip(fields) {
        let mut builder = list.reborrow().get(index);
        builder.set_name(&field.name);
        builder.set_value(&field.value);
    }
}

fn read_fields(list: FieldsReader<'_>) -> capnp::Result<Vec<FieldMessage>> {
    let read = |field: header_field::Reader<'_>| {
        Ok(FieldMessage {
            name: field.get_name()?.to_string()?,
            value: field.get_value()?.to_vec(),
        })
    };
    list.iter().map(read).collect()
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

pub(super) fn write_request(
    request: &ForwardedRequest,
    mut builder: forwarded_request::Builder<'_>,
) -> capnp::Result<()> {
    builder.set_from(&request.from);
    builder.set_method(&request.method);
    builder.set_target(&request.target);
    builder.set_body(&request.body);
    builder.set_version(request.version);
    builder.set_service(&request.service);
    builder.set_customer(request.customer.as_deref().unwrap_or_default());
    builder.set_spent_ms(millis(request.spent));
    builder.set_left_ms(millis(request.left));
    builder.set_tries_left(request.tries_left);
    builder.set_is_retry(request.is_retry);
    let count = crate::gateway::message::list_length(request.fields.len())?;
    write_fields(&request.fields, builder.init_fields(count));
    Ok(())
}

pub(super) fn read_request(
    reader: forwarded_request::Reader<'_>,
) -> capnp::Result<ForwardedRequest> {
    let customer = reader.get_customer()?.to_string()?;
    Ok(ForwardedRequest {
        from: reader.get_from()?.to_string()?,
        method: reader.get_method()?.to_string()?,
        target: reader.get_target()?.to_string()?,
        fields: read_fields(reader.get_fields()?)?,
        body: reader.get_body()?.to_vec(),
        version: reader.get_version(),
        service: reader.get_service()?.to_string()?,
        customer: Some(customer).filter(|name| !name.is_empty()),
        spent: Duration::from_millis(reader.get_spent_ms().into()),
        left: Duration::from_millis(reader.get_left_ms().into()),
        tries_left: reader.get_tries_left(),
        is_retry: reader.get_is_retry(),
    })
}

pub(super) fn write_outcome(
    outcome: &ForwardOutcome,
    builder: forward_outcome::Builder<'_>,
) -> capnp::Result<()> {
    match outcome {
        Ok(response) => {
            let mut answered = builder.init_answered();
            answered.set_status(response.status);
            answered.set_body(&response.body);
            answered.set_target_id(&response.target_id);
            let count = crate::gateway::message::list_length(response.fields.len())?;
            write_fields(&response.fields, answered.init_fields(count));
        }
        Err(refusal) => {
            let mut refused = builder.init_refused();
            let (cause, retry_after) = refusal_parts(*refusal);
            refused.set_cause(cause);
            refused.set_retry_after_ms(millis(retry_after));
        }
    }
    Ok(())
}

fn refusal_parts(refusal: RefusalMessage) -> (ForwardRefusal, Duration) {
    let cause = match refusal {
        RefusalMessage::Unreachable => ForwardRefusal::Unreachable,
        RefusalMessage::Outdated => ForwardRefusal::Outdated,
        RefusalMessage::Overloaded => ForwardRefusal::Overloaded,
        RefusalMessage::Busy(retry_after) => return (ForwardRefusal::Busy, retry_after),
        RefusalMessage::NoTarget => ForwardRefusal::NoTarget,
        RefusalMessage::Quarantined => ForwardRefusal::Quarantined,
        RefusalMessage::TargetFailed => ForwardRefusal::TargetFailed,
        RefusalMessage::TargetTimeout => ForwardRefusal::TargetTimeout,
    };
    (cause, Duration::ZERO)
}

pub(super) fn read_outcome(reader: forward_outcome::Reader<'_>) -> capnp::Result<ForwardOutcome> {
    let refused = match reader.which()? {
        forward_outcome::Answered(answered) => {
            return Ok(Ok(ForwardedResponse {
                status: answered.get_status(),
                fields: read_fields(answered.get_fields()?)?,
                body: answered.get_body()?.to_vec(),
                target_id: answered.get_target_id()?.to_string()?,
            }));
        }
        forward_outcome::Refused(refused) => refused,
    };
    let retry_after = Duration::from_millis(refused.get_retry_after_ms().into());
    Ok(Err(match refused.get_cause()? {
        ForwardRefusal::Unreachable => RefusalMessage::Unreachable,
        ForwardRefusal::Outdated => RefusalMessage::Outdated,
        ForwardRefusal::Overloaded => RefusalMessage::Overloaded,
        ForwardRefusal::Busy => RefusalMessage::Busy(retry_after),
        ForwardRefusal::NoTarget => RefusalMessage::NoTarget,
        ForwardRefusal::Quarantined => RefusalMessage::Quarantined,
        ForwardRefusal::TargetFailed => RefusalMessage::TargetFailed,
        ForwardRefusal::TargetTimeout => RefusalMessage::TargetTimeout,
    }))
}
