//! Paces the bytes of a body by the allowance of a link.
//!
//! What this VM sends is paced exactly: nothing leaves before its allowance is there. What a target
//! of another region sends is put on the link by that target; it is paced by reading no more than
//! the link's allowance covers, so that TCP holds the target back. The link may then carry, above
//! its cap and burst, what fits into the receive windows of the answers that are being read.

use crate::{clock, shared};
use async_std::task;
use dahliawood_quota::amount;
use futures::channel::mpsc;
use futures::{AsyncReadExt, SinkExt, TryStreamExt};
use http_types::Body;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Bytes that are asked for at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Pieces read ahead of the caller.
const READ_AHEAD_CHUNKS: usize = 2;
/// The longest time between two asks for the same piece.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long one ask may wait for a loan.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(1);

/// The links between this VM's region and that of a target, by the names of their limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionLinks {
    /// What goes to the target.
    pub outbound: String,
    /// What comes back.
    pub inbound: String,
}

/// Waits until a link's allowance covers `bytes`.
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

/// A body whose bytes come no faster than a link's allowance.
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

/// Reads a body piece by piece, each as soon as it is covered; ends when nobody reads any more.
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
