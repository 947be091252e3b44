//! Whether the cloud's lists name a machine. A list comes in pages, and what it does
//! not name is known only after its last page.

/// What the last complete list said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LastList {
    /// No list has named the machine yet: lists lag behind new machines.
    #[default]
    NotNamedYet,
    Named,
    /// Left out, though an earlier list named the machine.
    Missing,
}

/// A machine's place in the cloud's lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CloudListing {
    named_in_current: bool,
    last: LastList,
}

impl CloudListing {
    /// A page of the list now being read names the machine.
    pub fn named(&mut self) {
        self.named_in_current = true;
    }

    /// The list now being read is complete.
    pub fn list_complete(&mut self) {
        self.last = match (self.named_in_current, self.last) {
            (true, _) => LastList::Named,
            (false, LastList::NotNamedYet) => LastList::NotNamedYet,
            (false, LastList::Named | LastList::Missing) => LastList::Missing,
        };
        self.named_in_current = false;
    }

    /// The last complete list left the machine out, though an earlier one named it.
    pub fn is_missing(&self) -> bool {
        self.last == LastList::Missing
    }
}

#[cfg(test)]
mod tests;
