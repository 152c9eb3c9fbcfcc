use super::*;
use crate::core::simulation::{SETUP, settings};
use crate::core::{Core, Now};
use crate::policy::Policy;
use std::sync::Arc;
use std::time::SystemTime;

const MACHINES: usize = 6000;
const GRANT: Duration = Duration::from_secs(2);

/// Returns a machine id of the length that some clouds use.
fn machine(number: usize) -> MachineId {
    format!("instance-0123456789abcdef-0123456-{number:06}").into()
}

fn answer(now: Instant) -> LocalAnswer {
    LocalAnswer {
        incarnation: 1,
        sequence: 7,
        answered_at: now,
    }
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
        relay.answers.record(&machine(number), answer(now));
    }
    relay
}

#[test]
fn a_response_is_acknowledged_only_after_all_local_answers_are_reported() {
    let now = Instant::now();
    let mut relay = relay_with_served_workers(now);
    relay.last_response = 41;
    let first = relay.answers.take_frame();
    assert!(!first.is_empty() && first.len() < MACHINES);
    assert_eq!(
        relay.acknowledge(),
        0,
        "some answered heartbeats are not reported yet"
    );
    let second = relay.answers.take_frame();
    assert_eq!(first.len() + second.len(), MACHINES);
    assert_eq!(relay.acknowledge(), 41);
    relay.last_response = 42;
    assert!(relay.answers.take_frame().is_empty());
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

fn grant(term: u64, expires_at: Instant) -> HeldGrant {
    HeldGrant { term, expires_at }
}

/// Guards against tasks that run twice: answers given just before the grant expired here were forgotten, while the
/// leader, which had extended the grant, went on taking the delegations as valid.
#[test]
fn answers_outlive_a_grant_that_is_renewed_late_in_the_same_term() {
    let now = Instant::now();
    let later = now + Duration::from_secs(2);
    for (term, kept) in [(3, true), (4, false)] {
        let mut relay = Relay::new(1);
        relay.renew_grant(grant(3, now), now - Duration::from_secs(1));
        relay.answers.record(&machine(0), answer(now));
        relay.renew_grant(grant(term, later), now + Duration::from_millis(1));
        assert_eq!(!relay.answers.take_frame().is_empty(), kept, "term {term}");
    }
}

#[test]
fn an_answer_is_reported_even_if_its_worker_has_left() {
    let now = Instant::now();
    let mut relay = Relay::new(1);
    relay.answers.record(&machine(0), answer(now));
    relay.workers.clear();
    let (batch, _) = relay.next_batch("n0", 1, Duration::from_secs(3), now);
    assert_eq!(batch.answered.len(), 1);
}

/// Returns a controller that follows the leader `n1` of term 3, whose grant is valid.
fn follower(now: Instant) -> Core {
    let clock = Now {
        mono: now,
        wall: SystemTime::UNIX_EPOCH,
    };
    let settings = Arc::new(settings("n0", SETUP));
    let policy = Arc::new(Policy::parse("relay", "delegate = true").unwrap());
    let mut core = Core::new(settings, policy, 1, clock);
    core.relay.renew_grant(grant(3, now + GRANT), now);
    core
}

/// Sends the next batch to the leader.
fn send_batch(core: &mut Core) -> HeartbeatBatch {
    let now = core.now.mono;
    let (batch, content) = (core.relay).next_batch("n0", 3, Duration::from_secs(3), now);
    core.relay.set_in_flight(BatchInFlight {
        number: batch.number,
        sent_at: now,
        leader: "n1".into(),
        content,
    });
    batch
}

fn respond(core: &mut Core, batch: &HeartbeatBatch, response: HeartbeatBatchResponse) {
    let response = HeartbeatBatchResponse {
        number: batch.number,
        ..response
    };
    core.batch_answered(batch.number, Some(Box::new(response)));
}

/// Guards against answers that are forgotten with a batch that got no response, or one that takes no note of it.
#[test]
fn answers_are_taken_back_whatever_fails() {
    let refused = HeartbeatBatchResponse {
        refused: true,
        ..HeartbeatBatchResponse::default()
    };
    let of_earlier_term = HeartbeatBatchResponse {
        term: 2,
        grant: GRANT,
        ..HeartbeatBatchResponse::default()
    };
    let without_grant = HeartbeatBatchResponse::default();
    let now = Instant::now();
    for response in [
        None,
        Some(refused),
        Some(of_earlier_term),
        Some(without_grant),
    ] {
        let mut core = follower(now);
        core.relay.answers.record(&machine(0), answer(now));
        let batch = send_batch(&mut core);
        assert_eq!(batch.answered.len(), 1);
        match response {
            Some(response) => respond(&mut core, &batch, response),
            None => core.batch_answered(batch.number, None),
        }
        assert_eq!(core.relay.answers.take_frame().len(), 1);
    }
}

/// A heartbeat is answered while the response that revokes its machine's delegation is on its way. A leader of an earlier
/// version ignores the answer if the same batch acknowledges the revocation.
#[test]
fn a_revocation_that_crosses_an_answer_is_acknowledged_a_batch_later() {
    let now = Instant::now();
    let mut core = follower(now);
    let revocation = HeartbeatBatchResponse {
        term: 3,
        grant: GRANT,
        revoked: vec![machine(0)],
        ..HeartbeatBatchResponse::default()
    };
    let first = send_batch(&mut core);
    core.relay.answers.record(&machine(0), answer(now));
    respond(&mut core, &first, revocation.clone());
    let second = send_batch(&mut core);
    assert_eq!((second.answered.len(), second.acknowledged), (1, 0));
    respond(&mut core, &second, revocation);
    let third = send_batch(&mut core);
    assert_eq!(
        (third.answered.len(), third.acknowledged),
        (0, second.number)
    );
}
