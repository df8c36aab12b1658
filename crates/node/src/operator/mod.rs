//! Routes for operators, under `/operator/v1`. `contract::operator` defines the bodies.

mod catch;
mod change;
mod dump;
mod error;
mod objects;
mod operator;
mod review;
mod rotate;
mod status;

pub use catch::catchers;
pub use error::Error;
pub use operator::Operator;

/// Prefix of all operator routes.
pub const ROOT: &str = "/operator/v1";

/// Returns all operator routes, to be mounted at `/`.
pub fn routes() -> Vec<rocket::Route> {
    rocket::routes![
        change::propose,
        change::outcome,
        dump::dump,
        objects::list,
        objects::get,
        rotate::rotate,
        status::status
    ]
}
