//! How the limit of sockets is shared out.

use chalklug::transport::sockets::SocketAllocation;

#[test]
fn socket_shares_add_up_and_leave_room_for_every_link() {
    for (max, peers) in [(500, 2), (2500, 2), (3273, 6), (20_000, 8)] {
        let shares = SocketAllocation::new(max, peers, 64);
        assert!(shares.total(peers) <= max, "{max}: {shares:?}");
        assert!(shares.http_connections > max / 2, "{max}: {shares:?}");
        assert!(shares.pushes >= 4 && shares.peer_connections >= peers);
    }
}
