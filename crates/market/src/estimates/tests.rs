use super::*;

fn offer(zone: &str) -> Offer {
    Offer::new("k", zone, true)
}

#[test]
fn a_market_that_refuses_is_left_alone_probed_and_trusted_again() {
    let t0 = Instant::now();
    let at = |s: u64| t0 + Duration::from_secs(s);
    let mut b = MarketEstimates::default();
    assert_eq!(b.forecast(&offer("a"), t0).available, u32::MAX);
    b.record_allocation(&offer("a"), 50, 3, t0);
    assert_eq!(b.forecast(&offer("a"), at(1)).available, 0);
    assert_eq!(b.refused(at(1)).count(), 1);
    // Probed for about what it gave; refusing again, it is left alone for longer.
    assert_eq!(b.forecast(&offer("a"), at(5)).available, 3 + PROBE_MACHINES);
    b.record_allocation(&offer("a"), 11, 0, at(5));
    assert_eq!(b.forecast(&offer("a"), at(12)).available, 0);
    assert_eq!(b.forecast(&offer("a"), at(14)).available, PROBE_MACHINES);
    // Filled in full, more is asked for; a while later it counts as any other.
    b.record_allocation(&offer("a"), 8, 8, at(14));
    assert_eq!(
        b.forecast(&offer("a"), at(14)).available,
        2 * PROBE_MACHINES
    );
    assert_eq!(b.forecast(&offer("a"), at(120)).available, u32::MAX);
    assert_eq!(b.forecast(&offer("b"), at(5)).available, u32::MAX);
}

#[test]
fn a_wave_raises_the_hazard_at_once_and_it_fades() {
    let t0 = Instant::now();
    let at = |s: u64| t0 + Duration::from_secs(s);
    let mut b = MarketEstimates::default();
    for i in 0..60 {
        b.record_machine_time(&offer("a"), 100, Duration::from_secs(1), at(i));
    }
    let before = b.forecast(&offer("a"), at(60)).loss_rate;
    b.record_losses(&offer("a"), 60, at(60));
    let struck = b.forecast(&offer("a"), at(60)).loss_rate;
    assert!(struck > before * 100.0, "{before} {struck}");
    for i in 61..600 {
        b.record_machine_time(&offer("a"), 100, Duration::from_secs(1), at(i));
    }
    assert!(b.forecast(&offer("a"), at(600)).loss_rate < before * 2.0);
}

#[test]
fn boots_are_learned_and_a_shut_zone_gives_nothing() {
    let mut b = MarketEstimates::default();
    let announced = Duration::from_secs(20);
    assert_eq!(b.expected_boot("k", announced), announced);
    for _ in 0..50 {
        b.record_boot("k", announced, Duration::from_secs(30));
    }
    let learned = b.expected_boot("k", announced).as_secs_f64();
    assert!((28.0..30.5).contains(&learned), "{learned}");
    b.record_boot("k", Duration::ZERO, Duration::from_secs(30));
    let now = Instant::now();
    b.set_closed_zones(&["a".into()], "its machines are not heard");
    assert_eq!(b.forecast(&offer("a"), now).available, 0);
    assert_eq!(b.forecast(&offer("b"), now).available, u32::MAX);
    b.set_closed_zones(&[], "its machines are not heard");
    assert_eq!(b.forecast(&offer("a"), now).available, u32::MAX);
}
