use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A response may be delayed for any time. If the grant were counted from its receipt, the holder could
/// act for a leader that has already been succeeded.
#[test]
fn a_grant_expires_before_the_leadership_however_late_the_response() {
    let t = Instant::now();
    let leader_until = t + ms(2600);
    for (sent, worked) in [(0, 0), (0, 900), (100, 2500), (0, 2599)] {
        let mut issued = IssuedGrant::new(1, 1, t + ms(worked));
        let span = issued.extend(leader_until, t + ms(worked));
        let held = HeldGrant::new(4, t + ms(sent), span);
        assert!(held.expires_at <= leader_until, "{sent} {worked}");
        assert!(!held.is_valid(4, leader_until));
        assert!(!held.is_valid(5, t));
    }
}

#[test]
fn stale_requests_are_rejected_and_a_new_incarnation_restarts_the_numbering() {
    let t = Instant::now();
    let mut issued = IssuedGrant::new(1, 5, t);
    assert_eq!(issued.accept_request(1, 5, t + ms(1)), RequestOrder::Stale);
    assert_eq!(issued.accept_request(1, 7, t + ms(2)), RequestOrder::Next);
    assert_eq!(issued.accept_request(1, 6, t + ms(3)), RequestOrder::Stale);
    assert_eq!(issued.last_request_at, t + ms(2));
    issued.extend(t + ms(900), t + ms(4));
    // The grant of the previous incarnation is valid until it has expired.
    assert_eq!(issued.accept_request(2, 1, t + ms(5)), RequestOrder::Stale);
    assert_eq!(
        issued.accept_request(2, 9, t + ms(900)),
        RequestOrder::NewIncarnation
    );
    issued.extend(t + ms(2000), t + ms(901));
    // Guards against a delayed frame of the previous incarnation: the leader would drop the grants
    // of the running one, which would go on renewing leases that have expired for the leader.
    assert_eq!(
        issued.accept_request(1, 8, t + ms(950)),
        RequestOrder::Stale
    );
    assert_eq!(
        issued.accept_request(2, 10, t + ms(951)),
        RequestOrder::Next
    );
}
