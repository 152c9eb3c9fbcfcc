//! Regression tests that compare the controllers' decisions in a few fixed schedules with recorded ones.
//! They guard changes that should not change decisions: renames, moves and simplifications.
//!
//! Each test runs one schedule from a fixed seed, turns every effect that any controller's
//! `Core::step` returns into a line of text, and compares the number of these lines and their hash
//! with a literal. The lines contain what leaves the process (requests and responses in their wire
//! format), numbers and times, but no name of a Rust type or field.
//!
//! - A change that should not change decisions must leave the literals as they are.
//! - A change that does change decisions updates the literals in the same commit, and the commit
//!   message says which decisions are different and why.
//!
//! To find the first difference, write the lines of both versions to files and compare the files:
//!
//! ```text
//! RECORDED_DECISIONS=/tmp/before cargo test --lib recorded_decisions
//! RECORDED_DECISIONS=/tmp/after cargo test --lib recorded_decisions
//! diff -r /tmp/before /tmp/after
//! ```

use crate::cloud_client::CloudRequest;
use crate::core::simulation::scenarios::mixed_faults::inject_mixed_faults;
use crate::core::simulation::{Link, NEXT_STORE_LIMITS, Simulation};
use crate::core::{Effect, LeadershipProof};
use crate::http::Response;
use crate::job::{JobKind, JobSpec, Priority, sample};
use crate::peer;
use crate::peer::cache_exchange;
use crate::policy::Policy;
use crate::store_client::StoreRequest;
use crate::wire::{MachineIds, to_json};
use crate::worker_client::DirectRequest;
use serde_json::{Value, json};
use siphasher::sip::SipHasher13;
use std::fmt::Write as _;
use std::hash::Hasher;
use std::time::{Duration, Instant};

/// Environment variable with the directory to which the recorded lines are written, one file per
/// schedule.
const TRANSCRIPT_DIRECTORY: &str = "RECORDED_DECISIONS";

// Numbers that stand for the kinds of effects and requests in a line. They are part of the hashed text
// and never change; a new kind gets a new number.
const RESPONSE: u32 = 1;
const FORWARD: u32 = 2;
const HEARTBEAT_BATCH: u32 = 3;
const STORE_GET: u32 = 4;
const STORE_COMPARE_AND_SWAP: u32 = 5;
const STORE_PAGE: u32 = 6;
const CLOUD_TYPES: u32 = 8;
const CLOUD_LIST: u32 = 9;
const CLOUD_SCALE_OUT: u32 = 10;
const CLOUD_DELETE: u32 = 11;
const DIRECT_COMMANDS: u32 = 12;
const DIRECT_STATUS: u32 = 13;
const CACHE_REQUEST: u32 = 14;
const REREAD_STORE: u32 = 15;
const RELEASE_LEASE: u32 = 16;
const REPLACE_LEASE: u32 = 17;
const NO_LEADERSHIP_PROOF: u32 = 18;
const LEADERSHIP_CONDITIONS: u32 = 19;
const READY: u32 = 20;

/// Number of effects in a schedule, and the hash of their lines.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Recording {
    effects: u64,
    hash: u64,
}

/// Recorder of the effects of all controllers' steps, in order.
pub struct DecisionRecorder {
    /// Virtual time at which the simulation began. All times in lines are relative to it.
    start: Instant,
    effects: u64,
    hasher: SipHasher13,
    /// Recorded lines, if they are to be written to a file.
    transcript: Option<String>,
}

impl DecisionRecorder {
    /// Creates a recorder. The simulation began at `start`.
    pub fn new(start: Instant) -> DecisionRecorder {
        let write_transcript = std::env::var_os(TRANSCRIPT_DIRECTORY).is_some();
        DecisionRecorder {
            start,
            effects: 0,
            hasher: SipHasher13::new(),
            transcript: write_transcript.then(String::new),
        }
    }

    /// Records the effects that one step of a controller returned.
    pub fn record(&mut self, now: Instant, node: usize, effects: &[Effect]) {
        let at = self.elapsed_ms(now);
        for effect in effects {
            let content = self.content(effect);
            let line = format!("{at} n{node} {content}\n");
            self.hasher.write(line.as_bytes());
            self.effects += 1;
            if let Some(transcript) = &mut self.transcript {
                transcript.push_str(&line);
            }
        }
    }

    /// Returns the milliseconds since the simulation began.
    fn elapsed_ms(&self, t: Instant) -> u64 {
        t.saturating_duration_since(self.start).as_millis() as u64
    }

