//! Guards that the tests take out, one at a time, to see that the histories' checker finds what follows. In
//! the program itself all of them stand.

/// What keeps a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// Old tasks that nobody has shown wait for every machine that may have them.
    Unseen,
    /// A team uses no more than its limit.
    Limit,
    /// Spot machines are for jobs that may use them.
    Spot,
    /// Tasks of a job that is over are stopped.
    Stopped,
    /// Only what is durable is said to be accepted.
    Accepted,
    /// A job that is not in the store was never submitted.
    Unknown,
    /// An array is done when all of its tasks are.
    AllDone,
    /// Only what is durable is said to be cancelled.
    Cancelled,
    /// A leader acts no longer than its lease is certain to run.
    Word,
    /// A controller that serves workers answers no longer than the leader's grant says.
    Grant,
    /// Tasks are stopped as soon as a user asks to cancel their job.
    Early,
    /// Machines that answer direct commands and do not report get no work.
    Mute,
    /// What is to end is stopped also where no report has shown it yet.
    UnseenStops,
    /// Machines that do not report are told all the same what they are to stop.
    MuteStops,
    /// What has not begun for long comes first.
    Overdue,
    /// A user is told of a cancellation only where its tasks are gone in time whatever comes.
    InTime,
    /// A leadership has a term that no other had.
    Term,
    /// A refusal of what this process itself has carried out is no conflict.
    OwnWrite,
    /// A conflict is no success.
    Conflict,
    /// A machine gets tasks only when a later leader would know of it.
    Recorded,
    /// What may be left of a cancelled job counts towards its team's limit.
    Left,
    /// A report that does not show this term's token is of unknown age.
    Proof,
    /// Nothing is kept of the versions of keys that are never written again.
    Forget,
    /// A machine is avoided for its failures for less than a minute.
    Avoid,
    /// Of what was passed for too long, the job that has waited longest comes first.
    Longest,
    /// Zones count in which a row only may be.
    Zones,
    /// A controller that has just begun calls no job unknown.
    JustBegun,
    /// What is not final is read afresh before a user is told of it.
    FreshRead,
}

#[cfg(test)]
thread_local! {
    /// The one that is taken out in this test.
    pub static OUT: std::cell::Cell<Option<Safeguard>> = const { std::cell::Cell::new(None) };
}

/// Whether a guard is in force.
#[cfg(test)]
pub fn is_enabled(guard: Safeguard) -> bool {
    OUT.get() != Some(guard)
}

#[cfg(not(test))]
#[inline(always)]
pub fn is_enabled(_: Safeguard) -> bool {
    true
}
