//! Simulation of a minute of overload in virtual time.

use dogwoodlb_limit::{Action, Admission, AdmissionController, RetryBudget, Ticket};
use dogwoodlb_types::prelude::*;
use rand::{rngs::StdRng, RngExt, SeedableRng};
use rstest::rstest;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const SLOTS: u32 = 20;
const SERVICE_MS: u64 = 100;
/// Requests per second that the slots can serve.
const CAPACITY: u64 = SLOTS as u64 * 1_000 / SERVICE_MS;
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A minute of overload, with normal load before and after it, in seconds.
const OVERLOAD_START: u64 = 10;
const OVERLOAD_END: u64 = OVERLOAD_START + 60;
const SECONDS: u64 = OVERLOAD_END + 20;

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

/// Counters for one second of the simulation.
#[derive(Clone, Copy, Default)]
struct Second {
    arrived: [u64; 3],
    in_time: [u64; 3],
    late: u64,
    refused: [u64; 3],
}

struct Simulation {
    rng: StdRng,
    controller: AdmissionController,
    budget: RetryBudget,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    next_poll: u64,
    waiting: HashMap<Ticket, Job>,
    seconds: Vec<Second>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            controller: AdmissionController::new(SLOTS, 1_000),
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

    /// Adds arrivals of a class over a range of seconds, as a percentage of the capacity.
    fn add_load(&mut self, class: Class, seconds: std::ops::Range<u64>, percent: u64) {
        let count = (seconds.end - seconds.start) * CAPACITY * percent / 100;
        for _ in 0..count {
            let at = self
                .rng
                .random_range(seconds.start * 1_000..seconds.end * 1_000);
            let deadline = Instant::from_millis(at) + REQUEST_TIMEOUT;
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
                    self.controller.on_end(ticket, now).unwrap();
                    let second = &mut self.seconds[at as usize / 1_000];
                    if now <= job.deadline {
                        second.in_time[job.class.rank()] += 1;
                    } else {
                        second.late += 1;
                    }
                }
                Event::Poll => {}
            }
            for action in self.controller.poll(now) {
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
            // Only one poll is scheduled at a time; otherwise each event would add its own
            // series of polls.
            let poll_at = self
                .controller
                .next_poll()
                .map(|poll_at| poll_at.as_millis().max(at + 1));
            if let Some(poll_at) =
                poll_at.filter(|&poll_at| self.next_poll <= at || poll_at < self.next_poll)
            {
                self.next_poll = poll_at;
                self.push(poll_at, Event::Poll);
            }
        }
        assert!(self.waiting.is_empty(), "requests without a response");
    }

    fn arrive(&mut self, job: Job, at: u64) {
        let now = Instant::from_millis(at);
        if !job.is_retry {
            self.budget.on_request();
            self.seconds[at as usize / 1_000].arrived[job.class.rank()] += 1;
        }
        match self.controller.admit(job.class, job.deadline, now) {
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

    /// Retries a refused request if the retry budget allows it.
    fn refuse(&mut self, job: Job, refusal: &Refusal, at: u64) {
        assert_eq!(refusal.execution, Execution::NotRun);
        self.seconds[at as usize / 1_000].refused[job.class.rank()] += 1;
        let now = Instant::from_millis(at);
        if self.budget.try_retry(now) {
            let again = at + refusal.retry_after.unwrap().as_millis() as u64;
            let deadline = Instant::from_millis(again) + REQUEST_TIMEOUT;
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

/// Under overload, slots must not be wasted on responses that miss their deadline, customers must
/// not wait behind samples, and the system must recover once the load drops.
#[rstest]
#[case::trainers(60, 70, 20)]
#[case::mixed(90, 40, 20)]
fn overload_minute(
    #[case] customers: u64,
    #[case] trainers: u64,
    #[case] background: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut simulation = Simulation::new(seed);
    let classes = [customers, trainers, background];
    assert_eq!(classes.iter().sum::<u64>(), 150);
    for (class, percent) in Class::ALL.into_iter().zip(classes) {
        simulation.add_load(class, 0..OVERLOAD_START, percent / 3);
        simulation.add_load(class, OVERLOAD_START..OVERLOAD_END, percent);
        simulation.add_load(class, OVERLOAD_END..SECONDS, percent / 2);
    }
    simulation.run();

    let in_time = simulation.sum(OVERLOAD_START..OVERLOAD_END, |s| s.in_time.iter().sum());
    let late = simulation.sum(OVERLOAD_START..OVERLOAD_END, |s| s.late);
    println!(
        "goodput {}% of capacity, late {late}",
        in_time * 100 / (CAPACITY * 60)
    );
    assert!(in_time * 100 >= CAPACITY * 60 * 90, "goodput {in_time}");

    let arrived = simulation.sum(OVERLOAD_START..OVERLOAD_END, |s| s.arrived[0]);
    let served = simulation.sum(OVERLOAD_START..OVERLOAD_END, |s| s.in_time[0]);
    println!("customers served {}%", served * 100 / arrived);
    assert!(
        served * 100 >= arrived * 95,
        "customers {served} of {arrived}"
    );

    let refused = simulation.sum(OVERLOAD_END + 10..SECONDS, |s| s.refused.iter().sum());
    let arrived = simulation.sum(OVERLOAD_END + 10..SECONDS, |s| s.arrived.iter().sum());
    let in_time = simulation.sum(OVERLOAD_END + 10..SECONDS, |s| s.in_time.iter().sum());
    println!("10 s after the overload: {in_time} of {arrived} in time, {refused} refused");
    assert_eq!(refused, 0, "refusals 10 s after the overload");
    assert!(
        in_time * 100 >= arrived * 99,
        "in_time {in_time} of {arrived}"
    );
}
