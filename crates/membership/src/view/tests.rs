use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn suspicion_comes_before_loss_and_what_others_hear_holds_it_back() {
    let patience = FailureDetectorTimeouts {
        suspect_after: ms(1200),
        lost_after: ms(4000),
    };
    let names = ["n1", "n2"].map(|n| (n.to_string(), "a".to_string()));
    let mut view = MembershipView::new(names, patience);
    let t = Instant::now();
    assert_eq!(view.standing("n1", t), Standing::Unknown);
    assert!(!view.heard("n9", 1, Capabilities::REPORTS, 0, t));
    assert!(view.heard("n1", 1, Capabilities::REPORTS, 10, t));
    assert_eq!(view.standing("n1", t + ms(1000)), Standing::Alive);
    assert_eq!(view.standing("n1", t + ms(2000)), Standing::Suspect);
    assert_eq!(view.standing("n1", t + ms(5000)), Standing::Lost);
    // Cut one way: another one still hears it.
    view.told("n1", Capabilities::REPORTS, 12, t + ms(4500));
    assert_eq!(view.standing("n1", t + ms(5000)), Standing::Suspect);
    assert_eq!(view.get("n1").unwrap().load, 12);
    assert_eq!(view.standing("n1", t + ms(9000)), Standing::Lost);
    assert!(view.heard("n1", 2, Capabilities::REPORTS, 0, t + ms(9000)));
    assert_eq!(view.standing("n1", t + ms(9000)), Standing::Alive);
    // An old version says nothing of abilities.
    assert!(
        !view
            .get("n2")
            .unwrap()
            .capabilities
            .has(Capabilities::REPORTS)
    );
}
