//! Forecast of the capacity that ending tasks and booting machines will provide, and its allocation
//! to the jobs of the queue.

use crate::job::{JobSpec, Priority, Resources};
use crate::planning::cluster_snapshot::{ClusterSnapshot, MachineClass, NodeUsage, Offer, allows};
use crate::wire::MachineType;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Approximate time to stop a task and start another one on its resources.
const PREEMPTION_DELAY: Duration = Duration::from_secs(4);
/// Assumed remaining boot time of a machine that has been booting for longer than expected.
const LATE_BOOT_DELAY: Duration = Duration::from_secs(1);

/// Tasks of one job that wait for capacity.
#[derive(Clone, Debug)]
pub struct PendingDemand {
    /// Job specification as submitted by its user.
    pub spec: Arc<JobSpec>,
    /// Effective priority of the job, which decides which tasks may be preempted for it.
    pub priority: Priority,
    /// Number of waiting tasks.
    pub tasks: u32,
    /// Expected run time of a task.
    pub expected_runtime: Duration,
    /// Longest wait from now on for which adding a machine is not worth its cost.
    pub max_wait: Duration,
    /// The same limit where a spot machine is available.
    pub max_spot_wait: Duration,
    /// Offers that are too expensive for the job.
    pub excluded_offers: Vec<Offer>,
}

impl PendingDemand {
    /// Returns whether the job may use machines of this offer and the offer is not too expensive.
    pub fn accepts(&self, offer: &Offer) -> bool {
        allows(&self.spec, offer) && !self.excluded_offers.contains(offer)
    }
}

/// Machines that have been requested and have no identifiers yet.
#[derive(Clone, Debug)]
pub struct BootingNodes {
    /// Requested offer.
    pub offer: Offer,
    /// Capacity of one machine.
    pub capacity: Resources,
    /// Number of machines requested.
    pub count: u32,
    /// Time from now until the machines are expected to accept tasks.
    pub ready_in: Duration,
}

impl BootingNodes {
    /// Returns machines of this type that are requested now.
    pub fn new(offer: Offer, machine_type: &MachineType, count: u32) -> BootingNodes {
        BootingNodes {
            offer,
            capacity: machine_type.capacity(),
            count,
            ready_in: machine_type.boot_time(),
        }
    }
}

/// Source of capacity in the forecast.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CapacitySource {
    /// Node of the snapshot, by its index.
    Node(usize),
    /// Requested machine, by its index among the requested machines.
    Requested(usize),
    /// Task of the lowest priority that can be preempted, by its index among these tasks.
    Preemptible(usize),
}

/// Time from now at which capacity becomes available, and its source.
type GainKey = (Duration, CapacitySource);

/// Capacity that becomes available without adding machines.
pub struct Forecast<'a> {
    snapshot: &'a ClusterSnapshot,
    booting_nodes: &'a [BootingNodes],
    /// Index in `booting_nodes` of each requested machine.
    requested: Vec<usize>,
    /// Node of each task that can be preempted.
    preemptible: Vec<usize>,
    /// Capacity that becomes available, the earliest first.
    gains: BTreeMap<GainKey, Resources>,
    /// Capacity of each source that was too small for another task and is added to the source's next
    /// gain. A source without an entry has not been used yet.
    leftover: BTreeMap<CapacitySource, Resources>,
    /// Time from now until each booting machine is expected.
    boots: BTreeMap<CapacitySource, Duration>,
    /// Latest time in `boots`.
    last_boot: Duration,
}

impl<'a> Forecast<'a> {
    /// Creates a forecast of the time from `now` up to `horizon`. Capacity in `unreachable_zones` does
    /// not count; that of tasks of the lowest priority does if `allow_preemption` is set.
    pub fn new(
        snapshot: &'a ClusterSnapshot,
        booting_nodes: &'a [BootingNodes],
        now: Instant,
        horizon: Duration,
        allow_preemption: bool,
        unreachable_zones: &[String],
    ) -> Self {
        let mut builder = ForecastBuilder::new(snapshot, unreachable_zones, now);
        builder.add_task_ends(horizon);
        builder.add_booting_nodes();
        let requested = builder.add_requested_nodes(booting_nodes);
        let preemptible = if allow_preemption && snapshot.has_lower_priority_tasks(Priority::Normal)
        {
            builder.add_preemptible_tasks()
        } else {
            Vec::new()
        };
        Forecast {
            snapshot,
            booting_nodes,
            requested,
            preemptible,
            last_boot: builder.boots.values().copied().max().unwrap_or_default(),
            // The gains are nearly sorted, so building the map at once is cheap.
            gains: builder.gains.into_iter().collect(),
            leftover: BTreeMap::new(),
            boots: builder.boots,
        }
    }

