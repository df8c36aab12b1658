//! Learned token counts and latencies of answers.

mod mean;
mod profile;
mod quantile;

pub use mean::Mean;
pub use profile::{Prior, Profile};
pub use quantile::Quantile;
