//! A job of low priority that has begun, and whose cheap machines are taken back. What is left of it waits although an
//! ordinary machine that fits has room.

use crate::users;
use crate::world::Job;
use crate::{furrowline, furrowline_breeds, Args, Deployment, Verdict};
use std::time::{Duration, Instant};

const ROWS: u64 = 60;
const RUN_S: f64 = 5.0;
/// Half of the usual notice of 10 s, as PROTOCOL allows.
const NOTICE_S: f64 = 5.0;
const END_S: f64 = 115.0;
/// The bound of the users' page.
const BOUND_S: f64 = 90.0;

fn job(id: u64, class: &str, rank: &str, rows: u64, run_s: f64) -> Job {
    Job {
        id: format!("wk-{id:06}"),
        class: class.into(),
        team: "agronomy",
        rank: rank.into(),
        rows,
        cpus: 4.0,
        ram: 28.0,
        image: format!("img-{class}"),
        image_gb: 0.2,
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
    let mut breeds = furrowline_breeds();
    // "at times machines are up within a second or two"
    breeds.iter_mut().for_each(|b| b.boot = 2.0);
    let Some(mut d) = Deployment::start(args, &furrowline(), breeds) else {
        return Verdict::CouldNotRun("the deployment did not start".into());
    };
    // A task on an ordinary silo, which has room for fourteen more of this size.
    let mut keeper = job(1, "county-sweep", "standard", 1, 190.0);
    keeper.cheap = false;
    keeper.breeds = Some(vec!["silo".into()]);
    let low = job(2, "fallow-fill", "low", ROWS, RUN_S);
    for new in [&keeper, &low] {
        if users::submit(&d.world, &d.balancer, new).is_none() {
            return Verdict::CouldNotRun(format!("{} was not accepted", new.id));
        }
    }
    while d.world.tally(&low.id).results.is_empty() || d.world.tally(&keeper.id).started == 0 {
        if d.world.now_s() > 18.0 {
            return Verdict::CouldNotRun("the jobs have not begun".into());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    if args.trouble {
        let taken = d.cloud.take_cheap_back(Duration::from_secs_f64(NOTICE_S));
        let line = format!("cloud: notice of {NOTICE_S} s to all {taken} cheap machines; no cheap capacity from now on");
        d.world.note(&line);
    }
    let (mut with_room_s, mut longest, mut on) = (0.0f64, 0.0f64, String::new());
    let mut last = Instant::now();
    let mut noted = 0.0;
    while d.world.now_s() < END_S {
        std::thread::sleep(Duration::from_millis(100));
        let passed = last.elapsed().as_secs_f64();
        last = Instant::now();
        let results = d.world.tally(&low.id).results.len() as u64;
        if results == ROWS {
            break;
        }
        let workers: Vec<_> = d
            .cloud
            .workers()
            .into_iter()
            .filter(|w| !w.is_taken())
            .collect();
        let room: Vec<String> = (workers.iter())
            .filter(|w| w.seen().free_cpus >= low.cpus && w.seen().free_ram >= low.ram)
            .map(|w| format!("{} ({}, {} CPUs free)", w.id, w.breed, w.seen().free_cpus))
            .collect();
        let live = d.world.running(&low.id);
        if live == 0 && !room.is_empty() {
            with_room_s += passed;
            if with_room_s > longest {
                longest = with_room_s;
                on = room.join(", ");
            }
        } else {
            with_room_s = 0.0;
        }
        if d.world.now_s() - noted >= 5.0 {
            noted = d.world.now_s();
            users::poll(&d.world, &d.balancer, &low.id);
            let line = format!("{}: {results} of {ROWS} results, {live} tasks run; waits with room for {with_room_s:.1} s", low.id);
            d.world.note(&line);
        }
    }
    let ended = d.controllers.ended();
    if !ended.is_empty() {
        return Verdict::CouldNotRun(format!("controllers ended: {ended:?}"));
    }
    let line = format!(
        "{} of {ROWS} tasks have a result; longest wait with room {longest:.1} s of {BOUND_S} s, room on {on}",
        d.world.tally(&low.id).results.len()
    );
    d.world.note(&line);
    if longest >= BOUND_S {
        return Verdict::Broken(line);
    }
    Verdict::Held(line)
}
