//! Upgrades: this version and the one named as `production` in `deploy/service.toml` serve side by
//! side, and each reads what the other has written. The literals here are the output of the production
//! version's own encoders.

use crate::core::simulation::{NEXT_STORE_LIMITS, STORE_LIMITS, Simulation};
use crate::core::store::cache::{
    DoneValue, JobValue, LeaderValue, PageValue, StoreCache, TaskSet, TermValue,
};
use crate::job::{JobKind, JobOutcome, JobSpec, Priority, Resources, sample};
use crate::peer::{self, PeerAnswer, PeerRequest};
use crate::wire::{JobState, WatchEvent};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const LIVE_JOB: &str = r#"{"spec":{"id":"wk-000412","class":"train","team":"vision","kind":"Array",
"rank":"High","tasks":16,"needs":{"cpus":8.0,"gpus":1.0,"ram":64.0},"image":"img-07","image_gb":6.2,
"types":["g8"],"zone":"a","one_zone":true,"spread":false,"spot":true,
"estimate":{"secs":240,"nanos":0},"checkpoint":{"secs":1,"nanos":500000000},
"save":{"secs":4,"nanos":0},"deadline":{"secs":900,"nanos":0}},"submitted_ms":1700000000123}"#;
const TERM_VALUE: &str = r#"{"era":7}"#;
const LEADER_VALUE: &str = r#"{"name":"n0","nonce":5,"lease":3}"#;
const MACHINE_PAGE: &str =
    r#"{"machines":{"i-000231":{"addr":"10.1.0.1:9000","kind":"small","zone":"a","spot":true}}}"#;
const DONE_TASKS: &str = r#"{"rows":"0-4,7"}"#;
const SUBMIT_FRAME: &str = "6c727562010100008100000010000000000105000000000000002040000000000000f0\
3f0000000000005040cdcccccccccc184000601de137000000002f68590000000000286bee0000000000282e8cd10000000\
9000000050000000600000006000000010000000100000002000000776b2d303030343132747261696e766973696f6e696d\
672d3037616738";
const SHOW_FRAME: &str = "6c7275620102000004000000776b2d37";
const CANCEL_FRAME: &str = "6c7275620103000004000000776b2d37";
const ANSWER_FRAME: &str = "6c7275620104000010000000c8000200ffffffff030000000d000000";

/// Stored job as the production version decodes it. A value that it cannot decode is not a job to it,
/// but it does not answer 404 for the job either.
#[derive(Deserialize)]
#[serde(untagged)]
#[allow(dead_code)]
enum ProductionJob {
    Live { spec: Value, submitted_ms: u64 },
    Ended { end: JobOutcome },
}

/// Machines as the production version caches them, page by page.
#[derive(Default)]
struct ProductionMachines {
    known: BTreeSet<String>,
    pages: BTreeMap<String, BTreeSet<String>>,
}

impl ProductionMachines {
    /// Applies a watch event, as the production version does.
    fn observe(&mut self, event: &WatchEvent) {
        let key = event.put.as_ref().or(event.delete.as_ref()).unwrap();
        let Some(n) = key.strip_prefix("burlusher/p/") else {
            return;
        };
        let listed = event.value["machines"].as_object();
        let current: BTreeSet<String> =
            listed.map_or(BTreeSet::new(), |m| m.keys().cloned().collect());
        let previous = self.pages.insert(n.into(), current.clone());
        for id in previous.unwrap_or_default() {
            if !current.contains(&id) {
                self.known.remove(&id);
            }
        }
        self.known.extend(current);
    }
}