    /// Returns an effect in a form that depends on what it does and on no name in the program.
    fn content(&self, effect: &Effect) -> Value {
        match effect {
            Effect::Response { ticket, response } => {
                let not_after = response.not_after.map(|t| self.elapsed_ms(t));
                response_content(json!(ticket), response, not_after)
            }
            Effect::Forward {
                ticket,
                peer,
                request,
            } => json!([FORWARD, ticket, peer, text(&peer::encode_request(request))]),
            Effect::HeartbeatBatch {
                peer,
                number,
                frame,
            } => json!([HEARTBEAT_BATCH, peer, number, text(frame)]),
            Effect::StoreCall { call, request } => store_content(*call, request),
            Effect::CloudCall {
                call,
                request,
                not_after,
            } => cloud_content(*call, request, not_after.map(|t| self.elapsed_ms(t))),
            Effect::DirectCall {
                call,
                addr,
                request,
                not_after,
            } => direct_content(
                *call,
                &addr.to_string(),
                request,
                self.elapsed_ms(*not_after),
            ),
            Effect::CacheRequest {
                peer,
                request: cache_request,
            } => {
                json!([
                    CACHE_REQUEST,
                    peer,
                    text(&cache_exchange::encode_cache_request(cache_request))
                ])
            }
            Effect::RereadStore => json!([REREAD_STORE]),
            Effect::ReleaseLease => json!([RELEASE_LEASE]),
            Effect::ReplaceLease => json!([REPLACE_LEASE]),
            Effect::LeadershipProof(None) => json!([NO_LEADERSHIP_PROOF]),
            Effect::LeadershipProof(Some(LeadershipProof {
                key_version,
                conditions,
            })) => json!([
                LEADERSHIP_CONDITIONS,
                key_version,
                text(&to_json(conditions))
            ]),
            Effect::Ready(ready) => json!([READY, ready]),
        }
    }

    /// Returns the recording, and writes its lines to the file `name` if a directory is set.
    fn finish(self, name: &str) -> Recording {
        if let Some((directory, lines)) =
            std::env::var_os(TRANSCRIPT_DIRECTORY).zip(self.transcript)
        {
            std::fs::create_dir_all(&directory)
                .expect("the directory for the recorded lines can be created");
            let file = std::path::Path::new(&directory).join(name);
            std::fs::write(file, lines).expect("the recorded lines can be written");
        }
        Recording {
            effects: self.effects,
            hash: self.hasher.finish(),
        }
    }
}

fn response_content(ticket: Value, response: &Response, not_after: Option<u64>) -> Value {
    let Response {
        status,
        body,
        retry_after,
        not_after: _,
        content_type,
    } = response;
    let body = text(body);
    json!([
        RESPONSE,
        ticket,
        status,
        body,
        retry_after,
        not_after,
        content_type
    ])
}

fn direct_content(call: u64, addr: &str, request: &DirectRequest, not_after: u64) -> Value {
    match request {
        DirectRequest::Commands(body) => {
            json!([DIRECT_COMMANDS, call, addr, not_after, text(&to_json(body))])
        }
        DirectRequest::Status { token } => {
            json!([DIRECT_STATUS, call, addr, not_after, token])
        }
    }
}

fn store_content(call: u64, request: &StoreRequest) -> Value {
    match request {
        StoreRequest::Get(key) => json!([STORE_GET, call, key]),
        StoreRequest::CompareAndSwap(txn) => {
            json!([STORE_COMPARE_AND_SWAP, call, text(&to_json(txn))])
        }
        StoreRequest::Page {
            prefix,
            after,
            limit,
        } => json!([STORE_PAGE, call, prefix, after, limit]),
    }
}

fn cloud_content(call: u64, request: &CloudRequest, not_after: Option<u64>) -> Value {
    match request {
        CloudRequest::Types => json!([CLOUD_TYPES, call, not_after]),
        CloudRequest::List => json!([CLOUD_LIST, call, not_after]),
        CloudRequest::ScaleOut(body) => {
            json!([CLOUD_SCALE_OUT, call, not_after, text(&to_json(body))])
        }
        CloudRequest::Delete(names) => {
            let body = MachineIds {
                machines: names.clone(),
            };
            json!([CLOUD_DELETE, call, not_after, text(&to_json(&body))])
        }
    }
}

