//! Distribution of workers among the controllers, and the moves towards it.
//!
//! A worker that is moved connects again, which costs both sides more than several heartbeats do.
//! Workers therefore stay with the controller that they connected to. Only controllers well above
//! their share give workers away, only controllers below their share receive them, and the number
//! of moves at a time is limited so that no controller is overloaded with new connections.

/// Controller that may serve workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Name of the controller.
    pub name: String,
    /// Number of workers that it serves.
    pub load: u32,
    /// Weight of its share: 1 for an equal share, less for the leader, which has other work as well.
    pub weight: f64,
}

/// Number of workers to move from one controller to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Controller that serves the workers now.
    pub from: String,
    /// Controller that is to serve them.
    pub to: String,
    /// Number of workers.
    pub count: u32,
}

/// Returns the controller to which the next worker is moved, and counts this worker as moved. `moves`
/// holds the controllers, each with the number of workers still to move there.
pub fn next_target(moves: &mut Vec<(String, u32)>) -> Option<String> {
    let (to, remaining) = moves.last_mut()?;
    *remaining = remaining.saturating_sub(1);
    if *remaining > 0 {
        return Some(to.clone());
    }
    moves.pop().map(|(to, _)| to)
}

/// Relative excess over its share up to which a controller's load is not reduced.
const TOLERANCE: f64 = 0.15;
/// Surplus, in workers, up to which no worker is moved.
const MIN_SURPLUS: f64 = 6.0;
/// Deficit, in workers, above which a controller receives workers.
const MIN_DEFICIT: f64 = 1.0;

/// Absolute difference between a controller's load and its share, in workers, and the controller.
type Deviation<'a> = (f64, &'a Server);

/// Returns the moves to make now, of at most `max_workers` workers in total.
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

/// Returns the controllers well above their share with their surplus, and those below their share
/// with their deficit; the largest first, ties by name.
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
