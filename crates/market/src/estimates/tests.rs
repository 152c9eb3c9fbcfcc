use super::*;

fn offer(zone: &str) -> Offer {
    Offer::new("k", zone, true)
}

#[test]
fn a_refusing_market_is_backed_off_then_probed_then_unrestricted() {
    let t0 = Instant::now();
    let at = |s: u64| t0 + Duration::from_secs(s);
    let mut estimates = MarketEstimates::default();
    assert_eq!(estimates.forecast(&offer("a"), t0).available, u32::MAX);
    estimates.record_allocation(&offer("a"), 50, 3, t0);
    assert_eq!(estimates.forecast(&offer("a"), at(1)).available, 0);
    assert_eq!(estimates.refused(at(1)).count(), 1);
    // After the backoff, about as many machines are requested as it last granted. A second refusal
    // doubles the backoff.
    assert_eq!(
        estimates.forecast(&offer("a"), at(5)).available,
        3 + PROBE_MACHINES
    );
    estimates.record_allocation(&offer("a"), 11, 0, at(5));
    assert_eq!(estimates.forecast(&offer("a"), at(12)).available, 0);
    assert_eq!(
        estimates.forecast(&offer("a"), at(14)).available,
        PROBE_MACHINES
    );
    // A request granted in full doubles the allowance, which is unlimited again some time later.
    estimates.record_allocation(&offer("a"), 8, 8, at(14));
    assert_eq!(
        estimates.forecast(&offer("a"), at(14)).available,
        2 * PROBE_MACHINES
    );
    assert_eq!(estimates.forecast(&offer("a"), at(120)).available, u32::MAX);
    assert_eq!(estimates.forecast(&offer("b"), at(5)).available, u32::MAX);
}

#[test]
fn losses_raise_the_loss_rate_at_once_and_it_decays() {
    let t0 = Instant::now();
    let at = |s: u64| t0 + Duration::from_secs(s);
    let mut estimates = MarketEstimates::default();
    for i in 0..60 {
        estimates.record_machine_time(&offer("a"), 100, Duration::from_secs(1), at(i));
    }
    let before = estimates.forecast(&offer("a"), at(60)).loss_rate;
    estimates.record_losses(&offer("a"), 60, at(60));
    let after_losses = estimates.forecast(&offer("a"), at(60)).loss_rate;
    assert!(after_losses > before * 100.0, "{before} {after_losses}");
    for i in 61..600 {
        estimates.record_machine_time(&offer("a"), 100, Duration::from_secs(1), at(i));
    }
    assert!(estimates.forecast(&offer("a"), at(600)).loss_rate < before * 2.0);
}

#[test]
fn boot_times_are_learned_and_a_closed_zone_has_no_machines_available() {
    let mut estimates = MarketEstimates::default();
    let announced = Duration::from_secs(20);
    assert_eq!(estimates.expected_boot("k", announced), announced);
    for _ in 0..50 {
        estimates.record_boot("k", announced, Duration::from_secs(30));
    }
    let learned = estimates.expected_boot("k", announced).as_secs_f64();
    assert!((28.0..30.5).contains(&learned), "{learned}");
    estimates.record_boot("k", Duration::ZERO, Duration::from_secs(30));
    let now = Instant::now();
    estimates.set_closed_zones(&["a".into()], "its machines are not heard");
    assert_eq!(estimates.forecast(&offer("a"), now).available, 0);
    assert_eq!(estimates.forecast(&offer("b"), now).available, u32::MAX);
    estimates.set_closed_zones(&[], "its machines are not heard");
    assert_eq!(estimates.forecast(&offer("a"), now).available, u32::MAX);
}