/// Returns bytes as text if they are valid UTF-8, and as hexadecimal digits if not.
fn text(bytes: &[u8]) -> String {
    match std::str::from_utf8(bytes) {
        Ok(text) => text.into(),
        Err(_) => bytes.iter().fold(String::new(), |mut digits, byte| {
            let _ = write!(digits, "{byte:02x}");
            digits
        }),
    }
}

/// Name, seed and policy of a schedule, and the recording that it must lead to.
struct RecordedCase {
    name: &'static str,
    seed: u64,
    policy: &'static str,
    expected: Recording,
}

/// Policy under which the leader serves all workers itself.
const ALONE: &str = "delegate = false";
/// Policy under which all controllers serve workers.
const DELEGATING: &str = "delegate = true";
/// Policy under which the leader alone serves workers, and bids for machines.
const BIDDING: &str =
    "delegate = false\nbidding = true\nworth = 10\nforesight = 20\ntolerance = 0.2";
/// Policy under which all controllers serve workers, and the leader bids for machines.
const BIDDING_AND_DELEGATING: &str = "delegate = true\nbidding = true\nworth = 10";

const fn recorded(
    name: &'static str,
    seed: u64,
    policy: &'static str,
    effects: u64,
    hash: u64,
) -> RecordedCase {
    let expected = Recording { effects, hash };
    RecordedCase {
        name,
        seed,
        policy,
        expected,
    }
}

/// Runs a schedule with three controllers and four machines, and records the decisions.
fn record(case: &RecordedCase, schedule: impl Fn(&mut Simulation, u64)) -> Recording {
    let policy = Policy::parse("recorded", case.policy).unwrap();
    let mut simulation = Simulation::with_policy(case.seed, policy);
    simulation.recorder = Some(DecisionRecorder::new(simulation.now));
    simulation.add_machines("small", 4);
    simulation.run_until(10.0, "a leader", |simulation| simulation.leader().is_some());
    simulation.run(2.0);
    schedule(&mut simulation, case.seed);
    let recorder = simulation
        .recorder
        .take()
        .expect("the recorder was set above");
    recorder.finish(case.name)
}

/// Runs each case, and fails with the literals found if any case leads to other decisions.
fn assert_recorded(cases: &[RecordedCase], schedule: impl Fn(&mut Simulation, u64)) {
    let mut mismatches = String::new();
    for case in cases {
        let found = record(case, &schedule);
        if found != case.expected {
            let (name, seed) = (case.name, case.seed);
            let Recording { effects, hash } = found;
            let _ = writeln!(mismatches, "{name}, seed {seed}: {effects}, {hash:#018x}");
        }
    }
    assert!(
        mismatches.is_empty(),
        "decisions differ from those recorded (see the module's documentation); found:\n{mismatches}"
    );
}

/// Returns jobs of each kind and with each constraint on zones, two of them with dependencies.
fn jobs_of_all_kinds() -> Vec<JobSpec> {
    let array = sample("wk-1", 6, 1.0, 12);
    let mut service = sample("wk-2", 2, 1.0, 1);
    service.job_kind = JobKind::Service;
    let mut gang = sample("wk-3", 3, 2.0, 8);
    gang.job_kind = JobKind::Gang;
    gang.team = "u".into();
    let mut one_zone = sample("wk-4", 3, 1.0, 6);
    one_zone.one_zone = true;
    let mut spread = sample("wk-5", 4, 1.0, 6);
    spread.spread = true;
    let mut urgent = sample("wk-6", 2, 2.0, 5);
    urgent.class = "urgent".into();
    urgent.priority = Priority::High;
    urgent.spot = true;
    let mut dependent = sample("wk-7", 2, 1.0, 4);
    dependent.dependencies = vec!["wk-1".into(), "wk-6".into()];
    let mut cancelled_with_dependency = sample("wk-8", 2, 1.0, 4);
    cancelled_with_dependency.dependencies = vec!["wk-9".into()];
    let mut long = sample("wk-9", 4, 1.0, 90);
    long.team = "u".into();
    vec![
        array,
        service,
        gang,
        one_zone,
        spread,
        urgent,
        dependent,
        long,
        cancelled_with_dependency,
    ]
}

/// Submits jobs of all kinds, to each controller in turn.
fn submit_all(simulation: &mut Simulation) {
    for (n, spec) in jobs_of_all_kinds().iter().enumerate() {
        simulation.submit(n % 3, spec);
        simulation.run(0.3);
    }
}

