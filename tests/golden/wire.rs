//! JSON messages to and from users, workers, the cloud and the state service.

use super::{check_normalized, check_round_trip, decode_json, golden_pairs};
use serde::de::DeserializeOwned;
use sumacbend::wire::*;

#[test]
fn jobs_and_job_statuses_keep_their_json() {
    check_round_trip::<JobSpec>("wire/job.txt");
    check_normalized::<JobSpec>("wire/job_read.txt");
    check_round_trip::<JobStatus>("wire/job_status.txt");
}

#[test]
fn reports_and_messages_to_workers_keep_their_json() {
    check_round_trip::<Report>("wire/report.txt");
    check_normalized::<Report>("wire/report_read.txt");
    check_round_trip::<ReportAnswer>("wire/report_answer.txt");
    check_round_trip::<Redirect>("wire/redirect.txt");
    check_round_trip::<DirectCommands>("wire/direct_commands.txt");
}

#[test]
fn cloud_messages_keep_their_json() {
    check_round_trip::<Catalogue>("wire/catalogue.txt");
    check_normalized::<Catalogue>("wire/catalogue_read.txt");
    check_round_trip::<MachineRequest>("wire/rental_request.txt");
    check_round_trip::<MachineNames>("wire/machine_names.txt");
    check_round_trip::<MachineList>("wire/machine_list.txt");
    check_normalized::<MachineList>("wire/machine_list_read.txt");
}

#[test]
fn state_service_messages_keep_their_json() {
    check_round_trip::<Entry>("wire/entry.txt");
    check_normalized::<Entry>("wire/entry_read.txt");
    check_round_trip::<Page>("wire/page.txt");
    check_normalized::<Page>("wire/page_read.txt");
    check_round_trip::<Transaction>("wire/transaction.txt");
    check_round_trip::<TransactionAnswer>("wire/revision.txt");
    check_normalized::<TransactionAnswer>("wire/revision_read.txt");
    check_round_trip::<LeaseRequest>("wire/lease_request.txt");
    check_round_trip::<LeaseAnswer>("wire/lease_answer.txt");
    check_normalized::<LeaseAnswer>("wire/lease_answer_read.txt");
    check_round_trip::<WatchLog>("wire/log.txt");
    check_normalized::<WatchLog>("wire/log_read.txt");
}

/// Removes one field at a time from the JSON on the first line of the file, and checks that the
/// decoding error names the field, unless the field is in `optional`.
fn check_required_fields<T: DeserializeOwned>(name: &str, optional: &[&str]) {
    let whole: serde_json::Value = decode_json(name, &super::golden_lines(name)[0]);
    let fields = whole.as_object().expect("an object");
    for field in fields.keys() {
        let mut incomplete = fields.clone();
        incomplete.remove(field);
        let result = serde_json::from_value::<T>(incomplete.into());
        match result.err() {
            Some(error) => assert!(error.to_string().contains(&format!("`{field}`")), "{name}: {error}"),
            None => assert!(
                optional.contains(&field.as_str()),
                "{name}: decoding succeeded without `{field}`"
            ),
        }
    }
}

#[test]
fn decoding_errors_name_missing_required_fields() {
    check_required_fields::<JobSpec>("wire/job.txt", &["rigs", "yard", "hammerS"]);
    check_required_fields::<Report>("wire/report.txt", &["recallS"]);
    check_required_fields::<Page>("wire/page.txt", &["more"]);
    check_required_fields::<MachineList>("wire/machine_list.txt", &["more"]);
    check_required_fields::<Entry>("wire/entry.txt", &[]);
    check_required_fields::<TransactionAnswer>("wire/revision.txt", &[]);
    check_required_fields::<LeaseAnswer>("wire/lease_answer.txt", &[]);
    check_required_fields::<WatchLog>("wire/log.txt", &[]);
    check_required_fields::<Catalogue>("wire/catalogue.txt", &[]);
}

/// Unknown enum values are rejected in users' jobs, but accepted in the states and exit reasons
/// that workers report for their tasks.
#[test]
fn unknown_enum_values_are_rejected_in_jobs_and_accepted_in_reports() {
    let job = &super::golden_lines("wire/job.txt")[0];
    for (known, unknown) in [("\"high\"", "\"urgent\""), ("\"array\"", "\"gang\"")] {
        let job = job.replace(known, unknown);
        assert!(serde_json::from_str::<JobSpec>(&job).is_err(), "{unknown}");
    }
    for (received, normalized) in golden_pairs("wire/report_read.txt") {
        assert!(serde_json::from_str::<Report>(&received).is_ok());
        assert!(serde_json::from_str::<Report>(&normalized).is_ok());
    }
}
