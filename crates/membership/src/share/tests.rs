use super::*;

fn servers(loads: &[(u32, f64)]) -> Vec<Server> {
    let server = |(i, (load, weight)): (usize, &(u32, f64))| Server {
        name: format!("n{i}"),
        load: *load,
        weight: *weight,
    };
    loads.iter().enumerate().map(server).collect()
}

fn rebalance_repeatedly(mut all: Vec<Server>) -> (Vec<Server>, u32) {
    let mut moved = 0;
    for _ in 0..200 {
        for m in plan_moves(&all, 20) {
            moved += m.count;
            all.iter_mut().find(|s| s.name == m.from).unwrap().load -= m.count;
            all.iter_mut().find(|s| s.name == m.to).unwrap().load += m.count;
        }
    }
    (all, moved)
}

#[test]
fn loads_converge_to_their_shares_and_stay_there() {
    let (all, moved) = rebalance_repeatedly(servers(&[(1200, 0.25), (0, 1.0), (0, 1.0)]));
    assert!(all[0].load <= 160 && all[1].load >= 500 && all[2].load >= 500);
    assert!(moved <= 1200);
    // Loads within the tolerance cause no moves, so workers do not flap.
    assert!(plan_moves(&all, 20).is_empty());
    let nearly_even = servers(&[(110, 1.0), (100, 1.0), (90, 1.0)]);
    assert!(plan_moves(&nearly_even, 20).is_empty());
    // No other controller, or none at all.
    assert!(plan_moves(&servers(&[(500, 0.25)]), 20).is_empty());
    assert!(plan_moves(&[], 20).is_empty());
}

#[test]
fn moves_are_limited_in_number_and_small_surpluses_are_ignored() {
    let some = plan_moves(&servers(&[(1000, 1.0), (0, 1.0)]), 20);
    assert_eq!(some.iter().map(|m| m.count).sum::<u32>(), 20);
    assert!(plan_moves(&servers(&[(8, 1.0), (0, 1.0)]), 20).is_empty());
}
