//! What all stand-ins share: the jobs that users uploaded, the results that tasks left, and the record.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Instant;

/// A job as its user uploaded it, and how long its tasks really run.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub class: String,
    pub team: &'static str,
    pub rank: String,
    pub rows: u64,
    pub cpus: f64,
    pub ram: f64,
    pub image: String,
    pub image_gb: f64,
    pub parcel: Option<String>,
    pub breeds: Option<Vec<String>>,
    pub cheap: bool,
    pub reckon_s: f64,
    pub run_s: f64,
    /// Jobs that it needs.
    pub awaits: Vec<String>,
    pub due_s: Option<f64>,
}

/// What happened to a job's tasks on the machines, by the workers' own account.
#[derive(Clone, Default)]
pub struct Tally {
    /// Starts: a task held its image and began to run.
    pub started: u64,
    /// Distinct tasks that left a result.
    pub results: BTreeSet<u64>,
    /// Tasks that ended because their worker's lease ran out.
    pub lost_to_lease: u64,
    pub first_start: Option<Instant>,
}

pub struct World {
    pub begun: Instant,
    record: Mutex<File>,
    pub jobs: Mutex<BTreeMap<String, Job>>,
    pub tallies: Mutex<BTreeMap<String, Tally>>,
    /// The controllers: name and public address.
    pub nodes: Vec<(String, SocketAddr)>,
    pub report_s: f64,
    pub lease_s: f64,
    /// Tasks on machines now: task, then machines. For `ran_twice`.
    pub on: Mutex<BTreeMap<String, BTreeSet<String>>>,
    pub ran_twice: Mutex<Vec<String>>,
}

impl World {
    pub fn new(
        record: File,
        nodes: Vec<(String, SocketAddr)>,
        report_s: f64,
        lease_s: f64,
    ) -> World {
        World {
            begun: Instant::now(),
            record: Mutex::new(record),
            jobs: Mutex::default(),
            tallies: Mutex::default(),
            nodes,
            report_s,
            lease_s,
            on: Mutex::default(),
            ran_twice: Mutex::default(),
        }
    }

    /// Seconds since the test began.
    pub fn now_s(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{:8.3}  {line}", self.now_s());
    }

    pub fn tally(&self, job: &str) -> Tally {
        self.tallies
            .lock()
            .unwrap()
            .get(job)
            .cloned()
            .unwrap_or_default()
    }

    /// A task holds its image on a machine and runs.
    pub fn task_on(&self, task: &str, machine: &str) {
        let (job, row) = task.split_once('/').unwrap_or((task, "0"));
        let mut on = self.on.lock().unwrap();
        let machines = on.entry(task.to_string()).or_default();
        if !machines.is_empty() {
            let line = format!("RAN TWICE: {task} starts on {machine} while it is on {machines:?}");
            self.note(&line);
            self.ran_twice.lock().unwrap().push(line);
        }
        machines.insert(machine.to_string());
        let mut tallies = self.tallies.lock().unwrap();
        let tally = tallies.entry(job.to_string()).or_default();
        tally.started += 1;
        if tally.first_start.is_none() {
            tally.first_start = Some(Instant::now());
            self.note(&format!("{job}: first task starts, row {row} on {machine}"));
        }
    }

    /// A task left its machine: with a result, for want of a lease, or otherwise.
    pub fn task_off(&self, task: &str, machine: &str, why: &str) {
        let (job, row) = task.split_once('/').unwrap_or((task, "0"));
        if let Some(machines) = self.on.lock().unwrap().get_mut(task) {
            machines.remove(machine);
        }
        let mut tallies = self.tallies.lock().unwrap();
        let tally = tallies.entry(job.to_string()).or_default();
        match why {
            "done" => {
                tally.results.insert(row.parse().unwrap_or(0));
            }
            "lease" => tally.lost_to_lease += 1,
            _ => {}
        }
    }

    /// How many tasks of a job are on machines now.
    pub fn running(&self, job: &str) -> usize {
        let on = self.on.lock().unwrap();
        let of_job = |task: &str| task.split_once('/').is_some_and(|(j, _)| j == job);
        on.iter()
            .filter(|(task, machines)| of_job(task) && !machines.is_empty())
            .count()
    }

    pub fn has_result(&self, job: &str, row: u64) -> bool {
        self.tallies
            .lock()
            .unwrap()
            .get(job)
            .is_some_and(|t| t.results.contains(&row))
    }
}
