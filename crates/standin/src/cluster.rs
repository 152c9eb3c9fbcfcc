//! A cluster on loopback: starts the services and controllers, runs a scenario and returns its report.

use crate::cloud::{Cloud, MachineLauncher, ThreadLauncher};
use crate::command_line::write_file;
use crate::controller_settings::{Addresses, controller_settings};
use crate::controllers::{Controllers, POLICY_FILE, controller_name};
use crate::error::StandinError;
use crate::events::{EventTargets, get};
use crate::records::quantiles;
use crate::report::{Outcome, Sample};
use crate::scenario::{Event, EventAction, Scenario};
use crate::state::StateService;
use crate::users::{Users, generate_load};
use crate::worker::ClusterState;
use burlusher::http::{self, Request, Response};
use burlusher_market::ZoneBalance;
use std::iter::Peekable;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Maximum number of concurrent connections to a stand-in service.
const MAX_CONNECTIONS: usize = 200;
/// Maximum time from the start of the controllers until all are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks for due events, samples and progress lines, and between readiness probes.
const TICK: Duration = Duration::from_millis(50);
/// Interval between backups of the state service, and between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
/// Additional time for jobs to end, beyond twice the duration of the load.
const COMPLETION_GRACE: Duration = Duration::from_secs(30);

/// Runs a scenario with controllers of `program`; settings and logs go into `dir`.
pub fn run_scenario(
    scenario: &Scenario,
    program: &Path,
    dir: &Path,
) -> Result<Outcome, StandinError> {
    run_scenario_with(
        scenario,
        program,
        dir,
        Arc::new(ThreadLauncher),
        &mut |_| {},
    )
}

/// Runs a scenario as `run_scenario` does, with another launcher of machines and with an observer that is
/// called once a second.
pub fn run_scenario_with(
    scenario: &Scenario,
    program: &Path,
    dir: &Path,
    launcher: Arc<dyn MachineLauncher>,
    observe: &mut dyn FnMut(&Sample),
) -> Result<Outcome, StandinError> {
    let cluster = Cluster::start(scenario, program, dir, launcher)?;
    cluster.wait_ready(dir)?;
    let begin = Instant::now();
    let users = Arc::new(Users::new(cluster.targets.cluster_state.clone()));
    let jobs = cluster.submit_load(&users, begin);
    cluster.run_until_jobs_end(&users, &jobs, begin, observe);
    Ok(cluster.finish(&users, jobs.len()))
}

/// A running cluster.
struct Cluster<'a> {
    scenario: &'a Scenario,
    targets: EventTargets,
}

