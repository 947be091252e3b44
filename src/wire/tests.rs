use super::*;

#[test]
fn a_report_is_decoded_and_its_unknown_fields_are_ignored() {
    let text = r#"{"stall":"host-000231","address":"10.1.0.232:9000","rig":"g8","yard":"a","loaner":true,
          "saleDay":1,"paddleCount":88,"gavel":41,"recallS":null,"novel":{"x":1},
          "lots":[{"lot":"j-000412/3","relist":2,"standing":"running"},
                  {"lot":"j-000398/0","relist":1,"standing":"ended","passReason":"done"}]}"#;
    let report: Report = serde_json::from_str(text).expect("valid");
    assert_eq!(report.tasks[1].exit_reason, Some(ExitReason::Done));
    assert_eq!((report.agent_epoch, report.seq, report.fencing_token), (1, 88, 41));
}

#[test]
fn commands_and_transactions_are_encoded_as_the_protocol_requires() {
    let stop = Command::Stop {
        task: "j-1/2".into(),
        attempt: 3,
        grace_s: 10.0,
    };
    assert_eq!(
        serde_json::to_value(&stop).expect("json"),
        serde_json::json!({"call":"kill","lot":"j-1/2","relist":3,"closingS":10.0})
    );
    let transaction = Transaction {
        conditions: vec![Condition {
            key: "a/b".into(),
            version: 0,
        }],
        changes: vec![
            Change::Put {
                put: "a/b".into(),
                value: serde_json::json!({}),
                lease: Some(7),
            },
            Change::delete("c/d"),
        ],
    };
    assert_eq!(
        serde_json::to_value(&transaction).expect("json"),
        serde_json::json!({"when":[{"k":"a/b","entryRev":0}],
            "apply":[{"put":"a/b","v":{},"consignment":7},{"drop":"c/d"}]})
    );
}
