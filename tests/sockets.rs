//! How sockets are divided.

use chalklug::transport::sockets::SocketAllocation;

#[test]
fn socket_shares_add_up_and_leave_room_for_every_link() {
    for (most, siblings) in [(500, 2), (2500, 2), (3273, 6), (20_000, 8)] {
        let s = SocketAllocation::new(most, siblings, 64);
        assert!(s.total(siblings) <= most, "{most}: {s:?}");
        assert!(s.http_connections > most / 2, "{most}: {s:?}");
        assert!(s.pushes >= 4 && s.peer_connections >= siblings);
    }
}
