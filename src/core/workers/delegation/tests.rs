use super::probes::MAX_PROBES_PER_DELEGATE;
use super::*;
use crate::core::machines::machine::Machine;
use crate::core::simulation::Simulation;
use crate::core::workers::commands::MAX_COMMANDS;
use crate::peer::heartbeat_batch::AnsweredHeartbeat;
use crate::policy::Policy;
use crate::wire::TaskCommand;
use std::time::Duration;

const MACHINES: usize = 6000;

fn machine(number: usize) -> MachineId {
    format!("instance-0123456789abcdef-0123456-{number:06}").into()
}

fn delegate_with_revocations() -> Delegate {
    Delegate {
        issued: IssuedGrant::new(1, 0, Instant::now()),
        revocations: (0..MACHINES).map(|n| (machine(n), None)).collect(),
        reassignments: Vec::new(),
        has_delegations: true,
    }
}

/// A delegate acknowledges only the newest response that it has applied. Each response must therefore repeat all
/// revocations of the earlier ones, even if machines that come first by name are revoked in between.
#[test]
fn revocations_are_repeated_in_each_response_until_acknowledged() {
    let mut delegate = delegate_with_revocations();
    let first = delegate.revocations_for_frame(1);
    assert!(!first.is_empty() && first.len() < MACHINES);
    delegate.revocations.insert("a-comes-first".into(), None);
    assert_eq!(delegate.revocations_for_frame(2), first);
    let mut revoked = 0;
    for number in 2.. {
        let acknowledged =
            |_: &MachineId, first_sent: &mut Option<u64>| first_sent.is_some_and(|n| n < number);
        revoked += delegate.revocations.extract_if(.., acknowledged).count();
        let sent = delegate.revocations_for_frame(number);
        let first_sent = |id: &MachineId| delegate.revocations[id];
        assert!(sent.iter().all(|id| first_sent(id) == Some(number)));
        if sent.is_empty() {
            break;
        }
    }
    assert_eq!(revoked, MACHINES + 1);
}

/// The response is as large as it can become: it has as many commands as fit, with the longest ids, and one
/// machine's commands more, as the limit is checked before a response is added; revocations for all machines; and
/// the maximum number of probes.
#[test]
fn the_largest_batch_response_for_6000_workers_can_be_decoded() {
    let digits = "9".repeat(32);
    let command = TaskCommand::Stop {
        task: format!("wk-{digits}/99999"),
        attempt: u64::MAX,
        grace: 3.0,
    };
    let commands = vec![command; MAX_COMMANDS];
    let count = MAX_RESPONSE_BYTES / heartbeat_batch::response_size(&commands) + 2;
    let relayed_response = |id| RelayedResponse {
        id,
        outcome: RelayedOutcome::Commands {
            fencing_token: 1,
            commands: commands.clone(),
            cacheable: false,
        },
    };
    let response = HeartbeatBatchResponse {
        revoked: delegate_with_revocations().revocations_for_frame(1),
        responses: (0..count as u64).map(relayed_response).collect(),
        probes: (0..MAX_PROBES_PER_DELEGATE)
            .map(|n| (machine(n), "255.255.255.255:65535".into()))
            .collect(),
        ..HeartbeatBatchResponse::default()
    };
    let frame = heartbeat_batch::encode_batch_response(&response);
    let (_, body) = crate::peer::read_frame(&mut frame.as_slice()).unwrap();
    assert_eq!(
        heartbeat_batch::decode_batch_response(&body),
        Some(response)
    );
}

/// Returns a cluster of three controllers whose followers serve workers for the leader, and its leader.
fn delegating_cluster(seed: u64) -> (Simulation, usize) {
    let policy = Policy::parse("delegation", "delegate = true").unwrap();
    let mut simulation = Simulation::with_policy(seed, policy);
    simulation.capacity.clear();
    simulation.add_machines("small", 60);
    let leader = simulation.run_until_leader(4.0);
    simulation.run(5.0);
    (simulation, leader)
}

/// Returns a machine that the leader has delegated to the controller `delegate`.
fn delegated_machine(simulation: &Simulation, leader: usize, delegate: usize) -> MachineId {
    let name = format!("n{delegate}");
    let state = simulation.nodes[leader].core.leader.as_ref().unwrap();
    let mut machines = state.machines.values();
    let delegated = machines.find(|m| m.delegated_to.as_deref() == Some(&*name) && !m.revoked);
    delegated.unwrap().id.clone()
}

/// Delivers a batch of the controller `delegate` to the leader: it acknowledges the end of the machine's delegation, and
/// `skipped` batches before it are missing. Returns how long ago the leader then takes the worker's lease to have been
/// renewed.
fn acknowledge_revocation(
    simulation: &mut Simulation,
    leader: usize,
    delegate: usize,
    skipped: u64,
    answered: impl Fn(&Machine) -> Vec<AnsweredHeartbeat>,
) -> Duration {
    let machine = delegated_machine(simulation, leader, delegate);
    let name: Arc<str> = format!("n{delegate}").into();
    let core = &mut simulation.nodes[leader].core;
    let state = core.leader.as_mut().unwrap();
    state.revoke_delegation(&machine);
    let delegate = state.delegates.by_name.get_mut(&name).unwrap();
    let sent = delegate.issued.last_number;
    delegate.revocations.insert(machine.clone(), Some(sent));
    let record = state.machines.get_mut(&machine).unwrap();
    record.lease_renewed -= Duration::from_secs(5);
    let batch = HeartbeatBatch {
        from: name.to_string(),
        incarnation: delegate.issued.incarnation,
        number: sent + 1 + skipped,
        acknowledged: sent,
        term: state.term,
        answered: answered(record),
        ..HeartbeatBatch::default()
    };
    core.receive_batch(0, batch);
    let state = core.leader.as_ref().unwrap();
    let record = state.machines.get(&machine).unwrap();
    assert_eq!(record.delegated_to, None, "the delegation has ended");
    core.now.mono - record.lease_renewed
}

/// Guards against tasks that run twice: the leader ended a delegation before it read the answers in the batch that
/// acknowledged its end, and ignored them.
#[test]
fn answers_in_the_batch_that_acknowledges_a_revocation_renew_leases() {
    let (mut simulation, leader) = delegating_cluster(515);
    let age = Duration::from_millis(300);
    let answer = |machine: &Machine| {
        vec![AnsweredHeartbeat {
            machine: machine.id.clone(),
            incarnation: machine.incarnation,
            sequence: machine.sequence + 1,
            age,
        }]
    };
    let other = (leader + 1) % 3;
    let renewed = acknowledge_revocation(&mut simulation, leader, other, 0, answer);
    assert_eq!(renewed, age);
}

/// A controller of an earlier version does not report again what was in a lost batch. Guards against a leader that ends
/// delegations without knowing of the answers in it.
#[test]
fn a_missing_batch_counts_as_renewal_of_delegated_leases() {
    let (mut simulation, leader) = delegating_cluster(516);
    let other = (leader + 1) % 3;
    let no_answers = |_: &Machine| Vec::new();
    let renewed = acknowledge_revocation(&mut simulation, leader, other, 0, no_answers);
    assert!(renewed >= Duration::from_secs(5), "{renewed:?}");
    let renewed = acknowledge_revocation(&mut simulation, leader, other, 1, no_answers);
    assert_eq!(renewed, Duration::ZERO);
}