    /// Returns the index of a source's class in the result of `accepted_classes`.
    fn class_index(&self, source: CapacitySource) -> usize {
        match source {
            CapacitySource::Node(node_index) => self.snapshot.node(node_index).class,
            CapacitySource::Requested(index) => {
                self.snapshot.classes().len() + self.requested[index]
            }
            CapacitySource::Preemptible(index) => self.snapshot.node(self.preemptible[index]).class,
        }
    }

    /// Returns for each class whether a job accepts it. This is computed once per job, as there may be
    /// thousands of task ends to test.
    fn accepted_classes(&self, demand: &PendingDemand) -> Vec<bool> {
        let present = self.snapshot.classes().iter().map(|class| &class.offer);
        let requested = self.booting_nodes.iter().map(|nodes| &nodes.offer);
        let offers = present.chain(requested);
        offers.map(|offer| demand.accepts(offer)).collect()
    }

    /// Includes the capacity that is free now, for tasks that are expected to arrive.
    pub fn include_free_capacity(&mut self) {
        for node_index in self.snapshot.available() {
            let key = (Duration::ZERO, CapacitySource::Node(node_index));
            self.gains.entry(key).or_default();
        }
    }

    /// Returns the free capacity of a source that has not been used yet.
    fn initial_capacity(&self, source: CapacitySource) -> Resources {
        match source {
            CapacitySource::Node(node_index) if !self.boots.contains_key(&source) => {
                self.snapshot.node(node_index).free
            }
            _ => Resources::default(),
        }
    }

    /// Allocates forecast capacity to a job's tasks and returns the number of tasks left without. Only
    /// capacity that is available within `max_wait`, or on a machine that is booting anyway, is used.
    /// Each task releases its resources after its run time, and starts no earlier than `arrives_in`.
    /// `on_start` is called with the time from now and the number of tasks of each start.
    pub fn allocate(
        &mut self,
        demand: &PendingDemand,
        arrives_in: Duration,
        max_wait: Duration,
        on_start: &mut dyn FnMut(Duration, u32),
    ) -> u32 {
        let mut remaining = demand.tasks;
        let resources = demand.spec.resources;
        let accepted = self.accepted_classes(demand);
        let max_wait = max_wait.max(arrives_in);
        let last = (
            max_wait.max(self.last_boot),
            CapacitySource::Preemptible(usize::MAX),
        );
        let mut from = Bound::Unbounded;
        let is_usable = |forecast: &Self, at: Duration, source: CapacitySource| {
            // A booting machine counts however late it becomes ready; otherwise another one would be
            // requested in its place.
            let in_time = at <= max_wait || forecast.boots.get(&source) == Some(&at);
            let may_preempt = demand.priority < Priority::Low;
            let permitted = may_preempt || !matches!(source, CapacitySource::Preemptible(_));
            in_time && permitted && accepted[forecast.class_index(source)]
        };
        while remaining > 0 {
            let mut gains = self.gains.range((from, Bound::Included(last)));
            let next = gains.find(|((at, source), _)| is_usable(self, *at, *source));
            let Some((&(at, source), &gain)) = next else {
                break;
            };
            from = Bound::Excluded((at, source));
            self.gains.remove(&(at, source));
            let leftover = self.leftover.remove(&source);
            let mut available = leftover.unwrap_or_else(|| self.initial_capacity(source));
            available.add(&gain);
            let count = resources.count_in(&available).min(remaining);
            available.sub(&resources.times(f64::from(count)));
            remaining -= count;
            if remaining == 0 {
                // Capacity that this job does not need is available to the next one at the same time.
                self.gains.insert((at, source), available);
                self.leftover.insert(source, Resources::default());
            } else {
                self.leftover.insert(source, available);
            }
            if count > 0 {
                let starts = at.max(arrives_in);
                on_start(starts, count);
                let ends = starts.saturating_add(demand.expected_runtime);
                let returned = self.gains.entry((ends, source)).or_default();
                returned.add(&resources.times(f64::from(count)));
            }
        }
        remaining
    }
}

/// Collects the gains of a new forecast.
struct ForecastBuilder<'a> {
    snapshot: &'a ClusterSnapshot,
    now: Instant,
    /// Whether the zone of each class can be reached. Tasks that end in other zones release no usable
    /// capacity.
    is_reachable: Vec<bool>,
    gains: Vec<(GainKey, Resources)>,
    boots: BTreeMap<CapacitySource, Duration>,
}

