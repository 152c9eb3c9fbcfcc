//! Schedules that violated an invariant, shrunk to the fewest steps.

use super::run::JobMix;
use super::schedule::{
    Fault, JobPlan, NetworkFault, NodeFault, Step, StoreFault, UserFault, WorkerFault,
};
use super::{run_schedule, run_schedule_with};
use crate::core::simulation::Link;
use crate::job::JobKind;

const SHORT_JOB: JobPlan = JobPlan {
    tasks: 1,
    cpus: 1.0,
    seconds: 1,
    kind: JobKind::Array,
};

const SHORT_SERVICE: JobPlan = JobPlan {
    kind: JobKind::Service,
    ..SHORT_JOB
};

const LOSE_DATA: Fault = Fault::Store(StoreFault::LoseData);
const RESTORE_BACKUP: Fault = Fault::Store(StoreFault::RestoreBackup);

fn step(fault: Fault, job: Option<JobPlan>, pause_ms: u64) -> Step {
    Step {
        fault,
        job,
        cancel: None,
        pause_ms,
    }
}

/// Found by randomized schedules: after a restart of all controllers, the store lost its data, and
/// was then rolled back to a backup from the time of its rebuild.
#[test]
fn store_rolled_back_into_rebuild_is_rebuilt() {
    crate::core::simulation::enable_log();
    let step = |fault, job: bool, pause_ms| step(fault, job.then_some(SHORT_JOB), pause_ms);
    run_schedule(
        3401632716118953730,
        &[
            step(
                Fault::Worker(WorkerFault::Partition { node: 0, stride: 1 }),
                false,
                275,
            ),
            step(Fault::Node(NodeFault::KillAll), false, 2526),
            step(LOSE_DATA, false, 50),
            step(Fault::ToggleCloud, false, 3225),
            step(
                Fault::Store(StoreFault::Link(0, Link::ResponsesLost)),
                true,
                2875,
            ),
            step(Fault::Node(NodeFault::TogglePause(0)), true, 1925),
            step(Fault::Node(NodeFault::TogglePause(2)), false, 3926),
            step(RESTORE_BACKUP, false, 2875),
            step(Fault::Node(NodeFault::TogglePause(0)), false, 76),
            step(RESTORE_BACKUP, true, 50),
        ],
    );
}

/// Found by randomized schedules: the store lost its data while one controller was down and another
/// had just restarted.
#[test]
fn store_lost_during_restarts_is_rebuilt() {
    crate::core::simulation::enable_log();
    let kill = |node, downtime_ms| Fault::Node(NodeFault::Kill { node, downtime_ms });
    run_schedule(
        328329404657090147,
        &[
            step(kill(2, 5551), None, 2075),
            step(kill(0, 50), None, 2526),
            step(LOSE_DATA, None, 50),
        ],
    );
}

/// Loses the store and restores a backup within seconds, with a leadership in between.
pub(in crate::core::simulation) fn store_lost_twice() {
    run_schedule(
        0,
        &[
            step(Fault::Node(NodeFault::TogglePause(0)), None, 50),
            step(Fault::Store(StoreFault::RefusalThenOutage(2625)), None, 50),
            step(RESTORE_BACKUP, None, 50),
            step(LOSE_DATA, None, 2625),
            step(RESTORE_BACKUP, None, 50),
        ],
    );
}

/// Found by randomized schedules: the store lost its data and was rolled back to a backup before a new
/// store identity was written.
#[test]
fn store_rolled_back_right_after_loss_is_rebuilt() {
    crate::core::simulation::enable_log();
    run_schedule(
        0,
        &[
            step(Fault::Node(NodeFault::TogglePeers(0)), None, 2676),
            step(Fault::Heal, None, 1975),
            step(Fault::Heal, Some(SHORT_SERVICE), 3026),
            step(
                Fault::Node(NodeFault::DelayWatch { node: 0, ms: 1576 }),
                None,
                975,
            ),
            step(Fault::Node(NodeFault::TogglePause(0)), None, 2475),
            step(LOSE_DATA, Some(SHORT_JOB), 425),
            step(RESTORE_BACKUP, None, 50),
        ],
    );
}

/// Found by randomized schedules: the store was rolled back by one revision, the leader restarted before it noticed, and
/// its campaign raised the revision again. The other controllers had the lost job, and nothing made them compare it.
#[test]
fn job_lost_in_rollback_masked_by_campaign_is_restored() {
    crate::core::simulation::enable_log();
    let kill = NodeFault::Kill {
        node: 0,
        downtime_ms: 50,
    };
    run_schedule(
        0,
        &[
            step(Fault::Network(NetworkFault::LateCommands(5)), None, 2176),
            step(
                Fault::Store(StoreFault::RefusalThenOutage(1076)),
                None,
                1725,
            ),
            step(RESTORE_BACKUP, None, 50),
            step(
                Fault::Network(NetworkFault::Duplicates(1)),
                Some(SHORT_JOB),
                50,
            ),
            step(RESTORE_BACKUP, None, 50),
            step(Fault::Node(kill), None, 50),
        ],
    );
}

