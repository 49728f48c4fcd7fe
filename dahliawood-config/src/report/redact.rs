//! Text of a file as a report may show it.

use crate::keys;

/// The most characters of a file that one finding shows.
const EXCERPT_CHARS: usize = 48;
/// A run of hex digits as long as this may be a secret or a digest.
const SECRET_HEX_CHARS: usize = 32;
const PLACEHOLDER: &str = "(not shown)";

/// `text` on one line, cut to a readable length, with everything that may be a key left out.
pub fn excerpt(text: &str) -> String {
    let shown = redacted(text);
    let mut characters = shown.chars();
    let mut cut: String = characters.by_ref().take(EXCERPT_CHARS).collect();
    if characters.next().is_some() {
        cut.push('…');
    }
    cut.escape_debug().to_string()
}

/// `text` on one line, whole, with everything that may be a key left out.
pub fn one_line(text: &str) -> String {
    redacted(text).lines().collect::<Vec<_>>().join(" ")
}

/// `text` with every word that may hold a key or a long secret replaced.
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
