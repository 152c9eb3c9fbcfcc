use super::*;
use crate::core::store::keys::{job_key, machine_key};

fn change(id: &str, version: u64) -> Condition {
    Condition {
        key: job_key(id),
        version,
    }
}

#[test]
fn confirmed_changes_are_forgotten_except_the_newest() {
    let mut recent = RecentJobChanges::default();
    recent.record(&job_key("wk-1"), 3);
    recent.record(&job_key("wk-2"), 4);
    recent.record(&job_key("wk-1"), 5);
    recent.record(&machine_key("i-1"), 6);
    let compared = recent.conditions();
    assert_eq!(compared, [change("wk-2", 4), change("wk-1", 5)]);
    // A change that is newer than the comparison stays.
    recent.record(&job_key("wk-2"), 7);
    recent.confirm(&compared);
    assert_eq!(recent.conditions(), [change("wk-2", 7)]);
    recent.confirm(&[change("wk-2", 7)]);
    assert_eq!(recent.conditions(), [change("wk-2", 7)]);
    assert!(!recent.contains(&change("wk-2", 4)));
}

#[test]
fn the_oldest_change_is_kept_when_there_are_many() {
    let mut recent = RecentJobChanges::default();
    let id = |n: usize| format!("wk-{n:04}");
    for n in 1..=MAX_CHANGES + 10 {
        recent.record(&job_key(&id(n)), n as u64);
    }
    assert_eq!(recent.conditions().len(), MAX_CHANGES);
    assert!(recent.contains(&change(&id(1), 1)));
    assert!(!recent.contains(&change(&id(2), 2)));
}
