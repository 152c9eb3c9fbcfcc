use super::*;

#[test]
fn limiter_allows_a_burst_and_then_its_rate() {
    let now = Instant::now();
    let mut limiter = RateLimiter::new(10.0, now);
    assert!((0..10).all(|_| limiter.reserve(now).is_zero()));
    let waits: Vec<u64> = (0..3)
        .map(|_| limiter.reserve(now).as_millis() as u64)
        .collect();
    assert_eq!(waits, [100, 200, 300]);
    assert!(!limiter.try_take(now) && !limiter.try_take(now));
    assert!(limiter.try_take(now + Duration::from_millis(400)));
    assert!(limiter.reserve(now + Duration::from_secs(5)).is_zero());
}
