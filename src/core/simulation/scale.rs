//! Takeovers against size: how long a new leader takes, and how much it computes, in a world of 1,000 to
//! 10,000 machines. Not a part of the tests that everybody runs:
//!
//!     cargo test --release --lib takeovers_against_size -- --ignored --nocapture
//!
//! prints the table in `docs/takeover.csv`, from which `cargo run --example plot_takeover` draws.
//! Likewise `losses_against_size` that in `docs/rebuild.csv`: a total loss of data, with the leader
//! ended at the same time or not.

use crate::core::simulation::World;
use crate::job::{JobSpec, sample};
use crate::policy::Policy;
use std::time::{Duration, Instant};

struct Row {
    known_ms: u128,
    start_ms: u128,
    restart_ms: u128,
    leader_ms: u128,
    changes: usize,
}

/// Of the team without a limit.
fn job(id: &str, tasks: u32) -> JobSpec {
    let mut spec = sample(id, tasks, 1.0, 100_000);
    spec.team = "u".into();
    spec
}

/// So many machines, none of which can be rented, and who leads.
fn led(seed: u64, policy: &str, machines: usize) -> (World, usize) {
    let mut w = World::with_policy(seed, Policy::with("scale", policy).unwrap());
    w.capacity.clear();
    for n in 0..machines {
        w.add_machine("small", ["a", "b"][n % 2]);
    }
    w.until(10.0, "a leader", |w| w.leader().is_some());
    w.run(5.0);
    let leader = w.leader().unwrap();
    (w, leader)
}

/// A leader of so many machines, each with so many tasks, ends together with one machine.
fn take_over(machines: usize, tasks_each: usize, delegate: bool) -> Row {
    let text = format!("delegate = {delegate}");
    let (mut w, leader) = led(7, &text, machines);
    let in_all = machines * tasks_each;
    for n in 0..in_all.div_ceil(500) {
        let tasks = 500.min(in_all - n * 500) as u32;
        assert_eq!(w.submit(leader, &job(&format!("wk-{n:06}"), tasks)), 201);
    }
    w.until(120.0, "all run", |w| {
        w.workers.values().map(|m| m.tasks.len()).sum::<usize>() == in_all
    });
    w.run(10.0);
    let dead = w.workers.keys().nth(machines / 2).cloned().unwrap();
    w.workers.get_mut(&dead).unwrap().hung = true;
    w.kill(leader, Duration::from_secs(600));
    w.until(10.0, "another leader", |w| {
        w.leader().is_some_and(|l| l != leader)
    });
    let next = w.leader().unwrap();
    let (since, changes) = (w.now, w.changes());
    w.nodes[next].busy = Duration::ZERO;
    let fresh = job("wk-999999", 4);
    w.knows(&fresh);
    w.ask(next, crate::core::Ask::Submit(Box::new(fresh)));
    let mut row = Row {
        known_ms: 0,
        start_ms: 0,
        restart_ms: 0,
        leader_ms: 0,
        changes: 0,
    };
    let end = w.now + Duration::from_secs(120);
    while row.known_ms * row.start_ms * row.restart_ms == 0 {
        assert!(w.now < end, "{machines} machines take too long");
        w.tick();
        let passed = (w.now - since).as_millis().max(1);
        let left = (w.nodes[next].core.lead.as_ref()).map_or(usize::MAX, |l| l.unresolved);
        if row.known_ms == 0 && left * 100 <= machines {
            row.known_ms = passed;
            row.leader_ms = w.nodes[next].busy.as_millis();
        }
        if row.start_ms == 0 && !w.places("wk-999999").is_empty() {
            row.start_ms = passed;
        }
        let running = || -> usize {
            let live = w.workers.iter().filter(|(id, _)| **id != dead);
            live.map(|(_, m)| m.tasks.len()).sum()
        };
        if row.restart_ms == 0 && row.start_ms > 0 && running() >= in_all + 4 {
            row.restart_ms = passed;
        }
    }
    row.changes = w.changes() - changes;
    row
}

