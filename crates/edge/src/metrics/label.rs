//! Label sets of the counters.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of a request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Request {
    /// Kind of the route; `none` if no route was found.
    pub kind: &'static str,
    /// Status of the response.
    pub status: u16,
    /// Name of the refusal; empty if the request wasn't refused.
    pub refusal: &'static str,
}

/// Labels of an attempt on a backend server.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Send {
    /// Service of the backend server.
    pub service: String,
    /// How the attempt ended.
    pub outcome: &'static str,
}

/// Labels of a send by where it goes.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ZoneSend {
    /// Service of the backend server.
    pub service: String,
    /// `own` or `other` zone.
    pub destination: &'static str,
}

/// Labels of a service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Service {
    /// Its name.
    pub service: String,
}

/// Labels of a further send of a request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Retry {
    /// What it is for.
    pub purpose: &'static str,
    /// `granted` or `denied`.
    pub outcome: &'static str,
}

/// Labels of a call to the store.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Call {
    /// Name of the table.
    pub table: &'static str,
    /// `answered` or `failed`.
    pub outcome: &'static str,
}

/// Labels of a model's answer.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Confidence {
    /// `valid` or `invalid`; `invalid` also if it is missing.
    pub report: &'static str,
}

/// Labels of an announcement of a backend server.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Announcement {
    /// `leaving`, `pause`, `limit`, or `invalid` for a pause or limit that is left out or shortened.
    pub kind: &'static str,
}

/// Labels of a tunnel that another node has asked for.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Tunnel {
    /// `served`, or the name of the refusal.
    pub outcome: &'static str,
}

/// Labels of a connection to a backend server.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Path {
    /// `direct`, or `tunnel` for one through another node.
    pub path: &'static str,
}

/// Labels of a task that runs for as long as the node does.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct Task {
    /// Name of the task.
    pub name: &'static str,
}
