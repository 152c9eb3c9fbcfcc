//! Stories of an upgrade: this version and the one named as `production` in `deploy/service.toml`
//! serve side by side, and each works on what the other wrote. The literals here were written by
//! that version's own encoders.

use crate::core::mirror::{DoneValue, JobValue, LeaderValue, Mirror, PageValue, RowSet, TermValue};
use crate::core::simulation::{LIMITS, NEXT_LIMITS, World};
use crate::job::{Final, JobSpec, Kind, Rank, Resources, sample};
use crate::peer::{self, PeerAnswer, PeerRequest};
use crate::wire::{Event, JobState};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const LIVE: &str = r#"{"spec":{"id":"wk-000412","class":"train","team":"vision","kind":"Array",
"rank":"High","tasks":16,"needs":{"cpus":8.0,"gpus":1.0,"ram":64.0},"image":"img-07","image_gb":6.2,
"types":["g8"],"zone":"a","one_zone":true,"spread":false,"spot":true,
"estimate":{"secs":240,"nanos":0},"checkpoint":{"secs":1,"nanos":500000000},
"save":{"secs":4,"nanos":0},"deadline":{"secs":900,"nanos":0}},"submitted_ms":1700000000123}"#;
const TERM: &str = r#"{"era":7}"#;
const LEADER: &str = r#"{"name":"n0","nonce":5,"lease":3}"#;
const PAGE: &str =
    r#"{"machines":{"i-000231":{"addr":"10.1.0.1:9000","kind":"small","zone":"a","spot":true}}}"#;
const DONE: &str = r#"{"rows":"0-4,7"}"#;
const SUBMIT_FRAME: &str = "6c727562010100008100000010000000000105000000000000002040000000000000f0\
3f0000000000005040cdcccccccccc184000601de137000000002f68590000000000286bee0000000000282e8cd10000000\
9000000050000000600000006000000010000000100000002000000776b2d303030343132747261696e766973696f6e696d\
672d3037616738";
const SHOW_FRAME: &str = "6c7275620102000004000000776b2d37";
const CANCEL_FRAME: &str = "6c7275620103000004000000776b2d37";
const ANSWER_FRAME: &str = "6c7275620104000010000000c8000200ffffffff030000000d000000";

/// How production reads a stored job; what it cannot read is no job to it, and no 404 either.
#[derive(Deserialize)]
#[serde(untagged)]
#[allow(dead_code)]
enum TheirJob {
    Live { spec: Value, submitted_ms: u64 },
    Over { end: Final },
}

/// How production keeps machines in memory, page by page.
#[derive(Default)]
struct TheirMachines {
    known: BTreeSet<String>,
    pages: BTreeMap<String, BTreeSet<String>>,
}

impl TheirMachines {
    fn told(&mut self, event: &Event) {
        let key = event.put.as_ref().or(event.delete.as_ref()).unwrap();
        let Some(n) = key.strip_prefix("burlusher/p/") else {
            return;
        };
        let listed = event.value["machines"].as_object();
        let now: BTreeSet<String> = listed.map_or(BTreeSet::new(), |m| m.keys().cloned().collect());
        let before = self.pages.insert(n.into(), now.clone());
        for id in before.unwrap_or_default() {
            if !now.contains(&id) {
                self.known.remove(&id);
            }
        }
        self.known.extend(now);
    }
}

