use super::*;
use crate::core::simulation::{SETUP, settings};

fn queued_heartbeat(number: u64, received: Instant) -> QueuedHeartbeat {
    let heartbeat = Heartbeat {
        machine: format!("i-{number:06}").into(),
        addr: "10.0.0.1:9000".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence: number,
        fencing_token: 1,
        reclaim_in_s: None,
        tasks: Vec::new(),
    };
    QueuedHeartbeat {
        ticket: Some(number),
        heartbeat: Box::new(heartbeat),
        received,
    }
}

fn tickets(heartbeats: impl IntoIterator<Item = QueuedHeartbeat>) -> Vec<u64> {
    heartbeats.into_iter().filter_map(|w| w.ticket).collect()
}

#[test]
fn queue_length_is_bounded_by_connections_and_by_memory() {
    let now = Instant::now();
    let filled = |settings: &Settings| {
        let mut queue = HeartbeatQueue::default();
        while queue.has_room(settings) {
            queue.push(queued_heartbeat(queue.len() as u64, now));
        }
        queue
    };
    let few_sockets = Settings {
        max_sockets: 300,
        memory_mb: 256.0,
        ..settings("n0", SETUP)
    };
    assert_eq!(filled(&few_sockets).len(), 300);
    let little_memory = Settings {
        max_sockets: 1_000_000,
        memory_mb: 32.0,
        ..settings("n0", SETUP)
    };
    let queue = filled(&little_memory);
    let memory = 32.0 * BYTES_PER_MB * MEMORY_SHARE;
    let used = queue.frame_bytes as f64 * MEMORY_PER_FRAME_BYTE;
    assert!((memory..memory * 1.01).contains(&used), "{used}");
}

#[test]
fn frames_take_the_oldest_first_and_requeued_heartbeats_keep_their_order() {
    let now = Instant::now();
    let mut queue = HeartbeatQueue::default();
    for number in 0..2000 {
        queue.push(queued_heartbeat(number, now));
    }
    assert!(queue.exceeds_a_frame());
    let first = queue.take_frame();
    let count = first.len() as u64;
    let size: usize = first
        .iter()
        .map(|w| heartbeat_batch::encoded_heartbeat_size(&w.heartbeat))
        .sum();
    assert!(
        size <= heartbeat_batch::TARGET_BODY_BYTES
            && size + 200 > heartbeat_batch::TARGET_BODY_BYTES,
        "{size}"
    );
    queue.put_back(first);
    let mut all = Vec::new();
    while !queue.is_empty() {
        all.extend(tickets(queue.take_frame()));
    }
    assert!(count < 2000);
    assert_eq!(all, (0..2000).collect::<Vec<_>>());
    assert_eq!((queue.frame_bytes, queue.exceeds_a_frame()), (0, false));
}

#[test]
fn overdue_heartbeats_leave_the_queue() {
    let now = Instant::now();
    let max_wait = Duration::from_secs(3);
    let mut queue = HeartbeatQueue::default();
    queue.push(queued_heartbeat(1, now));
    queue.push(queued_heartbeat(2, now + Duration::from_secs(2)));
    assert!(queue.pop_overdue(now + max_wait, max_wait).is_none());
    let overdue = queue.pop_overdue(now + max_wait * 3 / 2, max_wait);
    assert_eq!(tickets(overdue), [1]);
    assert!(
        queue
            .pop_overdue(now + max_wait * 3 / 2, max_wait)
            .is_none()
    );
    assert_eq!(tickets(queue.take_all()), [2]);
    assert_eq!(queue.frame_bytes, 0);
}
