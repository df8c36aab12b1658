//! Plans: which versions answer a request, a single one or a cascade of two.

mod alternative;
mod candidate;
mod choose;
mod explanation;
mod mix;
mod request;
mod shape;

pub use candidate::{Candidate, Status};
pub use choose::{Plan, choose};
pub use explanation::{Explanation, Line, Mode, Verdict};
pub use request::{Budget, Request};
pub use shape::Shape;
