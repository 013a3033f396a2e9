//! Guards against steps without a usable replica, and against loads that nobody needs.

use dogwoodlb_weights::{plan, share, Candidate, Choice, Holding, Homes, Need, Wish};

fn holdings(versions: &[u64]) -> Vec<Holding> {
    let holding = |(index, version): (usize, &u64)| Holding {
        replica: format!("r{index}"),
        version: *version,
        busy: false,
        running: 0,
    };
    versions.iter().enumerate().map(holding).collect()
}

const WISH: Wish = Wish {
    newest: 5,
    min_version: 4,
    waiting: true,
    free_loads: 4,
    loads: 0,
    needed: usize::MAX,
};

fn names(choices: &[Choice]) -> Vec<(&str, Need)> {
    let name = |choice: &'_ Choice| (choice.replica.clone(), choice.need);
    let names: Vec<(String, Need)> = choices.iter().map(name).collect();
    names
        .into_iter()
        .map(|(name, need)| (&*name.leak(), need))
        .collect()
}

#[test]
fn useless_ones_first() {
    let holdings = holdings(&[4, 3, 4, 3, 3]);
    let needs = [
        ("r1", Need::Useless),
        ("r3", Need::Useless),
        ("r4", Need::Useless),
    ];
    assert_eq!(names(&plan(&holdings, &WISH)), needs);
}

#[test]
fn half_is_newest() {
    let choices = plan(&holdings(&[5, 4, 4, 4]), &WISH);
    assert_eq!(names(&choices), [("r1", Need::Half)]);
    assert!(plan(&holdings(&[5, 5, 4, 4]), &WISH).is_empty());
}

#[test]
fn loading_ones_count() {
    let mut holdings = holdings(&[3, 4, 4, 4]);
    holdings[0].busy = true;
    assert_eq!(names(&plan(&holdings, &WISH)), [("r1", Need::Half)]);
}

#[test]
fn spare_time() {
    let idle = Wish {
        waiting: false,
        loads: 2,
        ..WISH
    };
    let spare = [("r2", Need::Spare), ("r3", Need::Spare)];
    assert_eq!(names(&plan(&holdings(&[5, 5, 4, 4]), &idle)), spare);
    let spent = Wish { loads: 4, ..idle };
    assert!(plan(&holdings(&[5, 5, 4, 4]), &spent).is_empty());
}

/// The first models took every turn, and no replica had fresh weights of the last one.
#[test]
fn models_take_turns() {
    let useless = |names: &[&str]| -> Vec<Choice> {
        let choice = |name: &&str| Choice {
            replica: (*name).to_owned(),
            need: Need::Useless,
        };
        names.iter().map(choice).collect()
    };
    let choices = [
        useless(&["a", "b", "c"]),
        useless(&["d", "e"]),
        useless(&["f"]),
    ];
    let begun = share(&choices, 4);
    let models: Vec<usize> = begun.iter().map(|(model, _)| *model).collect();
    assert_eq!(models, [0, 1, 2, 0]);
    let same = [useless(&["a"]), useless(&["a"])];
    assert_eq!(share(&same, 4).len(), 1, "one load at a time on a replica");
}

#[test]
fn homes_are_shared() {
    let candidate = |number: usize| Candidate {
        replica: format!("r{number:02}"),
        lags: vec![0, 0, 0],
    };
    let mut candidates: Vec<Candidate> = (0..9).map(candidate).collect();
    let mut homes = Homes::default();
    homes.assign(&candidates, &[1.0, 1.0, 1.0]);
    let count = |homes: &Homes, model: usize| {
        let of = |candidate: &&Candidate| homes.home(&candidate.replica) == Some(model);
        candidates.iter().filter(of).count()
    };
    assert_eq!([0, 1, 2].map(|model| count(&homes, model)), [3, 3, 3]);
    // A new leader finds the homes again by the versions.
    for candidate in &mut candidates {
        let home = homes.home(&candidate.replica);
        candidate.lags = (0..3).map(|model| u64::from(home != Some(model))).collect();
    }
    let mut other = Homes::default();
    other.assign(&candidates, &[1.0, 1.0, 1.0]);
    for candidate in &candidates {
        assert_eq!(
            other.home(&candidate.replica),
            homes.home(&candidate.replica)
        );
    }
}

/// Loads were ordered at every replica of a pool, however little work there was.
#[test]
fn only_as_many_as_needed() {
    let three = Wish { needed: 3, ..WISH };
    let behind = [("r0", Need::Useless), ("r1", Need::Useless)];
    assert_eq!(names(&plan(&holdings(&[3, 3, 2, 5, 1]), &three)), behind);
    let none = Wish { needed: 0, ..WISH };
    assert!(plan(&holdings(&[1, 1]), &none).is_empty());
}

/// Each candidate was looked up among all others, which took a leader's processor time before
/// some thousand replicas.
#[test]
fn many_homes() {
    let candidates: Vec<Candidate> = (0..20_000)
        .map(|number| Candidate {
            replica: format!("replica-of-a-long-name-{number:05}"),
            lags: vec![0, 1],
        })
        .collect();
    let mut homes = Homes::default();
    homes.assign(&candidates, &[1.0, 1.0]);
    let began = std::time::Instant::now();
    homes.assign(&candidates, &[1.0, 1.0]);
    let took = began.elapsed();
    assert!(took < std::time::Duration::from_secs(1), "{took:?}");
}
