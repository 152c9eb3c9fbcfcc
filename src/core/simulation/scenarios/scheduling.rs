//! Which jobs start, where and when.

use super::{eight_machines, fails_without, four_machines, thousand_machines, unlimited_job};
use crate::core::simulation::World;
use crate::guard::Guard;
use crate::job::{Kind, MachineId, Rank, sample};
use crate::policy::Policy;
use std::time::Duration;

#[test]
fn a_service_keeps_its_replicas_until_it_is_cancelled() {
    let (mut w, leader) = four_machines(20);
    let mut spec = sample("wk-1", 3, 2.0, 0);
    spec.kind = Kind::Service;
    spec.spread = true;
    w.submit(leader, &spec);
    w.run(4.0);
    assert_eq!(w.places("wk-1").len(), 3);
    let id = w.places("wk-1")[0].0.clone();
    w.workers.get_mut(&id).unwrap().hung = true;
    w.run(14.0);
    assert_eq!(w.places("wk-1").len(), 3);
    assert_eq!(w.cancel(leader, "wk-1").0, 200);
    w.run(5.0);
    assert!(w.places("wk-1").is_empty());
}

#[test]
fn a_gang_starts_whole_and_starts_whole_again() {
    let (mut w, leader) = four_machines(24);
    w.submit(leader, &sample("wk-9", 1, 4.0, 6));
    w.run(1.0);
    w.capacity.clear();
    let mut gang = sample("wk-1", 4, 4.0, 15);
    gang.kind = Kind::Gang;
    assert_eq!(w.submit(leader, &gang), 201);
    w.run(2.0);
    // Three machines are free, but four are needed.
    assert!(w.places("wk-1").is_empty());
    w.until(10.0, "all four start", |w| w.places("wk-1").len() == 4);
    let attempts: std::collections::BTreeSet<u64> = w
        .workers
        .values()
        .flat_map(|m| &m.tasks)
        .filter(|(k, _)| &*k.job == "wk-1")
        .map(|(_, t)| t.attempt)
        .collect();
    assert_eq!(attempts.len(), 1);
    w.run(2.0);
    let id = w.places("wk-1")[0].0.clone();
    w.workers.remove(&id);
    w.run(15.0);
    assert!(w.places("wk-1").is_empty());
    w.add_machine("small", "a");
    w.until_done("wk-1", 60.0);
}

#[test]
fn a_large_head_a_guaranteed_team_and_low_ranks_all_get_their_turn() {
    let (mut w, leader) = four_machines(21);
    w.capacity.clear();
    // Small jobs keep coming; a task that needs a whole machine is not starved by them.
    let mut n = 100;
    let mut feed = |w: &mut World, team: &str, tasks: u32| {
        n += 1;
        let mut spec = sample(&format!("wk-{n}"), tasks, 1.0, 4);
        spec.team = team.into();
        w.submit(leader, &spec);
    };
    for _ in 0..4 {
        feed(&mut w, "t", 8);
    }
    w.submit(leader, &sample("wk-1", 1, 4.0, 4));
    let mut low = sample("wk-2", 1, 1.0, 4);
    low.rank = Rank::Low;
    w.submit(leader, &low);
    let mut own = sample("wk-3", 2, 4.0, 4);
    own.team = "u".into();
    let begun = w.now;
    w.submit(leader, &own);
    w.until_done("wk-3", 25.0);
    assert!(w.now - begun < Duration::from_secs(15));
    for _ in 0..6 {
        feed(&mut w, "t", 4);
        w.run(2.0);
    }
    w.until_done("wk-1", 60.0);
    // Quiet time.
    w.until_done("wk-2", 60.0);
}

/// Found on the first grown days: each step rebuilt what it knew of every machine and task, and
/// the leader did little else.
#[test]
fn with_a_thousand_machines_a_step_costs_what_changed() {
    let (mut w, leader) = thousand_machines(25, "large");
    let looked = |w: &World| {
        let lead = w.nodes[leader].core.lead.as_ref().unwrap();
        lead.board.looked.get()
    };
    let long_job = |id: &str, tasks, seconds| {
        let mut spec = sample(id, tasks, 4.0, seconds);
        spec.team = "u".into();
        spec
    };
    // All but one of two thousand places are taken, by tasks that end later than this story.
    w.submit(leader, &long_job("wk-1", 1999, 600));
    w.run(6.0);
    assert_eq!(w.places("wk-1").len(), 1999);

    // A planning and a renting step a second at least, and nothing to do: machines that report
    // nothing new are not looked at.
    let (before, reports) = (looked(&w), w.reports);
    w.run(3.0);
    assert!(w.reports - reports > 2000);
    let spent = looked(&w) - before;
    assert!(spent < 100, "{spent} for reports that tell nothing new");

    // One more task finds the one place without a search among the others.
    let before = looked(&w);
    w.submit(leader, &long_job("wk-2", 1, 600));
    w.run(1.0);
    assert_eq!(w.places("wk-2").len(), 1);
    let spent = looked(&w) - before;
    assert!(spent < 100, "{spent} for one task");

    // A queue of hundreds of tasks that fit nowhere: the ends that come within their patience
    // are looked at, which is none, and no machine is.
    w.submit(leader, &long_job("wk-3", 500, 600));
    w.run(1.0);
    let before = looked(&w);
    w.run(3.0);
    let spent = looked(&w) - before;
    assert!(spent < 200, "{spent} for a queue that must wait");
}

