use super::*;

#[test]
fn a_zone_beyond_its_share_and_the_tolerance_counts_as_dearer() {
    let mut s = ZoneBalance::new(["a", "b", "c"], 0.1);
    assert_eq!(s.price_factor("a"), 1.0);
    s.add("a", 60.0);
    s.add("b", 20.0);
    s.add("c", 20.0);
    s.add("elsewhere", 1000.0);
    assert!((s.max_excess() - (0.6 - 1.0 / 3.0)).abs() < 1e-9);
    assert!(s.price_factor("a") > 1.5 && s.price_factor("a") < MAX_PRICE_FACTOR);
    assert_eq!(s.price_factor("b"), 1.0);
    let mut loose = ZoneBalance::new(["a", "b"], 1.0);
    loose.add("a", 5.0);
    assert_eq!(loose.price_factor("a"), 1.0);
    assert_eq!(ZoneBalance::new([], 0.0).price_factor("a"), 1.0);
}
