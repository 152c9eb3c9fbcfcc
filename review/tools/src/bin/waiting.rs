//! Case: the spot machine that a job of low rank runs on is taken back, while an ordinary machine has room.

use burlusher::job::Priority;
use burlusher_review::platform::{combine, sprout};
use burlusher_review::state::Limits;
use burlusher_review::{
    COULD_NOT_RUN, Cluster, Deployment, LoadBalancer, Record, StopOnDrop, arguments, array_job,
    submit, temporary_folder, verdict, with_trouble,
};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The job of low rank.
const LOW: &str = "wk-000700";
const LOW_TASKS: u32 = 60;
const LOW_CPUS: f64 = 2.0;
const LOW_RAM: f64 = 12.0;
const LOW_RUN: Duration = Duration::from_secs(2);
/// Site file: `notice_s = 10.0`; PROTOCOL: "The notice may be half the nominal value or one and a half times it."
const NOTICE: Duration = Duration::from_secs(5);
/// hunt/LATER: "no job is left waiting for 90 s while a machine that fits has room".
const LEFT_WAITING_AFTER: Duration = Duration::from_secs(90);

/// Site file furrowline-lakes.
fn deployment() -> Deployment {
    Deployment {
        controllers: 3,
        zones: vec!["erie-east", "huron-west"],
        report_s: 3.0,
        lease_s: 26.0,
        cancel_s: 51.0,
        state: Limits {
            rps: 100.0,
            write_rps: 40.0,
            value_bytes: 8192,
            txn_ops: 32,
            latency: Duration::from_millis(6),
        },
        state_value_kb: 8.0,
        cloud_rps: 4.0,
        list_lag_s: 3.0,
        memory_mb: 136.0,
        cores: 0.096,
        sockets: 1800,
        breeds: vec![sprout((0, 1)), combine((1, 0))],
    }
}

fn main() -> ExitCode {
    let Some((repository, folder)) = arguments() else {
        return ExitCode::from(COULD_NOT_RUN);
    };
    let Ok(record) = Record::create(&folder.join("record.txt")) else {
        return ExitCode::from(COULD_NOT_RUN);
    };
    match run(&record, &repository) {
        Ok(broken) => verdict(&record, &broken),
        Err(reason) => {
            record.line(&format!("could not run: {reason}"));
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}

fn run(record: &Record, repository: &std::path::Path) -> Result<Vec<String>, String> {
    let cluster = Arc::new(Cluster::prepare(
        &deployment(),
        repository,
        &temporary_folder("waiting"),
    ));
    let _stop = StopOnDrop(cluster.clone());
    let balancer = LoadBalancer::start(&cluster);
    for n in 0..cluster.len() {
        cluster.start(n)?;
    }
    for n in 0..cluster.len() {
        if !cluster.wait_ready(n, Duration::from_secs(20)) {
            return Err(format!("drone-{n} is not ready"));
        }
    }
    // Two jobs of standard rank, by which an ordinary and a spot machine are rented.
    let long = Duration::from_secs(600);
    let mut ordinary = array_job("wk-000001", 1, 4.0, 24.0, long);
    ordinary.spot = false;
    let spot = array_job("wk-000002", 1, 2.0, 12.0, long);
    for job in [&ordinary, &spot] {
        if !submit(record, &cluster, &balancer, job, long) {
            return Err(format!("{} is not accepted", job.id));
        }
    }
    let since = Instant::now();
    while on_machines(&cluster, "wk-000001") + on_machines(&cluster, "wk-000002") < 2 {
        if since.elapsed() > Duration::from_secs(20) {
            return Err("the first jobs do not start".into());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let mut low = array_job(LOW, LOW_TASKS, LOW_CPUS, LOW_RAM, LOW_RUN);
    low.class = "fallow-fill".into();
    low.priority = Priority::Low;
    if !submit(record, &cluster, &balancer, &low, LOW_RUN) {
        return Err("the job of low rank is not accepted".into());
    }
    let since = Instant::now();
    while completed(&cluster) == 0 {
        if since.elapsed() > Duration::from_secs(20) {
            return Err("the job of low rank does not begin".into());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    if with_trouble() {
        cluster.platform.take_spot_back(NOTICE);
        record.line("the spot machines are being taken back");
        std::thread::sleep(NOTICE);
        record.line("the spot machines are gone; the cloud has none any more");
    }
    Ok(watch(record, &cluster, &balancer))
}

/// Watches the job until it was left waiting for too long, or until that can't happen any more in the time of a case.
fn watch(record: &Record, cluster: &Cluster, balancer: &LoadBalancer) -> Vec<String> {
    let begin = Instant::now();
    let mut waits_since = Instant::now();
    let mut noted = Instant::now();
    while begin.elapsed() < LEFT_WAITING_AFTER + Duration::from_secs(3) {
        std::thread::sleep(Duration::from_millis(100));
        let room = cluster.platform.machines_with_room(LOW_CPUS, LOW_RAM);
        let done = completed(cluster) == LOW_TASKS as usize;
        if done || on_machines(cluster, LOW) > 0 || room.is_empty() {
            waits_since = Instant::now();
        }
        if noted.elapsed() >= Duration::from_secs(5) {
            noted = Instant::now();
            let path = format!("/api/jobs/{LOW}");
            let answer = balancer.request(0, "GET", &path, b"", Duration::from_secs(2));
            record.line(&format!(
                "poll of {LOW}: {}; {} of its tasks on machines, {} of {LOW_TASKS} completed; machines with room: {room:?}",
                answer.map_or("no answer".into(), |(node, status, value)| format!(
                    "drone-{node} answers {status} {value}"
                )),
                on_machines(cluster, LOW),
                completed(cluster),
            ));
        }
        if waits_since.elapsed() >= LEFT_WAITING_AFTER {
            return vec![format!(
                "left waiting: for {} s no task of {LOW} was on a machine, {} of {LOW_TASKS} are completed, and all the time \
                 there was room for one: {room:?}",
                waits_since.elapsed().as_secs(),
                completed(cluster)
            )];
        }
    }
    Vec::new()
}

fn on_machines(cluster: &Cluster, job: &str) -> usize {
    cluster.platform.records.lock().unwrap().on_machines(job)
}

fn completed(cluster: &Cluster) -> usize {
    cluster.platform.records.lock().unwrap().completed(LOW)
}
