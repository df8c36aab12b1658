//! One route.

use super::Kind;
use crate::{Model, ServiceName};
use std::time::Duration;

/// A service's share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Weight among the services of the route.
    pub weight: u32,
}

/// A route: the requests that it matches and how they are served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host of the requests that it matches.
    pub host: String,
    /// Path prefix of the requests that it matches; it begins and ends with a slash.
    pub prefix: String,
    /// Retry semantics.
    pub kind: Kind,
    /// Maximum time that a caller waits for the response.
    pub timeout: Duration,
    /// Target latency: to the end of the response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Maximum time between two events of a stream.
    pub max_event_gap: Duration,
    /// Number of backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services and their weights.
    pub services: Vec<Share>,
    /// Models that may answer, the smallest first. Empty if the caller chooses the model.
    pub models: Vec<Model>,
    /// Whether requests need no API key.
    pub anonymous: bool,
}

impl Route {
    /// Chooses a service by weight; `draw` is a random number between 0 and 1.
    ///
    /// ```
    /// use route::config::{Route, Share};
    /// let share = |service: &str, weight| Share { service: service.into(), weight };
    /// let route = Route { services: vec![share("a", 90), share("b", 10)], ..Default::default() };
    /// assert_eq!(route.choose_service(0.5), Some("a"));
    /// assert_eq!(route.choose_service(0.95), Some("b"));
    /// ```
    pub fn choose_service(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.services.iter().map(|share| share.weight).sum();
        let mut left = draw * f64::from(total);
        for share in &self.services {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.services.last().map(|share| share.service.as_str())
    }
}
