use super::request::{TaskStatusHeader, name_size};
use super::*;
use crate::wire::{ExitCause, TaskState, TaskStatus};
use zerocopy::byteorder::little_endian::U16;

fn body(frame: &[u8]) -> Vec<u8> {
    crate::peer::read_frame(&mut &frame[..]).unwrap().1
}

/// Returns a batch with at least one entry in each list.
fn batch() -> HeartbeatBatch {
    let status = |state, why, saved| TaskStatus {
        task: "wk-000001/7".into(),
        attempt: u64::MAX - 3,
        state,
        cause: why,
        checkpointed: saved,
    };
    let heartbeat = Heartbeat {
        machine: "i-000001".into(),
        addr: "10.0.0.1:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 2,
        sequence: 99,
        fencing_token: 1 << 40,
        reclaim_in_s: Some(7.5),
        tasks: vec![
            status(TaskState::Running, None, None),
            status(TaskState::Exited, Some(ExitCause::Error), Some(false)),
        ],
    };
    HeartbeatBatch {
        from: "n1".into(),
        incarnation: 5,
        number: 6,
        acknowledged: 4,
        capabilities: 1,
        load: 300,
        pending_probes: 12,
        term: 9,
        served: vec!["i-000001".into()],
        unanswered_probes: vec!["i-000003".into()],
        answered: vec![AnsweredHeartbeat {
            machine: "i-000002".into(),
            incarnation: 1,
            sequence: 12,
            age: Duration::from_millis(250),
        }],
        heartbeats: vec![RelayedHeartbeat {
            id: 3,
            heartbeat: Box::new(heartbeat),
        }],
    }
}

/// Returns a response with at least one entry in each list.
fn response() -> HeartbeatBatchResponse {
    let command = |grace| TaskCommand::Stop {
        task: "wk-000001/7".into(),
        attempt: 4,
        grace,
    };
    HeartbeatBatchResponse {
        number: 6,
        term: 9,
        grant: Duration::from_millis(2400),
        refused: false,
        revoked: vec!["i-000002".into()],
        responses: vec![
            RelayedResponse {
                id: 3,
                outcome: RelayedOutcome::Commands {
                    fencing_token: 77,
                    commands: vec![command(1.5)],
                    cacheable: true,
                },
            },
            RelayedResponse {
                id: 4,
                outcome: RelayedOutcome::Refused {
                    status: 503,
                    retry_after: Some(30),
                },
            },
        ],
        probes: vec![("i-000009".into(), "10.0.0.9:9000".into())],
        reassignments: vec![("n2".into(), 20)],
        members: vec![MemberStatus {
            name: "n2".into(),
            capabilities: 1,
            load: 7,
            age: Duration::from_millis(300),
        }],
    }
}

#[test]
fn frames_round_trip_and_truncated_ones_are_rejected() {
    let batch = batch();
    let bytes = body(&encode_batch(&batch));
    let back = decode_batch(&bytes).unwrap();
    // `Heartbeat` does not implement `PartialEq`.
    assert_eq!(format!("{back:?}"), format!("{batch:?}"));
    assert!((0..bytes.len()).all(|cut| decode_batch(&bytes[..cut]).is_none()));
    let response = response();
    let bytes = body(&encode_batch_response(&response));
    assert_eq!(decode_batch_response(&bytes), Some(response));
    assert!((0..bytes.len()).all(|cut| decode_batch_response(&bytes[..cut]).is_none()));
}

