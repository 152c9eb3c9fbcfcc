//! Case: all controllers crash while the state service holds the ends of the jobs of some days.

use burlusher_review::platform::sprout;
use burlusher_review::state::Limits;
use burlusher_review::{
    COULD_NOT_RUN, Cluster, Deployment, LoadBalancer, Record, StopOnDrop, arguments, array_job,
    submit, temporary_folder, verdict, with_trouble,
};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Jobs that ended on earlier days: 4 days at the 7 jobs a minute of the BRIEF.
const EARLIER_JOBS: u32 = 40_000;
/// BRIEF: "back about 5 s after an end".
const BACK_AFTER: Duration = Duration::from_secs(5);
/// hunt/LATER: "a job about which no question is answered for 75 s counts as forgotten".
const FORGOTTEN_AFTER: Duration = Duration::from_secs(75);
/// PROTOCOL: "Users poll roughly every 5 s [...] waiting 2 s for a response."
const POLL_INTERVAL: Duration = Duration::from_secs(5);
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

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
        breeds: vec![sprout((5, 4))],
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
        &temporary_folder("history"),
    ));
    let _stop = StopOnDrop(cluster.clone());
    let balancer = LoadBalancer::start(&cluster);
    let ready = |n| match cluster.wait_ready(n, Duration::from_secs(20)) {
        true => Ok(()),
        false => Err(format!("drone-{n} is not ready")),
    };
    // The first job of the deployment, through a controller. Its key, as the controller writes it, is the model of the
    // jobs that end until the day of the crash.
    cluster.start(0)?;
    ready(0)?;
    let first = array_job("wk-000001", 1, 4.0, 17.0, Duration::from_secs(1));
    if !submit(record, &cluster, &balancer, &first, Duration::from_secs(1)) {
        return Err("the first job is not accepted".into());
    }
    let ended = wait_for(Duration::from_secs(25), || {
        let value = cluster.state.value("burlusher/j/wk-000001")?;
        value.contains("\"end\"").then_some(value)
    });
    let ended = ended.ok_or("the first job does not end")?;
    record.line(&format!("key of an ended job, written by drone-0: {ended}"));
    cluster.kill(0);
    let ids = (2..2 + EARLIER_JOBS).map(|n| format!("burlusher/j/wk-{n:06}"));
    cluster
        .state
        .load_history(ids.map(|key| (key, ended.clone())));
    record.line(&format!(
        "the state service holds {EARLIER_JOBS} jobs of earlier days, all ended"
    ));
    // The controllers are started one after the other.
    for n in 0..cluster.len() {
        cluster.start(n)?;
        ready(n)?;
        record.line(&format!("drone-{n} is started and ready"));
    }
    let job = array_job("wk-900001", 4, 4.0, 17.0, Duration::from_secs(120));
    if !submit(record, &cluster, &balancer, &job, Duration::from_secs(120)) {
        return Err("the job is not accepted".into());
    }
    std::thread::sleep(Duration::from_secs(2));
    if with_trouble() {
        for n in 0..cluster.len() {
            cluster.kill(n);
        }
        record.line("all controllers are killed");
        std::thread::sleep(BACK_AFTER);
        for n in 0..cluster.len() {
            cluster.start(n)?;
        }
        record.line("all controllers are started again");
    }
    Ok(ask_until_forgotten(record, &cluster, &balancer))
}

/// Polls the job until it counts as forgotten, or until an answer after that time shows that it does not.
fn ask_until_forgotten(record: &Record, cluster: &Cluster, balancer: &LoadBalancer) -> Vec<String> {
    let since = Instant::now();
    let mut answered = since;
    let mut turn = 0;
    while since.elapsed() < FORGOTTEN_AFTER + Duration::from_secs(2) {
        let asked = Instant::now();
        let path = "/api/jobs/wk-900001";
        let answer = balancer.request(turn, "GET", path, b"", POLL_TIMEOUT);
        turn += 1;
        let counts = &cluster.state.counts;
        let text = match &answer {
            Some((node, status, value)) => format!("drone-{node} answers {status} {value}"),
            None => "no answer".into(),
        };
        record.line(&format!(
            "poll of wk-900001: {text}; healthy {:?}; state service: {} requests, {} of them 429, {} pages, {} lists \
             read to their end",
            balancer.healthy(),
            counts.requests.load(Ordering::Relaxed),
            counts.too_many.load(Ordering::Relaxed),
            counts.pages.load(Ordering::Relaxed),
            counts.last_pages.load(Ordering::Relaxed),
        ));
        if matches!(answer, Some((_, 200, _))) {
            answered = Instant::now();
        }
        std::thread::sleep(POLL_INTERVAL.saturating_sub(asked.elapsed()));
    }
    if answered.elapsed() >= FORGOTTEN_AFTER {
        return vec![format!(
            "forgotten: no question about wk-900001 was answered for {} s after all controllers were back",
            answered.elapsed().as_secs()
        )];
    }
    Vec::new()
}

fn wait_for<T>(timeout: Duration, mut get: impl FnMut() -> Option<T>) -> Option<T> {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if let Some(value) = get() {
            return Some(value);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    None
}
