//! How the sockets of a process are divided, so that none of its links can starve another.

/// Sockets by use. They add up to no more than the process may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sockets {
    /// Connections of users and workers.
    pub front: usize,
    /// Direct commands to workers at once; each takes a connection for as long as it lasts.
    pub pushes: usize,
    /// Connections from siblings.
    pub siblings_in: usize,
    /// Kept open to each sibling, to the state service and to the cloud.
    pub to_sibling: usize,
    pub to_state: usize,
    pub to_cloud: usize,
}

/// Listeners, the log and what the runtime needs.
const OWN: usize = 16;

impl Sockets {
    /// Divides them: links without which nothing can be decided come first, the HTTP server has the rest.
    pub fn divide(most: usize, siblings: usize, user_requests: usize) -> Sockets {
        let pushes = (most / 30).max(4);
        let siblings_in = (most / 20).clamp(8, 16 + 8 * siblings.max(1));
        let to_sibling = 4;
        // Each user's request may have one of its own; the leader's tasks a few.
        let to_state = user_requests + 16;
        let to_cloud = 4;
        let others = OWN + pushes + siblings_in + to_sibling * siblings + to_state + to_cloud;
        Sockets {
            front: most.saturating_sub(others).max(most / 4),
            pushes,
            siblings_in,
            to_sibling,
            to_state,
            to_cloud,
        }
    }

    /// All of them.
    pub fn sum(&self, siblings: usize) -> usize {
        OWN + self.front
            + self.pushes
            + self.siblings_in
            + self.to_sibling * siblings
            + self.to_state
            + self.to_cloud
    }
}
