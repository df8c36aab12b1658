//! Learned state of one version for one task.

use crate::answer::Profile;
use crate::rollout::Monitor;

/// Learned state of one version for one task.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) monitor: Monitor,
    pub(super) profile: Option<Profile>,
}
