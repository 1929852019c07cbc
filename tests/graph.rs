//! The job graph: release, labels, groups.

use chalklug::coordination::graph::{Graph, Label};
use chalklug::ids::{JobId, Millis};

fn id(n: u32) -> JobId {
    JobId::from(format!("wk-{n}").as_str())
}

#[test]
fn releases_on_the_last_producer_and_fails_consumers() {
    let mut g = Graph::default();
    g.add(&id(3), &[id(1), id(2)], None);
    g.add(&id(1), &[], None);
    g.add(&id(2), &[], None);
    assert!(g.released(&id(1)) && !g.released(&id(3)));
    g.finished(&id(1));
    assert!(!g.released(&id(3)));
    g.finished(&id(2));
    assert!(g.released(&id(3)));
    g.add(&id(4), &[id(3)], None);
    g.failed(&id(3));
    g.recheck();
    assert!(!g.released(&id(4)) && !g.released(&id(3)));
}

#[test]
fn labels_walk_backwards_and_stages_group() {
    let mut g = Graph::default();
    let due = Some(Millis(9000));
    g.add(&id(1), &[], None);
    g.add(&id(2), &[id(1)], None);
    for n in [3, 4] {
        g.add(&id(n), &[id(2)], None);
    }
    g.add(&id(5), &[id(3), id(4)], due);
    g.add(&id(9), &[], None);
    let labels: Vec<Label> = (1..=5).map(|n| g.label(&id(n))).collect();
    use Label::{Latency as L, Throughput as T};
    assert_eq!(labels, [T, L, L, L, L]);
    assert_eq!(g.label(&id(9)), T);
    assert_eq!(g.pressing(&id(1)), due);
    assert_eq!(g.group(&id(3)), [id(3), id(4)]);
    assert_eq!(g.group(&id(9)), [id(9)]);
    assert_eq!(g.depth(&id(5)), 3);
}

#[test]
fn a_cycle_is_never_released_and_harms_nobody() {
    let mut g = Graph::default();
    g.add(&id(1), &[id(2)], None);
    g.add(&id(2), &[id(1)], None);
    g.add(&id(3), &[], None);
    g.recheck();
    assert!(!g.released(&id(1)) && !g.released(&id(2)) && g.released(&id(3)));
}
