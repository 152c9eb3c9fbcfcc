//! A readable view of what runs where and why a job waits, for operators.

use crate::core::machines::machine::{Machine, Phase};
use crate::core::{Core, Ticket};
use crate::http::Answer;
use crate::job::{JobId, JobOutcome, JobSpec};
use serde_json::{Value, json};
use std::time::SystemTime;

/// Jobs shown in one view; the rest is counted.
const MAX_LISTED_JOBS: usize = 200;

impl Core {
    pub(in crate::core) fn answer_status(&mut self, ticket: Ticket) {
        let view = if self.acting() {
            self.leader_view()
        } else {
            json!({
                "node": self.settings.name,
                "leads": false,
                "leader": self.leader_name(),
                "state_service_heard_s": self.since(self.store_reachable_at),
                "members": self.members_status(),
            })
        };
        let mut body = view;
        body["accept_ms"] = quantiles(&self.stats.accept);
        body["start_ms"] = quantiles(&self.stats.start);
        body["step_us"] = quantiles(&self.stats.step);
        body["rebuild"] = self.rebuild_status();
        body["up_s"] = json!(self.since(self.started));
        self.answer(ticket, Answer::new(200, body.to_string().into_bytes()));
    }

    fn since(&self, t: std::time::Instant) -> u64 {
        self.now.mono.saturating_duration_since(t).as_secs()
    }

    fn leader_view(&self) -> Value {
        let Some(leader) = &self.leader else {
            return json!({});
        };
        let machines: Vec<Value> = leader
            .machines
            .values()
            .map(|m| self.machine_view(m))
            .collect();
        let jobs: Vec<Value> = leader
            .job_runs
            .keys()
            .take(MAX_LISTED_JOBS)
            .map(|id| self.job_view(id))
            .collect();
        let refused: Vec<String> = self
            .refused_offers()
            .into_iter()
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
            "leads_s": self.since(leader.since),
            "machines_not_heard_yet": leader.recovery.unresolved,
            "refused_offers": refused,
            "bidding": self.markets_view(leader),
            "members": self.members_status(),
            "reports_by_others": {"taken_in": leader.delegates.relayed_heartbeats, "answered": leader.delegates.delegated_answers},
            "machines": machines,
            "jobs_live": leader.job_runs.len(),
            "jobs_finished": self.store_cache.finished.len(),
            "jobs": jobs,
        })
    }

    fn machine_view(&self, m: &Machine) -> Value {
        let state = if let Some(why) = m.deleting {
            format!("being returned: {why}")
        } else if m.unresolved {
            "not heard of yet".into()
        } else if m.incarnation == 0 {
            "booting".into()
        } else if m.lease_expired {
            "lost".into()
        } else if m.reclaim_at.is_some() {
            "will be taken".into()
        } else if m.doubtful_until_token.is_some() {
            "commands in doubt".into()
        } else if m
            .fault_history
            .avoid_until
            .is_some_and(|t| t > self.now.mono)
        {
            "avoided after failures".into()
        } else {
            "up".into()
        };
        let tasks: Vec<String> = m
            .tasks
            .iter()
            .map(|(k, t)| {
                let phase = match t.phase {
                    Phase::Unseen => "starting",
                    Phase::Fetching => "fetching",
                    Phase::Running => "running",
                    Phase::Saving => "saving",
                };
                format!("{k} attempt {} {phase}", t.attempt)
            })
            .collect();
        json!({
            "machine": m.id, "type": m.machine_type, "zone": m.zone, "spot": m.spot,
            "state": state, "heard_s": self.since(m.last_heartbeat), "reports_to": m.via, "tasks": tasks,
        })
    }

    fn job_view(&self, id: &JobId) -> Value {
        let (Some(leader), Some(job)) = (&self.leader, self.store_cache.jobs.get(id)) else {
            return json!({});
        };
        let Some(run) = leader.job_runs.get(id) else {
            return json!({});
        };
        let running = self.running_of(id, run) as usize;
        let due = leader.urgency_of(id, job).due;
        let left = |d: SystemTime| match d.duration_since(self.now.wall) {
            Ok(left) => left.as_secs_f64(),
            Err(over) => -over.duration().as_secs_f64(),
        };
        // What is left until its pipeline's deadline when it has run.
        let slack = due.map(|d| (left(d) - job.spec.estimate.as_secs_f64()).round() as i64);
        json!({
            "awaits": self.awaited(&job.spec), "slack_s": slack,
            "job": id, "class": job.spec.class, "team": job.spec.team,
            "tasks": job.spec.tasks, "done": job.done.len(), "running": running,
            "starting": run.placed.len() - running, "waiting": run.queued.len(),
            "why": self.why_waiting(id),
        })
    }

    /// The jobs that one awaits and that are not done.
    fn awaited<'a>(&self, spec: &'a JobSpec) -> Vec<&'a JobId> {
        let done = |a: &&JobId| self.store_cache.finished.get(*a) != Some(&JobOutcome::Done);
        spec.dependencies.iter().filter(done).collect()
    }

    /// One sentence on why a job's waiting tasks wait.
    fn why_waiting(&self, id: &JobId) -> String {
        let (Some(leader), Some(job)) = (&self.leader, self.store_cache.jobs.get(id)) else {
            return String::new();
        };
        let Some(run) = leader.job_runs.get(id) else {
            return String::new();
        };
        if run.ending.is_some() {
            return "its end is being written".into();
        }
        if let Some(root) = self.store_cache.dependencies.cancelled_dependency(id) {
            return format!("it is cancelled with {root}, which it needs");
        }
        if let Some((first, others)) = self.awaited(&job.spec).split_first() {
            return match others.len() {
                0 => format!("it awaits {first}"),
                n => format!("it awaits {first} and {n} more"),
            };
        }
        if run.queued.is_empty() {
            return "nothing waits".into();
        }
        if Self::blocked_by_recovery(leader, job) {
            return format!(
                "its tasks may be on {} machines that have not reported to this leader",
                leader.recovery.unresolved
            );
        }
        let failures: u32 = run.failures.values().sum();
        if run.is_suspect() {
            return format!(
                "its tasks failed {failures} times and never succeeded; it is tried now and then"
            );
        }
        if failures > 0 && run.queued.iter().all(|r| run.backoff_until.contains_key(r)) {
            return format!("its tasks failed {failures} times; they are tried again later");
        }
        match &leader.scheduler.queue_head {
            Some((head, Some(after))) if head == id => {
                format!(
                    "next in the queue; room is expected in {} s",
                    after.as_secs()
                )
            }
            Some((head, None)) if head == id => "next in the queue; no room is in sight".into(),
            Some((head, _)) => format!("room is kept for {head}, which is before it"),
            None => "its team is at its limit, or it is about to start".into(),
        }
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
