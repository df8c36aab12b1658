//! Settings of links.

use contract::Member;
use settings::Ring;
use std::time::Duration;

/// Who this node is on links, keys and limits.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node as other members see it.
    pub member: Member,
    /// Shared keys: the first proves this node, any of them is accepted.
    pub keys: Ring,
    /// Limit for making a connection and greeting.
    pub connect_timeout: Duration,
    /// Limit for writing a frame to the connection.
    pub write_timeout: Duration,
    /// Frames waiting for one link.
    pub send_queue: usize,
    /// Frames waiting for one subscriber.
    pub subscriber_queue: usize,
    /// Time without frames of other parts after which a link that the overlay doesn't need is closed.
    pub idle_timeout: Duration,
    /// Connections that may be greeting at once.
    pub max_handshakes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            member: Member {
                http: String::new(),
                incarnation: 0,
                leaving: false,
                link: String::new(),
                node: String::new(),
                zone: String::new(),
            },
            keys: Ring::default(),
            connect_timeout: Duration::from_secs(1),
            write_timeout: Duration::from_secs(2),
            send_queue: 1024,
            subscriber_queue: 4096,
            idle_timeout: Duration::from_secs(30),
            max_handshakes: 64,
        }
    }
}
