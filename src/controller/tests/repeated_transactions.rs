//! Tests that a second copy of a transaction changes nothing after its answer was used.

use super::memory_store::MemoryStore;
use super::*;
use crate::fleet::MachineRequestRecord;
use crate::persistence::AnsweredRequest;
use crate::wire::Condition;
use std::sync::Arc;

/// Writes what is queued, and returns the transaction and its revision.
fn write_next(shard: &mut Shard, store: &mut MemoryStore) -> (Arc<Transaction>, u64) {
    let keys = Keys::new(SHARD);
    let claim = Condition {
        key: keys.leader(),
        version: 0,
    };
    let transaction = shard.next_transaction(0, &keys, claim, 48, 48).expect("a transaction");
    let reply = store.execute(0, &StoreRequest::Transact(transaction.clone()));
    let StoreReply::Committed { revision } = reply else {
        panic!("{reply:?}");
    };
    shard.committed(0, revision);
    (transaction, revision)
}

fn request(number: u32) -> MachineRequestRecord {
    serde_json::from_value(serde_json::json!({
        "request": format!("pool-5-{number}"), "machine_type": "small", "zone": "north", "spot": true, "count": 3
    }))
    .expect("a machine request")
}

/// Guards against the record of an answered machine request that comes back and is sent again by a later leader.
#[test]
fn a_copy_of_a_transaction_does_not_bring_back_an_answered_machine_request() {
    let mut store = MemoryStore::default();
    let mut shard = shard_with(5, &[("small", 8.0)], 1, true);
    for number in [1, 3] {
        shard.pending_writes.queue_machine_request(request(number));
        shard.pending_writes.queue_machine_request(request(number + 1));
        let (written, version) = write_next(&mut shard, &mut store);
        for number in [number, number + 1] {
            let request = request(number).request;
            let answered = AnsweredRequest { request, version };
            shard.pending_writes.queue_answered_request(answered);
        }
        let (removed, _) = write_next(&mut shard, &mut store);
        for copy in [written, removed] {
            let reply = store.execute(0, &StoreRequest::Transact(copy));
            assert!(matches!(reply, StoreReply::Conflict { .. }), "{reply:?}");
        }
    }
}
