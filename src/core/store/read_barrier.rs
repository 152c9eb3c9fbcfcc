//! Questions that one key cannot answer. How a job stands that awaits others depends on how those
//! have ended, and whether a job that a submission names was ever accepted, on all keys there are.
//!
//! A read begun after the question came tells the state service's revision; once this node's copy
//! has come as far, nothing can have been told to anybody before the question that the copy does
//! not hold. Questions of one step share the read.

use crate::core::jobs::creation::Submission;
use crate::core::{Core, Pending, Ticket};
use crate::http::Answer;
use crate::store_client::{StoreOutcome, StoreRequest};
use std::time::{Duration, Instant};

/// The watch brings changes within some ten milliseconds; a user waits 2 s for a poll.
const PATIENCE: Duration = Duration::from_millis(1500);

#[derive(Debug)]
pub enum Question {
    Show(Ticket, String),
    Submit(Submission),
}

#[derive(Default)]
pub struct ReadBarriers {
    /// Asked in this step.
    queued: Vec<Question>,
    /// The revision that each group waits for, and until when.
    waiting: Vec<(u64, Instant, Vec<Question>)>,
}

impl Core {
    pub(in crate::core) fn queue_barrier_query(&mut self, question: Question) {
        self.barriers.queued.push(question);
    }

    /// Called at the end of a step.
    pub(in crate::core) fn send_barrier(&mut self) {
        let new = std::mem::take(&mut self.barriers.queued);
        if !new.is_empty() {
            let key = crate::core::store::keys::key(crate::core::store::keys::NOTHING);
            self.ask_state(Pending::Barrier(new), StoreRequest::Get(key));
        }
    }

    pub(in crate::core) fn barrier_read(
        &mut self,
        questions: Vec<Question>,
        outcome: StoreOutcome,
    ) {
        let StoreOutcome::Missing { revision } = outcome else {
            tracing::debug!("no revision: {outcome:?}");
            return self.defer(questions);
        };
        let until = self.now.mono + PATIENCE;
        self.barriers.waiting.push((revision, until, questions));
        self.answer_barriers();
    }

    fn defer(&mut self, questions: Vec<Question>) {
        for q in questions {
            let ticket = match q {
                Question::Show(ticket, _) => ticket,
                Question::Submit(submission) => submission.ticket,
            };
            self.answer(ticket, Answer::busy("the state cannot be read now", 1));
        }
    }

    /// Answers what the copy is new enough for; what has waited for too long is put off.
    pub(in crate::core) fn answer_barriers(&mut self) {
        let (now, revision) = (self.now.mono, self.store_cache.revision);
        for (needed, until, questions) in std::mem::take(&mut self.barriers.waiting) {
            if self.store_cache.loaded && revision >= needed {
                for q in questions {
                    match q {
                        Question::Show(ticket, id) => self.show_fresh(ticket, &id),
                        Question::Submit(submission) => self.accept(submission, true),
                    }
                }
            } else if now >= until {
                self.defer(questions);
            } else {
                self.barriers.waiting.push((needed, until, questions));
            }
        }
    }
}
