//! Choice of the model where the caller leaves it open: a cascade from small to large.

mod answer;
mod cascade;
mod conditions;
mod settings;
mod sizes;
mod transfer;

pub use answer::Answer;
pub use cascade::Cascade;
pub use conditions::Conditions;
pub use settings::Settings;
pub use sizes::Sizes;
pub use transfer::Transfer;
