use super::*;
use std::time::Duration;

fn machine(name: &str) -> MachineId {
    name.into()
}

fn answer(sequence: u64, answered_at: Instant) -> LocalAnswer {
    LocalAnswer {
        incarnation: 1,
        sequence,
        answered_at,
    }
}

/// Guards against tasks that run twice after a lost batch: the answers in it were never reported, and the leader took
/// their workers' leases for expired one heartbeat too early.
#[test]
fn answers_in_a_lost_batch_are_reported_again() {
    let now = Instant::now();
    let later = now + Duration::from_secs(3);
    let mut answers = LocalAnswers::default();
    answers.record(&machine("a"), answer(1, now));
    answers.record(&machine("b"), answer(1, now));
    let lost = answers.take_frame();
    assert!(answers.take_frame().is_empty());
    answers.record(&machine("b"), answer(2, later));
    answers.put_back(lost);
    assert!(!answers.may_acknowledge());
    let again = answers.take_frame();
    // The newer answer of a machine is the one that counts.
    let expected = [("a", answer(1, now)), ("b", answer(2, later))];
    let expected = expected.map(|(name, answer)| (machine(name), answer));
    assert_eq!(again, ReportedAnswers::from(expected));
    assert!(answers.may_acknowledge());
}

/// A leader of an earlier version ignores answers in the batch that acknowledges the end of their delegation.
#[test]
fn a_revocation_is_acknowledged_in_a_later_batch_than_the_last_answer() {
    let now = Instant::now();
    let mut answers = LocalAnswers::default();
    answers.record(&machine("a"), answer(1, now));
    answers.record(&machine("b"), answer(1, now));
    answers.revoke(&[machine("a"), machine("not-answered")]);
    let batch = answers.take_frame();
    assert!(!answers.may_acknowledge(), "the batch may be lost");
    answers.put_back(batch);
    let batch = answers.take_frame();
    assert!(!answers.may_acknowledge(), "the batch may be lost");
    answers.confirm(&batch);
    // The response repeats the revocation, as it is not acknowledged yet.
    answers.revoke(&[machine("a")]);
    assert!(answers.may_acknowledge());
}
