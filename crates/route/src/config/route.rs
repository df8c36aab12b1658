//! One route.

use super::Kind;
use crate::{Model, ServiceName};
use std::time::Duration;

/// A service's part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the services of the route.
    pub weight: u32,
}

/// A route: which requests it takes and how they are served.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host of the requests it takes.
    pub host: String,
    /// Prefix of their paths; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most: to the end, or to the first event of a stream.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream.
    pub max_event_gap: Duration,
    /// Backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Urgency; 0 comes first.
    pub priority: u8,
    /// Services with their weights.
    pub services: Vec<Share>,
    /// Models that may answer, the smallest first; none when the caller's choice stands.
    pub models: Vec<Model>,
    /// Whether requests need no key.
    pub anonymous: bool,
}

impl Route {
    /// The service for a request, drawn with a number between 0 and 1.
    ///
    /// ```
    /// use route::config::{Route, Share};
    /// let share = |service: &str, weight| Share { service: service.into(), weight };
    /// let route = Route { services: vec![share("a", 90), share("b", 10)], ..Default::default() };
    /// assert_eq!(route.service(0.5), Some("a"));
    /// assert_eq!(route.service(0.95), Some("b"));
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
