//! What goes wrong at a stand-in.

use std::time::Duration;

/// What the store does wrong.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// It refuses all calls with this status.
    Refuse(u16),
    /// It accepts connections and never answers.
    Silent,
    /// It carries out writes and doesn't answer them.
    LoseAnswers,
}

/// What a backend server does wrong, from its next request on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerFault {
    /// Nothing.
    #[default]
    None,
    /// It refuses with the word that the request hasn't run.
    Full,
    /// It runs the request and resets the connection in place of an answer.
    Reset,
    /// It answers with this failure after it has run the request.
    Fail(u16),
    /// It answers with this failure after it has run the request. The body of the answer comes a byte now
    /// and then and has no end.
    FailDrip(u16),
    /// It answers with this failure after it has run the request. The body of the answer comes as fast as
    /// it is read and has no end.
    FailEndless(u16),
    /// It runs the request and never answers.
    Mute,
    /// It breaks its answer off: a whole one halfway, a stream in the middle of this event.
    Break(u64),
    /// It sends this many events of a stream and falls silent.
    Stall(u64),
    /// It answers with the id of another request.
    Crossed,
    /// It answers well and says that it is leaving.
    Leaving,
    /// It runs the request and answers with its response to another one, which says that it is
    /// leaving.
    CrossedLeaving,
    /// It answers well and names this limit on requests a second.
    Limit(&'static str),
    /// It answers well and names this limit in each second answer.
    LimitByTurns(&'static str),
    /// It refuses with the word that the request hasn't run, and asks for a pause of this many
    /// milliseconds.
    Pause(u64),
    /// It runs the request and answers with its refusal of another one.
    CrossedRefusal,
    /// It sends this many events of a stream, and then a byte now and then; a whole answer comes so from
    /// its beginning.
    Drip(u64),
    /// It runs the request, sends this many bytes of its answer's head and closes the connection.
    CutHead(usize),
    /// It answers well, without a length: the answer ends with the connection.
    NoLength,
    /// It answers well, with this status.
    Status(u16),
    /// It answers before it has read more than these bytes of the request's body, without a length, and
    /// sends a part of the answer. Then it ends its side of the connection and resets the connection after
    /// this time, or it resets the connection without that.
    EarlyEnd(usize, Option<Duration>),
    /// The head of its answer has no end.
    EndlessHead,
    /// The body of its answer has no end; that of a stream holds no event.
    EndlessBody,
    /// Its answer has no end: a stream of empty lines as fast as they are read, a whole answer in chunks
    /// at a steady pace.
    Unending,
    /// It announces an answer of this many bytes and sends it at a steady pace.
    LargeSlow(usize),
    /// It answers well with a body of this many bytes.
    Large(usize),
    /// It announces an answer of so many bytes and ends after so many.
    LargeBreak(usize, usize),
    /// It takes this long for an answer or for each event.
    Slow(Duration),
}
