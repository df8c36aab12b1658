//! Load of a backend server as a node knows it.

/// Load of a backend server that has at least one free slot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Slots that are free at this node.
    pub free_slots: u32,
    /// Requests that a warm backend server carries at once.
    pub capacity: u32,
    /// Requests that ran or waited there at the last report.
    pub reported: u32,
    /// This node's requests there that began after the report.
    pub unreported: u32,
    /// Whether the backend server is in cold start.
    pub cold: bool,
}

impl Load {
    /// Share of the capacity in use.
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
