//! Counters and latency histograms of this process, for metrics and the log.

use crate::core::command::{Command, Effect};
use hdrhistogram::Histogram;

/// Kind of work that a controller counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Steps of `Core`.
    Step,
    /// Heartbeats received from workers.
    Heartbeat,
    /// Requests about jobs.
    UserRequest,
    /// Changes received from the store.
    StoreEvent,
    /// Frames received from peers.
    FrameIn,
    /// Frames sent to peers.
    FrameOut,
    /// Calls to the store.
    StoreCall,
    /// Calls to the cloud.
    CloudCall,
    /// Calls to workers.
    DirectCall,
    /// Planning rounds.
    Plan,
    /// Tasks started in the response to a heartbeat.
    StartInResponse,
    /// Tasks started by a direct call.
    StartByCall,
}

/// All kinds of work, each with its name in the metrics and in the log.
pub const WORK_NAMES: [(Work, &str); 12] = [
    (Work::Step, "steps"),
    (Work::Heartbeat, "reports"),
    (Work::UserRequest, "requests"),
    (Work::StoreEvent, "changes"),
    (Work::FrameIn, "frames_in"),
    (Work::FrameOut, "frames_out"),
    (Work::StoreCall, "state_calls"),
    (Work::CloudCall, "cloud_calls"),
    (Work::DirectCall, "direct_calls"),
    (Work::Plan, "plans"),
    (Work::StartInResponse, "starts_in_answers"),
    (Work::StartByCall, "starts_by_calls"),
];

/// Number of times that each kind of work was done, indexed by [`Work`].
pub type WorkCounts = [u64; WORK_NAMES.len()];

/// Largest value that a histogram records; larger values count as this one. It is one hour for histograms in
/// milliseconds and 3.6 s for those in microseconds.
const MAX_RECORDED: u64 = 3_600_000;
/// Number of significant decimal digits of recorded values.
const PRECISION: u8 = 2;

/// Counters and latencies since the start of this process.
pub struct Stats {
    work: WorkCounts,
    /// Time from a job's submission to its acceptance, in milliseconds.
    pub accept: Histogram<u64>,
    /// Time from a task's readiness to its start, in milliseconds.
    pub start: Histogram<u64>,
    /// Duration of a step, in microseconds.
    pub step: Histogram<u64>,
}

impl Default for Stats {
    fn default() -> Stats {
        Stats {
            work: [0; WORK_NAMES.len()],
            accept: new_histogram(),
            start: new_histogram(),
            step: new_histogram(),
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    let mut histogram =
        Histogram::new_with_bounds(1, MAX_RECORDED, PRECISION).expect("constant bounds are valid");
    histogram.auto(false);
    histogram
}

impl Stats {
    /// Counts work of this kind that was done `times` times.
    pub fn count(&mut self, work: Work, times: usize) {
        self.work[work as usize] += times as u64;
    }

    /// Returns how often each kind of work was done so far.
    pub fn counts(&self) -> WorkCounts {
        self.work
    }

    /// Returns how often this kind of work was done so far.
    pub fn total(&self, work: Work) -> u64 {
        self.work[work as usize]
    }

    /// Counts the work of a received command.
    pub(in crate::core) fn count_command(&mut self, command: &Command) {
        match command {
            Command::Heartbeat { .. } => self.count(Work::Heartbeat, 1),
            Command::User(_) => self.count(Work::UserRequest, 1),
            Command::HeartbeatBatch { .. }
            | Command::HeartbeatBatchResponse { .. }
            | Command::CacheRequest { .. } => self.count(Work::FrameIn, 1),
            Command::StoreChanged { events, .. } => self.count(Work::StoreEvent, events.len()),
            _ => {}
        }
    }

    /// Counts the work of an effect that is about to be carried out.
    pub(in crate::core) fn count_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::StoreCall { .. } => self.count(Work::StoreCall, 1),
            Effect::CloudCall { .. } => self.count(Work::CloudCall, 1),
            Effect::DirectCall { .. } => self.count(Work::DirectCall, 1),
            Effect::HeartbeatBatch { .. }
            | Effect::Forward { .. }
            | Effect::CacheRequest { .. } => self.count(Work::FrameOut, 1),
            _ => {}
        }
    }

    /// Returns the work done since `last` as text for the log, and updates `last`.
    pub fn work_since(&self, last: &mut WorkCounts) -> String {
        let mut text = String::new();
        for (work, name) in WORK_NAMES {
            let new = self.total(work) - last[work as usize];
            text.push_str(&format!(" {name} {new}"));
        }
        *last = self.work;
        text
    }
}

/// Records a value; a value beyond the histogram's range counts as the largest one.
pub fn record(histogram: &mut Histogram<u64>, value: u128) {
    histogram.saturating_record(u64::try_from(value).unwrap_or(u64::MAX));
}
