//! Snapshot of the cluster for placement and autoscaling: every machine with its free resources and
//! tasks.
//!
//! The owner of the state replaces a node whenever its machine has changed, and the snapshot keeps
//! its indices up to date. The cost of a scheduling step therefore depends on the number of changed
//! and searched nodes, not on the size of the cluster.

use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{JobSpec, MachineId, Priority, Resources, TaskId};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

pub use burlusher_market::Offer;

/// Returns whether a job may use machines of this offer.
pub fn allows(spec: &JobSpec, offer: &Offer) -> bool {
    (spec.spot || !offer.spot || !is_enabled(Safeguard::SpotEligibility))
        && spec.allows_type(&offer.machine_type)
        && spec.allows_zone(&offer.zone)
}

/// Hash of an image's name. A collision only makes a fetch look cheaper than it is.
pub type ImageHash = u64;

/// Returns the hash of an image's name.
pub fn image_hash(name: &str) -> ImageHash {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Task that holds resources on a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    /// Identifier of the task.
    pub id: TaskId,
    /// Resources that the task holds.
    pub resources: Resources,
    /// Expected end; `None` for services and for tasks that have overrun their estimate, which count as
    /// endless.
    pub expected_end: Option<Instant>,
    /// Start of the task's run; `None` while it is still starting.
    pub running_since: Option<Instant>,
    /// Time that a checkpoint takes when the task is stopped, which bounds the work lost by stopping
    /// it; `None` if the task does not write checkpoints.
    pub checkpoint_duration: Option<Duration>,
    /// Priority of the task's job, or that of a more urgent job that depends on it.
    pub priority: Priority,
    /// Team of the task's job, by its index in the settings.
    pub team: Option<usize>,
    /// Whether the task has been asked to stop.
    pub stopping: bool,
}

impl RunningTask {
    /// Returns the work that would be lost if the task were stopped now, as run time.
    pub fn lost_work(&self, now: Instant) -> Duration {
        let ran = self
            .running_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        self.checkpoint_duration
            .map_or(ran, |checkpoint| ran.min(checkpoint))
    }
}

/// Availability of a machine for scheduling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeUsage {
    /// The machine accepts tasks.
    Schedulable,
    /// The machine is booting and is expected to accept tasks from this time on.
    Booting(Instant),
    /// The machine accepts no tasks for now; resources that its tasks release will be usable.
    Unschedulable,
    /// The machine is being deleted or reclaimed, or its lease has expired; only the tasks that it still
    /// holds count.
    Removing,
}

/// Machine, as it is represented for placement and autoscaling.
#[derive(Clone, Debug)]
pub struct Node {
    /// Identifier of the machine.
    pub id: MachineId,
    /// Index of the machine's class, see [`ClusterSnapshot::class_index`].
    pub class: usize,
    /// Resources that no task holds.
    pub free: Resources,
    /// Availability of the machine for scheduling.
    pub usage: NodeUsage,
    /// Images that are on the machine or being fetched to it.
    pub images: Vec<ImageHash>,
    /// Number of image fetches that share the machine's download rate now.
    pub active_fetches: usize,
    /// Delay, in seconds, that is accepted to avoid the machine because of its past faults.
    pub fault_penalty_s: f64,
    /// Time since which the machine has held no task and no call to it has been in flight.
    pub idle_since: Option<Instant>,
    /// Tasks on the machine.
    pub tasks: Vec<RunningTask>,
}

/// Machines of one offer, which are interchangeable when empty.
#[derive(Clone, Debug)]
pub struct MachineClass {
    /// Machine type, zone, and whether the machines are spot machines.
    pub offer: Offer,
    /// Capacity of one empty machine.
    pub capacity: Resources,
    /// Rate at which one machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Number of machines of the class.
    pub machines: usize,
}

impl MachineClass {
    /// Returns whether a job may use machines of this class.
    pub fn allows(&self, spec: &JobSpec) -> bool {
        allows(spec, &self.offer)
    }

    /// Returns the time for one machine to fetch an image while it fetches nothing else, in seconds.
    pub fn fetch_seconds(&self, image_gb: f64) -> f64 {
        fetch_seconds(image_gb, self.fetch_gb_per_s)
    }
}

/// Returns the time for a fetch at an announced rate, in seconds.
pub fn fetch_seconds(image_gb: f64, announced_gb_per_s: f64) -> f64 {
    image_gb / announced_gb_per_s.max(MIN_FETCH_GB_PER_S)
}

