//! The status document of this controller for operators: which tasks run on which machines, and why jobs wait.

use crate::core::jobs::job_run::JobRun;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::Machine;
use crate::core::machines::placement::Phase;
use crate::core::store::cache::JobRecord;
use crate::core::{Core, Ticket};
use crate::http::Response;
use crate::job::{JobId, JobOutcome, JobSpec};
use serde_json::{Value, json};
use std::time::{Instant, SystemTime};

/// Maximum number of jobs listed in the status document; it gives the total number as well.
const MAX_LISTED_JOBS: usize = 200;

impl Core {
    /// Answers with the status document.
    pub(in crate::core) fn answer_status(&mut self, ticket: Ticket) {
        let mut body = match (self.is_active_leader(), &self.leader) {
            (true, Some(leader)) => self.leader_view(leader),
            (true, None) => json!({}),
            (false, _) => self.follower_view(),
        };
        body["accept_ms"] = quantiles(&self.stats.accept);
        body["start_ms"] = quantiles(&self.stats.start);
        body["step_us"] = quantiles(&self.stats.step);
        body["rebuild"] = self.rebuild_status();
        body["up_s"] = json!(self.seconds_since(self.started));
        self.answer(ticket, Response::new(200, body.to_string().into_bytes()));
    }

    /// Returns the whole seconds since a time.
    fn seconds_since(&self, t: Instant) -> u64 {
        self.now.mono.saturating_duration_since(t).as_secs()
    }

    fn follower_view(&self) -> Value {
        json!({
            "node": self.settings.name,
            "leads": false,
            "leader": self.leader_name(),
            "state_service_heard_s": self.seconds_since(self.store_reachable_at),
            "members": self.members_status(),
        })
    }

    fn leader_view(&self, leader: &LeaderState) -> Value {
        let machines = leader.machines.values();
        let machines: Vec<Value> = machines.map(|m| self.machine_view(m)).collect();
        let jobs = leader.job_runs.iter().take(MAX_LISTED_JOBS);
        let jobs: Vec<Value> = jobs
            .map(|(id, run)| self.job_view(leader, id, run))
            .collect();
        let refused = self.refused_offers().into_iter();
        let refused: Vec<String> = refused
            .map(|offer| {
                let market = if offer.spot { "spot" } else { "ordinary" };
                format!("{} {} {market}", offer.machine_type, offer.zone)
            })
            .collect();
        json!({
            "node": self.settings.name,
            "leads": true,
            "leader": self.settings.name,
            "term": leader.term,
            "leads_s": self.seconds_since(leader.since),
            "machines_not_heard_yet": leader.recovery.unresolved(),
            "refused_offers": refused,
            "bidding": self.markets_view(leader),
            "members": self.members_status(),
            "reports_by_others": {"taken_in": leader.delegates.relayed_heartbeats, "answered": leader.delegates.delegated_answers},
            "machines": machines,
            "jobs_live": leader.job_runs.len(),
            "jobs_finished": self.store_cache.ended_jobs.total(),
            "jobs": jobs,
        })
    }

    fn machine_view(&self, machine: &Machine) -> Value {
        let tasks: Vec<String> = machine
            .tasks
            .iter()
            .map(|(task, placement)| {
                let phase = phase_name(&placement.phase);
                format!("{task} attempt {} {phase}", placement.attempt)
            })
            .collect();
        json!({
            "machine": machine.id,
            "type": machine.machine_type,
            "zone": machine.zone,
            "spot": machine.spot,
            "state": self.machine_state(machine),
            "heard_s": self.seconds_since(machine.last_heartbeat),
            "reports_to": machine.via,
            "tasks": tasks,
        })
    }

    /// Returns the state of a machine: the most significant reason why it takes no tasks, or "up" if there is none.
    fn machine_state(&self, machine: &Machine) -> String {
        if let Some(reason) = machine.deleting {
            return format!("being returned: {reason}");
        }
        let avoid_until = machine.fault_history.avoid_until;
        let state = if machine.unresolved {
            "not heard of yet"
        } else if machine.incarnation == 0 {
            "booting"
        } else if machine.lease_expired {
            "lost"
        } else if machine.reclaim_at.is_some() {
            "will be taken"
        } else if machine.in_doubt_until_token.is_some() {
            "commands in doubt"
        } else if avoid_until.is_some_and(|until| until > self.now.mono) {
            "avoided after failures"
        } else {
            "up"
        };
        state.into()
    }

