//! Randomized schedules of faults over three controllers that take reports for one another, with the
//! rules checked at every tick. `proptest` makes them from a fixed seed, so that the verdict is always
//! the same, and shrinks one that breaks a rule to the fewest steps; such a one becomes a test of its
//! own at the end of this file. More of them, or others, are played by
//!
//! ```text
//! HISTORIES=10000 cargo test --lib randomized
//! HISTORY_SEED=1 cargo test --lib randomized
//! ```

use crate::core::simulation::{Backup, Link, Simulation, failure_without};
use crate::fault_injection::Safeguard;
use crate::job::{JobKind, sample};
use crate::policy::Policy;
use crate::wire::JobState;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::Duration;

#[derive(Clone, Debug)]
enum Fault {
    End {
        node: usize,
        away_ms: u64,
    },
    EndAll,
    Freeze(usize),
    CutOff(usize),
    State(usize, Link),
    /// Some workers cannot talk to a node.
    Unheard {
        node: usize,
        every: usize,
    },
    Hang(usize),
    Die(usize),
    MoveAll(usize),
    HoldCommands,
    Cloud,
    /// This part of all transactions, in percent, is carried out seconds late, after newer ones.
    LateWrites(u32),
    /// Reports and direct commands come once more, up to so many seconds late.
    Copies(u64),
    /// Some machines are heard and do not hear.
    PartitionInbound {
        every: usize,
    },
    /// A machine is back at once, empty, in its next session, or with all that it counts at its beginning.
    Reboot {
        machine: usize,
        from_one: bool,
    },
    /// A controller keeps only its workers and users.
    Alone(usize),
    /// The state service refuses one, then everybody.
    RefuseAll,
    /// The state service loses everything, or goes back to what it held when the last one of these
    /// came, all controllers being there to remember.
    Lose,
    RollBack,
    Calm,
    /// Some machines reach no controller, while direct commands reach them.
    PartitionOutbound {
        every: usize,
    },
    /// The state service serves nobody, and no lease runs out.
    Outage,
    /// It refuses the leader alone, and so much later everybody.
    RefusedThenOutage(u64),
    /// It answers up to so much later.
    SlowStore(u64),
    /// The leader ends, and so often again the next one.
    Leaders(u32),
    /// A job is called off, and some of its machines hang from then on.
    HangAtCancel {
        job: usize,
        machines: usize,
    },
    /// A job is called off at the moment at which its last task ends, and asked for everywhere.
    CancelAtEnd(usize),
    /// Submissions of jobs that are known come once more, and such as can never run.
    Odd,
    /// This part of all transactions, in percent, is carried out at once, and the answer lost.
    LostAnswers(u32),
    /// This part of direct commands is carried out 2 to 16 s late, once.
    LateCommands(u32),
    /// Copies of this part of reports reach every controller as the next leader begins.
    ForNext(u32),
    /// Users ask everywhere right after each answer, or cease to.
    CloseLooks,
    /// The leader takes its key for gone, though it stands.
    Depose,
    /// A controller's watch is late by so much.
    Lag {
        node: usize,
        ms: u64,
    },
    /// A job is called off everywhere as the state service refuses the leader, and a second later everybody.
    CancelAsRefused(usize),
}

#[derive(Clone, Debug)]
struct Step {
    fault: Fault,
    job: Option<(u32, f64, u64, JobKind)>,
    cancel: Option<usize>,
    then_ms: u64,
}

