//! How many workers each controller should serve, and how many are moved now.
//!
//! A worker that is moved connects again, which costs both ends more than several heartbeats do. So
//! workers stay where they come to; only a load well above the even share is lowered, only
//! towards controllers well below it, and so many at a time that nobody is flooded.

/// One controller that may serve workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Workers that it serves.
    pub load: u32,
    /// The part of an even share that it should have: less for the leader, which does more besides.
    pub weight: f64,
}

/// So many workers of `from` should go to `to`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The controller that serves them.
    pub from: String,
    /// The controller that is to serve them.
    pub to: String,
    /// How many.
    pub count: u32,
}

/// The controller that the next worker is sent to, of so many that are to go to each; the worker
/// counts as sent.
pub fn next_target(moves: &mut Vec<(String, u32)>) -> Option<String> {
    let (to, remaining) = moves.last_mut()?;
    *remaining = remaining.saturating_sub(1);
    if *remaining > 0 {
        return Some(to.clone());
    }
    moves.pop().map(|(to, _)| to)
}

/// Loads within this part of the even share are even.
const TOLERANCE: f64 = 0.15;
/// No worker is moved for a surplus of fewer workers than this.
const MIN_SURPLUS: f64 = 6.0;
/// A controller takes more workers from this far below its share on.
const MIN_DEFICIT: f64 = 1.0;

/// A controller and how far its load is from its share, in workers.
type Deviation<'a> = (f64, &'a Server);

/// What is to be moved now, `max_workers` workers in all.
pub fn plan_moves(servers: &[Server], max_workers: u32) -> Vec<Move> {
    let (overloaded, mut underloaded) = deviations(servers);
    let mut remaining = max_workers;
    let mut moves = Vec::new();
    for (surplus, from) in overloaded {
        let mut surplus = surplus as u32;
        for (deficit, to) in &mut underloaded {
            let count = surplus.min(*deficit as u32).min(remaining);
            if count == 0 {
                continue;
            }
            surplus -= count;
            remaining -= count;
            *deficit -= f64::from(count);
            moves.push(Move {
                from: from.name.clone(),
                to: to.name.clone(),
                count,
            });
        }
    }
    moves
}

/// The controllers well above their share with their surplus, and those below with their deficit; the
/// largest first, ties by name.
fn deviations(servers: &[Server]) -> (Vec<Deviation<'_>>, Vec<Deviation<'_>>) {
    let mut overloaded = Vec::new();
    let mut underloaded = Vec::new();
    let total: u32 = servers.iter().map(|s| s.load).sum();
    let weights: f64 = servers.iter().map(|s| s.weight).sum();
    if weights <= 0.0 {
        return (overloaded, underloaded);
    }
    for server in servers {
        let share = f64::from(total) * server.weight / weights;
        let deviation = f64::from(server.load) - share;
        if deviation > (share * TOLERANCE).max(MIN_SURPLUS) {
            overloaded.push((deviation, server));
        } else if deviation < -MIN_DEFICIT {
            underloaded.push((-deviation, server));
        }
    }
    let largest_first =
        |a: &Deviation, b: &Deviation| b.0.total_cmp(&a.0).then_with(|| a.1.name.cmp(&b.1.name));
    overloaded.sort_by(largest_first);
    underloaded.sort_by(largest_first);
    (overloaded, underloaded)
}

#[cfg(test)]
mod tests;
