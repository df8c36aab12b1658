//! Which version answers a request, alone or as a cascade.

mod candidate;
mod choose;
mod explanation;
mod mix;
mod option;
mod request;

pub use candidate::{Candidate, Status};
pub use choose::{Plan, choose};
pub use explanation::{Explanation, Line, Mode, Verdict};
pub use option::Shape;
pub use request::{Budget, Request};
