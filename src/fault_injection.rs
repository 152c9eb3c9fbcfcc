//! Safeguards that tests disable, one at a time, to show that the checks of the simulation detect the faults which
//! the safeguard prevents. Outside tests all of them are always enabled.

/// Part of the program that enforces one rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A task started by an earlier leader is not started again until every machine that may run it has reported.
    RecoveryWait,
    /// A team uses no more resources than its limit.
    TeamLimit,
    /// Spot machines run only tasks of jobs that allow spot machines.
    SpotEligibility,
    /// Tasks of a job that has ended are stopped.
    StopEndedJobs,
    /// A submission is acknowledged only after the job is durably stored.
    DurableAcceptance,
    /// A job is reported as unknown only if it is not in the store.
    UnknownJob,
    /// A job array is complete only when all of its tasks are.
    ArrayCompletion,
    /// A cancellation is acknowledged only after it is durably stored.
    DurableCancellation,
    /// A leader stops acting when it can no longer be certain that its lease is valid.
    LeaseValidity,
    /// A delegate answers heartbeats only until the leader's grant expires.
    GrantExpiry,
    /// A missing heartbeat batch of a delegate counts as a renewal of the leases that are delegated to it.
    MissingBatchRenewal,
    /// Tasks are stopped as soon as a user requests the cancellation of their job, before it is durably stored.
    StopOnCancelRequest,
    /// Machines that answer direct commands but send no heartbeats are assigned no tasks.
    HeartbeatRequired,
    /// Stop commands are also sent for tasks that have not appeared in a heartbeat yet.
    StopUnseenTasks,
    /// Stop commands are also sent to machines that send no heartbeats.
    StopOnSilentMachines,
    /// Tasks that have waited for too long are scheduled first.
    OverdueFirst,
    /// A cancellation is confirmed only if its tasks are certain to end in time.
    CancellationBound,
    /// Each leadership has a term of its own.
    UniqueTerm,
    /// A transaction refused because of an earlier write of this process does not count as a conflict.
    OwnWriteDetection,
    /// A transaction refused because of another process's write counts as a conflict, not as a success.
    ConflictDetection,
    /// A machine is assigned tasks only after it is recorded in the store, so that later leaders know of it.
    MachineRecords,
    /// Tasks of a cancelled job that may still run count towards the limit of its team.
    ResidualUsage,
    /// A heartbeat without the token of the current term counts as one of unknown age.
    TokenProof,
    /// Cached versions of keys that are never written again are removed.
    VersionPruning,
    /// A machine is avoided because of task failures for a limited time only.
    AvoidanceLimit,
    /// Of the jobs that have been passed over for too long, the longest-waiting one is scheduled first.
    LongestWaitingFirst,
    /// Machines on which a task may still be running count for the zone constraints of its job.
    PossibleTaskZones,
    /// A controller that has just started reports no job as unknown.
    StartupUncertainty,
    /// State that may still change is read from the store before it is returned to a user.
    FreshRead,
}

#[cfg(test)]
thread_local! {
    /// Safeguard that is disabled in the current test.
    pub static DISABLED: std::cell::Cell<Option<Safeguard>> = const { std::cell::Cell::new(None) };
}

/// Returns whether a safeguard is enabled.
#[cfg(test)]
pub fn is_enabled(safeguard: Safeguard) -> bool {
    DISABLED.get() != Some(safeguard)
}

/// Returns whether a safeguard is enabled.
#[cfg(not(test))]
#[inline(always)]
pub fn is_enabled(_: Safeguard) -> bool {
    true
}
