//! Dynamic program that selects the queue entries that fill the free capacity best.
//!
//! This is algorithm 7 of the thesis on LOS (Max-Slowdown, section 3.5): a knapsack with two
//! capacities, the one that is free now and the one that is left at the shadow time beside the
//! head's reservation.

/// Queue entry in the units of the dynamic program.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnapsackItem {
    /// Units of capacity that the entry takes now.
    pub size: usize,
    /// Units of capacity that the entry still holds at the shadow time.
    pub shadow_size: usize,
    /// Weight of the entry in ties between sets of the same sizes.
    pub priority_weight: f32,
}

/// Tables of the dynamic program. They are reused from one scheduling step to the next to avoid
/// allocating them again.
#[derive(Default)]
pub struct KnapsackTables {
    current: Vec<Cell>,
    previous: Vec<Cell>,
    /// One bit for each item and cell, set if the best set of that cell contains the item.
    selected: Vec<u64>,
}

/// Totals of the best set found for one pair of capacities.
#[derive(Clone, Copy, Default)]
struct Cell {
    used: u16,
    shadow_used: u16,
    priority_weight: f32,
}

impl Cell {
    fn with_item(&self, item: &KnapsackItem) -> Cell {
        Cell {
            used: self.used + item.size as u16,
            shadow_used: self.shadow_used + item.shadow_size as u16,
            priority_weight: self.priority_weight + item.priority_weight,
        }
    }

    /// Returns whether this set is better: by the greater size, then by the smaller shadow size, then by
    /// the greater weight.
    fn is_better_than(&self, other: &Cell) -> bool {
        if self.used != other.used {
            return self.used > other.used;
        }
        if self.shadow_used != other.shadow_used {
            return self.shadow_used < other.shadow_used;
        }
        self.priority_weight > other.priority_weight
    }
}

/// Dimensions of the tables.
#[derive(Clone, Copy)]
struct Grid {
    capacity: usize,
    shadow_capacity: usize,
}

impl Grid {
    fn cells(&self) -> usize {
        (self.capacity + 1) * (self.shadow_capacity + 1)
    }

    /// Returns the number of 64-bit words that hold one bit for each cell.
    fn words(&self) -> usize {
        self.cells().div_ceil(64)
    }

    fn index(&self, capacity: usize, shadow_capacity: usize) -> usize {
        capacity * (self.shadow_capacity + 1) + shadow_capacity
    }
}

/// Selects the set with the greatest total size within `capacity` whose shadow sizes stay within
/// `shadow_capacity`. Ties go to the smaller total shadow size, then to the greater total weight, then
/// to the set closer to the head of the queue ("bypassed first" in the thesis). Returns the indices
/// of the selected items in ascending order.
pub fn select_items(
    items: &[KnapsackItem],
    capacity: usize,
    shadow_capacity: usize,
    tables: &mut KnapsackTables,
) -> Vec<usize> {
    let total_size: usize = items.iter().map(|i| i.size).sum();
    let total_shadow_size: usize = items.iter().map(|i| i.shadow_size).sum();
    if total_size <= capacity && total_shadow_size <= shadow_capacity {
        return (0..items.len()).collect();
    }
    // No set is larger than all items together, so larger tables would add no information.
    let grid = Grid {
        capacity: capacity.min(total_size),
        shadow_capacity: shadow_capacity.min(total_shadow_size).min(capacity),
    };
    tables.reset(grid, items.len());
    for (index, item) in items.iter().enumerate() {
        tables.add_item(grid, index, item);
    }
    tables.trace_back(grid, items)
}

impl KnapsackTables {
    fn reset(&mut self, grid: Grid, items: usize) {
        self.previous.clear();
        self.previous.resize(grid.cells(), Cell::default());
        self.current.clear();
        self.current.resize(grid.cells(), Cell::default());
        self.selected.clear();
        self.selected.resize(grid.words() * items, 0);
    }

    /// Updates the tables to the best sets that may also contain this item.
    fn add_item(&mut self, grid: Grid, index: usize, item: &KnapsackItem) {
        let words = grid.words();
        let selected = &mut self.selected[index * words..(index + 1) * words];
        for capacity in 0..=grid.capacity {
            for shadow_capacity in 0..=grid.shadow_capacity {
                let cell = grid.index(capacity, shadow_capacity);
                let without = self.previous[cell];
                self.current[cell] = without;
                if item.size > capacity || item.shadow_size > shadow_capacity || item.size == 0 {
                    continue;
                }
                let remainder =
                    grid.index(capacity - item.size, shadow_capacity - item.shadow_size);
                let with = self.previous[remainder].with_item(item);
                if with.is_better_than(&without) {
                    self.current[cell] = with;
                    selected[cell / 64] |= 1 << (cell % 64);
                }
            }
        }
        std::mem::swap(&mut self.current, &mut self.previous);
    }

    /// Reads the best set out of the tables.
    fn trace_back(&self, grid: Grid, items: &[KnapsackItem]) -> Vec<usize> {
        let (mut capacity, mut shadow_capacity) = (grid.capacity, grid.shadow_capacity);
        let mut chosen = Vec::new();
        for (index, item) in items.iter().enumerate().rev() {
            let cell = grid.index(capacity, shadow_capacity);
            let word = self.selected[index * grid.words() + cell / 64];
            if word >> (cell % 64) & 1 == 1 {
                chosen.push(index);
                capacity -= item.size;
                shadow_capacity -= item.shadow_size;
            }
        }
        chosen.reverse();
        chosen
    }
}
