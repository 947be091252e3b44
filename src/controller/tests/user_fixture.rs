//! A controller with one peer, for tests of answers to users.

use super::*;

pub const JOB: &str = "j-000007";
pub const POLL: u64 = 1;
pub const CANCELLATION: u64 = 2;
pub const SUBMISSION: u64 = 3;

/// The version of the controller's own member key, which its watch cache does not show yet.
const MEMBER_VERSION: u64 = 1_000;

/// A controller with one peer. The test supplies all replies of the state service and the peer.
pub struct Fixture {
    controller: Controller,
    pub monotonic: Millis,
    pub peer: String,
}

impl Fixture {
    /// Creates a controller whose watch cache holds the keys of `page`. The peer leads under
    /// `leading_term`, if given.
    pub fn new(page: StoreReply, leading_term: Option<u64>) -> Fixture {
        let settings = Settings::parse(SAMPLE).expect("valid settings");
        let peer = settings.peers[0].node.clone();
        let mut fixture = Fixture {
            controller: Controller::new(settings, Policy::default(), 7),
            monotonic: 1_000_000,
            peer,
        };
        let call = last_store_call(&fixture.step(Input::Tick));
        let granting = fixture.reply(call, page);
        fixture.become_member(&granting);
        fixture.receive_from_peer(heartbeat(&fixture.peer.clone(), leading_term));
        fixture
    }

    /// Answers the requests with which the controller becomes a member.
    fn become_member(&mut self, outputs: &[Output]) {
        let granting = store_call(outputs, |request| matches!(request, StoreRequest::Grant { .. }));
        let registering = self.reply(granting, StoreReply::Granted { lease: 1 });
        let registration = store_call(&registering, |request| matches!(request, StoreRequest::Transact(_)));
        self.reply(
            registration,
            StoreReply::Committed {
                revision: MEMBER_VERSION,
            },
        );
    }

    /// Lets this time pass without a message from the peer. The membership is renewed.
    pub fn run_without_peer(&mut self, ms: Millis) {
        let until = self.monotonic + ms;
        while self.monotonic < until {
            let outputs = self.step(Input::Tick);
            for output in outputs {
                if let Output::Store {
                    call,
                    request: StoreRequest::Renew(_),
                } = output
                {
                    self.reply(call, StoreReply::Renewed);
                }
            }
        }
    }

    pub fn step(&mut self, input: Input) -> Vec<Output> {
        self.monotonic += 10;
        self.controller.step(at(self.monotonic), input)
    }

    pub fn receive_from_peer(&mut self, message: Message) -> Vec<Output> {
        let node = self.peer.clone();
        let message = Box::new(message);
        self.step(Input::Peer { node, message })
    }

    pub fn send_user_request(&mut self, request: u64, user_request: UserRequest) -> Vec<Output> {
        self.step(Input::User { request, user_request })
    }

    pub fn poll(&mut self) -> Vec<Output> {
        self.send_user_request(POLL, UserRequest::Show(JOB.into()))
    }

    pub fn submit(&mut self) -> Vec<Output> {
        let body = serde_json::json!(unfinished_job().spec).to_string();
        self.send_user_request(SUBMISSION, UserRequest::Submit(body))
    }

    /// Delivers the peer's answer to the request that was forwarded to it in these outputs.
    pub fn answer_from_peer(&mut self, forwarded: &[Output], standing: &str) -> Vec<Output> {
        let answer = Answer {
            status: 200,
            body: serde_json::json!({"id": JOB, "standing": standing}).to_string(),
            retry_after_s: None,
        };
        let id = forwarded_id(forwarded);
        self.receive_from_peer(Message::ForwardReply { id, answer })
    }

    /// Delivers the peer's refusal of the request that was forwarded to it in these outputs.
    pub fn refuse_from_peer(&mut self, forwarded: &[Output]) -> Vec<Output> {
        let answer = crate::admission::service_unavailable("too many requests at once");
        let id = forwarded_id(forwarded);
        self.receive_from_peer(Message::ForwardReply { id, answer })
    }

    /// Cancels the job for a user. The leader, which is the peer, confirms the cancellation.
    pub fn cancel_through_leader(&mut self) {
        let forwarded = self.send_user_request(CANCELLATION, UserRequest::Cancel(JOB.into()));
        let outputs = self.answer_from_peer(&forwarded, "aborted");
        assert_eq!(standing_in_answer(&outputs, CANCELLATION).as_deref(), Some("aborted"));
    }

    pub fn reply(&mut self, call: u64, reply: StoreReply) -> Vec<Output> {
        self.step(Input::Store { call, reply })
    }
}

/// The id of the request that was forwarded to the peer in these outputs.
fn forwarded_id(outputs: &[Output]) -> u64 {
    let id = outputs.iter().find_map(|output| match output {
        Output::Peer {
            message: Message::ForwardRequest { id, .. },
            ..
        } => Some(*id),
        _ => None,
    });
    id.expect("a request forwarded to the peer")
}

/// The call id of the request to the state service that `is_wanted` selects among these outputs.
pub fn store_call(outputs: &[Output], is_wanted: impl Fn(&StoreRequest) -> bool) -> u64 {
    let calls = outputs.iter().find_map(|output| match output {
        Output::Store { call, request } if is_wanted(request) => Some(*call),
        _ => None,
    });
    calls.expect("a request to the state service")
}

/// The answer to the request with this number among these outputs, if any.
pub fn answer_to(outputs: &[Output], request_number: u64) -> Option<&Answer> {
    outputs.iter().find_map(|output| match output {
        Output::Answer { request, answer } if *request == request_number => Some(answer),
        _ => None,
    })
}

pub fn standing_in_answer(outputs: &[Output], request_number: u64) -> Option<String> {
    let body: serde_json::Value = serde_json::from_str(&answer_to(outputs, request_number)?.body).expect("json");
    Some(body["standing"].as_str()?.to_owned())
}

pub fn unfinished_job() -> JobKey {
    let mut key = cancelled_job();
    key.spec.id = JOB.into();
    key.ended = None;
    key
}

/// A page of the watched keys with only this key.
pub fn watched_page_with(key: String, value: serde_json::Value) -> StoreReply {
    StoreReply::Page(Page {
        items: vec![Entry { key, value, version: 9 }],
        more: false,
        revision: 9,
    })
}

pub fn page_with_job() -> StoreReply {
    watched_page_with(format!("live/pool/job/{JOB}"), serde_json::json!(unfinished_job()))
}

/// A page of the watched keys with the catalogue and no job.
pub fn page_without_job() -> StoreReply {
    let catalogue = serde_json::json!({"rigs": [{"name": "small", "cores": 8.0, "cards": 0, "memGb": 32.0,
        "cacheGb": 50.0, "pullGbPerS": 1.0, "hourly": 1.0, "spotPrice": 0.5, "bootS": 10.0, "yards": ["north"]}]});
    watched_page_with("live/pool/catalogue".into(), catalogue)
}

/// The reply to a confirming read that was executed before any change.
pub fn empty_log_reply() -> StoreReply {
    StoreReply::WatchLog(crate::wire::WatchLog {
        revision: 9,
        events: Vec::new(),
    })
}
