//! Safeguards that tests disable, one at a time, to show that the checks of the simulation find what the safeguard
//! prevents. In the program itself all of them are in force.

/// A part of the program that upholds one rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// Tasks of earlier leaders that no heartbeat has shown wait for every machine that may have them.
    RecoveryWait,
    /// A team uses no more than its limit.
    TeamLimit,
    /// Spot machines get only tasks of jobs that may use them.
    SpotEligibility,
    /// Tasks of a job that has ended are stopped.
    StopEndedJobs,
    /// A job is said to be accepted only once that is durable.
    DurableAcceptance,
    /// A job is said to be unknown only if it is not in the store.
    UnknownJob,
    /// A job array is done only when all of its tasks are.
    ArrayCompletion,
    /// A job is said to be cancelled only once that is durable.
    DurableCancellation,
    /// A leader acts no longer than its lease is certain to run.
    LeaseValidity,
    /// A delegate answers heartbeats no longer than the leader's grant runs.
    GrantExpiry,
    /// Tasks are stopped as soon as a user asks to cancel their job, before that is durable.
    StopOnCancelRequest,
    /// Machines that answer direct commands but send no heartbeats get no tasks.
    HeartbeatRequired,
    /// Tasks that are to end are stopped also where no heartbeat has shown them yet.
    StopUnseenTasks,
    /// Machines that send no heartbeats are sent the commands to stop tasks all the same.
    StopOnSilentMachines,
    /// Tasks that have waited too long come first.
    OverdueFirst,
    /// A cancellation is confirmed only where its tasks end in time whatever happens.
    CancellationBound,
    /// A leadership has a term that no other had.
    UniqueTerm,
    /// A refusal for what this process itself has written is no conflict.
    OwnWriteDetection,
    /// A transaction refused for another process's write counts as a conflict, not as a success.
    ConflictDetection,
    /// A machine gets tasks only when a later leader would know of the machine.
    MachineRecords,
    /// What may remain of a cancelled job counts towards its team's limit.
    ResidualUsage,
    /// A heartbeat that does not show this term's token is of unknown age.
    TokenProof,
    /// Versions of keys that are never written again are dropped.
    VersionPruning,
    /// A machine is avoided for its failures for a limited time only.
    AvoidanceLimit,
    /// Of the jobs that were passed over for too long, the one that has waited longest comes first.
    LongestWaitingFirst,
    /// Only zones in which a task may run count for its placement.
    ZoneEligibility,
    /// A controller that has just started calls no job unknown.
    StartupUncertainty,
    /// What is not final is read from the store before a user is answered with it.
    FreshRead,
}

#[cfg(test)]
thread_local! {
    /// The safeguard that is disabled in this test.
    pub static DISABLED: std::cell::Cell<Option<Safeguard>> = const { std::cell::Cell::new(None) };
}

/// Whether a safeguard is in force.
#[cfg(test)]
pub fn is_enabled(safeguard: Safeguard) -> bool {
    DISABLED.get() != Some(safeguard)
}

/// Whether a safeguard is in force.
#[cfg(not(test))]
#[inline(always)]
pub fn is_enabled(_: Safeguard) -> bool {
    true
}
