//! Guards against a commit that skips a step or returns a wrong result to the operator.

use dogwoodlb_external::table::{Outcome, Row, Txn};
use dogwoodlb_external::Category;
use dogwoodlb_manifest::adopt::Answer;
use dogwoodlb_manifest::commit::{Action, Commit, Event};
use dogwoodlb_manifest::record::{key, Record, CURRENT};
use dogwoodlb_types::{id, Code, Execution, Instant, Refusal};
use rstest::rstest;

const FULL: &str = include_str!("data/full.json");

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn record(revision: u64, operation: u128, operator: &str) -> Record {
    Record {
        revision: id::Revision(revision),
        operation: id::Operation(operation),
        operator: operator.parse().unwrap(),
        text: FULL.to_owned(),
    }
}

/// Returns the response to a read; `put` is 0 for `manifest/<n>` and 1 for `manifest/current`.
fn row(record: &Record, version: u64, put: usize) -> Event {
    let put = record.commit(0).puts[put].clone();
    let (key, value) = (put.key.clone(), put.value);
    let row = Row {
        key,
        version,
        value,
    };
    read(&put.key, Ok(Some(row)))
}

fn read(key: &str, result: Result<Option<Row>, Category>) -> Event {
    let key = key.to_owned();
    Event::Row { key, result }
}

fn absent(key: &str) -> Event {
    read(key, Ok(None))
}

fn new_commit(base: u64) -> Commit {
    let (operation, operator) = (id::Operation(99), "eva".parse().unwrap());
    let base = id::Revision(base);
    let (commit, actions) = Commit::new(operation, operator, base, FULL.to_owned(), at(0)).unwrap();
    assert_eq!(actions, [Action::Read(CURRENT.to_owned())]);
    commit
}

/// Returns a commit with base revision 4 that waits for promises.
fn proposing() -> Commit {
    let mut commit = new_commit(4);
    propose(&mut commit, 10);
    commit
}

