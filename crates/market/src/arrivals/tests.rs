use super::*;

#[test]
fn a_burst_is_detected_within_seconds_and_decays_soon_after() {
    let t0 = Instant::now();
    let at = |s: f64| t0 + Duration::from_secs_f64(s);
    let mut estimate = ArrivalEstimate::new(t0);
    assert_eq!(estimate.surge(at(0.0)), 0.0);
    for i in 0..120 {
        estimate.record(at(f64::from(i) * 2.0), 100, Duration::from_secs(10));
    }
    assert_eq!(
        estimate.surge(at(240.0)),
        0.0,
        "no surge at the baseline rate"
    );
    for i in 0..30 {
        estimate.record(at(240.0 + f64::from(i) * 0.5), 100, Duration::from_secs(10));
    }
    // Four times the baseline rate for 15 seconds: most of the excess is detected.
    let burst = estimate.surge(at(255.0));
    assert!((0.5..1.5).contains(&burst), "{burst}");
    assert_eq!(estimate.surge(at(300.0)), 0.0);
    assert_eq!(estimate.mean_size(), (100.0, Duration::from_secs(10)));
}