fn parse_json(text: &str) -> Value {
    serde_json::from_str(text).unwrap()
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().collect();
    let byte = |two: &[u8]| u8::from_str_radix(std::str::from_utf8(two).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

fn spec() -> JobSpec {
    JobSpec {
        id: "wk-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        job_kind: JobKind::Array,
        priority: Priority::High,
        tasks: 16,
        resources: Resources {
            cpus: 8.0,
            gpus: 1.0,
            ram: 64.0,
        },
        image: "img-07".into(),
        image_gb: 6.2,
        machine_types: Some(vec!["g8".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: false,
        spot: true,
        estimate: Duration::from_secs(240),
        checkpoint_interval: Duration::from_millis(1500),
        checkpoint_duration: Duration::from_secs(4),
        deadline: Some(Duration::from_secs(900)),
        dependencies: Vec::new(),
    }
}

#[test]
fn stored_values_match_production_format() {
    let JobValue::Live { spec: read, .. } = serde_json::from_str(LIVE_JOB).unwrap() else {
        panic!("the value is not a live job")
    };
    assert_eq!(*read, spec());
    let encoded = JobValue::live(Box::new(spec()), 1_700_000_000_123);
    assert_eq!(serde_json::to_value(encoded).unwrap(), parse_json(LIVE_JOB));
    for (end, text) in [
        (JobOutcome::Done, r#"{"end":"Done"}"#),
        (JobOutcome::Cancelled, r#"{"end":"Cancelled"}"#),
    ] {
        assert_eq!(
            serde_json::to_value(JobValue::Ended {
                end,
                residual_tasks: None
            })
            .unwrap(),
            parse_json(text)
        );
        let read: JobValue = serde_json::from_str(text).unwrap();
        assert!(matches!(read, JobValue::Ended { end: e, residual_tasks: None } if e == end));
    }
    // The term keeps its format, so that either version can lead after the other.
    assert_eq!(
        serde_json::to_value(TermValue { term: 7 }).unwrap(),
        parse_json(TERM_VALUE)
    );
    assert_eq!(
        serde_json::from_str::<TermValue>(TERM_VALUE).unwrap().term,
        7
    );
    let leader: LeaderValue = serde_json::from_str(LEADER_VALUE).unwrap();
    assert_eq!(
        serde_json::to_value(leader).unwrap(),
        parse_json(LEADER_VALUE)
    );
    let page: PageValue = serde_json::from_str(MACHINE_PAGE).unwrap();
    assert_eq!(
        serde_json::to_value(page).unwrap(),
        parse_json(MACHINE_PAGE)
    );
    let done: DoneValue = serde_json::from_str(DONE_TASKS).unwrap();
    assert_eq!(serde_json::to_value(done).unwrap(), parse_json(DONE_TASKS));
}

/// A job with dependencies that this version stored remains in the store after a rollback. The
/// production version, which does not know of dependencies, must not start the job and must not answer
/// 404 for it.
#[test]
fn dependent_job_ignored_by_production_version() {
    let mut spec = spec();
    spec.dependencies = vec!["wk-1".into()];
    let stored = serde_json::to_value(JobValue::live(Box::new(spec.clone()), 7)).unwrap();
    assert!(serde_json::from_value::<ProductionJob>(stored.clone()).is_err());
    assert!(serde_json::from_value::<ProductionJob>(parse_json(LIVE_JOB)).is_ok());
    let mut store_cache = StoreCache::default();
    store_cache.put_job_from_response("wk-000412", serde_json::from_value(stored).unwrap(), 3);
    assert_eq!(*store_cache.jobs["wk-000412"].spec, spec);
    assert!(!store_cache.dependencies_met(&"wk-000412".into()));
    let multipart = json!({"parts": 3, "stem": 7, "submitted_ms": 7});
    assert!(serde_json::from_value::<ProductionJob>(multipart).is_err());
    // The frame that forwards the job has a kind that the production version does not know; it closes the
    // connection.
    let frame = peer::encode_request(&PeerRequest::Submit(Box::new(spec)));
    assert!(!(1..=4).contains(&frame[5]));
}

#[test]
fn ordinary_frames_match_production_bytes() {
    for (request, hex) in [
        (PeerRequest::Submit(Box::new(spec())), SUBMIT_FRAME),
        (PeerRequest::Show("wk-7".into()), SHOW_FRAME),
        (PeerRequest::Cancel("wk-7".into()), CANCEL_FRAME),
    ] {
        assert_eq!(peer::encode_request(&request), decode_hex(hex));
        let (kind, body) = peer::read_frame(&mut decode_hex(hex).as_slice()).unwrap();
        assert_eq!(peer::decode_request(kind, &body), Some(request));
    }
    let answer = PeerAnswer {
        status: 200,
        state: Some(JobState::Running),
        retry_after: None,
        done: Some(3),
        running: Some(13),
    };
    assert_eq!(peer::encode_answer(&answer), decode_hex(ANSWER_FRAME));
}

/// Returns a cluster with a store that the production version wrote: a term, machines on pages as large
/// as its limit allowed, and optionally a job with its completed tasks.
fn cluster_after_production(
    seed: u64,
    machines: usize,
    job: Option<(&JobSpec, &str)>,
) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.capacity.clear();
    simulation.external_put("burlusher/term", parse_json(TERM_VALUE));
    let ids: Vec<_> = (0..machines)
        .map(|_| simulation.add_machine("small", "a"))
        .collect();
    for (n, ids) in ids.chunks(75).enumerate() {
        let machine =
            json!({"addr": "127.0.0.1:9000", "kind": "small", "zone": "a", "spot": false});
        let listed: BTreeMap<&str, &Value> = ids.iter().map(|id| (&**id, &machine)).collect();
        simulation.external_put(&format!("burlusher/p/{n}"), json!({"machines": listed}));
    }
    if let Some((spec, done)) = job {
        simulation.register_job(spec);
        simulation.external_put(
            &format!("burlusher/j/{}", spec.id),
            json!({"spec": spec, "submitted_ms": 1_699_999_999_000_u64}),
        );
        simulation.external_put(&format!("burlusher/d/{}/0", spec.id), json!({"rows": done}));
        let mut completed = TaskSet::default();
        completed.add_ranges(0, done, spec.tasks);
        let job = &spec.id;
        for index in (0..spec.tasks).filter(|r| completed.contains(*r)) {
            let job = job.clone();
            simulation
                .checker
                .completed
                .insert(crate::job::TaskId { job, index });
        }
    }
    simulation
}

/// Returns the completed tasks in the store, as the production version or a later leader reads them.
fn recorded_tasks(simulation: &Simulation, id: &str) -> TaskSet {
    let mut completed = TaskSet::default();
    for (key, v) in simulation.stored_values(&format!("burlusher/d/{id}/")) {
        let base: u32 = key.rsplit('/').next().unwrap().parse().unwrap();
        completed.add_ranges(base, v["rows"].as_str().unwrap(), u32::MAX);
    }
    completed
}

/// Guards against lost records of completed tasks: a range of this version's smaller size, written under
/// the key of a longer range of the production version, dropped the tasks beyond its own end.
#[test]
fn completed_tasks_in_large_ranges_survive_lower_limits() {
    for case in 0..6 {
        let spec = sample("wk-1", 1500, 4.0, 4);
        let mut simulation =
            cluster_after_production(61, 1, Some((&spec, "0-2,4-699,701-1400,1402-1498")));
        let initial = recorded_tasks(&simulation, "wk-1");
        for tick in 0..1200 {
            if tick == 40 + case * 40 {
                simulation.set_store_limits(NEXT_STORE_LIMITS);
            }
            if tick == 130 + case * 20
                && let Some(leader) = simulation.leader()
            {
                simulation.kill(leader, Duration::from_secs(2));
            }
            simulation.tick();
            let recorded = recorded_tasks(&simulation, "wk-1");
            let ended = simulation
                .stored_values("burlusher/j/wk-1")
                .values()
                .any(|v| v.get("end").is_some());
            let is_kept = |r: &u32| !initial.contains(*r) || recorded.contains(*r);
            assert!(
                ended || (0..1500).all(|r| is_kept(&r)),
                "a completed task is missing at tick {tick}"
            );
        }
        simulation.run_until_done("wk-1", 30.0);
        // The four uncompleted tasks start once each, unless a takeover restarts one.
        assert!(
            simulation.counters.starts <= 6,
            "{} starts",
            simulation.counters.starts
        );
        assert_eq!(simulation.transactions_over_limit(), 0);
        simulation.run(10.0);
        assert!(
            simulation.stored_values("burlusher/d/").is_empty(),
            "the ranges are deleted once the job has ended"
        );
    }
}

/// The production version drops a machine from its cache when a page no longer lists it, even if another
/// page already does. If it became the leader then, it would start the machine's tasks a second time.
#[test]
fn large_machine_pages_shrink_without_losing_machines() {
    for lowered_at in [0, 30, 60, 90, 120] {
        let spec = sample("wk-1", 400, 1.0, 90);
        let mut simulation = cluster_after_production(62, 150, None);
        let mut production = ProductionMachines::default();
        let (mut seen_events, mut page_writes) = (0, 0);
        simulation.run(4.0);
        let leader = simulation.leader().unwrap();
        let mut big = spec.clone();
        big.team = "u".into();
        simulation.submit(leader, &big);
        for tick in 0..400 {
            if tick == lowered_at {
                simulation.set_store_limits(NEXT_STORE_LIMITS);
            }
            if tick == 20 {
                // Every tenth machine is removed, so that each page has to be written.
                let removed: Vec<_> = simulation.workers.keys().step_by(10).cloned().collect();
                for id in removed {
                    simulation.workers.remove(&id);
                }
            }
            if tick == lowered_at + 90
                && let Some(leader) = simulation.leader()
            {
                simulation.kill(leader, Duration::from_secs(2));
            }
            simulation.tick();
            let events = simulation.watch_events(seen_events);
            seen_events += events.len();
            for e in &events {
                page_writes += usize::from(e.put.as_ref().is_some_and(|k| k.contains("/p/")));
                production.observe(e);
            }
            // A controller of the production version that led from here on would know all machines with
            // tasks.
            for (id, worker) in &simulation.workers {
                assert!(
                    worker.tasks.is_empty() || production.known.contains(&**id),
                    "{id} is unknown to production at tick {tick}"
                );
            }
        }
        assert!(page_writes >= 8, "only {page_writes} writes of pages");
        let sizes = simulation.stored_values("burlusher/p/");
        let largest = sizes.values().map(|v| v.to_string().len()).max();
        assert!(largest <= Some(NEXT_STORE_LIMITS.0));
        assert_eq!(simulation.transactions_over_limit(), 0);
    }
}

/// Returns a cluster, its leader, and a job with hundreds of dependencies, all done but `wk-1`, which
/// does not fit into one value of the store.
fn cluster_with_large_job(seed: u64) -> (Simulation, usize, crate::job::JobSpec) {
    let mut simulation = cluster_after_production(seed, 4, None);
    simulation.set_store_limits(NEXT_STORE_LIMITS);
    simulation.run(4.0);
    let leader = simulation.leader().unwrap();
    assert_eq!(simulation.submit(leader, &sample("wk-1", 1, 1.0, 20)), 201);
    let mut large = sample("wk-2", 2, 1.0, 3);
    large.dependencies = vec!["wk-1".into()];
    for n in 0..900 {
        let id = format!("wk-{}", 1000 + n);
        let done = sample(&id, 1, 1.0, 1);
        simulation.register_job(&done);
        let index = 0;
        let job = done.id.clone();
        simulation
            .checker
            .completed
            .insert(crate::job::TaskId { job, index });
        simulation.external_put(&format!("burlusher/j/{id}"), json!({"end": "Done"}));
        large.dependencies.push(id.into());
    }
    large.dependencies.sort();
    simulation.run(1.0);
    (simulation, leader, large)
}

/// A job with hundreds of dependencies does not fit into one value. It is accepted with its last write
/// and not before, even if a controller is killed in between, and its parts are deleted in the end.
#[test]
fn oversized_job_stored_whole_or_not_at_all() {
    let (mut simulation, leader, large) = cluster_with_large_job(64);
    // A controller is killed after it has written parts, before the job's key: the job is not accepted.
    let other = (leader + 1) % 3;
    simulation.set_peers_reachable(false);
    simulation.register_job(&large);
    simulation.send_request(
        other,
        crate::core::UserAction::Submit(Box::new(large.clone())),
    );
    simulation.tick();
    simulation.tick();
    assert!(!simulation.stored_values("burlusher/s/wk-2/").is_empty());
    assert!(simulation.stored_values("burlusher/j/wk-2").is_empty());
    simulation.kill(other, Duration::from_secs(2));
    assert_eq!(simulation.show(leader, "wk-2").0, 404);
    // The first submission is stored without the leader, and the repeated one goes through the leader.
    let third = (leader + 2) % 3;
    assert_eq!(simulation.submit(third, &large), 201);
    simulation.set_peers_reachable(true);
    assert_eq!(simulation.submit(leader, &large), 200);
    assert_eq!(
        simulation.show(third, "wk-2"),
        (200, Some(JobState::Queued))
    );
    simulation.kill(leader, Duration::from_secs(2));
    simulation.run_until_done("wk-2", 60.0);
    simulation.run(70.0);
    assert!(
        simulation.stored_values("burlusher/s/").is_empty(),
        "the parts are deleted"
    );
    assert_eq!(simulation.transactions_over_limit(), 0);
    // A job with more parts than one transaction can have conditions is rejected as too large.
    let mut huge = sample("wk-3", 1, 1.0, 1);
    huge.image = "x".repeat(60_000);
    assert_eq!(simulation.submit(third, &huge), 422);
}

/// The write of a large job's key is delayed until its parts, to which no job refers, have been deleted.
/// Without the condition on the parts, it would then accept a job that cannot be read any more.
#[test]
fn delayed_commit_without_parts_accepts_no_job() {
    let (mut reference, leader, large) = cluster_with_large_job(65);
    assert_eq!(reference.submit(leader, &large), 201);
    let parts = reference.stored_values("burlusher/s/wk-2/").len();
    assert!(parts > 2);
    let (mut simulation, leader, large) = cluster_with_large_job(65);
    let other = (leader + 1) % 3;
    simulation.set_peers_reachable(false);
    simulation.register_job(&large);
    simulation.send_request(
        other,
        crate::core::UserAction::Submit(Box::new(large.clone())),
    );
    simulation.run_until(2.0, "all parts written", |simulation| {
        simulation.stored_values("burlusher/s/wk-2/").len() == parts
    });
    simulation.nodes[other].store_link = crate::core::simulation::Link::WritesHeld;
    simulation.run(80.0);
    assert!(
        !simulation.network.held_transactions.is_empty()
            && simulation.stored_values("burlusher/s/").is_empty()
    );
    simulation.kill(other, Duration::from_secs(2));
    simulation.release_held();
    simulation.run(2.0);
    assert!(simulation.stored_values("burlusher/j/wk-2").is_empty());
    assert_eq!(simulation.show(leader, "wk-2").0, 404);
    // Submitted again, the job is accepted with all its parts.
    assert_eq!(simulation.submit(leader, &large), 201);
    simulation.set_peers_reachable(true);
    simulation.run_until_done("wk-2", 60.0);
}

/// Guards against machine types that are never stored: when the store had refused them once and nothing else was to be
/// written meanwhile, they were not written again.
#[test]
fn refused_machine_types_are_written_later() {
    let mut simulation = Simulation::new(66);
    simulation.set_store_limits((150, STORE_LIMITS.1));
    simulation.run_until_leader(10.0);
    assert!(simulation.transactions_over_limit() > 0);
    assert!(simulation.stored_values("burlusher/types").is_empty());
    simulation.set_store_limits(STORE_LIMITS);
    simulation.run(35.0);
    assert!(!simulation.stored_values("burlusher/types").is_empty());
}

/// A state service with lower limits than announced rejects some transactions. No transaction is repeated
/// unchanged for ever, and neither the leadership nor other work is lost.
#[test]
fn limits_below_announced_keep_leader_and_work() {
    let mut simulation = cluster_after_production(63, 4, None);
    simulation.run(4.0);
    let leader = simulation.leader().unwrap();
    simulation.set_store_limits((STORE_LIMITS.0, 2));
    // All jobs end at once, so that their ends go into one transaction.
    for n in 1..9 {
        let spec = sample(&format!("wk-{n}"), 2, 1.0, 3);
        simulation.register_job(&spec);
        simulation.send_request(leader, crate::core::UserAction::Submit(Box::new(spec)));
    }
    for n in 1..9 {
        simulation.run_until_done(&format!("wk-{n}"), 30.0);
    }
    for n in 11..19 {
        simulation.submit(leader, &sample(&format!("wk-{n}"), 2, 1.0, 60));
    }
    for n in 11..19 {
        simulation.cancel_without_waiting(leader, &format!("wk-{n}"));
    }
    simulation.run(2.0);
    for n in 11..19 {
        let state = simulation.show(leader, &format!("wk-{n}")).1;
        assert_eq!(state, Some(JobState::Cancelled));
    }
    assert_eq!(simulation.leader(), Some(leader));
    // Eight ends in one transaction are rejected, then half as many, then two: the same transaction is
    // not repeated.
    assert!(
        simulation.transactions_over_limit() <= 4,
        "{}",
        simulation.transactions_over_limit()
    );
    // Pages of machines do not fit into a value any more; the controllers keep working with the known
    // machines.
    simulation.set_store_limits((150, 2));
    for _ in 0..3 {
        simulation.add_machine("small", "a");
    }
    let refused = simulation.transactions_over_limit();
    simulation.run(20.0);
    assert_eq!(simulation.leader(), Some(leader));
    assert!(
        simulation.transactions_over_limit() - refused < 10,
        "{}",
        simulation.transactions_over_limit()
    );
}
