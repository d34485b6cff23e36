//! Telling the one that holds the duties what this instance has counted.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;

use crate::links::call;
use crate::shared::{ANSWER_TIMEOUT, FleetShared};
use crate::wire::DutyHolder;

/// The time between two notices to the holder.
const USAGE_PERIOD: Duration = Duration::from_secs(1);

/// The time until the next one if there was no answer.
const RETRY_PERIOD: Duration = Duration::from_millis(300);

/// Tells the holder, one notice at a time.
#[derive(Debug, Default)]
pub(crate) struct UsageRound {
    /// The notice under way.
    under_way: Option<JoinHandle<()>>,
    /// When the next one is due.
    due: Duration,
    /// The holder that was last told.
    told: Option<DutyHolder>,
}

impl UsageRound {
    /// Tells the holder if that is due: at once if there is a new one.
    pub(crate) fn tell_if_due(&mut self, shared: &Arc<FleetShared>, now: Duration) {
        let Some(holder) = shared.node().duty_holder() else { return };
        if self.under_way.as_ref().is_some_and(|task| !task.is_finished()) {
            self.due = self.due.min(now + RETRY_PERIOD);
            return;
        }
        if now < self.due && self.told == Some(holder) {
            return;
        }
        self.due = now + USAGE_PERIOD;
        self.told = Some(holder);
        self.under_way = Some(tokio::spawn(tell(shared.clone(), holder)));
    }
}

/// Tells a holder what it hasn't heard.
async fn tell(shared: Arc<FleetShared>, holder: DutyHolder) {
    let Some(exchange) = shared.duties.get() else { return };
    let news = exchange.unsent(holder.fence);
    let mark = news.mark;
    let notice = shared.node().usage_notice(news);
    if holder.address == notice.from.address {
        if exchange.receive(notice) {
            exchange.confirm(holder.fence, mark);
        }
        return;
    }
    let Some(link) = shared.links.open(holder.address).await else { return };
    let tell = |context| link.client.usage(context, notice);
    match call(ANSWER_TIMEOUT, tell).await {
        Ok(true) => exchange.confirm(holder.fence, mark),
        Ok(false) => {}
        Err(cause) => {
            log::debug!("no answer from the holder of the duties: {cause}");
            shared.links.close(holder.address, &link).await;
        }
    }
}
