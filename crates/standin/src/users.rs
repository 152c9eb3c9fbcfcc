//! Stand-in users: generate a seeded load of jobs, submit each through some controller and poll it until
//! it is done.

use crate::records::{Quantiles, histogram, quantiles};
use crate::scenario::{JobClass, Scenario};
use crate::worker::ClusterState;
use burlusher::http::Client;
use burlusher::job::{JobKind, JobSpec, Priority, Resources};
use burlusher::wire::{JOB_PREFIX, JobState, JobStatus, PATH_JOBS, encode_submission};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval between polls of a job.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a job is submitted again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Number of polls of a job from the first that reports it done, including that one.
const DONE_POLLS: u32 = 2;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for a controller's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A job of the load.
pub struct Arrival {
    /// Time of submission, from the start of the load.
    pub submit_after: Duration,
    /// The job.
    pub spec: JobSpec,
    /// Run time of each task.
    pub task_duration: Duration,
}

/// Generates the load of a scenario: Poisson arrivals for each job class. Equal seeds give equal loads.
pub fn generate_load(scenario: &Scenario) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mut all = Vec::new();
    for class in &scenario.jobs {
        let rate = *class.jobs_per_minute.get_ref() / 60.0;
        if rate == 0.0 {
            continue;
        }
        let mut at = 0.0;
        loop {
            let uniform: f64 = rng.random_range(1e-9..1.0);
            at -= uniform.ln() / rate;
            if at >= scenario.load_s {
                break;
            }
            all.push((at, class, rng.random_range(0.6..1.4)));
        }
    }
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let numbered = all.into_iter().enumerate();
    numbered.map(|(n, x)| arrival(n, x.0, x.1, x.2)).collect()
}

fn arrival(number: usize, at: f64, class: &JobClass, runtime_factor: f64) -> Arrival {
    let task_duration = Duration::from_secs_f64(class.run_s * runtime_factor);
    Arrival {
        submit_after: Duration::from_secs_f64(at),
        task_duration,
        spec: JobSpec {
            id: format!("{JOB_PREFIX}{number:06}").into(),
            class: class.class.clone(),
            team: "all".into(),
            job_kind: JobKind::Array,
            priority: if class.urgent {
                Priority::High
            } else {
                Priority::Normal
            },
            tasks: *class.tasks.get_ref(),
            resources: Resources {
                cpus: class.cpus,
                gpus: 0.0,
                ram: class.ram_gb,
            },
            image: format!("image-of-{}", class.class),
            image_gb: 0.3,
            machine_types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: class.spot,
            // The estimate is the mean of the class, not the run time of this job, as users know it only roughly.
            estimate: Duration::from_secs_f64(class.run_s),
            checkpoint_interval: Duration::ZERO,
            checkpoint_duration: Duration::ZERO,
            deadline: class.deadline_s.map(Duration::from_secs_f64),
            dependencies: Vec::new(),
        },
    }
}

/// Observations of the users: outcomes, latencies and violations.
#[derive(Default)]
pub struct UserObservations {
    /// Number of accepted jobs.
    pub accepted: u64,
    /// Rejected jobs, with the reasons.
    pub refused: Vec<String>,
    /// Number of jobs that were reported done.
    pub done: u64,
    /// Descriptions of violations: jobs that were reported done before all their tasks had completed, that left
    /// the done state, or that were unknown after they had been accepted.
    pub violations: Vec<String>,
    accept_ms: Option<Histogram<u64>>,
    finish_ms: BTreeMap<String, Histogram<u64>>,
}

impl UserObservations {
    /// Returns quantiles of the time from submission to acceptance.
    pub fn accept(&self) -> Quantiles {
        quantiles(self.accept_ms.as_ref().unwrap_or(&histogram()))
    }

    /// Returns quantiles of the time from submission to completion, by class.
    pub fn finish(&self) -> BTreeMap<String, Quantiles> {
        let all = self.finish_ms.iter();
        all.map(|(class, h)| (class.clone(), quantiles(h)))
            .collect()
    }
}

/// The users of a cluster.
pub struct Users {
    cluster_state: Arc<ClusterState>,
    /// Observations up to now.
    pub observations: Mutex<UserObservations>,
}

impl Users {
    /// Creates the users of a cluster.
    pub fn new(cluster_state: Arc<ClusterState>) -> Users {
        Users {
            cluster_state,
            observations: Mutex::new(UserObservations::default()),
        }
    }

    /// Sends one request to the controller with number `n` modulo the number of controllers. After a failure,
    /// the caller tries the next one.
    fn call(&self, n: usize, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        let controllers = &self.cluster_state.controller_addrs;
        let mut client = Client::new(controllers[n % controllers.len()].1, CONNECT_TIMEOUT);
        let response = client.call(method, path, body, RESPONSE_TIMEOUT).ok()?;
        Some((response.status, response.body))
    }