fn any_step() -> impl Strategy<Value = Step> {
    let node = 0..3usize;
    let link = prop_oneof![
        Just(Link::Refused),
        Just(Link::AnswersLost),
        Just(Link::Held),
        Just(Link::WritesHeld)
    ];
    let fault = prop_oneof![
        2 => (node.clone(), 50..6000u64).prop_map(|(node, away_ms)| Fault::End { node, away_ms }),
        1 => Just(Fault::EndAll),
        2 => node.clone().prop_map(Fault::Freeze),
        3 => node.clone().prop_map(Fault::CutOff),
        1 => (node.clone(), link).prop_map(|(n, l)| Fault::State(n, l)),
        2 => (node.clone(), 1..4usize).prop_map(|(node, every)| Fault::Unheard { node, every }),
        1 => (0..12usize).prop_map(Fault::Hang),
        1 => (0..12usize).prop_map(Fault::Die),
        2 => node.clone().prop_map(Fault::MoveAll),
        1 => Just(Fault::HoldCommands),
        1 => Just(Fault::Cloud),
        2 => (0..60u32).prop_map(Fault::LateWrites),
        1 => (1..30u64).prop_map(Fault::Copies),
        2 => (1..4usize).prop_map(|every| Fault::PartitionInbound { every }),
        1 => (0..12usize, any::<bool>())
            .prop_map(|(machine, from_one)| Fault::Reboot { machine, from_one }),
        1 => node.clone().prop_map(Fault::Alone),
        1 => Just(Fault::RefuseAll),
        1 => Just(Fault::Lose),
        1 => Just(Fault::RollBack),
        3 => Just(Fault::Calm),
        1 => (1..4usize).prop_map(|every| Fault::PartitionOutbound { every }),
        1 => Just(Fault::Outage),
        2 => (100..6000u64).prop_map(Fault::RefusedThenOutage),
        1 => (50..1500u64).prop_map(Fault::SlowStore),
        1 => (2..6u32).prop_map(Fault::Leaders),
        2 => (0..20usize, 1..4usize)
            .prop_map(|(job, machines)| Fault::HangAtCancel { job, machines }),
        2 => (0..20usize).prop_map(Fault::CancelAtEnd),
        1 => Just(Fault::Odd),
        2 => (5..70u32).prop_map(Fault::LostAnswers),
        2 => (5..70u32).prop_map(Fault::LateCommands),
        2 => (5..70u32).prop_map(Fault::ForNext),
        2 => Just(Fault::CloseLooks),
        1 => Just(Fault::Depose),
        2 => (node.clone(), 100..3000u64).prop_map(|(node, ms)| Fault::Lag { node, ms }),
        2 => (0..20usize).prop_map(Fault::CancelAsRefused),
    ];
    let kind = prop_oneof![3 => Just(JobKind::Array), 1 => Just(JobKind::Service)];
    let job = (1..6u32, 1..4u32, 1..14u64, kind).prop_map(|(n, c, s, k)| (n, f64::from(c), s, k));
    (
        fault,
        proptest::option::of(job),
        proptest::option::weighted(0.2, 0..20usize),
        50..4000u64,
    )
        .prop_map(|(fault, job, cancel, then_ms)| Step {
            fault,
            job,
            cancel,
            then_ms,
        })
}

