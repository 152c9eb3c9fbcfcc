use super::*;

#[test]
fn a_budget_allows_a_burst_and_then_its_rate() {
    let t = Instant::now();
    let mut b = RateLimiter::new(10.0, t);
    assert!((0..10).all(|_| b.take(t).is_zero()));
    let waits: Vec<u64> = (0..3).map(|_| b.take(t).as_millis() as u64).collect();
    assert_eq!(waits, [100, 200, 300]);
    assert!(!b.try_take(t) && !b.try_take(t));
    assert!(b.try_take(t + Duration::from_millis(400)));
    assert!(b.take(t + Duration::from_secs(5)).is_zero());
}
