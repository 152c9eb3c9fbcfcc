//! The cluster as placement and autoscaling see it: every machine with its free room and tasks.
//!
//! The owner of the state replaces a node whenever something about its machine has changed, and
//! the snapshot keeps indices up to date. A scheduling step therefore costs what has changed and
//! what it searches, not the size of the cluster.

use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{JobSpec, MachineId, Priority, Resources, TaskId};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

pub use burlusher_market::Offer;

/// Whether a job may use machines of this offer.
pub fn allows(spec: &JobSpec, offer: &Offer) -> bool {
    (spec.spot || !offer.spot || !is_enabled(Safeguard::SpotEligibility))
        && spec.allows_type(&offer.machine_type)
        && spec.allows_zone(&offer.zone)
}

/// A hash of an image's name. A collision could only make a fetch look cheaper than it is.
pub type ImageHash = u64;

/// The tag of an image's name.
pub fn image_hash(name: &str) -> ImageHash {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// A task that holds room on a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub id: TaskId,
    /// The room it holds.
    pub resources: Resources,
    /// Expected end; `None` for services and overruns, which count as endless.
    pub expected_end: Option<Instant>,
    /// Since when it runs, if it does already.
    pub running_since: Option<Instant>,
    /// Time a checkpoint takes when the task is stopped, if it can checkpoint: then no more work
    /// than that is lost.
    pub checkpoint_duration: Option<Duration>,
    /// The priority of its job, or of a more urgent one that depends on it.
    pub priority: Priority,
    /// Its team, by its index in the settings.
    pub team: Option<usize>,
    /// It has been asked to stop.
    pub stopping: bool,
}

impl RunningTask {
    /// Work that would be lost if it were stopped now, in run time.
    pub fn lost_work(&self, now: Instant) -> Duration {
        let ran = self
            .running_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        self.checkpoint_duration
            .map_or(ran, |checkpoint| ran.min(checkpoint))
    }
}

/// What a machine can be used for at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeUsage {
    /// It accepts tasks.
    Schedulable,
    /// It boots and is expected to accept tasks from this moment on.
    Booting(Instant),
    /// It accepts no tasks now, but room that becomes free on it will be usable.
    Unschedulable,
    /// It is being removed; only what it still holds counts.
    Removing,
}

/// A machine as placement and autoscaling see it.
#[derive(Clone, Debug)]
pub struct Node {
    /// The machine.
    pub id: MachineId,
    /// Index of its class, see [`ClusterSnapshot::class_index`].
    pub class: usize,
    /// Room that no task holds.
    pub free: Resources,
    /// What it can be used for.
    pub usage: NodeUsage,
    /// Images that are on the machine or being fetched.
    pub images: Vec<ImageHash>,
    /// How many fetches share the machine's download rate now.
    pub active_fetches: usize,
    /// How much delay, in seconds, it is worth to avoid the machine for its past faults.
    pub fault_penalty_s: f64,
    /// Since when it holds nothing and nothing is in flight to it.
    pub idle_since: Option<Instant>,
    /// The tasks on it.
    pub tasks: Vec<RunningTask>,
}

/// Machines of one offer, which are interchangeable when empty.
#[derive(Clone, Debug)]
pub struct MachineClass {
    /// Machine type, zone and whether it is spot.
    pub offer: Offer,
    /// Room of one empty machine.
    pub capacity: Resources,
    /// Rate at which one machine fetches images.
    pub fetch_gb_per_s: f64,
    /// How many machines of the class there are.
    pub machines: usize,
}

impl MachineClass {
    /// Whether a job may use machines of this class.
    pub fn allows(&self, spec: &JobSpec) -> bool {
        allows(spec, &self.offer)
    }

    /// Time one machine takes to fetch an image when nothing else is being fetched, in seconds.
    pub fn fetch_seconds(&self, image_gb: f64) -> f64 {
        fetch_seconds(image_gb, self.fetch_gb_per_s)
    }
}

/// Time a fetch takes at an announced rate, in seconds.
pub fn fetch_seconds(image_gb: f64, announced_gb_per_s: f64) -> f64 {
    image_gb / announced_gb_per_s.max(MIN_FETCH_GB_PER_S)
}

/// All machines, and the indices by which a scheduling step finds those that matter to it.
///
/// Invariant: the indices list exactly the nodes in `nodes` by the state in which they were last
/// put there. Room that a step allocates changes a node's free room only.
#[derive(Default)]
pub struct ClusterSnapshot {
    classes: Vec<MachineClass>,
    node_indices: BTreeMap<MachineId, usize>,
    nodes: Vec<Option<Node>>,
    vacant_indices: Vec<usize>,
    /// Nodes that accept tasks and have room for some.
    available: BTreeSet<usize>,
    booting: BTreeSet<usize>,
    idle: BTreeSet<usize>,
    /// Expected ends, with the node and the task's index on it.
    expected_ends: BTreeSet<(Instant, usize, usize)>,
    /// What the tasks of each team hold.
    team_allocations: BTreeMap<usize, Resources>,
    /// How many tasks of each priority are on machines.
    tasks_by_priority: BTreeMap<Priority, usize>,
    /// Nodes and expected ends inspected so far; tests judge the cost of a step by it.
    inspected: Cell<u64>,
}

