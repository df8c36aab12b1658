//! Settings of links.

use contract::Member;
use settings::Keyring;
use std::time::Duration;

/// Identity of this node on links, keys, and limits.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Member object of this node, which it presents in handshakes.
    pub member: Member,
    /// Keys shared by the nodes. The first authenticates this node; peers may use any of them.
    pub keys: Keyring,
    /// Timeout for connecting and for the handshake.
    pub connect_timeout: Duration,
    /// Timeout for writing queued frames to the connection.
    pub write_timeout: Duration,
    /// Maximum number of frames queued for one link.
    pub send_queue: usize,
    /// Maximum number of frames queued for one subscriber.
    pub subscriber_queue: usize,
    /// Time without frames other than configuration frames after which a link outside the overlay
    /// is closed.
    pub idle_timeout: Duration,
    /// Maximum number of incoming connections in the handshake at once.
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
            keys: Keyring::default(),
            connect_timeout: Duration::from_secs(1),
            write_timeout: Duration::from_secs(2),
            send_queue: 1024,
            subscriber_queue: 4096,
            idle_timeout: Duration::from_secs(30),
            max_handshakes: 64,
        }
    }
}
