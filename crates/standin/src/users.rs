//! Stand-in users: a seeded load of jobs, submitted through any controller and queried until
//! they are done.

use crate::records::{Quantiles, histogram, quantiles};
use crate::scenario::{Job, Scenario};
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
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How often a user queries a job that is done.
const POLLS_AFTER_END: u32 = 2;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a user waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A job in the load.
pub struct Arrival {
    /// When it is submitted, after the load began.
    pub at: Duration,
    /// The job.
    pub spec: JobSpec,
    /// How long each of its tasks runs.
    pub run: Duration,
}

/// The load of a scenario: the same for the same seed.
pub fn load(scenario: &Scenario) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mut all = Vec::new();
    for class in &scenario.jobs {
        let rate = *class.jobs_per_minute.get_ref() / 60.0;
        if rate == 0.0 {
            continue;
        }
        let mut at = 0.0;
        loop {
            let chance: f64 = rng.random_range(1e-9..1.0);
            at -= chance.ln() / rate;
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

fn arrival(number: usize, at: f64, class: &Job, stretch: f64) -> Arrival {
    let run = Duration::from_secs_f64(class.run_s * stretch);
    Arrival {
        at: Duration::from_secs_f64(at),
        run,
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
pub struct Seen {
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Jobs that were refused, and why.
    pub refused: Vec<String>,
    /// Jobs that are done.
    pub done: u64,
    /// Reported as done before all tasks had completed, or done and then something else.
    pub wrong: Vec<String>,
    accept_ms: Option<Histogram<u64>>,
    finish_ms: BTreeMap<String, Histogram<u64>>,
}

impl Seen {
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
    pub seen: Mutex<Seen>,
}

impl Users {
    /// Users of a cluster, who have seen nothing yet.
    pub fn new(cluster_state: Arc<ClusterState>) -> Users {
        Users {
            cluster_state,
            seen: Mutex::new(Seen::default()),
        }
    }

    /// One call through some controller, moved on by the caller when it fails.
    fn call(&self, n: usize, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        let nodes = &self.cluster_state.nodes;
        let mut client = Client::new(nodes[n % nodes.len()].1, CONNECT_TIMEOUT);
        let response = client.call(method, path, body, ANSWER_TIMEOUT).ok()?;
        Some((response.status, response.body))
    }

    /// Submits a job and follows it until it is done or the time is over; `n` is the controller that
    /// is asked first.
    pub fn follow(&self, n: usize, job: Arrival, until: Instant) {
        let submitted = Submitted {
            id: job.spec.id.to_string(),
            class: job.spec.class.clone(),
            tasks: u64::from(job.spec.tasks),
            at: Instant::now(),
        };
        let body = encode_submission(&job.spec);
        self.publish(&submitted, job);
        if let Some(next) = self.submit(n, &submitted, &body, until) {
            self.poll(next, &submitted, until);
        }
    }

    /// Tells the workers of a job before any of its tasks can start.
    fn publish(&self, submitted: &Submitted, job: Arrival) {
        let shared = Arc::new((job.spec, job.run));
        let mut jobs = self.cluster_state.jobs.lock().expect("no panic holds it");
        jobs.insert(submitted.id.clone(), shared);
        drop(jobs);
        let mut records = self
            .cluster_state
            .records
            .lock()
            .expect("no panic holds it");
        records.submitted(&submitted.id, &submitted.class);
    }

    /// Submits a job until it is accepted; gives the controller that accepted it, or `None` if it
    /// was refused or the time is over.
    fn submit(&self, n: usize, job: &Submitted, body: &[u8], until: Instant) -> Option<usize> {
        for node in n.. {
            match self.call(node, "POST", PATH_JOBS, body) {
                Some((200 | 201, _)) => {
                    let mut seen = self.seen.lock().expect("no panic holds it");
                    seen.accepted += 1;
                    let accepted = seen.accept_ms.get_or_insert_with(histogram);
                    accepted.saturating_record(job.elapsed_ms());
                    return Some(node);
                }
                Some((status @ (400 | 422), why)) => {
                    let why = String::from_utf8_lossy(&why);
                    let mut seen = self.seen.lock().expect("no panic holds it");
                    seen.refused.push(format!("{}: {status} {why}", job.id));
                    return None;
                }
                _ if Instant::now() > until => return None,
                _ => std::thread::sleep(RETRY_PAUSE),
            }
        }
        None
    }

    /// Queries an accepted job until it is done, and a few times more: a state that was reported must
    /// not be taken back.
    fn poll(&self, n: usize, job: &Submitted, until: Instant) {
        let path = format!("{PATH_JOBS}/{}", job.id);
        let mut done = false;
        let mut polls_left = POLLS_AFTER_END;
        for node in n + 1.. {
            if Instant::now() >= until || polls_left == 0 {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
            let state = match self.call(node, "GET", &path, b"") {
                Some((200, body)) => serde_json::from_slice::<JobStatus>(&body).ok(),
                Some((404, _)) => {
                    let mut seen = self.seen.lock().expect("no panic holds it");
                    let wrong = format!("{}: accepted, and then unknown", job.id);
                    return seen.wrong.push(wrong);
                }
                _ => None,
            };
            let Some(state) = state.map(|status| status.state) else {
                continue;
            };
            match (done, state == JobState::Done) {
                (false, true) => {
                    done = true;
                    self.note_done(job);
                }
                (true, false) => {
                    let mut seen = self.seen.lock().expect("no panic holds it");
                    let wrong = format!("{}: done, and then {state:?}", job.id);
                    seen.wrong.push(wrong);
                }
                _ => {}
            }
            polls_left -= u32::from(done);
        }
    }

    /// A job was reported done to a user: all its tasks must be.
    fn note_done(&self, job: &Submitted) {
        let mut seen = self.seen.lock().expect("no panic holds it");
        seen.done += 1;
        let finished = seen.finish_ms.entry(job.class.clone());
        let finished = finished.or_insert_with(histogram);
        finished.saturating_record(job.elapsed_ms());
        let records = self
            .cluster_state
            .records
            .lock()
            .expect("no panic holds it");
        if records.done(&job.id) < job.tasks {
            let wrong = format!("{}: told done before all its tasks were", job.id);
            seen.wrong.push(wrong);
        }
    }
}

/// A job that a user has begun to submit.
struct Submitted {
    id: String,
    class: String,
    tasks: u64,
    at: Instant,
}

impl Submitted {
    fn elapsed_ms(&self) -> u64 {
        self.at.elapsed().as_millis() as u64
    }
}

#[cfg(test)]
mod tests;
