use super::*;

fn fault(text: &str) -> (usize, usize, String) {
    let e = Policy::parse("p", text).unwrap_err();
    (e.line, e.column, e.reason)
}

#[test]
fn faults_are_found_before_start_up_with_their_place() {
    assert_eq!(fault("merit = wait +").0, 1);
    let (line, column, reason) = fault("# note\norder = wait +\n  weight");
    assert_eq!((line, column), (3, 3));
    assert!(reason.contains("unknown name `weight`") && reason.contains("estimate"));
    assert!(fault("tempo = 1").2.contains("unknown entry `tempo`"));
    let (_, column, reason) = fault("preempt = wait");
    assert_eq!(column, 11);
    assert!(reason.contains("true or false"));
    assert!(
        fault("merit = if wait then 1 else 2")
            .2
            .contains("true or false is needed")
    );
    assert!(fault("merit = 1 < true").2.contains("a number is needed"));
    assert!(fault("merit = min(1)").2.contains("arguments"));
    assert!(fault("merit = 1 order = 2 merit = 3").2.contains("twice"));
    assert!(fault("idle_keep = wait").2.contains("known here: spot"));
    assert!(fault("bidding = machines").2.contains("true or false"));
    assert!(fault("foresight = wait").2.contains("known here: machines"));
    let deep = format!("merit = {}1{}", "(".repeat(500), ")".repeat(500));
    assert!(fault(&deep).2.contains("deeply"));
    let deep = format!("merit = {}1", "-".repeat(5000));
    assert!(fault(&deep).2.contains("deeply"));
}

/// What the deploy file starts controllers with must check, or none would start.
#[test]
fn the_policy_that_is_deployed_checks_bids_and_delegates() {
    let deploy = include_str!("../../deploy/service.toml");
    assert!(deploy.contains("--policy deploy/service.policy "));
    let text = include_str!("../../deploy/service.policy");
    let p = Policy::parse("deploy/service.policy", text).unwrap();
    for entry in [Entry::Bidding, Entry::DelegateWorkers] {
        assert!(p.fleet_boolean(entry, &FleetFacts::default()));
        assert!(!Policy::built_in().fleet_boolean(entry, &FleetFacts::default()));
    }
}

#[test]
fn expressions_are_evaluated_and_a_failing_one_falls_back() {
    let p = Policy::parse(
        "p",
        "merit = 1 + 2 * 3 - 4 / 2  # 5\norder = if wait > 3 and not guaranteed then -1 else 10 / wait\n",
    )
    .unwrap();
    let mut f = JobFacts {
        submitted: 77.0,
        ..JobFacts::default()
    };
    assert_eq!(p.number(Entry::PriorityWeight, &f), 5.0);
    // Division by zero: the built-in order is the time of submission.
    assert_eq!(p.number(Entry::QueueOrder, &f), 77.0);
    f.wait = 2.0;
    assert_eq!(p.number(Entry::QueueOrder, &f), 5.0);
    f.wait = 4.0;
    assert_eq!(p.number(Entry::QueueOrder, &f), -1.0);
    f.guaranteed = true;
    assert_eq!(p.number(Entry::QueueOrder, &f), 2.5);
    assert!(p.boolean(Entry::MayPreempt, &f));
    assert!(
        p.describe()
            .contains("merit = 1 + 2 * 3 - 4 / 2\n    [file")
    );
    let b = Policy::built_in();
    let f = JobFacts {
        wait: 60.0,
        estimate: 10.0,
        ..JobFacts::default()
    };
    assert_eq!(b.number(Entry::PriorityWeight, &f), 2.0);
}
