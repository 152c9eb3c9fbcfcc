//! A pipeline in stages, each job of which needs all jobs of the stage before. When its last job brings a deadline, the
//! leader passes it up the pipeline along many of its paths, and answers nobody meanwhile. Either with two jobs a stage
//! and estimates that make it take every path, or with drawn estimates and the controllers held to their share of the
//! processor.

use crate::governor::Governor;
use crate::users;
use crate::world::Job;
use crate::{furrowline, furrowline_breeds, Args, Deployment, Verdict};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Stages with chosen estimates, of two jobs each.
const STAGES: usize = 28;
/// Stages with drawn estimates, and the jobs of each.
const DRAWN_STAGES: usize = 15;
const DRAWN_WIDTH: usize = 30;
/// Users that submit the jobs of a stage with drawn estimates side by side.
const SUBMITTERS: usize = 1;
const SEED: u64 = 7;
/// The second at which the pipeline's submission begins.
const CHOSEN_AT_S: f64 = 22.0;
const DRAWN_AT_S: f64 = 16.0;
const END_S: f64 = 112.0;
/// Run time of the tasks of the ordinary job, which are on their machines when the pipeline is submitted.
const CHOSEN_SWEEP_S: f64 = 60.0;
const DRAWN_SWEEP_S: f64 = 110.0;

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

/// The jobs of a pipeline by stage. `run_s` gives the estimate of the job at a place of a stage.
fn pipeline(
    stages: usize,
    width: usize,
    mut run_s: impl FnMut(usize, usize) -> f64,
) -> Vec<Vec<Job>> {
    let mut pipeline: Vec<Vec<Job>> = Vec::new();
    let mut next_id = 1000;
    for stage in 0..=stages {
        let last = stage == stages;
        let before: Vec<String> = pipeline
            .last()
            .map(|jobs| jobs.iter().map(|j| j.id.clone()).collect())
            .unwrap_or_default();
        let mut jobs = Vec::new();
        for place in 0..if last { 1 } else { width } {
            let class = if last { "parcel-publish" } else { "edge-trace" };
            let mut new = job(next_id, class, 1, run_s(stage, place));
            next_id += 1;
            new.rank = if last { "urgent".into() } else { "low".into() };
            new.awaits = before.clone();
            jobs.push(new);
        }
        pipeline.push(jobs);
    }
    pipeline
}

/// The estimates of the two jobs of a stage differ by twice as much as those of the stage before; in the last stage it is
/// the second one that takes longer. Without the disruption all are the same.
fn chosen_pipeline(trouble: bool) -> Vec<Vec<Job>> {
    let mut stages = pipeline(STAGES, 2, |stage, place| {
        let longer = if stage + 1 == STAGES { 1 } else { 0 };
        if trouble && stage < STAGES && place == longer {
            5.0 + 0.0001 * 2f64.powi(stage as i32)
        } else {
            5.0
        }
    });
    stages[STAGES][0].due_s = Some(100_000.0);
    stages
}

/// Log-normal estimates, 20 s in the median. Without the disruption the last job has no deadline.
fn drawn_pipeline(trouble: bool) -> Vec<Vec<Job>> {
    let mut random = SEED;
    let mut uniform = || {
        random = random
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        ((random >> 33) as f64 + 0.5) / (1u64 << 31) as f64
    };
    let mut stages = pipeline(DRAWN_STAGES, DRAWN_WIDTH, |_, _| {
        let normal = (-2.0 * uniform().ln()).sqrt() * (std::f64::consts::TAU * uniform()).cos();
        (3.0 + 0.6 * normal).exp()
    });
    stages[DRAWN_STAGES][0].due_s = trouble.then_some(100_000.0);
    stages
}

/// Submits the jobs of a stage, and returns whether all were accepted.
fn submit_stage(d: &Deployment, stage: Vec<Job>, submitters: usize) -> bool {
    let size = stage.len();
    let left = Mutex::new(stage.into_iter());
    let accepted = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..submitters.min(size) {
            scope.spawn(|| loop {
                let next = left.lock().unwrap().next();
                let Some(new) = next else { return };
                if users::submit(&d.world, &d.balancer, &new).is_some() {
                    accepted.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    accepted.into_inner() == size
}

pub fn run(args: &Args, drawn: bool) -> Verdict {
    let site = furrowline();
    let Some(mut d) = Deployment::start(args, &site, furrowline_breeds()) else {
        return Verdict::CouldNotRun("the deployment did not start".into());
    };
    let sweep_s = if drawn { DRAWN_SWEEP_S } else { CHOSEN_SWEEP_S };
    let sweep = job(1, "county-sweep", 4, sweep_s);
    if users::submit(&d.world, &d.balancer, &sweep).is_none() {
        return Verdict::CouldNotRun("the ordinary job was not accepted".into());
    }
    let second = job(2, "county-sweep", 1, sweep_s);
    if users::submit(&d.world, &d.balancer, &second).is_none() {
        return Verdict::CouldNotRun("the second job was not accepted".into());
    }
    let governor = drawn.then(|| {
        let processes = d.controllers.nodes.iter().map(|n| n.child.id()).collect();
        Governor::start(processes, site.cores)
    });
    d.sleep_until(if drawn { DRAWN_AT_S } else { CHOSEN_AT_S });
    if d.world.tally(&sweep.id).started == 0 {
        return Verdict::CouldNotRun("the ordinary job has not started".into());
    }
    let stages = if drawn {
        drawn_pipeline(args.trouble)
    } else {
        chosen_pipeline(args.trouble)
    };
    let size: usize = stages.iter().map(Vec::len).sum();
    for stage in stages {
        if !submit_stage(&d, stage, if drawn { SUBMITTERS } else { 1 }) {
            return Verdict::CouldNotRun("a job of the pipeline was not accepted".into());
        }
    }
    d.world
        .note(&format!("the pipeline of {size} jobs is accepted"));
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
    if let Some(governor) = governor {
        for (account, node) in governor.accounts().iter().zip(&d.controllers.nodes) {
            let line = format!("{} used {:.1} s", node.name, account.used_s);
            d.world.note(&line);
        }
        governor.release();
    }
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
