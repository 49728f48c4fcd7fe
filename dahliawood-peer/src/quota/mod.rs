//! Conversion of the quota messages of `dahliawood-quota` to and from the schema.

use crate::generated::peer_capnp::{holder_id, quota_message, vm_peer};
use dahliawood_quota::{amount, limit, member, message};
use std::time::Duration;

/// Quota messages of one VM, in the order in which the receiver must process them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaBatch {
    /// The sender.
    pub from: member::HolderId,
    /// The messages.
    pub messages: Vec<message::QuotaMessage>,
}

/// Encodes a batch.
///
/// # Errors
/// Fails if the batch has more messages than a list can hold.
pub(crate) fn write(
    batch: &QuotaBatch,
    mut params: vm_peer::quota_params::Builder<'_>,
) -> capnp::Result<()> {
    write_holder(batch.from, params.reborrow().init_from());
    let count = u32::try_from(batch.messages.len())
        .map_err(|_| capnp::Error::failed("too many messages in one batch".to_owned()))?;
    let mut list = params.init_messages(count);
    for (index, message) in (0..count).zip(&batch.messages) {
        write_message(message, list.reborrow().get(index));
    }
    Ok(())
}

/// Decodes a batch.
///
/// # Errors
/// Fails if the message is malformed.
pub(crate) fn read(params: vm_peer::quota_params::Reader<'_>) -> capnp::Result<QuotaBatch> {
    let from = read_holder(params.get_from()?)?;
    let mut messages = Vec::new();
    for message in params.get_messages()? {
        messages.push(read_message(message)?);
    }
    Ok(QuotaBatch { from, messages })
}

fn write_message(message: &message::QuotaMessage, builder: quota_message::Builder<'_>) {
    match message {
        message::QuotaMessage::LoanRequest(request) => {
            let mut group = builder.init_ask();
            group.set_tag(request.tag.0);
            group.set_serial(request.serial.0);
            group.set_need(request.need.micros);
            group.set_want(request.want.micros);
            group.set_length(micros(request.length));
        }
        message::QuotaMessage::LoanGrant(grant) => {
            let mut group = builder.init_grant();
            group.set_tag(grant.tag.0);
            group.set_serial(grant.serial.0);
            group.set_granted(grant.granted.micros);
            group.set_retry_after(micros(grant.retry_after));
        }
        message::QuotaMessage::LoanReport(report) => {
            let mut group = builder.init_report();
            group.set_tag(report.tag.0);
            group.set_serial(report.serial.0);
            group.set_spent(report.spent.micros);
            group.set_returned(report.returned.micros);
        }
        message::QuotaMessage::Probe(probe) => {
            let mut group = builder.init_probe();
            group.set_serial(probe.serial);
            if let Some(subject) = probe.subject {
                write_holder(subject, group.init_subject());
            }
        }
        message::QuotaMessage::Echo(echo) => {
            let mut group = builder.init_echo();
            group.set_serial(echo.serial);
            group.set_silent_for(micros(echo.silent_for));
            if let Some(subject) = echo.subject {
                write_holder(subject, group.init_subject());
            }
        }
        message::QuotaMessage::LeaseRequest(request) => {
            let mut group = builder.init_lease_ask();
            group.set_tag(request.tag.0);
            group.set_serial(request.serial.0);
            group.set_ask(request.sequence);
        }
        message::QuotaMessage::LeaseGrant(grant) => {
            let mut group = builder.init_lease_grant();
            group.set_tag(grant.tag.0);
            group.set_serial(grant.serial.0);
            group.set_ask(grant.sequence);
            group.set_rate(grant.rate.micros_per_second);
            group.set_burst(grant.burst.micros);
            group.set_tokens(grant.tokens.micros);
        }
        message::QuotaMessage::LeaseReturn(lease) => {
            let mut group = builder.init_lease_return();
            group.set_tag(lease.tag.0);
            group.set_serial(lease.serial.0);
            group.set_rate(lease.rate.micros_per_second);
            group.set_burst(lease.burst.micros);
            group.set_tokens(lease.tokens.micros);
        }
        message::QuotaMessage::LeaseRecall(recall) => {
            builder.init_lease_recall().set_tag(recall.tag.0);
        }
    }
}

