use super::*;
use crate::job::{JobSpec, Priority};
use crate::planning::cluster_snapshot::{Node, NodeUsage, Offer, RunningTask};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

fn item(size: usize, shadow_size: usize) -> KnapsackItem {
    KnapsackItem {
        size,
        shadow_size,
        priority_weight: 1.0,
    }
}

/// The example of figure 3.4 and tables 3.4 to 3.7 of the thesis: five free processors, jobs 2 to 5.
#[test]
fn the_thesis_example_fills_the_machine_from_the_head_of_the_queue() {
    let queue = [item(2, 0), item(1, 1), item(2, 2), item(3, 3)];
    let mut tables = KnapsackTables::default();
    let used = |picked: &[usize]| picked.iter().map(|&i| queue[i].size).sum::<usize>();
    let at_zero = select_items(&queue, 5, 0, &mut tables);
    assert_eq!(at_zero, [0]);
    assert_eq!(used(&select_items(&queue, 5, 1, &mut tables)), 3);
    assert_eq!(used(&select_items(&queue, 5, 2, &mut tables)), 4);
    // Figure 3.5: of the two sets that fill the machine, the one closer to the head is selected.
    assert_eq!(select_items(&queue, 5, 3, &mut tables), [0, 1, 2]);
    // Cell (4,2,2): of two jobs that use all free capacity, the one that uses none at the shadow time.
    assert_eq!(select_items(&queue[..3], 2, 2, &mut tables), [0]);
    // Section 3.5.1: a lookahead of three selects the same set.
    assert_eq!(select_items(&queue[..3], 5, 3, &mut tables), [0, 1, 2]);
}

#[test]
fn ties_go_to_the_greater_total_slowdown() {
    let mut queue = [item(3, 0), item(3, 0)];
    queue[1].priority_weight = 2.0;
    assert_eq!(
        select_items(&queue, 3, 0, &mut KnapsackTables::default()),
        [1]
    );
}

#[test]
fn the_program_agrees_with_exhaustive_search() {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut tables = KnapsackTables::default();
    for _ in 0..400 {
        let items: Vec<KnapsackItem> = (0..rng.random_range(1..9))
            .map(|_| {
                let size = rng.random_range(1..6);
                KnapsackItem {
                    size,
                    shadow_size: if rng.random_bool(0.5) { size } else { 0 },
                    priority_weight: rng.random_range(1..5) as f32,
                }
            })
            .collect();
        let (capacity, shadow_capacity) = (rng.random_range(0..14), rng.random_range(0..14));
        let value = |set: &[usize]| {
            let sum =
                |f: fn(&KnapsackItem) -> usize| set.iter().map(|&i| f(&items[i])).sum::<usize>();
            let priority_weight: f32 = set.iter().map(|&i| items[i].priority_weight).sum();
            (sum(|i| i.size), sum(|i| i.shadow_size), priority_weight)
        };
        let mut best = (0, 0, 0.0f32);
        for mask in 0u32..1 << items.len() {
            let set: Vec<usize> = (0..items.len()).filter(|i| mask >> i & 1 == 1).collect();
            let totals = value(&set);
            if totals.0 <= capacity
                && totals.1 <= shadow_capacity
                && (totals.0 > best.0
                    || (totals.0 == best.0
                        && (totals.1 < best.1 || (totals.1 == best.1 && totals.2 > best.2))))
            {
                best = totals;
            }
        }
        let selected = value(&select_items(
            &items,
            capacity,
            shadow_capacity,
            &mut tables,
        ));
        assert!(selected.0 <= capacity && selected.1 <= shadow_capacity);
        assert_eq!(
            (selected.0, selected.1),
            (best.0, best.1),
            "{items:?} {capacity} {shadow_capacity}"
        );
        let all_fit = items.iter().map(|i| i.size).sum::<usize>() <= capacity;
        assert!(
            all_fit || selected.2 == best.2,
            "{items:?} {capacity} {shadow_capacity}"
        );
    }
}

fn spec(id: &str, tasks: u32, cpus: f64, estimate: u64) -> JobSpec {
    let mut spec = crate::job::sample(id, tasks, cpus, estimate);
    (spec.resources.ram, spec.image_gb, spec.spot) = (cpus, 1.0, true);
    spec
}

/// Owner of the collections that a `QueuedJob` borrows.
struct TestJob {
    spec: JobSpec,
    queued: BTreeSet<u32>,
    backoff_until: BTreeMap<u32, Instant>,
    tasks_per_zone: BTreeMap<String, u32>,
    all_or_nothing: bool,
    within_quota: bool,
    may_preempt: bool,
}

fn test_job(spec: JobSpec) -> TestJob {
    TestJob {
        queued: (0..spec.tasks).collect(),
        backoff_until: BTreeMap::new(),
        tasks_per_zone: BTreeMap::new(),
        all_or_nothing: false,
        within_quota: false,
        may_preempt: false,
        spec,
    }
}

