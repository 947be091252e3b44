//! The client side of the state service: names and values of the keys, requests and
//! replies, rate limiting, and the watch cache that every controller keeps.

mod encoded_size;
mod keys;
mod requests;
mod token_bucket;
mod values;
mod watch_cache;

pub use encoded_size::{MAX_TRANSACTION_BYTES, encoded_size};
pub use keys::{Keys, strip_key_prefix};
pub use requests::{StoreReply, StoreRequest};
pub use token_bucket::TokenBucket;
pub use values::{EndValue, JobKey, LeaderValue, MemberValue, TermValue};
pub use watch_cache::{FullReadId, PageOutcome, WatchCache, WatchPosition, WatchedChange};
