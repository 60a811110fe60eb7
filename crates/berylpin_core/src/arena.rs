//! Vectors indexed by typed keys.

use crate::ids::Key;
use serde::{Deserialize, Serialize};
use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// A vector whose entries are reached by a key of their own type.
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

    /// Returns the entry, or `None` for a key of a newer arena.
    pub fn get(&self, key: K) -> Option<&V> {
        self.entries.get(key.index())
    }

    /// Returns the entry to change it, or `None` for a key of a newer arena.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.entries.get_mut(key.index())
    }

    /// Returns how many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Visits the entries in key order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.entries.iter().enumerate().map(|(i, v)| (K::from_index(i), v))
    }

    /// Visits the entries mutably in key order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.entries.iter_mut().enumerate().map(|(i, v)| (K::from_index(i), v))
    }

    /// Visits the keys in order.
    pub fn keys(&self) -> impl Iterator<Item = K> + use<K, V> {
        (0..self.entries.len()).map(K::from_index)
    }

    /// Grows the arena to `len` entries made by `make`.
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

/// A key into a [`Slab`]; a reused place gets a new generation, so an old key finds nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlabKey {
    index: u32,
    generation: u32,
}

/// A store of short-lived entries that reuses freed places.
#[derive(Debug)]
pub struct Slab<V> {
    /// A place is either filled or listed in `free`, never both.
    places: Vec<(u32, Option<V>)>,
    free: Vec<u32>,
}

impl<V> Default for Slab<V> {
    fn default() -> Self {
        Self { places: Vec::new(), free: Vec::new() }
    }
}

impl<V> Slab<V> {
    /// Stores a value and returns its key.
    pub fn insert(&mut self, value: V) -> SlabKey {
        self.insert_with(|_| value)
    }

    /// Stores a value that knows its key, and returns the key.
    pub fn insert_with<F>(&mut self, make: F) -> SlabKey
    where
        F: FnOnce(SlabKey) -> V,
    {
        let index = self.free.pop().unwrap_or_else(|| {
            self.places.push((0, None));
            self.places.len() as u32 - 1
        });
        let place = &mut self.places[index as usize];
        let key = SlabKey { index, generation: place.0 };
        place.1 = Some(make(key));
        key
    }

    /// Returns the value of a key that was not removed yet.
    pub fn get(&self, key: SlabKey) -> Option<&V> {
        let place = self.places.get(key.index as usize)?;
        place.1.as_ref().filter(|_| place.0 == key.generation)
    }

    /// Returns the value of a key that was not removed yet, to change it.
    pub fn get_mut(&mut self, key: SlabKey) -> Option<&mut V> {
        let place = self.places.get_mut(key.index as usize)?;
        place.1.as_mut().filter(|_| place.0 == key.generation)
    }

    /// Removes and returns the value; the key finds nothing from then on.
    pub fn remove(&mut self, key: SlabKey) -> Option<V> {
        self.get(key)?;
        let place = &mut self.places[key.index as usize];
        place.0 = place.0.wrapping_add(1);
        self.free.push(key.index);
        place.1.take()
    }

    /// Returns how many values are stored.
    pub fn len(&self) -> usize {
        self.places.len() - self.free.len()
    }

    /// Returns whether nothing is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Visits the stored values in place order.
    pub fn iter(&self) -> impl Iterator<Item = (SlabKey, &V)> {
        self.places.iter().enumerate().filter_map(|(i, (generation, value))| {
            let key = SlabKey { index: i as u32, generation: *generation };
            value.as_ref().map(|v| (key, v))
        })
    }
}

#[cfg(test)]
mod tests;
