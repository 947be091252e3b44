//! Tracks whether the cloud's machine lists name a machine. A list comes in pages, so a
//! machine is known to be missing only after the last page.

/// Whether the last complete list named a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LastList {
    /// No list has named the machine yet. Lists lag behind the creation of machines.
    #[default]
    NotNamedYet,
    /// The list named the machine.
    Named,
    /// The list omitted the machine, although an earlier one named it.
    Missing,
}

/// Presence of a machine in the cloud's lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CloudListing {
    /// Whether a page of the list that is now being read names the machine.
    named_in_current: bool,
    last: LastList,
}

impl CloudListing {
    /// Records that a page of the list that is now being read names the machine.
    pub fn note_named(&mut self) {
        self.named_in_current = true;
    }

    /// Records that the last page of the current list has been read.
    pub fn finish_list(&mut self) {
        self.last = match (self.named_in_current, self.last) {
            (true, _) => LastList::Named,
            (false, LastList::NotNamedYet) => LastList::NotNamedYet,
            (false, LastList::Named | LastList::Missing) => LastList::Missing,
        };
        self.named_in_current = false;
    }

    /// Whether the last complete list omitted the machine although an earlier one named it.
    pub fn is_missing(&self) -> bool {
        self.last == LastList::Missing
    }
}

#[cfg(test)]
mod tests;
