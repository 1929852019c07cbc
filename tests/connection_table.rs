//! The HTTP server's connection table: which connection is evicted when the table is full.

use chalklug::transport::connection_table::{ConnectionTable, Rank};
use tokio_util::sync::CancellationToken;

#[test]
fn full_table_evicts_lowest_rank_then_longest_idle() {
    let table = ConnectionTable::new(3);
    let close_tokens: Vec<_> = (0..6).map(|_| CancellationToken::new()).collect();
    let worker = table.insert(close_tokens[0].clone());
    table.set_rank(worker, Rank(1));
    let user = table.insert(close_tokens[1].clone());
    let busy = table.insert(close_tokens[2].clone());
    table.request_started(busy);
    table.request_started(user);
    table.request_finished(user);
    table.insert(close_tokens[3].clone());
    assert!(
        close_tokens[1].is_cancelled(),
        "an idle user connection is evicted before a worker's"
    );
    let last = table.insert(close_tokens[4].clone());
    assert!(
        close_tokens[3].is_cancelled(),
        "an idle connection is evicted before one with a request in flight"
    );
    assert!(!close_tokens[0].is_cancelled() && !close_tokens[2].is_cancelled());
    assert_eq!(table.connection_count(), 3);
    table.set_rank(last, Rank(1));
    table.insert(close_tokens[5].clone());
    assert!(
        close_tokens[0].is_cancelled(),
        "of the worker connections the longest idle one is evicted"
    );
}
