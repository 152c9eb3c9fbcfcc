//! Entries of a policy: their names in the language, their types and their subjects.

use crate::policy::facts::{FLEET_FACTS, FactInfo, JOB_FACTS, MACHINE_FACTS};
use crate::policy::value_type::ValueType;

/// Kind of object that an entry is evaluated for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Subject {
    /// Job with queued tasks.
    Job,
    /// Idle machine.
    Machine,
    /// All machines together.
    Fleet,
}

impl Subject {
    /// Returns the facts that an entry for this subject may use, in the order of their values.
    pub fn facts(self) -> &'static [FactInfo] {
        match self {
            Subject::Job => &JOB_FACTS,
            Subject::Machine => &MACHINE_FACTS,
            Subject::Fleet => &FLEET_FACTS,
        }
    }
}

/// Entry of a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Entry {
    /// Weight of a queue entry in ties between sets that fill the free capacity equally well.
    PriorityWeight,
    /// Sort key in the queue among jobs of the same precedence, the lowest first.
    QueueOrder,
    /// Longest wait, in seconds, for which adding a machine is not worth its cost.
    MaxWait,
    /// The same limit where a spot machine is available.
    MaxSpotWait,
    /// Maximum price per task, as a multiple of the lowest price among the offers that the job may use.
    MaxPriceRatio,
    /// Whether tasks of other jobs may be preempted for the job at the head of the queue.
    MayPreempt,
    /// Whether a job has been passed over for too long, so that it comes before all others.
    Overdue,
    /// Weight of the users' objectives in bids.
    ObjectiveWeight,
    /// Cost of a second of delay, as a fraction of a task's nominal cost.
    TimeValue,
    /// Time for which an idle machine is kept, in seconds.
    IdleTimeout,
    /// Whether machines are added by bidding.
    Bidding,
    /// Time for which demand is forecast, in seconds from now.
    ForecastHorizon,
    /// Share of the capacity by which a zone may exceed an equal share.
    ZoneTolerance,
    /// Whether the leader delegates workers to other controllers.
    DelegateWorkers,
}

/// Definition of an entry in the language.
pub(super) struct EntryInfo {
    pub entry: Entry,
    pub name: &'static str,
    pub value_type: ValueType,
    pub subject: Subject,
}

const fn number(entry: Entry, name: &'static str, subject: Subject) -> EntryInfo {
    EntryInfo {
        entry,
        name,
        value_type: ValueType::Number,
        subject,
    }
}

const fn boolean(entry: Entry, name: &'static str, subject: Subject) -> EntryInfo {
    EntryInfo {
        entry,
        name,
        value_type: ValueType::Boolean,
        subject,
    }
}

/// All entries, in the order in which they are listed for operators.
pub(super) static ENTRIES: [EntryInfo; 14] = [
    number(Entry::PriorityWeight, "merit", Subject::Job),
    number(Entry::QueueOrder, "order", Subject::Job),
    number(Entry::MaxWait, "patience", Subject::Job),
    number(Entry::MaxSpotWait, "spot_patience", Subject::Job),
    number(Entry::MaxPriceRatio, "dearest", Subject::Job),
    boolean(Entry::MayPreempt, "preempt", Subject::Job),
    boolean(Entry::Overdue, "overdue", Subject::Job),
    number(Entry::ObjectiveWeight, "worth", Subject::Job),
    number(Entry::TimeValue, "haste", Subject::Job),
    number(Entry::IdleTimeout, "idle_keep", Subject::Machine),
    boolean(Entry::Bidding, "bidding", Subject::Fleet),
    number(Entry::ForecastHorizon, "foresight", Subject::Fleet),
    number(Entry::ZoneTolerance, "tolerance", Subject::Fleet),
    boolean(Entry::DelegateWorkers, "delegate", Subject::Fleet),
];
