//! The cases.

use crate::cluster::{array, awaiting, Cluster, Setup};
use crate::http::serve;
use crate::json::{num, obj, text, Json};
use crate::machines::{Cloud, Flavor, Fleet, Job};
use crate::record::Record;
use crate::state::{Slow, SlowEnd, State};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// All of a small deployment.
struct World {
    record: Arc<Record>,
    state: Arc<State>,
    fleet: Arc<Fleet>,
    cloud: Arc<Cloud>,
    cluster: Cluster,
}

const ZONES: [&str; 2] = ["erie-east", "huron-west"];

fn silo() -> Flavor {
    Flavor {
        label: "silo",
        cpus: 64.0,
        ram: 512.0,
        rate: 5.44,
        low: 2.38,
        startup_s: 15.0,
        zones: ZONES.to_vec(),
    }
}

fn sprout() -> Flavor {
    Flavor {
        label: "sprout",
        cpus: 4.0,
        ram: 32.0,
        rate: 0.34,
        low: 0.13,
        startup_s: 15.0,
        zones: ZONES.to_vec(),
    }
}

fn combine() -> Flavor {
    Flavor {
        label: "combine",
        cpus: 16.0,
        ram: 128.0,
        rate: 1.35,
        low: 0.52,
        startup_s: 35.0,
        zones: ZONES.to_vec(),
    }
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("its address");
    (listener, addr)
}

impl World {
    fn new(flavors: Vec<Flavor>, room: &[(&str, &str, bool, u32)]) -> World {
        World::with_next(flavors, room, None)
    }

    fn with_next(
        flavors: Vec<Flavor>,
        room: &[(&str, &str, bool, u32)],
        next: Option<Json>,
    ) -> World {
        let setup = Setup {
            nodes: 3,
            zones: ZONES.to_vec(),
            teams: vec![obj([
                ("name", text("agronomy")),
                ("cpus", num("0.0")),
                ("cpus_max", num("0.0")),
                ("gpus", num("0.0")),
                ("gpus_max", num("0.0")),
            ])],
            report_s: 3.0,
            lease_s: 26.0,
            cancel_s: 51.0,
            next,
        };
        let record = Arc::new(Record::new());
        let state = Arc::new(State::default());
        let s = state.clone();
        std::thread::spawn(move || s.run());
        let mut state_addrs = Vec::new();
        for _ in 0..setup.nodes {
            let (listener, addr) = listen();
            let s = state.clone();
            serve(listener, Arc::new(move |r| s.handle_slowly(r)));
            state_addrs.push(addr);
        }
        let (cloud_listener, cloud_addr) = listen();
        let cluster = Cluster::new(&setup, &state_addrs, cloud_addr, record.clone());
        let fleet = Arc::new(Fleet {
            record: record.clone(),
            jobs: Mutex::default(),
            done: Mutex::new(BTreeSet::new()),
            nodes: cluster
                .nodes
                .iter()
                .map(|n| (n.name.clone(), n.public))
                .collect(),
            report: Duration::from_secs_f64(setup.report_s),
            lease: Duration::from_secs_f64(setup.lease_s),
        });
        let cloud = Arc::new(Cloud::new(
            fleet.clone(),
            flavors,
            room,
            Duration::from_secs(2),
        ));
        let c = cloud.clone();
        serve(cloud_listener, Arc::new(move |r| c.handle(r)));
        World {
            record,
            state,
            fleet,
            cloud,
            cluster,
        }
    }

