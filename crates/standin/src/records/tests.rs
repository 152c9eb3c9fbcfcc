use super::*;

#[test]
fn a_task_on_two_machines_is_noticed_and_a_restart_is_counted_once() {
    let mut r = Records::default();
    r.submitted("wk-1", "c");
    r.start("wk-1", 0, "a");
    r.leave("wk-1", 0, "east", None);
    r.start("wk-1", 0, "b");
    assert!(r.broken.is_empty());
    assert_eq!((r.starts, r.again, r.lost), (2, 1, 1));
    r.start("wk-1", 0, "c");
    assert_eq!(r.broken.len(), 1);
    r.leave("wk-1", 0, "east", Some((Duration::from_secs(2), 4.0)));
    assert_eq!((r.done("wk-1"), r.work["east"]), (1, 8.0));
    r.start("wk-9", 0, "a");
    assert_eq!(r.broken.len(), 2);
}
