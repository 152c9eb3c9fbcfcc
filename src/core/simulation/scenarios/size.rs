//! Scenarios with 6,000 machines on one controller, one and a half times as many as the largest site has.

use super::{eight_machines, unlimited_job};
use crate::core::simulation::Simulation;
use crate::core::simulation::{SETUP, settings};
use crate::core::store::cache::{JobValue, MachineValue, PageValue, ResidualTasks};
use crate::core::workers::commands::MAX_DIRECT_CALLS;
use crate::core::{Command, Core, Effect, Now, StoreList, Ticket};
use crate::job::{JobOutcome, MachineId, Resources, sample};
use crate::peer;
use crate::peer::heartbeat_batch::{
    self, HeartbeatBatchResponse, RelayedHeartbeat, RelayedOutcome, RelayedResponse,
};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::wire::{Heartbeat, TaskState, TaskStatus, WatchEvent};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

const MACHINES: usize = 6000;
/// Number of machines that send heartbeats; the others answer only probes.
const RESPONSIVE: usize = 60;
/// Maximum number of sockets of a controller at a site of this size.
const SOCKETS: usize = 8000;
/// Memory limit of a controller at a site of this size, in MB.
const MEMORY_MB: f64 = 256.0;
/// Number of tasks on each machine, as in a large installation.
const TASKS_PER_MACHINE: usize = 19;

fn policy() -> Arc<Policy> {
    Arc::new(Policy::parse("size", "delegate = true\nidle_keep = 600").unwrap())
}

fn with_large_limits(settings: Settings) -> Arc<Settings> {
    Arc::new(Settings {
        max_sockets: SOCKETS,
        memory_mb: MEMORY_MB,
        ..settings
    })
}

fn machine_id(number: usize) -> MachineId {
    format!("i-{number:06}").into()
}

fn heartbeat(number: usize) -> Box<Heartbeat> {
    let status = |index| TaskStatus {
        task: format!("wk-{number:06}/{index}"),
        attempt: 1,
        state: TaskState::Running,
        cause: None,
        checkpointed: None,
    };
    Box::new(Heartbeat {
        machine: machine_id(number),
        addr: "10.0.0.1:9000".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence: 1,
        fencing_token: 1,
        reclaim_in_s: None,
        tasks: (0..TASKS_PER_MACHINE).map(status).collect(),
    })
}

/// Returns a controller that has read a store without a leader.
fn follower_without_leader(settings: Arc<Settings>) -> (Core, Now) {
    let now = Now {
        mono: Instant::now(),
        wall: SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000),
    };
    let mut core = Core::new(settings, policy(), 1, now);
    let (list, revision) = (StoreList::default(), 1);
    core.step(now, vec![Command::StoreListed { list, revision }]);
    (core, now)
}

/// Delivers heartbeats of `count` machines in one step. Returns the ticket, status and `Retry-After` of each immediate
/// response.
fn receive_heartbeats(core: &mut Core, now: Now, count: usize) -> Vec<(Ticket, u16, Option<u32>)> {
    let heartbeat = |n: usize| Command::Heartbeat {
        ticket: n as Ticket + 1,
        heartbeat: heartbeat(n),
    };
    let effects = core.step(now, (0..count).map(heartbeat).collect());
    let answered = effects.into_iter().filter_map(|effect| match effect {
        Effect::Response { ticket, response } => {
            Some((ticket, response.status, response.retry_after))
        }
        _ => None,
    });
    answered.collect()
}

#[test]
fn heartbeats_of_6000_machines_wait_for_next_leader() {
    let (mut core, now) = follower_without_leader(with_large_limits(settings("n0", SETUP)));
    assert_eq!(receive_heartbeats(&mut core, now, MACHINES), []);
    assert_eq!(core.relay.waiting(), MACHINES);
    // Heartbeats beyond the limit in the settings are refused at once, with a time after which to retry.
    let limited = Settings {
        max_sockets: 2000,
        ..settings("n0", SETUP)
    };
    let (mut core, now) = follower_without_leader(Arc::new(limited));
    let refused = receive_heartbeats(&mut core, now, MACHINES);
    assert_eq!(
        (core.relay.waiting(), refused.len()),
        (2000, MACHINES - 2000)
    );
    let busy = |(_, status, retry): &(Ticket, u16, Option<u32>)| *status == 503 && retry.is_some();
    assert!(refused.iter().all(busy));
}

