//! A running schedule: its steps, the requests of its users, and the checks after its last fault.

use super::NODES;
use super::faults::{
    heal, inject_network_fault, inject_node_fault, inject_store_fault, inject_worker_fault,
    refuse_leader, seconds,
};
use super::schedule::{Fault, JobPlan, Step, StoreFault, UserFault};
use crate::core::simulation::{Backup, Simulation};
use crate::job::{JobKind, sample};
use crate::policy::Policy;
use crate::wire::JobState;
use std::time::{Duration, Instant};

/// Running schedule.
pub(super) struct ScheduleRun {
    simulation: Simulation,
    /// Jobs whose submission was accepted, with their kinds.
    accepted: Vec<(String, JobKind)>,
    /// Services that were submitted, whether or not a response confirmed it.
    services: Vec<String>,
    /// Latest backup of the state service.
    backup: Option<Backup>,
    /// Jobs whose cancellation was requested and has not been confirmed yet.
    unanswered_cancels: Vec<String>,
    job_mix: JobMix,
}

/// Kinds of jobs in a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum JobMix {
    /// Each fits into one value of the store.
    Small,
    /// Those with odd numbers are too large for one value of the store.
    EveryOtherLarge,
    /// Those with odd numbers are too large for one value of the store, every third job depends on the oldest one, and
    /// controllers have memory for the ends of few jobs.
    FewEndsInMemory,
}

/// Memory for the ends of two jobs, in bytes.
const FEW_ENDS_BYTES: usize = 400;

/// Length of an image's name that makes a job too large for one value.
const LONG_IMAGE_NAME: usize = 3000;

impl ScheduleRun {
    pub(super) fn new(seed: u64, job_mix: JobMix) -> ScheduleRun {
        let policy = Policy::parse("history", "delegate = true").unwrap();
        let mut simulation = Simulation::with_policy(seed, policy);
        if job_mix == JobMix::FewEndsInMemory {
            simulation.limit_ended_jobs(FEW_ENDS_BYTES);
        }
        simulation.add_machines("small", 6);
        simulation.run_until(10.0, "a leader", |simulation| simulation.leader().is_some());
        simulation.run(2.0);
        let fetch_steps = seed % 2 * (seed / 2 % 3);
        simulation.image_fetch_time = Duration::from_millis(fetch_steps * 400);
        ScheduleRun {
            simulation,
            accepted: Vec::new(),
            services: Vec::new(),
            backup: None,
            unanswered_cancels: Vec::new(),
            job_mix,
        }
    }

    /// Runs a step. Its number selects the controller to which users send their requests.
    pub(super) fn run_step(&mut self, number: usize, step: &Step) {
        let node = number % NODES;
        self.inject(&step.fault);
        self.repeat_cancels(node);
        if matches!(
            step.fault,
            Fault::Store(StoreFault::RestoreBackup) | Fault::Heal
        ) {
            self.backup = Some(self.simulation.backup());
        }
        if let Some(job) = step.job {
            self.submit(number, job);
        }
        if let Some((id, _)) = step.cancel.and_then(|job| self.accepted.get(job)) {
            self.simulation.cancel(node, id);
            self.unanswered_cancels.push(id.clone());
        }
        self.simulation.run(seconds(step.pause_ms));
    }

    /// Repeats the cancellations that have not been answered yet, as users do.
    fn repeat_cancels(&mut self, node: usize) {
        let simulation = &mut self.simulation;
        self.unanswered_cancels
            .retain(|id| simulation.reported_final_state(id).is_none());
        for id in &self.unanswered_cancels {
            simulation.cancel_without_waiting(node, id);
        }
    }

    fn submit(&mut self, number: usize, job: JobPlan) {
        let id = format!("wk-{number:06}");
        let mut spec = sample(&id, job.tasks, job.cpus, job.seconds);
        spec.job_kind = job.kind;
        spec.spot = number.is_multiple_of(2);
        spec.one_zone = number % 5 == 1;
        spec.spread = number % 5 == 3;
        if self.job_mix != JobMix::Small && number % 2 == 1 {
            spec.image = "x".repeat(LONG_IMAGE_NAME);
        }
        if self.job_mix == JobMix::FewEndsInMemory && number % 3 == 2 {
            let mut arrays = self
                .accepted
                .iter()
                .filter(|(_, kind)| *kind == JobKind::Array);
            let oldest = arrays.next().map(|(id, _)| id.as_str().into());
            spec.dependencies = oldest.into_iter().collect();
        }
        if job.kind == JobKind::Service {
            self.services.push(id.clone());
        }
        let status = self.simulation.submit(number % NODES, &spec);
        if matches!(status, 200 | 201) {
            self.accepted.push((id, job.kind));
        }
    }

    fn inject(&mut self, fault: &Fault) {
        let simulation = &mut self.simulation;
        match fault {
            Fault::Node(fault) => inject_node_fault(simulation, fault),
            Fault::Store(fault) => inject_store_fault(simulation, fault, self.backup.as_ref()),
            Fault::Worker(fault) => inject_worker_fault(simulation, fault),
            Fault::Network(fault) => inject_network_fault(simulation, fault),
            Fault::User(fault) => self.inject_user_fault(fault),
            Fault::ToggleCloud => simulation.faults.cloud_down = !simulation.faults.cloud_down,
            Fault::Heal => heal(simulation),
        }
    }

    fn inject_user_fault(&mut self, fault: &UserFault) {
        match fault {
            UserFault::CancelAndHang { job, machines } => self.cancel_and_hang(*job, *machines),
            UserFault::CancelAtCompletion(job) => self.cancel_at_completion(*job),
            UserFault::CancelDuringRefusal(job) => self.cancel_during_refusal(*job),
            UserFault::InvalidSubmissions => self.submit_invalid(),
            UserFault::ToggleQueriesAfterResponses => {
                let simulation = &mut self.simulation;
                simulation.query_after_responses = !simulation.query_after_responses;
            }
        }
    }

