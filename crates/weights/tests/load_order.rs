//! Guards against steps without a usable replica, and against loads that nobody needs.

use dogwoodlb_weights::{plan, Holding, Wish};

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
    at_once: 2,
    free_loads: 4,
    loads: 0,
};

#[test]
fn useless_ones_first() {
    let holdings = holdings(&[4, 3, 4, 3, 3]);
    assert_eq!(plan(&holdings, &WISH), ["r1", "r3"]);
}

#[test]
fn at_once() {
    let mut holdings = holdings(&[3, 3, 3, 4]);
    holdings[0].busy = true;
    assert_eq!(plan(&holdings, &WISH), ["r1"]);
}

#[test]
fn half_is_newest() {
    assert_eq!(plan(&holdings(&[5, 4, 4, 4]), &WISH), ["r1"]);
    assert!(plan(&holdings(&[5, 5, 4, 4]), &WISH).is_empty());
}

#[test]
fn spare_time() {
    let idle = Wish {
        waiting: false,
        loads: 2,
        ..WISH
    };
    assert_eq!(plan(&holdings(&[5, 5, 4, 4]), &idle), ["r2", "r3"]);
    let spent = Wish { loads: 4, ..idle };
    assert!(plan(&holdings(&[5, 5, 4, 4]), &spent).is_empty());
}
