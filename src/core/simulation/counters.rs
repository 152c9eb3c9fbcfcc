//! Event counts that tests assert on.

/// Numbers of events since the simulation began.
#[derive(Default)]
pub struct Counters {
    /// Provisioned machines: (spot, on-demand).
    pub provisioned: (u32, u32),
    /// Calls to the cloud.
    pub cloud_calls: u32,
    /// Heartbeats that workers sent.
    pub heartbeats: u32,
    /// Tasks that workers started.
    pub starts: u32,
    /// Ended tasks that workers removed on command.
    pub tasks_forgotten: u32,
    /// Tasks that began to run, and start commands that were carried out, after a user received the
    /// response that the job is cancelled.
    pub late_starts: u32,
    /// Transaction responses that were lost (`Faults::lost_response_share`).
    pub responses_lost: u32,
    /// Direct commands that were delayed (`Faults::late_command_share`).
    pub commands_delayed: u32,
    /// Delayed or duplicate direct commands that workers carried out.
    pub delayed_commands_executed: u32,
    /// Commands to start tasks in such copies that no controller could have prevented
    /// (`Simulation::deliver_command`).
    pub starts_withheld: u32,
    /// Copies of heartbeats that were delivered when a leadership began
    /// (`Faults::replayed_heartbeat_share`).
    pub heartbeats_replayed: u32,
    /// Follow-up queries that were answered with a job's state
    /// (`Simulation::query_after_responses`).
    pub follow_ups_answered: u32,
}
