use super::*;

#[test]
fn a_task_on_two_machines_is_noticed_and_a_restart_is_counted_once() {
    let mut r = Records::default();
    r.record_submission("wk-1", "c");
    r.record_start("wk-1", 0, "a");
    r.record_end("wk-1", 0, "east", None);
    r.record_start("wk-1", 0, "b");
    assert!(r.violations.is_empty());
    assert_eq!((r.starts, r.restarts, r.lost_runs), (2, 1, 1));
    r.record_start("wk-1", 0, "c");
    assert_eq!(r.violations.len(), 1);
    r.record_end("wk-1", 0, "east", Some((Duration::from_secs(2), 4.0)));
    assert_eq!((r.completed_tasks("wk-1"), r.work["east"]), (1, 8.0));
    r.record_start("wk-9", 0, "a");
    assert_eq!(r.violations.len(), 2);
}
