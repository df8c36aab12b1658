//! Routes for callers.

mod body;
mod catch;
mod chat;
mod entries;
mod failure;
mod key;
mod models;
mod service;

pub(crate) use body::read as read_body;
pub use catch::catchers;
pub use failure::Failure;
pub use key::Caller;
pub(crate) use key::bearer;

/// All routes for callers.
pub fn routes() -> Vec<rocket::Route> {
    let mut routes = rocket::routes![entries::entries, models::models, chat::chat];
    routes.extend(service::routes());
    routes
}
