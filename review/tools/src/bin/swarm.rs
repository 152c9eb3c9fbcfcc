//! Case: an array of many tiny tasks runs on the machine that another job's tasks run on.

use burlusher_review::platform::silo;
use burlusher_review::state::Limits;
use burlusher_review::{
    COULD_NOT_RUN, Cluster, Deployment, LoadBalancer, Record, StopOnDrop, arguments, array_job,
    submit, temporary_folder, verdict, with_trouble,
};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// County-sweep of the BRIEF: "arrays of around 6 [...] tasks of 4 CPUs and 24 GB, running around 50 s".
const SWEEP: &str = "wk-000412";
const SWEEP_TASKS: u32 = 6;
const SWEEP_RUN: Duration = Duration::from_secs(50);
/// The tiny tasks take 36 of the machine's 64 CPUs and 180 of its 512 GB together; the sweep takes 24 and 144.
const SWARM: &str = "wk-000700";
const SWARM_TASKS: u32 = 1200;
const SWARM_CPUS: f64 = 0.03;
const SWARM_RAM: f64 = 0.15;
const SWARM_RUN: Duration = Duration::from_secs(60);
/// Time by which the sweep should be done: twice what it takes, after which its tasks have had room all the time.
const DONE_WITHIN: Duration = Duration::from_secs(100);

/// Site file furrowline-lakes, with its largest machine type `silo`.
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
        breeds: vec![silo((1, 1))],
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
        &temporary_folder("swarm"),
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
    std::thread::sleep(Duration::from_secs(1));
    let sweep = array_job(SWEEP, SWEEP_TASKS, 4.0, 24.0, SWEEP_RUN);
    if !submit(record, &cluster, &balancer, &sweep, SWEEP_RUN) {
        return Err("the sweep is not accepted".into());
    }
    let since = Instant::now();
    while completed_or_running(&cluster) == 0 {
        if since.elapsed() > Duration::from_secs(15) {
            return Err("the sweep does not start".into());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    if with_trouble() {
        let mut swarm = array_job(SWARM, SWARM_TASKS, SWARM_CPUS, SWARM_RAM, SWARM_RUN);
        swarm.class = "probe-swarm".into();
        if !submit(record, &cluster, &balancer, &swarm, SWARM_RUN) {
            return Err("the swarm is not accepted".into());
        }
    }
    while since.elapsed() < DONE_WITHIN {
        std::thread::sleep(Duration::from_secs(3));
        let path = format!("/api/jobs/{SWEEP}");
        let answer = balancer.request(0, "GET", &path, b"", Duration::from_secs(2));
        let answer = answer.map_or("no answer".into(), |(node, status, value)| {
            format!("drone-{node} answers {status} {value}")
        });
        let records = cluster.platform.records.lock().unwrap();
        record.line(&format!(
            "poll of {SWEEP}: {answer}; workers: {} tasks on machines, {} starts, {} killed, leases run out {} times; \
             done: {} of {SWEEP}, {} of {SWARM}; longest report {} bytes, reports not answered with 200, by status: \
             {:?}; {} machines",
            records.tasks_on_machines(),
            records.starts,
            records.lost,
            records.leases_run_out,
            records.completed(SWEEP),
            records.completed(SWARM),
            records.longest_report,
            records.refused_reports,
            cluster.platform.machines()
        ));
        if records.completed(SWEEP) == SWEEP_TASKS as usize {
            return Ok(Vec::new());
        }
    }
    let records = cluster.platform.records.lock().unwrap();
    Ok(vec![format!(
        "{SWEEP}, accepted {} s ago, has {} of {SWEEP_TASKS} tasks of {} s done; its worker was never answered for \
         longer than its lease and killed {} running tasks of both jobs",
        since.elapsed().as_secs(),
        records.completed(SWEEP),
        SWEEP_RUN.as_secs(),
        records.lost
    )])
}

fn completed_or_running(cluster: &Cluster) -> usize {
    let records = cluster.platform.records.lock().unwrap();
    records.tasks_on_machines() + records.completed(SWEEP)
}
