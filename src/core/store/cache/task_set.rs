//! Set of task indices of a job, and its stored form as ranges.

/// Set of a job's tasks, by index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskSet {
    bits: Vec<u64>,
    count: u32,
}

impl TaskSet {
    /// Returns whether a task is in the set.
    pub fn contains(&self, task: u32) -> bool {
        let (word, bit) = (task as usize / 64, task % 64);
        self.bits.get(word).is_some_and(|x| x >> bit & 1 == 1)
    }

    /// Adds a task. Returns false if it was in the set already.
    pub fn insert(&mut self, task: u32) -> bool {
        let (word, bit) = (task as usize / 64, task % 64);
        if self.contains(task) {
            return false;
        }
        if self.bits.len() <= word {
            self.bits.resize(word + 1, 0);
        }
        self.bits[word] |= 1 << bit;
        self.count += 1;
        true
    }

    /// Adds all tasks of another set.
    pub fn union_with(&mut self, other: &TaskSet) {
        if self.bits.len() < other.bits.len() {
            self.bits.resize(other.bits.len(), 0);
        }
        for (mine, theirs) in self.bits.iter_mut().zip(&other.bits) {
            *mine |= theirs;
        }
        self.count = self.bits.iter().map(|b| b.count_ones()).sum();
    }

    /// Returns the number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Formats the tasks within `base..base + size` as ranges relative to `base`: "0-4,7".
    pub fn ranges(&self, base: u32, size: u32) -> String {
        let mut out = String::new();
        let mut task = base;
        let end = base.saturating_add(size).min(self.bits.len() as u32 * 64);
        while task < end {
            if !self.contains(task) {
                task += 1;
                continue;
            }
            let first = task;
            while task < end && self.contains(task) {
                task += 1;
            }
            if !out.is_empty() {
                out.push(',');
            }
            out.push_str(&(first - base).to_string());
            if task - first > 1 {
                out.push_str(&format!("-{}", task - 1 - base));
            }
        }
        out
    }

    /// Adds the tasks of ranges formatted by `ranges`, except those from `limit` on; malformed ranges are ignored.
    /// Returns the index after the last task in them, or `base` if there is none.
    pub fn add_ranges(&mut self, base: u32, text: &str, limit: u32) -> u32 {
        let mut end = base;
        for part in text.split(',') {
            let (first, last) = part.split_once('-').unwrap_or((part, part));
            if let (Ok(first), Ok(last)) = (first.parse::<u32>(), last.parse::<u32>()) {
                for task in first..=last.min(limit) {
                    if let Some(task) = base.checked_add(task).filter(|t| *t < limit) {
                        self.insert(task);
                        end = end.max(task + 1);
                    }
                }
            }
        }
        end
    }
}