    /// Starts all controllers and waits until all are ready and one leads.
    fn start(&mut self) -> Result<usize, String> {
        self.cluster.start_all();
        let end = self.record.at() + 20.0;
        while self.record.at() < end {
            let all_ready = (0..self.cluster.nodes.len()).all(|i| self.cluster.ready(i));
            if let (true, Some(leader)) = (all_ready, self.leader()) {
                self.record.say(format!(
                    "all are ready; {} leads",
                    self.cluster.nodes[leader].name
                ));
                return Ok(leader);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("the controllers did not become ready".into())
    }

    /// The controller that holds the leader key.
    fn leader(&self) -> Option<usize> {
        self.cluster.index(&self.state.leader()?.0)
    }

    #[allow(clippy::too_many_arguments)]
    fn submit(
        &mut self,
        id: &str,
        crop: &str,
        rank: &str,
        rows: u32,
        cpus: f64,
        ram: f64,
        spot: bool,
        run_s: f64,
    ) -> bool {
        let job = Job {
            rows,
            cpus,
            ram,
            run: Duration::from_secs_f64(run_s),
            image: "img-01".into(),
            fetch: Duration::from_secs(1),
        };
        self.fleet.jobs.lock().unwrap().insert(id.into(), job);
        let accepted = self
            .cluster
            .submit(&array(id, crop, rank, rows, cpus, ram, spot, run_s));
        self.record.say(format!(
            "{id}: {rows} tasks of {cpus} CPUs, {run_s} s each: accepted {accepted}"
        ));
        accepted
    }

    /// Waits until so many tasks of a job are on machines, for 15 s at most.
    fn await_tasks(&self, id: &str, count: usize) -> bool {
        let end = self.record.at() + 15.0;
        while self.record.at() < end {
            if self
                .cloud
                .machines()
                .iter()
                .map(|m| m.count(id))
                .sum::<usize>()
                >= count
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn tasks_done(&self, id: &str) -> usize {
        let prefix = format!("{id}/");
        self.fleet
            .done
            .lock()
            .unwrap()
            .iter()
            .filter(|row| row.starts_with(&prefix))
            .count()
    }
}

pub fn run(case: &str, path: &str, trouble: bool) -> i32 {
    let result = match case {
        "no-leader" => no_leader(trouble),
        "lost-parts" => lost_parts(trouble, false),
        "slow-end" => lost_parts(trouble, true),
        "left-waiting" => left_waiting(trouble),
        _ => (Err(format!("no case {case}")), None),
    };
    let (verdict, world) = result;
    let code = match &verdict {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    if let Some(mut world) = world {
        if let Some(name) = world.cluster.ended() {
            world.record.say(format!("{name} has ended by itself"));
        }
        world.record.say(match &verdict {
            Ok(true) => "BROKEN".to_string(),
            Ok(false) => "HELD".to_string(),
            Err(e) => format!("NOT RUN: {e}"),
        });
        world.cluster.excerpt_logs();
        world.record.write(path);
    } else if let Err(e) = verdict {
        eprintln!("{e}");
    }
    code
}

type Outcome = (Result<bool, String>, Option<World>);

/// Connections between controllers are refused, one host's packet filter two seconds after the other's; the leader
/// crashes meanwhile and comes back. 90 s after that, is a job left waiting although a machine that fits has room?
fn no_leader(trouble: bool) -> Outcome {
    let mut w = World::new(
        vec![sprout()],
        &[
            ("sprout", "erie-east", false, 5),
            ("sprout", "huron-west", false, 5),
        ],
    );
    let leader = match w.start() {
        Ok(leader) => leader,
        Err(e) => return (Err(e), Some(w)),
    };
    if !w.submit(
        "wk-000001",
        "county-sweep",
        "standard",
        10,
        2.5,
        16.0,
        false,
        600.0,
    ) {
        return (Err("the first job was not accepted".into()), Some(w));
    }
    // A job that is done early, about which users ask all controllers all the time.
    let (known, crop) = ("wk-000003", "county-sweep");
    if !w.submit(known, crop, "standard", 1, 1.0, 8.0, false, 0.5) {
        return (Err("the third job was not accepted".into()), Some(w));
    }
    while w.cluster.standing(known) != "done" {
        if w.record.at() > 10.0 {
            return (Err("the third job is not done".into()), Some(w));
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    w.record.say(format!(
        "users ask every controller about {known}, ten times a second"
    ));
    for node in &w.cluster.nodes {
        let (addr, path) = (node.public, format!("/api/jobs/{known}"));
        std::thread::spawn(move || loop {
            let _ = crate::http::call(addr, "GET", &path, "", Duration::from_secs(2));
            std::thread::sleep(Duration::from_millis(100));
        });
    }
    let others: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
    let base = w.record.at().max(7.0) + 1.0;
    w.record.sleep_until(base);
    let refuse = |w: &World, i: usize, refuse: bool| {
        let does = if refuse { "refused" } else { "served again" };
        w.record.say(format!(
            "connections between {} and the other controllers are {does}",
            w.cluster.nodes[i].name
        ));
        for j in 0..3 {
            for proxy in [&w.cluster.proxies[i][j], &w.cluster.proxies[j][i]]
                .into_iter()
                .flatten()
            {
                proxy.refuse(refuse);
            }
        }
    };
    if trouble {
        refuse(&w, others[0], true);
        w.record.sleep_until(base + 2.0);
        refuse(&w, others[1], true);
    }
    // The leader crashes and is back 5 s later; with and without the refused connections.
    w.record.sleep_until(base + 7.5);
    if w.leader() != Some(leader) {
        return (Err("another controller leads already".into()), Some(w));
    }
    w.cluster.kill(leader);
    if !w.submit(
        "wk-000002",
        "county-sweep",
        "standard",
        1,
        1.0,
        8.0,
        false,
        5.0,
    ) {
        return (Err("the second job was not accepted".into()), Some(w));
    }
    w.record.sleep_until(base + 11.0);
    if trouble {
        refuse(&w, others[0], false);
        refuse(&w, others[1], false);
    }
    w.record.sleep_until(base + 12.5);
    w.cluster.start(leader);
    let over = w.record.at();
    w.record.say("all troubles are over");
    let mut has_room_since = None;
    while w.record.at() < over + 91.0 {
        std::thread::sleep(Duration::from_secs(5));
        let standing = w.cluster.standing("wk-000002");
        let room = w
            .cloud
            .machines()
            .iter()
            .any(|m| m.used().is_some_and(|(c, r)| c <= 3.0 && r <= 24.0));
        let leads = w
            .state
            .leader()
            .map(|(name, lease)| format!("{name}, lease {lease}"));
        w.record.say(format!(
            "wk-000002 is {standing}; a machine has room: {room}; leader key: {leads:?}"
        ));
        if standing == "done" {
            return (Ok(false), Some(w));
        }
        if !room {
            has_room_since = None;
        } else if has_room_since.is_none() {
            has_room_since = Some(w.record.at());
        }
    }
    let started =
        w.cloud.machines().iter().any(|m| m.has("wk-000002")) || w.tasks_done("wk-000002") > 0;
    let waited = has_room_since.is_some_and(|at| at <= over + 6.0);
    (Ok(!started && waited), Some(w))
}

/// A job that runs on idle time has begun on spot machines; 60 % of these are taken back in a wave, and there are no
/// others. Once that is over, is the job left waiting for 90 s although an ordinary machine has room?
fn left_waiting(trouble: bool) -> Outcome {
    let room = [
        ("silo", "erie-east", false, 1),
        ("combine", "erie-east", true, 2),
        ("sprout", "erie-east", true, 3),
    ];
    let mut w = World::new(vec![silo(), combine(), sprout()], &room);
    if let Err(e) = w.start() {
        return (Err(e), Some(w));
    }
    // An ordinary machine with room for three more tasks, and two spot machines that are full.
    if !w.submit(
        "wk-000201",
        "county-sweep",
        "standard",
        1,
        40.0,
        400.0,
        false,
        600.0,
    ) || !w.await_tasks("wk-000201", 1)
        || !w.submit(
            "wk-000202",
            "county-sweep",
            "standard",
            2,
            16.0,
            120.0,
            true,
            600.0,
        )
        || !w.await_tasks("wk-000202", 2)
        || !w.submit("wk-000203", "fallow-fill", "low", 12, 4.0, 28.8, true, 6.0)
    {
        return (
            Err("a job was not accepted, or did not begin".into()),
            Some(w),
        );
    }
    let end = w.record.at() + 20.0;
    while w.tasks_done("wk-000203") < 3 {
        if w.record.at() > end {
            return (
                Err("the job did not begin on the spot machines".into()),
                Some(w),
            );
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    if trouble {
        let spots = w
            .cloud
            .machines()
            .iter()
            .filter(|m| m.spot && m.used().is_some())
            .count();
        let taken = w.cloud.take_spots("sprout", Duration::from_secs(5));
        w.record.say(format!(
            "the cloud takes back {taken} of {spots} spot machines, with a notice of 5 s"
        ));
        std::thread::sleep(Duration::from_secs(6));
    }
    let over = w.record.at();
    w.record.say("the wave is over");
    let mut had_room = true;
    while w.record.at() < over + 90.5 {
        std::thread::sleep(Duration::from_secs(3));
        let standing = w.cluster.standing("wk-000203");
        let room = w.cloud.machines().iter().any(|m| {
            m.flavor.label == "silo"
                && m.used()
                    .is_some_and(|(c, r)| c + 4.0 <= 64.0 && r + 28.8 <= 512.0)
        });
        let on = w.cloud.machines().iter().any(|m| m.has("wk-000203"));
        had_room &= room;
        let done = w.tasks_done("wk-000203");
        w.record.say(format!("wk-000203 is {standing}, {done} tasks done, on a machine: {on}; the silo has room: {room}"));
        if standing == "done" || (trouble && on) {
            return (Ok(false), Some(w));
        }
    }
    (Ok(had_room), Some(w))
}

/// A job that awaits many others is accepted, and runs, while the state service answers slowly; users ask about jobs
/// just before these are submitted. Does it run to its end, and do the controllers go on to know it?
fn lost_parts(trouble: bool, at_end: bool) -> Outcome {
    let next = obj([
        ("value_kb", num("2.0")),
        ("txn_ops", num(10)),
        ("write_rps", num("28.0")),
    ]);
    let room = [
        ("silo", "erie-east", false, 1),
        ("silo", "huron-west", false, 1),
    ];
    let mut w = World::with_next(vec![silo()], &room, Some(next));
    let leader = match w.start() {
        Ok(leader) => leader,
        Err(e) => return (Err(e), Some(w)),
    };
    // The jobs that the large one awaits, each of one short task.
    let others: Vec<String> = (0..150).map(|n| format!("wk-{:06}", 1000 + n)).collect();
    for id in &others {
        w.fleet
            .jobs
            .lock()
            .unwrap()
            .insert(id.clone(), short_job(1.0));
        if !w
            .cluster
            .submit(&array(id, "tile-fetch", "low", 1, 0.25, 1.0, false, 1.0))
        {
            return (Err(format!("{id} was not accepted")), Some(w));
        }
    }
    w.record.say("150 small jobs are accepted");
    std::thread::sleep(Duration::from_secs(2));
    let (small, large, later) = ("wk-009001", "wk-009002", "wk-009003");
    for (id, run_s) in [(small, 1.0), (large, 75.0), (later, 1.0)] {
        w.fleet
            .jobs
            .lock()
            .unwrap()
            .insert(id.into(), short_job(run_s));
    }
    let submission = |id: &str| array(id, "tile-fetch", "low", 1, 0.25, 1.0, false, 1.0);
    let large_submission = awaiting(
        &array(large, "parcel-publish", "urgent", 1, 0.25, 1.0, false, 75.0),
        &others,
    );
    let first = if at_end {
        // The large job is submitted; then a small one, whose user asks again and again until it is done.
        let first = w.ask_and_submit(&[], small, 0, leader, &[large_submission]);
        std::thread::sleep(Duration::from_millis(1500));
        w.poll_to_the_end(trouble, small, leader, &submission(small));
        first
    } else {
        // A user asks the leader about a job, another submits it, and the large one is submitted.
        w.slow(trouble, small, true, Duration::from_millis(100));
        let jobs = [submission(small), large_submission];
        let first = w.ask_and_submit(&[leader], small, 60, leader, &jobs);
        w.quick();
        first
    };
    let accepted = first
        .last()
        .is_some_and(|status| *status == 201 || *status == 200);
    if !accepted || w.leader() != Some(leader) {
        let error = format!("the large job was not accepted, or the leader changed: {first:?}");
        return (Err(error), Some(w));
    }
    w.record
        .say(format!("{large}, which awaits 150 jobs, is accepted"));
    let accepted_at = w.record.at();
    let parts = format!("burlusher/s/{large}/");
    let mut stored = 3;
    while w.record.at() < accepted_at + 64.0 && stored > 0 {
        std::thread::sleep(Duration::from_secs(4));
        let standing = w.cluster.standing(large);
        stored = w.state.keys(&parts).len();
        w.record.say(format!(
            "{large} is {standing}; its parts in the state service: {stored}"
        ));
    }
    // Users ask all controllers about another job, and it is submitted.
    if w.leader() != Some(leader) {
        return (Err("the leader changed".into()), Some(w));
    }
    w.slow(trouble, later, false, Duration::from_millis(200));
    w.ask_and_submit(&[0, 1, 2], later, 350, leader, &[submission(later)]);
    w.quick();
    let since = w.record.at();
    let (mut asked, mut unanswered, mut others_answered) = (0, 0, 0);
    while w.record.at() < 113.0 {
        std::thread::sleep(Duration::from_secs(3));
        let other = w.cluster.standing(&others[asked % 150]);
        let standing = w.cluster.standing(large);
        let on = w.cloud.machines().iter().any(|m| m.has(large));
        w.record.say(format!(
            "{large} is {standing}, on a machine: {on}; another job is {other}"
        ));
        asked += 1;
        unanswered += usize::from(standing.starts_with("status"));
        others_answered += usize::from(!other.starts_with("status"));
        if standing == "done" {
            return (Ok(false), Some(w));
        }
    }
    let stopped = w.record.count(&format!("STOPPED by command {large}/0"));
    let completed = w.tasks_done(large);
    stored = w.state.keys(&parts).len();
    w.record.say(format!(
        "in the last {:.0} s: {unanswered} of {asked} polls for {large} unanswered, {others_answered} for others answered; \
         its task was stopped by command {stopped} times and completed {completed} times; its parts in the state service: \
         {stored}",
        w.record.at() - since
    ));
    let lost = unanswered == asked
        && others_answered == asked
        && stopped > 0
        && completed == 0
        && stored == 0;
    (Ok(lost), Some(w))
}

impl World {
    /// Lets the state service answer slowly, if there is to be trouble.
    fn slow(&self, trouble: bool, id: &str, for_parts: bool, more: Duration) {
        if trouble {
            *self.state.slow.lock().unwrap() = Some(Slow {
                read: format!("burlusher/j/{id}"),
                for_parts,
                written: None,
                more,
                parts: Duration::from_millis(300),
                list: Duration::from_millis(450),
                most: Duration::from_millis(900),
                held: Vec::new(),
            });
            self.record.say("the state service answers slowly");
        }
    }

    /// A user submits a job and asks the leader about it until it is done, many times a second.
    fn poll_to_the_end(&self, trouble: bool, id: &str, leader: usize, body: &str) {
        if trouble {
            *self.state.slow_end.lock().unwrap() = Some(SlowEnd {
                key: format!("burlusher/j/{id}"),
                delay: Duration::from_millis(300),
                answer: Duration::from_millis(120),
                more: Duration::from_millis(250),
                ended: None,
                held: Vec::new(),
            });
            self.record.say("the state service answers slowly");
        }
        let cluster = &self.cluster;
        cluster.ask(leader, "POST", "/api/jobs", body, Duration::from_secs(5));
        let path = format!("/api/jobs/{id}");
        let end = self.record.at() + 5.0;
        std::thread::scope(|scope| {
            while self.record.at() < end {
                scope.spawn(|| cluster.ask(leader, "GET", &path, "", Duration::from_secs(2)));
                std::thread::sleep(Duration::from_millis(40));
            }
        });
        if let Some(slow) = self.state.slow_end.lock().unwrap().take() {
            for held in slow.held {
                self.record.say(format!("state service: {held}"));
            }
            self.record.say("the state service answers as usual");
        }
    }

    /// Lets it answer as usual again, a second later.
    fn quick(&self) {
        std::thread::sleep(Duration::from_millis(1000));
        if let Some(slow) = self.state.slow.lock().unwrap().take() {
            for held in slow.held {
                self.record.say(format!("state service: {held}"));
            }
            self.record.say("the state service answers as usual");
        }
    }

    /// Users ask these controllers about a job; so many milliseconds later, jobs are submitted to one of them.
    fn ask_and_submit(
        &self,
        ask: &[usize],
        id: &str,
        after_ms: u64,
        to: usize,
        submissions: &[String],
    ) -> Vec<u16> {
        let cluster = &self.cluster;
        let path = format!("/api/jobs/{id}");
        std::thread::scope(|scope| {
            for i in ask {
                scope.spawn(|| cluster.ask(*i, "GET", &path, "", Duration::from_secs(2)));
            }
            std::thread::sleep(Duration::from_millis(after_ms));
            let submit = |body: &String| {
                cluster
                    .ask(to, "POST", "/api/jobs", body, Duration::from_secs(5))
                    .0
            };
            submissions.iter().map(submit).collect()
        })
    }
}

fn short_job(run_s: f64) -> Job {
    Job {
        rows: 1,
        cpus: 0.25,
        ram: 1.0,
        run: Duration::from_secs_f64(run_s),
        image: "img-01".into(),
        fetch: Duration::from_secs(1),
    }
}
