//! Starts everything, plays the events, and tells what came of it.

use crate::cloud::{Cloud, Hosting, Threads};
use crate::records::{Quantiles, quantiles};
use crate::scenario::{Scenario, What};
use crate::state::StateService;
use crate::users::{Users, load};
use crate::worker::World;
use burlusher::http::{self, Answer, Request};
use burlusher::wire::PATH_STATUS;
use burlusher_market::ZoneBalance;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Serialize)]
pub struct Outcome {
    pub submitted: usize,
    pub accepted: u64,
    pub done: u64,
    pub tasks_started: u64,
    pub tasks_started_again: u64,
    pub tasks_lost: u64,
    pub machines_ordinary: u64,
    pub machines_spot: u64,
    pub offers_refused: u64,
    pub spent: f64,
    /// CPU seconds of completed work, by zone.
    pub work: BTreeMap<String, f64>,
    /// How far the zone that served most went beyond an equal part, and how far it may.
    pub spread: f64,
    pub tolerance: f64,
    pub accept: Quantiles,
    pub wait: BTreeMap<String, Quantiles>,
    pub finish: BTreeMap<String, Quantiles>,
    /// Requests to the state service, and puts and deletions in them.
    pub state_requests: u64,
    pub state_changes: u64,
    /// All that should not have been; none if all is well.
    pub broken: Vec<String>,
}

/// How things stand, once a second.
pub struct Sample {
    pub at_s: f64,
    /// Process ids of the controllers that are there.
    pub controllers: Vec<Option<u32>>,
    pub machines: usize,
    pub tasks_running: u64,
    pub tasks_started: u64,
    pub state_requests: u64,
    pub state_changes: u64,
}

/// Controllers of the real program.
struct Controllers {
    program: PathBuf,
    dir: PathBuf,
    children: Mutex<Vec<Option<Child>>>,
    archivist: Mutex<Option<Child>>,
}

impl Controllers {
    fn file(&self, name: &str) -> String {
        self.dir.join(name).display().to_string()
    }

    fn start(&self, number: usize) -> Result<(), String> {
        let (policy, config) = (
            self.file("policy"),
            self.file(&format!("controller-{number}.json")),
        );
        let args = ["serve", "--policy", &policy, "--config", &config];
        let child = self.spawn(&format!("controller-{number}.log"), &args)?;
        self.children.lock().expect("no panic holds it")[number] = Some(child);
        Ok(())
    }

