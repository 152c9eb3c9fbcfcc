//! Stand-in users: a seeded load of jobs, submitted through any controller and queried until
//! they are done.

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

/// How often a user queries a job.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// How long a user waits before submitting a job once more.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// How often a user queries a job that is done.
const POLLS_AFTER_DONE: u32 = 2;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a user waits for an answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A job in the load.
pub struct Arrival {
    /// When it is submitted, after the load began.
    pub submit_after: Duration,
    /// The job.
    pub spec: JobSpec,
    /// How long each of its tasks runs.
    pub task_duration: Duration,
}

/// The load of a scenario: the same for the same seed.
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
            // Owners estimate roughly.
            estimate: Duration::from_secs_f64(class.run_s),
            checkpoint_interval: Duration::ZERO,
            checkpoint_duration: Duration::ZERO,
            deadline: class.deadline_s.map(Duration::from_secs_f64),
            dependencies: Vec::new(),
        },
    }
}

/// What users saw.
#[derive(Default)]
pub struct UserObservations {
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Jobs that were refused, and why.
    pub refused: Vec<String>,
    /// Jobs that are done.
    pub done: u64,
    /// Reported as done before all tasks had completed, or done and then something else.
    pub violations: Vec<String>,
    accept_ms: Option<Histogram<u64>>,
    finish_ms: BTreeMap<String, Histogram<u64>>,
}

impl UserObservations {
    /// From a submission to its acceptance.
    pub fn accept(&self) -> Quantiles {
        quantiles(self.accept_ms.as_ref().unwrap_or(&histogram()))
    }

    /// From a submission to its end, by class.
    pub fn finish(&self) -> BTreeMap<String, Quantiles> {
        let all = self.finish_ms.iter();
        all.map(|(class, h)| (class.clone(), quantiles(h)))
            .collect()
    }
}

/// The users of a cluster, and what they saw.
pub struct Users {
    cluster_state: Arc<ClusterState>,
    /// What they saw up to now.
    pub observations: Mutex<UserObservations>,
}

impl Users {
    /// Users of a cluster, who have seen nothing yet.
    pub fn new(cluster_state: Arc<ClusterState>) -> Users {
        Users {
            cluster_state,
            observations: Mutex::new(UserObservations::default()),
        }
    }

    /// One call through some controller, moved on by the caller when it fails.
    fn call(&self, n: usize, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        let controllers = &self.cluster_state.controller_addrs;
        let mut client = Client::new(controllers[n % controllers.len()].1, CONNECT_TIMEOUT);
        let response = client.call(method, path, body, RESPONSE_TIMEOUT).ok()?;
        Some((response.status, response.body))
    }

    /// Submits a job and follows it until it is done or the time is over; `n` is the controller that
    /// is asked first.
    pub fn submit_and_poll(&self, n: usize, job: Arrival, deadline: Instant) {
        let submitted = SubmittedJob {
            id: job.spec.id.to_string(),
            class: job.spec.class.clone(),
            tasks: u64::from(job.spec.tasks),
            at: Instant::now(),
        };
 let body = encode_submission(&job.spec); self.register(&submitted, job); if let Some(next) = self.submit(n, &submitted, &body, deadline) {self.poll(next, &submitted, deadline); 
        }
    }

    /// Tells the workers of a job before any of its tasks can start.
    fn register(&self, submitted: &SubmittedJob, job: Arrival) {
        let shared = Arc::new((job.spec, job.task_duration));
        let mut jobs = self.cluster_state.jobs.lock().expect("no panic holds it");
        jobs.insert(submitted.id.clone(), shared);
        drop(jobs);
        let mut records = self
            .cluster_state
            .records
            .lock()
            .expect("no panic holds it");
        records.record_submission(&submitted.id, &submitted.class);
    }

    /// Submits a job until it is accepted; gives the controller that accepted it, or `None` if it
    /// was refused or the time is over.
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
                    let mut observations = self.observations.lock().expect("no panic holds it");
                    observations.accepted += 1;
                    let accepted = observations.accept_ms.get_or_insert_with(histogram);
                    accepted.saturating_record(job.elapsed_ms());
                    return Some(controller);
                }
                Some((status @ (400 | 422), body)) => {
                    let reason = String::from_utf8_lossy(&body);
                    let mut observations = self.observations.lock().expect("no panic holds it");
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

    /// Queries an accepted job until it is done, and a few times more: a state that was reported must
    /// not be taken back.
    fn poll(&self, n: usize, job: &SubmittedJob, deadline: Instant) {
        let path = format!("{PATH_JOBS}/{}", job.id);
        let mut done = false;
        let mut polls_left = POLLS_AFTER_DONE;
        for controller in n + 1.. {
            if Instant::now() >= deadline || polls_left == 0 {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
            let state = match self.call(controller, "GET", &path, b"") {
                Some((200, body)) => serde_json::from_slice::<JobStatus>(&body).ok(),
                Some((404, _)) => {
                    let mut observations = self.observations.lock().expect("no panic holds it");
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
                    let mut observations = self.observations.lock().expect("no panic holds it");
                    let violation = format!("{}: done, and then {state:?}", job.id);
                    observations.violations.push(violation);
                }
                _ => {}
            }
            polls_left -= u32::from(done);
        }
    }

    /// A job was reported done to a user: all its tasks must be.
    fn record_done(&self, job: &SubmittedJob) {
        let mut observations = self.observations.lock().expect("no panic holds it");
        observations.done += 1;
        let finished = observations.finish_ms.entry(job.class.clone());
        let finished = finished.or_insert_with(histogram);
        finished.saturating_record(job.elapsed_ms());
        let records = self
            .cluster_state
            .records
            .lock()
            .expect("no panic holds it");
        if records.completed_tasks(&job.id) < job.tasks {
            let violation = format!("{}: told done before all its tasks were", job.id);
            observations.violations.push(violation);
        }
    }
}

/// A job that a user has begun to submit.
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
