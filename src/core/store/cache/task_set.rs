//! A set of a job's rows, written as ranges.

/// A set of a job's rows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RowSet {
    bits: Vec<u64>,
    count: u32,
}

impl RowSet {
    pub fn contains(&self, row: u32) -> bool {
        let (w, b) = (row as usize / 64, row % 64);
        self.bits.get(w).is_some_and(|x| x >> b & 1 == 1)
    }

    pub fn insert(&mut self, row: u32) -> bool {
        let (w, b) = (row as usize / 64, row % 64);
        if self.contains(row) {
            return false;
        }
        if self.bits.len() <= w {
            self.bits.resize(w + 1, 0);
        }
        self.bits[w] |= 1 << b;
        self.count += 1;
        true
    }

    /// Adds all rows of another set.
    pub fn join(&mut self, other: &RowSet) {
        if self.bits.len() < other.bits.len() {
            self.bits.resize(other.bits.len(), 0);
        }
        for (mine, theirs) in self.bits.iter_mut().zip(&other.bits) {
            *mine |= theirs;
        }
        self.count = self.bits.iter().map(|b| b.count_ones()).sum();
    }

    pub fn len(&self) -> u32 {
        self.count
    }

    /// The ranges within `base..base + size`, counted from `base`: "0-4,7".
    pub fn ranges(&self, base: u32, size: u32) -> String {
        let mut out = String::new();
        let mut row = base;
        let end = base.saturating_add(size).min(self.bits.len() as u32 * 64);
        while row < end {
            if !self.contains(row) {
                row += 1;
                continue;
            }
            let first = row;
            while row < end && self.contains(row) {
                row += 1;
            }
            if !out.is_empty() {
                out.push(',');
            }
            out.push_str(&(first - base).to_string());
            if row - first > 1 {
                out.push_str(&format!("-{}", row - 1 - base));
            }
        }
        out
    }

    /// Adds what `ranges` wrote, and says where it ends; rows from `limit` on and unreadable parts
    /// are passed over.
    pub fn add_ranges(&mut self, base: u32, text: &str, limit: u32) -> u32 {
        let mut end = base;
        for part in text.split(',') {
            let (first, last) = part.split_once('-').unwrap_or((part, part));
            if let (Ok(a), Ok(b)) = (first.parse::<u32>(), last.parse::<u32>()) {
                for row in a..=b.min(limit) {
                    if let Some(row) = base.checked_add(row).filter(|r| *r < limit) {
                        self.insert(row);
                        end = end.max(row + 1);
                    }
                }
            }
        }
        end
    }
}