/// Runs jobs of all kinds, cancels one together with its dependents, kills the leader, removes and
/// reboots machines, and lets a machine fail its tasks.
fn takeover_with_cancellations(simulation: &mut Simulation, _seed: u64) {
    submit_all(simulation);
    simulation.run(3.0);
    simulation.cancel(1, "wk-9");
    if let Some(leader) = simulation.leader() {
        simulation.cancel_without_waiting((leader + 1) % 3, "wk-5");
        simulation.kill(leader, Duration::from_secs(4));
    }
    simulation.run(6.0);
    let ids: Vec<_> = simulation.workers.keys().cloned().collect();
    simulation.workers.remove(&ids[0]);
    simulation.reboot(&ids[1], true);
    simulation.reboot(&ids[2], false);
    simulation
        .workers
        .values_mut()
        .take(1)
        .for_each(|m| m.failing = true);
    simulation.submit(2, &sample("wk-10", 8, 1.0, 5));
    simulation.run(15.0);
    simulation
        .workers
        .values_mut()
        .for_each(|m| m.failing = false);
    // A repeated submission, and a job that can never run.
    simulation.submit(0, &sample("wk-1", 6, 1.0, 12));
    simulation.submit(1, &sample("wk-11", 1, 99.0, 1));
    simulation.cancel(0, "wk-2");
    simulation.run(40.0);
}

/// Adds forty machines, lets a job of high priority preempt one of low priority, submits a job that is
/// too large for a single value, and kills the leader. With delegation, the controllers share the machines.
fn many_machines(simulation: &mut Simulation, _seed: u64) {
    simulation.add_machines("small", 40);
    simulation.run(6.0);
    let job_of_unlimited_team = |id: &str, tasks, rank| {
        let mut spec = sample(id, tasks, 2.0, 12);
        (spec.team, spec.priority) = ("u".into(), rank);
        spec
    };
    simulation.submit(0, &job_of_unlimited_team("wk-1", 120, Priority::Low));
    simulation.run(5.0);
    simulation.submit(1, &job_of_unlimited_team("wk-2", 60, Priority::Production));
    simulation.run(3.0);
    simulation.set_store_limits(NEXT_STORE_LIMITS);
    let mut large = job_of_unlimited_team("wk-3", 4, Priority::Normal);
    large.image = "x".repeat(3 * NEXT_STORE_LIMITS.0);
    simulation.submit(2, &large);
    if let Some(leader) = simulation.leader() {
        simulation.kill(leader, Duration::from_secs(2));
    }
    simulation.run(20.0);
    simulation.cancel(1, "wk-1");
    simulation.workers.values_mut().for_each(|m| m.node = 0);
    simulation.run(30.0);
}

/// Runs a machine and a job that fail every task, submits jobs whose dependencies inherit their
/// deadlines, and makes half of the machines silent during a takeover, for longer than a new leader
/// waits for them.
fn failures_and_deadlines(simulation: &mut Simulation, _seed: u64) {
    let failing = simulation.workers.keys().next().unwrap().clone();
    simulation.workers.get_mut(&failing).unwrap().failing = true;
    simulation.broken_jobs.insert("wk-40".into());
    simulation.submit(0, &sample("wk-40", 2, 1.0, 3));
    for n in 0..6 {
        simulation.submit(n % 3, &sample(&format!("wk-5{n}"), 2, 2.0, 4));
        simulation.run(2.0);
    }
    for n in 0..4u64 {
        let mut first = sample(&format!("wk-6{n}"), 2, 2.0, 5);
        first.deadline = (n % 2 == 0).then(|| Duration::from_secs(30 + n));
        let mut last = sample(&format!("wk-7{n}"), 2, 2.0, 5);
        last.dependencies = vec![first.id.clone()];
        last.deadline = Some(Duration::from_secs(36 + n));
        simulation.submit(0, &first);
        simulation.submit(1, &last);
    }
    simulation.run(12.0);
    if let Some(worker) = simulation.workers.get_mut(&failing) {
        worker.failing = false;
    }
    simulation.faults.cloud_down = true;
    let silent: Vec<_> = simulation.workers.keys().step_by(2).cloned().collect();
    silent.iter().for_each(|id| simulation.partition_worker(id));
    if let Some(leader) = simulation.leader() {
        simulation.kill(leader, Duration::from_secs(30));
    }
    simulation.run(6.0);
    for n in 0..3 {
        let mut urgent = sample(&format!("wk-8{n}"), 4, 2.0, 6);
        (urgent.class, urgent.priority, urgent.spot) =
            ("urgent".into(), Priority::High, n % 2 == 0);
        simulation.submit(n, &urgent);
    }
    simulation.faults.cloud_down = false;
    simulation.run(14.0);
    simulation.heal_worker_partitions();
    simulation.run(40.0);
}

