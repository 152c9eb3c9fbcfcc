//! Records of all machines that may hold a task, stored for later leaders. A page under one key of
//! the state service holds as many machines as fit into a value, because the service counts changes
//! by key, and hundreds of machines may start at the same time.
//!
//! Earlier versions wrote pages up to a larger limit. Such a page stays as it is until it has to be
//! written; its excess machines then move to other pages in the same transaction. Earlier versions
//! drop a machine as soon as one page stops listing it, even if another page already lists it, and
//! a task on a machine that the next leader does not know would be started twice. The service
//! delivers the changes of a transaction in order, so the page that loses machines is written
//! first, followed by the pages that receive them.

use crate::core::store::cache::{MachineValue, PageValue, StoreCache};
use crate::core::store::keys::page_key;
use crate::job::MachineId;
use crate::wire::{Change, to_json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Delay before a page is written only to drop removed machines. Until then, a new leader would merely
/// probe them without success.
const STALE_PAGE_DELAY: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Page {
    machines: BTreeMap<MachineId, MachineValue>,
    /// Bytes that the machines take of the value.
    bytes: usize,
}

impl Page {
    /// Returns whether this many more bytes fit; an empty page accepts a machine of any size.
    fn has_room(&self, bytes: usize, max_bytes: usize) -> bool {
        self.machines.is_empty() || self.bytes + bytes <= max_bytes
    }

    /// Returns the change that brings the stored page up to date.
    fn change(&self, key: String) -> Change {
        if self.machines.is_empty() {
            return Change::Delete { key };
        }
        let machines = self.machines.clone();
        let value = serde_json::to_value(PageValue { machines });
        Change::put(key, value.unwrap_or_default())
    }
}

/// Pages as they are or will be stored in the state service, and the writes that are still due.
#[derive(Default)]
pub struct MachineRecords {
    /// Maximum size of a page, in bytes.
    max_page_bytes: usize,
    pages: Vec<Page>,
    page_of: BTreeMap<MachineId, usize>,
    /// Pages with new machines, which are to be written.
    pages_to_write: BTreeSet<usize>,
    /// Stored pages that still list removed machines, and since when.
    stale_pages: BTreeMap<usize, Instant>,
    /// Pages that the service refused, and when they may be written again.
    deferred_pages: BTreeMap<usize, Instant>,
    /// Groups of pages between which machines move: each group is written in one transaction, in this order.
    atomic_groups: Vec<Vec<usize>>,
    /// Machines recorded under keys of their own by earlier versions.
    single_key_machines: BTreeSet<MachineId>,
    /// Machines of that kind whose keys are to be deleted.
    single_keys_to_delete: BTreeSet<MachineId>,
}

/// Pages to write in one transaction, in this order, and the machines that are then recorded.
pub struct PageWrite {
    /// Page numbers.
    pub pages: Vec<usize>,
    /// Change of each page.
    pub changes: Vec<Change>,
    /// Machines that are recorded once the transaction is committed.
    pub machines: Vec<MachineId>,
}

/// Bytes of a page for the quotes and separators of one machine.
const ENTRY_OVERHEAD_BYTES: usize = 4;
/// Upper bound of page numbers. Pages with higher numbers were not written by this program and are left alone.
const MAX_PAGES: usize = 1 << 16;

/// Returns the bytes that a machine takes of its page.
fn entry_bytes(id: &MachineId, value: &MachineValue) -> usize {
    id.len() + to_json(value).len() + ENTRY_OVERHEAD_BYTES
}

impl MachineRecords {
    /// Creates the records from the machines that a new leader finds in the store.
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

    /// Puts a machine on the first page with room for it, unless it is on a page already, and queues the page.
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

    /// Removes a machine from its page, which is written after `STALE_PAGE_DELAY` at the earliest.
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

    /// Returns the next pages to write, at most `max_changes`: a group of pages between which machines
    /// move, else the first page with new machines, else, unless `only_new`, a page that lists removed ones.
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

    /// Returns the first page with new machines that can be written now.
    fn next_new_page(&self, max_changes: usize) -> Option<usize> {
        let mut pages = self.pages_to_write.iter().copied();
        pages.find(|n| self.can_write(*n, max_changes))
    }

    /// Returns the first page that has listed removed machines for `STALE_PAGE_DELAY` and can be written now.
    fn next_stale_page(&self, now: Instant, max_changes: usize) -> Option<usize> {
        let due = |since: Instant| now >= since + STALE_PAGE_DELAY;
        let mut pages = self.stale_pages.iter();
        let (n, _) = pages.find(|(n, since)| due(**since) && self.can_write(**n, max_changes))?;
        Some(*n)
    }

    fn can_write(&self, n: usize, max_changes: usize) -> bool {
        self.pages_after_split(n) <= max_changes && !self.deferred_pages.contains_key(&n)
    }

    /// Returns the first page that satisfies the predicate, or a new one at the end.
    fn find_or_add_page(&mut self, predicate: impl Fn(&Page) -> bool) -> usize {
        let found = self.pages.iter().position(predicate);
        found.unwrap_or_else(|| {
            self.pages.push(Page::default());
            self.pages.len() - 1
        })
    }

    /// Returns how many pages have to be written at most to write this one: several if it has to be split.
    fn pages_after_split(&self, n: usize) -> usize {
        match self.pages[n].bytes {
            bytes if bytes <= self.max_page_bytes => 1,
            bytes => bytes.div_ceil(self.max_page_bytes / 4 * 3) + 1,
        }
    }

    /// Moves the excess machines of a page to empty pages. Returns all pages that change, this one first.
    fn split(&mut self, n: usize) -> Vec<usize> {
        let mut pages = vec![n];
        let all = std::mem::take(&mut self.pages[n]);
        for (id, value) in all.machines {
            let bytes = entry_bytes(&id, &value);
            let last = *pages.last().unwrap_or(&n);
            let target = if self.pages[last].has_room(bytes, self.max_page_bytes) {
                last
            } else {
                // Only empty pages are filled: partly filled ones would add more pages to the transaction.
                let empty_page = self.find_or_add_page(|page| page.machines.is_empty());
                pages.push(empty_page);
                empty_page
            };
            self.put(target, id, value);
        }
        pages
    }

    /// Returns the write that brings these pages up to date, and removes them from the queues.
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

    /// Returns whether the machine's record is stored, which it is unless its page is still queued.
    pub fn is_recorded(&self, id: &MachineId) -> bool {
        let page = self.page_of.get(id);
        self.single_key_machines.contains(id)
            || page.is_some_and(|n| !self.pages_to_write.contains(n))
    }

    /// Returns whether the machine's record is stored or queued.
    pub fn is_recorded_or_pending(&self, id: &MachineId) -> bool {
        self.page_of.contains_key(id) || self.single_key_machines.contains(id)
    }

    /// Returns whether the records of all machines that may hold tasks are stored.
    pub fn all_written(&self) -> bool {
        self.pages_to_write.is_empty() && self.atomic_groups.is_empty()
    }

    /// Queues pages again that were not written.
    pub fn requeue(&mut self, pages: Vec<usize>) {
        if let [n] = pages[..] {
            self.pages_to_write.insert(n);
        } else {
            self.atomic_groups.push(pages);
        }
    }

    /// Queues a page that the service refused, to be written again at the given time.
    pub fn defer(&mut self, n: usize, until: Instant) {
        self.deferred_pages.insert(n, until);
        self.pages_to_write.insert(n);
    }

    /// Queues the deletion of a single machine's key.
    pub fn delete_single_key(&mut self, id: MachineId) {
        self.single_keys_to_delete.insert(id);
    }

    /// Takes the next machine whose own key is to be deleted.
    pub fn next_single_key_deletion(&mut self) -> Option<MachineId> {
        self.single_keys_to_delete.pop_first()
    }
}

#[cfg(test)]
mod tests;
