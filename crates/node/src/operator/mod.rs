//! Routes for operators, under `/operator/v1`. Bodies are those of `contract::operator`.

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

/// Root of all routes for operators.
pub const ROOT: &str = "/operator/v1";

/// All routes for operators, to be mounted at the root.
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