/// Makes the store lose all data, later restores a backup, and then makes the store lose all data again
/// while the leader is killed.
fn store_losses(simulation: &mut Simulation, _seed: u64) {
    submit_all(simulation);
    simulation.run(3.0);
    let backup = simulation.backup();
    simulation.submit(0, &sample("wk-20", 4, 1.0, 25));
    simulation.lose_store();
    simulation.run(25.0);
    simulation.submit(1, &sample("wk-21", 4, 1.0, 25));
    simulation.cancel(2, "wk-9");
    simulation.restore_backup(&backup);
    simulation.run(25.0);
    simulation.lose_store();
    if let Some(leader) = simulation.leader() {
        simulation.kill(leader, Duration::from_secs(3));
    }
    simulation.run(30.0);
    for node in 0..3 {
        simulation.settle_rebuild(node);
        simulation.offer_snapshot(node, "another store", &backup);
    }
    simulation.cancel(0, "wk-2");
    simulation.run(20.0);
}

/// Delays, duplicates, loses and reorders messages, with frequent changes of the leader.
fn faulty_network(simulation: &mut Simulation, _seed: u64) {
    simulation.faults.duplicate_delay = Duration::from_secs(4);
    simulation.faults.late_write_share = 0.1;
    simulation.faults.lost_response_share = 0.2;
    simulation.faults.late_command_share = 0.2;
    simulation.faults.replayed_heartbeat_share = 0.3;
    submit_all(simulation);
    simulation.run(5.0);
    simulation.faults.store_delay = Duration::from_millis(600);
    simulation.cancel(1, "wk-9");
    simulation.run(5.0);
    simulation.faults.store_delay = Duration::ZERO;
    for (n, link) in [Link::Refused, Link::Held, Link::ResponsesLost]
        .into_iter()
        .enumerate()
    {
        simulation.nodes[n].store_link = link;
        simulation.run(4.0);
        simulation.submit(n, &sample(&format!("wk-3{n}"), 3, 1.0, 6));
        simulation.nodes[n].store_link = Link::Good;
        simulation.release_held();
        simulation.nodes[n].peers_reachable = false;
        simulation.run(4.0);
        simulation.nodes[n].peers_reachable = true;
    }
    simulation.set_store_outage(true);
    simulation.run(8.0);
    simulation.set_store_outage(false);
    simulation
        .workers
        .values_mut()
        .step_by(2)
        .for_each(|m| m.inbound_partitioned = true);
    simulation.run(6.0);
    simulation.workers.values_mut().for_each(|m| {
        (m.inbound_partitioned, m.outbound_partitioned) = (false, m.inbound_partitioned)
    });
    simulation.run(6.0);
    simulation
        .workers
        .values_mut()
        .for_each(|m| m.outbound_partitioned = false);
    simulation.run(25.0);
}

#[test]
fn takeover_and_cancellation_decisions_are_as_recorded() {
    let cases = [
        recorded("takeover-alone", 1001, ALONE, 531, 0xb00b_7488_fa70_4122),
        recorded(
            "takeover-delegating",
            1002,
            DELEGATING,
            1211,
            0x7fdd_8f1c_c5e9_3d94,
        ),
        recorded(
            "takeover-bidding",
            1003,
            BIDDING,
            660,
            0x3d0f_ed01_b059_f713,
        ),
        recorded(
            "takeover-both",
            1004,
            BIDDING_AND_DELEGATING,
            1340,
            0x6e88_f1f8_ab70_1b9b,
        ),
    ];
    assert_recorded(&cases, takeover_with_cancellations);
}

#[test]
fn failure_and_deadline_decisions_are_as_recorded() {
    let cases = [
        recorded("failures-alone", 6001, ALONE, 700, 0xfb80_8b81_2604_2768),
        recorded(
            "failures-delegating",
            6002,
            DELEGATING,
            1510,
            0x3de8_5285_56d6_ab08,
        ),
        recorded(
            "failures-bidding",
            6003,
            BIDDING,
            638,
            0xc470_bc55_afc3_b333,
        ),
        recorded(
            "failures-both",
            6004,
            BIDDING_AND_DELEGATING,
            1448,
            0x6383_2c19_59df_5b9e,
        ),
    ];
    assert_recorded(&cases, failures_and_deadlines);
}