    fn job_view(&self, leader: &LeaderState, id: &JobId, run: &JobRun) -> Value {
        let Some(job) = self.store_cache.jobs.get(id) else {
            return json!({});
        };
        let running = self.running_tasks(id, run) as usize;
        json!({
            "awaits": self.unfinished_dependencies(id, &job.spec),
            "slack_s": self.slack_s(leader, id, job),
            "job": id,
            "class": job.spec.class,
            "team": job.spec.team,
            "tasks": job.spec.tasks,
            "done": job.done.len(),
            "running": running,
            "starting": run.tasks.assigned().len() - running,
            "waiting": run.tasks.queued().len(),
            "why": self.waiting_reason(leader, id, job, run),
        })
    }

    /// Returns the slack of a job in seconds: the time between its estimated end, if it starts now, and the deadline
    /// of its pipeline. The slack is negative if the job will be late.
    fn slack_s(&self, leader: &LeaderState, id: &JobId, job: &JobRecord) -> Option<i64> {
        let due = leader.urgency_of(id, job).due?;
        let slack = seconds_until(due, self.now.wall) - job.spec.estimate.as_secs_f64();
        Some(slack.round() as i64)
    }

    /// Returns the dependencies of a job that are not done.
    fn unfinished_dependencies<'a>(&self, id: &JobId, spec: &'a JobSpec) -> Vec<&'a JobId> {
        let (ended, graph) = (&self.store_cache.ended_jobs, &self.store_cache.dependencies);
        let is_unfinished = |dependency: &&JobId| {
            graph.waits_for(id, dependency)
                || ended.outcome(dependency) == Some(JobOutcome::Cancelled)
        };
        spec.dependencies.iter().filter(is_unfinished).collect()
    }

    /// Describes in one sentence why a job's queued tasks are not started.
    fn waiting_reason(
        &self,
        leader: &LeaderState,
        id: &JobId,
        job: &JobRecord,
        run: &JobRun,
    ) -> String {
        if run.ending.is_some() {
            return "its end is being written".into();
        }
        if let Some(cancelled) = self.store_cache.dependencies.cancelled_dependency(id) {
            return format!("it is cancelled with {cancelled}, which it needs");
        }
        if let Some((first, others)) = self.unfinished_dependencies(id, &job.spec).split_first() {
            return match others.len() {
                0 => format!("it awaits {first}"),
                n => format!("it awaits {first} and {n} more"),
            };
        }
        if run.tasks.queued().is_empty() {
            return "nothing waits".into();
        }
        if Self::blocked_by_recovery(leader, job) {
            return format!(
                "its tasks may be on {} machines that have not reported to this leader",
                leader.recovery.unresolved()
            );
        }
        let failures: u32 = run.failures.values().sum();
        if run.is_suspect() {
            return format!(
                "its tasks failed {failures} times and never succeeded; it is tried now and then"
            );
        }
        if failures > 0 && run.all_queued_deferred() {
            return format!("its tasks failed {failures} times; they are tried again later");
        }
        reason_not_placed(leader, id)
    }
}

/// Describes why a job waits although nothing but capacity or its quota prevents it from starting.
fn reason_not_placed(leader: &LeaderState, id: &JobId) -> String {
    match &leader.scheduler.queue_head {
        Some((head, Some(after))) if head == id => {
            let seconds = after.as_secs();
            format!("next in the queue; room is expected in {seconds} s")
        }
        Some((head, None)) if head == id => "next in the queue; no room is in sight".into(),
        Some((head, _)) => format!("room is kept for {head}, which is before it"),
        None => "its team is at its limit, or it is about to start".into(),
    }
}

fn phase_name(phase: &Phase) -> &'static str {
    match phase {
        Phase::Unseen => "starting",
        Phase::Fetching => "fetching",
        Phase::Running => "running",
        Phase::Saving => "saving",
    }
}

/// Returns the seconds from `now` until a time, negative if it has passed.
fn seconds_until(moment: SystemTime, now: SystemTime) -> f64 {
    match moment.duration_since(now) {
        Ok(left) => left.as_secs_f64(),
        Err(passed) => -passed.duration().as_secs_f64(),
    }
}

fn quantiles(h: &hdrhistogram::Histogram<u64>) -> Value {
    json!({
        "count": h.len(),
        "p50": h.value_at_quantile(0.5),
        "p95": h.value_at_quantile(0.95),
        "p99": h.value_at_quantile(0.99),
        "max": h.max(),
    })
}
