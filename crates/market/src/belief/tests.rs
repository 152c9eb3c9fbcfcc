use super::*;

fn offer(zone: &str) -> Offer {
    ("k".into(), zone.into(), true)
}

#[test]
fn a_market_that_refuses_is_left_alone_probed_and_trusted_again() {
    let t0 = Instant::now();
    let at = |s: u64| t0 + Duration::from_secs(s);
    let mut b = Beliefs::default();
    assert_eq!(b.outlook(&offer("a"), t0).likely, u32::MAX);
    b.answered(&offer("a"), 50, 3, t0);
    assert_eq!(b.outlook(&offer("a"), at(1)).likely, 0);
    assert_eq!(b.refused(at(1)).count(), 1);
    // Probed for about what it gave; refusing again, it is left alone for longer.
    assert_eq!(b.outlook(&offer("a"), at(5)).likely, 3 + PROBE);
    b.answered(&offer("a"), 11, 0, at(5));
    assert_eq!(b.outlook(&offer("a"), at(12)).likely, 0);
    assert_eq!(b.outlook(&offer("a"), at(14)).likely, PROBE);
    // Filled in full, more is asked for; a while later it counts as any other.
    b.answered(&offer("a"), 8, 8, at(14));
    assert_eq!(b.outlook(&offer("a"), at(14)).likely, 2 * PROBE);
    assert_eq!(b.outlook(&offer("a"), at(120)).likely, u32::MAX);
    assert_eq!(b.outlook(&offer("b"), at(5)).likely, u32::MAX);
}

#[test]
fn a_wave_raises_the_hazard_at_once_and_it_fades() {
    let t0 = Instant::now();
    let at = |s: u64| t0 + Duration::from_secs(s);
    let mut b = Beliefs::default();
    for i in 0..60 {
        b.exposed(&offer("a"), 100, Duration::from_secs(1), at(i));
    }
    let calm = b.outlook(&offer("a"), at(60)).hazard;
    b.lost(&offer("a"), 60, at(60));
    let struck = b.outlook(&offer("a"), at(60)).hazard;
    assert!(struck > calm * 100.0, "{calm} {struck}");
    for i in 61..600 {
        b.exposed(&offer("a"), 100, Duration::from_secs(1), at(i));
    }
    assert!(b.outlook(&offer("a"), at(600)).hazard < calm * 2.0);
}

#[test]
fn boots_are_learned_and_a_shut_zone_gives_nothing() {
    let mut b = Beliefs::default();
    let announced = Duration::from_secs(20);
    assert_eq!(b.boot("k", announced), announced);
    for _ in 0..50 {
        b.came_up("k", announced, Duration::from_secs(30));
    }
    let learned = b.boot("k", announced).as_secs_f64();
    assert!((28.0..30.5).contains(&learned), "{learned}");
    b.came_up("k", Duration::ZERO, Duration::from_secs(30));
    let now = Instant::now();
    b.shut_only(&["a".into()], "its machines are not heard");
    assert_eq!(b.outlook(&offer("a"), now).likely, 0);
    assert_eq!(b.outlook(&offer("b"), now).likely, u32::MAX);
    b.shut_only(&[], "its machines are not heard");
    assert_eq!(b.outlook(&offer("a"), now).likely, u32::MAX);
}