#[test]
#[ignore = "minutes long, and prints figures instead of judging them"]
fn takeovers_against_size() {
    println!("machines,tasks,delegate,known_ms,first_start_ms,restart_ms,leader_ms,state_changes");
    let begun = Instant::now();
    for (machines, tasks_each) in [(300, 3), (1000, 3), (3000, 3), (10_000, 1), (10_000, 3)] {
        for delegate in [false, true] {
            let r = take_over(machines, tasks_each, delegate);
            println!(
                "{machines},{},{delegate},{},{},{},{},{}",
                machines * tasks_each,
                r.known_ms,
                r.start_ms,
                r.restart_ms,
                r.leader_ms,
                r.changes
            );
        }
    }
    eprintln!("played in {:?}", begun.elapsed());
}

/// So many machines and jobs, and the store loses everything; the leader ends with it, or lives.
fn lose(machines: usize, jobs: usize, leader_lives: bool, seed: u64) -> [u128; 6] {
    let (mut w, leader) = led(seed, "delegate = true", machines);
    for n in 0..jobs {
        let spec = job(&format!("wk-{n:06}"), 2);
        w.knows(&spec);
        w.ask(leader, crate::core::Ask::Submit(Box::new(spec)));
        if n % 50 == 49 {
            w.tick();
        }
    }
    let running = |w: &World| w.workers.values().map(|m| m.tasks.len()).sum::<usize>();
    w.until(120.0, "all run", |w| {
        running(w) == (2 * jobs).min(4 * machines)
    });
    w.run(10.0);
    let starts = w.starts;
    w.lose_state();
    if !leader_lives {
        w.kill(leader, Duration::from_secs(600));
    }
    let since = w.now;
    let passed = |w: &World| (w.now - since).as_millis();
    w.until(15.0, "a leader again", |w| {
        w.leader().is_some() && !w.stored("burlusher/rebuilding").is_empty()
    });
    let leads = passed(&w);
    let next = w.leader().unwrap();
    w.nodes[next].busy = Duration::ZERO;
    let mut complete = 0;
    let mut first = 0;
    let mut written = 0;
    let mut busy = 0;
    let mut spec = job("wk-900000", 1);
    spec.needs.cpus = 0.1;
    spec.needs.ram = 0.1;
    w.knows(&spec);
    let end = w.now + Duration::from_secs(1200);
    while complete * first * written == 0 {
        assert!(w.now < end, "{machines} machines take too long");
        if first == 0 && w.places("wk-900000").is_empty() {
            w.ask(next, crate::core::Ask::Submit(Box::new(spec.clone())));
        }
        w.run(0.2);
        let lead = w.nodes[next].core.lead.as_ref();
        let rebuild = lead.and_then(|l| l.rebuild.as_ref());
        if complete == 0
            && rebuild.is_some_and(|r| r.complete_at.is_some() || r.started_at.is_some())
        {
            complete = passed(&w);
            busy = w.nodes[next].busy.as_millis();
        }
        if first == 0 && !w.places("wk-900000").is_empty() {
            first = passed(&w);
        }
        if written == 0 && w.nodes[next].core.mirror.owed.is_empty() {
            written = passed(&w);
        }
    }
    let again = u128::from(w.starts - starts) - 1;
    [leads, complete, first, written, busy, again]
}

#[test]
#[ignore = "minutes long, and prints figures instead of judging them"]
fn losses_against_size() {
    println!(
        "machines,jobs,leader_lives,seed,leads_ms,known_ms,first_start_ms,written_ms,leader_ms,restarts"
    );
    for (machines, jobs) in [(300, 500), (1000, 1500), (3000, 4500), (10_000, 15_000)] {
        for leader_lives in [true, false] {
            for seed in 1..=3 {
                let [a, b, c, d, e, f] = lose(machines, jobs, leader_lives, seed);
                println!("{machines},{jobs},{leader_lives},{seed},{a},{b},{c},{d},{e},{f}");
            }
        }
    }
}
