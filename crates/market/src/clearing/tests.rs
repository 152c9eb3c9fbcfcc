use super::*;
use crate::delay_cost::ServiceLevelObjective;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn batch(kind: &str, zone: &str, spot: bool, price: f64) -> OfferBatch {
    OfferBatch {
        offer: Offer::new(kind, zone, spot),
        price,
        ready_in: s(15.0),
        minimum_billed: s(60.0),
        available: 100,
        loss_rate: 0.0,
        machine_size: 4.0,
    }
}

/// Returns a bid of tasks that would start after `after` and lose `loss` if they start later than
/// `start_within`.
fn bid(tasks: f64, after: f64, start_within: f64, loss: f64, batches: usize) -> Bid {
    let uncertainty = Duration::ZERO;
    let objectives = vec![ServiceLevelObjective {
        start_within: s(start_within),
        uncertainty,
        miss_cost: loss,
    }];
    Bid {
        tasks,
        runtime: s(10.0),
        arrives_in: Duration::ZERO,
        starts_in: s(after),
        delay_cost: DelayCost::new(objectives, 0.0),
        nominal_cost: 1.0,
        machine_fits: vec![
            Some(MachineFit {
                tasks_per_machine: 1,
                fetch: s(1.0)
            });
            batches
        ],
    }
}

fn counts(c: &ClearingResult, batches: &[OfferBatch]) -> BTreeMap<Offer, u32> {
    let awards = c.awards.iter();
    awards
        .map(|a| (batches[a.batch].offer.clone(), a.count))
        .collect()
}

fn no_zone_limit() -> ZoneBalance {
    ZoneBalance::new(["a", "b"], 1.0)
}

#[test]
fn an_expensive_market_is_used_only_where_waiting_costs_more() {
    let batches = [batch("k", "a", false, 1.0), batch("k", "a", true, 0.3)];
    let late = [bid(30.0, 120.0, 50.0, 50.0, 2)];
    let c = clear(&late, &batches, &no_zone_limit());
    assert!(c.saved > c.cost && c.method == Method::LinearProgram);
    let got = counts(&c, &batches);
    assert!(got[&batches[1].offer] >= 5 && !got.contains_key(&batches[0].offer));
    // If the cheap market refuses, the expensive one is used, but not for a small loss.
    let mut refused = batches.clone();
    refused[1].available = 0;
    let c = clear(&late, &refused, &no_zone_limit());
    assert!(counts(&c, &batches)[&batches[0].offer] >= 5);
    let little = [bid(30.0, 120.0, 50.0, 2.0, 2)];
    let c = clear(&little, &refused, &no_zone_limit());
    assert_eq!((c.method, c.unserved), (Method::Nothing, 30.0));
    // A price increase by a third changes the choice of the market.
    let both = [batch("k", "a", false, 1.0), batch("l", "a", false, 1.1)];
    let first = clear(&late, &both, &no_zone_limit());
    let mut moved = both.clone();
    moved[0].price = 1.33;
    let then = clear(&late, &moved, &no_zone_limit());
    assert!(counts(&first, &both).contains_key(&both[0].offer));
    assert!(!counts(&then, &both).contains_key(&both[0].offer));
}

#[test]
fn bids_that_gain_nothing_get_no_machines() {
    let batches = [batch("k", "a", false, 0.01)];
    let mut no_delay_cost = bid(50.0, 500.0, 50.0, 0.0, 1);
    no_delay_cost.delay_cost = DelayCost::default();
    let in_time = bid(50.0, 20.0, 90.0, 1e6, 1);
    // No machine can be ready before the objective is missed.
    let unavoidably_late = bid(50.0, 100.0, 3.0, 1e6, 1);
    let c = clear(
        &[no_delay_cost, in_time, unavoidably_late],
        &batches,
        &no_zone_limit(),
    );
    assert_eq!((c.method, c.awards.len()), (Method::Nothing, 0));
    let nothing = clear(&[], &batches, &no_zone_limit());
    assert!(nothing.awards.is_empty() && clear(&[], &[], &no_zone_limit()).awards.is_empty());
}

#[test]
fn scarce_machines_go_to_the_bids_with_the_highest_loss() {
    let mut batches = [batch("k", "a", false, 0.5)];
    batches[0].available = 4;
    let urgent = bid(8.0, 200.0, 60.0, 500.0, 1);
    let slow = bid(400.0, 200.0, 60.0, 40.0, 1);
    let c = clear(&[slow.clone(), urgent], &batches, &no_zone_limit());
    assert_eq!(c.awards, [Award { batch: 0, count: 4 }]);
    assert!(c.saved > 8.0 * 400.0, "{}", c.saved);
    // Without the urgent bid, the other one gets the machines.
    let c = clear(&[slow], &batches, &no_zone_limit());
    assert_eq!(c.awards, [Award { batch: 0, count: 4 }]);
}

