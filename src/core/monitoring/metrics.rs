//! What monitoring is told; see `metrics`.

use crate::core::{Core, Ticket, WORK};
use crate::http::Response;
use crate::metrics::Page;
use burlusher_membership::view::{Capabilities, MemberState};
use std::collections::BTreeMap;

const QUANTILES: [(&str, f64); 3] = [("0.5", 0.5), ("0.95", 0.95), ("0.99", 0.99)];

impl Core {
    /// `lanes`: commands that wait in the owner's queue, what is urgent first.
    pub(in crate::core) fn answer_metrics(&mut self, ticket: Ticket, lanes: [usize; 3]) {
        let now = self.now.mono;
        let mut page = Page::default();
        page.gauge(
            "leads",
            "1 on the controller that leads",
            f64::from(u8::from(self.acting())),
        );
        page.gauge("term", "The newest term", self.store_cache.term as f64);
        page.gauge(
            "up_seconds",
            "Since this process began",
            now.saturating_duration_since(self.started).as_secs_f64(),
        );
        let lanes = ["urgent", "questions", "reports"].into_iter().zip(lanes);
        page.gauges(
            "queue",
            "Commands that wait for the owner",
            "lane",
            lanes.map(|(name, n)| (name, n as f64)),
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
            let value = |q| histogram.value_at_quantile(q) as f64;
            page.gauges(
                name,
                help,
                "quantile",
                QUANTILES.map(|(l, q)| (l, value(q))),
            );
        }
        for (work, name) in WORK {
            let help = "What the owner has done since this process began";
            page.counter(name, help, self.stats.done(work));
        }
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
        let standing = |name: &str| match self.members.state(name, now) {
            MemberState::Alive => 2.0,
            MemberState::Suspect => 1.0,
            MemberState::Unknown | MemberState::Lost => 0.0,
        };
        page.gauges(
            "members",
            "The other controllers: 2 alive, 1 suspect, 0 lost or never heard of",
            "node",
            self.members
                .members()
                .map(|(name, _)| (name, standing(name))),
        );
        let able = |capabilities: Capabilities| {
            f64::from(u8::from(capabilities.has(Capabilities::SERVES_WORKERS)))
        };
        page.gauges(
            "takes_reports",
            "1 for a controller that serves workers for the leader",
            "node",
            (self.members.members()).map(|(name, m)| (name, able(m.capabilities))),
        );
        page.gauge(
            "grant_seconds",
            "How long this controller may still answer for the leader",
            self.relay.grant().map_or(0.0, |g| {
                g.expires_at.saturating_duration_since(now).as_secs_f64()
            }),
        );
        page.gauge(
            "reports_waiting",
            "Reports that wait here for the leader's answer",
            self.relay.waiting() as f64,
        );
        if self.acting() {
            self.leader_figures(&mut page);
        }
        self.answer(ticket, Response::new(200, page.text().into_bytes()));
    }

    fn leader_figures(&self, page: &mut Page) {
        let now = self.now.mono;
        let Some(leader) = &self.leader else { return };
        let mut reporting: BTreeMap<&str, u32> = BTreeMap::new();
        let (mut up, mut booting, mut lent) = (0, 0, 0);
        for m in leader.machines.values() {
            if m.incarnation == 0 {
                booting += 1;
                continue;
            }
            up += 1;
            lent += u32::from(m.delegated_to.is_some());
            *reporting
                .entry(m.via.as_deref().unwrap_or(&self.settings.name))
                .or_default() += 1;
        }
        page.gauges(
            "machines",
            "Machines by what they do",
            "state",
            [("up", up), ("booting", booting), ("lent", lent)].map(|(s, n)| (s, f64::from(n))),
        );
        page.gauges(
            "workers",
            "Machines by the controller that they report to",
            "node",
            reporting.into_iter().map(|(n, c)| (n, f64::from(c))),
        );
        page.gauge(
            "machines_to_hear",
            "Machines that may hold tasks of an earlier term and have not shown the new token",
            leader.recovery.unresolved() as f64,
        );
        page.gauge(
            "jobs",
            "Jobs that are not over",
            leader.job_runs.len() as f64,
        );
        let tasks = |f: fn(&crate::core::jobs::job_run::JobRun) -> usize| -> f64 {
            leader.job_runs.values().map(f).sum::<usize>() as f64
        };
        page.gauges(
            "tasks",
            "Tasks of these",
            "state",
            [
                ("queued", tasks(|r| r.queued.len())),
                ("placed", tasks(|r| r.placed.len())),
            ],
        );
        page.gauge(
            "leads_seconds",
            "Since this controller began to lead",
            now.saturating_duration_since(leader.since).as_secs_f64(),
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
}
