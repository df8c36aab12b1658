//! Messages that nodes exchange over their links, and their encoding as CBOR.

mod codec;
mod error;
#[allow(dead_code, missing_docs)]
mod generated;

pub use codec::{MAX_FRAME_BYTES, decode, encode};
pub use error::Error;
pub use generated::{
    Beat, BillCopies, BillHeld, Cell, Delta, Entry, Fetch, Frame, Hello, Leave, Proof, Ratings,
    Relay, SlotCharge, SlotGrant, SlotHandover, SlotRequest, Snapshot, Spend, Suspect, Touch,
};
