use super::*;

#[test]
fn a_zone_beyond_its_share_and_the_tolerance_counts_as_dearer() {
    let mut s = Spread::new(["a", "b", "c"], 0.1);
    assert_eq!(s.factor("a"), 1.0);
    s.add("a", 60.0);
    s.add("b", 20.0);
    s.add("c", 20.0);
    s.add("elsewhere", 1000.0);
    assert!((s.beyond() - (0.6 - 1.0 / 3.0)).abs() < 1e-9);
    assert!(s.factor("a") > 1.5 && s.factor("a") < STEEPEST);
    assert_eq!(s.factor("b"), 1.0);
    let mut loose = Spread::new(["a", "b"], 1.0);
    loose.add("a", 5.0);
    assert_eq!(loose.factor("a"), 1.0);
    assert_eq!(Spread::new([], 0.0).factor("a"), 1.0);
}
