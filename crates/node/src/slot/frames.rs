//! Requests and grants as frames.

use limits::slot::{Grant, Request};
use std::time::Duration;
use wire::{Frame, SlotGrant, SlotRequest};

pub(super) fn request_frame(backend: &str, request: &Request) -> Frame {
    Frame::SlotRequest(SlotRequest {
        backend: backend.to_owned(),
        sequence: request.sequence,
        using: request.using,
        held: request.held,
        wanted: request.wanted,
        completed: request.completed,
        chills: request.chills,
    })
}

pub(super) fn request(frame: &SlotRequest) -> Request {
    Request {
        sequence: frame.sequence,
        using: frame.using,
        held: frame.held,
        wanted: frame.wanted,
        completed: frame.completed,
        chills: frame.chills,
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
