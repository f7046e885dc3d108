//! Arenas addressed by small `Copy` keys.
//!
//! [`KeyArena`] only grows and suits records that live as long as the process.
//! [`SlotArena`] reuses its slots; a generation in the key makes a stale key
//! miss instead of reaching the slot's next tenant.

use std::marker::PhantomData;

/// A key that is a plain index into a [`KeyArena`].
pub trait ArenaKey: Copy {
    /// Makes the key of an index.
    fn from_index(index: usize) -> Self;
    /// Returns the index of the key.
    fn index(self) -> usize;
}

macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl ArenaKey for $name {
            fn from_index(index: usize) -> Self {
                $name(index as u32)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

arena_key!(
    /// Key of a server in the upstream roster.
    ServerKey
);
arena_key!(
    /// Key of an upstream: the servers that announce one service name.
    UpstreamKey
);

/// An arena that only grows.
#[derive(Debug)]
pub struct KeyArena<K, V> {
    items: Vec<V>,
    marker: PhantomData<K>,
}

impl<K, V> Default for KeyArena<K, V> {
    fn default() -> Self {
        KeyArena {
            items: Vec::new(),
            marker: PhantomData,
        }
    }
}

impl<K: ArenaKey, V> KeyArena<K, V> {
    /// Adds `value` and returns its key.
    pub fn push(&mut self, value: V) -> K {
        self.items.push(value);
        K::from_index(self.items.len() - 1)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Tells whether the arena holds nothing.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Iterates over keys and records.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.items
            .iter()
            .enumerate()
            .map(|(index, value)| (K::from_index(index), value))
    }
}

impl<K: ArenaKey, V> KeyArena<K, V> {
    /// Iterates over keys and records, which may be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        let items = self.items.iter_mut().enumerate();
        items.map(|(index, value)| (K::from_index(index), value))
    }
}

impl<K: ArenaKey, V> std::ops::Index<K> for KeyArena<K, V> {
    type Output = V;

    fn index(&self, key: K) -> &V {
        &self.items[key.index()]
    }
}

impl<K: ArenaKey, V> std::ops::IndexMut<K> for KeyArena<K, V> {
    fn index_mut(&mut self, key: K) -> &mut V {
        &mut self.items[key.index()]
    }
}

/// A key into a [`SlotArena`]: the slot and the generation of its tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotKey {
    index: u32,
    generation: u32,
}

#[derive(Debug)]
struct Slot<V> {
    generation: u32,
    value: Option<V>,
}

/// An arena that reuses its slots.
#[derive(Debug)]
pub struct SlotArena<V> {
    slots: Vec<Slot<V>>,
    free: Vec<u32>,
}

impl<V> Default for SlotArena<V> {
    fn default() -> Self {
        SlotArena {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<V> SlotArena<V> {
    /// Stores `value` and returns its key.
    pub fn insert(&mut self, value: V) -> SlotKey {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            slot.value = Some(value);
            return SlotKey {
                index,
                generation: slot.generation,
            };
        }
        self.slots.push(Slot {
            generation: 0,
            value: Some(value),
        });
        SlotKey {
            index: self.slots.len() as u32 - 1,
            generation: 0,
        }
    }

    /// Returns the record of `key`, if it is still there.
    pub fn get(&self, key: SlotKey) -> Option<&V> {
        let slot = self.slots.get(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.value.as_ref()
    }

    /// Returns the record of `key` for change, if it is still there.
    pub fn get_mut(&mut self, key: SlotKey) -> Option<&mut V> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.value.as_mut()
    }

    /// Takes the record of `key` out and frees its slot.
    pub fn remove(&mut self, key: SlotKey) -> Option<V> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(value)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Tells whether the arena holds nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the keys of all records.
    pub fn keys(&self) -> Vec<SlotKey> {
        let live = self.slots.iter().enumerate();
        live.filter(|(_, slot)| slot.value.is_some())
            .map(|(index, slot)| SlotKey {
                index: index as u32,
                generation: slot.generation,
            })
            .collect()
    }
}
