//! Arenas: record storage addressed by small `Copy` keys instead of references.
//!
//! [`KeyArena`] only grows, for records that live as long as the process.
//! [`SlotArena`] reuses the slots of removed records. Each of its keys contains a
//! generation, so a stale key finds nothing instead of the slot's next record.

use std::marker::PhantomData;

/// Typed index into a [`KeyArena`].
pub trait ArenaKey: Copy {
    /// Converts an index into a key.
    fn from_index(index: usize) -> Self;
    /// Converts the key into an index.
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
    /// Key of an upstream (all servers that announce the same service name).
    UpstreamKey
);

/// Arena that only grows; records are never removed.
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
    /// Appends `value` and returns its key.
    pub fn push(&mut self, value: V) -> K {
        self.items.push(value);
        K::from_index(self.items.len() - 1)
    }

    /// Returns the number of stored records.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the arena holds no records.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Iterates over all keys and records.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.items
            .iter()
            .enumerate()
            .map(|(index, value)| (K::from_index(index), value))
    }
}

impl<K: ArenaKey, V> KeyArena<K, V> {
    /// Iterates over all keys and mutable records.
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

/// Key into a [`SlotArena`]: a slot index, and the generation of the record in the
/// slot.
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

/// Arena that reuses the slots of removed records.
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
    /// Stores `value` in a free or new slot and returns its key.
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

    /// Returns the record for `key`, or `None` if it was removed.
    pub fn get(&self, key: SlotKey) -> Option<&V> {
        let slot = self.slots.get(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.value.as_ref()
    }

    /// Returns the record for `key` mutably, or `None` if it was removed.
    pub fn get_mut(&mut self, key: SlotKey) -> Option<&mut V> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.value.as_mut()
    }

    /// Removes and returns the record for `key`, and frees its slot.
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

    /// Returns the number of stored records.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Returns whether the arena holds no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the keys of all stored records, in slot order.
    pub fn keys(&self) -> Vec<SlotKey> {
        self.iter().map(|(key, _)| key).collect()
    }

    /// Iterates over all stored records and their keys, in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (SlotKey, &V)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(index, slot)| {
            let key = SlotKey {
                index: index as u32,
                generation: slot.generation,
            };
            Some((key, slot.value.as_ref()?))
        })
    }
}