impl TestJob {
    fn as_queued(&self) -> QueuedJob<'_> {
        QueuedJob {
            priority: self.spec.priority,
            spec: Arc::new(self.spec.clone()),
            image: 7,
            team: 0,
            queued: &self.queued,
            backoff_until: &self.backoff_until,
            all_or_nothing: self.all_or_nothing,
            single_trial: false,
            expected_runtime: self.spec.estimate,
            tasks_per_zone: self.tasks_per_zone.clone(),
            avoided_nodes: Vec::new(),
            within_quota: self.within_quota,
            may_preempt: self.may_preempt,
            priority_weight: 1.0,
            excluded_offers: Vec::new(),
        }
    }
}

fn resources(cpus: f64) -> Resources {
    Resources {
        cpus,
        gpus: 0.0,
        ram: cpus,
    }
}

fn node(
    snapshot: &mut ClusterSnapshot,
    id: &str,
    zone: &str,
    cpus: f64,
    tasks: Vec<RunningTask>,
) -> usize {
    let machine_type = format!("k{cpus}");
    let class = snapshot.class_index(
        &Offer::new(&machine_type, zone, false),
        resources(cpus),
        1.0,
    );
    let mut free = resources(cpus);
    for t in &tasks {
        free.sub(&t.resources);
    }
    snapshot.put(Node {
        id: id.into(),
        class,
        free,
        usage: NodeUsage::Schedulable,
        images: vec![],
        active_fetches: 0,
        fault_penalty_s: 0.0,
        idle_since: None,
        tasks,
    });
    snapshot.node_index(&id.into()).unwrap()
}

fn running_task(cpus: f64, expected_end: Option<Instant>, running_since: Instant) -> RunningTask {
    RunningTask {
        id: TaskId {
            job: "wk-0".into(),
            index: cpus as u32,
        },
        resources: resources(cpus),
        expected_end,
        running_since: Some(running_since),
        checkpoint_duration: None,
        priority: Priority::Low,
        team: None,
        stopping: false,
    }
}

fn head(job_index: usize, starts_in: Option<Duration>) -> QueueHead {
    QueueHead {
        job_index,
        starts_in,
    }
}

fn run_plan(
    snapshot: &mut ClusterSnapshot,
    jobs: &[TestJob],
    team: TeamUsage,
    now: Instant,
) -> SchedulingPlan {
    let mut queue: Vec<QueuedJob> = jobs.iter().map(TestJob::as_queued).collect();
    plan(
        snapshot,
        &mut queue,
        &mut [team],
        now,
        &mut KnapsackTables::default(),
    )
}

#[test]
fn the_head_is_never_delayed_by_what_runs_past_its_reservation() {
    // The head needs 8 of 10 CPUs; 4 are free now and 10 in 30 s, when 2 remain beside the head.
    let now = Instant::now();
    let queue = [
        test_job(spec("wk-1", 1, 8.0, 100)),
        test_job(spec("wk-2", 1, 4.0, 100)),
        test_job(spec("wk-3", 1, 2.0, 100)),
        test_job(spec("wk-4", 1, 2.0, 20)),
    ];
    let mut snapshot = ClusterSnapshot::default();
    let end = now + Duration::from_secs(30);
    node(
        &mut snapshot,
        "m",
        "a",
        10.0,
        vec![running_task(6.0, Some(end), now)],
    );
    let decision = run_plan(&mut snapshot, &queue, TeamUsage::default(), now);
    assert_eq!(decision.head, Some(head(0, Some(Duration::from_secs(30)))));
    let jobs: Vec<usize> = decision.starts.iter().map(|s| s.job_index).collect();
    assert_eq!(jobs, [2, 3]);
}

#[test]
fn a_head_behind_endless_work_gets_no_reservation_and_blocks_no_other_job() {
    let now = Instant::now();
    let queue = [
        test_job(spec("wk-1", 1, 8.0, 100)),
        test_job(spec("wk-2", 1, 4.0, 1000)),
    ];
    for ends in [None, Some(now - Duration::from_secs(1))] {
        let mut snapshot = ClusterSnapshot::default();
        node(
            &mut snapshot,
            "m",
            "a",
            10.0,
            vec![running_task(6.0, ends, now)],
        );
        let decision = run_plan(&mut snapshot, &queue, TeamUsage::default(), now);
        assert_eq!(decision.head, Some(head(0, None)));
        assert_eq!(decision.starts.len(), 1);
    }
}