/// Found on the first grown days: a thousand machines took a change of the state service each,
/// and jobs could not be accepted for it.
#[test]
fn a_thousand_machines_are_on_record_after_a_few_changes() {
    let (mut w, leader) = thousand_machines(26, "small");
    let lead = w.nodes[leader].core.lead.as_ref().unwrap();
    assert!(lead.machines.values().all(|m| m.recorded));
    assert!(w.changes() < 100, "{} changes", w.changes());
    // The next leader knows them all, and hears from them all.
    w.kill(leader, Duration::from_secs(60));
    w.until(10.0, "another leader", |w| w.leader().is_some());
    let leader = w.leader().unwrap();
    let lead = w.nodes[leader].core.lead.as_ref().unwrap();
    assert_eq!(lead.machines.values().count(), 1000);
    w.until(5.0, "all machines known", |w| {
        let lead = w.nodes[leader].core.lead.as_ref();
        lead.is_some_and(|l| l.unresolved == 0)
    });
}

/// Jobs bound to one zone, spread over two or kept together lose machines, with the leader or without, some of
/// them unheard; the world checks where each task starts against where the others are.
#[test]
fn jobs_bound_to_zones_that_lose_machines_start_again_where_they_may() {
    for leader_ends in [true, false] {
        let (mut w, leader) = eight_machines(990);
        let spec = |n: u32, tasks| unlimited_job(&format!("wk-{n:06}"), tasks, 2.0, 25);
        let mut bound = spec(1, 4);
        bound.zone = Some("b".into());
        let mut together = spec(2, 4);
        together.one_zone = true;
        let mut apart = spec(3, 5);
        apart.spread = true;
        for spec in [&bound, &together, &apart] {
            assert_eq!(w.submit(leader, spec), 201);
        }
        w.run(3.0);
        let hit: Vec<MachineId> = (1..4)
            .filter_map(|n| Some(w.places(&format!("wk-{n:06}")).first()?.0.clone()))
            .collect();
        assert!(!hit.is_empty());
        for (n, id) in hit.iter().enumerate() {
            match n {
                0 => {
                    w.workers.remove(id);
                }
                _ => {
                    if let Some(m) = w.workers.get_mut(id) {
                        m.cut = (0..3).collect();
                    }
                }
            }
        }
        w.cloud_down = leader_ends;
        if leader_ends {
            w.kill(leader, Duration::from_secs(3));
        }
        w.run(14.0);
        w.cloud_down = false;
        w.workers.values_mut().for_each(|m| m.cut.clear());
        for n in 1..4 {
            w.until_done(&format!("wk-{n:06}"), 120.0);
        }
    }
}

/// More urgent work than room, over slow links: jobs of a low rank, on types that are dear to them, get what
/// fits them and is free; nothing waits for a minute and a half where a machine has room.
fn more_work_than_room() {
    crate::core::simulation::with_log();
    let text = "delegate = true\nidle_keep = 600";
    let mut w = World::with_policy(1001, Policy::with("room", text).unwrap());
    w.capacity.clear();
    for zone in ["a", "b", "a"] {
        w.add_machine("small", zone);
    }
    // At two and a half times the price for twice the room: dear to work that has no aim.
    w.types[1].price = 9.0;
    w.add_machine("large", "a");
    w.until(10.0, "a leader", |w| w.leader().is_some());
    w.run(4.0);
    let leader = w.leader().unwrap();
    let mut wide = unlimited_job("wk-900001", 2, 4.0, 20);
    (wide.rank, wide.types) = (Rank::Low, Some(vec!["large".into()]));
    let mut low = unlimited_job("wk-900002", 30, 4.0, 20);
    low.rank = Rank::Low;
    let mut n = 0;
    for round in 0..70 {
        n += 1;
        let mut urgent = unlimited_job(&format!("wk-{n:06}"), 3, 4.0, 4);
        urgent.rank = Rank::High;
        urgent.types = Some(vec!["small".into()]);
        w.submit(leader, &urgent);
        if round == 3 {
            assert_eq!(w.submit(leader, &wide), 201);
            assert_eq!(w.submit(leader, &low), 201);
        }
        w.run(1.8);
    }
    assert!(!w.places("wk-900002").is_empty() || w.any_completed("wk-900002"));
}

