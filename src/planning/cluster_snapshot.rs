//! The board: what placing and renting need to know of every machine, kept current machine by
//! machine. The owner puts a machine again whenever something about it changed, so a step costs
//! what changed and what is looked for, not all there is.

use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{JobSpec, MachineId, Priority, Resources, TaskId};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// A kind of machine in a zone, ordinary or spot.
pub use burlusher_market::Offer;

/// Whether a job may use machines of this kind, in this zone, ordinary or spot.
pub fn allows(spec: &JobSpec, (kind, zone, spot): &Offer) -> bool {
    (spec.spot || !spot || !is_enabled(Safeguard::Spot))
        && spec.allows_type(kind)
        && spec.allows_zone(zone)
}

/// An image's name in short. Two names of one tag could only make a fetch look cheaper than it is.
pub type ImageTag = u64;

/// The tag that stands for an image's name.
pub fn image_tag(name: &str) -> ImageTag {
    let mut h = DefaultHasher::new();
    name.hash(&mut h);
    h.finish()
}

/// A task that holds room on a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    pub key: TaskId,
    pub needs: Resources,
    /// Expected end; `None` for services and overruns, which count as endless.
    pub ends: Option<Instant>,
    /// Since when it runs.
    pub since: Option<Instant>,
    /// Time it takes to save when it is stopped, if it can: then no more than that is lost.
    pub checkpoint_in: Option<Duration>,
    pub rank: Priority,
    pub team: Option<usize>,
    pub stopping: bool,
}

impl RunningTask {
    /// Work that would be lost if it were stopped now.
    pub fn lost_work(&self, now: Instant) -> Duration {
        let ran = self
            .since
            .map_or(Duration::ZERO, |s| now.saturating_duration_since(s));
        self.checkpoint_in.map_or(ran, |s| ran.min(s))
    }
}

/// What a machine is good for at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeUsage {
    /// It may be given tasks.
    Open,
    /// It boots and is expected to take tasks from this moment on.
    Booting(Instant),
    /// It takes nothing now, but the room of what ends on it will be of use.
    Resting,
    /// It is on its way out; only what it holds still counts.
    Closed,
}

/// A machine as placing and renting see it.
#[derive(Clone, Debug)]
pub struct Node {
    pub id: MachineId,
    /// Its place in `ClusterSnapshot::classes`.
    pub class: usize,
    pub free: Resources,
    pub usage: NodeUsage,
    /// Images that are on the machine or being fetched.
    pub images: Vec<ImageTag>,
    /// How many fetches share the machine's rate now.
    pub fetching: usize,
    /// Doubts about the machine, in seconds of delay that it is worth to avoid it.
    pub distrust_s: f64,
    /// It holds nothing, and nothing is on its way to it, since then.
    pub idle_since: Option<Instant>,
    pub tasks: Vec<RunningTask>,
}

/// Machines that are alike.
#[derive(Clone, Debug)]
pub struct MachineClass {
    pub offer: Offer,
    pub room: Resources,
    pub fetch_gb_per_s: f64,
    pub machines: usize,
}

impl MachineClass {
    /// Whether a job may use machines of this class.
    pub fn allowed(&self, spec: &JobSpec) -> bool {
        allows(spec, &self.offer)
    }
}

/// All machines, and the indices by which a step finds those that matter to it.
#[derive(Default)]
pub struct ClusterSnapshot {
    pub classes: Vec<MachineClass>,
    node_indices: BTreeMap<MachineId, usize>,
    nodes: Vec<Option<Node>>,
    vacant: Vec<usize>,
    /// Machines that take tasks and have room for some.
    open: BTreeSet<usize>,
    booting: BTreeSet<usize>,
    idle: BTreeSet<usize>,
    /// Expected ends, with the machine and the task's place on it.
    ends: BTreeSet<(Instant, usize, usize)>,
    /// What the tasks of each team hold.
    used: BTreeMap<usize, Resources>,
    /// How many tasks of each rank are on machines.
    ranks: BTreeMap<Priority, usize>,
    /// Machines and ends looked at so far, by which the stories judge the cost of a step.
    pub inspected: Cell<u64>,
}

/// Less room than this is none.
const EPSILON: f64 = 1e-3;

impl ClusterSnapshot {
    /// The class of machines that an offer brings, with its type's newest figures.
    pub fn class(&mut self, offer: &Offer, room: Resources, fetch_gb_per_s: f64) -> usize {
        let i = match self.classes.iter().position(|c| c.offer == *offer) {
            Some(i) => i,
            None => {
                self.classes.push(MachineClass {
                    offer: offer.clone(),
                    room,
                    fetch_gb_per_s,
                    machines: 0,
                });
                self.classes.len() - 1
            }
        };
        (self.classes[i].room, self.classes[i].fetch_gb_per_s) = (room, fetch_gb_per_s);
        i
    }

    /// Counts what a step looks at.
    pub fn count_inspected(&self, n: usize) {
        self.inspected.set(self.inspected.get() + n as u64);
    }

