use super::*;

const MACHINES: usize = 6000;

/// A name as long as some clouds give.
fn machine(number: usize) -> MachineId {
    format!("instance-0123456789abcdef-0123456-{number:06}").into()
}

/// A controller that has just answered heartbeats of so many workers itself.
fn serving(now: Instant) -> Relay {
    let mut relay = Relay::new(1);
    for number in 0..MACHINES {
        let worker = ServedWorker {
            incarnation: 1,
            sequence: 7,
            addr: "10.0.0.1:9000".into(),
            fencing_token: 1,
            last_heartbeat: now,
            steady_response: None,
        };
        relay.workers.insert(machine(number), worker);
        relay.unreported.insert(machine(number));
    }
    relay
}

#[test]
fn an_answer_is_acknowledged_only_when_all_that_were_answered_here_are_told() {
    let now = Instant::now();
    let mut relay = serving(now);
    relay.last_answer = 41;
    let first = relay.take_answered_for_frame(now);
    assert!(!first.is_empty() && first.len() < MACHINES);
    assert_eq!(relay.acknowledge(), 0, "others have yet to be told");
    let second = relay.take_answered_for_frame(now);
    assert_eq!(first.len() + second.len(), MACHINES);
    assert_eq!(relay.acknowledge(), 41);
    relay.last_answer = 42;
    assert!(relay.take_answered_for_frame(now).is_empty());
    assert_eq!(relay.acknowledge(), 42);
}

#[test]
fn machines_without_an_answer_are_told_over_several_frames() {
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
