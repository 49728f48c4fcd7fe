//! Stores files under their hash, split into parts.
//!
//! A file is split after lines chosen by the hash of their text, so that a change of one line
//! changes one or two parts and the others keep their hashes. The manifest of a file is stored
//! under the hash of the whole text; a short file is included in its manifest. The value of a
//! part's or manifest's key never changes.

pub mod transfer;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;

/// Largest file, in bytes.
pub const FILE_LIMIT_BYTES: usize = 8 << 20;

/// A file up to this length is included in its manifest, in bytes.
const INLINE_LIMIT_BYTES: usize = 4 << 10;

/// Shortest part, except for the last part of a file, in bytes.
const PART_MIN_BYTES: usize = 4 << 10;

/// Longest part, in bytes; it fits into a value of the store even if escaping makes it six times
/// longer.
const PART_MAX_BYTES: usize = 64 << 10;

/// One line in this many, on average, ends a part.
const BOUNDARY_LINES: u32 = 64;

/// SHA-256 of a text, in hexadecimal.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(transparent)]
pub struct ContentHash(String);

impl ContentHash {
    /// The hash of a text.
    pub fn of(text: &str) -> Self {
        Self(hex::encode(Sha256::digest(text)))
    }

    /// The hash in hexadecimal.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A part of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContentPart {
    /// Hash of the text.
    pub hash: ContentHash,
    /// The text.
    pub text: String,
}

/// Describes how a file is assembled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ContentManifest {
    /// The whole text.
    Inline(String),
    /// Hashes of the parts, in order.
    Parts(Vec<ContentHash>),
}

/// Error when a text is not the expected file.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum ContentError {
    /// The text does not have the requested hash.
    #[snafu(display("the text has hash {found}, not {wanted}"))]
    WrongHash {
        /// The hash requested.
        wanted: ContentHash,
        /// The hash found.
        found: ContentHash,
    },
}

/// The manifest of a file, and the parts that the manifest names.
pub fn split(text: &str) -> (ContentManifest, Vec<ContentPart>) {
    if text.len() <= INLINE_LIMIT_BYTES {
        return (ContentManifest::Inline(text.to_owned()), Vec::new());
    }
    let parts = split_into_parts(text);
    let hashes = parts.iter().map(|part| part.hash.clone()).collect();
    (ContentManifest::Parts(hashes), parts)
}

/// Checks that `text` has the hash `wanted`.
///
/// # Errors
///
/// [`ContentError::WrongHash`] if it has not.
pub fn verify(wanted: &ContentHash, text: &str) -> Result<(), ContentError> {
    let found = ContentHash::of(text);
    if found == *wanted {
        return Ok(());
    }
    WrongHashSnafu {
        wanted: wanted.clone(),
        found,
    }
    .fail()
}

fn split_into_parts(text: &str) -> Vec<ContentPart> {
    let mut parts = Vec::new();
    let mut current = String::new();
    for line in text.split_inclusive('\n') {
        for piece in pieces(line) {
            if current.len() + piece.len() > PART_MAX_BYTES {
                finish_part(&mut parts, &mut current);
            }
            current.push_str(piece);
        }
        if current.len() >= PART_MIN_BYTES && ends_part(line) {
            finish_part(&mut parts, &mut current);
        }
    }
    finish_part(&mut parts, &mut current);
    parts
}

/// Splits a line into pieces of at most the length of a part.
fn pieces(line: &str) -> Vec<&str> {
    let mut rest = line;
    let mut pieces = Vec::new();
    while rest.len() > PART_MAX_BYTES {
        let boundary = (0..=PART_MAX_BYTES).rfind(|index| rest.is_char_boundary(*index));
        let (piece, tail) = rest.split_at(boundary.unwrap_or(rest.len()));
        pieces.push(piece);
        rest = tail;
    }
    pieces.push(rest);
    pieces
}

fn finish_part(parts: &mut Vec<ContentPart>, current: &mut String) {
    if current.is_empty() {
        return;
    }
    let text = std::mem::take(current);
    let hash = ContentHash::of(&text);
    parts.push(ContentPart { hash, text });
}

fn ends_part(line: &str) -> bool {
    let digest = Sha256::digest(line);
    let word = u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]]);
    word % BOUNDARY_LINES == 0
}
