//! Names become dense indices on input; inside, everything is an index. Each kind of
//! thing has an index type of its own, so that one can't be used for another.

use std::collections::HashMap;
use std::fmt::Debug;
use std::hash::Hash;

/// The index of one kind of thing. Indices are dense, begin at 0, are ordered as
/// numbers, and mean nothing outside of this process.
pub trait Index: Copy + Debug + Ord + Hash {
    /// The index of the thing at this place of a vector.
    fn from_usize(place: usize) -> Self;

    /// The place of the thing in a vector that holds one entry for each index.
    fn usize(self) -> usize;
}

/// Defines one index type for each name.
macro_rules! index_types {
    ($($(#[$attribute:meta])* $name:ident;)*) => {$(
        $(#[$attribute])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl Index for $name {
            fn from_usize(place: usize) -> $name {
                $name(place as u32)
            }

            fn usize(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

index_types! {
    /// A machine that this leader knows of.
    MachineIx;
    /// A job of this shard.
    JobIx;
    /// An open attempt at a task.
    AttemptIx;
    /// A type of machine in the cloud's catalogue.
    TypeIx;
    /// A zone of the cloud.
    ZoneIx;
    /// A container image.
    ImageIx;
    /// A team whose jobs share a guarantee and a limit.
    TeamIx;
    /// A class of jobs whose tasks ask for the same machines.
    ClassIx;
    /// A group of machines that share a key of the inventory.
    GroupIx;
}

/// A chunk of a job's tasks, which are written under one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChunkId {
    /// The job that the tasks belong to.
    pub job: JobIx,
    /// The place of the chunk among the job's chunks.
    pub number: u32,
}

/// Gives each name a small index for good. For sets that stay small: types,
/// zones, teams, images.
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
    /// The index of a name, which is given one if it has none yet.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(&ix) = self.by_name.get(name) {
            return ix;
        }
        let ix = K::from_usize(self.names.len());
        self.names.push(name.to_owned());
        self.by_name.insert(name.to_owned(), ix);
        ix
    }

    /// The index of a name that has one.
    pub fn get(&self, name: &str) -> Option<K> {
        self.by_name.get(name).copied()
    }

    /// The name that has this index.
    pub fn name(&self, ix: K) -> &str {
        &self.names[ix.usize()]
    }

    /// How many names have an index.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name has an index yet.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// A table of named things that come and go; a freed index is used again.
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
    /// Adds a thing, or replaces the one of this name, which keeps its index.
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

    /// Removes the thing of this name; its index may be given to another.
    pub fn remove(&mut self, name: &str) -> Option<T> {
        let ix = self.by_name.remove(name)?;
        self.free.push(ix);
        self.slots[ix.usize()].take()
    }

    /// The index of the thing of this name.
    pub fn find(&self, name: &str) -> Option<K> {
        self.by_name.get(name).copied()
    }

    /// The thing that has this index, if it is still there.
    pub fn get(&self, ix: K) -> Option<&T> {
        self.slots.get(ix.usize())?.as_ref()
    }

    /// The thing that has this index, if it is still there, to be changed.
    pub fn get_mut(&mut self, ix: K) -> Option<&mut T> {
        self.slots.get_mut(ix.usize())?.as_mut()
    }

    /// All things in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(ix, slot)| slot.as_ref().map(|value| (K::from_usize(ix), value)))
    }

    /// All things in the order of their indices, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut T)> {
        self.slots
            .iter_mut()
            .enumerate()
            .filter_map(|(ix, slot)| slot.as_mut().map(|value| (K::from_usize(ix), value)))
    }

    /// The indices in use, in order.
    pub fn indices(&self) -> Vec<K> {
        self.iter().map(|(ix, _)| ix).collect()
    }

    /// How many things there are.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there is nothing in the table.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

#[cfg(test)]
mod tests;
