//! Reports the usage that this instance has counted to the duty holder.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;

use crate::links::call_with_timeout;
use crate::shared::{ANSWER_TIMEOUT, FleetShared};
use crate::wire::DutyHolder;

/// The time between two reports to the holder.
const USAGE_PERIOD: Duration = Duration::from_secs(1);

/// After a poll that finds the last report still unanswered, the next one is due after this
/// time instead of the full period, but not before the answer or its time-out.
const RETRY_PERIOD: Duration = Duration::from_millis(300);

/// Sends reports to the holder, one at a time.
#[derive(Debug, Default)]
pub(crate) struct UsageSender {
    /// The task of the last report.
    in_flight: Option<JoinHandle<()>>,
    /// When the next report is due.
    due_at: Duration,
    /// The holder that was last sent a report.
    last_holder: Option<DutyHolder>,
}

impl UsageSender {
    /// Sends a report if one is due. A new holder is sent one at once.
    pub(crate) fn send_if_due(&mut self, shared: &Arc<FleetShared>, now: Duration) {
        let Some(holder) = shared.node().duty_holder() else { return };
        if self.in_flight.as_ref().is_some_and(|task| !task.is_finished()) {
            self.due_at = self.due_at.min(now + RETRY_PERIOD);
            return;
        }
        if now < self.due_at && self.last_holder == Some(holder) {
            return;
        }
        self.due_at = now + USAGE_PERIOD;
        self.last_holder = Some(holder);
        self.in_flight = Some(tokio::spawn(send_usage(shared.clone(), holder)));
    }
}

/// Sends a holder the usage that it hasn't received.
async fn send_usage(shared: Arc<FleetShared>, holder: DutyHolder) {
    let Some(exchange) = shared.usage_exchange.get() else { return };
    let unconfirmed = exchange.unconfirmed(holder.fence);
    let mark = unconfirmed.mark;
    let notice = shared.node().usage_notice(unconfirmed);
    if holder.address == notice.from.address {
        if exchange.receive(notice) {
            exchange.confirm(holder.fence, mark);
        }
        return;
    }
    let Some(link) = shared.links.open(holder.address).await else { return };
    let call = |context| link.client.usage(context, notice);
    match call_with_timeout(ANSWER_TIMEOUT, call).await {
        Ok(true) => exchange.confirm(holder.fence, mark),
        Ok(false) => {}
        Err(cause) => {
            log::debug!("no answer from the duty holder: {cause}");
            shared.links.close(holder.address, &link).await;
        }
    }
}
