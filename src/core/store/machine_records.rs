//! The record of every machine that may hold a task, for leaders to come. Machines share pages of
//! the state service, as many as fit into one value: a change is counted by key, and hundreds of
//! machines come up together.
//!
//! Earlier versions wrote pages up to a larger limit. Such a page stays as it is until it has to be
//! written; then what is too much for it moves to other pages in one transaction. Earlier versions
//! forget a machine when one page ceases to list it, even where another one lists it already, and
//! a task on a machine that the next leader does not know of would be started twice. The service
//! tells the changes of a transaction in their order, so the page that gives machines up goes
//! first, and those that take them on follow.

use crate::core::store::cache::{MachineValue, PageValue, StoreCache};
use crate::core::store::keys::{machine_key, page_key};
use crate::job::MachineId;
use crate::wire::{Change, to_json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A machine that is gone may stay on record this long: a new leader would only ask in vain.
const STALE_PAGE_DELAY: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Page {
    machines: BTreeMap<MachineId, MachineValue>,
    bytes: usize,
}

/// The pages as they are or will be in the state service, and what is to be written of them.
#[derive(Default)]
pub struct MachineRecords {
    /// Bytes that a page may have.
    limit: usize,
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

/// Pages to write in one transaction, in this order, and the machines that are then on record.
pub struct PageWrite {
    pub pages: Vec<usize>,
    pub changes: Vec<Change>,
    pub machines: Vec<MachineId>,
}

fn size(id: &MachineId, value: &MachineValue) -> usize {
    id.len() + to_json(value).len() + 4
}

impl MachineRecords {
    /// What a new leader finds on record.
    pub fn new(store_cache: &StoreCache, value_bytes: usize) -> MachineRecords {
        let mut r = MachineRecords {
            limit: value_bytes / 8 * 7,
            single_key_machines: store_cache.single_key_machines.clone(),
            ..MachineRecords::default()
        };
        for (&n, ids) in &store_cache.pages {
            // A page far beyond any number written here is not ours; it stays as it is.
            if n >= 1 << 16 {
                continue;
            }
            if r.pages.len() <= n {
                r.pages.resize_with(n + 1, Page::default);
            }
            for id in ids {
                if let Some(value) = store_cache.machines.get(id) {
                    r.put(n, id.clone(), value.clone());
                }
            }
        }
        r
    }

    fn put(&mut self, n: usize, id: MachineId, value: MachineValue) {
        let page = &mut self.pages[n];
        page.bytes += size(&id, &value);
        page.machines.insert(id.clone(), value);
        self.page_of.insert(id, n);
    }

    /// Puts a machine on the first page with room for it, to be written soon.
    pub fn add(&mut self, id: &MachineId, value: MachineValue) {
        if let Some(n) = self.page_of.get(id) {
            self.pages_to_write.insert(*n);
            return;
        }
        let more = size(id, &value);
        let limit = self.limit;
        let free = |p: &Page| p.machines.is_empty() || p.bytes + more <= limit;
        let n = self.pages.iter().position(free).unwrap_or_else(|| {
            self.pages.push(Page::default());
            self.pages.len() - 1
        });
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
            page.bytes -= size(id, &value);
        }
        self.stale_pages.entry(n).or_insert(now);
    }

    /// The next pages to write, those with new machines first; no more than `most` changes.
    pub fn next(&mut self, now: Instant, only_new: bool, most: usize) -> Option<PageWrite> {
        if let Some(i) = self
            .atomic_groups
            .iter()
            .position(|pages| pages.len() <= most)
        {
            let pages = self.atomic_groups.swap_remove(i);
            return Some(self.write(pages));
        }
        self.deferred_pages.retain(|_, until| now < *until);
        let fits = |n: usize| self.pieces(n) <= most && !self.deferred_pages.contains_key(&n);
        let late = |since: Instant| !only_new && now >= since + STALE_PAGE_DELAY;
        let due = self.pages_to_write.iter().copied().find(|n| fits(*n));
        let n = due.or_else(|| {
            let mut stale = self.stale_pages.iter();
            stale.find_map(|(n, since)| (late(*since) && fits(*n)).then_some(*n))
        })?;
        let pages = if self.pieces(n) > 1 {
            self.split(n)
        } else {
            vec![n]
        };
        Some(self.write(pages))
    }

    /// How many pages the machines of this one take; a page that others move to as well.
    fn pieces(&self, n: usize) -> usize {
        match self.pages[n].bytes {
            bytes if bytes <= self.limit => 1,
            bytes => bytes.div_ceil(self.limit / 4 * 3) + 1,
        }
    }

    /// Moves what is too much for a page to others, and names all pages that this concerns.
    fn split(&mut self, n: usize) -> Vec<usize> {
        let mut pages = vec![n];
        let all = std::mem::take(&mut self.pages[n]);
        for (id, value) in all.machines {
            let more = size(&id, &value);
            let room = |p: &Page| p.machines.is_empty() || p.bytes + more <= self.limit;
            let last = *pages.last().unwrap_or(&n);
            let to = if room(&self.pages[last]) {
                last
            } else {
                // Empty ones only: each other page with room would be one more to write.
                let empty = |p: &Page| p.machines.is_empty();
                let vacant = self.pages.iter().position(empty).unwrap_or_else(|| {
                    self.pages.push(Page::default());
                    self.pages.len() - 1
                });
                pages.push(vacant);
                vacant
            };
            self.put(to, id, value);
        }
        pages
    }

    fn write(&mut self, pages: Vec<usize>) -> PageWrite {
        let mut changes = Vec::new();
        let mut machines = Vec::new();
        for &n in &pages {
            self.pages_to_write.remove(&n);
            self.stale_pages.remove(&n);
            let page = &self.pages[n];
            machines.extend(page.machines.keys().cloned());
            let key = page_key(n);
            changes.push(if page.machines.is_empty() {
                Change::Delete { key }
            } else {
                let value = PageValue {
                    machines: page.machines.clone(),
                };
                Change::Put {
                    key,
                    value: serde_json::to_value(value).unwrap_or_default(),
                    lease: None,
                }
            });
        }
        PageWrite {
            pages,
            changes,
            machines,
        }
    }

    /// It is in the state service, as far as what is due tells.
    pub fn known(&self, id: &MachineId) -> bool {
        let page = self.page_of.get(id);
        self.single_key_machines.contains(id)
            || page.is_some_and(|n| !self.pages_to_write.contains(n))
    }

    pub fn has(&self, id: &MachineId) -> bool {
        self.page_of.contains_key(id) || self.single_key_machines.contains(id)
    }

    /// Whether all machines that may hold tasks are on record.
    pub fn all_written(&self) -> bool {
        self.pages_to_write.is_empty() && self.atomic_groups.is_empty()
    }

    /// The pages were not written after all.
    pub fn requeue(&mut self, pages: Vec<usize>) {
        match pages.as_slice() {
            [n] => {
                self.pages_to_write.insert(*n);
            }
            _ => self.atomic_groups.push(pages),
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
