//! A map of bounded size.

use std::borrow::Borrow;
use std::collections::BTreeMap;

/// Divisor of the capacity for the number of entries that are removed at a time, so that a full map
/// is searched for old entries only once in many insertions.
const REMOVAL_DIVISOR: usize = 8;

/// A map that holds at most `CAPACITY` entries and forgets those that were updated least recently.
#[derive(Debug)]
pub struct Bounded<K, V, const CAPACITY: usize> {
    // Values with the number of the update that touched them last.
    entries: BTreeMap<K, (u64, V)>,
    updates: u64,
}

impl<K, V, const CAPACITY: usize> Default for Bounded<K, V, CAPACITY> {
    fn default() -> Self {
        Self { entries: BTreeMap::new(), updates: 0 }
    }
}

impl<K: Ord, V: Default, const CAPACITY: usize> Bounded<K, V, CAPACITY> {
    /// The value of a key.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.entries.get(key).map(|(_, value)| value)
    }

    /// The value of a key for an update; a new key gets the default value.
    pub fn update<Q: Ord + ToOwned<Owned = K> + ?Sized>(&mut self, key: &Q) -> &mut V
    where
        K: Borrow<Q>,
    {
        if self.entries.len() >= CAPACITY && !self.entries.contains_key(key) {
            self.remove_oldest();
        }
        self.updates += 1;
        let (updated, value) = self.entries.entry(key.to_owned()).or_default();
        *updated = self.updates;
        value
    }

    /// All values, in the order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.entries.values().map(|(_, value)| value)
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn remove_oldest(&mut self) {
        let mut updates: Vec<u64> = self.entries.values().map(|(updated, _)| *updated).collect();
        updates.sort_unstable();
        let Some(last_removed) = updates.get(CAPACITY / REMOVAL_DIVISOR).copied() else { return };
        self.entries.retain(|_, (updated, _)| *updated > last_removed);
    }
}
