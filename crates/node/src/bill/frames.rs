//! Conversion between copies of bills and frames.

use contract::Owner;
use ledger::bill::{Ack, Copies};
use wire::{BillCopies, BillHeld, Frame};

pub(super) fn copies_frame(copies: &Copies) -> Option<Frame> {
    Some(Frame::BillCopies(BillCopies {
        sequence: copies.sequence,
        start: u32::try_from(copies.start).ok()?,
        kept: copies.stored_below,
        bills: serde_json::to_string(&copies.bills).ok()?,
    }))
}

pub(super) fn copies(owner: &Owner, frame: &BillCopies) -> Option<Copies> {
    Some(Copies {
        owner: owner.clone(),
        sequence: frame.sequence,
        start: frame.start as usize,
        bills: serde_json::from_str(&frame.bills).ok()?,
        stored_below: frame.kept,
    })
}

pub(super) fn ack_frame(ack: &Ack) -> Option<Frame> {
    Some(Frame::BillHeld(BillHeld {
        sequence: ack.sequence,
        lines: u32::try_from(ack.lines).ok()?,
    }))
}

pub(super) fn ack(frame: &BillHeld) -> Ack {
    Ack {
        sequence: frame.sequence,
        lines: frame.lines as usize,
    }
}
