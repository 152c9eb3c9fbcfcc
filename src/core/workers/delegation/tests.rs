use super::probes::MAX_PROBES_PER_DELEGATE;
use super::*;
use crate::core::workers::commands::MAX_COMMANDS;
use crate::wire::TaskCommand;

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
