//! The table of connections of the HTTP server: who gives way when it is full.

use chalklug::transport::connection_table::{ConnectionTable, Rank};
use tokio_util::sync::CancellationToken;

#[test]
fn full_table_evicts_lowest_rank_then_longest_idle() {
    let table = ConnectionTable::new(3);
    let tokens: Vec<_> = (0..6).map(|_| CancellationToken::new()).collect();
    let worker = table.insert(tokens[0].clone());
    table.set_rank(worker, Rank(1));
    let user = table.insert(tokens[1].clone());
    let busy = table.insert(tokens[2].clone());
    table.request_started(busy);
    table.request_started(user);
    table.request_finished(user);
    table.insert(tokens[3].clone());
    assert!(
        tokens[1].is_cancelled(),
        "an idle user goes before a worker"
    );
    let last = table.insert(tokens[4].clone());
    assert!(tokens[3].is_cancelled(), "and before a request under way");
    assert!(!tokens[0].is_cancelled() && !tokens[2].is_cancelled());
    assert_eq!(table.connection_count(), 3);
    table.set_rank(last, Rank(1));
    table.insert(tokens[5].clone());
    assert!(tokens[0].is_cancelled(), "of workers the longest idle");
}