/// Less room than this counts as none.
const MIN_FREE: f64 = 1e-3;
/// Announced fetch rates below this are taken for this.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

impl ClusterSnapshot {
    /// The index of an offer's class, which is created or updated with its type's newest figures.
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

    /// All classes; a class keeps its index, also while it has no machines.
    pub fn classes(&self) -> &[MachineClass] {
        &self.classes
    }

    /// How many nodes and expected ends have been inspected so far.
    pub fn inspected(&self) -> u64 {
        self.inspected.get()
    }

    /// Counts what a step inspects.
    pub fn count_inspected(&self, count: usize) {
        self.inspected.set(self.inspected.get() + count as u64);
    }

    /// Adds a node, or replaces it by its present state.
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

    /// An index for a new node: a vacant one if there is any.
    fn assign_index(&mut self, id: &MachineId) -> usize {
        let node_index = self.vacant_indices.pop().unwrap_or(self.nodes.len());
        if node_index == self.nodes.len() {
            self.nodes.push(None);
        }
        self.node_indices.insert(id.clone(), node_index);
        node_index
    }

    /// Removes a node's entries from the indices.
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

    /// Removes a machine that is gone.
    pub fn remove(&mut self, id: &MachineId) {
        if let Some(node_index) = self.node_indices.remove(id) {
            self.remove_from_indices(node_index);
            self.vacant_indices.push(node_index);
        }
    }

    /// The index of a machine's node; it stays the same until the machine is removed.
    pub fn node_index(&self, id: &MachineId) -> Option<usize> {
        self.node_indices.get(id).copied()
    }

    /// The node at an index that this snapshot gave out and that is not vacant.
    pub fn node(&self, node_index: usize) -> &Node {
        self.nodes[node_index]
            .as_ref()
            .expect("a listed node index is in use")
    }

    fn node_mut(&mut self, node_index: usize) -> &mut Node {
        self.nodes[node_index]
            .as_mut()
            .expect("a listed node index is in use")
    }

    /// Allocates room for one more task, until the node is replaced. Returns whether the node
    /// has to fetch the image for it.
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

    /// Takes back the newest allocation on a node; `fetches` is what `allocate` returned.
    pub fn undo_allocation(&mut self, node_index: usize, resources: &Resources, needs_fetch: bool) {
        let node = self.node_mut(node_index);
        node.free.add(resources);
        if needs_fetch {
            node.images.pop();
            node.active_fetches -= 1;
        }
    }

    /// The class of a node.
    pub fn class_of(&self, node_index: usize) -> &MachineClass {
        &self.classes[self.node(node_index).class]
    }

    /// The zone of a node.
    pub fn zone_of(&self, node_index: usize) -> &str {
        &self.class_of(node_index).offer.zone
    }

    /// Nodes that accept tasks and have some room, in a fixed order.
    pub fn available(&self) -> impl Iterator<Item = usize> + '_ {
        self.count_inspected(self.available.len());
        self.available.iter().copied()
    }

    /// Nodes that boot, in a fixed order.
    pub fn booting(&self) -> impl Iterator<Item = usize> + '_ {
        self.count_inspected(self.booting.len());
        self.booting.iter().copied()
    }

    /// Nodes that hold nothing, in a fixed order.
    pub fn idle(&self) -> impl Iterator<Item = usize> + '_ {
        self.count_inspected(self.idle.len());
        self.idle.iter().copied()
    }

    /// All nodes: for questions that have no index and are asked rarely.
    pub fn nodes(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.count_inspected(self.nodes.len());
        let nodes = self.nodes.iter().enumerate();
        nodes.filter_map(|(node_index, node)| Some((node_index, node.as_ref()?)))
    }

    /// Expected ends from `now` on with node and task, the earliest first. A task that should
    /// have ended already has overrun its estimate and counts as endless.
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

    /// Whether any task of a lower priority than this is on a machine.
    pub fn has_lower_priority_tasks(&self, priority: Priority) -> bool {
        let mut counts = self.tasks_by_priority.iter();
        counts.any(|(other, count)| *other > priority && *count > 0)
    }

    /// What a team's tasks hold together.
    pub fn team_allocation(&self, team: usize) -> Resources {
        self.team_allocations
            .get(&team)
            .copied()
            .unwrap_or_default()
    }

    /// Sums the teams' allocations afresh: adding and subtracting for hours leaves rounding errors.
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

    /// The most that a machine has of each resource.
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
