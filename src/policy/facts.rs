//! The facts that entries are evaluated with. Fields have the names that the language uses.

use crate::policy::value_type::ValueType;

/// A fact as the language knows it.
pub(super) struct FactInfo {
    pub name: &'static str,
    pub value_type: ValueType,
}

const fn number(name: &'static str) -> FactInfo {
    FactInfo {
        name,
        value_type: ValueType::Number,
    }
}

const fn boolean(name: &'static str) -> FactInfo {
    FactInfo {
        name,
        value_type: ValueType::Boolean,
    }
}

/// A truth value as the evaluator knows it.
pub(super) fn bool_to_number(truth: bool) -> f64 {
    f64::from(u8::from(truth))
}

/// Facts about a job, in the order of `JobFacts::values`.
pub(super) static JOB_FACTS: [FactInfo; 19] = [
    number("wait"),
    number("estimate"),
    number("tasks"),
    number("waiting"),
    number("submitted"),
    number("cpus"),
    number("gpus"),
    number("ram"),
    number("image_gb"),
    number("rank"),
    boolean("guaranteed"),
    number("start_goal"),
    number("finish_goal"),
    boolean("has_deadline"),
    number("deadline_left"),
    boolean("spot"),
    number("slack"),
    boolean("pipeline"),
    boolean("begun"),
];

/// Facts about a machine, in the order of `MachineFacts::values`.
pub(super) static MACHINE_FACTS: [FactInfo; 7] = [
    boolean("spot"),
    number("price"),
    number("cpus"),
    number("ram"),
    number("age"),
    number("boot"),
    number("pause"),
];

/// Facts about all machines together, in the order of `FleetFacts::values`.
pub(super) static FLEET_FACTS: [FactInfo; 3] =
    [number("machines"), number("zones"), number("pause")];

/// What entries on a job are evaluated with. Times are in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobFacts {
    /// How long the job has been waiting.
    pub wait: f64,
    /// Expected run time of a task.
    pub estimate: f64,
    /// How many tasks it has.
    pub tasks: f64,
    /// How many of them are queued.
    pub waiting: f64,
    /// When it was submitted or could start, in seconds of the Unix epoch.
    pub submitted: f64,
    /// CPUs that a task needs.
    pub cpus: f64,
    /// GPUs that a task needs.
    pub gpus: f64,
    /// Memory that a task needs, in GB.
    pub ram: f64,
    /// The size of its image, in GB.
    pub image_gb: f64,
    /// Its effective priority: 0 is the highest, 3 the lowest.
    pub rank: f64,
    /// It lies within its team's guaranteed quota.
    pub guaranteed: bool,
    /// Within what time the users' objectives want its class to start; 0 for none.
    pub start_goal: f64,
    /// Within what time the users' objectives want its class to finish; 0 for none.
    pub finish_goal: f64,
    /// It, or a job that depends on it, has a deadline.
    pub has_deadline: bool,
    /// Until it should be done, so that all that depends on it can be done by its deadline.
    pub deadline_left: f64,
    /// It may run on spot machines.
    pub spot: bool,
    /// What is left of `deadline_left` when it has run; a million without a deadline.
    pub slack: f64,
    /// It depends on others, or others depend on it.
    pub pipeline: bool,
    /// Something of it is done, or on a machine.
    pub begun: bool,
}

impl JobFacts {
    pub(super) fn values(&self) -> [f64; JOB_FACTS.len()] {
        [
            self.wait,
            self.estimate,
            self.tasks,
            self.waiting,
            self.submitted,
            self.cpus,
            self.gpus,
            self.ram,
            self.image_gb,
            self.rank,
            bool_to_number(self.guaranteed),
            self.start_goal,
            self.finish_goal,
            bool_to_number(self.has_deadline),
            self.deadline_left,
            bool_to_number(self.spot),
            self.slack,
            bool_to_number(self.pipeline),
            bool_to_number(self.begun),
        ]
    }
}

/// What entries on a machine are evaluated with. Times are in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineFacts {
    /// It is a spot machine.
    pub spot: bool,
    /// Its price per hour.
    pub price: f64,
    /// Its CPUs.
    pub cpus: f64,
    /// Its memory, in GB.
    pub ram: f64,
    /// How long ago it was requested.
    pub age: f64,
    /// The boot time that its type announces.
    pub boot: f64,
    /// Mean time between the arrivals of jobs.
    pub pause: f64,
}

impl MachineFacts {
    pub(super) fn values(&self) -> [f64; MACHINE_FACTS.len()] {
        [
            bool_to_number(self.spot),
            self.price,
            self.cpus,
            self.ram,
            self.age,
            self.boot,
            self.pause,
        ]
    }
}

/// What entries on all machines together are evaluated with.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetFacts {
    /// How many machines there are.
    pub machines: f64,
    /// How many zones there are.
    pub zones: f64,
    /// Mean time between the arrivals of jobs, in seconds.
    pub pause: f64,
}

impl FleetFacts {
    pub(super) fn values(&self) -> [f64; FLEET_FACTS.len()] {
        [self.machines, self.zones, self.pause]
    }
}
