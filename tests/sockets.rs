//! Allocation of a process's sockets to its links.

use chalklug::transport::sockets::SocketAllocation;

#[test]
fn socket_shares_add_up_and_leave_room_for_every_link() {
    for (max, peers) in [(500, 2), (2500, 2), (3273, 6), (20_000, 8)] {
        let allocation = SocketAllocation::new(max, peers, 64);
        assert!(allocation.total(peers) <= max, "{max}: {allocation:?}");
        assert!(
            allocation.http_connections > max / 2,
            "{max}: {allocation:?}"
        );
        assert!(allocation.pushes >= 4 && allocation.peer_connections >= peers);
    }
}
