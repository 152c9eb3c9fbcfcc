//! Some jobs with the largest number of tasks that a job may have. The leader asks for more machines than there are,
//! forecasts with each one that it asked for, and has no time left for anything else.

use crate::governor::Governor;
use crate::users;
use crate::world::Job;
use crate::{furrowline, furrowline_breeds, Args, Deployment, Verdict};
use std::collections::BTreeMap;
use std::time::Instant;

/// Jobs of the disruption: together below the number of tasks that the controllers accept.
const HUGE: u64 = 5;
/// Tasks of each, the most that a job may have.
const ROWS: u64 = 100_000;
const HUGE_AT_S: f64 = 9.0;
const END_S: f64 = 113.0;
/// A small job every so often.
const EVERY_S: f64 = 4.0;
/// The bound of the users' page.
const BOUND_S: f64 = 90.0;

fn job(id: u64, class: &str, rows: u64, zone: &str, run_s: f64) -> Job {
    Job {
        id: format!("wk-{id:06}"),
        class: class.into(),
        team: "agronomy",
        rank: "standard".into(),
        rows,
        cpus: 4.0,
        ram: 17.0,
        image: format!("img-{class}"),
        image_gb: 0.5,
        parcel: Some(zone.into()),
        breeds: None,
        cheap: true,
        reckon_s: run_s,
        run_s,
        awaits: Vec::new(),
        due_s: None,
    }
}

/// A small job that has not started.
struct Waiting {
    accepted: Instant,
    /// Seconds for which it has waited without a break while a machine that fits had room.
    with_room_s: f64,
}

pub fn run(args: &Args) -> Verdict {
    let site = furrowline();
    let Some(mut d) = Deployment::start(args, &site, furrowline_breeds()) else {
        return Verdict::CouldNotRun("the deployment did not start".into());
    };
    let pids = d.controllers.nodes.iter().map(|n| n.child.id()).collect();
    let governor = Governor::start(pids, site.cores);
    d.world.note(&format!(
        "each controller is held to {} of a core",
        site.cores
    ));
    let (mut next_small, mut small_id) = (2.0, 0u64);
    let mut huge_left = if args.trouble { HUGE } else { 0 };
    let mut waiting: BTreeMap<String, Waiting> = BTreeMap::new();
    let mut longest = 0.0f64;
    let mut started = 0u64;
    let mut worst = String::new();
    let mut last = Instant::now();
    while d.world.now_s() < END_S {
        std::thread::sleep(std::time::Duration::from_millis(200));
        let now = d.world.now_s();
        if huge_left > 0 && now >= HUGE_AT_S {
            huge_left -= 1;
            let huge = job(
                900_000 + huge_left,
                "county-sweep",
                ROWS,
                "huron-west",
                50.0,
            );
            users::submit(&d.world, &d.balancer, &huge);
            // Waiting counts once the troubles are over: from the last of these submissions on.
            for w in waiting.values_mut() {
                w.with_room_s = 0.0;
            }
            last = Instant::now();
            continue;
        }
        if now >= next_small && now < END_S - 5.0 {
            next_small += EVERY_S;
            small_id += 1;
            let small = job(small_id, "rush-redraw", 1, "erie-east", 5.0);
            if let Some(accepted) = users::submit(&d.world, &d.balancer, &small) {
                waiting.insert(
                    small.id.clone(),
                    Waiting {
                        accepted,
                        with_room_s: 0.0,
                    },
                );
            }
        }
        // Which small jobs wait, and is there room for one more of their tasks?
        let room: Vec<String> = (d.cloud.workers().iter())
            .filter(|w| w.zone == "erie-east" && w.seen().free_cpus >= 4.0)
            .map(|w| format!("{} ({} CPUs free)", w.id, w.seen().free_cpus))
            .collect();
        let passed = last.elapsed().as_secs_f64();
        last = Instant::now();
        let mut over = Vec::new();
        for (id, w) in &mut waiting {
            if d.world.tally(id).first_start.is_some() {
                over.push(id.clone());
                started += 1;
            } else if room.is_empty() {
                w.with_room_s = 0.0;
            } else {
                w.with_room_s += passed;
                if w.with_room_s > longest {
                    longest = w.with_room_s;
                    worst = format!(
                        "{id}, accepted {:.1} s ago; room on {}",
                        w.accepted.elapsed().as_secs_f64(),
                        room.join(", ")
                    );
                }
            }
        }
        for id in over {
            waiting.remove(&id);
        }
        if (now / 5.0).floor() != ((now - passed) / 5.0).floor() {
            let used: Vec<String> = (governor.accounts().iter())
                .map(|a| format!("{:.1} s used, held {:.1} s", a.used_s, a.held_s))
                .collect();
            let line = format!(
                "small jobs: {started} started, {} wait, longest with room {longest:.1} s; controllers: {}",
                waiting.len(),
                used.join("; ")
            );
            d.world.note(&line);
            if let Some(id) = waiting.keys().next() {
                users::poll(&d.world, &d.balancer, id);
            }
        }
    }
    governor.release();
    let ended = d.controllers.ended();
    if !ended.is_empty() {
        return Verdict::CouldNotRun(format!("controllers ended: {ended:?}"));
    }
    let lost: u64 = d
        .world
        .tallies
        .lock()
        .unwrap()
        .values()
        .map(|t| t.lost_to_lease)
        .sum();
    let line = format!(
        "{started} small jobs started, {} wait; longest wait with room {longest:.1} s of {BOUND_S} ({worst}); {lost} tasks ended with a lease",
        waiting.len()
    );
    d.world.note(&line);
    if longest >= BOUND_S {
        return Verdict::Broken(line);
    }
    Verdict::Held(line)
}
