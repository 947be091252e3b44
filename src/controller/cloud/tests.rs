use super::super::shard_with;
use super::*;
use crate::policy::Policy;
use crate::settings::{Settings, tests::SAMPLE};
use crate::wire::{ListedMachine, MachineState};

const START: Millis = 1_000_000;

/// A leader with one machine, whose catalogue was read lately.
fn leader() -> Controller {
    let settings = Settings::parse(SAMPLE).expect("valid settings");
    let mut controller = Controller::new(settings, Policy::default(), 7);
    let mut shard = shard_with(3, &[("small", 8.0)], 1, true);
    shard.add_machine(0, "host-1", "small", "north", true);
    controller.now = START;
    controller.shard = Some(shard);
    controller.election.activate();
    controller.cloud.catalogue_due = START + CATALOGUE_EVERY_MS;
    controller
}

/// The requests made since the last look, with the calls they were made by.
fn requests(controller: &mut Controller) -> Vec<(u64, CloudRequest)> {
    controller.advance_cloud();
    controller.delete_decommissioned();
    let outputs = std::mem::take(&mut controller.outputs);
    let requests = outputs.into_iter().filter_map(|output| match output {
        Output::Cloud { call, request } => Some((call, request)),
        _ => None,
    });
    requests.collect()
}

fn only(mut requests: Vec<(u64, CloudRequest)>) -> (u64, CloudRequest) {
    assert_eq!(requests.len(), 1, "{requests:?}");
    requests.remove(0)
}

fn listed(id: &str) -> ListedMachine {
    ListedMachine {
        id: id.into(),
        address: None,
        machine_type: "small".into(),
        zone: "north".into(),
        spot: true,
        state: MachineState::Running,
        age_s: 1.0,
    }
}

#[test]
fn an_unanswered_machine_request_is_sent_again_as_it_was_until_it_is_answered() {
    let mut controller = leader();
    let shard = controller.shard.as_mut().expect("leads");
    shard.fleet.listing.start();
    let record = MachineRequestRecord {
        request: "pool-3-0".into(),
        machine_type: "small".into(),
        zone: "north".into(),
        spot: true,
        count: 2,
    };
    shard.fleet.add_machine_request(record, 9);
    let (call, first) = only(requests(&mut controller));
    controller.on_cloud_reply(call, CloudReply::Unanswered);
    controller.now += RETRY_MS - 1;
    assert!(requests(&mut controller).is_empty());
    controller.now += 1;
    let (call, second) = only(requests(&mut controller));
    assert_eq!(first, second);
    let machines = vec!["host-2".to_owned()];
    controller.on_cloud_reply(call, CloudReply::Provisioned(MachineNames { machines }));
    let shard = controller.shard.as_ref().expect("leads");
    assert!(shard.workers.machines.find("host-2").is_some());
    let answered = shard.pending_writes.answered_requests();
    let answered: Vec<_> = answered
        .map(|answered| (answered.request.as_str(), answered.version))
        .collect();
    assert_eq!(answered, [("pool-3-0", 9)]);
    controller.now += RETRY_MS;
    assert!(requests(&mut controller).is_empty());
}

#[test]
fn a_deletion_that_fails_is_tried_again_and_one_at_a_time_is_in_flight() {
    let mut controller = leader();
    let shard = controller.shard.as_mut().expect("leads");
    shard.fleet.listing.start();
    let ix = shard.workers.machines.find("host-1").expect("known");
    shard.workers.machines.get_mut(ix).expect("there").decommissioned = true;
    let (call, _) = only(requests(&mut controller));
    assert!(requests(&mut controller).is_empty());
    controller.on_cloud_reply(call, CloudReply::Unavailable);
    assert!(requests(&mut controller).is_empty());
    controller.now += RETRY_MS;
    let (call, _) = only(requests(&mut controller));
    controller.on_cloud_reply(call, CloudReply::Deleted);
    let shard = controller.shard.as_ref().expect("leads");
    assert!(shard.workers.machines.is_empty());
}

#[test]
fn a_list_is_read_page_by_page_and_again_from_its_beginning_when_a_page_fails() {
    let mut controller = leader();
    let list_after = |requests| match only(requests) {
        (call, CloudRequest::List { after }) => (call, after),
        (_, other) => panic!("{other:?}"),
    };
    let (call, after) = list_after(requests(&mut controller));
    assert_eq!(after, "");
    let page = MachineList {
        machines: vec![listed("host-2")],
        more: true,
    };
    controller.on_cloud_reply(call, CloudReply::Listed(page));
    let (call, after) = list_after(requests(&mut controller));
    assert_eq!(after, "host-2");
    controller.on_cloud_reply(call, CloudReply::Unanswered);
    assert!(requests(&mut controller).is_empty());
    controller.now += LISTING_INTERVAL_MS;
    let (_, after) = list_after(requests(&mut controller));
    assert_eq!(after, "");
}