fn inject(
    simulation: &mut Simulation,
    fault: &Fault,
    backup: Option<&Backup>,
    accepted: &[(String, JobKind)],
    wanted: &mut Vec<String>,
) {
    match fault {
        Fault::PartitionOutbound { every } => {
            let some = simulation.workers.values_mut().step_by(*every);
            some.for_each(|m| m.outbound_partitioned = !m.outbound_partitioned);
        }
        Fault::Outage => simulation.set_store_outage(!simulation.faults.store_outage),
        Fault::RefusedThenOutage(ms) => {
            if let Some(leader) = simulation.leader() {
                simulation.nodes[leader].state = Link::Refused;
            }
            simulation.run(*ms as f64 / 1000.0);
            simulation.set_store_outage(true);
        }
        Fault::LostAnswers(percent) => {
            simulation.faults.lost_answer_share = f64::from(*percent) / 100.0
        }
        Fault::LateCommands(percent) => {
            simulation.faults.late_command_share = f64::from(*percent) / 100.0
        }
        Fault::ForNext(percent) => {
            simulation.faults.replayed_report_share = f64::from(*percent) / 100.0
        }
        Fault::CloseLooks => simulation.query_after_answers = !simulation.query_after_answers,
        Fault::Depose => {
            if let Some(leader) = simulation.leader() {
                simulation.depose(leader);
            }
        }
        Fault::Lag { node, ms } => {
            simulation.nodes[*node].watch_delayed = true;
            simulation.run(*ms as f64 / 1000.0);
            simulation.nodes[*node].watch_delayed = false;
        }
        Fault::CancelAsRefused(job) => {
            if let Some((id, _)) = accepted.get(*job) {
                if let Some(leader) = simulation.leader() {
                    simulation.nodes[leader].state = Link::Refused;
                }
                (0..3).for_each(|at| simulation.cancel_without_waiting(at, id));
                wanted.push(id.clone());
                simulation.run(1.0);
                simulation.set_store_outage(true);
            }
        }
        Fault::SlowStore(ms) => simulation.faults.store_delay = Duration::from_millis(*ms),
        Fault::Leaders(n) => {
            for _ in 0..*n {
                if let Some(leader) = simulation.leader() {
                    simulation.kill(leader, Duration::from_millis(300));
                }
                simulation.run(4.5);
            }
        }
        Fault::HangAtCancel { job, machines } => {
            if let Some((id, _)) = accepted.get(*job) {
                let places = simulation.places(id).into_iter().take(*machines);
                for (m, _) in places.collect::<Vec<_>>() {
                    simulation.workers.get_mut(&m).unwrap().hung = true;
                }
                let at = simulation.random(3);
                simulation.cancel_without_waiting(at, id);
                wanted.push(id.clone());
            }
        }
        Fault::CancelAtEnd(job) => {
            if let Some((id, JobKind::Array)) = accepted.get(*job) {
                // Until its last task has ended on its machine, which nobody has been told yet.
                for _ in 0..200 {
                    if simulation.all_completed(id) {
                        break;
                    }
                    simulation.tick();
                }
                for at in 0..3 {
                    simulation.cancel_without_waiting(at, id);
                }
                for at in 0..3 {
                    simulation.show(at, id);
                }
            }
        }
        Fault::Odd => {
            for n in 0..3 {
                if let Some((id, _)) = accepted.get(simulation.random(accepted.len().max(1))) {
                    let mut other = sample(id, 7, 2.0, 1);
                    other.team = "nobody".into();
                    let status = simulation.submit(n, &other);
                    let known =
                        matches!(status, 0 | 200 | 503) || simulation.checker.data_lost_for_good;
                    assert!(known, "{id}: a repetition is answered with {status}");
                }
                let mut never = sample("wk-900000", 1, 99.0, 1);
                never.zone = Some("a".into());
                let status = simulation.submit(n, &never);
                assert!(
                    !matches!(status, 200 | 201),
                    "what can never run is accepted"
                );
            }
        }
        Fault::End { node, away_ms } => simulation.kill(*node, Duration::from_millis(*away_ms)),
        Fault::EndAll => (0..3).for_each(|n| simulation.kill(n, Duration::from_secs(2))),
        Fault::Freeze(n) => simulation.nodes[*n].paused = !simulation.nodes[*n].paused,
        Fault::CutOff(n) => {
            simulation.nodes[*n].peers_reachable = !simulation.nodes[*n].peers_reachable
        }
        Fault::State(n, link) => simulation.nodes[*n].state = *link,
        Fault::Unheard { node, every } => {
            for m in simulation.workers.values_mut().step_by(*every) {
                m.partitioned_from.insert(*node);
            }
        }
        Fault::Hang(n) => {
            if let Some(m) = simulation.workers.values_mut().nth(*n) {
                m.hung = !m.hung;
            }
        }
        Fault::Die(n) => {
            let id = simulation.workers.keys().nth(*n).cloned();
            if let Some(m) = id.and_then(|id| simulation.workers.remove(&id)) {
                *simulation.capacity.entry((m.kind, m.spot)).or_default() += 1;
            }
        }
        Fault::MoveAll(n) => simulation.workers.values_mut().for_each(|m| m.node = *n),
        Fault::HoldCommands => simulation.faults.hold_commands = !simulation.faults.hold_commands,
        Fault::Cloud => simulation.faults.cloud_down = !simulation.faults.cloud_down,
        Fault::LateWrites(percent) => {
            simulation.faults.late_write_share = f64::from(*percent) / 100.0
        }
        Fault::Copies(s) => simulation.faults.duplicate_delay = Duration::from_secs(*s),
        Fault::PartitionInbound { every } => {
            let some = simulation.workers.values_mut().step_by(*every);
            some.for_each(|m| m.inbound_partitioned = !m.inbound_partitioned);
        }
        Fault::Reboot { machine, from_one } => {
            if let Some(id) = simulation.workers.keys().nth(*machine).cloned() {
                simulation.reboot(&id, *from_one);
            }
        }
        Fault::Alone(n) => {
            (
                simulation.nodes[*n].state,
                simulation.nodes[*n].peers_reachable,
            ) = (Link::Refused, false)
        }
        Fault::RefuseAll => {
            simulation.set_store_links(Link::Refused);
        }
        Fault::Lose | Fault::RollBack => {
            if simulation.faults.store_outage {
                simulation.set_store_outage(false);
            }
            // Each has seen all there is, and remembers it from then on.
            for n in &mut simulation.nodes {
                (n.state, n.peers_reachable, n.paused) = (Link::Good, true, false);
            }
            simulation.release();
            simulation.run(0.5);
            // A service that is restored is away for a moment.
            simulation.set_store_links(Link::Refused);
            simulation.run(1.3);
            simulation.set_store_links(Link::Good);
            match backup {
                Some(backup) if matches!(fault, Fault::RollBack) => simulation.restore(backup),
                _ if matches!(fault, Fault::Lose) => simulation.lose_state(),
                _ => {}
            }
        }
        Fault::Calm => heal(simulation),
    }
}

