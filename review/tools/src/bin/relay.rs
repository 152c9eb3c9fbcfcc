//! Case: connections between controllers are reset, then workers of a zone reach no controller.

use burlusher::job::JobSpec;
use burlusher_review::links::Links;
use burlusher_review::platform::{Breed, silo, sprout};
use burlusher_review::state::Limits;
use burlusher_review::{
    COULD_NOT_RUN, Cluster, Deployment, LoadBalancer, Record, StopOnDrop, arguments, array_job,
    submit, temporary_folder, verdict, with_trouble,
};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

const TASKS_ZONE: &str = "huron-west";
const ROOM_ZONE: &str = "erie-east";
/// The job whose tasks run in TASKS_ZONE, one on each machine.
const JOB: &str = "wk-000412";
const JOB_TASKS: u32 = 12;
/// A job that takes all room elsewhere until the troubles begin, and one that keeps the machine afterwards.
const FILLER: &str = "wk-000002";
const KEEPER: &str = "wk-000001";
/// A job by which as many machines of ROOM_ZONE report.
const OTHERS: &str = "wk-000003";
/// For how long the leader's connections with the other controllers are reset and refused.
const CUT: Duration = Duration::from_millis(700);
/// Site file furrowline-lakes: `[cloud] latency_ms = 250.0`.
const CLOUD_LATENCY: Duration = Duration::from_millis(250);
/// For how long the run is watched after that; the workers' lease is 26 s.
const WATCH: Duration = Duration::from_secs(40);

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
        breeds: vec![
            sprout((12, 0)),
            Breed {
                parcel: Some(ROOM_ZONE),
                ..silo((1, 0))
            },
        ],
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
    let links = Links::new();
    let folder = temporary_folder("relay");
    let cluster = Cluster::prepare_with(&deployment(), repository, &folder, &links.hooks());
    let cluster = Arc::new(cluster);
    let _stop = StopOnDrop(cluster.clone());
    cluster.platform.set_cloud_latency(CLOUD_LATENCY);
    let balancer = LoadBalancer::start(&cluster);
    for n in 0..cluster.len() {
        cluster.start(n)?;
    }
    for n in 0..cluster.len() {
        if !cluster.wait_ready(n, Duration::from_secs(20)) {
            return Err(format!("drone-{n} is not ready"));
        }
    }
    let long = Duration::from_secs(600);
    let submitted = |spec: &JobSpec, tasks: u32| {
        if !submit(record, &cluster, &balancer, spec, long) {
            return Err(format!("{} is not accepted", spec.id));
        }
        let since = Instant::now();
        while on_machines(&cluster, &spec.id) < tasks as usize {
            if since.elapsed() > Duration::from_secs(30) {
                return Err(format!("{} does not start whole", spec.id));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    };
    submitted(&array_job(KEEPER, 1, 8.0, 24.0, long), 1)?;
    let mut others = array_job(OTHERS, JOB_TASKS, 4.0, 24.0, long);
    others.zone = Some(ROOM_ZONE.into());
    others.machine_types = Some(vec!["sprout".into()]);
    submitted(&others, JOB_TASKS)?;
    submitted(&array_job(FILLER, 1, 56.0, 100.0, long), 1)?;
    submitted(&array_job(JOB, JOB_TASKS, 4.0, 24.0, long), JOB_TASKS)?;
    let path = format!("/api/jobs/{FILLER}/withdraw");
    let answer = balancer.request(0, "POST", &path, b"", Duration::from_secs(5));
    record.line(&format!("{FILLER} is cancelled: {answer:?}"));
    // All workers have reported several times since anything changed.
    std::thread::sleep(Duration::from_secs(12));
    let leader = cluster.leader().ok_or("no leader")?;
    if with_trouble() {
        record.line(&format!(
            "the connections of drone-{leader}, which leads, with the others are reset"
        ));
        links.cut(leader);
        std::thread::sleep(CUT);
        cluster.platform.make_mute(TASKS_ZONE);
        links.mend();
        record.line(&format!(
            "connections between controllers are possible again; workers in {TASKS_ZONE} reach none"
        ));
    }
    let since = Instant::now();
    while since.elapsed() < WATCH {
        std::thread::sleep(Duration::from_secs(1));
        let records = cluster.platform.records.lock().unwrap();
        record.line(&format!(
            "{} tasks on machines, {} starts, {} killed, leases run out {} times, leader {:?}",
            records.tasks_on_machines(),
            records.starts,
            records.lost,
            records.leases_run_out,
            cluster.leader(),
        ));
        if !records.violations.is_empty() {
            return Ok(records.violations.clone());
        }
    }
    Ok(Vec::new())
}

fn on_machines(cluster: &Cluster, job: &str) -> usize {
    cluster.platform.records.lock().unwrap().on_machines(job)
}