/// All machines, with the indices that a scheduling step searches.
///
/// Invariant: the indices match the nodes as they were last passed to [`ClusterSnapshot::put`].
/// Allocations of a scheduling step change a node's free resources and images, but no index.
#[derive(Default)]
pub struct ClusterSnapshot {
    classes: Vec<MachineClass>,
    node_indices: BTreeMap<MachineId, usize>,
    nodes: Vec<Option<Node>>,
    vacant_indices: Vec<usize>,
    /// Nodes that accept tasks and have free resources.
    available: BTreeSet<usize>,
    booting: BTreeSet<usize>,
    idle: BTreeSet<usize>,
    /// Expected ends of tasks, with the index of the node and that of the task on it.
    expected_ends: BTreeSet<(Instant, usize, usize)>,
    /// Resources that the tasks of each team hold.
    team_allocations: BTreeMap<usize, Resources>,
    /// Number of tasks of each priority on machines.
    tasks_by_priority: BTreeMap<Priority, usize>,
    /// Number of nodes and expected ends inspected so far, from which tests derive the cost of a step.
    inspected: Cell<u64>,
}

/// Free CPUs or memory (GB) up to this amount count as none.
const MIN_FREE: f64 = 1e-3;
/// Lower bound on the announced fetch rate that is counted.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

impl ClusterSnapshot {
    /// Returns the index of an offer's class, which is created or updated with the newest properties of
    /// its machine type.
    pub fn class_index(
        &mut self,
        offer: &Offer,
        capacity: Resources,
        fetch_gb_per_s: f64,
    ) -> usize {
        let existing = self.classes.iter().position(|c| c.offer == *offer);
        let index = existing.unwrap_or_else(|| {
            self.classes.push(MachineClass {
                offer: offer.clone(),
                capacity,
                fetch_gb_per_s,
                machines: 0,
            });
            self.classes.len() - 1
        });
        let class = &mut self.classes[index];
        class.capacity = capacity;
        class.fetch_gb_per_s = fetch_gb_per_s;
        index
    }

    /// Returns all classes. A class keeps its index, also while it has no machines.
    pub fn classes(&self) -> &[MachineClass] {
        &self.classes
    }

    /// Returns the number of nodes and expected ends inspected so far.
    pub fn inspected(&self) -> u64 {
        self.inspected.get()
    }

    /// Adds to the number of nodes and expected ends inspected.
    pub fn count_inspected(&self, count: usize) {
        self.inspected.set(self.inspected.get() + count as u64);
    }

    /// Adds a node, or replaces the node of the same machine.
    pub fn put(&mut self, node: Node) {
        self.count_inspected(1);
        let node_index = match self.node_indices.get(&node.id) {
            Some(&node_index) => {
                self.remove_from_indices(node_index);
                node_index
            }
            None => self.assign_index(&node.id),
        };
        self.classes[node.class].machines += 1;
        for (task_index, task) in node.tasks.iter().enumerate() {
            if let Some(end) = task.expected_end {
                self.expected_ends.insert((end, node_index, task_index));
            }
            if let Some(team) = task.team {
                let allocation = self.team_allocations.entry(team).or_default();
                allocation.add(&task.resources);
            }
            *self.tasks_by_priority.entry(task.priority).or_default() += 1;
        }
        match node.usage {
            NodeUsage::Schedulable if node.free.cpus > MIN_FREE && node.free.ram > MIN_FREE => {
                self.available.insert(node_index);
            }
            NodeUsage::Booting(_) => {
                self.booting.insert(node_index);
            }
            _ => {}
        }
        if node.idle_since.is_some() {
            self.idle.insert(node_index);
        }
        self.nodes[node_index] = Some(node);
    }

    /// Assigns an index to a new node, reusing a vacant one if there is any.
    fn assign_index(&mut self, id: &MachineId) -> usize {
        let node_index = self.vacant_indices.pop().unwrap_or(self.nodes.len());
        if node_index == self.nodes.len() {
            self.nodes.push(None);
        }
        self.node_indices.insert(id.clone(), node_index);
        node_index
    }

    /// Removes a node and its entries in the indices; its index stays assigned to the machine.
    fn remove_from_indices(&mut self, node_index: usize) {
        let Some(node) = self.nodes[node_index].take() else {
            return;
        };
        self.classes[node.class].machines -= 1;
        for (task_index, task) in node.tasks.iter().enumerate() {
            if let Some(end) = task.expected_end {
                self.expected_ends.remove(&(end, node_index, task_index));
            }
            let team = task.team;
            if let Some(allocation) = team.and_then(|t| self.team_allocations.get_mut(&t)) {
                allocation.sub(&task.resources);
            }
            if let Some(count) = self.tasks_by_priority.get_mut(&task.priority) {
                *count -= 1;
            }
        }
        self.available.remove(&node_index);
        self.booting.remove(&node_index);
        self.idle.remove(&node_index);
    }

    /// Removes the node of a machine that no longer exists.
    pub fn remove(&mut self, id: &MachineId) {
        if let Some(node_index) = self.node_indices.remove(id) {
            self.remove_from_indices(node_index);
            self.vacant_indices.push(node_index);
        }
    }