/// Returns a simulation with [`MACHINES`] running machines, all recorded in the store as possible holders of tasks.
fn with_recorded_machines(policy: Policy) -> Simulation {
    let mut simulation = Simulation::with_policy(61, policy);
    simulation.capacity.clear();
    let zone = |n: usize| ["a", "b"][n % 2];
    let ids: Vec<MachineId> = (0..MACHINES)
        .map(|n| simulation.add_machine("small", zone(n)))
        .collect();
    for (n, page) in ids.chunks(100).enumerate() {
        let value = |id: &MachineId| MachineValue {
            addr: "10.0.0.1:9000".into(),
            machine_type: "small".into(),
            zone: simulation.workers[id].zone.clone(),
            spot: false,
        };
        let machines: BTreeMap<_, _> = page.iter().map(|id| (id.clone(), value(id))).collect();
        let page = serde_json::to_value(PageValue { machines }).unwrap();
        simulation.external_put(&format!("burlusher/p/{n}"), page);
    }
    for node in &mut simulation.nodes {
        node.core.settings = with_large_limits((*node.core.settings).clone());
    }
    simulation
}

/// A new leader has to probe nearly all machines, as they send no heartbeats. A few do send heartbeats, because a
/// leader that receives none at all would step down.
#[test]
fn new_leader_probes_6000_machines_without_heartbeats() {
    let mut simulation = with_recorded_machines(Policy::parse("size", "delegate = false").unwrap());
    let unreachable = simulation.workers.values_mut().skip(RESPONSIVE);
    unreachable.for_each(|m| m.outbound_partitioned = true);
    simulation.run_until(10.0, "a leader", |simulation| simulation.leader().is_some());
    let leader = simulation.leader().unwrap();
    let unresolved = |simulation: &Simulation| {
        simulation.nodes[leader]
            .core
            .leader
            .as_ref()
            .unwrap()
            .recovery
            .unresolved()
    };
    let mut rounds = 0;
    while unresolved(&simulation) > 0 {
        let in_flight = simulation.nodes[leader]
            .core
            .leader
            .as_ref()
            .unwrap()
            .direct_calls_in_flight;
        assert!(in_flight <= MAX_DIRECT_CALLS);
        simulation.tick();
        rounds += 1;
        assert!(
            rounds < 200,
            "{} machines are still unresolved",
            unresolved(&simulation)
        );
    }
    assert!(
        rounds <= MACHINES.div_ceil(MAX_DIRECT_CALLS) + 5,
        "{rounds}"
    );
    let calls = simulation.nodes[leader].direct_calls as usize;
    assert!(
        (MACHINES - RESPONSIVE..=MACHINES).contains(&calls),
        "{calls}"
    );
}

/// Restarts all controllers and sends all workers' heartbeats to one of them, which becomes the leader or not.
fn restart_all_controllers_under_heartbeats(followed_by_leader: bool) {
    let mut simulation = with_recorded_machines(Policy::parse("size", "delegate = true").unwrap());
    simulation.run_until(10.0, "a leader", |simulation| simulation.leader().is_some());
    simulation.run(2.0);
    for node in 0..3 {
        simulation.kill(node, Duration::from_millis(500));
    }
    simulation.run(0.55);
    for node in &mut simulation.nodes {
        node.core.settings = with_large_limits((*node.core.settings).clone());
    }
    let now = simulation.now;
    let later = now + Duration::from_secs(20);
    let delayed_nodes = if followed_by_leader { 1..3 } else { 0..1 };
    for node in &mut simulation.nodes[delayed_nodes] {
        node.core.candidacy.delay_until(later);
    }
    for m in simulation.workers.values_mut() {
        (m.node, m.pending_heartbeat, m.next_heartbeat) = (0, None, now);
    }
    simulation.run(0.1);
    assert_eq!(simulation.nodes[0].core.relay.waiting(), MACHINES);
    simulation.run_until(10.0, "a leader", |simulation| simulation.leader().is_some());
    let leader = simulation.leader().unwrap();
    assert_eq!(leader == 0, followed_by_leader);
    simulation.run_until(2.0, "all machines are known", |simulation| {
        let leader_state = simulation.nodes[leader].core.leader.as_ref();
        leader_state.is_some_and(|l| l.recovery.is_complete())
    });
    let at_other_nodes = simulation.workers.values().filter(|m| m.node != 0).count();
    // Some workers are referred to other controllers to balance the load.
    assert!(
        at_other_nodes <= MACHINES / 5,
        "{at_other_nodes} workers were referred to other controllers"
    );
}

#[test]
fn next_leader_answers_6000_heartbeats_after_restart_of_all_controllers() {
    restart_all_controllers_under_heartbeats(true);
}

#[test]
fn follower_relays_6000_heartbeats_after_restart_of_all_controllers() {
    restart_all_controllers_under_heartbeats(false);
}

