use super::super::{Output, shard_with};
use super::*;
use crate::Millis;
use crate::fleet::DueGroups;
use crate::policy::Policy;
use crate::settings::{Settings, tests::SAMPLE};
use crate::wire::{Change, JobState, Transaction};
use serde_json::Value;

const START: Millis = 1_000_000;

/// A leader with one machine and one job, whose first transaction went unanswered and was sent
/// again. Also returns the call id of the second copy.
fn leader_with_unanswered_transaction() -> (Controller, u64) {
    let settings = Settings::parse(SAMPLE).expect("valid settings");
    let mut controller = Controller::new(settings, Policy::default(), 7);
    let mut shard = shard_with(3, &[("small", 8.0)], 1, true);
    let machine = shard.add_machine(0, "host-1", "small", "north", true);
    let machine = shard.workers.machines.get_mut(machine).expect("an existing machine");
    machine.is_persisted = true;
    machine.last_report_at = Some(START);
    machine.report_due = Millis::MAX;
    for group in shard.fleet.inventory.due(DueGroups::Urgent) {
        shard.fleet.inventory.write_started(group);
    }
    shard.place(START);
    controller.now = START;
    controller.shard = Some(shard);
    controller.election.activate();
    controller.commit();
    controller.send_queued();
    let first = sent_call(&std::mem::take(&mut controller.outputs), true);
    step(&mut controller, first, StoreReply::Unanswered);
    controller.now += RETRY_MS;
    controller.send_queued();
    let second = sent_call(&std::mem::take(&mut controller.outputs), true);
    (controller, second)
}

/// The call id among these outputs of the transaction if `is_transaction`, otherwise of the read of
/// the evidence key.
fn sent_call(outputs: &[Output], is_transaction: bool) -> u64 {
    let call = outputs.iter().find_map(|output| match output {
        Output::Store { call, request } => match request {
            StoreRequest::Transact(_) if is_transaction => Some(*call),
            StoreRequest::Get(key) if !is_transaction && *key == "kept/pool/firing/j-1/0" => Some(*call),
            _ => None,
        },
        _ => None,
    });
    call.expect("a matching request")
}

fn step(controller: &mut Controller, call: u64, reply: StoreReply) {
    controller.on_store_reply(call, reply);
}

/// Lets the second copy conflict on this key. Returns the call id of the read of the evidence key.
fn conflict(controller: &mut Controller, second: u64, key: &str) -> u64 {
    let failed = vec![key.to_owned()];
    step(controller, second, StoreReply::Conflict { failed });
    controller.send_queued();
    sent_call(&std::mem::take(&mut controller.outputs), false)
}

/// The value of the task chunk that the transaction in flight writes.
fn chunk_in_flight(controller: &Controller) -> Value {
    let in_flight = controller
        .shard
        .as_ref()
        .and_then(|shard| shard.pending_writes.in_flight());
    let changes = &in_flight.expect("a transaction in flight").transaction.changes;
    let value = changes.iter().find_map(|change| match change {
        Change::Put { put, value, .. } if put.contains("firing") => Some(value.clone()),
        _ => None,
    });
    value.expect("a chunk in the transaction")
}

fn chunk_version(controller: &Controller) -> u64 {
    let shard = controller.shard.as_ref().expect("the shard of a leader");
    let job = shard.jobs.table.find("j-1").and_then(|ix| shard.jobs.table.get(ix));
    job.expect("a known job").chunks[0].version
}

fn in_flight(controller: &Controller) -> bool {
    controller
        .shard
        .as_ref()
        .is_some_and(|shard| shard.pending_writes.is_in_flight())
}

/// Guards against a full reload under a new term for each unanswered transaction
/// (simulated in `days/late-leaders-bks.toml`).
#[test]
fn unanswered_transaction_that_was_applied_counts_as_committed() {
    let (mut controller, second) = leader_with_unanswered_transaction();
    let value = chunk_in_flight(&controller);
    let evidence_read = conflict(&mut controller, second, "kept/pool/firing/j-1/0");
    step(&mut controller, evidence_read, StoreReply::Found { value, version: 12 });
    assert!(!in_flight(&controller) && !controller.term_raise.is_reload_requested());
    assert_eq!(chunk_version(&controller), 12);
    let shard = controller.shard.as_ref().expect("the shard of a leader");
    assert!(
        shard
            .workers
            .attempts
            .iter()
            .all(|(_, attempt)| attempt.record.is_written())
    );
}

#[test]
fn transaction_that_was_not_applied_is_rebuilt() {
    let (mut controller, second) = leader_with_unanswered_transaction();
    let evidence_read = conflict(&mut controller, second, "live/pool/job/j-1");
    step(&mut controller, evidence_read, StoreReply::Missing);
    assert!(!in_flight(&controller) && !controller.term_raise.is_reload_requested());
    let shard = controller.shard.as_ref().expect("the shard of a leader");
    assert!(shard.has_urgent_writes());
    assert!(
        shard
            .workers
            .attempts
            .iter()
            .all(|(_, attempt)| !attempt.record.is_written())
    );
}

#[test]
fn unexpected_evidence_value_requests_reload() {
    let (mut controller, second) = leader_with_unanswered_transaction();
    let evidence_read = conflict(&mut controller, second, "kept/pool/firing/j-1/0");
    let value = serde_json::json!({"next": 9, "done": "", "open": []});
    step(&mut controller, evidence_read, StoreReply::Found { value, version: 12 });
    assert!(controller.term_raise.is_reload_requested());
}

#[test]
fn evidence_read_is_repeated_until_answered() {
    let (mut controller, second) = leader_with_unanswered_transaction();
    let evidence_read = conflict(&mut controller, second, "kept/pool/firing/j-1/0");
    step(&mut controller, evidence_read, StoreReply::Unanswered);
    assert!(in_flight(&controller));
    controller.now += RETRY_MS;
    controller.send_queued();
    let again = sent_call(&std::mem::take(&mut controller.outputs), false);
    step(&mut controller, again, StoreReply::Missing);
    assert!(!in_flight(&controller) && !controller.term_raise.is_reload_requested());
}

/// Users' cancellations change the keys of jobs, so these do not show whether a transaction was
/// applied.
#[test]
fn evidence_excludes_keys_that_users_change() {
    let put = |key: &str| Change::put(key, serde_json::json!({ "state": JobState::Done }));
    let condition = |key: &str, version| crate::wire::Condition {
        key: key.into(),
        version,
    };
    let mut transaction = Transaction {
        conditions: vec![condition("live/job/j-1", 4), condition("kept/hire/r", 6)],
        changes: vec![put("live/job/j-1"), Change::delete("kept/hire/r")],
    };
    let evidence = Evidence::of(&transaction, "live/job/").expect("the machine request key");
    assert_eq!((evidence.key.as_str(), evidence.expected_version), ("kept/hire/r", 6));
    assert_eq!(
        evidence.outcome(&StoreReply::Missing),
        CommitOutcome::Applied { revision: 0 }
    );
    transaction.changes.push(put("kept/end/j-1"));
    transaction.conditions.push(condition("kept/end/j-1", 0));
    let evidence = Evidence::of(&transaction, "live/job/").expect("the end key");
    assert_eq!(evidence.key, "kept/end/j-1");
    assert_eq!(evidence.outcome(&StoreReply::Missing), CommitOutcome::NotApplied);
}
