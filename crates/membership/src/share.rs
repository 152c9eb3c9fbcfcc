//! How many workers each controller should serve, and how many are moved now.
//!
//! A worker that is moved connects anew, which costs both ends more than several reports do. So
//! workers stay where they come to; only a load well above the even share is lowered, only
//! towards controllers well below it, and so many at a time that nobody is flooded.

/// One controller that may serve workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub name: String,
    pub load: u32,
    /// The part of an even share that it should have: less for the leader, which does more besides.
    pub weight: f64,
}

/// So many workers of `from` should go to `to`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    pub from: String,
    pub to: String,
    pub count: u32,
}

/// Whom the next worker is sent to, of so many that are to go to each; it counts as sent.
pub fn take_one(moves: &mut Vec<(String, u32)>) -> Option<String> {
    let (to, left) = moves.last_mut()?;
    *left = left.saturating_sub(1);
    if *left > 0 {
        return Some(to.clone());
    }
    moves.pop().map(|(to, _)| to)
}

/// Loads within this part of the even share are even.
const TOLERANCE: f64 = 0.15;
/// Nobody is moved for fewer workers than this.
const FEW: f64 = 6.0;

/// What is to be moved now, `most` workers in all.
pub fn moves(servers: &[Server], most: u32) -> Vec<Move> {
    let total: u32 = servers.iter().map(|s| s.load).sum();
    let weights: f64 = servers.iter().map(|s| s.weight).sum();
    if weights <= 0.0 {
        return Vec::new();
    }
    let due = |s: &Server| f64::from(total) * s.weight / weights;
    // Surplus and room against the due share; the largest first, ties by name.
    let mut over: Vec<(f64, &Server)> = Vec::new();
    let mut under: Vec<(f64, &Server)> = Vec::new();
    for s in servers {
        let off = f64::from(s.load) - due(s);
        let slack = (due(s) * TOLERANCE).max(FEW);
        if off > slack {
            over.push((off, s));
        } else if off < -1.0 {
            under.push((-off, s));
        }
    }
    let order = |a: &(f64, &Server), b: &(f64, &Server)| {
        b.0.total_cmp(&a.0).then_with(|| a.1.name.cmp(&b.1.name))
    };
    over.sort_by(order);
    under.sort_by(order);
    let mut left = most;
    let mut out = Vec::new();
    for (surplus, from) in over {
        let mut surplus = surplus as u32;
        for (room, to) in &mut under {
            let count = surplus.min(*room as u32).min(left);
            if count == 0 {
                continue;
            }
            surplus -= count;
            left -= count;
            *room -= f64::from(count);
            out.push(Move {
                from: from.name.clone(),
                to: to.name.clone(),
                count,
            });
        }
    }
    out
}

#[cfg(test)]
mod tests;
