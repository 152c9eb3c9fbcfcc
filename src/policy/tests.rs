use super::*;

fn error_in(text: &str) -> (usize, usize, String) {
    let error = Policy::parse("p", text).unwrap_err();
    (error.line, error.column, error.reason)
}

#[test]
fn policy_errors_are_reported_with_line_and_column() {
    assert_eq!(error_in("merit = wait +").0, 1);
    let (line, column, reason) = error_in("# note\norder = wait +\n  weight");
    assert_eq!((line, column), (3, 3));
    assert!(reason.contains("unknown name `weight`") && reason.contains("estimate"));
    assert!(error_in("tempo = 1").2.contains("unknown entry `tempo`"));
    let (_, column, reason) = error_in("preempt = wait");
    assert_eq!(column, 11);
    assert!(reason.contains("true or false"));
    assert!(
        error_in("merit = if wait then 1 else 2")
            .2
            .contains("true or false is needed")
    );
    assert!(
        error_in("merit = 1 < true")
            .2
            .contains("a number is needed")
    );
    assert!(error_in("merit = min(1)").2.contains("arguments"));
    assert!(
        error_in("merit = 1 order = 2 merit = 3")
            .2
            .contains("twice")
    );
    assert!(error_in("idle_keep = wait").2.contains("known here: spot"));
    assert!(error_in("bidding = machines").2.contains("true or false"));
    assert!(
        error_in("foresight = wait")
            .2
            .contains("known here: machines")
    );
    let deep = format!("merit = {}1{}", "(".repeat(500), ")".repeat(500));
    assert!(error_in(&deep).2.contains("deeply"));
    let deep = format!("merit = {}1", "-".repeat(5000));
    assert!(error_in(&deep).2.contains("deeply"));
}

/// A controller does not start with an invalid policy, so the deployed one must pass the checker.
#[test]
fn the_deployed_policy_is_valid_and_enables_bidding_and_delegation() {
    let deploy = include_str!("../../deploy/service.toml");
    assert!(deploy.contains("--policy deploy/service.policy "));
    let text = include_str!("../../deploy/service.policy");
    let policy = Policy::parse("deploy/service.policy", text).unwrap();
    for entry in [Entry::Bidding, Entry::DelegateWorkers] {
        assert!(policy.fleet_boolean(entry, &FleetFacts::default()));
        assert!(!Policy::built_in().fleet_boolean(entry, &FleetFacts::default()));
    }
}

#[test]
fn expressions_are_evaluated_and_a_failing_one_falls_back() {
    let policy = Policy::parse(
        "p",
        "merit = 1 + 2 * 3 - 4 / 2  # 5\norder = if wait > 3 and not guaranteed then -1 else 10 / wait\n",
    )
    .unwrap();
    let mut facts = JobFacts {
        submitted: 77.0,
        ..JobFacts::default()
    };
    assert_eq!(policy.number(Entry::PriorityWeight, &facts), 5.0);
    // Division by zero: the built-in order is the time of submission.
    assert_eq!(policy.number(Entry::QueueOrder, &facts), 77.0);
    facts.wait = 2.0;
    assert_eq!(policy.number(Entry::QueueOrder, &facts), 5.0);
    facts.wait = 4.0;
    assert_eq!(policy.number(Entry::QueueOrder, &facts), -1.0);
    facts.guaranteed = true;
    assert_eq!(policy.number(Entry::QueueOrder, &facts), 2.5);
    assert!(policy.boolean(Entry::MayPreempt, &facts));
    assert!(
        policy
            .describe()
            .contains("merit = 1 + 2 * 3 - 4 / 2\n    [file")
    );
    let built_in = Policy::built_in();
    let facts = JobFacts {
        wait: 60.0,
        estimate: 10.0,
        ..JobFacts::default()
    };
    assert_eq!(built_in.number(Entry::PriorityWeight, &facts), 2.0);
}