    /// Returns the index of a machine's node, which stays the same until the machine is removed.
    pub fn node_index(&self, id: &MachineId) -> Option<usize> {
        self.node_indices.get(id).copied()
    }

    /// Returns the node at an index.
    ///
    /// # Panics
    ///
    /// If no node has this index.
    pub fn node(&self, node_index: usize) -> &Node {
        self.nodes[node_index]
            .as_ref()
            .expect("node index should refer to a node of the snapshot")
    }

    fn node_mut(&mut self, node_index: usize) -> &mut Node {
        self.nodes[node_index]
            .as_mut()
            .expect("node index should refer to a node of the snapshot")
    }

    /// Allocates resources for one more task; the allocation lasts until the node is replaced. Returns
    /// whether the node has to fetch the image for the task.
    pub fn allocate(&mut self, node_index: usize, resources: &Resources, image: ImageHash) -> bool {
        self.count_inspected(1);
        let node = self.node_mut(node_index);
        node.free.sub(resources);
        let needs_fetch = !node.images.contains(&image);
        if needs_fetch {
            node.images.push(image);
            node.active_fetches += 1;
        }
        needs_fetch
    }

    /// Reverts the latest allocation on a node; `needs_fetch` is the result of its `allocate` call.
    pub fn undo_allocation(&mut self, node_index: usize, resources: &Resources, needs_fetch: bool) {
        let node = self.node_mut(node_index);
        node.free.add(resources);
        if needs_fetch {
            node.images.pop();
            node.active_fetches -= 1;
        }
    }

    /// Returns the class of a node.
    pub fn class_of(&self, node_index: usize) -> &MachineClass {
        &self.classes[self.node(node_index).class]
    }

    /// Returns the zone of a node.
    pub fn zone_of(&self, node_index: usize) -> &str {
        &self.class_of(node_index).offer.zone
    }

    /// Returns the nodes that accept tasks and have free resources, in the order of their indices.
    pub fn available(&self) -> impl Iterator<Item = usize> + '_ {
        self.count_inspected(self.available.len());
        self.available.iter().copied()
    }

    /// Returns the booting nodes, in the order of their indices.
    pub fn booting(&self) -> impl Iterator<Item = usize> + '_ {
        self.count_inspected(self.booting.len());
        self.booting.iter().copied()
    }

    /// Returns the idle nodes, in the order of their indices.
    pub fn idle(&self) -> impl Iterator<Item = usize> + '_ {
        self.count_inspected(self.idle.len());
        self.idle.iter().copied()
    }

    /// Returns all nodes. The cost grows with the cluster, so this is for rare queries without an index.
    pub fn nodes(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.count_inspected(self.nodes.len());
        let nodes = self.nodes.iter().enumerate();
        nodes.filter_map(|(node_index, node)| Some((node_index, node.as_ref()?)))
    }

    /// Returns the expected ends from `now` on with node and task, the earliest first. Tasks whose
    /// expected end has passed have overrun their estimate, count as endless and are left out.
    pub fn expected_ends(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (Instant, usize, &RunningTask)> {
        let ends = self.expected_ends.range((now, 0, 0)..);
        ends.map(|&(end, node_index, task_index)| {
            self.count_inspected(1);
            (end, node_index, &self.node(node_index).tasks[task_index])
        })
    }

    /// Returns whether any task of a lower priority than this is on a machine.
    pub fn has_lower_priority_tasks(&self, priority: Priority) -> bool {
        let mut counts = self.tasks_by_priority.iter();
        counts.any(|(other, count)| *other > priority && *count > 0)
    }

    /// Returns the total resources that a team's tasks hold.
    pub fn team_allocation(&self, team: usize) -> Resources {
        self.team_allocations
            .get(&team)
            .copied()
            .unwrap_or_default()
    }

    /// Recomputes the teams' allocations from the tasks, as hours of additions and subtractions
    /// accumulate rounding errors.
    pub fn recompute_team_allocations(&mut self) {
        let mut allocations: BTreeMap<usize, Resources> = BTreeMap::new();
        for node in self.nodes.iter().flatten() {
            for task in &node.tasks {
                if let Some(team) = task.team {
                    allocations.entry(team).or_default().add(&task.resources);
                }
            }
        }
        self.team_allocations = allocations;
    }

    /// Returns the largest amount of each resource that any present machine has in total.
    pub fn largest_capacity(&self) -> Resources {
        let mut largest = Resources::default();
        for class in self.classes.iter().filter(|c| c.machines > 0) {
            largest.cpus = largest.cpus.max(class.capacity.cpus);
            largest.gpus = largest.gpus.max(class.capacity.gpus);
            largest.ram = largest.ram.max(class.capacity.ram);
        }
        largest
    }
}
