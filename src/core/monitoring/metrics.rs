//! The metrics page of this controller, in groups: the process, the store, the other controllers, and values that only
//! the leader has. See `crate::metrics` for the format.

use crate::core::jobs::job_run::JobRun;
use crate::core::leadership::state::LeaderState;
use crate::core::{Core, Ticket, WORK_NAMES};
use crate::http::Response;
use crate::metrics::Page;
use burlusher_membership::view::{Capabilities, MemberState};
use std::collections::BTreeMap;
use std::time::Instant;

const QUANTILES: [(&str, f64); 3] = [("0.5", 0.5), ("0.95", 0.95), ("0.99", 0.99)];
/// Names of the lanes of the command queue, the most urgent first.
const LANES: [&str; 3] = ["urgent", "questions", "reports"];

/// Values of the gauge `members`.
const MEMBER_ALIVE: f64 = 2.0;
const MEMBER_SUSPECT: f64 = 1.0;
const MEMBER_LOST: f64 = 0.0;

fn bool_value(value: bool) -> f64 {
    f64::from(u8::from(value))
}

impl Core {
    /// Answers with the metrics page. `queue_lengths` are the numbers of commands that wait in each lane of the command
    /// queue, the most urgent lane first.
    pub(in crate::core) fn answer_metrics(&mut self, ticket: Ticket, queue_lengths: [usize; 3]) {
        let mut page = Page::default();
        self.process_metrics(&mut page, queue_lengths);
        self.store_metrics(&mut page);
        self.member_metrics(&mut page);
        self.relay_metrics(&mut page);
        if let (true, Some(leader)) = (self.is_active_leader(), &self.leader) {
            self.machine_metrics(&mut page, leader);
            job_metrics(&mut page, leader);
            leadership_metrics(&mut page, leader, self.now.mono);
        }
        self.answer(ticket, Response::new(200, page.text().into_bytes()));
    }

    fn process_metrics(&self, page: &mut Page, queue_lengths: [usize; 3]) {
        page.gauge(
            "leads",
            "1 on the controller that leads",
            bool_value(self.is_active_leader()),
        );
        page.gauge("term", "The newest term", self.store_cache.term as f64);
        page.gauge(
            "up_seconds",
            "Since this process began",
            seconds_between(self.started, self.now.mono),
        );
        let queues = LANES.into_iter().zip(queue_lengths);
        page.gauges(
            "queue",
            "Commands that wait for the owner",
            "lane",
            queues.map(|(lane, length)| (lane, length as f64)),
        );
        for (name, help, histogram) in [
            (
                "accept_ms",
                "From a submission to its answer",
                &self.stats.accept,
            ),
            (
                "start_ms",
                "From a submission to its first task",
                &self.stats.start,
            ),
            ("step_us", "Steps of the owner", &self.stats.step),
        ] {
            let value = |quantile| histogram.value_at_quantile(quantile) as f64;
            let quantiles = QUANTILES.map(|(label, quantile)| (label, value(quantile)));
            page.gauges(name, help, "quantile", quantiles);
        }
        for (work, name) in WORK_NAMES {
            let help = "What the owner has done since this process began";
            page.counter(name, help, self.stats.total(work));
        }
    }

    fn store_metrics(&mut self, page: &mut Page) {
        let now = self.now.mono;
        let rebuild = self.rebuild_metrics();
        page.gauge(
            "state_losses",
            "Losses of data of the state service that this process has noticed",
            rebuild.losses,
        );
        page.gauge(
            "state_incomplete",
            "1 while the state service is rebuilt after a loss of data",
            rebuild.incomplete,
        );
        page.gauge(
            "state_jobs_owed",
            "Jobs remembered here that the state service has lost",
            rebuild.missing_jobs,
        );
        let ended_jobs = &self.store_cache.ended_jobs;
        page.gauge(
            "jobs_ended",
            "Jobs that have ended, as far as this process knows",
            ended_jobs.total() as f64,
        );
        page.gauge(
            "jobs_ended_in_memory",
            "Ended jobs whose end is in this process's memory",
            ended_jobs.len() as f64,
        );
        page.gauge(
            "tasks_held",
            "Tasks on machines whose jobs nobody remembers",
            rebuild.held_tasks,
        );
        page.gauge(
            "state_changes_left",
            "Changes that the state service's limit leaves the leader now",
            self.write_budget.available(now),
        );
        page.gauge(
            "cloud_calls_left",
            "Calls that the cloud's limit leaves the leader now",
            self.cloud_budget.available(now),
        );
    }