fn heal(simulation: &mut Simulation) {
    if simulation.faults.store_outage {
        simulation.set_store_outage(false);
    }
    simulation.faults.store_delay = Duration::ZERO;
    for n in &mut simulation.nodes {
        (n.state, n.peers_reachable, n.paused) = (Link::Good, true, false);
    }
    for m in simulation.workers.values_mut() {
        m.partitioned_from.clear();
        (m.hung, m.inbound_partitioned, m.outbound_partitioned) = (false, false, false);
    }
    (
        simulation.faults.hold_commands,
        simulation.faults.cloud_down,
    ) = (false, false);
    (
        simulation.faults.late_write_share,
        simulation.faults.duplicate_delay,
    ) = (0.0, Duration::ZERO);
    (
        simulation.faults.lost_answer_share,
        simulation.faults.late_command_share,
        simulation.faults.replayed_report_share,
    ) = (0.0, 0.0, 0.0);
    simulation.query_after_answers = false;
    simulation.release();
}

fn run_schedule(seed: u64, steps: &[Step]) {
    let mut simulation =
        Simulation::with_policy(seed, Policy::with("history", "delegate = true").unwrap());
    simulation.add_machines("small", 6);
    simulation.until(10.0, "a leader", |simulation| simulation.leader().is_some());
    simulation.run(2.0);
    let mut accepted: Vec<(String, JobKind)> = Vec::new();
    let mut services: Vec<String> = Vec::new();
    let mut backup = None;
    let mut wanted: Vec<String> = Vec::new();
    let fetches = seed % 2 * (seed / 2 % 3);
    simulation.image_fetch_time = Duration::from_millis(fetches * 400);
    for (n, e) in steps.iter().enumerate() {
        inject(
            &mut simulation,
            &e.fault,
            backup.as_ref(),
            &accepted,
            &mut wanted,
        );
        // Like a submission, a cancellation is repeated until it is answered.
        wanted.retain(|id| simulation.final_answer(id).is_none());
        for id in &wanted {
            simulation.cancel_without_waiting(n % 3, id);
        }
        if matches!(e.fault, Fault::RollBack | Fault::Calm) {
            backup = Some(simulation.backup());
        }
        if let Some((tasks, cpus, seconds, kind)) = e.job {
            let id = format!("wk-{n:06}");
            let mut spec = sample(&id, tasks, cpus, seconds);
            spec.job_kind = kind;
            spec.spot = n % 2 == 0;
            (spec.one_zone, spec.spread) = (n % 5 == 1, n % 5 == 3);
            if kind == JobKind::Service {
                services.push(id.clone());
            }
            if matches!(simulation.submit(n % 3, &spec), 200 | 201) {
                accepted.push((id, kind));
            }
        }
        if let Some(k) = e.cancel.filter(|k| *k < accepted.len()) {
            let id = accepted[k].0.clone();
            simulation.cancel(n % 3, &id);
            wanted.push(id);
        }
        simulation.run(e.then_ms as f64 / 1000.0);
    }
    // Peace: whatever was accepted is known to all, ends if it can, and is gone if it was cancelled.
    heal(&mut simulation);
    let calm_since = simulation.now;
    simulation.run(15.0);
    if simulation.checker.data_lost_for_good {
        // Nobody remembers what was accepted; that nothing ran twice, all the same, was checked.
        simulation.run(30.0);
        return;
    }
    if simulation.checker.survivors.is_empty() {
        // What workers show of a store that nobody remembers is for an operator to decide on.
        for _ in 0..8 {
            simulation.run(5.0);
            for n in 0..3 {
                simulation.settle(n);
            }
        }
    }
    simulation.until(90.0, "the store is whole", Simulation::store_complete);
    // Each question about an accepted job is answered again 75 s after the last fault at the latest,
    // unless the store has lost what only its workers' leases can prove.
    for (n, (id, _)) in accepted.iter().enumerate() {
        let answered = |simulation: &mut Simulation| simulation.show(n % 3, id).0 == 200;
        while !answered(&mut simulation) {
            let late = simulation.now > calm_since + Duration::from_secs(75);
            assert!(!late, "{id}: no question is answered for 75 s");
            simulation.run(1.0);
        }
    }
    for n in 0..3 {
        assert_ne!(
            simulation.show(n, "wk-999999").0,
            200,
            "wk-999999 was invented"
        );
    }
    // Replicas of a job whose acceptance nobody heard of would hold their team's limit for ever.
    for id in &services {
        if simulation.show(1, id).1.is_some() {
            // Leaders that find all machines gone each resign once.
            let mut tries = 0;
            while simulation.cancel(1, id).1 != Some(JobState::Cancelled) {
                tries += 1;
                assert!(tries < 40, "{id} cannot be cancelled");
                simulation.run(1.0);
            }
        }
    }
    for (id, kind) in &accepted {
        match simulation.show(0, id) {
            (200, Some(JobState::Done | JobState::Cancelled)) => {}
            (200, state) if *kind == JobKind::Service => panic!("{id} is said to be {state:?}"),
            (200, _) => simulation.until_done(id, 200.0),
            (status, _) => panic!("{id} is answered with {status}"),
        }
    }
}

