//! Messages to and from users, workers, the cloud and the state service.

use super::{decode, pairs, reads_as, round_trip};
use serde::de::DeserializeOwned;
use sumacbend::wire::*;

#[test]
fn jobs_and_their_states_keep_their_text() {
    round_trip::<JobSpec>("wire/job.txt");
    reads_as::<JobSpec>("wire/job_read.txt");
    round_trip::<JobStatus>("wire/job_status.txt");
}

#[test]
fn reports_and_their_answers_keep_their_text() {
    round_trip::<Report>("wire/report.txt");
    reads_as::<Report>("wire/report_read.txt");
    round_trip::<ReportAnswer>("wire/report_answer.txt");
    round_trip::<Redirect>("wire/redirect.txt");
    round_trip::<DirectCommands>("wire/direct_commands.txt");
}

#[test]
fn messages_of_the_cloud_keep_their_text() {
    round_trip::<Catalogue>("wire/catalogue.txt");
    reads_as::<Catalogue>("wire/catalogue_read.txt");
    round_trip::<MachineRequest>("wire/rental_request.txt");
    round_trip::<MachineNames>("wire/machine_names.txt");
    round_trip::<MachineList>("wire/machine_list.txt");
    reads_as::<MachineList>("wire/machine_list_read.txt");
}

#[test]
fn messages_of_the_state_service_keep_their_text() {
    round_trip::<Entry>("wire/entry.txt");
    reads_as::<Entry>("wire/entry_read.txt");
    round_trip::<Page>("wire/page.txt");
    reads_as::<Page>("wire/page_read.txt");
    round_trip::<Transaction>("wire/transaction.txt");
    round_trip::<TransactionAnswer>("wire/revision.txt");
    reads_as::<TransactionAnswer>("wire/revision_read.txt");
    round_trip::<LeaseRequest>("wire/lease_request.txt");
    round_trip::<LeaseAnswer>("wire/lease_answer.txt");
    reads_as::<LeaseAnswer>("wire/lease_answer_read.txt");
    round_trip::<Log>("wire/log.txt");
    reads_as::<Log>("wire/log_read.txt");
}

/// Each field, left out of the first text of a file, is missed by its name, unless it
/// is one of `optional`.
fn misses_fields<T: DeserializeOwned>(name: &str, optional: &[&str]) {
    let whole: serde_json::Value = decode(name, &super::lines(name)[0]);
    let fields = whole.as_object().expect("an object");
    for field in fields.keys() {
        let mut rest = fields.clone();
        rest.remove(field);
        let read = serde_json::from_value::<T>(rest.into());
        match read.err() {
            Some(error) => assert!(error.to_string().contains(&format!("`{field}`")), "{name}: {error}"),
            None => assert!(optional.contains(&field.as_str()), "{name}: `{field}` is not missed"),
        }
    }
}

#[test]
fn fields_that_are_required_are_missed_by_name() {
    misses_fields::<JobSpec>("wire/job.txt", &["rigs", "yard", "hammerS"]);
    misses_fields::<Report>("wire/report.txt", &["recallS"]);
    misses_fields::<Page>("wire/page.txt", &["more"]);
    misses_fields::<MachineList>("wire/machine_list.txt", &["more"]);
    misses_fields::<Entry>("wire/entry.txt", &[]);
    misses_fields::<TransactionAnswer>("wire/revision.txt", &[]);
    misses_fields::<LeaseAnswer>("wire/lease_answer.txt", &[]);
    misses_fields::<Log>("wire/log.txt", &[]);
    misses_fields::<Catalogue>("wire/catalogue.txt", &[]);
}

/// Values of a field that are none of the protocol's are refused, except in what
/// workers say of their tasks.
#[test]
fn unknown_values_are_refused_by_users_jobs_and_taken_from_workers() {
    let job = &super::lines("wire/job.txt")[0];
    for (known, unknown) in [("\"high\"", "\"urgent\""), ("\"array\"", "\"gang\"")] {
        let job = job.replace(known, unknown);
        assert!(serde_json::from_str::<JobSpec>(&job).is_err(), "{unknown}");
    }
    for (report, as_other) in pairs("wire/report_read.txt") {
        assert!(serde_json::from_str::<Report>(&report).is_ok());
        assert!(serde_json::from_str::<Report>(&as_other).is_ok());
    }
}
