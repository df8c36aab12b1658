//! Request and response bodies of the operator API, generated from schema/operator.json.

#[allow(dead_code, missing_docs)]
mod generated;
mod refusal;

pub use generated::{
    Change, Conflict, Edit, Finding, Life, Objects, Offer, Outcome, Peer, Place, Ran, Reason,
    Refusal, Ring, Rotated, Rotation, Severity, Stage, State, Status, Step,
};
