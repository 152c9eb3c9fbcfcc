use super::*;

#[test]
fn a_zone_above_its_share_and_the_tolerance_has_a_higher_price_factor() {
    let mut balance = ZoneBalance::new(["a", "b", "c"], 0.1);
    assert_eq!(balance.price_factor("a"), 1.0);
    balance.add("a", 60.0);
    balance.add("b", 20.0);
    balance.add("c", 20.0);
    balance.add("elsewhere", 1000.0);
    assert!((balance.max_excess() - (0.6 - 1.0 / 3.0)).abs() < 1e-9);
    assert!(balance.price_factor("a") > 1.5 && balance.price_factor("a") < MAX_PRICE_FACTOR);
    assert_eq!(balance.price_factor("b"), 1.0);
    let mut loose = ZoneBalance::new(["a", "b"], 1.0);
    loose.add("a", 5.0);
    assert_eq!(loose.price_factor("a"), 1.0);
    assert_eq!(ZoneBalance::new([], 0.0).price_factor("a"), 1.0);
}
