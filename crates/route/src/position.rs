//! Position in the history of the platform's store.

/// Era of the platform's store. It rises when the store is restored from an older copy.
pub type Era = u64;

/// Position in the history of the platform's store; a greater one is newer.
///
/// Numbers are given out again after the store has been restored, so they are compared within an era
/// only.
///
/// ```
/// use route::Position;
/// let lost = Position { era: 1, number: 230 };
/// let restored = Position { era: 2, number: 140 };
/// assert!(restored > lost);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Era of the store; 0 if the store names none.
    pub era: Era,
    /// Number of the change within the era; 0 before the first one.
    pub number: u64,
}

impl Position {
    /// Position before the first change. It is the same in all eras.
    pub const START: Self = Self { era: 0, number: 0 };

    /// Whether changes that the store lists after this position continue it: they are of its era, or it
    /// is the start.
    ///
    /// ```
    /// use route::Position;
    /// let known = Position { era: 1, number: 7 };
    /// assert!(known.is_continued_in(1) && !known.is_continued_in(2));
    /// assert!(Position::START.is_continued_in(2));
    /// ```
    pub fn is_continued_in(self, era: Era) -> bool {
        self.number == 0 || self.era == era
    }
}
