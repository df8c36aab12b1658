//! Load of a backend server as known to one node.

/// Load of a backend server that has at least one free slot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Free slots as far as this node knows.
    pub free_slots: u32,
    /// Concurrent requests that a warm backend server can run.
    pub capacity: u32,
    /// Requests that were running or queued there at the last load report.
    pub reported: u32,
    /// Requests that this node has started there since that report.
    pub unreported: u32,
    /// Whether the backend server is in cold start.
    pub cold: bool,
}

impl Load {
    /// Returns the used share of the capacity. It is above 1 when requests are queued.
    ///
    /// ```
    /// let load = policy::placement::Load { capacity: 8, reported: 3, unreported: 1, ..Default::default() };
    /// assert_eq!(load.utilization(), 0.5);
    /// ```
    pub fn utilization(&self) -> f64 {
        let used = f64::from(self.reported) + f64::from(self.unreported);
        used / f64::from(self.capacity.max(1))
    }
}
