//! Dense indices for named entities. Names are converted to indices on input, and all other
//! code uses indices. Each kind of entity has its own index type, so that an index of one kind
//! can't be used for another.

use std::collections::HashMap;
use std::fmt::Debug;
use std::hash::Hash;

/// An index of one kind of entity. Indices are dense, start at 0, are ordered by number and
/// are only valid within this process.
pub trait Index: Copy + Debug + Ord + Hash {
    /// Converts a position in a vector with one entry per index to an index.
    fn from_usize(position: usize) -> Self;

    /// Returns the position of the entity in a vector with one entry per index.
    fn usize(self) -> usize;
}

/// Defines one index type for each name.
macro_rules! index_types {
    ($($(#[$attribute:meta])* $name:ident;)*) => {$(
        $(#[$attribute])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl Index for $name {
            fn from_usize(position: usize) -> $name {
                $name(position as u32)
            }

            fn usize(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

index_types! {
    /// Index of a machine that this leader knows.
    MachineIx;
    /// Index of a job of this shard.
    JobIx;
    /// Index of an open attempt of a task.
    AttemptIx;
    /// Index of a machine type, by the name used in the cloud's catalogue.
    TypeIx;
    /// Index of a zone of the cloud.
    ZoneIx;
    /// Index of a container image.
    ImageIx;
    /// Index of a team, whose jobs share a guarantee and a limit.
    TeamIx;
    /// Index of a class by which demand is counted: the jobs of one submitted class whose tasks
    /// have the same shape.
    ClassIx;
    /// Index of a group of machines that share a key of the inventory.
    GroupIx;
}

/// Identifies a chunk of a job's tasks. The tasks of a chunk are stored under one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkId {
    /// The job that the tasks belong to.
    pub job: JobIx,
    /// Position of the chunk among the job's chunks, starting at 0.
    pub number: u32,
}

/// Assigns a permanent index to each name. Meant for sets that stay small, such as types,
/// zones, teams and images, because names are never removed.
#[derive(Debug, Clone)]
pub struct Interner<K> {
    by_name: HashMap<String, K>,
    names: Vec<String>,
}

impl<K> Default for Interner<K> {
    fn default() -> Self {
        Interner {
            by_name: HashMap::new(),
            names: Vec::new(),
        }
    }
}

impl<K: Index> Interner<K> {
    /// Returns the index of a name, and assigns the next index if the name is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(&ix) = self.by_name.get(name) {
            return ix;
        }
        let ix = K::from_usize(self.names.len());
        self.names.push(name.to_owned());
        self.by_name.insert(name.to_owned(), ix);
        ix
    }

    /// Returns the index of a name, if one is assigned.
    pub fn get(&self, name: &str) -> Option<K> {
        self.by_name.get(name).copied()
    }

    /// Returns the name with this index.
    pub fn name(&self, ix: K) -> &str {
        &self.names[ix.usize()]
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there are no names yet.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// A table of named entries with an index each. The index of a removed entry is reused.
#[derive(Debug)]
pub struct Table<K, T> {
    by_name: HashMap<String, K>,
    slots: Vec<Option<T>>,
    free: Vec<K>,
}

impl<K, T> Default for Table<K, T> {
    fn default() -> Self {
        Table {
            by_name: HashMap::new(),
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<K: Index, T> Table<K, T> {
    /// Adds an entry, or replaces the one with this name under the same index. Returns the index.
    pub fn insert(&mut self, name: &str, value: T) -> K {
        if let Some(&ix) = self.by_name.get(name) {
            self.slots[ix.usize()] = Some(value);
            return ix;
        }
        let ix = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            K::from_usize(self.slots.len() - 1)
        });
        self.slots[ix.usize()] = Some(value);
        self.by_name.insert(name.to_owned(), ix);
        ix
    }

    /// Removes and returns the entry with this name. Its index may be assigned to another entry.
    pub fn remove(&mut self, name: &str) -> Option<T> {
        let ix = self.by_name.remove(name)?;
        self.free.push(ix);
        self.slots[ix.usize()].take()
    }

    /// Returns the index of the entry with this name.
    pub fn find(&self, name: &str) -> Option<K> {
        self.by_name.get(name).copied()
    }

    /// Returns the entry with this index, or `None` if it was removed.
    pub fn get(&self, ix: K) -> Option<&T> {
        self.slots.get(ix.usize())?.as_ref()
    }

    /// Returns a mutable reference to the entry with this index, or `None` if it was removed.
    pub fn get_mut(&mut self, ix: K) -> Option<&mut T> {
        self.slots.get_mut(ix.usize())?.as_mut()
    }

    /// Returns an iterator over all entries in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(ix, slot)| slot.as_ref().map(|value| (K::from_usize(ix), value)))
    }

    /// Returns a mutable iterator over all entries in the order of their indices.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut T)> {
        self.slots
            .iter_mut()
            .enumerate()
            .filter_map(|(ix, slot)| slot.as_mut().map(|value| (K::from_usize(ix), value)))
    }

    /// Returns the indices in use, in ascending order.
    pub fn indices(&self) -> Vec<K> {
        self.iter().map(|(ix, _)| ix).collect()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

#[cfg(test)]
mod tests;
