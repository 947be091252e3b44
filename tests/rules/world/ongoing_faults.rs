//! The faults of services, the network and users that are under way.

/// The end of each ongoing fault of a service, the network or the users.
#[derive(Default)]
pub(super) struct OngoingFaults {
    /// Until when the state service is unavailable; 0 while there is no outage.
    pub(super) store_outage_until: u64,
    /// Until when requests take 15 times as long to reach the state service.
    pub(super) store_slow_until: u64,
    /// Until when the cloud refuses every request.
    pub(super) cloud_outage_until: u64,
    /// Until when controllers can't exchange messages.
    pub(super) peer_messages_dropped_until: u64,
    /// Until when copies of some reports are made, which arrive late.
    pub(super) duplicate_reports_until: u64,
    /// Until when some transactions get no answer and are applied late.
    pub(super) delayed_transactions_until: u64,
    /// Until when half of the direct commands get no answer and some of these arrive late.
    pub(super) delayed_commands_until: u64,
    /// Until when copies of direct commands, of requests to the services and of messages between
    /// controllers are made, which arrive after the answer.
    pub(super) repeated_commands_until: u64,
    pub(super) repeated_requests_until: u64,
    pub(super) repeated_messages_until: u64,
    /// Until when half of the answers to reports arrive late.
    pub(super) delayed_answers_until: u64,
    /// Until when half of the jobs are cancelled just after their last task ends.
    pub(super) cancel_at_end_until: u64,
    /// Until when users send invalid requests.
    pub(super) invalid_requests_until: u64,
    /// Until when users ask all controllers about accepted jobs.
    pub(super) close_looks_until: u64,
    /// Until when the zone `south` is isolated.
    pub(super) south_isolated_until: u64,
    /// Until when new machines boot slowly or not at all.
    pub(super) slow_boots_until: u64,
}