impl<'a> ForecastBuilder<'a> {
    fn new(snapshot: &'a ClusterSnapshot, unreachable_zones: &[String], now: Instant) -> Self {
        let reachable = |class: &MachineClass| !unreachable_zones.contains(&class.offer.zone);
        ForecastBuilder {
            snapshot,
            now,
            is_reachable: snapshot.classes().iter().map(reachable).collect(),
            gains: Vec::new(),
            boots: BTreeMap::new(),
        }
    }

    fn is_reachable(&self, node_index: usize) -> bool {
        self.is_reachable[self.snapshot.node(node_index).class]
    }

    /// Adds the resources of tasks that end within the horizon.
    fn add_task_ends(&mut self, horizon: Duration) {
        for (end, node_index, task) in self.snapshot.expected_ends(self.now) {
            let after = end.saturating_duration_since(self.now);
            if after > horizon {
                break;
            }
            let is_removing = self.snapshot.node(node_index).usage == NodeUsage::Removing;
            if is_removing || !self.is_reachable(node_index) {
                continue;
            }
            let key = (after, CapacitySource::Node(node_index));
            match self.gains.last_mut() {
                Some((last, capacity)) if *last == key => capacity.add(&task.resources),
                _ => self.gains.push((key, task.resources)),
            }
        }
    }

    /// Adds the booting machines that have identifiers.
    fn add_booting_nodes(&mut self) {
        for node_index in self.snapshot.booting() {
            let node = self.snapshot.node(node_index);
            let NodeUsage::Booting(expected) = node.usage else {
                continue;
            };
            if !self.is_reachable(node_index) {
                continue;
            }
            let after = expected.saturating_duration_since(self.now);
            let after = after.max(LATE_BOOT_DELAY);
            let source = CapacitySource::Node(node_index);
            self.gains.push(((after, source), node.free));
            self.boots.insert(source, after);
        }
    }

    /// Adds the requested machines. Returns the index in `booting_nodes` of each.
    fn add_requested_nodes(&mut self, booting_nodes: &[BootingNodes]) -> Vec<usize> {
        let mut requested = Vec::new();
        for (group, nodes) in booting_nodes.iter().enumerate() {
            for _ in 0..nodes.count {
                let source = CapacitySource::Requested(requested.len());
                self.gains.push(((nodes.ready_in, source), nodes.capacity));
                self.boots.insert(source, nodes.ready_in);
                requested.push(group);
            }
        }
        requested
    }

    /// Adds the resources of tasks of the lowest priority, which can be preempted. Returns the node of
    /// each task.
    fn add_preemptible_tasks(&mut self) -> Vec<usize> {
        let mut nodes = Vec::new();
        let all_nodes = self.snapshot.nodes();
        for (node_index, node) in all_nodes.filter(|(_, node)| node.usage == NodeUsage::Schedulable)
        {
            let is_preemptible = |priority: Priority| priority == Priority::Low;
            for task in &node.tasks {
                if is_preemptible(task.priority) && !task.stopping {
                    let source = CapacitySource::Preemptible(nodes.len());
                    self.gains
                        .push(((PREEMPTION_DELAY, source), task.resources));
                    nodes.push(node_index);
                }
            }
        }
        nodes
    }
}

/// Allocates the capacity that becomes available without scale-out to the jobs in queue order, and
/// returns the demands with tasks that would wait longer than `max_wait`, with the number of these
/// tasks.
pub fn unserved_demand<'a>(
    snapshot: &ClusterSnapshot,
    booting_nodes: &[BootingNodes],
    demands: &'a [PendingDemand],
    now: Instant,
    unreachable_zones: &[String],
    max_wait: impl Fn(&PendingDemand) -> Duration,
) -> Vec<(&'a PendingDemand, u32)> {
    let Some(horizon) = demands.iter().map(&max_wait).max() else {
        return Vec::new();
    };
    let allow_preemption = demands.iter().any(|d| d.priority < Priority::Low);
    let mut forecast = Forecast::new(
        snapshot,
        booting_nodes,
        now,
        horizon,
        allow_preemption,
        unreachable_zones,
    );
    let unserved = |demand: &'a PendingDemand| {
        let wait = max_wait(demand);
        let unserved = forecast.allocate(demand, Duration::ZERO, wait, &mut |_, _| {});
        (demand, unserved)
    };
    let demands = demands.iter().map(unserved);
    demands.filter(|(_, unserved)| *unserved > 0).collect()
}
