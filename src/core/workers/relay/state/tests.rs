use super::*;

const MACHINES: usize = 6000;

/// Returns a machine id of the length that some clouds use.
fn machine(number: usize) -> MachineId {
    format!("instance-0123456789abcdef-0123456-{number:06}").into()
}

/// Returns the relay of a controller that has just answered a heartbeat of each of `MACHINES` workers itself.
fn relay_with_served_workers(now: Instant) -> Relay {
    let mut relay = Relay::new(1);
    for number in 0..MACHINES {
        let worker = ServedWorker {
            incarnation: 1,
            sequence: 7,
            addr: "10.0.0.1:9000".into(),
            fencing_token: 1,
            last_heartbeat: now,
            cached_response: None,
        };
        relay.workers.insert(machine(number), worker);
        relay.unreported.insert(machine(number));
    }
    relay
}

#[test]
fn a_response_is_acknowledged_only_after_all_local_answers_are_reported() {
    let now = Instant::now();
    let mut relay = relay_with_served_workers(now);
    relay.last_response = 41;
    let first = relay.take_answered_for_frame(now);
    assert!(!first.is_empty() && first.len() < MACHINES);
    assert_eq!(
        relay.acknowledge(),
        0,
        "some answered heartbeats are not reported yet"
    );
    let second = relay.take_answered_for_frame(now);
    assert_eq!(first.len() + second.len(), MACHINES);
    assert_eq!(relay.acknowledge(), 41);
    relay.last_response = 42;
    assert!(relay.take_answered_for_frame(now).is_empty());
    assert_eq!(relay.acknowledge(), 42);
}

#[test]
fn unanswered_probes_are_reported_over_several_frames() {
    let mut relay = Relay::new(1);
    relay.probes.unanswered = (0..MACHINES).map(machine).collect();
    let mut reported = Vec::new();
    let mut frames = 0;
    while !relay.probes.unanswered.is_empty() {
        reported.extend(relay.probes.take_unanswered_for_frame());
        frames += 1;
    }
    assert_eq!(reported, (0..MACHINES).map(machine).collect::<Vec<_>>());
    assert_eq!(frames, 3);
}
