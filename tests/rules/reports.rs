//! The checks themselves: each reports a fault put in on purpose.