#[test]
fn no_job_waits_for_long_where_a_machine_that_fits_has_room() {
    more_work_than_room();
    fails_without(Guard::Overdue, "waits for 90 s while", more_work_than_room);
}

/// A row may be on another machine than the one that is known first: the zone of that counts as well where a
/// job's tasks are to be together.
fn together_with_a_row_that_may_be_elsewhere() {
    let policy = Policy::with("zones", "idle_keep = 600").unwrap();
    let mut w = World::with_policy(1360, policy);
    w.capacity.clear();
    let first = w.add_machine("small", "b");
    w.until(10.0, "a leader", |w| w.leader().is_some());
    w.run(4.0);
    let leader = w.leader().unwrap();
    let mut spec = unlimited_job("wk-000001", 2, 4.0, 12);
    spec.one_zone = true;
    assert_eq!(w.submit(leader, &spec), 201);
    w.run(1.0);
    assert_eq!(w.places("wk-000001")[0].0, first);
    let other = w.add_machine("small", "a");
    w.run(2.0);
    assert_eq!(
        w.places("wk-000001").len(),
        1,
        "there is no room in its zone"
    );
    // An old copy was heard first: the row is on record there, and where it really is as well.
    let lead = w.nodes[leader].core.lead.as_mut().unwrap();
    let run = lead.runs.get_mut("wk-000001").unwrap();
    let row = *run.placed.keys().next().unwrap();
    run.placed.insert(row, other);
    run.also.insert(row, vec![first]);
    (lead.plan_again, lead.planned) = (true, None);
    w.run(0.3);
    w.until_done("wk-000001", 60.0);
}

#[test]
fn zones_count_in_which_a_row_only_may_be() {
    together_with_a_row_that_may_be_elsewhere();
    fails_without(
        Guard::Zones,
        "apart from",
        together_with_a_row_that_may_be_elsewhere,
    );
}

/// More of a high rank than its team may use, without end: a job of a low rank begins within four minutes.
fn a_low_rank_behind_more_than_the_limit() {
    let (mut w, leader) = eight_machines(1370);
    let mut low = sample("wk-900001", 4, 4.0, 5);
    low.rank = Rank::Low;
    let mut submitted = None;
    for n in 0..560u32 {
        let mut urgent = sample(&format!("wk-{n:06}"), 1, 4.0, 8);
        urgent.rank = Rank::High;
        w.ask_at_once_of(leader, &urgent);
        w.knows(&urgent);
        w.run(0.6);
        if n == 117 {
            assert_eq!(w.submit(leader, &low), 201);
            submitted = Some(w.now);
        }
        let begun = !w.places("wk-900001").is_empty() || w.any_completed("wk-900001");
        if let Some(at) = submitted {
            let waited = w.now - at;
            assert!(
                begun || waited < Duration::from_secs(240),
                "it has not begun"
            );
        }
    }
}

#[test]
fn a_low_rank_begins_behind_more_than_its_teams_limit() {
    a_low_rank_behind_more_than_the_limit();
    fails_without(
        Guard::Longest,
        "it has not begun",
        a_low_rank_behind_more_than_the_limit,
    );
}

/// Work of a higher rank that comes without end.
#[test]
fn nothing_is_passed_for_ever() {
    let (mut w, leader) = eight_machines(69);
    let mut large = unlimited_job("wk-000001", 40, 4.0, 3);
    large.rank = Rank::Low;
    let begun = w.now;
    for n in 0..110 {
        let mut small = unlimited_job(&format!("wk-{:06}", n + 2), 8, 4.0, 3);
        small.rank = Rank::High;
        assert_eq!(w.submit(leader, &small), 201);
        if n == 3 {
            assert_eq!(w.submit(leader, &large), 201);
        }
        w.run(2.0);
        if !w.places("wk-000001").is_empty() {
            break;
        }
    }
    let waited = (w.now - begun).as_secs();
    assert!(waited > 60, "the others go before it");
    assert!(waited < 160, "it begins after {waited} s");
}
