use super::*;
use serde_json::json;

/// Operators decide about a rebuild by the held tasks and by what task starts wait for, so the page has
/// to show both.
#[test]
fn a_rebuild_is_shown_with_its_held_tasks() {
    let view = json!({"node": "n0", "leads": true, "term": 3, "rebuild": {
        "lost": "its revision went back from 9 to 0", "complete": false, "jobs_to_write": 4,
        "starts_wait": "for a list of all machines", "held_tasks": 1, "held_results": 0,
        "from_snapshots": 0, "held": ["wk-1/0 on i-1"],
        "memories": [{"node": "n1", "standing": "not handed over yet", "new_jobs": 0}]}});
    let page = render(&view);
    for wanted in [
        "LOST DATA: its revision went back from 9 to 0\n",
        "starts wait: for a list of all machines; 4 jobs to write back",
        "n1             not handed over yet\n",
        "    wk-1/0 on i-1\n",
    ] {
        assert!(page.contains(wanted), "{wanted} in {page}");
    }
    let follower = render(&json!({"node": "n1", "rebuild": {"lost": "x"}}));
    assert!(follower.contains("knows more"), "{follower}");
}

/// The operators' documentation describes these values, which the page once left out although the JSON
/// had them.
#[test]
fn members_and_the_controller_that_a_machine_reports_to_are_shown() {
    let member = json!({"node": "n1", "zone": "a", "standing": "suspect", "workers": 7,
        "takes_reports": true, "granted": true});
    let view = json!({
        "node": "n0", "leads": true, "term": 3, "members": [member],
        "machines": [
            {"machine": "i-1", "type": "g8", "zone": "a", "state": "up", "reports_to": "n1"},
            {"machine": "i-2", "type": "g8", "zone": "a", "state": "up", "reports_to": null},
        ],
    });
    let page = render(&view);
    assert!(
        page.contains("suspect, 7 workers, takes reports, has a grant\n"),
        "{page}"
    );
    assert!(
        page.contains("up, reports to n1\n") && page.contains(" up\n"),
        "{page}"
    );
    let follower = render(&json!({"node": "n1", "leads": false, "members": [member]}));
    assert!(follower.contains("suspect, 7 workers"), "{follower}");
}