#[test]
fn zone_constraints_team_limits_and_gangs_are_respected() {
    let now = Instant::now();
    let new_snapshot = || {
        let mut snapshot = ClusterSnapshot::default();
        let large = node(&mut snapshot, "m", "a", 8.0, vec![]);
        let small = node(&mut snapshot, "n", "b", 3.0, vec![]);
        (snapshot, large, small)
    };
    let unlimited = TeamUsage::default;
    let mut job = test_job(spec("wk-1", 6, 1.0, 10));
    job.spec.spread = true;
    let (mut snapshot, large, _) = new_snapshot();
    let decision = run_plan(&mut snapshot, std::slice::from_ref(&job), unlimited(), now);
    let in_a = decision
        .starts
        .iter()
        .filter(|s| s.node_index == large)
        .count();
    assert_eq!((decision.starts.len(), in_a), (6, 3));

    job.spec.spread = false;
    job.spec.one_zone = true;
    job.tasks_per_zone.insert("b".into(), 1);
    let (mut snapshot, _, small) = new_snapshot();
    let decision = run_plan(&mut snapshot, std::slice::from_ref(&job), unlimited(), now);
    assert!(decision.starts.iter().all(|s| s.node_index == small));
    assert_eq!(decision.starts.len(), 3);

    job.tasks_per_zone.clear();
    job.spec.one_zone = false;
    let limited = TeamUsage {
        cpus: 2.0,
        cpu_limit: Some(4.0),
        ..TeamUsage::default()
    };
    let (mut snapshot, _, _) = new_snapshot();
    let decision = run_plan(&mut snapshot, std::slice::from_ref(&job), limited, now);
    assert_eq!(decision.starts.len(), 2);

    // A gang starts with all of its tasks or not at all.
    let mut gang = test_job(spec("wk-2", 12, 1.0, 10));
    gang.all_or_nothing = true;
    let (mut snapshot, large, _) = new_snapshot();
    let decision = run_plan(&mut snapshot, std::slice::from_ref(&gang), unlimited(), now);
    assert!(decision.starts.is_empty());
    // The failed attempt leaves no allocation and no image behind.
    assert_eq!(snapshot.node(large).free, resources(8.0));
    assert!(snapshot.node(large).images.is_empty() && snapshot.node(large).active_fetches == 0);
    gang.queued = (0..11).collect();
    let (mut snapshot, _, _) = new_snapshot();
    let decision = run_plan(&mut snapshot, std::slice::from_ref(&gang), unlimited(), now);
    assert_eq!(decision.starts.len(), 11);
}

#[test]
fn a_gang_waits_for_the_end_that_lets_all_of_it_start() {
    let now = Instant::now();
    let at = |s| Some(now + Duration::from_secs(s));
    let mut snapshot = ClusterSnapshot::default();
    node(
        &mut snapshot,
        "m",
        "a",
        4.0,
        vec![running_task(4.0, at(10), now)],
    );
    node(
        &mut snapshot,
        "n",
        "b",
        4.0,
        vec![running_task(4.0, at(20), now)],
    );
    node(
        &mut snapshot,
        "o",
        "a",
        4.0,
        vec![running_task(4.0, at(30), now)],
    );
    let mut gang = test_job(spec("wk-1", 6, 1.0, 10));
    gang.all_or_nothing = true;
    let decision = run_plan(
        &mut snapshot,
        std::slice::from_ref(&gang),
        TeamUsage::default(),
        now,
    );
    assert_eq!(decision.head, Some(head(0, Some(Duration::from_secs(20)))));
    gang.spec.one_zone = true;
    let decision = run_plan(
        &mut snapshot,
        std::slice::from_ref(&gang),
        TeamUsage::default(),
        now,
    );
    assert_eq!(decision.head, Some(head(0, Some(Duration::from_secs(30)))));
}

#[test]
fn only_tasks_of_lower_priority_or_on_borrowed_quota_are_preempted_youngest_first() {
    let now = Instant::now() + Duration::from_secs(1000);
    let mut waiting = test_job(spec("wk-1", 1, 4.0, 10));
    waiting.may_preempt = true;
    let preempted = |priority, quota_cpus: f64, within_quota, waiting: &TestJob| {
        let end = Some(now + Duration::from_secs(500));
        let mut old = running_task(4.0, end, now - Duration::from_secs(40));
        let mut young = running_task(4.0, end, now - Duration::from_secs(5));
        (old.id.index, young.id.index) = (0, 1);
        for t in [&mut old, &mut young] {
            (t.priority, t.team) = (priority, Some(1));
        }
        let mut snapshot = ClusterSnapshot::default();
        node(&mut snapshot, "m", "a", 8.0, vec![old, young]);
        let mut queue = [waiting.as_queued()];
        queue[0].within_quota = within_quota;
        let other_team = TeamUsage {
            cpu_quota: quota_cpus,
            ..TeamUsage::default()
        };
        let mut teams = [TeamUsage::default(), other_team];
        teams[1].cpus = 8.0;
        let decision = plan(
            &mut snapshot,
            &mut queue,
            &mut teams,
            now,
            &mut KnapsackTables::default(),
        );
        decision
            .preemptions
            .iter()
            .map(|s| s.task.index)
            .collect::<Vec<_>>()
    };
    assert_eq!(preempted(Priority::Low, 100.0, false, &waiting), [1]);
    assert_eq!(
        preempted(Priority::Normal, 100.0, true, &waiting),
        [0u32; 0]
    );
    assert_eq!(preempted(Priority::Production, 4.0, true, &waiting), [1]);
    assert_eq!(
        preempted(Priority::Production, 0.0, false, &waiting),
        [0u32; 0]
    );
    waiting.may_preempt = false;
    assert_eq!(preempted(Priority::Low, 100.0, false, &waiting), [0u32; 0]);
}
