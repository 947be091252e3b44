//! Tests of the shard's operations, and a shard with one job that they start from.

mod answers;
mod attempts;
mod attribution;
mod commands;
mod loading;
mod rejections;
mod reports;
mod scaling;
mod scheduling;
mod transactions;
mod worker_fixture;

use super::*;
use crate::settings::{Settings, tests::SAMPLE};
use crate::store::JobKey;
use crate::wire::{JobSpec, MachineType};
use serde_json::json;

/// Returns a shard with machine types of these names and numbers of CPUs, and with the job `j-1`,
/// whose tasks require 4 CPUs each. `spot` says whether the job may run on spot machines.
pub fn shard_with(term: u64, types: &[(&str, f64)], tasks: u32, spot: bool) -> Shard {
    let settings = Settings::parse(SAMPLE).expect("valid settings");
    let mut shard = Shard::new("pool", term, &settings, &Policy::default());
    let types = types.iter().map(|&(name, cpus)| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: Some(0.5),
        boot_s: 5.0,
        zones: vec!["north".into()],
    });
    shard.set_catalogue(&Catalogue { types: types.collect() });
    let spec: JobSpec = serde_json::from_value(json!({"id":"j-1","lotType":"sort","consignor":"floor",
        "saleFormat":"array","bidRank":"high","lots":tasks,"cores":4.0,"cards":0.0,"memGb":8.0,"catalog":"img",
        "pullGb":1.0,"oneZone":false,"scatter":false,"loaner":spot,"appraisedS":5.0,"tallyS":0.0,"ledgerS":0.0}))
    .expect("valid job");
    let key = JobKey {
        spec,
        accepted_ms: 0,
        ended: None,
    };
    shard.job_changed(0, "j-1", &key, 1);
    shard
}
