//! Paces the bytes of a body by the quota of a link between regions.
//!
//! Bytes that this VM sends are paced exactly: each chunk waits until the quota covers it. A
//! response from a target in another region is put on the link by that target. This VM paces the
//! response by reading no faster than the quota allows, so that TCP flow control slows the target
//! down. The link may therefore carry more than its cap and burst, by at most what fits into the
//! receive windows of the responses that are being read.

use crate::{clock, shared};
use async_std::task;
use dahliawood_quota::amount;
use futures::channel::mpsc;
use futures::{AsyncReadExt, SinkExt, TryStreamExt};
use http_types::Body;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Size of a chunk, which is covered by one admission, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// Number of chunks that are read ahead of the reader of the paced body.
const READ_AHEAD_CHUNKS: usize = 2;
/// The longest pause between two admission attempts for the same chunk.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long one admission attempt may wait for a loan.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(1);

/// The names of the limits of the links between this VM's region and that of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionLinks {
    /// The link towards the target, for requests.
    pub outbound: String,
    /// The link from the target, for responses.
    pub inbound: String,
}

/// Waits until the quota of a link covers `bytes`, and takes that amount.
pub async fn wait_for_quota(shared: &shared::SharedState, link: &str, bytes: u64) {
    let amount = amount::TokenAmount::from_whole(bytes);
    loop {
        let now = clock::now();
        let admitted = shared
            .quota
            .admit_amount(link, amount, now.after(ADMISSION_TIMEOUT), now)
            .await;
        let Err(retry_after) = admitted else { return };
        task::sleep(retry_after.min(MAX_RETRY_PAUSE)).await;
    }
}

/// Wraps a body so that its bytes arrive no faster than the quota of a link allows.
pub fn pace_body(shared: &Arc<shared::SharedState>, link: &str, body: Body) -> Body {
    let (length, mime) = (body.len(), body.mime().clone());
    let (sender, receiver) = mpsc::channel(READ_AHEAD_CHUNKS);
    task::spawn(copy_paced(
        Arc::clone(shared),
        link.to_owned(),
        body,
        sender,
    ));
    let mut paced = Body::from_reader(receiver.into_async_read(), length);
    paced.set_mime(mime);
    paced
}

/// Reads a body chunk by chunk and passes each chunk on once the quota covers it; ends when the
/// receiver has gone.
async fn copy_paced(
    shared: Arc<shared::SharedState>,
    link: String,
    mut body: Body,
    mut sender: mpsc::Sender<io::Result<Vec<u8>>>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let chunk = match body.read(&mut buffer).await {
            Ok(0) => return,
            Ok(count) => {
                wait_for_quota(&shared, &link, count as u64).await;
                Ok(buffer[..count].to_vec())
            }
            Err(error) => Err(error),
        };
        let is_last = chunk.is_err();
        if sender.send(chunk).await.is_err() || is_last {
            return;
        }
    }
}
