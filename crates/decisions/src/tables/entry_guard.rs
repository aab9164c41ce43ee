//! Entries of a shared map that last as long as a task.

use std::collections::HashMap;
use std::hash::Hash;

use super::RankedMutex;

/// Removes an entry of a shared map when it is dropped, so that the entry does
/// not outlast the task that it stands for, even if that panics.
#[derive(Debug)]
pub struct EntryGuard<'a, K, V>
where
    K: Eq + Hash,
{
    map: &'a RankedMutex<HashMap<K, V>>,
    key: Option<K>,
}

impl<'a, K, V> EntryGuard<'a, K, V>
where
    K: Eq + Hash,
{
    /// Guards the entry at `key`.
    pub fn new(map: &'a RankedMutex<HashMap<K, V>>, key: K) -> Self {
        Self {
            map,
            key: Some(key),
        }
    }

    /// Removes the entry and returns it; `None` if it is gone already.
    pub fn take(mut self) -> Option<V> {
        let key = self.key.take()?;
        self.map.lock().remove(&key)
    }

    /// Replaces the entry by one that stays.
    pub fn replace(mut self, value: V) {
        if let Some(key) = self.key.take() {
            self.map.lock().insert(key, value);
        }
    }
}

impl<K, V> Drop for EntryGuard<'_, K, V>
where
    K: Eq + Hash,
{
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            self.map.lock().remove(&key);
        }
    }
}