fn propose(commit: &mut Commit, version: u64) {
    let base = record(4, 1, "ana");
    let actions = commit.on_event(row(&base, version, 1), at(10));
    assert_eq!(actions, [Action::Read(key(id::Revision(4)))]);
    let actions = commit.on_event(row(&base, 10, 0), at(20));
    let [Action::Propose { vms, proposal }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!((vms.len(), proposal.row_version), (3, version));
}

fn answer(commit: &mut Commit, vm: &str, row_version: u64, answer: Answer) -> Vec<Action> {
    let vm = vm.parse().unwrap();
    let event = Event::Answer {
        vm,
        row_version,
        answer,
    };
    commit.on_event(event, at(30))
}

/// Returns a commit for which a majority has promised, and its write.
fn writing() -> (Commit, Txn) {
    let mut commit = proposing();
    let txn = promises(&mut commit, 10);
    (commit, txn)
}

fn promises(commit: &mut Commit, version: u64) -> Txn {
    assert_eq!(answer(commit, "entry-1", version, Answer::Promised), []);
    let mut actions = answer(commit, "entry-3", version, Answer::Promised);
    let Some(Action::Write(txn)) = actions.pop() else {
        panic!("no write");
    };
    txn
}

fn refusal(actions: &[Action]) -> Refusal {
    match actions {
        [Action::Done(Err(refusal))] => refusal.clone(),
        _ => panic!("{actions:?}"),
    }
}

fn assert_refusal(refused: &Refusal, code: Code, ran: Execution, part: &str) {
    assert_eq!((refused.code, refused.execution), (code, ran));
    assert!(refused.message.contains(part), "{refused}");
}

/// Processes an event that must result in exactly one read.
fn expect_read(commit: &mut Commit, event: Event, key: &str) {
    let actions = commit.on_event(event, at(40));
    assert_eq!(actions, [Action::Read(key.to_owned())]);
}

fn written(result: Result<Outcome, Category>) -> Event {
    Event::Written(result)
}

fn conflict() -> Event {
    let (key, found) = (CURRENT.to_owned(), 12);
    written(Ok(Outcome::Conflict { key, found }))
}

#[test]
fn first_manifest() {
    let mut commit = new_commit(0);
    let actions = commit.on_event(absent(CURRENT), at(1));
    let [Action::Write(txn)] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert!(txn.checks.iter().all(|check| check.version == 0) && txn.checks.len() == 2);
    let refused = refusal(&new_commit(3).on_event(absent(CURRENT), at(1)));
    assert!(refused.message.contains("use base 0"), "{refused}");
}

/// The write is conditional on the row version of the proposal and on an unused revision.
#[test]
fn accepted_commit() {
    let (mut commit, txn) = writing();
    let checks = txn.checks.iter().map(|one| (&*one.key, one.version));
    let checks: Vec<_> = checks.collect();
    assert_eq!(checks, [(CURRENT, 10), ("manifest/5", 0)]);
    let actions = commit.on_event(written(Ok(Outcome::Applied { version: 11 })), at(40));
    assert_eq!(actions, [Action::Done(Ok(id::Revision(5)))]);
    assert_eq!(commit.on_event(Event::Tick, at(99_000)), []);
}

#[test]
fn invalid_manifest() {
    let (operation, operator) = (id::Operation(99), "eva".parse().unwrap());
    let text = FULL.replace("gpu-", "GPU ");
    let result = Commit::new(operation, operator, id::Revision(4), text, at(0));
    let refused = result.unwrap_err();
    assert_eq!(
        (refused.code, refused.execution),
        (Code::BadRequest, Execution::NotRun)
    );
    assert!(refused.message.contains("engines[0].vm") && refused.message.contains("engines[1].vm"));
}

#[test]
fn outdated_base() {
    let refused = refusal(&new_commit(4).on_event(row(&record(6, 7, "ana"), 12, 1), at(1)));
    let winner = "operator ana committed revision 6";
    assert_refusal(&refused, Code::Conflict, Execution::NotRun, winner);
}

/// Only promises of listed VMs for this proposal count towards the majority.
#[test]
fn no_majority() {
    let mut commit = proposing();
    let answers = [("entry-1", 10), ("entry-1", 10), ("entry-2", 9)];
    for (vm, version) in answers.into_iter().chain([("entry-9", 10)]) {
        assert_eq!(answer(&mut commit, vm, version, Answer::Promised), []);
    }
    assert_eq!(commit.on_event(Event::Tick, at(2_019)), []);
    let refused = refusal(&commit.on_event(Event::Tick, at(2_020)));
    let count = "1 of the 3 entry VMs";
    assert_refusal(&refused, Code::ManifestUnknown, Execution::NotRun, count);
    let mut commit = proposing();
    assert_eq!(answer(&mut commit, "entry-1", 10, Answer::Busy), []);
    refusal(&answer(&mut commit, "entry-2", 10, Answer::Unready));
}

/// After a lost response, the operation in the stored record determines the outcome before the
/// write is repeated.
#[test]
fn lost_reply() {
    let lost = || written(Err(Category::Ambiguous));
    let (mut commit, txn) = writing();
    expect_read(&mut commit, lost(), "manifest/5");
    let actions = commit.on_event(absent("manifest/5"), at(50));
    assert_eq!(actions, [Action::Write(txn)]);
    expect_read(&mut commit, conflict(), "manifest/5");
    let own = row(&record(5, 99, "eva"), 11, 0);
    let actions = commit.on_event(own, at(70));
    assert_eq!(actions, [Action::Done(Ok(id::Revision(5)))]);
    let (mut commit, _) = writing();
    commit.on_event(lost(), at(40));
    let refused = refusal(&commit.on_event(row(&record(5, 7, "ana"), 11, 0), at(50)));
    let winner = "operator ana committed revision 5";
    assert_refusal(&refused, Code::Conflict, Execution::NotRun, winner);
}

/// A failed read-back is repeated after a delay, and an unknown outcome is reported as such.
#[test]
fn unknown_outcome() {
    let (mut commit, _) = writing();
    commit.on_event(written(Err(Category::Ambiguous)), at(40));
    let failed = read("manifest/5", Err(Category::NotSent));
    assert_eq!(commit.on_event(failed, at(50)), []);
    assert_eq!(commit.on_event(Event::Tick, at(249)), []);
    let again = Action::Read("manifest/5".to_owned());
    assert_eq!(commit.on_event(Event::Tick, at(250)), [again]);
    let refused = refusal(&commit.on_event(Event::Tick, at(10_000)));
    assert_refusal(
        &refused,
        Code::StoreUnavailable,
        Execution::MayHaveRun,
        "`show`",
    );
    let refused = refusal(&writing().0.on_event(Event::Tick, at(10_000)));
    assert_refusal(
        &refused,
        Code::StoreUnavailable,
        Execution::MayHaveRun,
        "`show`",
    );
}

#[rstest]
#[case::write(writing().0, written(Err(Category::NotSent)))]
#[case::refused_write(writing().0, written(Err(Category::Refused)))]
#[case::pointer(new_commit(4), read(CURRENT, Err(Category::Ambiguous)))]
#[case::deadline(new_commit(4), Event::Tick)]
fn unreachable_store(#[case] mut commit: Commit, #[case] event: Event) {
    let refused = refusal(&commit.on_event(event, at(10_000)));
    let expected = "nothing was changed";
    assert_refusal(
        &refused,
        Code::StoreUnavailable,
        Execution::NotRun,
        expected,
    );
    assert!(refused.retry_after.is_some());
}

/// A commit whose proposal was closed restarts with the new row version, up to a limit.
#[test]
fn closed_proposal() {
    let (mut commit, _) = writing();
    for version in [12, 13] {
        expect_read(&mut commit, conflict(), "manifest/5");
        expect_read(&mut commit, absent("manifest/5"), CURRENT);
        propose(&mut commit, version);
        assert_eq!(promises(&mut commit, version).checks[0].version, version);
    }
    commit.on_event(conflict(), at(60));
    let refused = refusal(&commit.on_event(absent("manifest/5"), at(70)));
    assert_eq!(
        (refused.code, refused.execution),
        (Code::Conflict, Execution::NotRun)
    );
    let mut commit = proposing();
    let revision = id::Revision(5);
    let actions = answer(&mut commit, "entry-1", 10, Answer::Stale { revision });
    assert_eq!(actions, [Action::Read(CURRENT.to_owned())]);
}
