//! A deployment with some days of history: the controllers keep every job that ever ended in memory, and need more of it
//! than they have.

use crate::cloud::Breed;
use crate::platform::Site;
use crate::users;
use crate::world::Job;
use crate::{Args, Deployment, Verdict};

/// Jobs a minute, of both classes together: 50 and 20.
const JOBS_A_MINUTE: u64 = 70;
/// Days for which the deployment has run.
const DAYS: u64 = 10;
const END_S: f64 = 110.0;

fn site() -> Site {
    Site {
        zones: vec!["rennes", "nantes", "morlaix"],
        report_s: 5.0,
        lease_s: 31.0,
        cancel_s: 61.0,
        cores: 0.048,
        mem_mb: 98.0,
        fd_limit: 3000,
        state_rps: 250.0,
        state_write_rps: 50.0,
        txn_ops: 40,
        cloud_rps: 6.0,
        list_lag_s: 8.0,
        teams: vec![
            ("brest", 1500.0, 5000.0),
            ("lorient", 2000.0, 8000.0),
            ("vannes", 1500.0, 3500.0),
            ("quimper", 1200.0, 3500.0),
            ("saint-brieuc", 1500.0, 5000.0),
            ("siege", 1500.0, 5000.0),
        ],
        nodes: 5,
        back_s: 6.0,
    }
}

fn breeds() -> Vec<Breed> {
    vec![Breed {
        name: "truelle",
        cpus: 8.0,
        ram: 32.0,
        price: 0.35,
        low_price: 0.11,
        // 0.1 of the announced time: "at times machines are up within a second or two".
        boot: 2.0,
        fetch_gb_per_s: 0.25,
        ordinary: 10,
        cheap: 5,
    }]
}

fn job(id: u64) -> Job {
    Job {
        id: format!("wk-{id:07}"),
        class: "clock-import".into(),
        team: "brest",
        rank: "standard".into(),
        rows: 4,
        cpus: 2.0,
        ram: 5.9,
        image: "img-clock".into(),
        image_gb: 0.2,
        parcel: None,
        breeds: None,
        cheap: false,
        reckon_s: 3.0,
        run_s: 3.0,
        awaits: Vec::new(),
        due_s: None,
    }
}

pub fn run(args: &Args) -> Verdict {
    let site = site();
    let Some(mut d) = Deployment::start(args, &site, breeds()) else {
        return Verdict::CouldNotRun("the deployment did not start".into());
    };
    let first = job(1);
    if users::submit(&d.world, &d.balancer, &first).is_none() {
        return Verdict::CouldNotRun("the first job was not accepted".into());
    }
    let done = |d: &Deployment, id: &str| {
        users::poll(&d.world, &d.balancer, id).as_deref() == Some("done")
    };
    while !done(&d, &first.id) {
        if d.world.now_s() > 30.0 {
            return Verdict::CouldNotRun("the first job was not done".into());
        }
        d.sleep_until(d.world.now_s() + 2.0);
    }
    // The leader deletes what is not needed of an ended job.
    d.sleep_until(d.world.now_s() + 6.0);
    d.controllers.crash_all(site.back_s);
    d.world.note(&format!(
        "all controllers crash, and are back after {} s",
        site.back_s
    ));
    if args.trouble {
        let jobs = DAYS * 24 * 60 * JOBS_A_MINUTE;
        let ids = (0..jobs).map(|n| format!("wk-{:07}", 1_000_000 + n));
        let keys = d.state.add_history(&first.id, ids);
        let line = format!("the store holds the {jobs} jobs of {DAYS} days that are done, in {keys} keys like those of {}", first.id);
        d.world.note(&line);
    }
    let (mut noted, mut kills, mut answered, mut polled) = (0.0, 0, 0, 0);
    let mut killed = Vec::new();
    while d.world.now_s() < END_S {
        std::thread::sleep(std::time::Duration::from_millis(50));
        for (name, held) in d.controllers.enforce_memory(site.mem_mb, site.back_s) {
            kills += 1;
            killed.push(format!("{name} {held:.0} MB"));
            d.world.note(&format!(
                "PLATFORM: {name} holds {held:.0} MB of {} MB: killed",
                site.mem_mb
            ));
        }
        if d.world.now_s() - noted >= 5.0 {
            noted = d.world.now_s();
            let most: Vec<String> = (d.controllers.nodes.iter())
                .map(|n| format!("{} at most {:.0} MB", n.name, n.most_mb))
                .collect();
            d.world.note(&most.join(", "));
            polled += 1;
            let (world, balancer, id) = (d.world.clone(), d.balancer.clone(), first.id.clone());
            let poll = std::thread::spawn(move || users::poll(&world, &balancer, &id).is_some());
            // A poll takes at most 2.5 s; the memory is checked again after it.
            answered += u32::from(poll.join().unwrap_or(false));
        }
    }
    let ended = d.controllers.ended();
    if !ended.is_empty() {
        return Verdict::CouldNotRun(format!("controllers ended by themselves: {ended:?}"));
    }
    let line = format!(
        "{kills} times a controller was killed for its memory: {}; {answered} of {polled} polls of {} were answered after the restart",
        killed.join(", "),
        first.id
    );
    d.world.note(&line);
    if kills > 0 {
        return Verdict::Broken(line);
    }
    if answered == 0 {
        return Verdict::CouldNotRun(line);
    }
    Verdict::Held(line)
}
