use super::*;
use crate::controller::{CloudReply, WorkerReply};
use crate::store::StoreReply;

fn response(status: u16, body: &'static str) -> CallResult {
    Ok(HttpResponse {
        status,
        body: body.into(),
    })
}

/// Guards against mistaking a request that may have been executed for one that was not: the
/// controller repeats only the latter.
#[test]
fn store_replies_distinguish_unknown_outcomes_from_requests_not_executed() {
    let renewal = StoreRequest::Renew(7);
    let cases = [
        (response(200, ""), StoreReply::Renewed),
        (response(404, ""), StoreReply::LeaseExpired),
        (response(429, ""), StoreReply::Throttled),
        (response(503, ""), StoreReply::Unavailable),
        (response(500, ""), StoreReply::Unanswered),
        (Err(RequestError::NotSent), StoreReply::Unavailable),
        (Err(RequestError::OutcomeUnknown), StoreReply::Unanswered),
    ];
    for (result, expected) in cases {
        let result_text = format!("{result:?}");
        assert_eq!(store::reply(&renewal, result), expected, "{result_text}");
    }
    let unreadable = store::reply(&StoreRequest::Get("key".into()), response(200, "{"));
    assert_eq!(unreadable, StoreReply::Unanswered);
}

/// Guards against taking a transaction that is too large for one whose lease has expired, and
/// against a watch that never catches up because the changes are more than the client reads.
#[test]
fn rejected_transactions_and_long_watch_logs_have_replies_of_their_own() {
    let transaction = StoreRequest::Transact(Default::default());
    let lease = store::reply(&transaction, response(400, r#"{"error":"no such lease"}"#));
    assert_eq!(lease, StoreReply::LeaseExpired);
    for (body, reason) in [(r#"{"error":"too large"}"#, "too large"), ("?", "?"), ("", "")] {
        let reason = reason.to_owned();
        let reply = store::reply(&transaction, response(400, body));
        assert_eq!(reply, StoreReply::Rejected { reason });
    }
    let too_long = || Err(RequestError::ResponseTooLong);
    let watch = StoreRequest::Watch {
        prefix: "live/pool/".into(),
        since: 12,
        wait_ms: 0,
    };
    assert_eq!(store::reply(&watch, too_long()), StoreReply::TooOld);
    assert_eq!(store::reply(&transaction, too_long()), StoreReply::Unanswered);
}

/// Guards against the same mistake with requests to the cloud and to workers. A response that
/// reports a lack of capacity has a meaning of its own only for a request for machines.
#[test]
fn cloud_and_worker_replies_distinguish_unknown_outcomes_from_requests_not_executed() {
    let list = CloudRequest::List { after: String::new() };
    let cases = [
        (response(429, ""), CloudReply::Unavailable),
        (response(503, r#"{"error": "no capacity"}"#), CloudReply::Unavailable),
        (response(500, ""), CloudReply::Unanswered),
        (Err(RequestError::NotSent), CloudReply::Unavailable),
        (Err(RequestError::OutcomeUnknown), CloudReply::Unanswered),
    ];
    for (result, expected) in cases {
        let result_text = format!("{result:?}");
        assert_eq!(cloud::reply(&list, result), expected, "{result_text}");
    }
    assert!(matches!(worker::reply(response(400, "")), WorkerReply::NotDelivered));
    assert!(matches!(worker::reply(response(409, "?")), WorkerReply::NotDelivered));
    assert!(matches!(worker::reply(response(200, "?")), WorkerReply::Unanswered));
    assert!(matches!(worker::reply(response(500, "")), WorkerReply::Unanswered));
}

/// A page starts after the last key of the previous page. The timeout of a watch is the time
/// for which the service may hold it back, plus the timeout of any other request.
#[test]
fn requests_to_the_state_service_carry_their_parameters() {
    let first = StoreRequest::List {
        prefix: "live/pool/".into(),
        after: String::new(),
    };
    assert_eq!(store::http_request(&first).path, "/store?starts=live/pool/&limit=400");
    let second = StoreRequest::List {
        prefix: "live/pool/".into(),
        after: "live/pool/job/3".into(),
    };
    let path = "/store?starts=live/pool/&since=live/pool/job/3&limit=400";
    assert_eq!(store::http_request(&second).path, path);
    let watch = StoreRequest::Watch {
        prefix: "live/pool/".into(),
        since: 12,
        wait_ms: 700,
    };
    let watch = store::http_request(&watch);
    assert_eq!(watch.path, "/changes?starts=live/pool/&since=12&holdMs=700");
    assert_eq!(watch.timeout.as_millis(), 2_700);
}