/// Found by randomized schedules: the store lost its data twice within seconds while a controller had just restarted,
/// and no controller had a complete copy of the store between the two losses.
#[test]
fn two_losses_around_a_restart_are_rebuilt() {
    crate::core::simulation::enable_log();
    let kill = NodeFault::Kill {
        node: 2,
        downtime_ms: 4551,
    };
    let reboot = WorkerFault::Reboot {
        machine: 2,
        reset_counters: true,
    };
    run_schedule(
        271950028095143,
        &[
            step(Fault::Store(StoreFault::ToggleOutage), None, 1425),
            step(Fault::Node(kill), Some(SHORT_JOB), 1276),
            step(Fault::Worker(reboot), None, 1725),
            step(Fault::ToggleCloud, Some(SHORT_JOB), 425),
            step(LOSE_DATA, None, 2575),
            step(LOSE_DATA, None, 50),
        ],
    );
}

/// Found by randomized schedules: the store was rolled back, a large job was accepted before every controller had noticed,
/// all data was lost, and the controller that had accepted the job ended.
#[test]
fn large_job_accepted_between_rollback_and_loss_is_restored() {
    crate::core::simulation::enable_log();
    let partition = |node, stride| Fault::Worker(WorkerFault::Partition { node, stride });
    let cancel = || {
        Fault::User(UserFault::CancelAndHang {
            job: 0,
            machines: 1,
        })
    };
    let kill = NodeFault::Kill {
        node: 0,
        downtime_ms: 4286,
    };
    run_schedule_with(
        0,
        &[
            step(partition(0, 2), None, 1825),
            step(cancel(), None, 325),
            step(partition(1, 1), None, 3176),
            step(partition(0, 1), None, 2325),
            step(cancel(), Some(SHORT_JOB), 1026),
            step(cancel(), Some(SHORT_JOB), 3725),
            step(Fault::Heal, Some(SHORT_JOB), 50),
            step(RESTORE_BACKUP, Some(SHORT_JOB), 50),
            step(LOSE_DATA, None, 1276),
            step(Fault::Node(kill), None, 255),
        ],
        JobMix::EveryOtherLarge,
    );
}

/// Found by randomized schedules: after a rollback the parts of a large job were written at revisions that other
/// controllers had seen already. Their watches delivered its key alone, and one of them led and never ran the job.
#[test]
fn large_job_whose_parts_no_watch_delivers_is_run() {
    crate::core::simulation::enable_log();
    let kill = NodeFault::Kill {
        node: 0,
        downtime_ms: 2601,
    };
    run_schedule_with(
        2847112751586951143,
        &[
            step(Fault::Node(NodeFault::KillLeaders(2)), None, 50),
            step(LOSE_DATA, None, 3575),
            step(RESTORE_BACKUP, None, 1925),
            step(RESTORE_BACKUP, Some(SHORT_JOB), 2026),
            step(Fault::Node(kill), None, 50),
        ],
        JobMix::EveryOtherLarge,
    );
}

/// Found by randomized schedules: the store was rolled back from the end of a rebuild into it, and lost the record of a new
/// machine; other changes raised its revision again. The leader's list showed an older page of machines, and no job was
/// missing. The next leader did not know the machine and started its task elsewhere.
#[test]
fn lost_record_of_new_machine_is_noticed() {
    crate::core::simulation::enable_log();
    let kill = NodeFault::Kill {
        node: 0,
        downtime_ms: 50,
    };
    let job = |seconds| JobPlan {
        seconds,
        ..SHORT_JOB
    };
    let partition = WorkerFault::TogglePartitionOutbound { stride: 1 };
    run_schedule_with(
        2847112751586951143,
        &[
            step(Fault::Node(NodeFault::KillLeaders(2)), None, 50),
            step(LOSE_DATA, Some(SHORT_JOB), 3676),
            step(
                Fault::User(UserFault::CancelDuringRefusal(0)),
                Some(job(3)),
                125,
            ),
            step(Fault::Heal, None, 3225),
            step(RESTORE_BACKUP, Some(job(4)), 1375),
            step(Fault::Worker(partition), Some(SHORT_JOB), 476),
            step(Fault::Node(kill), Some(SHORT_JOB), 50),
        ],
        JobMix::EveryOtherLarge,
    );
}

/// Found by randomized schedules: the store lost the cancellation of a job in a rollback, and all controllers ended before it
/// was restored. No process knows of it then; everything else still holds.
#[test]
fn cancellation_lost_with_all_copies_is_tolerated() {
    crate::core::simulation::enable_log();
    let partition = WorkerFault::Partition { node: 0, stride: 1 };
    let cancel = Step {
        cancel: Some(1),
        ..step(RESTORE_BACKUP, None, 50)
    };
    run_schedule(
        0,
        &[
            step(Fault::Worker(partition), Some(SHORT_JOB), 50),
            step(
                Fault::Node(NodeFault::TogglePeers(0)),
                Some(SHORT_SERVICE),
                50,
            ),
            step(RESTORE_BACKUP, None, 50),
            cancel,
            step(RESTORE_BACKUP, None, 50),
            step(Fault::Node(NodeFault::KillAll), None, 50),
        ],
    );
}
