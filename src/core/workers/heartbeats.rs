//! Reports: what machines say, compared with what is known, and what follows for their tasks.

use crate::core::machines::machine::{
    Exited, Machine, Phase, Placement, StopReason, TOKEN_EPOCH_BITS,
};
use crate::core::store::cache::MachineValue;
use crate::core::{Core, Ticket, note};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Answer;
use crate::job::{JobId, JobKind, MachineId, Resources, TaskId};
use crate::planning::cluster_snapshot::{Offer, image_tag};
use crate::wire::{ExitCause, Heartbeat, Redirect, TaskState, TaskStatus, parse_task_id, to_json};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// A machine on which a task failed gets none for twice this, doubled with each failure in a row, so many times:
/// not for so long that work waits for it beyond a minute and a half.
const INITIAL_AVOIDANCE: Duration = Duration::from_secs(5);
const MAX_AVOIDANCE_DOUBLINGS: u32 = 3;

/// The worker is to report to that controller.
pub(in crate::core) fn redirect_to(controller: &str) -> Answer {
    let leader = Some(controller);
    Answer::new(421, to_json(&Redirect { leader }))
}

impl Core {
    /// Takes in a report; a ticket that comes back is answered at the end of the step.
    pub(in crate::core) fn heartbeat(
        &mut self,
        ticket: Ticket,
        heartbeat: Box<Heartbeat>,
    ) -> Option<(Ticket, MachineId)> {
        if !self.acting() {
            if self.is_well_formed(&heartbeat) {
                self.relay_heartbeat(ticket, heartbeat);
            } else {
                self.answer(ticket, Answer::error(400, "malformed report"));
            }
            return None;
        }
        match self.accept_heartbeat(*heartbeat, None) {
            Ok(machine) => Some((ticket, machine)),
            Err(answer) => {
                self.answer(ticket, answer);
                None
            }
        }
    }

    /// What no worker says changes nothing: a token that nobody gave, above all, would pass for the sign of a
    /// store that has lost data.
    fn is_well_formed(&self, heartbeat: &Heartbeat) -> bool {
        let id = &heartbeat.machine;
        !id.is_empty()
            && id.len() <= 100
            && id.bytes().all(|b| b.is_ascii_graphic() && b != b'/')
            && heartbeat.addr.parse::<SocketAddrV4>().is_ok()
            && heartbeat.incarnation > 0
            && self.plausible_term(heartbeat.fencing_token >> TOKEN_EPOCH_BITS)
    }

