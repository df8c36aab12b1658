//! Imitation of the prefix cache.

use std::collections::VecDeque;

/// Characters of a prompt that make its prefix.
const PREFIX_CHARS: usize = 64;

/// Prefixes used last, the newest at the back.
#[derive(Clone, Debug, Default)]
pub struct Prefixes {
    capacity: usize,
    kept: VecDeque<String>,
}

impl Prefixes {
    /// An empty cache.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            kept: VecDeque::new(),
        }
    }

    /// Whether the prompt's prefix was kept; it is from now on.
    ///
    /// ```
    /// let mut prefixes = standin::engine::Prefixes::new(1);
    /// assert!(!prefixes.hit("hello"));
    /// assert!(prefixes.hit("hello"));
    /// assert!(!prefixes.hit("other"));
    /// assert!(!prefixes.hit("hello"));
    /// ```
    pub fn hit(&mut self, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        let found = self.kept.iter().position(|kept| *kept == prefix);
        if let Some(index) = found {
            self.kept.remove(index);
        }
        self.kept.push_back(prefix);
        while self.kept.len() > self.capacity {
            self.kept.pop_front();
        }
        found.is_some()
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.kept.clear();
    }
}
