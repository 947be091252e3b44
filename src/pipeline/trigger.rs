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
mod tests {
    use super::*;

    #[test]
    fn fires_after_the_last_of_its_set_and_at_once_when_empty() {
        assert!(BySet::new([]).fires());
        let mut trigger = BySet::new(["a".to_string(), "b".to_string()]);
        trigger.job_done("a");
        trigger.job_done("a");
        assert!(!trigger.fires());
        trigger.job_done("b");
        assert!(trigger.fires());
    }
}