    /// The program with these arguments, its log added to a file.
    fn spawn(&self, log: &str, args: &[&str]) -> Result<Child, String> {
        let log = self.dir.join(log);
        let open = File::options().create(true).append(true).open(&log);
        let log = open.map_err(|e| format!("{}: {e}", log.display()))?;
        Command::new(&self.program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.program.display()))
    }

    fn start_archivist(&self) -> Result<(), String> {
        let (config, dir) = (self.file("controller-0.json"), self.file("archive"));
        let args = ["archive", "--config", &config, "--dir", &dir];
        let child = self.spawn("archivist.log", &args)?;
        *self.archivist.lock().expect("no panic holds it") = Some(child);
        Ok(())
    }

    /// Says whether it was taken.
    fn restore(&self, node: SocketAddrV4) -> Result<bool, String> {
        let (dir, node) = (self.file("archive"), node.to_string());
        let args = ["snapshot", "restore", "--dir", &dir, "--node", &node];
        let ended = self.spawn("restore.log", &args)?.wait();
        ended.map(|s| s.success()).map_err(|e| e.to_string())
    }

    fn pids(&self) -> Vec<Option<u32>> {
        let children = self.children.lock().expect("no panic holds it");
        children.iter().map(|c| c.as_ref().map(Child::id)).collect()
    }

    fn kill(&self, number: usize) {
        if let Some(mut child) = self.children.lock().expect("no panic")[number].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Controllers that ended by themselves.
    fn ended(&self) -> Vec<usize> {
        let mut children = self.children.lock().expect("no panic holds it");
        let mut ended = Vec::new();
        for (n, c) in children.iter_mut().enumerate() {
            if c.as_mut()
                .is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
            {
                ended.push(n);
            }
        }
        ended
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        let count = self.children.lock().map_or(0, |c| c.len());
        (0..count).for_each(|n| self.kill(n));
        let archivist = self.archivist.lock().ok().and_then(|mut a| a.take());
        if let Some(mut child) = archivist {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn listen() -> Result<(TcpListener, SocketAddrV4), String> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|e| e.to_string())?;
    match listener.local_addr() {
        Ok(SocketAddr::V4(addr)) => Ok((listener, addr)),
        other => Err(format!("no address on loopback: {other:?}")),
    }
}

fn serve(handle: impl Fn(&Request) -> Answer + Send + Sync + 'static) -> Result<String, String> {
    let (listener, addr) = listen()?;
    std::thread::spawn(move || http::serve(listener, 200, Arc::new(move |r| Some(handle(&r)))));
    Ok(addr.to_string())
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Plays a scenario with controllers of `program`, whose files go into `dir`.
pub fn play(scenario: &Scenario, program: &Path, dir: &Path) -> Result<Outcome, String> {
    play_with(scenario, program, dir, Arc::new(Threads), &mut |_| {})
}

/// The same with machines run in another way, and somebody who looks on once a second.
pub fn play_with(
    scenario: &Scenario,
    program: &Path,
    dir: &Path,
    hosting: Arc<dyn Hosting>,
    look: &mut dyn FnMut(&Sample),
) -> Result<Outcome, String> {
    std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let count = *scenario.controllers.get_ref();
    // Ports are found by taking them for a moment.
    let mut held = Vec::new();
    for _ in 0..2 * count {
        held.push(listen()?);
    }
    let addrs: Vec<SocketAddrV4> = held.iter().map(|(_, a)| *a).collect();
    drop(held);
    let (public, back) = addrs.split_at(count);
    let name = |n: usize| format!("controller-{n}");
    let world = Arc::new(World {
        jobs: Mutex::default(),
        records: Mutex::default(),
        nodes: (0..count).map(|n| (name(n), public[n])).collect(),
        report: Duration::from_secs_f64(scenario.report_s),
        lease: Duration::from_secs_f64(scenario.lease_s),
    });
    let state = Arc::new(StateService::default());
    let cloud = Arc::new(Cloud::new(scenario, world.clone(), hosting));
    let (s, c) = (state.clone(), cloud.clone());
    let state_addr = serve(move |r| s.answer(r))?;
    let cloud_addr = serve(move |r| c.answer(r))?;
    write(&dir.join("policy"), &scenario.policy)?;
    let zone = |n: usize| &scenario.zones[n % scenario.zones.len()];
    for n in 0..count {
        let peers: Vec<_> = (0..count)
            .filter(|p| *p != n)
            .map(|p| {
                let address = back[p].to_string();
                serde_json::json!({"host_name": name(p), "zone": zone(p), "address": address})
            })
            .collect();
        let mut objectives = Vec::new();
        for j in &scenario.jobs {
            if let Some(within) = j.start_within_s {
                objectives.push(serde_json::json!({
                    "kind": "wait", "class": j.class, "within_s": within, "share": j.share}));
            }
            if j.deadline_s.is_some() {
                objectives.push(serde_json::json!({
                    "kind": "deadline", "class": j.class, "share": j.share}));
            }
        }
        let settings = serde_json::json!({
            "host_name": name(n), "zone": zone(n),
            "public_addr": public[n].to_string(), "back": back[n].to_string(), "peers": peers,
            "services": {"cloud": cloud_addr, "state": state_addr},
            "params": {
                "zones": scenario.zones, "objectives": objectives,
                "teams": [{"name": "all"}],
                "workers": {"report_s": scenario.report_s, "lease_s": scenario.lease_s,
                            "cancel_s": scenario.lease_s + 22.0},
                "state": {"rps": 300.0, "write_rps": 120.0, "value_kb": 8.0, "txn_ops": 32},
                "cloud": {"rps": 10.0, "list_lag_s": 0.1},
                "quota": {"mem_mb": scenario.memory_mb, "fd_limit": scenario.sockets}
            }
        });
        write(
            &dir.join(format!("{}.json", name(n))),
            &settings.to_string(),
        )?;
    }
    let controllers = Arc::new(Controllers {
        program: program.to_path_buf(),
        dir: dir.to_path_buf(),
        children: Mutex::new((0..count).map(|_| None).collect()),
        archivist: Mutex::default(),
    });
    if scenario.archivist {
        controllers.start_archivist()?;
    }
    let keep = (scenario.events.iter()).any(|e| matches!(e.what, What::RollBackState { .. }));
    let mut kept = Instant::now();
    for n in 0..count {
        controllers.start(n)?;
    }
    wait_ready(&world, &controllers, dir)?;

    let begin = Instant::now();
    let until = begin + scenario.load() * 2 + Duration::from_secs(30);
    let users = Arc::new(Users::new(world.clone()));
    let jobs = load(scenario);
    let submitted = jobs.len();
    let mut threads = Vec::new();
    for (n, job) in jobs.into_iter().enumerate() {
        let users = users.clone();
        threads.push(std::thread::spawn(move || {
            std::thread::sleep((begin + job.at).saturating_duration_since(Instant::now()));
            users.follow(n, job, until);
        }));
    }
    let mut events = scenario.events.clone();
    events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let mut events = events.into_iter().peekable();
    let mut told = Instant::now();
    let mut looked = Instant::now();
    while threads.iter().any(|t| !t.is_finished()) {
        std::thread::sleep(Duration::from_millis(50));
        let at = begin.elapsed().as_secs_f64();
        if keep && kept.elapsed() >= Duration::from_secs(1) {
            kept = Instant::now();
            state.back_up();
        }
        while let Some(e) = events.next_if(|e| e.at_s <= at) {
            println!("{at:6.1} s  {:?}", e.what);
            carry_out(&e.what, &world, &cloud, &state, &controllers);
        }
        if looked.elapsed() >= Duration::from_secs(1) {
            looked = Instant::now();
            let (state_requests, state_changes) = state.counts();
            let records = world.records.lock().expect("no panic holds it");
            let (tasks_running, tasks_started) = (records.present(), records.starts);
            drop(records);
            look(&Sample {
                at_s: at,
                controllers: controllers.pids(),
                machines: cloud.held().values().sum(),
                tasks_running,
                tasks_started,
                state_requests,
                state_changes,
            });
        }
        if told.elapsed() >= Duration::from_secs(5) {
            told = Instant::now();
            let seen = users.seen.lock().expect("no panic holds it");
            println!(
                "{at:6.1} s  jobs {} of {submitted} accepted, {} done; machines {:?}",
                seen.accepted,
                seen.done,
                cloud.held()
            );
        }
    }
    let ended = controllers.ended();
    drop(controllers);
    let records = world.records.lock().expect("no panic holds it");
    let seen = users.seen.lock().expect("no panic holds it");
    let mut broken = records.broken.clone();
    broken.extend(seen.wrong.iter().cloned());
    broken.extend(seen.refused.iter().map(|r| format!("refused: {r}")));
    broken.extend(
        ended
            .iter()
            .map(|n| format!("{} ended by itself", name(*n))),
    );
    if seen.done < submitted as u64 {
        let missing = submitted as u64 - seen.done;
        broken.push(format!("{missing} jobs are not done"));
    }
    let zones = scenario.zones.iter().map(String::as_str);
    let mut served = ZoneBalance::new(zones, scenario.tolerance);
    for (zone, work) in &records.work {
        served.add(zone, *work);
    }
    let spread = served.max_excess();
    if spread > scenario.tolerance {
        let most = scenario.tolerance;
        broken.push(format!(
            "a zone served {spread:.2} beyond its part, of {most:.2}"
        ));
    }
    let bill = cloud.bill();
    let waits = records.waits.iter();
    Ok(Outcome {
        submitted,
        accepted: seen.accepted,
        done: seen.done,
        tasks_started: records.starts,
        tasks_started_again: records.again,
        tasks_lost: records.lost,
        machines_ordinary: bill.ordinary,
        machines_spot: bill.spot,
        offers_refused: bill.refused,
        spent: bill.spent,
        work: records.work.clone(),
        spread,
        tolerance: scenario.tolerance,
        accept: seen.accept(),
        wait: waits.map(|(c, h)| (c.clone(), quantiles(h))).collect(),
        finish: seen.finish(),
        state_requests: state.counts().0,
        state_changes: state.counts().1,
        broken,
    })
}

fn wait_ready(world: &World, controllers: &Controllers, dir: &Path) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(20);
    for (name, addr) in &world.nodes {
        loop {
            let mut client = http::Client::new(*addr, Duration::from_millis(300));
            let answer = client.call("GET", "/ready", b"", Duration::from_secs(1), false);
            if answer.is_ok_and(|(status, _)| status == 200) {
                break;
            }
            if Instant::now() > until || !controllers.ended().is_empty() {
                let log = dir.join(format!("{name}.log"));
                return Err(format!("{name} is not ready; see {}", log.display()));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(())
}

/// Which controller says that it leads.
fn leader(world: &World) -> Option<usize> {
    world.nodes.iter().position(|(_, addr)| {
        let mut client = http::Client::new(*addr, Duration::from_millis(300));
        let answer = client.call("GET", PATH_STATUS, b"", Duration::from_secs(1), false);
        let status = answer.ok().map(|(_, body)| body);
        let view = status.and_then(|b| serde_json::from_slice::<serde_json::Value>(&b).ok());
        view.is_some_and(|v| v["leads"] == true)
    })
}

fn carry_out(
    what: &What,
    world: &World,
    cloud: &Cloud,
    state: &StateService,
    controllers: &Arc<Controllers>,
) {
    let secs = Duration::from_secs_f64;
    let (number, back_s) = match what {
        What::DrainZone { zone, notice_s } => return cloud.drain(zone, secs(*notice_s)),
        What::OpenZone { zone } => return cloud.open(zone),
        What::CloudOutage { for_s } => return cloud.break_for(secs(*for_s)),
        What::StateOutage { for_s } => return state.break_for(secs(*for_s)),
        What::LoseState {} => {
            state.break_for(secs(1.0));
            return state.lose();
        }
        What::RollBackState { back_s } => return state.roll_back(secs(*back_s)),
        What::KillAll { back_s } => {
            for number in 0..world.nodes.len() {
                end(number, *back_s, controllers);
            }
            return;
        }
        What::Restore {} => return restore(world, controllers),
        What::KillController { number, back_s } => (Some(*number), *back_s),
        What::KillLeader { back_s } => (leader(world), *back_s),
    };
    let Some(number) = number else {
        println!("no controller leads now");
        return;
    };
    end(number, back_s, controllers);
}

/// Offers the newest snapshot to whoever leads, as soon as it rebuilds.
fn restore(world: &World, controllers: &Controllers) {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if let Some(n) = leader(world) {
            match controllers.restore(world.nodes[n].1) {
                Ok(true) => return println!("the snapshot was taken in"),
                Ok(false) => {}
                Err(e) => println!("restoring: {e}"),
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    println!("no controller took the snapshot in");
}

fn end(number: usize, back_s: f64, controllers: &Arc<Controllers>) {
    controllers.kill(number);
    // The run may be over by then; nobody would end what is started after it.
    let again = Arc::downgrade(controllers);
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs_f64(back_s));
        if let Some(controllers) = again.upgrade()
            && let Err(e) = controllers.start(number)
        {
            eprintln!("starting controller {number} again: {e}");
        }
    });
}

impl Outcome {
    /// The report as text.
    pub fn text(&self) -> String {
        let mut out = format!(
            "jobs {} submitted, {} accepted, {} done; tasks {} started, {} of them again, {} lost\n\
             machines {} spot, {} ordinary, {} offers refused; spent {:.3}\n\
             work by zone {}; {:.2} beyond an equal part, at most {:.2}\n\
             accepted after ms: {}\n",
            self.submitted,
            self.accepted,
            self.done,
            self.tasks_started,
            self.tasks_started_again,
            self.tasks_lost,
            self.machines_spot,
            self.machines_ordinary,
            self.offers_refused,
            self.spent,
            self.work
                .iter()
                .map(|(z, w)| format!("{z} {w:.0}"))
                .collect::<Vec<_>>()
                .join(", "),
            self.spread,
            self.tolerance,
            line(&self.accept),
        );
        for (what, by_class) in [("started", &self.wait), ("done", &self.finish)] {
            for (class, q) in by_class {
                out.push_str(&format!("{class} {what} after ms: {}\n", line(q)));
            }
        }
        match self.broken.as_slice() {
            [] => out.push_str("every task ran in one place at a time; nothing was unsaid\n"),
            broken => {
                for b in broken.iter().take(20) {
                    out.push_str(&format!("BROKEN: {b}\n"));
                }
                out.push_str(&format!("{} rules or promises broken\n", broken.len()));
            }
        }
        out
    }
}

fn line(q: &Quantiles) -> String {
    format!(
        "p50 {}, p95 {}, most {} (of {})",
        q.p50_ms, q.p95_ms, q.max_ms, q.count
    )
}