impl<'a> Cluster<'a> {
    /// Starts the stand-in services, the snapshotter if the scenario has one, and the controllers.
    fn start(
        scenario: &'a Scenario,
        program: &Path,
        dir: &Path,
        launcher: Arc<dyn MachineLauncher>,
    ) -> Result<Cluster<'a>, StandinError> {
        std::fs::create_dir_all(dir).map_err(StandinError::at(dir))?;
        let count = *scenario.controllers.get_ref();
        let mut public = free_addresses(2 * count)?;
        let peer = public.split_off(count);
        let names = (0..count).map(controller_name);
        let cluster_state = Arc::new(ClusterState {
            jobs: Mutex::default(),
            records: Mutex::default(),
            controller_addrs: names.zip(public.iter().copied()).collect(),
            heartbeat_interval: Duration::from_secs_f64(scenario.report_s),
            lease: Duration::from_secs_f64(scenario.lease_s),
        });
        let state = Arc::new(StateService::default());
        let cloud = Arc::new(Cloud::new(scenario, cluster_state.clone(), launcher));
        let (state_handler, cloud_handler) = (state.clone(), cloud.clone());
        let addresses = Addresses {
            public,
            peer,
            state: serve(move |request| state_handler.handle_request(request))?,
            cloud: serve(move |request| cloud_handler.handle_request(request))?,
        };
        write_settings(scenario, &addresses, dir)?;
        let controllers = Arc::new(Controllers::new(program, dir, count));
        if scenario.snapshotter {
            controllers.start_snapshotter()?;
        }
        for number in 0..count {
            controllers.start(number)?;
        }
        Ok(Cluster {
            scenario,
            targets: EventTargets {
                cluster_state,
                cloud,
                state,
                controllers,
            },
        })
    }

    /// Waits until every controller is ready; `dir` is the folder of their logs, for the error.
    fn wait_ready(&self, dir: &Path) -> Result<(), StandinError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for (name, addr) in &self.targets.cluster_state.controller_addrs {
            while get(*addr, "/ready").is_none_or(|(status, _)| status != 200) {
                if Instant::now() > deadline || !self.targets.controllers.exited().is_empty() {
                    return Err(StandinError::NotReady {
                        name: name.clone(),
                        log: dir.join(format!("{name}.log")),
                    });
                }
                std::thread::sleep(TICK);
            }
        }
        Ok(())
    }

    /// Starts a thread for each job of the load, which submits the job and polls it until its end.
    fn submit_load(&self, users: &Arc<Users>, begin: Instant) -> Vec<JoinHandle<()>> {
        let deadline = begin + self.scenario.load_duration() * 2 + COMPLETION_GRACE;
        let jobs = generate_load(self.scenario).into_iter().enumerate();
        let threads = jobs.map(|(number, job)| {
            let users = users.clone();
            std::thread::spawn(move || {
                let submit_at = begin + job.submit_after;
                std::thread::sleep(submit_at.saturating_duration_since(Instant::now()));
                users.submit_and_poll(number, job, deadline);
            })
        });
        threads.collect()
    }

    /// Carries out the events, and takes samples and backups, until the thread of every job has ended.
    fn run_until_jobs_end(
        &self,
        users: &Users,
        jobs: &[JoinHandle<()>],
        begin: Instant,
        observe: &mut dyn FnMut(&Sample),
    ) {
        let mut events = self.scenario.events.clone();
        events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        let mut events = events.into_iter().peekable();
        let keeps_backups = self.needs_backups();
        let mut backups = PeriodicTimer::new(SAMPLE_INTERVAL);
        let mut samples = PeriodicTimer::new(SAMPLE_INTERVAL);
        let mut progress = PeriodicTimer::new(PROGRESS_INTERVAL);
        while jobs.iter().any(|thread| !thread.is_finished()) {
            std::thread::sleep(TICK);
            let at_s = begin.elapsed().as_secs_f64();
            if keeps_backups && backups.is_due() {
                self.targets.state.back_up();
            }
            self.perform_due_events(&mut events, at_s);
            if samples.is_due() {
                observe(&self.sample(at_s));
            }
            if progress.is_due() {
                self.print_progress(users, jobs.len(), at_s);
            }
        }
    }

    /// Returns whether an event rolls the state service back.
    fn needs_backups(&self) -> bool {
        let mut actions = self.scenario.events.iter().map(|event| &event.action);
        actions.any(|action| matches!(action, EventAction::RollBackState { .. }))
    }

    fn perform_due_events(&self, events: &mut Peekable<impl Iterator<Item = Event>>, at_s: f64) {
        while let Some(event) = events.next_if(|event| event.at_s <= at_s) {
            println!("{at_s:6.1} s  {:?}", event.action);
            self.targets.perform(&event.action);
        }
    }

    fn sample(&self, at_s: f64) -> Sample {
        let (state_requests, state_changes) = self.targets.state.request_counts();
        let records = self.targets.cluster_state.records.lock();
        let records = records.expect("lock is not poisoned");
        let (tasks_running, tasks_started) = (records.running_tasks(), records.starts);
        drop(records);
        Sample {
            at_s,
            controllers: self.targets.controllers.pids(),
            machines: self.targets.cloud.machines_by_zone().values().sum(),
            tasks_running,
            tasks_started,
            state_requests,
            state_changes,
        }
    }

    fn print_progress(&self, users: &Users, submitted: usize, at_s: f64) {
        let observations = users.observations.lock().expect("lock is not poisoned");
        println!(
            "{at_s:6.1} s  jobs {} of {submitted} accepted, {} done; machines {:?}",
            observations.accepted,
            observations.done,
            self.targets.cloud.machines_by_zone()
        );
    }

    /// Stops the controllers and returns the report.
    fn finish(self, users: &Users, submitted: usize) -> Outcome {
        let EventTargets {
            cluster_state,
            cloud,
            state,
            controllers,
        } = self.targets;
        let exited = controllers.exited();
        drop(controllers);
        let records = cluster_state.records.lock().expect("lock is not poisoned");
        let observations = users.observations.lock().expect("lock is not poisoned");
        let spread = max_excess(self.scenario, &records.work);
        let tolerance = self.scenario.tolerance;
        let mut violations = records.violations.clone();
        violations.extend(observations.violations.iter().cloned());
        violations.extend(observations.refused.iter().map(|r| format!("refused: {r}")));
        let exited = exited.into_iter().map(controller_name);
        violations.extend(exited.map(|name| format!("{name} ended by itself")));
        if observations.done < submitted as u64 {
            let missing = submitted as u64 - observations.done;
            violations.push(format!("{missing} jobs are not done"));
        }
        if spread > tolerance {
            violations.push(format!(
                "a zone did {spread:.2} of the work in excess of an equal share; tolerance {tolerance:.2}"
            ));
        }
        let bill = cloud.bill();
        let waits = records.waits.iter();
        let (state_requests, state_changes) = state.request_counts();
        Outcome {
            submitted,
            accepted: observations.accepted,
            done: observations.done,
            tasks_started: records.starts,
            tasks_started_again: records.restarts,
            tasks_lost: records.lost_runs,
            machines_ordinary: bill.ordinary,
            machines_spot: bill.spot,
            offers_refused: bill.refused,
            spent: bill.spent,
            work: records.work.clone(),
            spread,
            tolerance,
            accept: observations.accept(),
            wait: waits
                .map(|(class, h)| (class.clone(), quantiles(h)))
                .collect(),
            finish: observations.finish(),
            state_requests,
            state_changes,
            violations,
        }
    }
}

