use super::*;

fn sample() -> Scenario {
    let text = include_str!("../../../../scenarios/hollow.toml");
    Scenario::parse("hollow.toml", text).unwrap()
}

#[test]
fn scaling_a_scenario_multiplies_its_machines_and_tasks() {
    let (one, three) = (sample(), scale_scenario(&sample(), 3.0));
    assert_eq!(max_machines(&three), 3 * max_machines(&one));
    let tasks = |s: &Scenario| *s.jobs[0].tasks.get_ref();
    assert_eq!(tasks(&three), 3 * tasks(&one));
}

#[test]
fn the_large_scenario_has_6000_machines_and_ends_two_controllers_while_it_is_measured() {
    let text = include_str!("../../../../scenarios/hollow-6000.toml");
    let scenario = Scenario::parse("hollow-6000.toml", text).unwrap();
    assert_eq!(max_machines(&scenario), 6000);
    assert!(scenario.sockets > 6000);
    let measured = scenario.load_s * WARM_UP_FRACTION..scenario.load_s;
    assert_eq!(scenario.events.len(), 2);
    assert!(scenario.events.iter().all(|e| measured.contains(&e.at_s)));
}

#[test]
fn a_scenario_beyond_the_open_file_limit_is_refused_before_the_run() {
    let huge = scale_scenario(&sample(), 1e6);
    let refused = check_file_limit(&huge).unwrap_err().to_string();
    assert!(refused.contains("open files"), "{refused}");
    assert!(check_file_limit(&sample()).is_ok());
}

#[test]
fn rates_are_differences_of_samples_over_the_time_between_them() {
    let resource_sample = |at_s: f64, cpu: [f64; 2], n: u64| ResourceSample {
        at_s,
        machines: 10,
        tasks_running: 50,
        tasks_started: n,
        usage: cpu
            .map(|cpu_s| {
                Some(Usage {
                    cpu_s,
                    memory_mb: at_s,
                    threads: 7,
                    sockets: 9,
                })
            })
            .into(),
        state_requests: n,
        state_changes: n / 2,
        traffic: [n; 5],
    };
    let outcome = Outcome {
        submitted: 1,
        accepted: 1,
        done: 1,
        tasks_started: 1,
        tasks_started_again: 0,
        tasks_lost: 0,
        machines_ordinary: 1,
        machines_spot: 0,
        offers_refused: 0,
        spent: 0.0,
        work: BTreeMap::new(),
        spread: 0.0,
        tolerance: 1.0,
        accept: burlusher_standin::records::quantiles(&burlusher_standin::records::histogram()),
        wait: BTreeMap::new(),
        finish: BTreeMap::new(),
        state_requests: 0,
        state_changes: 0,
        violations: Vec::new(),
    };
    let all = [
        resource_sample(10.0, [1.0, 5.0], 100),
        resource_sample(20.0, [2.0, 9.0], 300),
    ];
    let f = compute_figures(&all, &outcome).unwrap();
    assert!((f.leader_cores - 0.4).abs() < 1e-9 && (f.other_cores - 0.1).abs() < 1e-9);
    assert_eq!(
        (f.state_requests_per_s, f.state_changes_per_s),
        (20.0, 10.0)
    );
    assert_eq!((f.reports_per_s, f.memory_mb), (2.0, 20.0));
    assert_eq!((f.tasks_running, f.starts_per_s), (50.0, 20.0));
    assert!(compute_figures(&all[..1], &outcome).is_err());
}

#[test]
fn the_table_has_one_row_per_size_and_lines_are_fitted_through_the_rows() {
    let mut small = Figures {
        machines: 100.0,
        ..Figures::default()
    };
    small.leader_cores = 0.1;
    let large = Figures {
        machines: 200.0,
        leader_cores: 0.2,
        ..small.clone()
    };
    let text = csv_table(&[small.clone(), large.clone()]);
    assert_eq!(text.lines().count(), 3);
    assert!(text.starts_with("accept_p95_ms,"), "{text}");
    let lines = fit_lines(&[small, large]);
    assert!((lines["leader_cores"].slope - 0.001).abs() < 1e-9);
    assert!(!lines.contains_key("machines"));
}
