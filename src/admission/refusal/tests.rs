use super::*;
use serde_json::json;

#[test]
fn a_refusal_is_answered_with_its_status_and_reason() {
    let parser_message = "expected value at line 1 column 1";
    let expected = [
        (Refusal::Unreadable(parser_message.into()), 400, parser_message),
        (Refusal::InvalidId, 400, "bad job id"),
        (
            Refusal::TaskCountOutOfRange,
            400,
            "the number of tasks must be 1 to 100000",
        ),
        (
            Refusal::NegativeAmount,
            400,
            "amounts and durations must not be negative",
        ),
        (Refusal::MissingImage, 400, "an image must be named"),
        (Refusal::UnknownTeam, 422, "unknown team"),
        (Refusal::OverTeamLimit, 422, "one task needs more than the team's limit"),
        (Refusal::FitsNoMachineType, 422, "a task fits no allowed machine type"),
    ];
    for (refusal, status, reason) in expected {
        let answer = refusal.answer();
        assert_eq!(answer.status, status, "{refusal:?}");
        assert_eq!(answer.body, format!(r#"{{"error":"{reason}"}}"#));
        assert_eq!(answer.retry_after_s, None);
    }
}

fn spec() -> JobSpec {
    serde_json::from_value(
        json!({"id":"j-1","lotType":"train","consignor":"vision","saleFormat":"array",
        "bidRank":"high","lots":16,"cores":8.0,"cards":1.0,"memGb":64.0,"catalog":"img-07","pullGb":6.2,
        "rigs":["g8"],"yard":"a","oneZone":true,"scatter":false,"loaner":true,"appraisedS":240.0,
        "tallyS":30.0,"ledgerS":4.0}),
    )
    .expect("a job")
}

fn catalogue() -> Catalogue {
    serde_json::from_value(
        json!({"rigs":[{"name":"g8","cores":96,"cards":8,"memGb":768,"cacheGb":200,
        "pullGbPerS":1.0,"hourly":12.0,"bootS":45,"yards":["a"]}]}),
    )
    .expect("a catalogue")
}

fn team() -> Team {
    Team {
        name: "vision".into(),
        cpus: 0.0,
        cpus_max: 100.0,
        gpus: 0.0,
        gpus_max: 8.0,
    }
}

#[test]
fn feasibility_is_unknown_without_machine_types_and_reports_the_first_refusal() {
    let (teams, catalogue) = ([team()], catalogue());
    let feasibility = |spec: &JobSpec| Feasibility::of(spec, &teams, Some(&catalogue));
    assert_eq!(Feasibility::of(&spec(), &teams, None), Feasibility::Unknown);
    assert_eq!(feasibility(&spec()), Feasibility::Feasible);
    let unknown_team = JobSpec {
        team: "none".into(),
        cpus: 1e6,
        ..spec()
    };
    assert_eq!(
        feasibility(&unknown_team),
        Feasibility::Infeasible(Refusal::UnknownTeam)
    );
    let over_team_limit = JobSpec { gpus: 9.0, ..spec() };
    assert_eq!(
        feasibility(&over_team_limit),
        Feasibility::Infeasible(Refusal::OverTeamLimit)
    );
    let unavailable_zone = JobSpec {
        zone: Some("b".into()),
        ..spec()
    };
    assert_eq!(
        feasibility(&unavailable_zone),
        Feasibility::Infeasible(Refusal::FitsNoMachineType)
    );
}
