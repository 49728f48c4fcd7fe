//! Redaction of secrets in the text that reports quote from a file.

use crate::keys;

/// Maximum number of characters of a file that one finding quotes.
const EXCERPT_CHARS: usize = 48;
/// Length from which a run of hex digits may be a secret or a digest.
const SECRET_HEX_CHARS: usize = 32;
const PLACEHOLDER: &str = "(not shown)";

/// `text` redacted, on one line, and truncated to `EXCERPT_CHARS` characters.
pub fn excerpt(text: &str) -> String {
    let shown = redacted(text);
    let mut characters = shown.chars();
    let mut excerpt: String = characters.by_ref().take(EXCERPT_CHARS).collect();
    if characters.next().is_some() {
        excerpt.push('…');
    }
    excerpt.escape_debug().to_string()
}

/// `text` redacted and on one line, not truncated.
pub fn one_line(text: &str) -> String {
    redacted(text).lines().collect::<Vec<_>>().join(" ")
}

/// `text` with every word replaced that may contain a plaintext key, a secret or a digest.
pub fn redacted(text: &str) -> String {
    text.split_inclusive(is_separator)
        .map(|piece| {
            let word = piece.trim_end_matches(is_separator);
            let separator = &piece[word.len()..];
            if is_secret(word) {
                format!("{PLACEHOLDER}{separator}")
            } else {
                piece.to_owned()
            }
        })
        .collect()
}

fn is_separator(character: char) -> bool {
    character.is_whitespace() || "\"',[]{}=#:".contains(character)
}

fn is_secret(word: &str) -> bool {
    word.to_ascii_lowercase().contains(keys::KEY_PREFIX) || has_long_hex(word)
}

fn has_long_hex(word: &str) -> bool {
    word.split(|character: char| !character.is_ascii_hexdigit())
        .any(|run| run.len() >= SECRET_HEX_CHARS)
}
