//! Rocket fairing that measures HTTP requests.

use super::{Counter, Metrics, Timer};
use rocket::fairing::{Fairing, Info, Kind};
use rocket::{Data, Request, Response};
use std::time::Instant;

/// Value of the `route` tag for requests that no route handles.
const NO_ROUTE: &str = "none";

/// Counts and times all requests by route and status.
pub struct Meter(pub Metrics);

/// Time at which a request's headers were received.
struct Start(Instant);

#[rocket::async_trait]
impl Fairing for Meter {
    fn info(&self) -> Info {
        Info {
            name: "metrics",
            kind: Kind::Request | Kind::Response,
        }
    }

    async fn on_request(&self, request: &mut Request<'_>, _: &mut Data<'_>) {
        request.local_cache(|| Start(Instant::now()));
    }

    async fn on_response<'r>(&self, request: &'r Request<'_>, response: &mut Response<'r>) {
        let start = request.local_cache(|| Start(Instant::now()));
        let route = request.route();
        let route = route.map_or(NO_ROUTE, |route| route.uri.path());
        let status = response.status().code.to_string();
        let tags = [("route", route), ("status", status.as_str())];
        self.0.count(Counter::Requests, 1, &tags);
        self.0.time(Timer::RequestMs, start.0.elapsed(), &tags[..1]);
    }
}
