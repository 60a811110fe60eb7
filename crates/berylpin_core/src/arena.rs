//! Collections indexed by typed keys.

use crate::ids::Key;
use serde::{Deserialize, Serialize};
use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// An append-only vector indexed by a typed key.
#[derive(Clone, Debug)]
pub struct Arena<K, V> {
    entries: Vec<V>,
    key: PhantomData<K>,
}

impl<K, V> Default for Arena<K, V> {
    fn default() -> Self {
        Self { entries: Vec::new(), key: PhantomData }
    }
}

impl<K, V> Arena<K, V>
where
    K: Key,
{
    /// Adds an entry and returns its key.
    pub fn push(&mut self, value: V) -> K {
        self.entries.push(value);
        K::from_index(self.entries.len() - 1)
    }

    /// Returns the entry, or `None` if the key comes from a newer, longer arena.
    pub fn get(&self, key: K) -> Option<&V> {
        self.entries.get(key.index())
    }

    /// Returns the entry mutably, or `None` if the key comes from a newer, longer arena.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.entries.get_mut(key.index())
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the arena has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the entries in key order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.entries.iter().enumerate().map(|(i, v)| (K::from_index(i), v))
    }

    /// Iterates mutably over the entries in key order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.entries.iter_mut().enumerate().map(|(i, v)| (K::from_index(i), v))
    }

    /// Iterates over the keys in order.
    pub fn keys(&self) -> impl Iterator<Item = K> + use<K, V> {
        (0..self.entries.len()).map(K::from_index)
    }

    /// Grows the arena to `len` entries created by `make`; never shrinks it.
    pub fn grow<F>(&mut self, len: usize, make: F)
    where
        F: FnMut() -> V,
    {
        if self.entries.len() < len {
            self.entries.resize_with(len, make);
        }
    }
}

impl<K, V> Index<K> for Arena<K, V>
where
    K: Key,
{
    type Output = V;

    fn index(&self, key: K) -> &V {
        &self.entries[key.index()]
    }
}

impl<K, V> IndexMut<K> for Arena<K, V>
where
    K: Key,
{
    fn index_mut(&mut self, key: K) -> &mut V {
        &mut self.entries[key.index()]
    }
}

/// A key into a [`Slab`].
///
/// The generation of an index changes on removal, so the key of a removed value does not match the
/// next value at that index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlabKey {
    index: u32,
    generation: u32,
}

/// A store of short-lived values that reuses the indexes of removed ones.
#[derive(Debug)]
pub struct Slab<V> {
    /// The generation and value of each index; an index without a value is listed in `free`.
    entries: Vec<(u32, Option<V>)>,
    free: Vec<u32>,
}

impl<V> Default for Slab<V> {
    fn default() -> Self {
        Self { entries: Vec::new(), free: Vec::new() }
    }
}

impl<V> Slab<V> {
    /// Stores a value and returns its key.
    pub fn insert(&mut self, value: V) -> SlabKey {
        self.insert_with(|_| value)
    }

    /// Stores the value that `make` creates for its key, and returns the key.
    pub fn insert_with<F>(&mut self, make: F) -> SlabKey
    where
        F: FnOnce(SlabKey) -> V,
    {
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push((0, None));
            self.entries.len() as u32 - 1
        });
        let entry = &mut self.entries[index as usize];
        let key = SlabKey { index, generation: entry.0 };
        entry.1 = Some(make(key));
        key
    }

    /// Returns the value, or `None` if it was removed.
    pub fn get(&self, key: SlabKey) -> Option<&V> {
        let entry = self.entries.get(key.index as usize)?;
        entry.1.as_ref().filter(|_| entry.0 == key.generation)
    }

    /// Returns the value mutably, or `None` if it was removed.
    pub fn get_mut(&mut self, key: SlabKey) -> Option<&mut V> {
        let entry = self.entries.get_mut(key.index as usize)?;
        entry.1.as_mut().filter(|_| entry.0 == key.generation)
    }

    /// Removes and returns the value, or `None` if it was removed before.
    pub fn remove(&mut self, key: SlabKey) -> Option<V> {
        self.get(key)?;
        let entry = &mut self.entries[key.index as usize];
        entry.0 = entry.0.wrapping_add(1);
        self.free.push(key.index);
        entry.1.take()
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    /// Returns whether the slab has no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Iterates over the values in index order.
    pub fn iter(&self) -> impl Iterator<Item = (SlabKey, &V)> {
        self.entries.iter().enumerate().filter_map(|(i, (generation, value))| {
            let key = SlabKey { index: i as u32, generation: *generation };
            value.as_ref().map(|v| (key, v))
        })
    }
}

#[cfg(test)]
mod tests;
