use super::*;
use proptest::prelude::*;
use serde_json::{Value, json};

pub fn sample() -> Value {
    json!({"id":"j-000412","lotType":"train","consignor":"vision","saleFormat":"array","bidRank":"high",
        "lots":16,"cores":8.0,"cards":1.0,"memGb":64.0,"catalog":"img-07","pullGb":6.2,"rigs":["g8"],
        "yard":null,"oneZone":true,"scatter":false,"loaner":true,"appraisedS":240.0,"tallyS":30.0,
        "ledgerS":4.0,"hammerS":900.0})
}

fn status(value: &Value) -> Result<JobSpec, (Option<String>, u16)> {
    parse(&value.to_string()).map_err(|malformed| (malformed.job_id, malformed.refusal.status()))
}

#[test]
fn malformed_submissions_are_refused_and_report_a_valid_id() {
    assert!(status(&sample()).is_ok());
    for (field, bad) in [
        ("lots", json!(0)),
        ("lots", json!(100_001)),
        ("lots", json!(1.5)),
        ("cores", json!(-1.0)),
        ("cores", json!("8")),
        ("saleFormat", json!("heap")),
        ("bidRank", json!("urgent")),
        ("oneZone", json!(null)),
        ("hammerS", json!(-3)),
    ] {
        let mut job = sample();
        job[field] = bad;
        assert_eq!(status(&job), Err((Some("j-000412".into()), 400)), "{field}");
    }
    for id in ["", "j-", "k-1", "j-1x", "j-1 2"] {
        let mut job = sample();
        job["id"] = json!(id);
        assert_eq!(status(&job), Err((None, 400)), "{id}");
    }
    for nullable in ["rigs", "yard", "hammerS"] {
        let mut job = sample();
        job.as_object_mut().expect("object").remove(nullable);
        assert!(status(&job).is_ok(), "{nullable}");
    }
    assert_eq!(
        parse("[1]").map_err(|malformed| (malformed.job_id, malformed.refusal.status())),
        Err((None, 400))
    );
}

proptest! {
    #[test]
    fn parsing_an_arbitrary_body_never_panics(body in ".{0,300}") {
        if let Ok(spec) = parse(&body) {
            prop_assert!(is_valid_id(&spec.id));
        }
    }
}