#[test]
fn ties_are_broken_independently_of_the_order_of_batches() {
    let batches = vec![
        batch("k", "a", false, 1.0),
        batch("k", "b", false, 1.0),
        batch("l", "a", false, 1.0),
        batch("l", "b", false, 1.0),
    ];
    let bids = vec![
        bid(7.0, 120.0, 50.0, 50.0, 4),
        bid(7.0, 120.0, 50.0, 50.0, 4),
    ];
    let forward_counts = counts(&clear(&bids, &batches, &no_zone_limit()), &batches);
    let reversed: Vec<OfferBatch> = batches.iter().rev().cloned().collect();
    let reversed_counts = counts(&clear(&bids, &reversed, &no_zone_limit()), &reversed);
    assert_eq!(forward_counts, reversed_counts);
    let kinds: Vec<&String> = forward_counts.keys().map(|o| &o.machine_type).collect();
    assert!(kinds.windows(2).all(|k| k[0] == k[1]), "{forward_counts:?}");
    // Machines of the same type and price are divided between the zones.
    let by_zone: Vec<u32> = forward_counts.values().copied().collect();
    assert!(by_zone.len() == 2 && by_zone[0].abs_diff(by_zone[1]) <= 1);
}

#[test]
fn an_overfull_zone_is_avoided_unless_it_is_the_only_one() {
    let mut batches = vec![batch("k", "a", false, 1.0), batch("k", "b", false, 1.05)];
    let late = [bid(30.0, 120.0, 50.0, 500.0, 2)];
    let mut balance = ZoneBalance::new(["a", "b"], 0.1);
    balance.add("a", 90.0);
    balance.add("b", 10.0);
    let got = counts(&clear(&late, &batches, &balance), &batches);
    assert!(!got.contains_key(&batches[0].offer) && got[&batches[1].offer] > 0);
    // If the other zone has no machines available, the overfull zone is used.
    batches[1].available = 0;
    let got = counts(&clear(&late, &batches, &balance), &batches);
    assert!(got[&batches[0].offer] > 0);
}

#[test]
fn awards_of_random_input_stay_within_availability_and_save_more_than_they_cost() {
    for seed in 0..60 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let batches: Vec<OfferBatch> = (0..rng.random_range(1..12))
            .map(|i| {
                let zone = if i % 2 == 0 { "a" } else { "b" };
                let mut offer_batch = batch(&format!("k{}", i / 4), zone, i % 3 == 0, 1.0);
                offer_batch.price = rng.random_range(0.1..6.0);
                offer_batch.available = rng.random_range(0..40);
                offer_batch.ready_in = s(rng.random_range(0.0..60.0));
                offer_batch.loss_rate = rng.random_range(0.0..0.01);
                offer_batch
            })
            .collect();
        let bids: Vec<Bid> = (0..rng.random_range(0..200))
            .map(|_| {
                let after = rng.random_range(0.0..300.0);
                let by = rng.random_range(1.0..200.0);
                let loss = rng.random_range(0.0..80.0);
                let tasks = f64::from(rng.random_range(0..300u32));
                let mut b = bid(tasks, after, by, loss, batches.len());
                b.runtime = s(rng.random_range(0.1..400.0));
                for fit in &mut b.machine_fits {
                    let tasks_per_machine = rng.random_range(0..17u32);
                    *fit = (tasks_per_machine > 0).then_some(MachineFit {
                        tasks_per_machine,
                        fetch: s(rng.random_range(0.0..20.0)),
                    });
                }
                b
            })
            .collect();
        for c in [
            clear(&bids, &batches, &no_zone_limit()),
            clear_greedy(&bids, &batches, &no_zone_limit()),
        ] {
            for a in &c.awards {
                assert!(a.count <= batches[a.batch].available, "seed {seed}");
            }
            assert!(c.saved >= c.cost * 0.98, "seed {seed}: {c:?}");
            assert!(c.unserved >= -1e-6);
        }
    }
}

/// The value of the linear program before rounding to whole machines is an upper bound for every
/// method of clearing.
#[test]
fn greedy_clearing_stays_near_the_bound_of_the_linear_program() {
    let (mut saved, mut bound) = (0.0, 0.0);
    for seed in 0..12 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let kinds = [(4.0, 15.0), (16.0, 35.0), (64.0, 15.0)];
        let batches: Vec<OfferBatch> = (0..12)
            .map(|i| {
                let (size, ready) = kinds[i / 4];
                let price = size * if i % 2 == 0 { 0.033 } else { 0.085 };
                let zone = if i % 4 < 2 { "a" } else { "b" };
                let mut offer_batch = batch(&format!("k{}", i / 4), zone, i % 2 == 0, price);
                (offer_batch.machine_size, offer_batch.ready_in) = (size, s(ready));
                offer_batch.available = if i % 2 == 0 { 5 } else { 200 };
                offer_batch
            })
            .collect();
        let bids: Vec<Bid> = (0..8)
            .map(|_| {
                let run: f64 = rng.random_range(5.0..60.0);
                let loss = run * rng.random_range(0.2..2.0);
                let after = rng.random_range(30.0..240.0);
                let mut b = bid(60.0, after, rng.random_range(20.0..120.0), loss, 12);
                b.runtime = s(run);
                for (fit, offer_batch) in b.machine_fits.iter_mut().zip(&batches) {
                    let tasks_per_machine = (offer_batch.machine_size / 4.0) as u32;
                    *fit = Some(MachineFit {
                        tasks_per_machine,
                        fetch: s(3.0),
                    });
                }
                b
            })
            .collect();
        let program = build_program(&bids, &batches, &no_zone_limit());
        let x = program.solve().unwrap();
        bound += program.gains.iter().zip(x).map(|(g, x)| g * x).sum::<f64>();
        let c = clear_greedy(&bids, &batches, &no_zone_limit());
        saved += c.saved - c.cost;
    }
    assert!(
        saved > 0.9 * bound && saved < bound * 1.001,
        "{saved} of {bound}"
    );
}