    /// Submits a job and polls it until it is done or the deadline has passed; `n` is the first controller that
    /// is tried.
    pub fn submit_and_poll(&self, n: usize, job: Arrival, deadline: Instant) {
        let submitted = SubmittedJob {
            id: job.spec.id.to_string(),
            class: job.spec.class.clone(),
            tasks: u64::from(job.spec.tasks),
            at: Instant::now(),
        };
        let body = encode_submission(&job.spec);
        self.register(&submitted, job);
        if let Some(next) = self.submit(n, &submitted, &body, deadline) {
            self.poll(next, &submitted, deadline);
        }
    }

    /// Makes a job known to the workers, which must be done before any of its tasks can start.
    fn register(&self, submitted: &SubmittedJob, job: Arrival) {
        let shared = Arc::new((job.spec, job.task_duration));
        let mut jobs = self
            .cluster_state
            .jobs
            .lock()
            .expect("lock is not poisoned");
        jobs.insert(submitted.id.clone(), shared);
        drop(jobs);
        let mut records = self
            .cluster_state
            .records
            .lock()
            .expect("lock is not poisoned");
        records.record_submission(&submitted.id, &submitted.class);
    }

    /// Submits a job until it is accepted; returns the controller that accepted it, or `None` if the job was
    /// rejected or the deadline has passed.
    fn submit(
        &self,
        n: usize,
        job: &SubmittedJob,
        body: &[u8],
        deadline: Instant,
    ) -> Option<usize> {
        for controller in n.. {
            match self.call(controller, "POST", PATH_JOBS, body) {
                Some((200 | 201, _)) => {
                    let mut observations = self.observations.lock().expect("lock is not poisoned");
                    observations.accepted += 1;
                    let accepted = observations.accept_ms.get_or_insert_with(histogram);
                    accepted.saturating_record(job.elapsed_ms());
                    return Some(controller);
                }
                Some((status @ (400 | 422), body)) => {
                    let reason = String::from_utf8_lossy(&body);
                    let mut observations = self.observations.lock().expect("lock is not poisoned");
                    observations
                        .refused
                        .push(format!("{}: {status} {reason}", job.id));
                    return None;
                }
                _ if Instant::now() > deadline => return None,
                _ => std::thread::sleep(RETRY_DELAY),
            }
        }
        None
    }

    /// Polls an accepted job until it is done, and then until `DONE_POLLS` are made: once reported done, a job
    /// must stay done.
    fn poll(&self, n: usize, job: &SubmittedJob, deadline: Instant) {
        let path = format!("{PATH_JOBS}/{}", job.id);
        let mut done = false;
        let mut polls_left = DONE_POLLS;
        for controller in n + 1.. {
            if Instant::now() >= deadline || polls_left == 0 {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
            let state = match self.call(controller, "GET", &path, b"") {
                Some((200, body)) => serde_json::from_slice::<JobStatus>(&body).ok(),
                Some((404, _)) => {
                    let mut observations = self.observations.lock().expect("lock is not poisoned");
                    let violation = format!("{}: accepted, and then unknown", job.id);
                    return observations.violations.push(violation);
                }
                _ => None,
            };
            let Some(state) = state.map(|status| status.state) else {
                continue;
            };
            match (done, state == JobState::Done) {
                (false, true) => {
                    done = true;
                    self.record_done(job);
                }
                (true, false) => {
                    let mut observations = self.observations.lock().expect("lock is not poisoned");
                    let violation = format!("{}: done, and then {state:?}", job.id);
                    observations.violations.push(violation);
                }
                _ => {}
            }
            polls_left -= u32::from(done);
        }
    }

    /// Records that a job was reported done, and a violation if not all its tasks have completed.
    fn record_done(&self, job: &SubmittedJob) {
        let mut observations = self.observations.lock().expect("lock is not poisoned");
        observations.done += 1;
        let finished = observations.finish_ms.entry(job.class.clone());
        let finished = finished.or_insert_with(histogram);
        finished.saturating_record(job.elapsed_ms());
        let records = self
            .cluster_state
            .records
            .lock()
            .expect("lock is not poisoned");
        if records.completed_tasks(&job.id) < job.tasks {
            let violation = format!(
                "{}: reported done before all its tasks had completed",
                job.id
            );
            observations.violations.push(violation);
        }
    }
}

/// A job whose submission has begun.
struct SubmittedJob {
    id: String,
    class: String,
    tasks: u64,
    at: Instant,
}

impl SubmittedJob {
    fn elapsed_ms(&self) -> u64 {
        self.at.elapsed().as_millis() as u64
    }
}

#[cfg(test)]
mod tests;
