//! Admission by class and deadline.

use dogwoodlb_limit::{Action, Admission, AdmissionController, Category, Ticket};
use dogwoodlb_types::prelude::*;

const FAR_DEADLINE: Instant = Instant::from_millis(60_000);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn start(controller: &mut AdmissionController, class: Class) -> Ticket {
    match controller.admit(class, FAR_DEADLINE, at(0)) {
        Ok(Admission::Start(ticket)) => ticket,
        other => panic!("not started: {other:?}"),
    }
}

fn wait(controller: &mut AdmissionController, class: Class, deadline: Instant) -> Ticket {
    match controller.admit(class, deadline, at(0)) {
        Ok(Admission::Wait(ticket)) => ticket,
        other => panic!("not queued: {other:?}"),
    }
}

/// Customers must start before requests of lower classes that arrived earlier.
#[test]
fn customers_first() {
    let mut controller = AdmissionController::new(1, 8);
    let running = start(&mut controller, Class::Customer);
    let background = wait(&mut controller, Class::Background, FAR_DEADLINE);
    let trainer = wait(&mut controller, Class::Trainer, FAR_DEADLINE);
    let customer = wait(&mut controller, Class::Customer, FAR_DEADLINE);
    let mut order = Vec::new();
    let mut ended = running;
    for _ in 0..3 {
        controller.on_end(ended, at(10)).unwrap();
        let [Action::Start(ticket)] = controller.poll(at(10))[..] else {
            panic!("one start for one end");
        };
        order.push(ticket);
        ended = ticket;
    }
    assert_eq!(order, [customer, trainer, background]);
}

/// Samples must leave slots free for customers.
#[test]
fn reserved_slots() {
    let mut controller = AdmissionController::new(10, 8);
    for _ in 0..9 {
        start(&mut controller, Class::Trainer);
    }
    wait(&mut controller, Class::Trainer, FAR_DEADLINE);
    start(&mut controller, Class::Customer);
    assert_eq!(controller.running(Class::Trainer), 9);
    assert_eq!(controller.poll(at(0)), []);
}

/// Expired background requests must be refused even while customers occupy every slot.
#[test]
fn expired_background_request() {
    let mut controller = AdmissionController::new(1, 8);
    start(&mut controller, Class::Customer);
    let background = wait(&mut controller, Class::Background, at(500));
    wait(&mut controller, Class::Customer, FAR_DEADLINE);
    assert_eq!(controller.poll(at(500)), []);
    let now = controller.next_poll().unwrap();
    let [Action::Refuse(ticket, ref refusal)] = controller.poll(now)[..] else {
        panic!("one refusal");
    };
    assert_eq!(ticket, background);
    assert_eq!(refusal.execution, Execution::NotRun);
    assert_eq!(controller.waiting(Class::Background), 0);
}

/// The queue must not grow without bound under overload.
#[test]
fn bounded_queue() {
    let mut controller = AdmissionController::new(1, 2);
    start(&mut controller, Class::Customer);
    wait(&mut controller, Class::Customer, FAR_DEADLINE);
    wait(&mut controller, Class::Customer, FAR_DEADLINE);
    let refusal = controller
        .admit(Class::Customer, FAR_DEADLINE, at(0))
        .unwrap_err();
    assert_eq!(refusal.code, Code::Overloaded);
    assert_eq!(refusal.execution, Execution::NotRun);
}

/// A request that cannot complete before its deadline must be refused rather than queued.
#[test]
fn unreachable_deadline() {
    let mut controller = AdmissionController::new(1, 8);
    let first = start(&mut controller, Class::Customer);
    controller.on_end(first, at(1_000)).unwrap();
    controller
        .admit(Class::Customer, FAR_DEADLINE, at(1_000))
        .unwrap();
    let refusal = controller
        .admit(Class::Customer, at(2_200), at(1_000))
        .unwrap_err();
    assert_eq!(refusal.code, Code::Overloaded);
    assert!(controller
        .admit(Class::Customer, at(2_600), at(1_000))
        .is_ok());
    assert!(controller
        .admit(Class::Customer, at(1_000), at(1_000))
        .is_err());
}

/// Ending a request twice must not free a second slot, which would exceed the upstream's
/// capacity.
#[test]
fn double_end() {
    let mut controller = AdmissionController::new(1, 8);
    let first = start(&mut controller, Class::Customer);
    let second = wait(&mut controller, Class::Customer, FAR_DEADLINE);
    let error = controller.on_end(second, at(5)).unwrap_err();
    assert_eq!(error.classify(), Category::NotRunning);
    controller.cancel(second).unwrap();
    assert_eq!(
        controller.cancel(second).unwrap_err().classify(),
        Category::NotWaiting
    );
    controller.on_end(first, at(5)).unwrap();
    assert!(controller.on_end(first, at(5)).is_err());
    start(&mut controller, Class::Customer);
    assert_eq!(controller.running(Class::Customer), 1);
}
