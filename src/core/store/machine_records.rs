//! The record of every machine that may hold a task, for leaders to come. Machines share pages of
//! the state service, as many as fit into one value: a change is counted by key, and hundreds of
//! machines come up together.
//!
//! Earlier versions wrote pages up to a larger limit. Such a page stays as it is until it has to be
//! written; then what is too much for it moves to other pages in one transaction. Earlier versions
//! forget a machine when one page ceases to list it, even where another one lists it already, and
//! a task on a machine that the next leader does not know of would be started twice. The service
//! shows the changes of a transaction in their order, so the page that gives machines up goes
//! first, and those that take them on follow.

use crate::core::store::cache::{MachineValue, PageValue, StoreCache};
use crate::core::store::keys::{machine_key, page_key};
use crate::job::MachineId;
use crate::wire::{Change, to_json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A removed machine may stay in the stored list this long: a new leader would only probe it in vain.
const STALE_PAGE_DELAY: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Page {
    machines: BTreeMap<MachineId, MachineValue>,
    /// What they take of a value.
    bytes: usize,
}

impl Page {
    /// Whether so many bytes more fit; an empty page takes any machine.
    fn has_room(&self, bytes: usize, max_bytes: usize) -> bool {
        self.machines.is_empty() || self.bytes + bytes <= max_bytes
    }

    /// The change that brings the stored page up to date.
    fn change(&self, key: String) -> Change {
        if self.machines.is_empty() {
            return Change::Delete { key };
        }
        let machines = self.machines.clone();
        let value = serde_json::to_value(PageValue { machines });
        Change::put(key, value.unwrap_or_default())
    }
}

/// The pages as they are or will be in the state service, and what is to be written of them.
#[derive(Default)]
pub struct MachineRecords {
    /// Bytes that a page may have.
    max_page_bytes: usize,
    pages: Vec<Page>,
    page_of: BTreeMap<MachineId, usize>,
    /// Pages that have new machines on them.
    pages_to_write: BTreeSet<usize>,
    /// Pages that list machines which are gone, and since when.
    stale_pages: BTreeMap<usize, Instant>,
    /// Pages that the service refuses, and until when they are not tried again.
    deferred_pages: BTreeMap<usize, Instant>,
    /// Pages between which machines move: written together, in this order, or not at all.
    atomic_groups: Vec<Vec<usize>>,
    /// Machines recorded under keys of their own, as earlier versions did.
    single_key_machines: BTreeSet<MachineId>,
    /// Those of them that are gone.
    single_keys_to_delete: BTreeSet<MachineId>,
}

/// Pages to write in one transaction, in this order, and the machines that are then recorded.
pub struct PageWrite {
    /// Numbers of the pages.
    pub pages: Vec<usize>,
    /// The change of each page.
    pub changes: Vec<Change>,
    /// Machines that are recorded once this is committed.
    pub machines: Vec<MachineId>,
}

/// What quotes and separators take of a page, for each machine.
const ENTRY_OVERHEAD_BYTES: usize = 4;
/// Pages from this number on are not ours, and stay as they are.
const MAX_PAGES: usize = 1 << 16;

/// Bytes that a machine takes of its page.
fn entry_bytes(id: &MachineId, value: &MachineValue) -> usize {
    id.len() + to_json(value).len() + ENTRY_OVERHEAD_BYTES
}

impl MachineRecords {
    /// The machines that a new leader finds in the store.
    pub fn new(store_cache: &StoreCache, value_bytes: usize) -> MachineRecords {
        let mut records = MachineRecords {
            max_page_bytes: value_bytes / 8 * 7,
            single_key_machines: store_cache.single_key_machines.clone(),
            ..MachineRecords::default()
        };
        for (&n, ids) in &store_cache.pages {
            if n >= MAX_PAGES {
                continue;
            }
            if records.pages.len() <= n {
                records.pages.resize_with(n + 1, Page::default);
            }
            for id in ids {
                if let Some(value) = store_cache.machines.get(id) {
                    records.put(n, id.clone(), value.clone());
                }
            }
        }
        records
    }

    /// Puts a machine on a page.
    fn put(&mut self, n: usize, id: MachineId, value: MachineValue) {
        let page = &mut self.pages[n];
        page.bytes += entry_bytes(&id, &value);
        page.machines.insert(id.clone(), value);
        self.page_of.insert(id, n);
    }

    /// Puts a machine on the first page with room for it, to be written soon.
    pub fn add(&mut self, id: &MachineId, value: MachineValue) {
        if let Some(n) = self.page_of.get(id) {
            self.pages_to_write.insert(*n);
            return;
        }
        let bytes = entry_bytes(id, &value);
        let max_bytes = self.max_page_bytes;
        let n = self.find_or_add_page(|page| page.has_room(bytes, max_bytes));
        self.put(n, id.clone(), value);
        self.pages_to_write.insert(n);
    }

    /// Takes a machine that is gone off its page, to be written when convenient.
    pub fn remove(&mut self, id: &MachineId, now: Instant) {
        if self.single_key_machines.remove(id) {
            self.delete_single_key(id.clone());
        }
        let Some(n) = self.page_of.remove(id) else {
            return;
        };
        let page = &mut self.pages[n];
        if let Some(value) = page.machines.remove(id) {
            page.bytes -= entry_bytes(id, &value);
        }
        self.stale_pages.entry(n).or_insert(now);
    }

    /// The next pages to write, those with new machines first; no more than `max_changes`. The
    /// first page that fits with new machines; else, unless `only_new`, one that lists machines that are gone.
    pub fn next_write(
        &mut self,
        now: Instant,
        only_new: bool,
        max_changes: usize,
    ) -> Option<PageWrite> {
        let mut groups = self.atomic_groups.iter();
        if let Some(group) = groups.position(|pages| pages.len() <= max_changes) {
            let pages = self.atomic_groups.swap_remove(group);
            return Some(self.page_write(pages));
        }
        self.deferred_pages.retain(|_, until| now < *until);
        let new = self.next_new_page(max_changes);
        let n = match new {
            None if !only_new => self.next_stale_page(now, max_changes),
            new => new,
        }?;
        let pages = if self.pages_after_split(n) > 1 {
            self.split(n)
        } else {
            vec![n]
        };
        Some(self.page_write(pages))
    }

    /// The first page with new machines that can be written now.
    fn next_new_page(&self, max_changes: usize) -> Option<usize> {
        let mut pages = self.pages_to_write.iter().copied();
        pages.find(|n| self.can_write(*n, max_changes))
    }

    /// The first page that has listed machines that are gone for long enough, and can be written now.
    fn next_stale_page(&self, now: Instant, max_changes: usize) -> Option<usize> {
        let due = |since: Instant| now >= since + STALE_PAGE_DELAY;
        let mut pages = self.stale_pages.iter();
        let (n, _) = pages.find(|(n, since)| due(**since) && self.can_write(**n, max_changes))?;
        Some(*n)
    }

    fn can_write(&self, n: usize, max_changes: usize) -> bool {
        self.pages_after_split(n) <= max_changes && !self.deferred_pages.contains_key(&n)
    }

    /// The first page of which this holds, or a new one at the end.
    fn find_or_add_page(&mut self, predicate: impl Fn(&Page) -> bool) -> usize {
        let found = self.pages.iter().position(predicate);
        found.unwrap_or_else(|| {
            self.pages.push(Page::default());
            self.pages.len() - 1
        })
    }

    /// How many pages the machines of this one take; a page that others move to as well.
    fn pages_after_split(&self, n: usize) -> usize {
        match self.pages[n].bytes {
            bytes if bytes <= self.max_page_bytes => 1,
            bytes => bytes.div_ceil(self.max_page_bytes / 4 * 3) + 1,
        }
    }

    /// Moves what is too much for a page to others, and names all pages that this concerns.
    fn split(&mut self, n: usize) -> Vec<usize> {
        let mut pages = vec![n];
        let all = std::mem::take(&mut self.pages[n]);
        for (id, value) in all.machines {
            let bytes = entry_bytes(&id, &value);
            let last = *pages.last().unwrap_or(&n);
            let target = if self.pages[last].has_room(bytes, self.max_page_bytes) {
                last
            } else {
                // Empty ones only: each other page with room would be one more to write.
                let empty_page = self.find_or_add_page(|page| page.machines.is_empty());
                pages.push(empty_page);
                empty_page
            };
            self.put(target, id, value);
        }
        pages
    }

    /// The changes that bring these pages up to date.
    fn page_write(&mut self, pages: Vec<usize>) -> PageWrite {
        let mut changes = Vec::new();
        let mut machines = Vec::new();
        for &n in &pages {
            self.pages_to_write.remove(&n);
            self.stale_pages.remove(&n);
            let page = &self.pages[n];
            machines.extend(page.machines.keys().cloned());
            changes.push(page.change(page_key(n)));
        }
        PageWrite {
            pages,
            changes,
            machines,
        }
    }

    /// Whether the machine is recorded in the state service, as far as the pending pages show.
    pub fn is_recorded(&self, id: &MachineId) -> bool {
        let page = self.page_of.get(id);
        self.single_key_machines.contains(id)
            || page.is_some_and(|n| !self.pages_to_write.contains(n))
    }

    /// Whether the machine is recorded, or its record is pending.
    pub fn is_recorded_or_pending(&self, id: &MachineId) -> bool {
        self.page_of.contains_key(id) || self.single_key_machines.contains(id)
    }

    /// Whether all machines that may hold tasks are recorded.
    pub fn all_written(&self) -> bool {
        self.pages_to_write.is_empty() && self.atomic_groups.is_empty()
    }

    /// The pages were not written after all.
    pub fn requeue(&mut self, pages: Vec<usize>) {
        if let [n] = pages[..] {
            self.pages_to_write.insert(n);
        } else {
            self.atomic_groups.push(pages);
        }
    }

    /// The service refuses this page; it is tried again later.
    pub fn defer(&mut self, n: usize, until: Instant) {
        self.deferred_pages.insert(n, until);
        self.pages_to_write.insert(n);
    }

    /// This key of a single machine is to be deleted.
    pub fn delete_single_key(&mut self, id: MachineId) {
        self.single_keys_to_delete.insert(id);
    }

    /// The next key of a single machine to delete.
    pub fn next_single_key_deletion(&mut self) -> Option<Change> {
        let id = self.single_keys_to_delete.pop_first()?;
        Some(Change::Delete {
            key: machine_key(&id),
        })
    }
}

#[cfg(test)]
mod tests;