/// The frames of `batch` and `response`, encoded by hand in the layout that earlier versions read.
const BATCH_FRAME: &str = "6c72756201060000eb0000000500000000000000060000000000000004000000000000000900000000000000010000002c0100000c0000000100000001000000010000000100000002006e310800692d3030303030310800692d30303030303301000000000000000c00000000000000fa0000000800692d30303030303203000000000000000200000000000000630000000000000000000000000100004c1d000002000000010800692d3030303030310d0031302e302e302e313a3930303002006738010061fcffffffffffffff02ff020b00776b2d3030303030312f37fcffffffffffffff0402000b00776b2d3030303030312f37";
const RESPONSE_FRAME: &str = "6c72756201070000b400000006000000000000000900000000000000600900000001000000020000000100000001000000010000000800692d30303030303203000000000000004d00000000000000c80001ffffffff01000000010400000000000000dc0500000b00776b2d3030303030312f3704000000000000000000000000000000f701001e000000000000000800692d3030303030390d0031302e302e302e393a393030301400000002006e3201000000070000002c01000002006e32";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn frames_have_the_bytes_that_earlier_versions_read() {
    assert_eq!(hex(&encode_batch(&batch())), BATCH_FRAME);
    assert_eq!(hex(&encode_batch_response(&response())), RESPONSE_FRAME);
}

/// Returns a machine name as long as those of some clouds.
fn machine(number: usize) -> MachineId {
    format!("instance-0123456789abcdef-0123456-{number:06}").into()
}

/// Returns as many of 6,000 machine names as fit into a list of names.
fn names() -> Vec<MachineId> {
    let mut names: Vec<MachineId> = (0..6000).map(machine).collect();
    names.truncate(count_fitting_names(&names));
    names
}

#[test]
fn computed_sizes_of_entries_match_the_encoded_frame() {
    let empty = body(&encode_batch(&HeartbeatBatch::default())).len();
    let batch = HeartbeatBatch {
        served: vec![machine(1)],
        answered: vec![AnsweredHeartbeat {
            machine: machine(2),
            incarnation: 1,
            sequence: 1,
            age: Duration::ZERO,
        }],
        ..HeartbeatBatch::default()
    };
    let size = name_size(&machine(1)) + answered_heartbeat_size(&machine(2));
    assert_eq!(body(&encode_batch(&batch)).len(), empty + size);
    let commands = vec![TaskCommand::Start {
        task: "wk-000001/7".into(),
        attempt: 4,
    }];
    let empty = body(&encode_batch_response(&HeartbeatBatchResponse::default())).len();
    let size = response_size(&commands);
    let response = HeartbeatBatchResponse {
        responses: vec![RelayedResponse {
            id: 1,
            outcome: RelayedOutcome::Commands {
                fencing_token: 1,
                commands,
                cacheable: false,
            },
        }],
        ..HeartbeatBatchResponse::default()
    };
    assert_eq!(body(&encode_batch_response(&response)).len(), empty + size);
}

#[test]
fn the_largest_frame_of_a_controller_with_6000_workers_can_be_decoded() {
    let answered = |number| AnsweredHeartbeat {
        machine: machine(number),
        incarnation: 1,
        sequence: u64::MAX,
        age: Duration::from_secs(1),
    };
    let max_answered = MAX_ANSWERED_BYTES / answered_heartbeat_size(&machine(0)) + 1;
    // A heartbeat in an HTTP request of the maximum size takes no more than that size in a frame.
    let status = TaskStatus {
        task: "wk-000001/7".into(),
        attempt: 1,
        state: TaskState::Running,
        cause: None,
        checkpointed: None,
    };
    let heartbeat = |tasks| RelayedHeartbeat {
        id: 1,
        heartbeat: Box::new(Heartbeat {
            machine: machine(1),
            addr: "10.0.0.1:9000".into(),
            machine_type: "g8".into(),
            zone: "a".into(),
            spot: false,
            incarnation: 1,
            sequence: 1,
            fencing_token: 1,
            reclaim_in_s: None,
            tasks: vec![status.clone(); tasks],
        }),
    };
    let status_bytes = size_of::<TaskStatusHeader>() + size_of::<U16>() + status.task.len();
    let batch = HeartbeatBatch {
        from: "n1".into(),
        served: names(),
        unanswered_probes: names(),
        answered: (0..max_answered).map(answered).collect(),
        heartbeats: vec![heartbeat(crate::http::MAX_BODY / status_bytes)],
        ..HeartbeatBatch::default()
    };
    assert!(batch.served.len() > 2000 && batch.answered.len() > 4000);
    let back = decode_batch(&body(&encode_batch(&batch))).unwrap();
    assert_eq!(back.answered, batch.answered);
}
