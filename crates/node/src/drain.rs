//! Rocket fairing that closes callers' connections while the node shuts down.

use crate::app::App;
use rocket::fairing::{Fairing, Info, Kind};
use rocket::http::Header;
use rocket::{Request, Response};
use std::sync::Arc;

/// Ends each connection after its response once the node is leaving. A caller that keeps a connection
/// could otherwise send a request on it at the moment at which the node closes it.
pub struct Drain(pub Arc<App>);

#[rocket::async_trait]
impl Fairing for Drain {
    fn info(&self) -> Info {
        Info {
            name: "drain",
            kind: Kind::Response,
        }
    }

    async fn on_response<'r>(&self, _: &'r Request<'_>, response: &mut Response<'r>) {
        if self.0.is_leaving() {
            response.set_header(Header::new("Connection", "close"));
        }
    }
}
