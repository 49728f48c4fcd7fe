//! Serves long values to other VMs, compressed and in parts.
//!
//! A long value is compressed once, for all VMs that fetch it, and kept for a while after the key was
//! written again, so that transfers that have begun can be finished.

use crate::control::ControlState;
use dahliawood_peer::gateway::message::{PartRequest, ValuePart};
use flate2::Compression;
use flate2::write::ZlibEncoder;
use std::collections::VecDeque;
use std::io::Write;
use std::rc::Rc;

/// Bytes above which a value is left out of lists and fetched in parts.
pub const LONG_BYTES: usize = 16 * 1024;
/// The most bytes of a part.
pub const PART_BYTES: u32 = 64 * 1024;
/// Compressed values that are kept.
const KEPT_VALUES: usize = 4;

/// A compressed value.
#[derive(Clone, Debug)]
struct CompressedValue {
    key: String,
    revision: u64,
    bytes: Rc<[u8]>,
}

/// The values that were compressed last.
#[derive(Clone, Debug, Default)]
pub struct PartCache {
    values: VecDeque<CompressedValue>,
}

impl PartCache {
    fn get(&self, key: &str, revision: u64) -> Option<Rc<[u8]>> {
        let is_it = |value: &&CompressedValue| value.key == key && value.revision == revision;
        let found = self.values.iter().find(is_it);
        found.map(|value| Rc::clone(&value.bytes))
    }

    fn insert(&mut self, value: CompressedValue) {
        self.values.push_back(value);
        let excess = self.values.len().saturating_sub(KEPT_VALUES);
        self.values.drain(..excess);
    }
}

/// The bytes of a value that is left out of a list for a VM that takes parts, zero for a short one.
pub fn left_out(value: &[u8], takes_parts: bool) -> u32 {
    match takes_parts && value.len() > LONG_BYTES {
        true => u32::try_from(value.len()).unwrap_or(u32::MAX),
        false => 0,
    }
}

/// Answers a call for a part of a value.
pub fn handle(state: &ControlState, request: &PartRequest) -> ValuePart {
    let Some(bytes) = compressed(state, &request.key, request.revision) else {
        return ValuePart::default();
    };
    let rest = bytes.get(request.offset as usize..).unwrap_or_default();
    let count = rest.len().min(request.most.min(PART_BYTES) as usize);
    ValuePart {
        length: u32::try_from(bytes.len()).unwrap_or(0),
        data: rest[..count].to_vec(),
    }
}

/// The compressed value of a key at a revision, `None` if this VM does not have it any more.
fn compressed(state: &ControlState, key: &str, revision: u64) -> Option<Rc<[u8]>> {
    if let Some(bytes) = state.part_cache.borrow().get(key, revision) {
        return Some(bytes);
    }
    let view = state.view.borrow();
    let known = view.get(key).filter(|known| known.revision == revision)?;
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    let written = encoder
        .write_all(&known.value)
        .and_then(|()| encoder.finish());
    let bytes: Rc<[u8]> = match written {
        Ok(bytes) => bytes.into(),
        Err(error) => {
            log::error!("the value of '{key}' cannot be compressed: {error}");
            return None;
        }
    };
    state.part_cache.borrow_mut().insert(CompressedValue {
        key: key.to_owned(),
        revision,
        bytes: Rc::clone(&bytes),
    });
    Some(bytes)
}
