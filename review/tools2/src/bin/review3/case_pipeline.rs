//! A pipeline of two jobs a stage, each of which needs both jobs of the stage before. When its last job brings a deadline,
//! the leader passes it up the pipeline once for every path, and answers nobody meanwhile.

use crate::users;
use crate::world::Job;
use crate::{furrowline, furrowline_breeds, Args, Deployment, Verdict};

/// Stages of two jobs each.
const STAGES: usize = 28;
const PIPELINE_AT_S: f64 = 22.0;
const END_S: f64 = 112.0;
/// Run time of the tasks of the ordinary job, which are on their machines when the pipeline is submitted.
const SWEEP_RUN_S: f64 = 60.0;

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
        breeds: None,
        cheap: true,
        reckon_s: run_s,
        run_s,
        awaits: Vec::new(),
        due_s: None,
    }
}

pub fn run(args: &Args) -> Verdict {
    let Some(mut d) = Deployment::start(args, &furrowline(), furrowline_breeds()) else {
        return Verdict::CouldNotRun("the deployment did not start".into());
    };
    let sweep = job(1, "county-sweep", 4, SWEEP_RUN_S);
    if users::submit(&d.world, &d.balancer, &sweep).is_none() {
        return Verdict::CouldNotRun("the ordinary job was not accepted".into());
    }
    let second = job(2, "county-sweep", 1, SWEEP_RUN_S);
    if users::submit(&d.world, &d.balancer, &second).is_none() {
        return Verdict::CouldNotRun("the second job was not accepted".into());
    }
    d.sleep_until(PIPELINE_AT_S);
    if d.world.tally(&sweep.id).started == 0 {
        return Verdict::CouldNotRun("the ordinary job has not started".into());
    }
    let mut before: Vec<String> = Vec::new();
    let mut next_id = 1000;
    for stage in 0..=STAGES {
        let last = stage == STAGES;
        let mut these = Vec::new();
        for place in 0..if last { 1 } else { 2 } {
            // The estimates of the two jobs of a stage differ by twice as much as those of the stage before. In the last
            // stage it is the second one that takes longer.
            let differs = if stage + 1 == STAGES {
                place == 1
            } else {
                place == 0
            };
            let more = if differs && args.trouble && !last {
                0.0001 * 2f64.powi(stage as i32)
            } else {
                0.0
            };
            let mut new = job(
                next_id,
                if last { "parcel-publish" } else { "edge-trace" },
                1,
                5.0 + more,
            );
            next_id += 1;
            new.rank = if last { "urgent".into() } else { "low".into() };
            new.awaits = before.clone();
            new.due_s = last.then_some(100_000.0);
            if users::submit(&d.world, &d.balancer, &new).is_none() {
                return Verdict::CouldNotRun(format!("{} was not accepted", new.id));
            }
            these.push(new.id);
        }
        before = these;
    }
    d.world.note(&format!(
        "the pipeline of {} jobs is accepted",
        next_id - 1000
    ));
    // A user of a job that was submitted before calls it off.
    let (world, balancer) = (d.world.clone(), d.balancer.clone());
    let withdrawn =
        std::thread::spawn(move || users::withdraw(&world, &balancer, "wk-000002", 75.0));
    let mut small = 2;
    let mut done = false;
    while d.world.now_s() < END_S {
        d.sleep_until((d.world.now_s() + 5.0).min(END_S));
        if d.world.now_s() < END_S - 10.0 {
            small += 1;
            users::submit(&d.world, &d.balancer, &job(small, "rush-redraw", 1, 5.0));
        }
        done |= users::poll(&d.world, &d.balancer, &sweep.id).as_deref() == Some("done");
        for w in d.cloud.workers() {
            let seen = w.seen();
            let line = format!(
                "{}: tenure {}, {} live tasks, {} reports answered, refused {:?}",
                w.id, seen.tenure, seen.live, seen.answered, seen.refused
            );
            d.world.note(&line);
        }
    }
    let withdrawn = withdrawn.join().ok().flatten().unwrap_or("nothing".into());
    d.world.note(&format!(
        "the cancellation was answered with {withdrawn} within 75 s"
    ));
    let ended = d.controllers.ended();
    if !ended.is_empty() {
        return Verdict::CouldNotRun(format!("controllers ended: {ended:?}"));
    }
    let tallies = d.world.tallies.lock().unwrap().clone();
    let lost: u64 = tallies.values().map(|t| t.lost_to_lease).sum();
    let started = tallies
        .iter()
        .filter(|(id, t)| id.as_str() < "wk-001000" && t.started > 0)
        .count() as u64;
    let line = format!(
        "{lost} running tasks were ended by their worker's lease, although every worker reported all the time; the ordinary job done: {done}; a cancellation was answered with {withdrawn}; {started} of {small} jobs outside the pipeline started"
    );
    d.world.note(&line);
    if lost > 0 {
        return Verdict::Broken(line);
    }
    Verdict::Held(line)
}
