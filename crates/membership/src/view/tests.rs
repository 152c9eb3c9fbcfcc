use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_member_is_suspect_before_lost_and_contact_by_others_keeps_it_suspect() {
    let timeouts = FailureDetectorTimeouts {
        suspect_after: ms(1200),
        lost_after: ms(4000),
    };
    let names = ["n1", "n2"].map(|n| (n.to_string(), "a".to_string()));
    let mut view = MembershipView::new(names, timeouts);
    let t = Instant::now();
    assert_eq!(view.state("n1", t), MemberState::Unknown);
    assert!(!view.record_contact("n9", 1, Capabilities::SERVES_WORKERS, 0, t));
    assert!(view.record_contact("n1", 1, Capabilities::SERVES_WORKERS, 10, t));
    assert_eq!(view.state("n1", t + ms(1000)), MemberState::Alive);
    assert_eq!(view.state("n1", t + ms(2000)), MemberState::Suspect);
    assert_eq!(view.state("n1", t + ms(5000)), MemberState::Lost);
    // Only the connection to this controller is cut: another controller still has contact with it.
    view.merge_report("n1", Capabilities::SERVES_WORKERS, 12, t + ms(4500));
    assert_eq!(view.state("n1", t + ms(5000)), MemberState::Suspect);
    assert_eq!(view.get("n1").unwrap().load, 12);
    assert_eq!(view.state("n1", t + ms(9000)), MemberState::Lost);
    assert!(view.record_contact("n1", 2, Capabilities::SERVES_WORKERS, 0, t + ms(9000)));
    assert_eq!(view.state("n1", t + ms(9000)), MemberState::Alive);
    // A member that has not stated its capabilities, such as one of an old version, has none.
    assert!(
        !view
            .get("n2")
            .unwrap()
            .capabilities
            .contains(Capabilities::SERVES_WORKERS)
    );
}
