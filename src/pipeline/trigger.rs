use std::collections::BTreeSet;

/// Fires once every job of a set is done; an empty set fires at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BySet {
    missing: BTreeSet<String>,
}

impl BySet {
    pub fn new(upstream: impl IntoIterator<Item = String>) -> BySet {
        BySet {
            missing: upstream.into_iter().collect(),
        }
    }

    pub fn fires(&self) -> bool {
        self.missing.is_empty()
    }

    pub fn job_done(&mut self, id: &str) {
        self.missing.remove(id);
    }
}

#[cfg(test)]
mod tests;