    /// A report that came here, or by way of another controller; what comes back is the machine,
    /// or why the report is not answered as it would like.
    pub(in crate::core) fn accept_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        via: Option<&Arc<str>>,
    ) -> Result<MachineId, Answer> {
        let now = self.now.mono;
        let id = heartbeat.machine.clone();
        if !self.is_well_formed(&heartbeat) {
            return Err(Answer::error(400, "malformed report"));
        }
        let no_leader = || Answer::busy("no leader here", 1);
        self.observe_fencing_token(heartbeat.fencing_token);
        let leader = self.leader.as_mut().ok_or_else(no_leader)?;
        if leader.deleted_machines.contains(&id) {
            // Sent before the machine was deleted, and held up on the way.
            return Err(Answer::busy("this machine is gone", 30));
        }
        let term = leader.term;
        let proven = heartbeat.fencing_token >= term << TOKEN_EPOCH_BITS;
        if let Some(m) = leader.machines.get_mut_quiet(&id)
            && !m.unresolved
            && m.is_unchanged_by(&heartbeat, term)
        {
            m.sequence = heartbeat.sequence;
            m.last_heartbeat = now;
            m.lease_renewed = now;
            leader.record_heartbeat(via, now);
            leader.record_route(&id, via);
            if via.is_none()
                && let Some(to) = leader.next_reassignment(&id)
            {
                return Err(redirect_to(&to));
            }
            return Ok(id);
        }
        // A report that tells of a machine on nobody's record may be a copy that comes late, of one that
        // is long gone. The answer shows the token; the next report proves that it is there. Where the
        // store has lost data, whatever may be there counts at once.
        if !proven && leader.rebuild.is_none() && leader.machines.get(&id).is_none() {
            return Ok(id);
        }
        leader.machines.get_or_add(&id, || {
            tracing::info!(machine = %id, "machine {id}: unexpected, taken on");
            Machine::new(
                id.clone(),
                &heartbeat.machine_type,
                &heartbeat.zone,
                heartbeat.spot,
                now,
            )
        });
        // Passed on once more, as our answer to the other controller was lost: what it says is
        // known, and nothing newer is.
        let again = via.is_some()
            && leader.machines.get(&id).is_some_and(|m| {
                // By way of anybody else it is a copy.
                let same =
                    (m.incarnation, m.sequence) == (heartbeat.incarnation, heartbeat.sequence);
                same && m.via.as_ref() == via && !m.lease_expired
            });
        let token = heartbeat.fencing_token;
        if !again && !self.apply_heartbeat(&id, heartbeat, true) {
            if let Some(m) = (self.leader.as_mut()).and_then(|l| l.machines.get_mut(&id))
                && token < m.highest_token
                && !m.unresolved
            {
                // If it is of another life, that one has a lease of its own.
                m.lease_renewed = m.lease_renewed.max(now);
            }
            self.probe_for_restart(&id);
            return Err(Answer::busy("an older report", 1));
        }
        let lease = self.settings.worker_lease;
        let leader = self.leader.as_mut().ok_or_else(no_leader)?;
        let m = (leader.machines.get_mut(&id)).ok_or_else(no_leader)?;
        let unaware = m.unresolved;
        if unaware && !proven {
            // Old tasks wait for what it has. If no answer of ours comes to it, its lease runs out from
            // the last one on: so there is a last one.
            let since = *m.unproven_since.get_or_insert(now);
            if now > since + lease / 2 {
                return Err(Answer::busy("this machine does not take its answers", 1));
            }
        }
        m.lease_renewed = now;
        if !m.recorded {
            // Before its first task: a later leader must know every place a task may be.
            let value = MachineValue::from(&*m);
            leader.writes.records.add(&id, value);
        }
        if proven || !unaware {
            // What does not show our token may be of any age: it tells what may be there, and not that
            // a worker is heard.
            leader.record_heartbeat(via, now);
        }
        leader.record_route(&id, via);
        Ok(id)
    }

    pub(in crate::core) fn redirect(&mut self, ticket: Ticket) {
        let me = self.settings.name.as_str();
        // Without the state service, what is known of the leader may be old.
        let stale = self.store_is_stale();
        let leader = self.leader_name().filter(|n| *n != me && !stale);
        let answer = match leader {
            Some(leader) => redirect_to(leader),
            None => Answer::busy("no leader here", 1),
        };
        self.answer(ticket, answer);
    }

    /// Compares a report with what is known; false if it is older than one seen before.
    pub(in crate::core) fn apply_heartbeat(
        &mut self,
        id: &MachineId,
        heartbeat: Heartbeat,
        answered: bool,
    ) -> bool {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return false;
        };
        let term = leader.term;
        let Some(m) = leader.machines.get_mut(id) else {
            return false;
        };
        if (heartbeat.incarnation, heartbeat.sequence) <= (m.incarnation, m.sequence)
            || heartbeat.fencing_token < m.highest_token
        {
            return false;
        }
        // Made before that session's lease ran out, and held up on the way: what it tells of is
        // gone, and may have been started elsewhere since.
        if m.lease_expired && heartbeat.incarnation == m.incarnation {
            return false;
        }
        let mut lost = Vec::new();
        if heartbeat.incarnation > m.incarnation {
            if m.incarnation > 0 {
                // The earlier session's tasks were killed, and its commands are refused.
                tracing::info!(machine = %id, "machine {id}: session {} begins", heartbeat.incarnation);
                lost = m.tasks.keys().cloned().collect();
            }
            if m.incarnation > 0 && !m.unresolved {
                // Its lease ran out while it was answered: it may not hear what it is told.
                m.require_token_proof(term);
            }
            m.lease_expired = false;
            m.doubtful_until_token = None;
            m.start_unconfirmed = false;
            m.images.clear();
            m.incarnation_since = now;
            if !m.unresolved {
                m.lease_renewed = m.lease_renewed.max(now);
            }
        }
        if m.up_since.is_none() {
            m.freed = true;
            m.up_since = Some(now);
            m.idle_since = now;
            let took = m.age + now.saturating_duration_since(m.known_since);
            if let Some(t) = self.machine_types.iter().find(|t| t.name == m.machine_type)
                && m.incarnation == 0
            {
                let announced = Duration::from_secs_f64(t.boot_s.clamp(0.0, 1e6));
                leader
                    .scheduler
                    .bidding
                    .estimates
                    .record_boot(&t.name, announced, took);
            }
        }
        let noticed = m.reclaim_at.is_none() && heartbeat.reclaim_in_s.is_some();
        m.incarnation = heartbeat.incarnation;
        m.sequence = heartbeat.sequence;
        m.highest_token = heartbeat.fencing_token;
        m.last_heartbeat = now;
        // With our term's token seen, whatever the predecessors sent is refused from now on.
        let knows_us =
            heartbeat.fencing_token >= term << TOKEN_EPOCH_BITS || !is_enabled(Safeguard::Proof);
        m.addr = heartbeat.addr;
        m.spot = heartbeat.spot;
        m.reclaim_at = heartbeat
            .reclaim_in_s
            .filter(|n| n.is_finite())
            .map(|n| now + Duration::from_secs_f64(n.clamp(0.0, 86400.0)));
        if m.doubtful_until_token
            .is_some_and(|token| heartbeat.fencing_token >= token)
        {
            m.doubtful_until_token = None;
        }
        if m.unconfirmed_token
            .is_some_and(|token| heartbeat.fencing_token >= token)
        {
            m.unconfirmed_token = None;
        }
        // Starts in the answer before this report, which was not taken, as it would show them.
        let untaken = answered && m.start_unconfirmed && m.failed_calls > 0;
        if noticed {
            let offer = Offer::new(&m.machine_type, &m.zone, m.spot);
            leader
                .scheduler
                .bidding
                .estimates
                .record_losses(&offer, 1, now);
        }
        if answered {
            m.start_unconfirmed = false;
        }
        // A report that answers direct commands may have been made before the worker read our
        // last answer, so what that one started may be yet to come.
        let complete = m.no_command_in_flight() && !m.start_unconfirmed;
        self.tasks_lost(id, lost, "its session ended");
        let mut seen = BTreeSet::new();
        let mut exited = Vec::new();
        for row in heartbeat.tasks {
            let Some(key) = parse_task_id(&row.task) else {
                tracing::warn!(machine = %id, "machine {id}: unreadable task {:?}", row.task);
                continue;
            };
            if row.state == TaskState::Exited {
                exited.push((key.clone(), row.attempt));
                self.task_exited(id, &key, &row);
            } else {
                seen.insert(key.clone());
                self.task_live(id, &key, &row);
            }
        }
        let Some(leader) = &mut self.leader else {
            return false;
        };
        let Some(m) = leader.machines.get_mut(id) else {
            return false;
        };
        let before = std::mem::take(&mut m.exited);
        let told_under = m.started_under_token;
        let exited = exited.into_iter().map(|(key, attempt)| {
            let known = before.iter().find(|e| e.key == key && e.attempt == attempt);
            Exited {
                started_under_token: known.map_or(told_under, |e| e.started_under_token),
                key,
                attempt,
            }
        });
        m.exited = exited.collect();
        let absent = |m: &Machine| {
            let mut tasks = m.tasks.iter();
            tasks
                .any(|(k, t)| t.phase == Phase::Unseen && t.stopping.is_none() && !seen.contains(k))
        };
        if untaken && m.unconfirmed_token.is_none() && absent(m) {
            tracing::info!(machine = %id, "machine {id}: neither answers nor calls reach it");
            m.require_token_proof(term);
        }
        let unheard = m.unconfirmed_token.is_some();
        let missing: Vec<TaskId> = m
            .tasks
            .iter()
            .filter(|(k, t)| {
                !seen.contains(*k)
                    && match t.phase {
                        // It is not there and nothing is left that could start it.
                        Phase::Unseen => complete && (t.stopping.is_some() || unheard),
                        _ => true,
                    }
            })
            .map(|(k, _)| k.clone())
            .collect();
        if !unheard && complete && absent(m) {
            m.needs_push = true;
        }
        self.tasks_lost(id, missing, "it is not on the machine any more");
        if knows_us {
            self.resolve_machine(id, "it reported");
        }
        true
    }

    fn task_live(&mut self, id: &MachineId, key: &TaskId, row: &TaskStatus) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let forgotten = leader.may_be_of_lost_job(self.store_cache.knows(&key.job));
        let Some(m) = leader.machines.get_mut(id) else {
            return;
        };
        let phase = Phase::of(row.state);
        let kind = self.machine_types.iter().find(|t| t.name == m.machine_type);
        // A task of which nothing is known any more may take all there is.
        let room = kind.map_or(Resources::default(), |t| t.room());
        let cache_gb = kind.map_or(0.0, |t| t.cache_gb);
        let known = m.tasks.contains_key(key);
        if !known {
            let spec = self.store_cache.jobs.get(&key.job).map(|j| j.spec.clone());
            if let Some(spec) = &spec {
                m.use_image(image_tag(&spec.image), spec.image_gb, cache_gb);
            }
            let (needs, team) = match (&spec, self.store_cache.residual_tasks.get(&key.job)) {
                (Some(spec), _) => (spec.resources, Some(spec.team.as_str())),
                (None, Some(left)) => (left.resources, Some(left.team.as_str())),
                (None, None) => (room, None),
            };
            let mut t = Placement {
                attempt: row.attempt,
                phase: Phase::Unseen,
                since: now,
                running_since: None,
                stopping: None,
                resources: needs,
                team: team.and_then(|t| self.settings.team_index(t)),
            };
            // Nobody remembers the job, and it may have been accepted all the same.
            let mut wanted = forgotten;
            if forgotten && let Some(r) = &mut leader.rebuild {
                r.hold(key, id);
                tracing::warn!(task = %key, machine = %id, "task {key} on {id}: its job is unknown; held");
            }
            if let (Some(job), Some(run)) = (
                self.store_cache.jobs.get(&key.job),
                leader.job_runs.get_mut(&key.job),
            ) {
                if let Some(other) = run.placed.get(&key.index).filter(|m| *m != id) {
                    tracing::warn!(task = %key, machine = %id, "task {key} is or was on {id}, and on {other}");
                }
                if run.ending.is_none() && !job.done.contains(key.index) {
                    wanted = true;
                    run.hold(key.index, id);
                    tracing::debug!(task = %key, machine = %id, "task {key} attempt {} found on {id}", row.attempt);
                }
            }
            if !wanted {
                t.stop(StopReason::Over, now);
                m.needs_push = true;
            }
            m.tasks.insert(key.clone(), t);
            self.stop_duplicates(key, id);
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(m) = leader.machines.get_mut(id) else {
            return;
        };
        let Some(t) = m.tasks.get_mut(key) else {
            return;
        };
        if t.attempt != row.attempt {
            // Not expected: a worker refuses a second attempt of a task it has.
            tracing::error!(
                task = %key, machine = %id, "task {key} on {id}: attempt {} instead of {}",
                row.attempt,
                t.attempt
            );
            t.attempt = row.attempt;
        }
        if phase == Phase::Running && t.running_since.is_none() {
            t.running_since = Some(now);
            tracing::debug!(task = %key, machine = %id, "task {key} attempt {} runs on {id}", t.attempt);
            if let Some(run) = leader.job_runs.get_mut(&key.job)
                && run.started.is_none()
            {
                run.started = Some(now);
                if let Some(job) = self.store_cache.jobs.get(&key.job)
                    && let Ok(waited) = self.now.wall.duration_since(job.submitted)
                {
                    note(&mut self.stats.start, waited.as_millis());
                }
            }
        }
        t.phase = phase;
    }

    fn task_exited(&mut self, id: &MachineId, key: &TaskId, row: &TaskStatus) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let forgotten = leader.may_be_of_lost_job(self.store_cache.knows(&key.job));
        let Some(m) = leader.machines.get_mut(id) else {
            return;
        };
        let ours = m.tasks.get(key).is_some_and(|t| t.attempt == row.attempt);
        let why = row.cause.unwrap_or(ExitCause::Other);
        if forgotten && let Some(r) = &mut leader.rebuild {
            r.remove_held(key, id);
            if why == ExitCause::Done {
                r.record_result(key);
            }
        }
        if !ours {
            // Seen before, or started by an earlier leader. A completed task stays completed.
            if why == ExitCause::Done {
                self.task_completed(key, None);
            }
            return;
        }
        let Some(t) = m.tasks.remove(key) else { return };
        m.freed = true;
        if m.tasks.is_empty() {
            m.idle_since = now;
        }
        leader.scheduler.plan_again = true;
        tracing::debug!(task = %key, machine = %id, "task {key} attempt {} on {id} ended: {why:?}", t.attempt);
        let ran = t.running_since.map(|s| now.saturating_duration_since(s));
        if why == ExitCause::Done {
            m.fault_history.failed_jobs.clear();
            m.fault_history.failures = 0;
            self.record_run_time(id, key, ran);
            self.task_completed(key, Some(id));
            return;
        }
        let mut hold = None;
        match why {
            ExitCause::Error => {
                self.note_failure(id, key);
                hold = Some(self.retry_delay(&key.job));
            }
            ExitCause::NoRoom => {
                // Its account and ours differ; the next report tells.
                m.push_after = now + Duration::from_secs(1);
                hold = Some(Duration::from_secs(1));
            }
            ExitCause::Busy => hold = Some(Duration::from_secs(2)),
            ExitCause::Unknown => hold = Some(Duration::from_secs(3)),
            // Tasks of a gang end like this when one of it is missing.
            ExitCause::Other => hold = Some(Duration::from_millis(500)),
            ExitCause::Done | ExitCause::Stopped => {}
        }
        if let Some(leader) = &mut self.leader
            && let Some(run) = leader.job_runs.get_mut(&key.job)
        {
            if let Some(d) = hold {
                run.backoff_until.insert(key.index, now + d);
            }
            if run.unassign(key.index, id) {
                run.queued.insert(key.index);
            }
        }
    }

    /// A task that is on several machines goes on on one of them only. Which of them have it is certain
    /// when all of them have shown this term's token; `fresh` is about to be certain.
    pub(in crate::core) fn stop_duplicates(&mut self, key: &TaskId, fresh: &MachineId) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(run) = leader.job_runs.get(&key.job) else {
            return;
        };
        let holders = run.assigned_machines(key.index);
        let machines = &mut leader.machines;
        let unsure = |id: &&MachineId| machines.get(id).is_some_and(|m| m.unresolved);
        if holders.len() < 2 || holders.iter().any(unsure) {
            return;
        }
        let keep = holders.iter().position(|id| *id != fresh).unwrap_or(0);
        tracing::error!(task = %key, machine = %fresh, "task {key} is on several machines; it goes on on {}", holders[keep]);
        for (n, id) in holders.into_iter().enumerate() {
            if n != keep
                && let Some(m) = machines.get_mut(id)
                && let Some(t) = m.tasks.get_mut(key)
            {
                t.stop(StopReason::Over, now);
                m.needs_push = true;
            }
        }
    }

    /// A job whose tasks fail again and again is tried ever more rarely.
    pub(in crate::core) fn retry_delay(&self, job: &JobId) -> Duration {
        let failures: u32 = self
            .leader
            .as_ref()
            .and_then(|l| l.job_runs.get(job))
            .map_or(0, |r| {
                if r.succeeded {
                    0
                } else {
                    r.failures.values().sum()
                }
            });
        Duration::from_millis(250 << failures.min(7))
    }

    fn note_failure(&mut self, id: &MachineId, key: &TaskId) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(run) = leader.job_runs.get_mut(&key.job) else {
            return;
        };
        *run.failures.entry(id.clone()).or_default() += 1;
        // A job that has failed on several machines and succeeded on none speaks against itself.
        tracing::warn!(task = %key, machine = %id, "task {key} failed on {id}");
        run.record_retry_failure(now);
        if run.is_suspect() {
            // The machines it was tried on are cleared of its failures.
            for machine in run.failures.keys() {
                if let Some(m) = leader.machines.get_mut(machine) {
                    m.fault_history.failed_jobs.remove(&key.job);
                    if m.fault_history.failed_jobs.is_empty() {
                        m.fault_history.failures = 0;
                        m.fault_history.avoid_until = None;
                    }
                }
            }
            return;
        }
        let Some(m) = leader.machines.get_mut(id) else {
            return;
        };
        m.fault_history.failures += 1;
        m.fault_history.failed_jobs.insert(key.job.clone());
        let most = if is_enabled(Safeguard::Avoid) {
            MAX_AVOIDANCE_DOUBLINGS
        } else {
            u32::MAX
        };
        let pause = INITIAL_AVOIDANCE * 2u32.pow(m.fault_history.failures.min(most).min(10));
        m.fault_history.avoid_until = Some(now + pause);
    }

    /// A machine on which work of several jobs failed, with no success in between, is faulty.
    pub(in crate::core) fn faulty(&self, m: &Machine) -> bool {
        let Some(leader) = &self.leader else {
            return false;
        };
        let believable = m
            .fault_history
            .failed_jobs
            .iter()
            .filter(|j| leader.job_runs.get(*j).is_none_or(|r| !r.is_suspect()))
            .count();
        (believable >= 2 && m.fault_history.failures >= 2)
            || (believable >= 1
                && m.fault_history.failures >= 3
                && m.fault_history
                    .failed_jobs
                    .iter()
                    .any(|j| leader.job_runs.get(j).is_some_and(|r| r.succeeded)))
            || m.fault_history.slowness.faulty()
    }

    pub(in crate::core) fn task_completed(&mut self, key: &TaskId, on: Option<&MachineId>) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let (Some(job), Some(run)) = (
            self.store_cache.jobs.get_mut(&key.job),
            leader.job_runs.get_mut(&key.job),
        ) else {
            return;
        };
        if key.index >= job.spec.tasks {
            return;
        }
        run.succeeded = true;
        if job.spec.job_kind == JobKind::Service {
            // A replica that ends is started again.
            if on.is_some_and(|id| run.unassign(key.index, id)) {
                run.queued.insert(key.index);
            }
            return;
        }
        if job.done.insert(key.index) {
            run.unpersisted_done.insert(key.index);
            leader.writes.progress.entry(key.job.clone()).or_insert(now);
        }
        run.queued.remove(&key.index);
        run.backoff_until.remove(&key.index);
        for machine in run.release(key.index) {
            if let Some(m) = leader.machines.get_mut(&machine)
                && let Some(t) = m.tasks.get_mut(key)
            {
                t.stop(StopReason::Over, now);
                m.needs_push = true;
            }
        }
        self.end_if_complete(&key.job);
    }

    /// These tasks are not on the machine any more, without a result.
    pub(in crate::core) fn tasks_lost(&mut self, id: &MachineId, tasks: Vec<TaskId>, why: &str) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        for key in tasks {
            let Some(m) = leader.machines.get_mut(id) else {
                return;
            };
            let Some(t) = m.tasks.remove(&key) else {
                continue;
            };
            if m.tasks.is_empty() {
                m.idle_since = now;
            }
            leader.scheduler.plan_again = true;
            if let Some(r) = &mut leader.rebuild {
                r.remove_held(&key, id);
            }
            if let Some(run) = leader.job_runs.get_mut(&key.job)
                && run.unassign(key.index, id)
            {
                run.queued.insert(key.index);
                tracing::debug!(task = %key, machine = %id, "task {key} attempt {} lost on {id}: {why}", t.attempt);
            }
        }
    }
}
