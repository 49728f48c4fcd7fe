//! From byte offsets to lines and columns.

/// Where each line of a text starts.
#[derive(Clone, Debug)]
pub struct LineIndex<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    /// Indexes `text`.
    pub fn new(text: &'a str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            text,
            starts: std::iter::once(0).chain(after_breaks).collect(),
        }
    }

    /// Line and column of the character at byte `offset`, both counted from one.
    ///
    /// An offset behind the end, or inside a character, is moved back to the nearest character
    /// boundary of the text.
    pub fn position(&self, offset: usize) -> (u32, u32) {
        let mut offset = offset.min(self.text.len());
        while !self.text.is_char_boundary(offset) {
            offset -= 1;
        }
        let line = self.starts.partition_point(|&start| start <= offset);
        let start = self.starts[line - 1];
        let column = self.text[start..offset].chars().count() + 1;
        (line as u32, column as u32)
    }
}
