//! Some jobs with the largest number of tasks that a job may have, each task for a machine of its own. The leader asks for
//! a machine for each task, far more than there are, keeps all these requests, and forecasts with each single machine.

use crate::users;
use crate::world::Job;
use crate::{furrowline, furrowline_breeds, Args, Deployment, Verdict};

/// Jobs of the disruption: together well below the number of tasks that the controllers accept.
const HUGE: u64 = 7;
/// Tasks of each, the most that a job may have.
const ROWS: u64 = 100_000;
const HUGE_AT_S: f64 = 14.0;
const END_S: f64 = 90.0;
/// A small job every so often.
const EVERY_S: f64 = 5.0;
/// "back about 5 s after an end".
const BACK_S: f64 = 5.0;

fn job(id: u64, class: &str, rows: u64, run_s: f64) -> Job {
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
        parcel: None,
        breeds: Some(vec!["sprout".into()]),
        cheap: true,
        reckon_s: run_s,
        run_s,
        awaits: Vec::new(),
        due_s: None,
    }
}

pub fn run(args: &Args) -> Verdict {
    let site = furrowline();
    let Some(mut d) = Deployment::start(args, &site, furrowline_breeds()) else {
        return Verdict::CouldNotRun("the deployment did not start".into());
    };
    d.world.note(&format!(
        "each controller may hold {} MB; one that holds more is killed",
        site.mem_mb
    ));
    let (mut next_small, mut small_id, mut accepted) = (2.0, 0u64, 0u64);
    let mut huge_left = if args.trouble { HUGE } else { 0 };
    let mut kills: Vec<(String, f64)> = Vec::new();
    let mut noted = 0.0;
    while d.world.now_s() < END_S {
        std::thread::sleep(std::time::Duration::from_millis(50));
        for (name, held) in d.controllers.enforce_memory(site.mem_mb, BACK_S) {
            d.world.note(&format!(
                "PLATFORM: {name} holds {held:.0} MB of {} MB: killed",
                site.mem_mb
            ));
            kills.push((name, held));
        }
        let now = d.world.now_s();
        let submits_huge = huge_left > 0 && now >= HUGE_AT_S;
        let submits_small = now >= next_small && now < END_S - 10.0;
        if submits_huge || submits_small {
            let new = if submits_huge {
                huge_left -= 1;
                job(900_000 + huge_left, "county-sweep", ROWS, 50.0)
            } else {
                next_small += EVERY_S;
                small_id += 1;
                job(small_id, "rush-redraw", 1, 5.0)
            };
            // On a thread of its own: the platform's check of the memory goes on.
            let (world, balancer) = (d.world.clone(), d.balancer.clone());
            if submits_small && !submits_huge {
                accepted += 1;
            }
            std::thread::spawn(move || users::submit(&world, &balancer, &new));
        }
        if now - noted >= 5.0 {
            noted = now;
            let most: Vec<String> = (d.controllers.nodes.iter())
                .map(|n| format!("{} at most {:.0} MB", n.name, n.most_mb))
                .collect();
            d.world.note(&most.join(", "));
        }
    }
    let ended = d.controllers.ended();
    if !ended.is_empty() {
        return Verdict::CouldNotRun(format!("controllers ended by themselves: {ended:?}"));
    }
    let tallies = d.world.tallies.lock().unwrap().clone();
    let small = tallies
        .iter()
        .filter(|(id, t)| id.as_str() < "wk-900000" && t.started > 0)
        .count();
    let line = format!(
        "{} times a controller was killed for its memory: {}; {small} of {accepted} small jobs started",
        kills.len(),
        kills.iter().map(|(n, mb)| format!("{n} {mb:.0} MB")).collect::<Vec<_>>().join(", ")
    );
    d.world.note(&line);
    if !kills.is_empty() {
        return Verdict::Broken(line);
    }
    Verdict::Held(line)
}