#[test]
fn many_machine_decisions_are_as_recorded() {
    let cases = [
        recorded(
            "many-machines-alone",
            5001,
            ALONE,
            3563,
            0xe845_6073_d029_4566,
        ),
        recorded(
            "many-machines-delegating",
            5002,
            DELEGATING,
            4206,
            0xadce_6089_65b4_d273,
        ),
        recorded(
            "many-machines-bidding",
            5003,
            BIDDING,
            3562,
            0xa247_465c_70b6_496a,
        ),
        recorded(
            "many-machines-both",
            5004,
            BIDDING_AND_DELEGATING,
            4316,
            0x11b7_d6ac_6aa2_88b2,
        ),
    ];
    assert_recorded(&cases, many_machines);
}

#[test]
fn store_loss_decisions_are_as_recorded() {
    let cases = [
        recorded("store-loss-alone", 2001, ALONE, 1025, 0x4d52_ba13_3751_ec40),
        recorded(
            "store-loss-delegating",
            2002,
            DELEGATING,
            2246,
            0x0e4a_7ad9_7a7a_8ef3,
        ),
        recorded(
            "store-loss-bidding",
            2003,
            BIDDING,
            1539,
            0xacf6_6585_cc59_a91c,
        ),
        recorded(
            "store-loss-both",
            2004,
            BIDDING_AND_DELEGATING,
            2436,
            0xe73b_d62d_30da_13c5,
        ),
    ];
    assert_recorded(&cases, store_losses);
}

#[test]
fn faulty_network_decisions_are_as_recorded() {
    let cases = [
        recorded(
            "faulty-network-alone",
            3001,
            ALONE,
            1250,
            0x18c9_d3c0_ad0a_0947,
        ),
        recorded(
            "faulty-network-delegating",
            3002,
            DELEGATING,
            2163,
            0xbd81_5c34_ce62_1020,
        ),
        recorded(
            "faulty-network-bidding",
            3003,
            BIDDING,
            1782,
            0xbfdf_f2c0_f6d0_e014,
        ),
        recorded(
            "faulty-network-both",
            3004,
            BIDDING_AND_DELEGATING,
            2774,
            0x0b2a_73a3_c2cc_6e98,
        ),
    ];
    assert_recorded(&cases, faulty_network);
}

const MIXED_FAULTS: [RecordedCase; 12] = [
    recorded(
        "mixed-faults-alone-1",
        4001,
        ALONE,
        1636,
        0xc5f8_cbbc_02ed_6d55,
    ),
    recorded(
        "mixed-faults-delegating-1",
        4002,
        DELEGATING,
        2178,
        0xa211_0289_c08f_e113,
    ),
    recorded(
        "mixed-faults-bidding-1",
        4003,
        BIDDING,
        1204,
        0x7ba2_7d48_8484_c443,
    ),
    recorded(
        "mixed-faults-both-1",
        4004,
        BIDDING_AND_DELEGATING,
        2525,
        0xff0b_bbab_c07a_81dd,
    ),
    recorded(
        "mixed-faults-alone-2",
        4005,
        ALONE,
        1795,
        0x08eb_0742_82b8_56b6,
    ),
    recorded(
        "mixed-faults-delegating-2",
        4006,
        DELEGATING,
        3702,
        0xee5f_8d16_af63_2921,
    ),
    recorded(
        "mixed-faults-bidding-2",
        4007,
        BIDDING,
        1604,
        0x4d9c_3a6e_b5a4_d409,
    ),
    recorded(
        "mixed-faults-both-2",
        4008,
        BIDDING_AND_DELEGATING,
        2171,
        0x79b2_21d5_381c_c376,
    ),
    recorded(
        "mixed-faults-alone-3",
        4009,
        ALONE,
        1324,
        0x4bef_8148_e2a2_c035,
    ),
    recorded(
        "mixed-faults-delegating-3",
        4010,
        DELEGATING,
        4333,
        0x6292_0bdb_159c_a217,
    ),
    recorded(
        "mixed-faults-bidding-3",
        4011,
        BIDDING,
        1666,
        0x692c_a0d7_c1e2_ee67,
    ),
    recorded(
        "mixed-faults-both-3",
        4012,
        BIDDING_AND_DELEGATING,
        2985,
        0x1cb2_eed7_9367_5301,
    ),
];

#[test]
fn mixed_fault_decisions_are_as_recorded() {
    assert_recorded(&MIXED_FAULTS, inject_mixed_faults);
}
