//! A fake of the platform's store: one versioned document with compare-and-swap.

use dahliawood_quota::shares::{document, holder};

#[derive(Default)]
pub struct FakeStore {
    versions: Vec<document::ShareDocument>,
}

impl FakeStore {
    pub fn newest(&self) -> Option<&document::ShareDocument> {
        self.versions.last()
    }

    /// Reads the document as it was `back` versions ago.
    pub fn read(&self, back: usize) -> (Option<document::ShareDocument>, document::ShareVersion) {
        let version = self.versions.len().saturating_sub(back);
        let document = version
            .checked_sub(1)
            .map(|index| self.versions[index].clone());
        (document, document::ShareVersion(version as u64))
    }

    pub fn write(&mut self, write: &holder::ShareWrite) -> holder::WriteOutcome {
        let version = document::ShareVersion(self.versions.len() as u64);
        if write.base.unwrap_or_default() != version {
            return holder::WriteOutcome::Conflict;
        }
        let bytes = write.document.to_bytes();
        let document =
            document::ShareDocument::from_bytes(&bytes).expect("a written document can be read");
        self.versions.push(document);
        holder::WriteOutcome::Applied(document::ShareVersion(version.0 + 1))
    }
}