    fn member_metrics(&self, page: &mut Page) {
        let now = self.now.mono;
        let state_value = |name: &str| match self.members.state(name, now) {
            MemberState::Alive => MEMBER_ALIVE,
            MemberState::Suspect => MEMBER_SUSPECT,
            MemberState::Unknown | MemberState::Lost => MEMBER_LOST,
        };
        let members = self.members.members();
        page.gauges(
            "members",
            "The other controllers: 2 alive, 1 suspect, 0 lost or never heard of",
            "node",
            members.map(|(name, _)| (name, state_value(name))),
        );
        let members = self.members.members();
        page.gauges(
            "takes_reports",
            "1 for a controller that serves workers for the leader",
            "node",
            members.map(|(name, m)| {
                (
                    name,
                    bool_value(m.capabilities.contains(Capabilities::SERVES_WORKERS)),
                )
            }),
        );
    }

    fn relay_metrics(&self, page: &mut Page) {
        let now = self.now.mono;
        let grant = self.relay.grant();
        page.gauge(
            "grant_seconds",
            "How long this controller may still answer for the leader",
            grant.map_or(0.0, |grant| seconds_between(now, grant.expires_at)),
        );
        page.gauge(
            "reports_waiting",
            "Reports that wait here for the leader's answer",
            self.relay.waiting() as f64,
        );
    }

    fn machine_metrics(&self, page: &mut Page, leader: &LeaderState) {
        let (mut up, mut booting, mut delegated) = (0, 0, 0);
        let mut by_controller: BTreeMap<&str, u32> = BTreeMap::new();
        for machine in leader.machines.values() {
            if machine.incarnation == 0 {
                booting += 1;
                continue;
            }
            up += 1;
            delegated += u32::from(machine.delegated_to.is_some());
            let controller = machine.via.as_deref().unwrap_or(&self.settings.name);
            *by_controller.entry(controller).or_default() += 1;
        }
        let states = [("up", up), ("booting", booting), ("lent", delegated)];
        page.gauges(
            "machines",
            "Machines by what they do",
            "state",
            states.map(|(state, count)| (state, f64::from(count))),
        );
        let operations = leader.cloud.scale_outs.values();
        let requested: u32 = operations.map(|operation| operation.body.count).sum();
        page.gauge(
            "scale_outs",
            "Requests for machines without a final answer, sent or not",
            leader.cloud.scale_outs.len() as f64,
        );
        page.gauge(
            "machines_requested",
            "Machines that these requests ask for",
            f64::from(requested),
        );
        let workers = by_controller.into_iter();
        page.gauges(
            "workers",
            "Machines by the controller that they report to",
            "node",
            workers.map(|(controller, count)| (controller, f64::from(count))),
        );
        page.gauge(
            "machines_to_hear",
            "Machines that may hold tasks of an earlier term and have not shown the new token",
            leader.recovery.unresolved() as f64,
        );
    }
}

fn job_metrics(page: &mut Page, leader: &LeaderState) {
    page.gauge(
        "jobs",
        "Jobs that are not over",
        leader.job_runs.len() as f64,
    );
    let tasks =
        |count: fn(&JobRun) -> usize| leader.job_runs.values().map(count).sum::<usize>() as f64;
    page.gauges(
        "tasks",
        "Tasks of these",
        "state",
        [
            ("queued", tasks(|run| run.tasks.queued().len())),
            ("placed", tasks(|run| run.tasks.assigned().len())),
        ],
    );
}

fn leadership_metrics(page: &mut Page, leader: &LeaderState, now: Instant) {
    page.gauge(
        "leads_seconds",
        "Since this controller began to lead",
        seconds_between(leader.since, now),
    );
    page.gauge(
        "direct_calls",
        "Calls to workers on their way",
        leader.direct_calls_in_flight as f64,
    );
    page.counter(
        "reports_passed_on",
        "Reports in this term that came by way of other controllers",
        leader.delegates.relayed_heartbeats,
    );
    page.counter(
        "reports_answered_by_others",
        "Reports in this term that other controllers answered alone",
        leader.delegates.delegated_answers,
    );
}

/// Returns the seconds from `from` to `to`, or zero if `from` is later.
fn seconds_between(from: Instant, to: Instant) -> f64 {
    to.saturating_duration_since(from).as_secs_f64()
}
