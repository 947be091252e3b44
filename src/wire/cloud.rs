//! Messages between controllers and the cloud: machine types, requests and the machine list.

use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// CPUs of a machine.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory of a machine in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Size of a machine's image cache in GB.
    #[serde(rename = "cacheGb")]
    pub cache_gb: f64,
    /// Nominal rate at which a machine fetches images, in GB per second.
    #[serde(rename = "pullGbPerS")]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    #[serde(rename = "hourly")]
    pub price: f64,
    /// Current price of a spot machine per hour; absent if the type has no spot machines.
    #[serde(rename = "spotPrice", default)]
    pub spot_price: Option<f64>,
    /// Nominal boot time in seconds.
    #[serde(rename = "bootS")]
    pub boot_s: f64,
    /// Zones in which the type is offered.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// All machine types that the cloud offers. It is also stored in this form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// The machine types, each with the zones in which it is offered.
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

/// A request for new machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRequest {
    /// Name of the request. Repeating a request with the same name creates no further
    /// machines, so no controller ever uses a name for a different request.
    #[serde(rename = "hireSlip")]
    pub request: String,
    /// Type of the machines.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone of the machines.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether they are spot machines.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// Number of machines requested; the cloud may provide fewer.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: what a machine request returns and what a deletion asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names, as assigned by the cloud.
    #[serde(rename = "stalls")]
    pub machines: Vec<String>,
}

/// State of a machine in the machine list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    /// Booting. The machine may already be up, since the list lags.
    #[serde(rename = "starting")]
    Starting,
    /// Up.
    #[serde(rename = "running")]
    Running,
    /// Stopped without a request to delete it. The machine costs nothing and stays listed until
    /// it is deleted.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the machine list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    pub id: String,
    /// Address of its worker; absent until the machine has one.
    #[serde(default)]
    pub address: Option<String>,
    /// Type of the machine.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// State of the machine at the moment that the list describes.
    #[serde(rename = "standing")]
    pub state: MachineState,
    /// Seconds from the request for the machine to the moment that the list describes.
    #[serde(rename = "heldS")]
    pub age_s: f64,
}

/// A page of the machine list, ordered by name. The list lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines of this page.
    #[serde(rename = "stalls")]
    pub machines: Vec<ListedMachine>,
    /// Whether more machines follow after this page.
    #[serde(default)]
    pub more: bool,
}
