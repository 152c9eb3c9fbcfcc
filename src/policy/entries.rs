//! The entries of a policy: their names in the language, their types, and what they are about.

use crate::policy::facts::{FLEET_FACTS, FactInfo, JOB_FACTS, MACHINE_FACTS};
use crate::policy::value_type::ValueType;

/// What an entry is evaluated for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Subject {
    /// A job with queued tasks.
    Job,
    /// An idle machine.
    Machine,
    /// All machines together.
    Fleet,
}

impl Subject {
    /// The facts that an entry on this subject may use, in the order of their values.
    pub fn facts(self) -> &'static [FactInfo] {
        match self {
            Subject::Job => &JOB_FACTS,
            Subject::Machine => &MACHINE_FACTS,
            Subject::Fleet => &FLEET_FACTS,
        }
    }
}

/// The entries of a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Entry {
    /// Breaks ties between sets of queue entries that fill the free room equally well.
    PriorityWeight,
    /// The queue's order within the same precedence, the lowest first.
    QueueOrder,
    /// Longest wait, in seconds, that is cheaper than adding a machine.
    MaxWait,
    /// The same where a spot machine can be had.
    MaxSpotWait,
    /// How many times the lowest price per task a job may cost.
    MaxPriceRatio,
    /// Whether others may be preempted for the job at the head of the queue.
    MayPreempt,
    /// Whether a job has been passed over for too long.
    Overdue,
    /// How much the users' objectives weigh in bids.
    ObjectiveWeight,
    /// What a second of delay costs, as a part of a task's nominal cost.
    TimeValue,
    /// How long an idle machine is kept, in seconds.
    IdleTimeout,
    /// Whether machines are added by bidding.
    Bidding,
    /// How far ahead demand is forecast, in seconds.
    ForecastHorizon,
    /// How far beyond an equal share of the capacity a zone may go.
    ZoneTolerance,
    /// Whether the leader delegates workers to other controllers.
    DelegateWorkers,
}

/// An entry as the language knows it.
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
