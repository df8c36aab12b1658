//! Conversions between frames and the types of `limits::slot`.

use contract::{BackendId, Owner};
use limits::slot::{Charge, Grant, Handover, Ramp, Request};
use std::time::Duration;
use wire::{Frame, SlotCharge, SlotGrant, SlotHandover, SlotRequest};

pub(super) fn request_frame(backend: &str, request: &Request) -> Frame {
    Frame::SlotRequest(SlotRequest {
        backend: backend.to_owned(),
        sequence: request.sequence,
        using: request.grant_sequence,
        held: request.in_flight,
        wanted: request.wanted,
        completed: request.completed,
        chills: request.cold_signals,
    })
}

pub(super) fn request(frame: &SlotRequest) -> Request {
    Request {
        sequence: frame.sequence,
        grant_sequence: frame.using,
        in_flight: frame.held,
        wanted: frame.wanted,
        completed: frame.completed,
        cold_signals: frame.chills,
    }
}

pub(super) fn grant_frame(backend: &str, grant: &Grant) -> Frame {
    Frame::SlotGrant(SlotGrant {
        backend: backend.to_owned(),
        sequence: grant.sequence,
        slots: grant.slots,
        ttl_ms: u64::try_from(grant.ttl.as_millis()).unwrap_or(u64::MAX),
        fence: grant.fence,
    })
}

pub(super) fn grant(frame: &SlotGrant) -> Grant {
    Grant {
        sequence: frame.sequence,
        slots: frame.slots,
        ttl: Duration::from_millis(frame.ttl_ms),
        fence: frame.fence,
    }
}

pub(super) fn handover_frame(backend: BackendId, handover: Handover) -> Frame {
    let charges = handover.charges.into_iter().map(|one| SlotCharge {
        node: one.owner.node,
        incarnation: one.owner.incarnation,
        sequence: one.sequence,
        slots: one.slots,
    });
    Frame::SlotHandover(SlotHandover {
        backend,
        fence: handover.fence,
        limit: handover.ramp.limit(),
        completed: handover.ramp.completed(),
        charges: charges.collect(),
    })
}

pub(super) fn handover(frame: &SlotHandover) -> Handover {
    let charges = frame.charges.iter().map(|one| Charge {
        owner: Owner::new(&one.node, one.incarnation),
        sequence: one.sequence,
        slots: one.slots,
    });
    Handover {
        fence: frame.fence,
        ramp: Ramp::resume(frame.limit, frame.completed),
        charges: charges.collect(),
    }
}