/// Returns the leader's response to a batch, without commands for any machine.
fn empty_response(batch: &heartbeat_batch::HeartbeatBatch) -> HeartbeatBatchResponse {
    let response = |r: &RelayedHeartbeat| RelayedResponse {
        id: r.id,
        outcome: RelayedOutcome::Commands {
            fencing_token: 1 << 20,
            commands: Vec::new(),
            cacheable: true,
        },
    };
    HeartbeatBatchResponse {
        number: batch.number,
        term: 1,
        grant: Duration::from_secs(2),
        responses: batch.heartbeats.iter().map(response).collect(),
        ..HeartbeatBatchResponse::default()
    }
}

#[test]
fn follower_relays_6000_waiting_heartbeats_within_one_second() {
    let (mut core, mut now) = follower_without_leader(with_large_limits(settings("n0", SETUP)));
    let started_at = now.mono;
    receive_heartbeats(&mut core, now, MACHINES);
    let leader = serde_json::json!({"name": "n1", "nonce": 2, "lease": 3});
    let leader_change = WatchEvent {
        put: Some("burlusher/leader".into()),
        value: leader,
        version: 2,
        delete: None,
        lease: None,
    };
    let mut commands = vec![Command::StoreChanged {
        events: vec![leader_change],
        revision: 2,
    }];
    let (mut frames, mut answered) = (0, 0);
    while answered < MACHINES {
        for effect in core.step(now, std::mem::take(&mut commands)) {
            match effect {
                Effect::HeartbeatBatch { number, frame, .. } => {
                    let (_, body) = peer::read_frame(&mut frame.as_slice()).unwrap();
                    let response = empty_response(&heartbeat_batch::decode_batch(&body).unwrap());
                    let response = Some(Box::new(response));
                    commands.push(Command::HeartbeatBatchResponse { number, response });
                    frames += 1;
                }
                Effect::Response { response, .. } => {
                    assert_eq!(response.status, 200);
                    answered += 1;
                }
                _ => {}
            }
        }
        now.mono += Duration::from_millis(5);
        assert!(
            now.mono < started_at + Duration::from_secs(1),
            "only {answered} heartbeats answered within a second"
        );
    }
    println!("{frames} frames in {:?}", now.mono - started_at);
}

/// Residual tasks of the oldest of very many cancelled jobs count towards the team's limit as long as they may run.
#[test]
fn team_limit_holds_after_6000_later_cancellations() {
    let (mut simulation, leader) = eight_machines(62);
    for n in 1..=6 {
        let id = format!("wk-{n:06}");
        assert_eq!(simulation.submit(leader, &sample(&id, 1, 4.0, 100)), 201);
    }
    simulation.run(3.0);
    let (partitioned_machine, _) = simulation.placements("wk-000001")[0].clone();
    simulation.faults.cloud_down = true;
    simulation.partition_worker(&partitioned_machine);
    simulation.run(0.5);
    simulation.cancel_without_waiting(leader, "wk-000001");
    simulation.run(0.5);
    let cancelled_at = simulation.nodes[leader].core.now.wall;
    let cancelled_at = cancelled_at.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let other_cancellation = JobValue::Ended {
        end: JobOutcome::Cancelled,
        residual_tasks: Some(ResidualTasks {
            team: "u".into(),
            resources: Resources {
                cpus: 0.001,
                ..Resources::default()
            },
            tasks: 1,
            cancelled_ms: cancelled_at.as_millis() as u64 + 1,
        }),
    };
    let other_cancellation = serde_json::to_value(other_cancellation).unwrap();
    for n in 0..MACHINES {
        simulation.external_put(
            &format!("burlusher/j/wk-{:06}", 100_000 + n),
            other_cancellation.clone(),
        );
    }
    let leaderships = simulation.leadership_count();
    simulation.kill(leader, Duration::from_secs(1));
    simulation.run_until(15.0, "another leadership", |simulation| {
        simulation.leader().is_some() && simulation.leadership_count() > leaderships
    });
    let new_leader = simulation.leader().unwrap();
    assert_eq!(
        simulation.submit(new_leader, &sample("wk-000011", 1, 4.0, 5)),
        201
    );
    assert_eq!(
        simulation.submit(new_leader, &unlimited_job("wk-000012", 1, 1.0, 5)),
        201
    );
    assert!(
        !simulation.placements("wk-000001").is_empty(),
        "the partitioned machine no longer runs the cancelled task"
    );
    simulation.run(3.0);
    simulation.heal_worker_partitions();
    simulation.faults.cloud_down = false;
    simulation.run_until_done("wk-000011", 60.0);
}
