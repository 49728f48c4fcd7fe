//! A limit on the bytes that all bodies held in memory take together.

use crate::raw::error::ReadError;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A body of at most this size may use a budget's reserve, bytes: bodies that are sent and read
/// slowly cannot keep out the small ones of others. Longer bodies are kept in blocks of this size.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

#[derive(Debug)]
struct BudgetState {
    limit: usize,
    reserve: usize,
    used: AtomicUsize,
    /// A budget that this one shares with others.
    whole: Option<ByteBudget>,
}

/// The bytes that bodies may take together; clones share them.
#[derive(Clone, Debug)]
pub struct ByteBudget(Arc<BudgetState>);

/// The part of a budget that one body has taken; dropping it gives the part back.
#[derive(Debug)]
pub struct BudgetShare {
    budget: ByteBudget,
    bytes: usize,
}

/// A body and the part of a budget that it takes, if it is counted.
///
/// It is kept in blocks. Long pieces of memory of many sizes leave holes when they are freed, and the
/// process keeps several times what the budget counts; blocks of one size are used again.
#[derive(Debug, Default)]
pub struct HeldBody {
    blocks: Vec<Vec<u8>>,
    length: usize,
    share: Option<BudgetShare>,
}

impl ByteBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self::create(limit, 0, None)
    }

    /// A budget of `limit` bytes, and of `reserve` more for bodies of at most [`SMALL_BODY_BYTES`].
    pub fn with_reserve(limit: usize, reserve: usize) -> Self {
        Self::create(limit, reserve, None)
    }

    /// A part of this budget, of at most `limit` bytes, with the same reserve. The limits of all parts
    /// may be more than that of the whole.
    #[must_use]
    pub fn part(&self, limit: usize) -> Self {
        Self::create(limit, self.0.reserve, Some(self.clone()))
    }

    fn create(limit: usize, reserve: usize, whole: Option<Self>) -> Self {
        Self(Arc::new(BudgetState {
            limit,
            reserve,
            used: AtomicUsize::new(0),
            whole,
        }))
    }

    /// Bytes that are taken.
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Most bytes that one body may take.
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Whether more than half is taken: what is held for slow peers should be given back.
    pub fn is_short(&self) -> bool {
        let is_whole_short = self.0.whole.as_ref().is_some_and(Self::is_short);
        is_whole_short || self.used() > self.0.limit / 2
    }

    /// Takes `bytes` more for a body that then has `total`, here and in the whole; returns whether
    /// there is room.
    fn take(&self, bytes: usize, total: usize) -> bool {
        let state = &*self.0;
        let available = match total <= SMALL_BODY_BYTES {
            true => state.limit.saturating_add(state.reserve),
            false => state.limit,
        };
        let grown = |used: usize| used.checked_add(bytes).filter(|used| *used <= available);
        let taken = state
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grown);
        if taken.is_err() {
            return false;
        }
        if let Some(whole) = &state.whole
            && !whole.take(bytes, total)
        {
            state.used.fetch_sub(bytes, Ordering::Relaxed);
            return false;
        }
        true
    }

    /// Takes bytes even if there is no room.
    fn take_anyway(&self, bytes: usize) {
        self.0.used.fetch_add(bytes, Ordering::Relaxed);
        if let Some(whole) = &self.0.whole {
            whole.take_anyway(bytes);
        }
    }

    fn give_back(&self, bytes: usize) {
        self.0.used.fetch_sub(bytes, Ordering::Relaxed);
        if let Some(whole) = &self.0.whole {
            whole.give_back(bytes);
        }
    }

    /// A share without bytes.
    pub fn share(&self) -> BudgetShare {
        BudgetShare {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// An empty body, whose bytes are taken from this budget.
    pub fn body(&self) -> HeldBody {
        HeldBody {
            share: Some(self.share()),
            ..HeldBody::default()
        }
    }

    /// Counts a body that is in memory already.
    ///
    /// # Errors
    /// Fails if the budget does not have its bytes.
    pub fn hold(&self, bytes: Vec<u8>) -> Result<HeldBody, ReadError> {
        let mut share = self.share();
        share.grow_to(bytes.capacity())?;
        Ok(HeldBody::whole(bytes, Some(share)))
    }

    /// Counts a body that is in memory already and cannot be refused any more, also beyond the limit.
    pub fn hold_anyway(&self, bytes: Vec<u8>) -> HeldBody {
        let taken = bytes.capacity();
        self.take_anyway(taken);
        let share = BudgetShare {
            budget: self.clone(),
            bytes: taken,
        };
        HeldBody::whole(bytes, Some(share))
    }
}

impl BudgetShare {
    /// Takes as many bytes as are missing to `bytes`.
    ///
    /// # Errors
    /// Fails if the budget does not have them; the share stays as it is.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), ReadError> {
        let missing = bytes.saturating_sub(self.bytes);
        if missing > 0 && !self.budget.take(missing, bytes) {
            let limit = self.budget.limit();
            return Err(ReadError::BudgetExhausted { limit });
        }
        self.bytes += missing;
        Ok(())
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.budget.give_back(self.bytes);
    }
}

impl HeldBody {
    fn whole(bytes: Vec<u8>, share: Option<BudgetShare>) -> Self {
        Self {
            length: bytes.len(),
            blocks: vec![bytes],
            share,
        }
    }

    /// Adds bytes at the end.
    ///
    /// # Errors
    /// Fails if the budget does not have them; the body stays as it is.
    pub fn append(&mut self, mut bytes: &[u8]) -> Result<(), ReadError> {
        let length = self.length + bytes.len();
        if let Some(share) = &mut self.share {
            // All blocks but the only one of a small body are whole.
            let taken = match length <= SMALL_BODY_BYTES {
                true => length,
                false => length.next_multiple_of(SMALL_BODY_BYTES),
            };
            share.grow_to(taken)?;
        }
        self.length = length;
        while !bytes.is_empty() {
            let room = match self.blocks.last() {
                Some(block) => SMALL_BODY_BYTES.saturating_sub(block.len()),
                None => 0,
            };
            if room == 0 {
                let capacity = match self.blocks.is_empty() {
                    true => bytes.len().min(SMALL_BODY_BYTES),
                    false => SMALL_BODY_BYTES,
                };
                self.blocks.push(Vec::with_capacity(capacity));
                continue;
            }
            let (added, rest) = bytes.split_at(room.min(bytes.len()));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(added);
            }
            bytes = rest;
        }
        Ok(())
    }

    /// The number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there is no byte.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The bytes, in pieces.
    pub fn blocks(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.iter().map(Vec::as_slice)
    }

    /// Whether the body is small enough to be copied behind its message's head: all of it is in one
    /// block then.
    pub fn is_small(&self) -> bool {
        self.length <= SMALL_BODY_BYTES
    }

    /// A copy of the bytes, which is not counted.
    pub fn to_vec(&self) -> Vec<u8> {
        self.blocks.concat()
    }

    /// The bytes, which are no longer counted.
    pub fn into_bytes(mut self) -> Vec<u8> {
        match self.blocks.len() {
            1 => self.blocks.pop().unwrap_or_default(),
            _ => self.to_vec(),
        }
    }
}

impl From<Vec<u8>> for HeldBody {
    fn from(bytes: Vec<u8>) -> Self {
        Self::whole(bytes, None)
    }
}
