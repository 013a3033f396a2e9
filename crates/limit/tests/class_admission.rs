//! Admission by class and deadline.

use dogwoodlb_limit::{Action, Admission, AdmissionController, Category, Ticket};
use dogwoodlb_types::prelude::*;

const LATER: Instant = Instant::from_millis(60_000);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn start(gate: &mut AdmissionController, class: Class) -> Ticket {
    match gate.admit(class, LATER, at(0)) {
        Ok(Admission::Start(ticket)) => ticket,
        other => panic!("not started: {other:?}"),
    }
}

fn wait(gate: &mut AdmissionController, class: Class, deadline: Instant) -> Ticket {
    match gate.admit(class, deadline, at(0)) {
        Ok(Admission::Wait(ticket)) => ticket,
        other => panic!("not queued: {other:?}"),
    }
}

/// A customer that waits behind work of a lower class that came first.
#[test]
fn customers_first() {
    let mut gate = AdmissionController::new(1, 8);
    let running = start(&mut gate, Class::Customer);
    let background = wait(&mut gate, Class::Background, LATER);
    let trainer = wait(&mut gate, Class::Trainer, LATER);
    let customer = wait(&mut gate, Class::Customer, LATER);
    let mut order = Vec::new();
    let mut ended = running;
    for _ in 0..3 {
        gate.on_end(ended, at(10)).unwrap();
        let [Action::Start(ticket)] = gate.poll(at(10))[..] else {
            panic!("one start for one end");
        };
        order.push(ticket);
        ended = ticket;
    }
    assert_eq!(order, [customer, trainer, background]);
}

/// Samples in every slot while a customer arrives.
#[test]
fn reserved_slots() {
    let mut gate = AdmissionController::new(10, 8);
    for _ in 0..9 {
        start(&mut gate, Class::Trainer);
    }
    wait(&mut gate, Class::Trainer, LATER);
    start(&mut gate, Class::Customer);
    assert_eq!(gate.running(Class::Trainer), 9);
    assert_eq!(gate.poll(at(0)), []);
}

/// Expired background work that gets no answer while customers take every slot.
#[test]
fn expired_entries() {
    let mut gate = AdmissionController::new(1, 8);
    start(&mut gate, Class::Customer);
    let background = wait(&mut gate, Class::Background, at(500));
    wait(&mut gate, Class::Customer, LATER);
    assert_eq!(gate.poll(at(500)), []);
    let now = gate.next_poll().unwrap();
    let [Action::Refuse(ticket, ref refusal)] = gate.poll(now)[..] else {
        panic!("one refusal");
    };
    assert_eq!(ticket, background);
    assert_eq!(refusal.ran, Ran::NotRun);
    assert_eq!(gate.waiting(Class::Background), 0);
}

/// A queue that grows with the overload.
#[test]
fn bounded_queue() {
    let mut gate = AdmissionController::new(1, 2);
    start(&mut gate, Class::Customer);
    wait(&mut gate, Class::Customer, LATER);
    wait(&mut gate, Class::Customer, LATER);
    let refusal = gate.admit(Class::Customer, LATER, at(0)).unwrap_err();
    assert_eq!(refusal.code, Code::Overloaded);
    assert_eq!(refusal.ran, Ran::NotRun);
}

/// A request that waits for a slot although it can't end before its deadline.
#[test]
fn hopeless_deadline() {
    let mut gate = AdmissionController::new(1, 8);
    let first = start(&mut gate, Class::Customer);
    gate.on_end(first, at(1_000)).unwrap();
    gate.admit(Class::Customer, LATER, at(1_000)).unwrap();
    let refusal = gate
        .admit(Class::Customer, at(2_200), at(1_000))
        .unwrap_err();
    assert_eq!(refusal.code, Code::Overloaded);
    assert!(gate.admit(Class::Customer, at(2_600), at(1_000)).is_ok());
    assert!(gate.admit(Class::Customer, at(1_000), at(1_000)).is_err());
}

/// A slot freed twice, which would let more requests run than the upstream can take.
#[test]
fn double_end() {
    let mut gate = AdmissionController::new(1, 8);
    let first = start(&mut gate, Class::Customer);
    let second = wait(&mut gate, Class::Customer, LATER);
    let error = gate.on_end(second, at(5)).unwrap_err();
    assert_eq!(error.classify(), Category::NotRunning);
    gate.cancel(second).unwrap();
    assert_eq!(
        gate.cancel(second).unwrap_err().classify(),
        Category::NotWaiting
    );
    gate.on_end(first, at(5)).unwrap();
    assert!(gate.on_end(first, at(5)).is_err());
    start(&mut gate, Class::Customer);
    assert_eq!(gate.running(Class::Customer), 1);
}
