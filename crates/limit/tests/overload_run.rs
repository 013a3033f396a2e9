//! A minute of overload in virtual time.

use dogwoodlb_limit::{Action, Admission, AdmissionController, RetryBudget, Ticket};
use dogwoodlb_types::prelude::*;
use rand::{rngs::StdRng, RngExt, SeedableRng};
use rstest::rstest;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const SLOTS: u32 = 20;
const SERVICE_MS: u64 = 100;
/// The requests that the slots can serve in a second.
const CAPACITY: u64 = SLOTS as u64 * 1_000 / SERVICE_MS;
const PATIENCE: Duration = Duration::from_millis(1_000);
/// A quiet start, a minute of overload, and the time after it.
const START: u64 = 10;
const END: u64 = START + 60;
const SECONDS: u64 = END + 20;

#[derive(Clone, Copy)]
struct Job {
    class: Class,
    deadline: Instant,
    is_retry: bool,
}

enum Event {
    Arrive(Job),
    End(Ticket, Job),
    Poll,
}

/// What happened in one second.
#[derive(Clone, Copy, Default)]
struct Second {
    arrived: [u64; 3],
    good: [u64; 3],
    late: u64,
    refused: [u64; 3],
}

struct World {
    rng: StdRng,
    gate: AdmissionController,
    budget: RetryBudget,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    next_poll: u64,
    waiting: HashMap<Ticket, Job>,
    seconds: Vec<Second>,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            gate: AdmissionController::new(SLOTS, 1_000),
            budget: RetryBudget::new(Instant::from_millis(0)),
            queue: BTreeMap::new(),
            sequence: 0,
            next_poll: 0,
            waiting: HashMap::new(),
            seconds: vec![Second::default(); SECONDS as usize + 10],
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    /// Adds arrivals of a class for some seconds, as a percentage of the capacity.
    fn load(&mut self, class: Class, seconds: std::ops::Range<u64>, percent: u64) {
        let count = (seconds.end - seconds.start) * CAPACITY * percent / 100;
        for _ in 0..count {
            let at = self
                .rng
                .random_range(seconds.start * 1_000..seconds.end * 1_000);
            let deadline = Instant::from_millis(at) + PATIENCE;
            let job = Job {
                class,
                deadline,
                is_retry: false,
            };
            self.push(at, Event::Arrive(job));
        }
    }

    fn run(&mut self) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            let now = Instant::from_millis(at);
            match event {
                Event::Arrive(job) => self.arrive(job, at),
                Event::End(ticket, job) => {
                    self.gate.on_end(ticket, now).unwrap();
                    let second = &mut self.seconds[at as usize / 1_000];
                    if now <= job.deadline {
                        second.good[job.class.rank()] += 1;
                    } else {
                        second.late += 1;
                    }
                }
                Event::Poll => {}
            }
            for action in self.gate.poll(now) {
                match action {
                    Action::Start(ticket) => {
                        let job = self.waiting.remove(&ticket).unwrap();
                        self.start(ticket, job, at);
                    }
                    Action::Refuse(ticket, refusal) => {
                        let job = self.waiting.remove(&ticket).unwrap();
                        self.refuse(job, &refusal, at);
                    }
                }
            }
            // One poll is scheduled at a time, else each event would start a chain of them.
            let wake = self
                .gate
                .next_poll()
                .map(|wake| wake.as_millis().max(at + 1));
            if let Some(wake) = wake.filter(|&wake| self.next_poll <= at || wake < self.next_poll) {
                self.next_poll = wake;
                self.push(wake, Event::Poll);
            }
        }
        assert!(self.waiting.is_empty(), "requests without an answer");
    }

    fn arrive(&mut self, job: Job, at: u64) {
        let now = Instant::from_millis(at);
        if !job.is_retry {
            self.budget.on_request();
            self.seconds[at as usize / 1_000].arrived[job.class.rank()] += 1;
        }
        match self.gate.admit(job.class, job.deadline, now) {
            Ok(Admission::Start(ticket)) => self.start(ticket, job, at),
            Ok(Admission::Wait(ticket)) => {
                self.waiting.insert(ticket, job);
            }
            Err(refusal) => self.refuse(job, &refusal, at),
        }
    }

    fn start(&mut self, ticket: Ticket, job: Job, at: u64) {
        let time = self.rng.random_range(SERVICE_MS / 2..SERVICE_MS * 3 / 2);
        self.push(at + time, Event::End(ticket, job));
    }

    /// Callers send a refused request again if the budget allows it.
    fn refuse(&mut self, job: Job, refusal: &Refusal, at: u64) {
        assert_eq!(refusal.ran, Ran::NotRun);
        self.seconds[at as usize / 1_000].refused[job.class.rank()] += 1;
        let now = Instant::from_millis(at);
        if self.budget.try_retry(now) {
            let again = at + refusal.retry_after.unwrap().as_millis() as u64;
            let deadline = Instant::from_millis(again) + PATIENCE;
            let job = Job {
                deadline,
                is_retry: true,
                ..job
            };
            self.push(again, Event::Arrive(job));
        }
    }

    fn sum(&self, seconds: std::ops::Range<u64>, count: impl Fn(&Second) -> u64) -> u64 {
        let seconds = &self.seconds[seconds.start as usize..seconds.end as usize];
        seconds.iter().map(count).sum()
    }
}

/// Work wasted on answers that come too late, customers that wait behind samples, and an
/// overload that feeds itself after its cause has gone.
#[rstest]
#[case::trainers(60, 70, 20)]
#[case::mixed(90, 40, 20)]
fn overload_minute(
    #[case] customers: u64,
    #[case] trainers: u64,
    #[case] background: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = World::new(seed);
    let classes = [customers, trainers, background];
    assert_eq!(classes.iter().sum::<u64>(), 150);
    for (class, percent) in Class::ALL.into_iter().zip(classes) {
        world.load(class, 0..START, percent / 3);
        world.load(class, START..END, percent);
        world.load(class, END..SECONDS, percent / 2);
    }
    world.run();

    let good = world.sum(START..END, |s| s.good.iter().sum());
    let late = world.sum(START..END, |s| s.late);
    println!(
        "goodput {}% of capacity, late {late}",
        good * 100 / (CAPACITY * 60)
    );
    assert!(good * 100 >= CAPACITY * 60 * 90, "goodput {good}");

    let arrived = world.sum(START..END, |s| s.arrived[0]);
    let served = world.sum(START..END, |s| s.good[0]);
    println!("customers served {}%", served * 100 / arrived);
    assert!(
        served * 100 >= arrived * 95,
        "customers {served} of {arrived}"
    );

    let refused = world.sum(END + 10..SECONDS, |s| s.refused.iter().sum());
    let arrived = world.sum(END + 10..SECONDS, |s| s.arrived.iter().sum());
    let good = world.sum(END + 10..SECONDS, |s| s.good.iter().sum());
    println!("10 s after the overload: good {good} of {arrived}, refused {refused}");
    assert_eq!(refused, 0, "refusals 10 s after the overload");
    assert!(good * 100 >= arrived * 99, "good {good} of {arrived}");
}