#[test]
fn random_schedules_break_no_rule() {
    let cases = std::env::var("HISTORIES").ok().and_then(|n| n.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(150),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let mut seed = [0; 32];
    let other = std::env::var("HISTORY_SEED")
        .ok()
        .and_then(|n| n.parse().ok());
    seed[..8].copy_from_slice(&other.unwrap_or(0u64).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let schedules = (any::<u64>(), proptest::collection::vec(any_step(), 1..14));
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&schedules, |(seed, steps)| {
        run_schedule(seed, &steps);
        Ok(())
    });
    if let Err(e) = outcome {
        panic!("{e}");
    }
}

/// The checker finds what follows when a guard is taken out, by the rule that it keeps.
#[test]
fn checker_detects_each_disabled_guard() {
    const FAULTS: [(Safeguard, &str, u8); 10] = [
        (Safeguard::RecoveryWait, " and on ", 0),
        (Safeguard::TeamLimit, "team t uses", 0),
        (Safeguard::SpotEligibility, "is on a spot machine", 0),
        (Safeguard::StopEndedJobs, "of a cancelled job is on", 0),
        (Safeguard::DurableAcceptance, "was forgotten", 6),
        (Safeguard::UnknownJob, "was invented", 0),
        (Safeguard::ArrayCompletion, "is not done", 0),
        (Safeguard::DurableCancellation, "said to be", 6),
        (Safeguard::UniqueTerm, "two leaderships have term", 0),
        (Safeguard::FreshRead, "was forgotten", 0),
    ];
    for (guard, rule, seed) in FAULTS {
        // Each with a seed that finds it early.
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let mut runner = TestRunner::new_with_rng(Config::default(), rng);
        let schedules = (any::<u64>(), proptest::collection::vec(any_step(), 1..24));
        let found = (0..3000).find_map(|n| {
            let (seed, steps) = schedules.new_tree(&mut runner).ok()?.current();
            let said = failure_without(guard, || run_schedule(seed, &steps))?;
            said.contains(rule).then_some((n, said))
        });
        let (n, said) = found.unwrap_or_else(|| panic!("{guard:?} is out, and nothing is found"));
        println!("{guard:?}: history {n}: {said}");
    }
}

const SHORT: (u32, f64, u64, JobKind) = (1, 1.0, 1, JobKind::Array);

fn step(fault: Fault, job: Option<(u32, f64, u64, JobKind)>, then_ms: u64) -> Step {
    Step {
        fault,
        job,
        cancel: None,
        then_ms,
    }
}

/// Found by these schedules: all controllers ended, their store was lost a moment after they were back,
/// and was then rolled back to what it held while it was being rebuilt.
#[test]
fn store_rolled_back_into_rebuild_is_rebuilt() {
    crate::core::simulation::enable_log();
    let step = |fault, job: bool, then_ms| step(fault, job.then_some(SHORT), then_ms);
    run_schedule(
        3401632716118953730,
        &[
            step(Fault::Unheard { node: 0, every: 1 }, false, 275),
            step(Fault::EndAll, false, 2526),
            step(Fault::Lose, false, 50),
            step(Fault::Cloud, false, 3225),
            step(Fault::State(0, Link::AnswersLost), true, 2875),
            step(Fault::Freeze(0), true, 1925),
            step(Fault::Freeze(2), false, 3926),
            step(Fault::RollBack, false, 2875),
            step(Fault::Freeze(0), false, 76),
            step(Fault::RollBack, true, 50),
        ],
    );
}

/// Found by these schedules: the store lost its data when one controller was away and another had just begun.
#[test]
fn store_lost_during_restarts_is_rebuilt() {
    crate::core::simulation::enable_log();
    let end = |node, away_ms| Fault::End { node, away_ms };
    run_schedule(
        328329404657090147,
        &[
            step(end(2, 5551), None, 2075),
            step(end(0, 50), None, 2526),
            step(Fault::Lose, None, 50),
        ],
    );
}

/// The store is lost and rolled back within seconds, a leader between the two.
pub fn store_lost_twice() {
    run_schedule(
        0,
        &[
            step(Fault::Freeze(0), None, 50),
            step(Fault::RefusedThenOutage(2625), None, 50),
            step(Fault::RollBack, None, 50),
            step(Fault::Lose, None, 2625),
            step(Fault::RollBack, None, 50),
        ],
    );
}

/// Found by these schedules: the store was lost and, before it was named again, rolled back to what it had held.
#[test]
fn store_rolled_back_right_after_loss_is_rebuilt() {
    crate::core::simulation::enable_log();
    run_schedule(
        0,
        &[
            step(Fault::CutOff(0), None, 2676),
            step(Fault::Calm, None, 1975),
            step(Fault::Calm, Some((1, 1.0, 1, JobKind::Service)), 3026),
            step(Fault::Lag { node: 0, ms: 1576 }, None, 975),
            step(Fault::Freeze(0), None, 2475),
            step(Fault::Lose, Some(SHORT), 425),
            step(Fault::RollBack, None, 50),
        ],
    );
}