fn value(text: &str) -> Value {
    serde_json::from_str(text).unwrap()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().collect();
    let byte = |two: &[u8]| u8::from_str_radix(std::str::from_utf8(two).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

fn spec() -> JobSpec {
    JobSpec {
        id: "wk-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: Kind::Array,
        rank: Rank::High,
        tasks: 16,
        needs: Resources {
            cpus: 8.0,
            gpus: 1.0,
            ram: 64.0,
        },
        image: "img-07".into(),
        image_gb: 6.2,
        types: Some(vec!["g8".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: false,
        spot: true,
        estimate: Duration::from_secs(240),
        checkpoint: Duration::from_millis(1500),
        save: Duration::from_secs(4),
        deadline: Some(Duration::from_secs(900)),
        awaits: Vec::new(),
    }
}

#[test]
fn what_production_stored_is_read_and_ordinary_things_are_stored_as_it_stores_them() {
    let JobValue::Live { spec: read, .. } = serde_json::from_str(LIVE).unwrap() else {
        panic!("not live")
    };
    assert_eq!(*read, spec());
    let ours = JobValue::live(Box::new(spec()), 1_700_000_000_123);
    assert_eq!(serde_json::to_value(ours).unwrap(), value(LIVE));
    for (end, text) in [
        (Final::Done, r#"{"end":"Done"}"#),
        (Final::Cancelled, r#"{"end":"Cancelled"}"#),
    ] {
        assert_eq!(
            serde_json::to_value(JobValue::Over { end, left: None }).unwrap(),
            value(text)
        );
        let read: JobValue = serde_json::from_str(text).unwrap();
        assert!(matches!(read, JobValue::Over { end: e, left: None } if e == end));
    }
    // The term keeps its form, so that either version can lead after the other.
    assert_eq!(
        serde_json::to_value(TermValue { term: 7 }).unwrap(),
        value(TERM)
    );
    assert_eq!(serde_json::from_str::<TermValue>(TERM).unwrap().term, 7);
    let leader: LeaderValue = serde_json::from_str(LEADER).unwrap();
    assert_eq!(serde_json::to_value(leader).unwrap(), value(LEADER));
    let page: PageValue = serde_json::from_str(PAGE).unwrap();
    assert_eq!(serde_json::to_value(page).unwrap(), value(PAGE));
    let done: DoneValue = serde_json::from_str(DONE).unwrap();
    assert_eq!(serde_json::to_value(done).unwrap(), value(DONE));
}

/// Kept by a version that knows of it, after a rollback say, it must not be started by one that
/// does not, and its user must not hear 404.
#[test]
fn a_job_that_awaits_others_is_no_job_to_production() {
    let mut spec = spec();
    spec.awaits = vec!["wk-1".into()];
    let stored = serde_json::to_value(JobValue::live(Box::new(spec.clone()), 7)).unwrap();
    assert!(serde_json::from_value::<TheirJob>(stored.clone()).is_err());
    assert!(serde_json::from_value::<TheirJob>(value(LIVE)).is_ok());
    let mut mirror = Mirror::default();
    mirror.put_job("wk-000412", serde_json::from_value(stored).unwrap(), 3);
    assert_eq!(*mirror.jobs["wk-000412"].spec, spec);
    assert!(!mirror.ready(&"wk-000412".into()));
    let parted = json!({"parts": 3, "stem": 7, "submitted_ms": 7});
    assert!(serde_json::from_value::<TheirJob>(parted).is_err());
    // Passed on to it, the job is in a frame that it drops the connection for.
    let frame = peer::encode_request(&PeerRequest::Submit(Box::new(spec)));
    assert!(!(1..=4).contains(&frame[5]));
}

#[test]
fn frames_of_ordinary_requests_are_those_of_production_byte_for_byte() {
    for (request, hex) in [
        (PeerRequest::Submit(Box::new(spec())), SUBMIT_FRAME),
        (PeerRequest::Show("wk-7".into()), SHOW_FRAME),
        (PeerRequest::Cancel("wk-7".into()), CANCEL_FRAME),
    ] {
        assert_eq!(peer::encode_request(&request), bytes(hex));
        let (kind, body) = peer::read_frame(&mut bytes(hex).as_slice()).unwrap();
        assert_eq!(peer::decode_request(kind, &body), Some(request));
    }
    let answer = PeerAnswer {
        status: 200,
        state: Some(JobState::Running),
        retry_after: None,
        done: Some(3),
        running: Some(13),
    };
    assert_eq!(peer::encode_answer(&answer), bytes(ANSWER_FRAME));
}

/// A world in which production has served so far: its term, machines on pages as large as its
/// limit allowed, and one job.
fn taken_over(seed: u64, machines: usize, job: Option<(&JobSpec, &str)>) -> World {
    let mut w = World::new(seed);
    w.capacity.clear();
    w.put("burlusher/term", value(TERM));
    let ids: Vec<_> = (0..machines).map(|_| w.add_machine("small", "a")).collect();
    for (n, ids) in ids.chunks(75).enumerate() {
        let machine =
            json!({"addr": "127.0.0.1:9000", "kind": "small", "zone": "a", "spot": false});
        let listed: BTreeMap<&str, &Value> = ids.iter().map(|id| (&**id, &machine)).collect();
        w.put(&format!("burlusher/p/{n}"), json!({"machines": listed}));
    }
    if let Some((spec, done)) = job {
        w.knows(spec);
        w.put(
            &format!("burlusher/j/{}", spec.id),
            json!({"spec": spec, "submitted_ms": 1_699_999_999_000_u64}),
        );
        w.put(&format!("burlusher/d/{}/0", spec.id), json!({"rows": done}));
        let mut rows = RowSet::default();
        rows.add_ranges(0, done, spec.tasks);
        let job = &spec.id;
        for row in (0..spec.tasks).filter(|r| rows.contains(*r)) {
            let job = job.clone();
            w.completed.insert(crate::job::TaskKey { job, row });
        }
    }
    w
}

/// Rows that production, or a later leader, finds on record.
fn on_record(w: &World, id: &str) -> RowSet {
    let mut rows = RowSet::default();
    for (key, v) in w.stored(&format!("burlusher/d/{id}/")) {
        let base: u32 = key.rsplit('/').next().unwrap().parse().unwrap();
        rows.add_ranges(base, v["rows"].as_str().unwrap(), u32::MAX);
    }
    rows
}

/// A piece of our size under the key of a larger one of production's forgot what that told beyond.
#[test]
fn done_rows_that_production_recorded_in_large_pieces_are_never_forgotten() {
    for lowered in 0..6 {
        let spec = sample("wk-1", 1500, 4.0, 4);
        let mut w = taken_over(61, 1, Some((&spec, "0-2,4-699,701-1400,1402-1498")));
        let all = on_record(&w, "wk-1");
        for tick in 0..1200 {
            if tick == 40 + lowered * 40 {
                w.limit(NEXT_LIMITS);
            }
            if tick == 130 + lowered * 20
                && let Some(leader) = w.leader()
            {
                w.kill(leader, Duration::from_secs(2));
            }
            w.tick();
            let now = on_record(&w, "wk-1");
            let over = w
                .stored("burlusher/j/wk-1")
                .values()
                .any(|v| v.get("end").is_some());
            let kept = |r: &u32| !all.contains(*r) || now.contains(*r);
            assert!(
                over || (0..1500).all(|r| kept(&r)),
                "forgotten at tick {tick}"
            );
        }
        w.until_done("wk-1", 30.0);
        // The four that were missing, once each, but for a takeover.
        assert!(w.starts <= 6, "{} starts", w.starts);
        assert_eq!(w.over_the_limit(), 0);
        w.run(10.0);
        assert!(
            w.stored("burlusher/d/").is_empty(),
            "pieces are cleared in the end"
        );
    }
}

/// Production forgets a machine when one page ceases to list it, even where another does already.
/// The next leader would start what runs there a second time.
#[test]
fn large_pages_of_machines_are_emptied_without_either_version_missing_one() {
    for lowered in [0, 30, 60, 90, 120] {
        let spec = sample("wk-1", 400, 1.0, 90);
        let mut w = taken_over(62, 150, None);
        let mut theirs = TheirMachines::default();
        let (mut seen, mut moved) = (0, 0);
        w.run(4.0);
        let leader = w.leader().unwrap();
        let mut big = spec.clone();
        big.team = "u".into();
        w.submit(leader, &big);
        for tick in 0..400 {
            if tick == lowered {
                w.limit(NEXT_LIMITS);
            }
            if tick == 20 {
                // Some are gone, so each page has to be written.
                let gone: Vec<_> = w.workers.keys().step_by(10).cloned().collect();
                for id in gone {
                    w.workers.remove(&id);
                }
            }
            if tick == lowered + 90
                && let Some(leader) = w.leader()
            {
                w.kill(leader, Duration::from_secs(2));
            }
            w.tick();
            let events = w.events(seen);
            seen += events.len();
            for e in &events {
                moved += usize::from(e.put.as_ref().is_some_and(|k| k.contains("/p/")));
                theirs.told(e);
            }
            // A production node that led from here on would know them all.
            for (id, worker) in &w.workers {
                assert!(
                    worker.tasks.is_empty() || theirs.known.contains(&**id),
                    "{id} is unknown to production at tick {tick}"
                );
            }
        }
        assert!(moved >= 8, "the pages were rewritten");
        let sizes = w.stored("burlusher/p/");
        let largest = sizes.values().map(|v| v.to_string().len()).max();
        assert!(largest <= Some(NEXT_LIMITS.0));
        assert_eq!(w.over_the_limit(), 0);
    }
}

/// A world with its leader, and a job that awaits hundreds of others, all done but `wk-1`, and so
/// fits into no value.
fn with_large_job(seed: u64) -> (World, usize, crate::job::JobSpec) {
    let mut w = taken_over(seed, 4, None);
    w.limit(NEXT_LIMITS);
    w.run(4.0);
    let leader = w.leader().unwrap();
    assert_eq!(w.submit(leader, &sample("wk-1", 1, 1.0, 20)), 201);
    let mut large = sample("wk-2", 2, 1.0, 3);
    large.awaits = vec!["wk-1".into()];
    for n in 0..900 {
        let id = format!("wk-{}", 1000 + n);
        let done = sample(&id, 1, 1.0, 1);
        w.knows(&done);
        let row = 0;
        let job = done.id.clone();
        w.completed.insert(crate::job::TaskKey { job, row });
        w.put(&format!("burlusher/j/{id}"), json!({"end": "Done"}));
        large.awaits.push(id.into());
    }
    large.awaits.sort();
    w.run(1.0);
    (w, leader, large)
}

/// A job that awaits hundreds of others fits into no value: it is accepted with its last write and
/// not before, whoever dies meanwhile, and nothing is left of it in the end.
#[test]
fn a_job_larger_than_a_value_is_kept_whole_or_not_at_all() {
    let (mut w, leader, large) = with_large_job(64);
    // A node dies between the parts and the job's key: nothing was accepted.
    let other = (leader + 1) % 3;
    w.nodes.iter_mut().for_each(|n| n.peers = false);
    w.knows(&large);
    w.ask(other, crate::core::Ask::Submit(Box::new(large.clone())));
    w.tick();
    w.tick();
    assert!(!w.stored("burlusher/s/wk-2/").is_empty());
    assert!(w.stored("burlusher/j/wk-2").is_empty());
    w.kill(other, Duration::from_secs(2));
    assert_eq!(w.show(leader, "wk-2").0, 404);
    // Without the leader and through it, the first time and repeated.
    let third = (leader + 2) % 3;
    assert_eq!(w.submit(third, &large), 201);
    w.nodes.iter_mut().for_each(|n| n.peers = true);
    assert_eq!(w.submit(leader, &large), 200);
    assert_eq!(w.show(third, "wk-2"), (200, Some(JobState::Queued)));
    w.kill(leader, Duration::from_secs(2));
    w.until_done("wk-2", 60.0);
    w.run(70.0);
    assert!(w.stored("burlusher/s/").is_empty(), "parts are cleared");
    assert_eq!(w.over_the_limit(), 0);
    // More than can be written on a condition for each part is refused, and says so.
    let mut huge = sample("wk-3", 1, 1.0, 1);
    huge.image = "x".repeat(60_000);
    assert_eq!(w.submit(third, &huge), 422);
}

/// The write that accepts a large job is held up until its parts, which no job seemed to need, have been
/// cleared: applied then, it would have accepted a job that nobody can read any more.
#[test]
fn a_large_job_is_not_accepted_late_without_its_parts() {
    let (mut whole, leader, large) = with_large_job(65);
    assert_eq!(whole.submit(leader, &large), 201);
    let parts = whole.stored("burlusher/s/wk-2/").len();
    assert!(parts > 2);
    let (mut w, leader, large) = with_large_job(65);
    let other = (leader + 1) % 3;
    w.nodes.iter_mut().for_each(|n| n.peers = false);
    w.knows(&large);
    w.ask(other, crate::core::Ask::Submit(Box::new(large.clone())));
    w.until(2.0, "all parts written", |w| {
        w.stored("burlusher/s/wk-2/").len() == parts
    });
    w.nodes[other].state = crate::core::simulation::Link::WritesHeld;
    w.run(80.0);
    assert!(!w.held_txns.is_empty() && w.stored("burlusher/s/").is_empty());
    w.kill(other, Duration::from_secs(2));
    w.release();
    w.run(2.0);
    assert!(w.stored("burlusher/j/wk-2").is_empty());
    assert_eq!(w.show(leader, "wk-2").0, 404);
    // Asked for once more, it is accepted whole.
    assert_eq!(w.submit(leader, &large), 201);
    w.nodes.iter_mut().for_each(|n| n.peers = true);
    w.until_done("wk-2", 60.0);
}

/// A service with still lower limits than announced refuses some of what is written: nothing is
/// repeated for ever as it was, and neither leadership nor other work is lost for it.
#[test]
fn limits_below_those_announced_cost_neither_leadership_nor_work() {
    let mut w = taken_over(63, 4, None);
    w.run(4.0);
    let leader = w.leader().unwrap();
    w.limit((LIMITS.0, 2));
    // All end at once, so that their ends go into one transaction.
    for n in 1..9 {
        let spec = sample(&format!("wk-{n}"), 2, 1.0, 3);
        w.knows(&spec);
        w.ask(leader, crate::core::Ask::Submit(Box::new(spec)));
    }
    for n in 1..9 {
        w.until_done(&format!("wk-{n}"), 30.0);
    }
    for n in 11..19 {
        w.submit(leader, &sample(&format!("wk-{n}"), 2, 1.0, 60));
    }
    for n in 11..19 {
        w.start_to_cancel(leader, &format!("wk-{n}"));
    }
    w.run(2.0);
    for n in 11..19 {
        let state = w.show(leader, &format!("wk-{n}")).1;
        assert_eq!(state, Some(JobState::Cancelled));
    }
    assert_eq!(w.leader(), Some(leader));
    // Eight ends at once, then half as many, then two: not the same again and again.
    assert!(w.over_the_limit() <= 4, "{}", w.over_the_limit());
    // Pages of machines do not fit any more; what is known goes on.
    w.limit((150, 2));
    for _ in 0..3 {
        w.add_machine("small", "a");
    }
    let refused = w.over_the_limit();
    w.run(20.0);
    assert_eq!(w.leader(), Some(leader));
    assert!(w.over_the_limit() - refused < 10, "{}", w.over_the_limit());
}
