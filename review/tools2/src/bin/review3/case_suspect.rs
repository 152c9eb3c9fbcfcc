//! A sound job whose first three machines are faulty. It is taken for a faulty job, for which no machine is rented any more.

use crate::users;
use crate::world::Job;
use crate::{furrowline, furrowline_breeds, Args, Deployment, Verdict};
use std::time::Instant;

/// Machines that fail every task that they start: the first ones that are rented, for as long as they exist.
const FAULTY: u64 = 3;
const RUN_S: f64 = 1.0;
const END_S: f64 = 115.0;
/// For how long nothing must have been done for the job at the end. Without the trouble all takes some 6 s.
const ABANDONED_S: f64 = 30.0;

pub fn run(args: &Args) -> Verdict {
    let mut breeds = furrowline_breeds();
    // "at times machines are up within a second or two"
    breeds.iter_mut().for_each(|b| b.boot = 2.0);
    let Some(mut d) = Deployment::start(args, &furrowline(), breeds) else {
        return Verdict::CouldNotRun("the deployment did not start".into());
    };
    if args.trouble {
        d.cloud.set_faulty_first(FAULTY);
        let line = format!(
            "the first {FAULTY} machines fail every task that they start; all others are sound"
        );
        d.world.note(&line);
    }
    let sound = Job {
        id: "wk-000001".into(),
        class: "county-sweep".into(),
        team: "agronomy",
        rank: "standard".into(),
        rows: 1,
        cpus: 4.0,
        ram: 24.0,
        image: "img-county".into(),
        image_gb: 0.2,
        parcel: None,
        breeds: None,
        cheap: false,
        reckon_s: 10.0,
        run_s: RUN_S,
        awaits: Vec::new(),
        due_s: None,
    };
    if users::submit(&d.world, &d.balancer, &sound).is_none() {
        return Verdict::CouldNotRun("the job was not accepted".into());
    }
    let mut done = false;
    // Since when no machine is up or rented.
    let mut empty_since: Option<Instant> = None;
    let mut polled = 0.0;
    while d.world.now_s() < END_S && !done {
        std::thread::sleep(std::time::Duration::from_millis(200));
        match (d.cloud.present(), empty_since) {
            (0, None) => empty_since = Some(Instant::now()),
            (0, Some(_)) => {}
            _ => empty_since = None,
        }
        if d.world.now_s() - polled >= 5.0 {
            polled = d.world.now_s();
            done = users::poll(&d.world, &d.balancer, &sound.id).as_deref() == Some("done");
            let line = format!(
                "cloud: {} machines exist, {} were rented",
                d.cloud.present(),
                d.cloud.count().write()
            );
            d.world.note(&line);
        }
    }
    let ended = d.controllers.ended();
    if !ended.is_empty() {
        return Verdict::CouldNotRun(format!("controllers ended: {ended:?}"));
    }
    let empty_s = empty_since.map_or(0.0, |at| at.elapsed().as_secs_f64());
    let (starts, rented) = (d.world.tally(&sound.id).started, d.cloud.count().write());
    let line = if done {
        format!(
            "done after {:.1} s; {starts} starts on {rented} machines",
            d.world.now_s()
        )
    } else {
        format!(
            "not done; {starts} starts on {rented} machines, the last of which was returned {empty_s:.1} s before the end; none was rented since, and all capacity is free"
        )
    };
    d.world.note(&line);
    if done {
        Verdict::Held(line)
    } else if empty_s >= ABANDONED_S {
        Verdict::Broken(line)
    } else {
        Verdict::CouldNotRun(format!("neither done nor abandoned: {line}"))
    }
}
