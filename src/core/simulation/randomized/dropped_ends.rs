//! Random schedules in which controllers have memory for the ends of few jobs and read the others from the store. The
//! store loses no data: what no controller has in memory cannot be restored then.

use super::run::JobMix;
use super::run_random_schedules;
use super::schedule::{Fault, Step, StoreFault, any_step};
use proptest::prelude::*;

/// Replaces a loss of data by the end of all faults.
fn without_loss(mut step: Step) -> Step {
    if matches!(
        step.fault,
        Fault::Store(StoreFault::LoseData | StoreFault::RestoreBackup)
    ) {
        step.fault = Fault::Heal;
    }
    step
}

/// Generates schedules that are long enough for many jobs to end.
fn any_schedule() -> impl Strategy<Value = (u64, Vec<Step>)> {
    let steps = proptest::collection::vec(any_step().prop_map(without_loss), 6..20);
    (any::<u64>(), steps)
}

/// Guards against controllers that are ended for memory once enough jobs have ended (review/8): they kept every end.
#[test]
fn random_schedules_with_few_ends_in_memory_violate_no_invariant() {
    run_random_schedules(100, JobMix::FewEndsInMemory, any_schedule());
}
