//! Files addressed by their hash, in parts.
//!
//! A file is cut after lines that its text picks, so that a change of one line changes one part
//! or two and the others keep their hashes. The manifest of a file is kept under the hash of the
//! whole text; a short file is inside its manifest. No key of a part or manifest ever changes its
//! value.

pub mod transfer;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;

/// The longest file, bytes.
pub const FILE_LIMIT_BYTES: usize = 8 << 20;

/// A file up to this length is kept inside its manifest, bytes.
const INLINE_LIMIT_BYTES: usize = 4 << 10;

/// The shortest part before a cut, but for the last one, bytes.
const PART_MIN_BYTES: usize = 4 << 10;

/// The longest part, bytes; even escaped sixfold it fits a value of the store.
const PART_MAX_BYTES: usize = 64 << 10;

/// One line in so many is picked for a cut.
const CUT_LINES: u32 = 64;

/// SHA-256 of a text in hexadecimal.
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

/// How a file is put together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ContentManifest {
    /// The whole text.
    Inline(String),
    /// Hashes of the parts in order.
    Parts(Vec<ContentHash>),
}

/// Why parts make no file.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum ContentError {
    /// The text is not the one that was asked for.
    #[snafu(display("the text has hash {found}, not {wanted}"))]
    WrongHash {
        /// The hash asked for.
        wanted: ContentHash,
        /// The hash found.
        found: ContentHash,
    },
}

/// The manifest of a file and the parts that it names.
pub fn split(text: &str) -> (ContentManifest, Vec<ContentPart>) {
    if text.len() <= INLINE_LIMIT_BYTES {
        return (ContentManifest::Inline(text.to_owned()), Vec::new());
    }
    let parts = cut(text);
    let hashes = parts.iter().map(|part| part.hash.clone()).collect();
    (ContentManifest::Parts(hashes), parts)
}

/// Checks that `text` is the file of `wanted`.
///
/// # Errors
///
/// [`ContentError::WrongHash`].
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

fn cut(text: &str) -> Vec<ContentPart> {
    let mut parts = Vec::new();
    let mut current = String::new();
    for line in text.split_inclusive('\n') {
        for piece in pieces(line) {
            if current.len() + piece.len() > PART_MAX_BYTES {
                finish(&mut parts, &mut current);
            }
            current.push_str(piece);
        }
        if current.len() >= PART_MIN_BYTES && is_cut(line) {
            finish(&mut parts, &mut current);
        }
    }
    finish(&mut parts, &mut current);
    parts
}

/// A line in pieces that fit a part.
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

fn finish(parts: &mut Vec<ContentPart>, current: &mut String) {
    if current.is_empty() {
        return;
    }
    let text = std::mem::take(current);
    let hash = ContentHash::of(&text);
    parts.push(ContentPart { hash, text });
}

fn is_cut(line: &str) -> bool {
    let digest = Sha256::digest(line);
    let word = u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]]);
    word % CUT_LINES == 0
}