/// Returns by how much the zone with the most work exceeds an equal share, as a fraction of all work; `work` is
/// by zone.
fn max_excess(scenario: &Scenario, work: &std::collections::BTreeMap<String, f64>) -> f64 {
    let zones = scenario.zones.iter().map(String::as_str);
    let mut served = ZoneBalance::new(zones, scenario.tolerance);
    for (zone, work) in work {
        served.add(zone, *work);
    }
    served.max_excess()
}

/// Timer that is due once per period.
struct PeriodicTimer {
    period: Duration,
    last_due: Instant,
}

impl PeriodicTimer {
    fn new(period: Duration) -> PeriodicTimer {
        PeriodicTimer {
            period,
            last_due: Instant::now(),
        }
    }

    /// Returns whether the period has passed; if so, restarts it.
    fn is_due(&mut self) -> bool {
        let is_due = self.last_due.elapsed() >= self.period;
        if is_due {
            self.last_due = Instant::now();
        }
        is_due
    }
}

/// Writes the policy file and the settings file of each controller.
fn write_settings(
    scenario: &Scenario,
    addresses: &Addresses,
    dir: &Path,
) -> Result<(), StandinError> {
    write_file(&dir.join(POLICY_FILE), scenario.policy.as_bytes())?;
    for number in 0..addresses.public.len() {
        let settings = controller_settings(scenario, addresses, number).to_string();
        let name = format!("{}.json", controller_name(number));
        write_file(&dir.join(name), settings.as_bytes())?;
    }
    Ok(())
}

/// Returns free addresses on loopback. The ports are found by binding them; they are released before the
/// controllers bind them.
fn free_addresses(count: usize) -> Result<Vec<SocketAddrV4>, StandinError> {
    let listeners: Result<Vec<_>, _> = (0..count).map(|_| listen()).collect();
    Ok(listeners?.into_iter().map(|(_, addr)| addr).collect())
}

fn listen() -> Result<(TcpListener, SocketAddrV4), StandinError> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    match listener.local_addr()? {
        SocketAddr::V4(addr) => Ok((listener, addr)),
        SocketAddr::V6(addr) => Err(StandinError::NoAddress(addr)),
    }
}

/// Starts a thread that serves HTTP requests; returns the address.
fn serve(
    handle: impl Fn(&Request) -> Response + Send + Sync + 'static,
) -> Result<String, StandinError> {
    let (listener, addr) = listen()?;
    let respond = move |request: Request| Some(handle(&request));
    std::thread::spawn(move || http::serve(listener, MAX_CONNECTIONS, Arc::new(respond)));
    Ok(addr.to_string())
}
