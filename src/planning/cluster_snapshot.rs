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
    (spec.spot || !spot || !is_enabled(Safeguard::SpotEligibility))
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
pub struct Held {
    pub key: TaskId,
    pub needs: Resources,
    /// Expected end; `None` for services and overruns, which count as endless.
    pub ends: Option<Instant>,
    /// Since when it runs.
    pub since: Option<Instant>,
    /// Time it takes to save when it is stopped, if it can: then no more than that is lost.
    pub saves_in: Option<Duration>,
    pub rank: Priority,
    pub team: Option<usize>,
    pub stopping: bool,
}

impl Held {
    /// Work that would be lost if it were stopped now.
    pub fn at_stake(&self, now: Instant) -> Duration {
        let ran = self
            .since
            .map_or(Duration::ZERO, |s| now.saturating_duration_since(s));
        self.saves_in.map_or(ran, |s| ran.min(s))
    }
}

/// What a machine is good for at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
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
pub struct Host {
    pub id: MachineId,
    /// Its place in `Board::classes`.
    pub class: usize,
    pub free: Resources,
    pub usage: Use,
    /// Images that are on the machine or being fetched.
    pub images: Vec<ImageTag>,
    /// How many fetches share the machine's rate now.
    pub fetching: usize,
    /// Doubts about the machine, in seconds of delay that it is worth to avoid it.
    pub doubt: f64,
    /// It holds nothing, and nothing is on its way to it, since then.
    pub idle_since: Option<Instant>,
    pub tasks: Vec<Held>,
}

/// Machines that are alike.
#[derive(Clone, Debug)]
pub struct Class {
    pub offer: Offer,
    pub room: Resources,
    pub fetch_gb_per_s: f64,
    pub machines: usize,
}

impl Class {
    /// Whether a job may use machines of this class.
    pub fn allowed(&self, spec: &JobSpec) -> bool {
        allows(spec, &self.offer)
    }
}

/// All machines, and the indices by which a step finds those that matter to it.
#[derive(Default)]
pub struct Board {
    pub classes: Vec<Class>,
    slots: BTreeMap<MachineId, usize>,
    hosts: Vec<Option<Host>>,
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
    pub looked: Cell<u64>,
}

/// Less room than this is none.
const CRUMB: f64 = 1e-3;

impl Board {
    /// The class of machines that an offer brings, with its type's newest figures.
    pub fn class(&mut self, offer: &Offer, room: Resources, fetch_gb_per_s: f64) -> usize {
        let i = match self.classes.iter().position(|c| c.offer == *offer) {
            Some(i) => i,
            None => {
                self.classes.push(Class {
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
    pub fn look(&self, n: usize) {
        self.looked.set(self.looked.get() + n as u64);
    }

    /// Takes in a machine, or what has become of it.
    pub fn put(&mut self, host: Host) {
        self.look(1);
        let slot = match self.slots.get(&host.id) {
            Some(&slot) => {
                self.withdraw(slot);
                slot
            }
            None => {
                let slot = self.vacant.pop().unwrap_or(self.hosts.len());
                if slot == self.hosts.len() {
                    self.hosts.push(None);
                }
                self.slots.insert(host.id.clone(), slot);
                slot
            }
        };
        self.classes[host.class].machines += 1;
        for (n, t) in host.tasks.iter().enumerate() {
            if let Some(at) = t.ends {
                self.ends.insert((at, slot, n));
            }
            if let Some(team) = t.team {
                self.used.entry(team).or_default().add(&t.needs);
            }
            *self.ranks.entry(t.rank).or_default() += 1;
        }
        match host.usage {
            Use::Open if host.free.cpus > CRUMB && host.free.ram > CRUMB => {
                self.open.insert(slot);
            }
            Use::Booting(_) => {
                self.booting.insert(slot);
            }
            _ => {}
        }
        if host.idle_since.is_some() {
            self.idle.insert(slot);
        }
        self.hosts[slot] = Some(host);
    }

    /// Takes a host's entries out of the indices.
    fn withdraw(&mut self, slot: usize) -> Option<Host> {
        let host = self.hosts[slot].take()?;
        self.classes[host.class].machines -= 1;
        for (n, t) in host.tasks.iter().enumerate() {
            if let Some(at) = t.ends {
                self.ends.remove(&(at, slot, n));
            }
            if let Some(u) = t.team.and_then(|team| self.used.get_mut(&team)) {
                u.sub(&t.needs);
            }
            if let Some(n) = self.ranks.get_mut(&t.rank) {
                *n -= 1;
            }
        }
        self.open.remove(&slot);
        self.booting.remove(&slot);
        self.idle.remove(&slot);
        Some(host)
    }

    /// The machine is gone.
    pub fn remove(&mut self, id: &MachineId) {
        if let Some(slot) = self.slots.remove(id) {
            self.withdraw(slot);
            self.vacant.push(slot);
        }
    }

    /// Where a machine stands on the board; its slot stays while it is there.
    pub fn slot(&self, id: &MachineId) -> Option<usize> {
        self.slots.get(id).copied()
    }

    pub fn host(&self, slot: usize) -> &Host {
        self.hosts[slot].as_ref().expect("a listed slot is taken")
    }

    pub fn host_mut(&mut self, slot: usize) -> &mut Host {
        self.hosts[slot].as_mut().expect("a listed slot is taken")
    }

    pub fn class_of(&self, slot: usize) -> &Class {
        &self.classes[self.host(slot).class]
    }

    pub fn zone_of(&self, slot: usize) -> &str {
        &self.class_of(slot).offer.1
    }

    /// Machines that take tasks and have some room, in a fixed order.
    pub fn open(&self) -> impl Iterator<Item = usize> + '_ {
        self.look(self.open.len());
        self.open.iter().copied()
    }

    pub fn booting(&self) -> impl Iterator<Item = usize> + '_ {
        self.look(self.booting.len());
        self.booting.iter().copied()
    }

    pub fn idle(&self) -> impl Iterator<Item = usize> + '_ {
        self.look(self.idle.len());
        self.idle.iter().copied()
    }

    /// All machines: for what has no index, and is asked rarely.
    pub fn hosts(&self) -> impl Iterator<Item = (usize, &Host)> {
        self.look(self.hosts.len());
        let hosts = self.hosts.iter().enumerate();
        hosts.filter_map(|(slot, h)| Some((slot, h.as_ref()?)))
    }

    /// Expected ends from `now` on, the earliest first. What should have ended already has
    /// overrun its estimate and counts as endless.
    pub fn ends(&self, now: Instant) -> impl Iterator<Item = (Instant, usize, &Held)> {
        self.ends.range((now, 0, 0)..).map(|&(at, slot, n)| {
            self.look(1);
            (at, slot, &self.host(slot).tasks[n])
        })
    }

    /// Whether any task of a lower rank than this is on a machine.
    pub fn has_below(&self, rank: Priority) -> bool {
        self.ranks.iter().any(|(r, n)| *r > rank && *n > 0)
    }

    /// What a team's tasks hold.
    pub fn used(&self, team: usize) -> Resources {
        self.used.get(&team).copied().unwrap_or_default()
    }

    /// Sums the teams' use afresh: adding and taking away for hours leaves rounding errors.
    pub fn sum_again(&mut self) {
        let mut used: BTreeMap<usize, Resources> = BTreeMap::new();
        for host in self.hosts.iter().flatten() {
            for t in &host.tasks {
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
