//! Decides whether a request is sent to a second backend server while the first may still answer.

/// Expected time on the other backend server, in relation to the current one, up to which it is likely to
/// answer first although it has to read the prompt again.
const MAX_TIME_RATIO: f64 = 0.5;
/// Multiple of the time until the first failover after which the wait is late: the current server is then
/// more likely silent than busy.
pub const SILENT_RATIO: f64 = 2.0;
/// Multiple of the time between events up to which the load of a server explains its silence. Prompts
/// that are read between two steps hold an event up for several times as long.
const EXPLAINED_RATIO: f64 = 8.0;

/// A wait for a backend server, and what is expected of this and of another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hedge {
    /// Milliseconds of the request on the current server.
    pub current_millis: f64,
    /// Milliseconds of the request on the other server.
    pub other_millis: f64,
    /// Milliseconds to the next event on the current server.
    pub next_event_millis: f64,
    /// Milliseconds that the wait has lasted.
    pub waited_millis: f64,
    /// Whether the wait is late.
    pub is_late: bool,
}

impl Hedge {
    /// Whether asking the other server pays. One that isn't slower suffices if the wait is late, or if
    /// the load of the current server doesn't explain its silence.
    ///
    /// Under a burst all servers are busy, and a second send only delays the requests beside it.
    ///
    /// ```
    /// use route::pool::Hedge;
    /// let busy = Hedge { current_millis: 2000.0, other_millis: 1900.0, next_event_millis: 300.0,
    ///     waited_millis: 1200.0, is_late: false };
    /// assert!(!busy.pays());
    /// assert!(Hedge { other_millis: 900.0, ..busy }.pays());
    /// assert!(Hedge { next_event_millis: 40.0, ..busy }.pays(), "an idle server is silent");
    /// assert!(Hedge { is_late: true, ..busy }.pays());
    /// assert!(!Hedge { other_millis: 2100.0, is_late: true, ..busy }.pays());
    /// ```
    pub fn pays(&self) -> bool {
        let is_explained = self.waited_millis < self.next_event_millis * EXPLAINED_RATIO;
        match self.is_late || !is_explained {
            true => self.other_millis <= self.current_millis,
            false => self.other_millis <= self.current_millis * MAX_TIME_RATIO,
        }
    }
}
