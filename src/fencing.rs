//! Fencing tokens. Each term of a leader reserves a range of them in the state service, of which the
//! first one is the number of the term. The leader hands out the others of the range to single
//! workers, without a write: a worker compares a token only with the highest that it has seen.

/// The number of tokens that a term reserves. At one raise a second on the same machine, a range
/// lasts for twelve days; 2^33 terms fit into the integers that JSON numbers represent exactly.
pub const TOKENS_PER_TERM: u64 = 1 << 20;

/// Returns the last token that a term reserves; 0 for term 0, which nobody ever leads.
pub fn last_token(term: u64) -> u64 {
    match term {
        0 => 0,
        _ => term.saturating_add(TOKENS_PER_TERM - 1),
    }
}
