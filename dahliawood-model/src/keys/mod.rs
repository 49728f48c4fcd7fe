//! Typed `Copy` keys of entities, and the arena that they index.
//!
//! These keys identify entities in memory; callers' access keys are in `dahliawood-config`.

use std::marker::PhantomData;

/// A key that indexes the [`EntityArena`] of one kind of entity.
pub trait ArenaKey: Copy + Eq {
    /// The key of the entity at `index`.
    fn from_index(index: usize) -> Self;
    /// The position of the entity in its arena.
    fn index(self) -> usize;
}

macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[display("{_0}")]
        pub struct $name(pub u32);

        impl ArenaKey for $name {
            fn from_index(index: usize) -> Self {
                Self(u32::try_from(index).expect("an arena holds fewer than 2^32 entities"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

arena_key!(
    /// A region of the deployment.
    RegionKey
);
arena_key!(
    /// A failure domain inside a region.
    DomainKey
);
arena_key!(
    /// One direction of the link between two regions.
    LinkKey
);
arena_key!(
    /// A place: a client location, given as a set of blocks of client addresses.
    PlaceKey
);
arena_key!(
    /// A service that customers call.
    ServiceKey
);
arena_key!(
    /// A route: a path prefix and methods of one service.
    RouteKey
);
arena_key!(
    /// A target: one backend of one service.
    TargetKey
);
arena_key!(
    /// A customer, who has access keys, a rate limit and a burst.
    CustomerKey
);
arena_key!(
    /// An entry VM of the fleet; the index is the VM's position in one membership table.
    VmKey
);

/// Entities of one kind in insertion order, addressed by key.
#[derive(Clone, Debug, PartialEq)]
pub struct EntityArena<K, V> {
    items: Vec<V>,
    kind: PhantomData<fn(K) -> K>,
}

impl<K, V> Default for EntityArena<K, V> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            kind: PhantomData,
        }
    }
}

impl<K: ArenaKey, V> EntityArena<K, V> {
    /// Adds an entity and returns its key.
    pub fn push(&mut self, item: V) -> K {
        self.items.push(item);
        K::from_index(self.items.len() - 1)
    }

    /// The entity of `key`; `None` if its index is out of range, which only a key of another arena
    /// can be.
    pub fn get(&self, key: K) -> Option<&V> {
        self.items.get(key.index())
    }

    /// The number of entities.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether the arena is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// All keys in order.
    pub fn keys(&self) -> impl ExactSizeIterator<Item = K> + use<K, V> {
        (0..self.items.len()).map(K::from_index)
    }

    /// All entities in order.
    pub fn values(&self) -> impl ExactSizeIterator<Item = &V> {
        self.items.iter()
    }

    /// All keys with their entities, in order.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (K, &V)> {
        self.items
            .iter()
            .enumerate()
            .map(|(index, item)| (K::from_index(index), item))
    }

    /// The first entity for which `matches` returns true, with its key.
    pub fn find(&self, matches: impl Fn(&V) -> bool) -> Option<(K, &V)> {
        self.iter().find(|(_, item)| matches(item))
    }
}

impl<K: ArenaKey, V> std::ops::Index<K> for EntityArena<K, V> {
    type Output = V;

    fn index(&self, key: K) -> &V {
        &self.items[key.index()]
    }
}

impl<K: ArenaKey, V> std::ops::IndexMut<K> for EntityArena<K, V> {
    fn index_mut(&mut self, key: K) -> &mut V {
        &mut self.items[key.index()]
    }
}

impl<K: ArenaKey, V> FromIterator<V> for EntityArena<K, V> {
    fn from_iter<I: IntoIterator<Item = V>>(items: I) -> Self {
        Self {
            items: items.into_iter().collect(),
            kind: PhantomData,
        }
    }
}
