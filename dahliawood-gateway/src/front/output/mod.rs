//! Writes responses to callers, as fast as they take them.

use crate::front::refusal::FrontResponse;
use crate::held_bytes::{PROGRESS_BYTES, PROGRESS_TIME};
use crate::state::GatewayState;
use async_std::future::timeout;
use async_std::net::TcpStream;
use dahliawood_wire::raw::budget::HeldBody;
use dahliawood_wire::raw::write;
use futures::io::AsyncWriteExt;
use std::time::{Duration, Instant};

/// How long a caller may take to receive a response.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Writes a response, `None` if the caller does not receive it in time. The body counts as held until
/// then.
pub async fn write_response(
    state: &GatewayState,
    stream: &TcpStream,
    response: FrontResponse,
    is_head: bool,
    close: bool,
) -> Option<()> {
    let mut fields = response.fields;
    if close {
        fields.push("Connection", "close");
    }
    let body = &response.body;
    // A long body is not copied, since it is counted once: it is written after the encoded bytes.
    let (joined, rest) = match (is_head, body.is_small()) {
        (true, _) => (None, None),
        (false, true) => (Some(body), None),
        (false, false) => (None, Some(body)),
    };
    let room = joined.map_or(0, HeldBody::len);
    let mut bytes = write::response_head(response.status, &fields, body.len(), room);
    for block in joined.into_iter().flat_map(HeldBody::blocks) {
        bytes.extend_from_slice(block);
    }
    let blocks = rest.into_iter().flat_map(HeldBody::blocks);
    let writing = write_blocks(state, stream, [bytes.as_slice()].into_iter().chain(blocks));
    timeout(RECEIVE_TIMEOUT, writing).await.ok()?
}

/// Writes bytes to a caller, `None` if the connection ended or the caller makes too little progress
/// while memory is short.
async fn write_blocks<'a>(
    state: &GatewayState,
    stream: &TcpStream,
    blocks: impl Iterator<Item = &'a [u8]>,
) -> Option<()> {
    let mut output = stream;
    let mut progress = 0;
    let mut checked_at = Instant::now();
    for block in blocks {
        let mut left = block;
        while !left.is_empty() {
            match timeout(PROGRESS_TIME, output.write(left)).await {
                Ok(Ok(count)) if count > 0 => {
                    left = &left[count..];
                    progress += count;
                }
                Ok(_) => return None,
                Err(_) => {}
            }
            if checked_at.elapsed() < PROGRESS_TIME {
                continue;
            }
            if progress < PROGRESS_BYTES && state.held_bytes.responses.is_short() {
                state.count_memory_refusal("slow-reader");
                return None;
            }
            (progress, checked_at) = (0, Instant::now());
        }
    }
    Some(())
}