    fn cancel_and_hang(&mut self, job: usize, machines: usize) {
        let Some((id, _)) = self.accepted.get(job) else {
            return;
        };
        let simulation = &mut self.simulation;
        for (machine, _) in simulation.placements(id).into_iter().take(machines) {
            simulation.workers.get_mut(&machine).unwrap().hung = true;
        }
        let node = simulation.random(NODES);
        simulation.cancel_without_waiting(node, id);
        self.unanswered_cancels.push(id.clone());
    }

    fn cancel_at_completion(&mut self, job: usize) {
        let Some((id, JobKind::Array)) = self.accepted.get(job) else {
            return;
        };
        let simulation = &mut self.simulation;
        // Runs until the last task has completed on its machine, before any controller knows of it.
        for _ in 0..200 {
            if simulation.all_tasks_completed(id) {
                break;
            }
            simulation.tick();
        }
        (0..NODES).for_each(|node| simulation.cancel_without_waiting(node, id));
        for node in 0..NODES {
            simulation.show(node, id);
        }
    }

    fn cancel_during_refusal(&mut self, job: usize) {
        let Some((id, _)) = self.accepted.get(job) else {
            return;
        };
        let simulation = &mut self.simulation;
        refuse_leader(simulation);
        (0..NODES).for_each(|node| simulation.cancel_without_waiting(node, id));
        self.unanswered_cancels.push(id.clone());
        simulation.run(1.0);
        simulation.set_store_outage(true);
    }

    fn submit_invalid(&mut self) {
        let simulation = &mut self.simulation;
        for node in 0..NODES {
            let job = simulation.random(self.accepted.len().max(1));
            if let Some((id, _)) = self.accepted.get(job) {
                let mut other = sample(id, 7, 2.0, 1);
                other.team = "nobody".into();
                let status = simulation.submit(node, &other);
                let acceptable =
                    matches!(status, 0 | 200 | 503) || simulation.checker.data_lost_for_good;
                assert!(
                    acceptable,
                    "{id}: a repeated submission got status {status}"
                );
            }
            let mut unschedulable = sample("wk-900000", 1, 99.0, 1);
            unschedulable.zone = Some("a".into());
            let status = simulation.submit(node, &unschedulable);
            assert!(
                !matches!(status, 200 | 201),
                "a job that can never run was accepted"
            );
        }
    }

    /// Ends all faults, and checks that every accepted job is known, that services can be cancelled,
    /// and that all other jobs end.
    pub(super) fn check_recovery(mut self) {
        let simulation = &mut self.simulation;
        heal(simulation);
        let healed_at = simulation.now;
        simulation.run(15.0);
        if simulation.checker.data_lost_for_good {
            // No controller has the accepted jobs cached. Only the invariants are checked, such as that
            // no task runs twice.
            simulation.run(30.0);
            return;
        }
        if simulation.checker.survivors.is_empty() {
            settle_rebuilds(simulation);
        }
        simulation.run_until(90.0, "the store is whole", Simulation::is_store_complete);
        self.check_queries_answered(healed_at + Duration::from_secs(75));
        for node in 0..NODES {
            assert_ne!(
                self.simulation.show(node, "wk-999999").0,
                200,
                "wk-999999 is reported, but was never submitted"
            );
        }
        self.cancel_services();
        self.check_jobs_end();
    }

    /// Checks that every query about an accepted job succeeds again by the deadline, 75 s after the
    /// last fault. This does not hold if the store has lost data and a job's state is certain only once
    /// the workers' leases have expired.
    fn check_queries_answered(&mut self, deadline: Instant) {
        let simulation = &mut self.simulation;
        for (number, (id, _)) in self.accepted.iter().enumerate() {
            while simulation.show(number % NODES, id).0 != 200 {
                let late = simulation.now > deadline;
                assert!(
                    !late,
                    "{id}: no query succeeded within 75 s of the last fault"
                );
                simulation.run(1.0);
            }
        }
    }

    /// Cancels all services, also those whose submission got no response: the replicas of such a service
    /// would use their team's limit up for ever.
    fn cancel_services(&mut self) {
        let simulation = &mut self.simulation;
        for id in &self.services {
            if simulation.show(1, id).1.is_none() {
                continue;
            }
            // A leader to which no worker reports resigns, each controller once; until then, attempts
            // may fail.
            let mut attempts = 0;
            while simulation.cancel(1, id).1 != Some(JobState::Cancelled) {
                attempts += 1;
                assert!(attempts < 40, "{id} cannot be cancelled");
                simulation.run(1.0);
            }
        }
    }

    /// Checks that all accepted jobs end; services have been cancelled before.
    fn check_jobs_end(&mut self) {
        for (id, kind) in &self.accepted {
            match self.simulation.show(0, id) {
                (200, Some(JobState::Done | JobState::Cancelled)) => {}
                (200, state) if *kind == JobKind::Service => {
                    panic!("service {id} is said to be {state:?}")
                }
                (200, _) => self.simulation.run_until_done(id, 200.0),
                (status, _) => panic!("{id}: a query got status {status}"),
            }
        }
    }
}

/// Settles the rebuild of the store, as an operator has to if no controller has the lost data cached and
/// workers report tasks of unknown jobs.
fn settle_rebuilds(simulation: &mut Simulation) {
    for _ in 0..8 {
        simulation.run(5.0);
        for node in 0..NODES {
            simulation.settle_rebuild(node);
        }
    }
}
