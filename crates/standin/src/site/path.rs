//! The path from one node to all backend servers, which can be cut.

use crate::Error;
use crate::proxy::{self, Faults, Proxy};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How a path to the backend servers is cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// All packets are lost: open connections fall silent, and new ones are never established.
    Hang,
    /// Open connections are reset, and new ones as soon as something is sent on them.
    Reset,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
}

/// The path from one node to all backend servers: a proxy before each.
#[derive(Debug)]
pub struct Path {
    proxies: BTreeMap<SocketAddr, Proxy>,
}

impl Path {
    /// Starts a proxy before each backend server.
    pub async fn start(servers: impl Iterator<Item = SocketAddr>) -> Result<Self, Error> {
        let mut proxies = BTreeMap::new();
        for server in servers {
            let proxy = Proxy::start(server, proxy::Settings::default()).await?;
            proxies.insert(server, proxy);
        }
        Ok(Self { proxies })
    }

    /// The proxies' addresses by those of their backend servers.
    pub fn addresses(&self) -> BTreeMap<SocketAddr, SocketAddr> {
        let pairs = self.proxies.iter();
        pairs
            .map(|(server, proxy)| (*server, proxy.address()))
            .collect()
    }

    /// Cuts the path.
    pub fn cut(&self, cut: Cut) {
        for proxy in self.proxies.values() {
            proxy.set(match cut {
                Cut::Hang => Faults::lose_packets(),
                Cut::Reset => Faults::reset(),
                Cut::RefuseNew => Faults::refused_new(),
            });
            if cut == Cut::Reset {
                proxy.cut();
            }
        }
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.proxies.values().for_each(Proxy::heal);
    }

    /// Whether a connection that a backend server accepted from an address came over this path.
    pub fn has_opened(&self, from: SocketAddr) -> bool {
        self.proxies.values().any(|proxy| proxy.has_opened(from))
    }
}
