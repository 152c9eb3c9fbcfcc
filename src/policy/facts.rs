//! Facts: the variables that policy expressions may use. Struct fields have the names that the facts
//! have in the language.

use crate::policy::value_type::ValueType;

/// Definition of a fact in the language.
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

/// Converts a boolean to the evaluator's representation, 0 or 1.
pub(super) fn bool_to_number(truth: bool) -> f64 {
    f64::from(u8::from(truth))
}

/// Definitions of the facts about a job, in the order of `JobFacts::values`.
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

/// Definitions of the facts about a machine, in the order of `MachineFacts::values`.
pub(super) static MACHINE_FACTS: [FactInfo; 7] = [
    boolean("spot"),
    number("price"),
    number("cpus"),
    number("ram"),
    number("age"),
    number("boot"),
    number("pause"),
];

/// Definitions of the facts about all machines together, in the order of `FleetFacts::values`.
pub(super) static FLEET_FACTS: [FactInfo; 3] =
    [number("machines"), number("zones"), number("pause")];

/// Facts about a job. Times are in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobFacts {
    /// Time for which the job has been waiting.
    pub wait: f64,
    /// Expected run time of a task.
    pub estimate: f64,
    /// Number of tasks of the job.
    pub tasks: f64,
    /// Number of queued tasks of the job.
    pub waiting: f64,
    /// Time of submission or, for a job with dependencies, time since which they have been met, in
    /// seconds since the Unix epoch.
    pub submitted: f64,
    /// Number of CPUs that a task needs.
    pub cpus: f64,
    /// Number of GPUs that a task needs.
    pub gpus: f64,
    /// Memory that a task needs, in GB.
    pub ram: f64,
    /// Size of the job's image, in GB.
    pub image_gb: f64,
    /// Effective priority of the job: 0 is the highest, 3 the lowest.
    pub rank: f64,
    /// Whether the job is within its team's guaranteed quota.
    pub guaranteed: bool,
    /// Time within which jobs of its class should start by the users' objectives; 0 for none.
    pub start_goal: f64,
    /// Time within which jobs of its class should finish by the users' objectives; 0 for none.
    pub finish_goal: f64,
    /// Whether the job, or a job that depends on it, has a deadline.
    pub has_deadline: bool,
    /// Time left until the job should finish so that it and all jobs that depend on it can meet their
    /// deadlines; 0 without a deadline.
    pub deadline_left: f64,
    /// Whether the job may run on spot machines.
    pub spot: bool,
    /// `deadline_left` less the expected run time; a million without a deadline.
    pub slack: f64,
    /// Whether the job depends on other jobs, or other jobs depend on it.
    pub pipeline: bool,
    /// Whether any task of the job has finished or is assigned to a machine.
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

/// Facts about a machine. Times are in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineFacts {
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Price of the machine per hour.
    pub price: f64,
    /// Number of CPUs of the machine.
    pub cpus: f64,
    /// Memory of the machine, in GB.
    pub ram: f64,
    /// Time since the machine was requested.
    pub age: f64,
    /// Boot time announced for its machine type.
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

/// Facts about all machines together.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetFacts {
    /// Number of machines.
    pub machines: f64,
    /// Number of zones.
    pub zones: f64,
    /// Mean time between the arrivals of jobs, in seconds.
    pub pause: f64,
}

impl FleetFacts {
    pub(super) fn values(&self) -> [f64; FLEET_FACTS.len()] {
        [self.machines, self.zones, self.pause]
    }
}
