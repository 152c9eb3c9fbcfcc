use super::*;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn loss_never_falls_with_delay_and_a_missed_objective_is_charged_once() {
    let objectives = vec![
        ServiceLevelObjective {
            start_within: s(60.0),
            uncertainty: Duration::ZERO,
            miss_cost: 5.0,
        },
        ServiceLevelObjective {
            start_within: s(20.0),
            uncertainty: Duration::ZERO,
            miss_cost: 10.0,
        },
        ServiceLevelObjective {
            start_within: s(5.0),
            uncertainty: Duration::ZERO,
            miss_cost: -1.0,
        },
    ];
    let cost = DelayCost::new(objectives, 0.01);
    let losses: Vec<f64> = (0..200).map(|i| cost.loss(s(f64::from(i)))).collect();
    assert!(losses.windows(2).all(|p| p[0] <= p[1]));
    assert_eq!(cost.loss(Duration::ZERO), 0.0);
    assert!(
        (cost.loss(s(20.0)) - 5.2).abs() < 1e-9,
        "half of the miss cost is lost at the deadline"
    );
    assert!((cost.gain(s(300.0), s(100.0)) - 2.0).abs() < 1e-9);
    assert!(DelayCost::new(Vec::new(), f64::NAN).is_zero());
}

/// With an uncertain run time, a start after the deadline may still meet the objective, and the loss
/// grows with the delay.
#[test]
fn loss_rises_gradually_when_the_run_time_is_uncertain() {
    let objective = |uncertainty: f64| ServiceLevelObjective {
        start_within: s(20.0),
        uncertainty: s(uncertainty),
        miss_cost: 10.0,
    };
    let (sure, unsure) = (
        DelayCost::new(vec![objective(0.0)], 0.0),
        DelayCost::new(vec![objective(30.0)], 0.0),
    );
    assert_eq!(sure.gain(s(60.0), s(30.0)), 0.0);
    assert!(unsure.gain(s(60.0), s(30.0)) > 1.0);
    assert!(unsure.loss(s(10.0)) > sure.loss(s(10.0)));
}

#[test]
fn a_higher_objective_share_raises_the_cost_of_a_miss() {
    assert!((objective_weight(0.975) - 40.0).abs() < 1e-9);
    assert!((objective_weight(0.85) - 1.0 / 0.15).abs() < 1e-9);
    // Settings that are not valid shares must not give an unlimited weight.
    assert_eq!(objective_weight(1.0), 200.0);
    assert_eq!(objective_weight(f64::NAN), 1.0);
    assert_eq!(objective_weight(-3.0), 1.0);
}