    /// Takes in a machine, or what has become of it.
    pub fn put(&mut self, node: Node) {
        self.count_inspected(1);
        let node_index = match self.node_indices.get(&node.id) {
            Some(&node_index) => {
                self.withdraw(node_index);
                node_index
            }
            None => {
                let node_index = self.vacant.pop().unwrap_or(self.nodes.len());
                if node_index == self.nodes.len() {
                    self.nodes.push(None);
                }
                self.node_indices.insert(node.id.clone(), node_index);
                node_index
            }
        };
        self.classes[node.class].machines += 1;
        for (n, t) in node.tasks.iter().enumerate() {
            if let Some(at) = t.ends {
                self.ends.insert((at, node_index, n));
            }
            if let Some(team) = t.team {
                self.used.entry(team).or_default().add(&t.needs);
            }
            *self.ranks.entry(t.rank).or_default() += 1;
        }
        match node.usage {
            NodeUsage::Open if node.free.cpus > EPSILON && node.free.ram > EPSILON => {
                self.open.insert(node_index);
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

    /// Takes a host's entries out of the indices.
    fn withdraw(&mut self, node_index: usize) -> Option<Node> {
        let node = self.nodes[node_index].take()?;
        self.classes[node.class].machines -= 1;
        for (n, t) in node.tasks.iter().enumerate() {
            if let Some(at) = t.ends {
                self.ends.remove(&(at, node_index, n));
            }
            if let Some(u) = t.team.and_then(|team| self.used.get_mut(&team)) {
                u.sub(&t.needs);
            }
            if let Some(n) = self.ranks.get_mut(&t.rank) {
                *n -= 1;
            }
        }
        self.open.remove(&node_index);
        self.booting.remove(&node_index);
        self.idle.remove(&node_index);
        Some(node)
    }

    /// The machine is gone.
    pub fn remove(&mut self, id: &MachineId) {
        if let Some(node_index) = self.node_indices.remove(id) {
            self.withdraw(node_index);
            self.vacant.push(node_index);
        }
    }

    /// Where a machine stands on the board; its slot stays while it is there.
    pub fn node_index(&self, id: &MachineId) -> Option<usize> {
        self.node_indices.get(id).copied()
    }

    pub fn node(&self, node_index: usize) -> &Node {
        self.nodes[node_index]
            .as_ref()
            .expect("a listed slot is taken")
    }

    pub fn node_mut(&mut self, node_index: usize) -> &mut Node {
        self.nodes[node_index]
            .as_mut()
            .expect("a listed slot is taken")
    }

    pub fn class_of(&self, node_index: usize) -> &MachineClass {
        &self.classes[self.node(node_index).class]
    }

    pub fn zone_of(&self, node_index: usize) -> &str {
        &self.class_of(node_index).offer.1
    }

    /// Machines that take tasks and have some room, in a fixed order.
    pub fn open(&self) -> impl Iterator<Item = usize> + '_ {
        self.count_inspected(self.open.len());
        self.open.iter().copied()
    }

    pub fn booting(&self) -> impl Iterator<Item = usize> + '_ {
        self.count_inspected(self.booting.len());
        self.booting.iter().copied()
    }

    pub fn idle(&self) -> impl Iterator<Item = usize> + '_ {
        self.count_inspected(self.idle.len());
        self.idle.iter().copied()
    }

    /// All machines: for what has no index, and is asked rarely.
    pub fn nodes(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.count_inspected(self.nodes.len());
        let nodes = self.nodes.iter().enumerate();
        nodes.filter_map(|(node_index, h)| Some((node_index, h.as_ref()?)))
    }

    /// Expected ends from `now` on, the earliest first. What should have ended already has
    /// overrun its estimate and counts as endless.
    pub fn ends(&self, now: Instant) -> impl Iterator<Item = (Instant, usize, &RunningTask)> {
        self.ends.range((now, 0, 0)..).map(|&(at, node_index, n)| {
            self.count_inspected(1);
            (at, node_index, &self.node(node_index).tasks[n])
        })
    }

    /// Whether any task of a lower rank than this is on a machine.
    pub fn has_lower_priority(&self, rank: Priority) -> bool {
        self.ranks.iter().any(|(r, n)| *r > rank && *n > 0)
    }

    /// What a team's tasks hold.
    pub fn used(&self, team: usize) -> Resources {
        self.used.get(&team).copied().unwrap_or_default()
    }

    /// Sums the teams' use afresh: adding and taking away for hours leaves rounding errors.
    pub fn recompute_team_usage(&mut self) {
        let mut used: BTreeMap<usize, Resources> = BTreeMap::new();
        for node in self.nodes.iter().flatten() {
            for t in &node.tasks {
                if let Some(team) = t.team {
                    used.entry(team).or_default().add(&t.needs);
                }
            }
        }
        self.used = used;
    }

    /// The most that a machine has of each resource.
    pub fn largest(&self) -> Resources {
        let mut most = Resources::default();
        for c in self.classes.iter().filter(|c| c.machines > 0) {
            most.cpus = most.cpus.max(c.room.cpus);
            most.gpus = most.gpus.max(c.room.gpus);
            most.ram = most.ram.max(c.room.ram);
        }
        most
    }
}
