//! A job of tiny tasks. A machine that runs more of them than its worker's report can hold is refused every report.

use crate::users;
use crate::world::Job;
use crate::{furrowline, furrowline_breeds, Args, Deployment, Verdict};

const ROWS: u64 = 1000;
const RUN_S: f64 = 40.0;
/// When the test ends, in seconds.
const END_S: f64 = 112.0;

pub fn run(args: &Args) -> Verdict {
    let Some(mut d) = Deployment::start(args, &furrowline(), furrowline_breeds()) else {
        return Verdict::CouldNotRun("the deployment did not start".into());
    };
    // Without the trouble the tasks are twice as large: half as many share a machine.
    let cpus = if args.trouble { 0.05 } else { 0.1 };
    let swarm = Job {
        id: "wk-000001".into(),
        class: "probe-swarm".into(),
        team: "agronomy",
        rank: "standard".into(),
        rows: ROWS,
        cpus,
        ram: 0.2,
        image: "img-probe".into(),
        image_gb: 0.5,
        parcel: None,
        breeds: Some(vec!["silo".into()]),
        cheap: true,
        reckon_s: RUN_S,
        run_s: RUN_S,
        awaits: Vec::new(),
        due_s: None,
    };
    d.world.note(&format!(
        "{ROWS} tasks of {cpus} CPUs, {RUN_S} s each; a silo has 64 CPUs"
    ));
    if users::submit(&d.world, &d.balancer, &swarm).is_none() {
        return Verdict::CouldNotRun("the job was not accepted".into());
    }
    let mut done = false;
    while d.world.now_s() < END_S && !done {
        d.sleep_until((d.world.now_s() + 5.0).min(END_S));
        done = users::poll(&d.world, &d.balancer, &swarm.id).as_deref() == Some("done");
        let tally = d.world.tally(&swarm.id);
        let line = format!(
            "{}: {} starts, {} of {ROWS} tasks have a result, {} ended with a lease",
            swarm.id,
            tally.started,
            tally.results.len(),
            tally.lost_to_lease
        );
        d.world.note(&line);
        for w in d.cloud.workers() {
            let seen = w.seen();
            let line = format!(
                "{}: tenure {}, {} live tasks, largest report {} bytes, {} reports answered, refused {:?}",
                w.id, seen.tenure, seen.live, seen.largest_report, seen.answered, seen.refused
            );
            d.world.note(&line);
        }
    }
    let ended = d.controllers.ended();
    if !ended.is_empty() {
        return Verdict::CouldNotRun(format!("controllers ended: {ended:?}"));
    }
    d.world.note(&format!(
        "the state service answered 429 {} times",
        d.state.refused()
    ));
    d.world.note(&format!(
        "the cloud rented {} machines",
        d.cloud.count().write()
    ));
    let tally = d.world.tally(&swarm.id);
    let line = format!(
        "{} starts, {} of {ROWS} tasks have a result, {} tasks were ended by their worker's lease; done: {done}",
        tally.started,
        tally.results.len(),
        tally.lost_to_lease
    );
    d.world.note(&line);
    // Broken only if accepted work was lost: no worker was cut off, silent or slow, and still every one of its reports
    // was refused until its lease ran out and ended the job's tasks, and the job is not done.
    if !done && tally.lost_to_lease > 0 {
        return Verdict::Broken(line);
    }
    if !done {
        return Verdict::CouldNotRun(format!("neither done nor lost: {line}"));
    }
    Verdict::Held(line)
}
