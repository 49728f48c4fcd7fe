//! Conversion of byte offsets to lines and columns.

/// A byte is a UTF-8 continuation byte if it equals [`CONTINUATION`] under [`CONTINUATION_MASK`].
const CONTINUATION: u8 = 0b1000_0000;
const CONTINUATION_MASK: u8 = 0b1100_0000;

/// The byte offsets of line starts and of UTF-8 continuation bytes in a text.
#[derive(Clone, Debug)]
pub struct LineIndex {
    len: usize,
    starts: Vec<usize>,
    continuations: Vec<usize>,
}

impl LineIndex {
    /// Indexes `text`.
    pub fn new(text: &str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let is_continuation = |&(_, byte): &(usize, u8)| byte & CONTINUATION_MASK == CONTINUATION;
        Self {
            len: text.len(),
            starts: std::iter::once(0).chain(after_breaks).collect(),
            continuations: text
                .bytes()
                .enumerate()
                .filter(is_continuation)
                .map(|(offset, _)| offset)
                .collect(),
        }
    }

    /// Line and column of the character at byte `offset`, both counted from one.
    ///
    /// An offset after the end of the text counts as the end; an offset inside a multi-byte
    /// character counts as that character.
    pub fn position(&self, offset: usize) -> (u32, u32) {
        let offset = offset.min(self.len);
        let line = self.starts.partition_point(|&start| start <= offset);
        let start = self.starts[line - 1];
        let column = offset - start - self.continuations_between(start, offset) + 1;
        (line as u32, column as u32)
    }

    /// The number of continuation bytes from `start` to `end` inclusive.
    fn continuations_between(&self, start: usize, end: usize) -> usize {
        let before = self.continuations.partition_point(|&offset| offset < start);
        let until = self.continuations.partition_point(|&offset| offset <= end);
        until - before
    }
}
