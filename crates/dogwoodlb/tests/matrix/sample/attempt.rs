//! The attempts of samples: generation, label, score and acceptance.

use super::node::{Job, Owner, Stage};
use super::*;
use dogwoodlb_ledger::{AcceptOutcome, FinishedAttempt};
use dogwoodlb_rollout::Action;
use rand::RngExt;

/// The tokens of a sample.
const TOKENS: u32 = 4;

impl World {
    pub(super) fn plan(&mut self, owner: &mut Owner) {
        for action in owner.planner.poll(at(self.now), 8) {
            match action {
                Action::Generate {
                    sample, attempt, ..
                } => owner.jobs.push(Job {
                    sample,
                    attempt,
                    stage: Stage::Generate,
                    due: self.now,
                    first: 0,
                    spans: Vec::new(),
                    body: String::new(),
                }),
                Action::Cancel { sample, attempt } => owner
                    .jobs
                    .retain(|job| job.sample != sample || job.attempt != attempt),
            }
        }
    }

    pub(super) fn run_jobs(
        &mut self,
        index: usize,
        mut owner: Owner,
        faults: &mut Faults,
    ) -> Option<Owner> {
        if self.nodes[index].paused_until > self.now {
            return Some(owner);
        }
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut owner.jobs)
            .into_iter()
            .partition(|job| job.due <= self.now);
        owner.jobs = rest;
        for mut job in due {
            let step = match job.stage {
                Stage::Generate => "generate",
                Stage::Label => "label",
                Stage::Score => "score",
                Stage::Accept => "accept",
            };
            let fault = faults.at(step);
            if !self.begin(index, fault) {
                if self.nodes[index].restart_at.is_some() {
                    return None;
                }
                owner.jobs.push(job);
                continue;
            }
            if fault == Some(Fault::Repeated) && job.stage != Stage::Accept {
                let mut copy = job.clone();
                self.advance(&mut owner, &mut copy, None);
                owner.jobs.push(copy);
            }
            if self.advance(&mut owner, &mut job, fault) {
                owner.jobs.push(job);
            }
            if fault == Some(Fault::CrashAfter) {
                self.nodes[index].crash(self.now);
                return None;
            }
        }
        Some(owner)
    }

    /// Takes an attempt one step further; returns whether it goes on.
    fn advance(&mut self, owner: &mut Owner, job: &mut Job, fault: Option<Fault>) -> bool {
        let now = self.now;
        let is_broken = matches!(fault, Some(Fault::PeerCut | Fault::RegionCut));
        match (job.stage, fault) {
            (Stage::Accept, _) => {
                let first = self.accept(owner, job);
                if fault == Some(Fault::Repeated) {
                    let again = self.accept(owner, job);
                    assert!(!(first && again), "a duplicate was accepted");
                }
                return false;
            }
            // A score has no side effect, so it is asked for again.
            (Stage::Score, Some(Fault::ReplyLost)) => job.due = now + 500,
            (Stage::Score, _) if is_broken => job.due = now + PEER_CUT_MS,
            (_, Some(Fault::Delay)) => {
                job.due = now + DELAY_MS;
                return true;
            }
            (Stage::Generate, Some(Fault::ReplyLost)) => return self.fail(owner, job),
            (Stage::Generate | Stage::Label, _) if is_broken => return self.fail(owner, job),
            (Stage::Generate, _) => {
                owner.planner.on_first_token(&job.sample, job.attempt);
                job.first = self.served;
                job.stage = Stage::Label;
                job.due = now + self.rng.random_range(300..1_500);
            }
            (Stage::Label, _) => {
                self.label(job);
                if fault == Some(Fault::ReplyLost) {
                    // The end of the report is missing.
                    job.spans.truncate(job.spans.len() - 1);
                }
                job.stage = Stage::Score;
                job.due = now + 100;
            }
            (Stage::Score, _) => {
                job.stage = Stage::Accept;
                job.due = now + 100;
            }
        }
        true
    }

    /// Takes the spans from the engine's report.
    fn label(&mut self, job: &mut Job) {
        let span = |version, from, to| Span {
            version: id::Version(version),
            from,
            to,
        };
        job.spans = match job.first == self.served {
            true => vec![span(job.first, 0, TOKENS)],
            false => vec![span(job.first, 0, 2), span(self.served, 2, TOKENS)],
        };
        job.body = format!("{}/{}", job.sample, self.produced.len());
        let truth = (job.sample.clone(), job.spans.clone());
        self.produced.insert(job.body.clone(), truth);
    }

    /// Returns whether the attempt is the one that counts.
    fn accept(&mut self, owner: &mut Owner, job: &Job) -> bool {
        let accepted = owner.ledger.accept(FinishedAttempt {
            sample: job.sample.clone(),
            attempt: job.attempt,
            tokens: TOKENS,
            spans: job.spans.clone(),
            body: job.body.clone(),
        });
        let now = at(self.now);
        match accepted {
            Ok(AcceptOutcome::Buffered | AcceptOutcome::Duplicate) => {
                owner.planner.on_finished(now, &job.sample, job.attempt);
            }
            Ok(AcceptOutcome::Stale | AcceptOutcome::InvalidSpans) | Err(_) => {
                self.fail(owner, job);
            }
        }
        matches!(accepted, Ok(AcceptOutcome::Buffered))
    }

    fn fail(&mut self, owner: &mut Owner, job: &Job) -> bool {
        let now = at(self.now);
        let planner = &mut owner.planner;
        planner.on_failed(now, &job.sample, job.attempt, &mut self.rng);
        false
    }
}