fn read_message(reader: quota_message::Reader<'_>) -> capnp::Result<message::QuotaMessage> {
    Ok(match reader.which()? {
        quota_message::Ask(group) => message::QuotaMessage::LoanRequest(message::LoanRequest {
            tag: limit::LimitTag(group.get_tag()),
            serial: message::LoanSerial(group.get_serial()),
            need: amount::TokenAmount::from_micros(group.get_need()),
            want: amount::TokenAmount::from_micros(group.get_want()),
            length: Duration::from_micros(group.get_length()),
        }),
        quota_message::Grant(group) => message::QuotaMessage::LoanGrant(message::LoanGrant {
            tag: limit::LimitTag(group.get_tag()),
            serial: message::LoanSerial(group.get_serial()),
            granted: amount::TokenAmount::from_micros(group.get_granted()),
            retry_after: Duration::from_micros(group.get_retry_after()),
        }),
        quota_message::Report(group) => message::QuotaMessage::LoanReport(message::LoanReport {
            tag: limit::LimitTag(group.get_tag()),
            serial: message::LoanSerial(group.get_serial()),
            spent: amount::TokenAmount::from_micros(group.get_spent()),
            returned: amount::TokenAmount::from_micros(group.get_returned()),
        }),
        quota_message::Probe(group) => message::QuotaMessage::Probe(message::PeerProbe {
            serial: group.get_serial(),
            subject: read_subject(group.has_subject(), group.get_subject())?,
        }),
        quota_message::Echo(group) => message::QuotaMessage::Echo(message::PeerEcho {
            serial: group.get_serial(),
            subject: read_subject(group.has_subject(), group.get_subject())?,
            silent_for: Duration::from_micros(group.get_silent_for()),
        }),
        quota_message::LeaseAsk(group) => {
            message::QuotaMessage::LeaseRequest(message::LeaseRequest {
                tag: limit::LimitTag(group.get_tag()),
                serial: message::LoanSerial(group.get_serial()),
                sequence: group.get_ask(),
            })
        }
        quota_message::LeaseGrant(group) => {
            message::QuotaMessage::LeaseGrant(message::LeaseGrant {
                tag: limit::LimitTag(group.get_tag()),
                serial: message::LoanSerial(group.get_serial()),
                sequence: group.get_ask(),
                rate: amount::TokenRate::from_micros(group.get_rate()),
                burst: amount::TokenAmount::from_micros(group.get_burst()),
                tokens: amount::TokenAmount::from_micros(group.get_tokens()),
            })
        }
        quota_message::LeaseReturn(group) => {
            message::QuotaMessage::LeaseReturn(message::LeaseReturn {
                tag: limit::LimitTag(group.get_tag()),
                serial: message::LoanSerial(group.get_serial()),
                rate: amount::TokenRate::from_micros(group.get_rate()),
                burst: amount::TokenAmount::from_micros(group.get_burst()),
                tokens: amount::TokenAmount::from_micros(group.get_tokens()),
            })
        }
        quota_message::LeaseRecall(group) => {
            let tag = limit::LimitTag(group.get_tag());
            message::QuotaMessage::LeaseRecall(message::LeaseRecall { tag })
        }
    })
}

fn read_subject(
    is_present: bool,
    reader: capnp::Result<holder_id::Reader<'_>>,
) -> capnp::Result<Option<member::HolderId>> {
    is_present.then(|| read_holder(reader?)).transpose()
}

fn write_holder(holder: member::HolderId, mut builder: holder_id::Builder<'_>) {
    builder.set_address(holder.address.to_string());
    builder.set_incarnation(holder.incarnation);
}

fn read_holder(reader: holder_id::Reader<'_>) -> capnp::Result<member::HolderId> {
    let address = reader.get_address()?.to_string()?;
    let address = address
        .parse()
        .map_err(|error| capnp::Error::failed(format!("invalid address of a VM: {error}")))?;
    Ok(member::HolderId {
        address,
        incarnation: reader.get_incarnation(),
    })
}

/// Whole microseconds of a duration; saturates.
fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
